"""A whole list that lost most of the backends at once is taken in steps.

A discovery that is ill, or a database behind it that was restored or cut in two, names a part of the fleet as
if it were all. Taken as said, the part would get everything and fall. So where one whole list lacks more than
half of the backends that were listed and not draining:

- what it names counts at once, and so does every word on one backend, as a change that says DRAINING;
- the missing stay listed and are let go a tenth of the list at a time, once a second, in random order: agents
  do not shed the same ones together;
- one that does not answer is let go at once: its attempt, or its probe, failed to connect, was reset or timed
  out. Where probes are allowed, as many are asked with each step, those first that would stay longest;
- one that is named again is listed as named.

Whatever discovery says, it is so after eleven seconds. (Eureka's self-preservation is the published relative;
it holds for ever, which keeps the dead.) Without a clock, a socket or a random source of its own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil
from random import Random

from burlshift.balancing.interface import Outcome, State

from .listing import Listing, Member

MOST = 0.5  # of the backends that one whole list may take away at once
STEP = 0.1  # of the list as it was, let go at a time
STEP_S = 1.0
DEAD = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT})


class RemovalLimiter:
    """Which backends are listed though discovery no longer names them."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._held: dict[str, Member] = {}  # in the order in which they are let go
        self._unasked: list[str] = []  # the last to go is the first to be asked
        self._step = 0

    def __len__(self) -> int:
        return len(self._held)

    def to_ask(self) -> list[str]:
        """Whom to probe now; each once."""
        asked = [name for name in self._unasked[-self._step :] if name in self._held]
        del self._unasked[-self._step :]
        return asked

    def take(self, before: Mapping[str, Member], listing: Listing) -> Listing:
        """What discovery says, with those added that are not let go yet.

        before: the list as it was, by id, with those that are held.
        """
        named = {str(m.backend.id) for m in listing.members}
        for name in named:
            self._held.pop(name, None)
        if not listing.complete:
            return listing
        there = {name: m for name, m in before.items() if m.backend.state is State.READY}
        missing = [name for name in there if name not in named and name not in self._held]
        if len(missing) > MOST * len(there):
            self._rng.shuffle(missing)
            self._held.update((name, there[name]) for name in missing)
            self._unasked = list(self._held)
            self._step = ceil(STEP * len(there))
        return replace(listing, members=(*listing.members, *self._held.values()))

    def ended(self, name: str, outcome: Outcome) -> list[Member]:
        """An attempt at a backend, or a probe of it, has ended; whom to let go for that."""
        return self._let_go([name] if outcome in DEAD and name in self._held else [])

    def step(self) -> list[Member]:
        """STEP_S have passed; whom to let go now."""
        return self._let_go(list(self._held)[: self._step])

    def _let_go(self, names: Iterable[str]) -> list[Member]:
        members = [self._held.pop(name) for name in names]
        return [replace(m, backend=replace(m.backend, state=State.GONE)) for m in members]
