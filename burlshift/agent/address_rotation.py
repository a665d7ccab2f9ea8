"""Selects one of several discovery addresses, and decides when to change to the next and after what wait."""

from __future__ import annotations

import random

from .listing import Address

# The waits between addresses have full jitter (Brooker 2015), so that agents that were disconnected together
# do not reconnect together.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_DOUBLINGS = 10
# An answer with a higher age (Age, RFC 9111) comes from a follower that has lost its leader: the second of
# two followers in a chain states 7 s at most. Another address may have a newer list, and is tried after a
# random wait of half to all of this time, so that the readers of a cut-off follower do not leave it together.
MAX_LIST_AGE_S = 10.0


class AddressRotation:
    """The addresses that serve the same list, in the order in which they are used."""

    def __init__(self, addresses: tuple[Address, ...]) -> None:
        self.addresses = addresses
        self.failures = 0  # consecutive failed calls
        self._index = 0  # of the address in use
        self._leave_at: float | None = None  # when to leave an address whose answers are too old

    def __len__(self) -> int:
        return len(self.addresses)

    @property
    def current(self) -> Address:
        """The address in use."""
        return self.addresses[self._index]

    def replace(self, addresses: tuple[Address, ...]) -> None:
        """Use other addresses from now on; earlier failures do not count against them."""
        self.addresses, self._index, self.failures = addresses, 0, 0

    def should_leave(self, age_s: int, now: float) -> bool:
        """Whether to leave the address at `now` (seconds) after an answer of this age."""
        if age_s <= MAX_LIST_AGE_S or len(self) == 1:
            self._leave_at = None
        elif self._leave_at is None:
            self._leave_at = now + MAX_LIST_AGE_S * (0.5 + random.random() / 2)
        elif now >= self._leave_at:
            self._leave_at = None
            return True
        return False

    def advance(self) -> None:
        """Move to the next address.

        The order is random: in the configured order all agents that leave an address would move to the same
        next one. It is not drawn anew after consecutive failures, so that these try each address in turn.
        """
        count = len(self)
        if self.failures <= 1:
            current_address, others = self.current, list(self.addresses)
            others.remove(current_address)
            self.addresses, self._index = (current_address, *random.sample(others, count - 1)), 0
        self._index = (self._index + 1) % count

    def longest_wait_s(self, round_s: float, attempt_s: float, left_s: float) -> float:
        """The longest wait before the next address is used, in seconds; it grows with each failure.

        Limits the wait so that all addresses are tried within round_s, where each try may take attempt_s, and
        the next one within left_s.
        """
        address_interval_s = round_s / len(self) - attempt_s
        backoff_s = FIRST_BACKOFF_S * 2.0 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        return max(0.0, min(address_interval_s, backoff_s, left_s))
