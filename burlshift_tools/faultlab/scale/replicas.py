"""Readers as the list service's machine goes: without followers, and with some.

The agents are hollow (hollow_agents.py), each process of them a part of the fleet with its follower, all real
processes over sockets, as many as the machine has processors for. What a region sees that is cut off is what
all see here: a follower whose source is silent.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import statistics
import sys
import time
from collections.abc import Sequence

import msgspec

from .fleet_lab import UP_S, Caller, Lab, lab, processor_s, resident_mb
from .fleet_orders import Move, Start, Until
from .fleet_orders import Seen as Answer
from .fleet_turns import LATE_MS
from .plan import IN_FORCE_S, REGIONS
from .slopes import Measured, Point, Run, Slope

LOOK_S = 0.02
PARTS = max(2, min(REGIONS, ((os.cpu_count() or 4) - 2) // 2))  # of the fleet, each with a follower
PER = f"agents that watch, and as many members; {PARTS} followers"
UNITS = {
    "before_share": (
        "share",
        "no followers, the service killed: of the agents that then ask for a whole "
        f"list, those that have it {IN_FORCE_S:g} s later",
    ),
    "after_share": ("share", "the same, at followers"),
    "after_last_ms": (
        "ms",
        "the same, at followers: all ask at once, until the last has it (the limit where it has not)",
    ),
    "last_change_share": (
        "share",
        "a change, the service killed right after its yes: agents at followers "
        f"that have it {IN_FORCE_S:g} s later",
    ),
    "one_last_ms": ("ms", "one member changed: until the last agent at a follower has it, median"),
    "back_last_ms": (
        "ms",
        "the service started again and a change: from its yes until the last agent at a follower has it",
    ),
    "follower_mb": ("MB", "memory of the largest follower, with its agents watching"),
    "follower_cores": ("of a core", "the busiest follower at rest, with its agents watching"),
    "leader_cores": ("of a core", "the service at rest, with followers alone watching"),
}


class Times(msgspec.Struct, frozen=True, kw_only=True):
    """Durations and repetitions of a measurement."""

    limit_s: float = IN_FORCE_S
    changes: int = 10
    rest_s: float = 8.0
    spread_s: float = 4.0  # over which all move to their followers, which is nobody's figure


SMALL = Times(limit_s=1.0, changes=2, rest_s=0.3, spread_s=0.1)


class Heard(msgspec.Struct):
    """Of all agents: the share that heard, and ms until the last one did, the limit where one has not."""

    share: float
    last_ms: float


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Raises Failed, NoRoom, OSError."""
    times = SMALL if run.small else Times()
    found = {size: asyncio.run(_one_size(size, times, run)) for size in sorted(sizes)}
    return [
        Slope(
            name=f"replicas.{name}",
            unit=unit,
            per=PER,
            note=note,
            points=tuple(Point(size, values[name]) for size, values in found.items()),
        )
        for name, (unit, note) in UNITS.items()
    ]


