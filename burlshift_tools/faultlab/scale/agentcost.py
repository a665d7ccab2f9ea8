"""What a list of so many members costs one agent: memory, processor time, bytes, and the decisions' share."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from statistics import median
from typing import Any, Literal

import msgspec

from ..addresses import Block, take_block
from ..child_processes import Starter
from ..scenario import LabScenario
from . import agentcost_process as process
from .agentcost_decisions import Decided, Turn, by_itself, decide, take_in
from .agentcost_lists import ListHost, Traffic, listed
from .slopes import Measured, Point, Run, Slope

SERVICE = 16  # members of a service of the plan: the smallest size that is measured
ZONES = 12
SMALL = 100  # no list that long: a try of the tool itself
Mode = Literal["push", "ask"]
MODES: tuple[Mode, ...] = ("push", "ask")


class Effort(msgspec.Struct, frozen=True):
    """How much is done for one figure."""

    rest_s: float  # of idleness: some watches of 4 s, or two of 20 s where changes are asked for
    changes: int  # of which the median is taken
    repeats: int  # of a zone's changes in one answer, and of a whole list
    requests: int  # at the decisions


FULL = Effort(44.0, 30, 7, 4000)
LITTLE = Effort(0.3, 3, 2, 50)
LOOK_S = 0.1


class Cost(msgspec.Struct, frozen=True):
    """Of what one thing told: the agent's processor time and the bytes that it received."""

    cpu_ms: float
    received: float


class Rest(msgspec.Struct, frozen=True):
    """What an idle agent uses."""

    share: float  # of a processor
    bytes_s: float  # received and sent


class Costs(msgspec.Struct, kw_only=True):
    """One agent with one list."""

    memory_mb: float
    rest: Rest
    change: Cost
    zone: Cost
    one_by_one: Cost
    whole: Cost


class Alone(msgspec.Struct, frozen=True):
    """What was measured in this process."""

    whole: Turn
    change: Turn
    decided: Decided


