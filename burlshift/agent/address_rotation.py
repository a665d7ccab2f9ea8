"""Which of several addresses of discovery is asked, when it is left for another, and the wait before that."""

from __future__ import annotations

import random

from .listing import Address

# The waits between addresses have full jitter (Brooker 2015), so that agents that were left together do not
# come back together.
ELSEWHERE_FIRST_S = 0.5
# An answer that says it is older than this (Age, RFC 9111) comes from a follower that does not hear the
# leader: of two, one behind the other, the second tells 7 s at most. Another may be nearer, and is tried
# after half to all of that again, by chance, so that a cut follower's readers do not leave it together.
OLD_S = 10.0


class AddressRotation:
    """The addresses that give the same list, in the order in which they are asked."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        self.addresses = addresses
        self.failures = 0  # calls in a row
        self._at = 0  # the address in use
        self._leave_at: float | None = None  # an answer was old: when to look elsewhere

    def __len__(self) -> int:
        return len(self.addresses)

    @property
    def current(self) -> Address:
        """The address that is asked now."""
        return self.addresses[self._at]

    def replace(self, addresses: tuple[Address, ...]) -> None:
        """Others from now on: what failed before tells nothing of them."""
        self.addresses, self._at, self.failures = addresses, 0, 0

    def leaves(self, age_s: int, now: float) -> bool:
        """Whether an old answer is reason enough now to look for a fresher one."""
        if age_s <= OLD_S or len(self) == 1:
            self._leave_at = None
        elif self._leave_at is None:
            self._leave_at = now + OLD_S * (0.5 + random.random() / 2)
        elif now >= self._leave_at:
            self._leave_at = None
            return True
        return False

    def turn(self) -> None:
        """To the next address, in an order of its own: were it the list's, all that leave one would come to
        the same next one."""
        count = len(self)
        if self.failures <= 1:
            here, others = self.current, list(self.addresses)
            others.remove(here)
            self.addresses, self._at = (here, *random.sample(others, count - 1)), 0
        self._at = (self._at + 1) % count

    def longest_wait_s(self, round_s: float, call_s: float, left_s: float) -> float:
        """The longest wait before the next address is asked, which grows with each failure.

        All addresses are to have had their turn, of call_s at most, within round_s, and the next one within
        left_s.
        """
        turn_s = round_s / len(self) - call_s
        backoff_s = ELSEWHERE_FIRST_S * 2.0 ** min(self.failures, 10)
        return max(0.0, min(turn_s, backoff_s, left_s))
