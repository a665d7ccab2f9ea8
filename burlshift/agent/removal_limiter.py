"""Removes backends in steps if a full list lacks most of them at once.

A faulty discovery, or one whose database was restored or partitioned, may return a part of the fleet as if it
were all of it. Applied at once, that part would get the whole load and be overloaded. So if one full list
lacks more than half of the backends that were listed and not draining:

- the entries that it has are applied at once, and so is every later change of a single backend, such as
  DRAINING;
- the missing backends stay listed and are removed a tenth of the list at a time, once a second, in random
  order, so that the agents do not all remove the same ones together;
- a missing backend that does not respond is removed at once: an attempt or a probe failed to connect, was
  reset or timed out. If probes are allowed, each step probes as many as it removes, first those that would
  stay longest;
- a missing backend that discovery lists again gets the state that discovery states.

After eleven seconds the list is as discovery states it. (Eureka's self-preservation mode is similar, but has
no time limit and so keeps dead instances.) This module has no clock, socket or random source of its
own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil
from random import Random

from burlshift.balancing.interface import Outcome, State

from .listing import Listing, Member

MAX_REMOVED_SHARE = 0.5  # of the ready backends; one full list may remove this share at once
STEP_SHARE = 0.1  # of the ready backends of the previous list, removed with each step
STEP_INTERVAL_S = 1.0
UNREACHABLE_OUTCOMES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT})


class RemovalLimiter:
    """The backends that stay listed although discovery no longer lists them."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._held: dict[str, Member] = {}  # missing backends by id, in the order of their removal
        self._unprobed: list[str] = []  # in the order of removal; probed from the end
        self._step_size = 0

    def __len__(self) -> int:
        return len(self._held)

    def next_probes(self) -> list[str]:
        """The ids of the backends to probe with this step; each is returned once."""
        names = [name for name in self._unprobed[-self._step_size :] if name in self._held]
        del self._unprobed[-self._step_size :]
        return names

    def apply(self, previous: Mapping[str, Member], listing: Listing) -> Listing:
        """Return discovery's listing, with the missing backends added that are not removed yet.

        previous: the list before this answer by id, including the missing backends that were kept.
        """
        listed = {str(m.backend.id) for m in listing.members}
        for name in listed:
            self._held.pop(name, None)
        if not listing.complete:
            return listing
        ready = {name: m for name, m in previous.items() if m.backend.state is State.READY}
        missing = [name for name in ready if name not in listed and name not in self._held]
        if len(missing) > MAX_REMOVED_SHARE * len(ready):
            self._rng.shuffle(missing)
            self._held.update((name, ready[name]) for name in missing)
            self._unprobed = list(self._held)
            self._step_size = ceil(STEP_SHARE * len(ready))
        return replace(listing, members=(*listing.members, *self._held.values()))

    def record_outcome(self, name: str, outcome: Outcome) -> list[Member]:
        """Process the outcome of an attempt or a probe; returns the backends to remove, as GONE."""
        return self._remove([name] if outcome in UNREACHABLE_OUTCOMES and name in self._held else [])

    def step(self) -> list[Member]:
        """The backends to remove now, as GONE; called every STEP_INTERVAL_S."""
        return self._remove(list(self._held)[: self._step_size])

    def _remove(self, names: Iterable[str]) -> list[Member]:
        members = [self._held.pop(name) for name in names]
        return [replace(m, backend=replace(m.backend, state=State.GONE)) for m in members]
