"""Clients: open-loop arrivals, patience, and retries that belong to their first try."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from burlshift.balancing.interface import Effect, Group

from .random_streams import Stream
from .requests import TRIES, First, Try

if TYPE_CHECKING:
    from .world import World

BLOCK = 4096  # arrivals turned into Python's numbers at a time


class Clients:
    """All clients; each sends through the agent of its own process."""

    def __init__(self, world: World, stream: Stream) -> None:
        self.world, self.stream = world, stream
        self.settings = world.s.clients
        self.retries = min(self.settings.retries, TRIES - 2)
        self.open = 0
        self._coming = self._arrivals()

    def begin(self) -> None:
        self._expect()

    def _arrivals(self) -> Iterator[tuple[int, First]]:
        a, start = self.world.day.arrivals, self.world.start
        for low in range(0, len(a.at), BLOCK):
            part = slice(low, low + BLOCK)
            rows = zip(
                a.at[part].tolist(),
                a.agent[part].tolist(),
                a.cls[part].tolist(),
                a.key[part].tolist(),
                a.work[part].tolist(),
                strict=True,
            )
            for i, (at, agent, cls, key, work) in enumerate(rows):
                heeds = self.stream.uniform() < self.settings.honour
                yield start + at, First(low + i + 1, cls, start + at, key, work, agent, heeds)

    def _expect(self) -> None:
        coming = next(self._coming, None)
        if coming is not None:
            self.world.engine.at(coming[0], self._come, coming[1])

    def _come(self, first: First) -> None:
        self.open += 1
        self.world.account.came(first)
        self._try(first)
        self._expect()

    def _try(self, first: First) -> None:
        world = self.world
        now, c = world.engine.now, world.classes[first.cls]
        patience = min(int(self.settings.try_share * c.deadline_us), first.at + c.deadline_us - now)
        if patience <= world.tick:
            self._end(first, False)
            return
        first.tries += 1
        world.account.tries += 1
        host = world.hosts[first.agent]
        if host is None:
            self._again(first, "unreachable", 0)
            return
        t = Try(first, now + patience, host)
        host.soon(host.arrive, t)
        if self.settings.impatient and self.stream.uniform() < self.settings.impatient:
            world.engine.at(now + int(patience * self.stream.uniform()), self._leave, t)
        world.engine.at(t.until + world.slack, self._expire, t)

    def _leave(self, t: Try) -> None:
        """The client goes early and does not come back."""
        if t.open:
            t.open = False
            t.host.gone(t)
            self._end(t.first, False)

    def _expire(self, t: Try) -> None:
        if t.open:
            self.world.checker.unanswered(self.world.engine.now, t)
            t.open = False
            t.host.gone(t)
            self._again(t.first, "failed", 0)

    def answered(self, t: Try, how: str, retry_after: int) -> None:
        """A try has its final answer: `served`, `refused`, `failed`, or `unreachable` when its agent died."""
        if how == "served":
            self._end(t.first, True)
        else:
            self._again(t.first, how, retry_after)

    def _again(self, first: First, how: str, retry_after: int) -> None:
        """Come again where it is harmless (WIRE, what clients do), or give up."""
        world, c = self.world, self.world.classes[first.cls]
        first.refused = how == "refused"
        harmless = (
            how in ("refused", "unreachable")
            or c.effect is Effect.SAFE
            or (c.effect is Effect.KEYED and c.group is Group.ALL)
        )
        if not harmless or first.tries > self.retries:
            self._end(first, False)
            return
        wait = (
            int(self.settings.backoff_ms * 1000)
            if (self.settings.backoff == "fixed" or how == "unreachable")
            else 0
        )
        if how == "refused" and first.heeds:
            wait = max(wait, min(retry_after, int(world.s.allow.max_retry_after_ms * 1000)))
        over = first.at + c.deadline_us  # its client waits no longer than this, whatever it was advised
        world.engine.at(min(world.engine.now + wait, over), self._try, first)

    def _end(self, first: First, served: bool) -> None:
        if not first.ended:
            first.ended = True
            self.open -= 1
            self.world.account.ended(first, self.world.engine.now, served)
