"""Leases: who has not renewed for its ttl drains, and a ttl later is gone. Time comes in; nothing is read.

Only time in which the service ran and listened counts: a pause, a restart or a wall clock that jumps expires
no one. Where over a share of all leased would go within one ttl, expiry is held (Eureka's self-preservation,
with its default threshold of 85 per cent of renewals): a network that is cut must not empty the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .state_machine import Delete, Entry, SetPhase

TURN_US = 200_000  # from one look to the next
LONGEST_TURN_US = 2 * TURN_US  # what is over this in one turn was a pause of the service, and does not count
HELD_SHARE = 0.15
HELD_FEWEST = 3  # so few may always go: in a small list each is a large share


@dataclass(slots=True)
class Lease:
    """The lease of one member: its length and what is left of it."""

    ttl_us: int
    left_us: int
    start: int
    lapsed: bool  # it has run out once, and the list says so


class Leases:
    """Of all entries that have a ttl."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._last_us: int | None = None
        self._gone: list[tuple[int, str]] = []  # when, by time that counted, and who has run out of late
        self._counted_us = 0
        self.held = False

    def __len__(self) -> int:
        return len(self._leases)

    def listed(self, entries: Iterable[Entry]) -> None:
        """Entries as they are on disk now; each begins its lease anew."""
        for entry in entries:
            name = entry.member.id
            if not entry.ttl_ms:
                self._leases.pop(name, None)
                continue
            old, ttl = self._leases.get(name), entry.ttl_ms * 1000
            if entry.lapsed and old is not None and not old.lapsed:
                self._gone.append((self._counted_us, name))
            self._leases[name] = Lease(ttl, ttl, entry.start, entry.lapsed)

    def gone(self, names: Iterable[str]) -> None:
        for name in names:
            self._leases.pop(name, None)

    def renew(self, name: str, start: int) -> bool | None:
        """Whether the lease runs on; False: an older process asks; None: there is none to renew."""
        lease = self._leases.get(name)
        if lease is None:
            return None
        if start < lease.start:
            return False
        lease.left_us = lease.ttl_us
        return True

    def is_due(self, name: str) -> bool:
        """Whether the lease has run out and was not renewed since."""
        lease = self._leases.get(name)
        return lease is not None and lease.left_us <= 0

    def tick(self, now_us: int, listens: bool) -> list[SetPhase | Delete]:
        """What is due now. Time in which nobody could renew does not count."""
        last, self._last_us = self._last_us, now_us
        if last is None or not listens:
            return []
        spent = min(max(0, now_us - last), LONGEST_TURN_US)
        self._counted_us += spent
        due = []
        for name, lease in self._leases.items():
            lease.left_us -= spent
            if lease.left_us <= 0:
                due.append(name)
        return self._let_go(due)

    def _let_go(self, due: list[str]) -> list[SetPhase | Delete]:
        longest = max((lease.ttl_us for lease in self._leases.values()), default=0)
        self._gone = [(at, name) for at, name in self._gone if at > self._counted_us - longest]
        fresh = {name for name in due if not self._leases[name].lapsed}
        late = {name for _, name in self._gone}
        everyone = len(self._leases) + sum(name not in self._leases for name in late)
        self.held = len(fresh | late) > max(HELD_FEWEST, HELD_SHARE * everyone)
        if self.held:
            return []
        # They stay due until the list says so: a write that fails is made again.
        return [
            SetPhase(id=name, phase="DRAINING", start=self._leases[name].start, lapsed=True)
            if name in fresh
            else Delete(id=name, start=self._leases[name].start)
            for name in due
        ]