async def _one_size(size: int, times: Times, run: Run) -> dict[str, float]:
    began = time.monotonic()
    async with lab(size) as made:
        made.crowds = list(
            await asyncio.gather(
                *(made.crowd(f"crowd{n}", size // PARTS + (n < size % PARTS)) for n in range(PARTS))
            )
        )
        steps = _Steps(made, times, run)
        await steps.without()
        await steps.followed()
        await steps.gone()
        made.tool_mb()
    run.late += [
        f"{size} agents, {what}: a process of the tool was without a processor for {ms:.0f} ms"
        for what, ms in steps.late.items()
    ]
    run.say(f"  {size} agents: {time.monotonic() - began:.1f} s")
    return steps.values


class _Steps:
    """One after the other, at one size."""

    def __init__(self, made: Lab, times: Times, run: Run) -> None:
        self.lab, self.times, self.run = made, times, run
        self.followers = [made.block.discovery(1 + n) for n in range(PARTS)]
        self.pids: list[int] = []
        self.values: dict[str, float] = {}
        self.late: dict[str, float] = {}  # by what was measured, the worst in ms

    async def without(self) -> None:
        """The service is killed; all agents begin, at its address."""
        await self.lab.kill()
        began = await self._begin()
        await self._all(Start(0.0))
        self.values["before_share"] = (await self._heard("without", began, 0, whole=True)).share

    async def followed(self) -> None:
        """The service is back, followers beside it; all move to theirs and are told of changes."""
        await self.lab.serve()
        for n, at in enumerate(self.followers):
            child = await self.lab.child(
                f"follower{n}",
                [
                    sys.executable,
                    "-m",
                    "burlshift.catalog",
                    "follow",
                    "--listen",
                    at,
                    "--source",
                    self.lab.at,
                ],
            )
            self.pids.append(child.pid)
            await self._answers(at)
        began = await self._begin()
        await asyncio.gather(
            *(
                crowd.ask(Move(at, self.times.spread_s), Answer)
                for crowd, at in zip(self.lab.crowds, self.followers, strict=True)
            )
        )
        await self._all_heard("moved", began, await self.lab.phase([0], "DRAINING"))
        lasts = []
        for n in range(self.times.changes):
            began = await self._begin()
            revision = await self.lab.phase([0], ("SERVING", "DRAINING")[n % 2])
            lasts.append(await self._all_heard("one member", began, revision))
        pids = [self.lab.pid, *self.pids]
        before, since = [processor_s(pid) for pid in pids], time.monotonic()
        await asyncio.sleep(self.times.rest_s)
        span_s = time.monotonic() - since
        leader, *busy = ((processor_s(pid) - b) / span_s for pid, b in zip(pids, before, strict=True))
        self.values |= {
            "one_last_ms": statistics.median(lasts),
            "leader_cores": leader,
            "follower_cores": max(busy),
            "follower_mb": max(resident_mb(pid) for pid in self.pids),
        }

    async def gone(self) -> None:
        """The service is killed right after its yes; then all ask their followers anew; then it is back."""
        began = await self._begin()
        revision = await self.lab.phase([1], "DRAINING")
        await self.lab.kill()
        self.values["last_change_share"] = (await self._heard("last change", began, revision)).share
        began = await self._begin()
        await asyncio.gather(
            *(
                crowd.ask(Move(at, 0.0), Answer)
                for crowd, at in zip(self.lab.crowds, self.followers, strict=True)
            )
        )
        heard = await self._heard("gone", began, revision, whole=True)
        await self.lab.serve()
        began = await self._begin()
        back_ms = await self._all_heard("back", began, await self.lab.phase([1], "SERVING"))
        self.values |= {"after_share": heard.share, "after_last_ms": heard.last_ms, "back_last_ms": back_ms}

    # Parts

    async def _all(self, order: Start) -> None:
        await asyncio.gather(*(crowd.ask(order, Answer) for crowd in self.lab.crowds))

    async def _begin(self) -> int:
        await self.lab.clear()
        return time.monotonic_ns()

    async def _all_heard(self, what: str, began_ns: int, revision: int) -> float:
        """In ms; where one has not heard the run does not count."""
        heard = await self._heard(what, began_ns, revision, limit_s=IN_FORCE_S)
        if heard.share < 1:
            self.run.late.append(
                f"{self.lab.size} agents, {what}: {1 - heard.share:.1%} had not heard after {IN_FORCE_S:g} s"
            )
        return heard.last_ms

    async def _heard(
        self, what: str, began_ns: int, revision: int, whole: bool = False, limit_s: float = 0.0
    ) -> Heard:
        limit_s = limit_s or self.times.limit_s
        order = Until(revision, limit_s, whole)
        seen = await asyncio.gather(*(c.ask(order, Answer, limit_s + 30) for c in self.lab.crowds))
        lost_ms = max(self.lab.turns.lost_ms, *(s.lost_ms for s in seen))
        if lost_ms > LATE_MS:
            self.late[what] = max(lost_ms, self.late.get(what, 0.0))
        arrived = [at for s in seen for at in s.arrived]
        share = sum(at > 0 for at in arrived) / len(arrived)
        return Heard(share, (max(arrived) - began_ns) / 1e6 if share == 1 else limit_s * 1000)

    async def _answers(self, at: str) -> None:
        """Returns once a follower has a list to tell."""
        caller, until = Caller(at), time.monotonic() + UP_S
        try:
            while (await _status(caller)).get("list") is None and time.monotonic() < until:
                await asyncio.sleep(LOOK_S)
        finally:
            caller.close()


async def _status(caller: Caller) -> dict[str, object]:
    with contextlib.suppress(OSError):
        return await caller.call("GET", "/catalog/status")
    return {}
