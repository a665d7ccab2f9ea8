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
from ..children import Starter
from ..scenario import LabScenario
from . import agentcost_process as process
from .agentcost_decisions import Decided, Turn, decide, whole_list
from .agentcost_lists import ListHost, listed
from .slopes import Measured, Point, Run, Slope

SERVICE = 16  # members of a service of the plan: the smallest size that is measured
ZONES = 12
SMALL = 100  # no list that long: a try of the tool itself
Mode = Literal["push", "ask"]
MODES: tuple[Mode, ...] = ("push", "ask")


class Effort(msgspec.Struct, frozen=True):
    """How much is done for one figure."""

    rest_s: float  # of idleness: ten watches of 4 s, or two of 20 s where changes are asked for
    changes: int  # of which the median is taken
    repeats: int  # of a zone's changes in one answer, and of a whole list
    requests: int  # at the decisions


FULL = Effort(40.0, 30, 7, 4000)
LITTLE = Effort(0.3, 3, 2, 50)


class Cost(msgspec.Struct, frozen=True):
    """Of what one thing told: the agent's processor time and the bytes that it received."""

    cpu_ms: float
    received: float


class Rest(msgspec.Struct, frozen=True):
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
        costs, turns, decided = asyncio.run(_all(Path(folder), sizes, s, effort, run))
    return [*_slopes(costs["push"], ""), *_slopes(costs["ask"], "_ask"), *_turn_slopes(turns),
            *_decision_slopes(decided)]


async def _all(folder: Path, sizes: list[int], s: LabScenario, effort: Effort, run: Run
               ) -> tuple[dict[Mode, dict[int, Costs]], dict[int, Turn], dict[int, Decided]]:
    block, held = take_block()
    costs: dict[Mode, dict[int, Costs]] = {mode: {} for mode in MODES}
    turns, decided = {}, {}
    try:
        async with AsyncExitStack() as stack:
            told: dict[tuple[Mode, int], Told] = {}
            for mode in MODES:
                for n in sizes:
                    told[mode, n] = await _one(stack, folder, block, s, mode, n, len(told))
            run.say(f"{len(told)} agents, {', '.join(map(str, sizes))} members each way; idle for "
                    f"{effort.rest_s:g} s")
            rests = await _rest(list(told.values()), effort.rest_s)
            for ((mode, n), one), rest in zip(told.items(), rests, strict=True):
                costs[mode][n] = Costs(
                    memory_mb=one.agent.proc.resident_mb(), rest=rest,
                    change=await one.changes(effort.changes), zone=await one.zone(effort.repeats),
                    one_by_one=await one.one_by_one(), whole=await one.whole(effort.repeats))
                run.say(f"{mode}, {n} members: {_told(costs[mode][n])}")
        # Nothing else runs now: what follows is of this process.
        for n in sizes:
            doc = process.document(s, "", "", told["push", n].host.known())
            turns[n] = whole_list(doc, told["push", n].host.whole_answer(), effort.repeats)
            decided[n] = decide(doc, effort.requests)
            run.say(f"{n} members: one turn for the whole list {turns[n].all_ms:.2f} ms; decisions "
                    f"{decided[n].mean_us:.0f} us a request, cutoffs {decided[n].rebuild_ms:.2f} ms")
    finally:
        held.close()
    return costs, turns, decided


async def _one(stack: AsyncExitStack, folder: Path, block: Block, s: LabScenario, mode: Mode, n: int,
               number: int) -> Told:
    zones, kind = tuple(s.fleet.zones), s.kind[0].name
    host = await stack.enter_async_context(listed(
        folder / f"list{number}", block.discovery(number), n, lambda i: members_at(block, i), zones, kind))
    doc = process.document(s, block.agent(number), host.address, host.known(), mode)
    agent = await stack.enter_async_context(process.started(Starter(), folder, f"a{number}", doc))
    await host.heard()
    return Told(agent, host)


async def _rest(all_told: list[Told], seconds: float) -> list[Rest]:
    """All of them left alone at once: each but sleeps."""
    before = [(t.agent.proc.cpu_ns(), t.host.traffic()) for t in all_told]
    began = time.monotonic()
    await asyncio.sleep(seconds)
    rests = []
    for one, (cpu, traffic) in zip(all_told, before, strict=True):
        took, now = time.monotonic() - began, one.host.traffic()
        both = now.received - traffic.received + now.sent - traffic.sent
        rests.append(Rest((one.agent.proc.cpu_ns() - cpu) / 1e9 / took, both / took))
    return rests


def _told(c: Costs) -> str:
    return (f"{c.memory_mb:.1f} MB, idle {100 * c.rest.share:.3f}% and {c.rest.bytes_s:.0f} bytes a second; "
            f"a change {c.change.cpu_ms:.2f} ms, a zone {c.zone.cpu_ms:.2f} ms at once and "
            f"{c.one_by_one.cpu_ms:.1f} ms one by one, all {c.whole.cpu_ms:.1f} ms")


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


def _turn_slopes(turns: dict[int, Turn]) -> list[Slope]:
    def of(name: str, value: Any, note: str) -> Slope:
        return _slope(name, "ms", {n: value(t) for n, t in turns.items()}, note)

    return [
        of("agent.longest_turn_ms", lambda t: t.all_ms, "of a whole list: the next five, in one turn"),
        of("agent.turn_json_ms", lambda t: t.json_ms, "json.loads"),
        of("agent.turn_parser_ms", lambda t: t.parser_ms, "ListingParser.parse"),
        of("agent.turn_roster_ms", lambda t: t.roster_ms, "Roster.told"),
        of("agent.turn_backends_ms", lambda t: t.backends_ms, "Backends.told"),
        of("decisions.whole_list_ms", lambda t: t.balancer_ms, "Balancer.handle(BackendsChanged)"),
    ]


def _decision_slopes(decided: dict[int, Decided]) -> list[Slope]:
    def of(name: str, unit: str, value: Any, note: str) -> Slope:
        return _slope(f"decisions.{name}", unit, {n: value(d) for n, d in decided.items()}, note)

    return [
        of("request_us", "us", lambda d: d.mean_us, "the mean; its share of rebuilding the cutoffs included"),
        of("request_between_us", "us", lambda d: d.between_us, "the median: the cutoffs as they are"),
        of("rebuild_ms", "ms", lambda d: d.rebuild_ms, "Balancer._index, in one turn, every n/4 picks"),
    ]
