"""Baselines behind the interface of the decisions, each from its published description.

All of them take the list as it is told, do not refuse what they can send, and share one textbook plan: an
attempt may take what the client has left; a failed one is repeated while the retry budget holds (a token
bucket of a tenth of the requests, as in Finagle's RetryBudget documentation) and the rules allow it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Any
from zlib import crc32

from burlshift.balancing import interface
from burlshift.balancing.interface import Effect, Group, Outcome

RETRY_SHARE, RETRY_BURST = 0.1, 10.0
EWMA_US = 10_000_000  # decay of Peak EWMA
BOUND = 1.5  # of BoundedHash
HOLD_US = 50_000  # a request is looked at again this soon while no server is listed


class Held:
    """A request that this baseline has taken."""

    __slots__ = ("event", "cls", "until", "sends", "out", "may_have_run", "tried")

    def __init__(self, event: interface.RequestArrived, cls: interface.RequestClass, now: int) -> None:
        self.event, self.cls, self.until = event, cls, now + event.patience_us
        self.sends = 0
        self.out: dict[int, tuple[interface.Backend, int]] = {}
        self.may_have_run: list[tuple[int, interface.Backend, int]] = []
        self.tried: set[interface.BackendId] = set()


class Baseline:
    """Sends every request at once to the server that pick() names."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.now = 0
        self.servers: dict[interface.BackendId, interface.Backend] = {}
        self.ready: list[interface.Backend] = []
        self.own: dict[interface.BackendId, int] = {}  # own attempts out
        self.requests: dict[int, Held] = {}
        self.budget = RETRY_BURST
        self.actions: list[interface.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.BackendsChanged: self._backends,
            interface.RequestArrived: self._arrived,
            interface.AttemptEnded: self._ended,
            interface.ClientGone: self._gone,
            interface.TimerFired: self._timer,
        }

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        self.now, self.actions = now, []
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        """The server to send a request with this key to; 0 is none."""
        raise NotImplementedError

    def learn(self, server: interface.Backend, outcome: Outcome, latency_us: int) -> None:
        """An attempt has ended."""

    def _backends(self, e: interface.BackendsChanged) -> None:
        if e.kind is interface.ListKind.FAILED:
            self.actions.append(interface.SetTimer(1_000_000, 0))
            return
        if e.kind is not interface.ListKind.DELTA:
            self.servers.clear()
        for b in e.backends:
            self.servers[b.id] = b
        self.ready = [b for b in self.servers.values() if b.state is interface.State.READY]
        if self.settings.discovery is interface.Discovery.ASK and e.kind is interface.ListKind.CACHED:
            self.actions.append(interface.Watch())

    def _arrived(self, e: interface.RequestArrived) -> None:
        r = Held(e, self.settings.classes[e.request_class], self.now)
        self.requests[e.request] = r
        self.budget = min(RETRY_BURST, self.budget + RETRY_SHARE)
        self._advance(r)

    def _advance(self, r: Held) -> None:
        margin = max(0, 2 * self.settings.tick_us - self.settings.answer_slack_us // 2)
        left = r.until - self.now - margin
        among = [b for b in self.ready if self._may_go(r, b)] if r.may_have_run else self.ready
        fresh = [b for b in among if b.id not in r.tried] if r.tried else among
        if left <= 0 or r.sends >= self.settings.max_attempts or not among:
            if not among and not r.sends and left > HOLD_US:
                self.actions.append(interface.SetTimer(HOLD_US, r.event.request))
                return
            self._finish(r)
            return
        b = self.pick(fresh or among, r.event.key)
        r.out[r.sends] = (b, self.now)
        r.may_have_run.append((r.sends, b, self.now))
        r.tried.add(b.id)
        r.sends += 1
        self.own[b.id] = self.own.get(b.id, 0) + 1
        self.actions.append(interface.Send(r.event.request, b.id, max(1, left)))

    def _may_go(self, r: Held, b: interface.Backend) -> bool:
        if r.cls.effect is Effect.SAFE:
            return True
        _, first, sent = r.may_have_run[0]
        if r.cls.effect is Effect.UNSAFE or self.now >= sent + r.cls.window_us - 2 * self.settings.tick_us:
            return False
        return r.cls.group is Group.ALL or (
            b.zone == first.zone if r.cls.group is Group.ZONE else b.cell == first.cell
        )

    def _ended(self, e: interface.AttemptEnded) -> None:
        r = self.requests.get(e.request)
        if r is None or e.attempt not in r.out:
            return
        b, _ = r.out.pop(e.attempt)
        self.own[b.id] -= 1
        self.learn(b, e.outcome, e.latency_us)
        if e.outcome in interface.NEVER_RAN:
            r.may_have_run = [m for m in r.may_have_run if m[0] != e.attempt]
        if e.finished:
            if not r.out:
                del self.requests[e.request]
        elif self.budget >= 1.0:
            self.budget -= 1.0
            self._advance(r)
        else:
            self._finish(r)

    def _finish(self, r: Held) -> None:
        unseen = not r.may_have_run
        self.actions.append(interface.Refuse(r.event.request) if unseen else interface.Fail(r.event.request))
        self.requests.pop(r.event.request, None)

    def _gone(self, e: interface.ClientGone) -> None:
        r = self.requests.pop(e.request, None)
        for b, _ in r.out.values() if r is not None else ():
            self.own[b.id] -= 1

    def _timer(self, e: interface.TimerFired) -> None:
        r = self.requests.get(e.token)
        if r is not None and not r.sends:
            self._advance(r)
        elif not e.token:
            self.actions.append(interface.Watch())


class UniformRandom(Baseline):
    """Each server with the same chance."""

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        return among[int(self.rng.random() * len(among))]


class RoundRobin(Baseline):
    """One server after the other, from a random place."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = int(self.rng.random() * 1_000_000)

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        self.turn += 1
        return among[self.turn % len(among)]


class TwoChoices(Baseline):
    """Of two servers the one with fewer own requests (Mitzenmacher, The Power of Two Choices in Randomized
    Load Balancing, 2001)."""

    def weigh(self, b: interface.Backend) -> float:
        return self.own.get(b.id, 0)

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        n = len(among)
        i = int(self.rng.random() * n)
        j = int(self.rng.random() * (n - 1)) if n > 1 else i
        a, b = among[i], among[j + (j >= i) if n > 1 else i]
        return a if self.weigh(a) <= self.weigh(b) else b


class PeakEwma(TwoChoices):
    """Of two servers the one with the lower product of own requests and a latency average that jumps to peaks
    and decays (Peak EWMA, as Finagle's documentation of its client load balancers describes it)."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.cost: dict[interface.BackendId, tuple[float, int]] = {}

    def weigh(self, b: interface.Backend) -> float:
        cost, at = self.cost.get(b.id, (0.0, self.now))
        cost *= math.exp((at - self.now) / EWMA_US)
        return cost * (self.own.get(b.id, 0) + 1) if cost else self.own.get(b.id, 0)

    def learn(self, server: interface.Backend, outcome: Outcome, latency_us: int) -> None:
        cost, at = self.cost.get(server.id, (0.0, self.now))
        keep = math.exp((at - self.now) / EWMA_US)
        took = float(latency_us)
        self.cost[server.id] = (took if took > cost else cost * keep + took * (1 - keep), self.now)


class BoundedHash(Baseline):
    """A key goes to the server that ranks highest for it and holds at most BOUND times its part of the own.

    Rendezvous hashing (Thaler and Ravishankar 1998) with bounded loads (Mirrokni et al. 2018).

    Not our mechanism: it shows what servers' memory of keys is worth on a day.
    """

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        mark = key or int(self.rng.random() * 2**32)
        most = BOUND * (1 + sum(self.own.get(b.id, 0) for b in among)) / len(among)
        ranked = sorted(among, key=lambda b: crc32(f"{mark} {b.id}".encode()))
        return next((b for b in ranked if self.own.get(b.id, 0) + 1 <= max(1.0, most)), ranked[0])


class LeastLoaded(Baseline):
    """Sees the true state of every server at once: no agent can, so it is a ceiling and not a rival."""

    def __init__(
        self, settings: interface.Settings, seed: int, load: Callable[[interface.BackendId], float]
    ) -> None:
        super().__init__(settings, seed)
        self.load = load

    def pick(self, among: list[interface.Backend], key: int) -> interface.Backend:
        # Two agents that act in the same tick must not meet at the same one of several that are equal.
        return min(among, key=lambda b: (self.load(b.id), self.rng.random()))