class Told:
    """An agent, the list that tells it, and what it has cost so far."""

    def __init__(self, agent: process.Agent, host: ListHost) -> None:
        self.agent, self.host = agent, host

    async def _cost_of(self, numbers: range, phase: Any) -> Cost:
        cpu, received = self.agent.proc.cpu_ns(), self.host.traffic().received
        await self.host.change(numbers, phase)
        return self._since(cpu, received)

    def _since(self, cpu: int, received: int) -> Cost:
        return Cost((self.agent.proc.cpu_ns() - cpu) / 1e6, self.host.traffic().received - received)

    async def changes(self, count: int) -> Cost:
        """The median of so many members that drain and serve again, one in an answer."""
        costs = []
        for i in range(count):
            member = i // 2 % self.host.count
            phase = "SERVING" if i % 2 else "DRAINING"
            costs.append(await self._cost_of(range(member, member + 1), phase))
        return _median(costs)

    async def zone(self, count: int) -> Cost:
        """A zone's worth of members in one answer; the median of so many."""
        zone = range(max(1, self.host.count // ZONES))
        return _median([await self._cost_of(zone, "SERVING" if i % 2 else "DRAINING") for i in range(count)])

    async def one_by_one(self) -> Cost:
        """As many members, each in an answer of its own: the sum."""
        phases = ("DRAINING", "SERVING")
        cpu, received = self.agent.proc.cpu_ns(), self.host.traffic().received
        members = range(max(1, self.host.count // ZONES))
        now = self.host.service.store.state.entries
        for i in members:
            serves = list(now.values())[i].member.phase == "SERVING"
            await self.host.change(range(i, i + 1), phases[0] if serves else phases[1])
        return self._since(cpu, received)

    async def whole(self, count: int) -> Cost:
        costs = []
        for i in range(count):
            cpu, received = self.agent.proc.cpu_ns(), self.host.traffic().received
            await self.host.tell_whole("SERVING" if i % 2 else "DRAINING")
            costs.append(self._since(cpu, received))
        return _median(costs)


def _median(costs: list[Cost]) -> Cost:
    return Cost(median(c.cpu_ms for c in costs), median(c.received for c in costs))


def with_service(sizes: Sequence[int]) -> list[int]:
    """The sizes, and a service's own below them."""
    return sorted({SERVICE, *sizes})


def effort_for(sizes: Sequence[int]) -> Effort:
    return FULL if max(sizes) >= SMALL else LITTLE


def members_at(block: Block, i: int) -> str:
    """An address for a member that nobody calls."""
    return f"127.{block.block}.{128 + i // 250}.{1 + i % 250}:{block.port}"


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Raises Failed where an agent does not serve or take in its list, NoRoom without addresses."""
    sizes, effort = with_service(sizes), effort_for(sizes)
    s = process.deployment()
    with tempfile.TemporaryDirectory(prefix="scale-agentcost-") as folder:
        costs, alone = asyncio.run(_all(Path(folder), sizes, s, effort, run))
    return [*_slopes(costs["push"], ""), *_slopes(costs["ask"], "_ask"), *_alone_slopes(alone)]


async def _all(
    folder: Path, sizes: list[int], s: LabScenario, effort: Effort, run: Run
) -> tuple[dict[Mode, dict[int, Costs]], dict[int, Alone]]:
    block, held = take_block()
    costs: dict[Mode, dict[int, Costs]] = {mode: {} for mode in MODES}
    starter = Starter()
    try:
        async with AsyncExitStack() as stack:
            which = [(mode, n) for mode in MODES for n in sizes]
            told = dict(
                zip(
                    which,
                    await process.together(
                        _one(stack, starter, folder, block, s, mode, n, i)
                        for i, (mode, n) in enumerate(which)
                    ),
                    strict=True,
                )
            )
            run.say(
                f"{len(told)} agents, {', '.join(map(str, sizes))} members each way; idle for "
                f"{effort.rest_s:g} s"
            )
            rests = await _rest(list(told.values()), effort.rest_s)
            for ((mode, n), one), rest in zip(told.items(), rests, strict=True):
                costs[mode][n] = Costs(
                    memory_mb=one.agent.proc.resident_mb(),
                    rest=rest,
                    change=await one.changes(effort.changes),
                    zone=await one.zone(effort.repeats),
                    one_by_one=await one.one_by_one(),
                    whole=await one.whole(effort.repeats),
                )
                run.say(f"{mode}, {n} members: {_told(costs[mode][n])}")
        # Nothing else runs now: what follows is of this process.
        alone = {n: _alone(s, told["push", n].host, effort) for n in sizes}
        for n, found in alone.items():
            run.say(
                f"{n} members: one turn for the whole list {found.whole.all_ms:.2f} ms, for a change "
                f"{found.change.all_ms:.2f} ms; decisions {found.decided.mean_us:.0f} us a request, "
                f"cutoffs {found.decided.rebuild_ms:.2f} ms"
            )
    finally:
        held.close()
    return costs, alone


def _alone(s: LabScenario, host: ListHost, effort: Effort) -> Alone:
    known = host.known()
    doc = process.document(s, "", "", known)
    changed = {**known["members"][0], "phase": "DRAINING"}
    answer = msgspec.json.encode({"revision": known["revision"] + 1, "complete": False, "members": [changed]})
    with by_itself():
        return Alone(
            take_in(doc, host.whole_answer(), effort.repeats),
            take_in(doc, answer, effort.repeats),
            decide(doc, effort.requests),
        )


async def _one(
    stack: AsyncExitStack,
    starter: Starter,
    folder: Path,
    block: Block,
    s: LabScenario,
    mode: Mode,
    n: int,
    number: int,
) -> Told:
    zones, kind = tuple(s.fleet.zones), s.kind[0].name
    host = await stack.enter_async_context(
        listed(
            folder / f"list{number}", block.discovery(number), n, lambda i: members_at(block, i), zones, kind
        )
    )
    doc = process.document(s, block.agent(number), host.address, host.known(), mode)
    agent = await stack.enter_async_context(process.started(starter, folder, f"a{number}", doc))
    await host.heard()
    return Told(agent, host)


async def _rest(all_told: list[Told], seconds: float) -> list[Rest]:
    """All of them left alone at once: each but sleeps."""
    marks = [[_mark(told)] for told in all_told]
    until = time.monotonic() + seconds
    while (left := until - time.monotonic()) > 0:
        await asyncio.sleep(min(LOOK_S, left))
        for told, seen in zip(all_told, marks, strict=True):
            if told.host.traffic() != seen[-1].traffic:
                seen.append(_mark(told))
    return [_between(seen, _mark(told)) for told, seen in zip(all_told, marks, strict=True)]


class Mark(msgspec.Struct, frozen=True):
    """Processor time and traffic at one instant."""

    at: float
    cpu_ns: int
    traffic: Traffic


def _mark(told: Told) -> Mark:
    return Mark(time.monotonic(), told.agent.proc.cpu_ns(), told.host.traffic())


def _between(seen: list[Mark], end: Mark) -> Rest:
    """From one call to another, a whole number of them; where none or one was seen, over all the time."""
    first, last = (seen[1], seen[-1]) if len(seen) > 2 else (seen[0], end)
    took, before, now = last.at - first.at, first.traffic, last.traffic
    both = now.received - before.received + now.sent - before.sent
    return Rest((last.cpu_ns - first.cpu_ns) / 1e9 / took, both / took)


def _told(c: Costs) -> str:
    return (
        f"{c.memory_mb:.1f} MB, idle {100 * c.rest.share:.3f}% and {c.rest.bytes_s:.0f} bytes a second; "
        f"a change {c.change.cpu_ms:.2f} ms, a zone {c.zone.cpu_ms:.2f} ms at once and "
        f"{c.one_by_one.cpu_ms:.1f} ms one by one, all {c.whole.cpu_ms:.1f} ms"
    )


def _slope(name: str, unit: str, values: dict[int, float], note: str = "") -> Slope:
    points = tuple(Point(n, value) for n, value in values.items())
    return Slope(name=name, unit=unit, per="members", points=points, note=note)


def _slopes(costs: dict[int, Costs], suffix: str) -> list[Slope]:
    """A suffix where changes are asked for."""

    def of(name: str, unit: str, value: Any, note: str = "") -> Slope:
        return _slope(f"agent.{name}{suffix}", unit, {n: value(c) for n, c in costs.items()}, note)

    return [
        of("memory_mb", "MB", lambda c: c.memory_mb, "resident, the list taken in, before any call"),
        of("idle_share", "of a core", lambda c: c.rest.share),
        of("rest_bytes_s", "bytes/s", lambda c: c.rest.bytes_s, "HTTP of the watch, both ways"),
        of("change_ms", "ms", lambda c: c.change.cpu_ms, "processor, the call and its next included"),
        of("change_bytes", "bytes", lambda c: c.change.received, "received"),
        of("zone_change_ms", "ms", lambda c: c.zone.cpu_ms, "a twelfth of the members in one answer"),
        of("zone_change_bytes", "bytes", lambda c: c.zone.received, "received"),
        of("zone_one_by_one_ms", "ms", lambda c: c.one_by_one.cpu_ms, "as many, an answer each: the sum"),
        of("zone_one_by_one_bytes", "bytes", lambda c: c.one_by_one.received, "received"),
        of("whole_list_ms", "ms", lambda c: c.whole.cpu_ms, "processor"),
        of("whole_list_bytes", "bytes", lambda c: c.whole.received, "received"),
    ]


def _alone_slopes(alone: dict[int, Alone]) -> list[Slope]:
    """Processor time in this process, where nothing else is in it."""

    def of(name: str, unit: str, value: Any, note: str) -> Slope:
        return _slope(name, unit, {n: value(a) for n, a in alone.items()}, note)

    turn = "one turn for a whole list: "
    change = "one turn for a change: "
    return [
        of("agent.longest_turn_ms", "ms", lambda a: a.whole.all_ms, turn + "the next five"),
        of("agent.turn_json_ms", "ms", lambda a: a.whole.json_ms, turn + "json.loads"),
        of("agent.turn_parser_ms", "ms", lambda a: a.whole.parser_ms, turn + "ListingParser.parse"),
        of("agent.turn_roster_ms", "ms", lambda a: a.whole.roster_ms, turn + "Roster.told"),
        of("agent.turn_backends_ms", "ms", lambda a: a.whole.backends_ms, turn + "Backends.told"),
        of("decisions.whole_list_ms", "ms", lambda a: a.whole.balancer_ms, turn + "Balancer.handle"),
        of("agent.change_turn_ms", "ms", lambda a: a.change.all_ms, change + "the next two, and little else"),
        of("agent.change_roster_ms", "ms", lambda a: a.change.roster_ms, change + "Roster.told"),
        of("decisions.change_ms", "ms", lambda a: a.change.balancer_ms, change + "Balancer.handle"),
        of("decisions.request_us", "us", lambda a: a.decided.mean_us, "the mean, rebuilt cutoffs included"),
        of(
            "decisions.request_between_us",
            "us",
            lambda a: a.decided.between_us,
            "the median: the cutoffs as they are",
        ),
        of(
            "decisions.rebuild_ms",
            "ms",
            lambda a: a.decided.rebuild_ms,
            "Balancer._index in one turn, every n/4 picks and after each change",
        ),
    ]
