"""Leases: a member that has not renewed for its TTL drains, and one TTL later is removed.

The caller passes in the time. Only time in which the service ran and listened counts, so that a pause, a
restart or a step of the wall clock expires no member. If more than a share of all leased members would expire
within one TTL, expiry is suspended (Eureka's self-preservation, with its default threshold of 85 per cent of
renewals), so that a network partition does not empty the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .state_machine import Delete, Entry, SetPhase

TICK_US = 200_000  # between two checks of the leases
MAX_TICK_US = 2 * TICK_US  # a longer interval means that the service was paused; the rest does not count
MAX_EXPIRED_SHARE = 0.15
MAX_EXPIRED_FLOOR = 3  # so many may always expire, as in a small list each is a large share


@dataclass(slots=True)
class Lease:
    """The lease of one member: its length and its remaining time."""

    ttl_us: int
    left_us: int
    start: int
    lapsed: bool  # it has expired once, and the list has recorded that


class Leases:
    """The leases of all entries that have a TTL."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._last_tick_us: int | None = None
        self._recent_expiries: list[tuple[int, str]] = []  # counted time and id of each
        self._counted_us = 0
        self.expiry_suspended = False

    def __len__(self) -> int:
        return len(self._leases)

    def grant(self, entries: Iterable[Entry]) -> None:
        """Start a full lease for each of the entries, which are on disk; end it for those without a TTL."""
        for entry in entries:
            name = entry.member.id
            if not entry.ttl_ms:
                self._leases.pop(name, None)
                continue
            old, ttl_us = self._leases.get(name), entry.ttl_ms * 1000
            if entry.lapsed and old is not None and not old.lapsed:
                self._recent_expiries.append((self._counted_us, name))
            self._leases[name] = Lease(ttl_us, ttl_us, entry.start, entry.lapsed)

    def revoke(self, names: Iterable[str]) -> None:
        for name in names:
            self._leases.pop(name, None)

    def renew(self, name: str, start: int) -> bool | None:
        """Renew a lease: False if `start` is that of an older process, None if there is no lease."""
        lease = self._leases.get(name)
        if lease is None:
            return None
        if start < lease.start:
            return False
        lease.left_us = lease.ttl_us
        return True

    def is_expired(self, name: str) -> bool:
        """Whether the lease has run out and has not been renewed since."""
        lease = self._leases.get(name)
        return lease is not None and lease.left_us <= 0

    def tick(self, now_us: int, is_listening: bool) -> list[SetPhase | Delete]:
        """Advance to a monotonic time and return the writes that are due.

        Time in which the service could not receive renewals does not count.
        """
        last_us, self._last_tick_us = self._last_tick_us, now_us
        if last_us is None or not is_listening:
            return []
        elapsed_us = min(max(0, now_us - last_us), MAX_TICK_US)
        self._counted_us += elapsed_us
        expired = []
        for name, lease in self._leases.items():
            lease.left_us -= elapsed_us
            if lease.left_us <= 0:
                expired.append(name)
        return self._expire(expired)

    def _expire(self, expired: list[str]) -> list[SetPhase | Delete]:
        longest_ttl_us = max((lease.ttl_us for lease in self._leases.values()), default=0)
        self._recent_expiries = [
            (at_us, name)
            for at_us, name in self._recent_expiries
            if at_us > self._counted_us - longest_ttl_us
        ]
        newly_expired = {name for name in expired if not self._leases[name].lapsed}
        recently_expired = {name for _, name in self._recent_expiries}
        total = len(self._leases) + sum(name not in self._leases for name in recently_expired)
        self.expiry_suspended = len(newly_expired | recently_expired) > max(
            MAX_EXPIRED_FLOOR, MAX_EXPIRED_SHARE * total
        )
        if self.expiry_suspended:
            return []
        # They stay expired until the list records it, so that a failed write is repeated.
        return [
            SetPhase(id=name, phase="DRAINING", start=self._leases[name].start, lapsed=True)
            if name in newly_expired
            else Delete(id=name, start=self._leases[name].start)
            for name in expired
        ]
