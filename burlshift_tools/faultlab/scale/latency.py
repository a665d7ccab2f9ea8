"""What an agent adds to a call, by the members of its list: open loop, the direct way and the agent in turn.

The agents, the client and the stand-in servers are processes of their own; each listed member listens at an
address of its own, all of them in one stand-in. Both ways carry the same request; the direct one goes over
kept connections.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ..addresses import split, take_block
from ..child_processes import Starter
from ..scenario import LabScenario
from . import agentcost_process as process
from .agentcost import SMALL, members_at, with_service
from .agentcost_lists import listed
from .latency_client import Target
from .latency_parts import PERCENTILES, Part, Tally, arrivals, counted, judge, part, play, request
from .latency_standin import StandInPlan
from .slopes import Measured, Point, Run, Slope

RATE = 42  # calls a second of one agent: the plan's 130,000 by 3,100
MORE = 10  # times that
DIRECT = 16  # servers that the direct way calls, one after the other


class Effort(msgspec.Struct, frozen=True):
    """Alternating blocks, after one of each that does not count."""

    pairs: int
    direct_s: float
    agent_s: float
    warm_s: float


class Plan(msgspec.Struct, frozen=True):
    """At the low rate all agents are called in the same blocks, at the high one each in its own."""

    low: Effort
    high: Effort


FULL = Plan(Effort(4, 2.5, 10.0, 1.0), Effort(4, 1.0, 1.0, 0.5))
LITTLE = Plan(Effort(2, 0.2, 0.3, 0.1), Effort(1, 0.1, 0.1, 0.1))


class Way:
    """One agent's calls at one rate, beside the direct ones of the same run."""

    def __init__(self, agent: process.Agent, head: str, direct: Tally) -> None:
        self.agent, self.direct, self.calls = agent, direct, Tally()
        self.target = Target(places=[split(agent.address)], request=head, name=agent.child.name)
        self.connections = 0  # that it opened
        self._busy_ns = self._rest_ns = 0  # its processor time in its own blocks and in the direct ones
        self._busy_s = self._rest_s = 0.0
        self._mark = self.agent.proc.cpu_ns()

    def mark(self) -> None:
        self._mark = self.agent.proc.cpu_ns()

    def worked(self, seconds: float) -> None:
        self._busy_ns += self.agent.proc.cpu_ns() - self._mark
        self._busy_s += seconds

    def rested(self, seconds: float) -> None:
        self._rest_ns += self.agent.proc.cpu_ns() - self._mark
        self._rest_s += seconds

    @property
    def cpu_ms(self) -> float:
        """A call; what the agent takes while nobody calls is taken off."""
        rest_ns = self._rest_ns / self._rest_s * self._busy_s if self._rest_s else 0.0
        return (self._busy_ns - rest_ns) / 1e6 / max(1, self.calls.calls)

    def added_ms(self, percentile: str) -> float:
        """The difference of the percentiles, which is not the percentile of differences."""
        return self.calls.ms(percentile) - self.direct.ms(percentile)


class Field:
    """The processes that calls go through, but for the agents."""

    def __init__(self, client: Part, standin: Part, direct: Target, run: Run) -> None:
        self.client, self.standin, self.direct, self.run = client, standin, direct, run
        self._rng = Random(process.SEED)

    async def alternate(self, ways: list[Way], rate: float, effort: Effort) -> None:
        """The agents' calls and the direct ones in turn, at this rate to each agent."""
        targets = [way.target for way in ways]
        rates = [(i, rate) for i in range(len(ways))]
        await self._block([self.direct], [(0, rate * len(ways))], effort.warm_s)
        await self._block(targets, rates, effort.warm_s)
        direct = ways[0].direct
        for _ in range(effort.pairs):
            for way in ways:
                way.mark()
            taken, seconds = await self._block([self.direct], [(0, rate * len(ways))], effort.direct_s)
            direct.add(taken[0])
            before = await counted(self.standin)
            for way in ways:
                way.rested(seconds)
                way.mark()
            taken, seconds = await self._block(targets, rates, effort.agent_s)
            for way, calls in zip(ways, taken, strict=True):
                way.worked(seconds)
                way.calls.add(calls)
            after = await counted(self.standin)
            for way in ways:
                name = way.target.name
                way.connections += after[name].connections - before[name].connections if name in before else 0
        judge(self.run, f"{rate:g} calls a second", [direct, *(way.calls for way in ways)])

    async def _block(self, targets: list[Target], rates: list[tuple[int, float]], seconds: float) -> Any:
        began = time.monotonic()
        taken = await play(self.client, targets, arrivals(self._rng, rates, seconds))
        return taken, time.monotonic() - began


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Raises Failed where a part or an agent does not serve, NoRoom without addresses."""
    plan = FULL if max(sizes) >= SMALL else LITTLE
    with tempfile.TemporaryDirectory(prefix="scale-latency-") as folder:
        ways = asyncio.run(_all(Path(folder), with_service(sizes), plan, run))
    return [slope for rate, by_size in ways.items() for slope in _slopes(rate, by_size)]


async def _all(folder: Path, sizes: list[int], plan: Plan, run: Run) -> dict[int, dict[int, Way]]:
    block, held = take_block()
    s, starter = process.deployment(), Starter()
    head = request(s)
    places = [members_at(block, i) for i in range(max(sizes))]
    try:
        async with AsyncExitStack() as stack:
            standin = await stack.enter_async_context(part(starter, folder, "standin"))
            await standin.ready(
                StandInPlan(
                    levels=[[split(p) for p in places]], agents=[], report=list(s.report.fields), request=""
                )
            )
            client = await stack.enter_async_context(part(starter, folder, "client"))
            direct = Target(places=[split(p) for p in places[:DIRECT]], request=head, name="direct")
            field = Field(client, standin, direct, run)
            agents = dict(
                zip(
                    sizes,
                    await process.together(
                        _agent(stack, starter, folder, s, block.agent(i), block.discovery(i), places[:n])
                        for i, n in enumerate(sizes)
                    ),
                    strict=True,
                )
            )
            shared = Tally()
            low = {n: Way(agent, head, shared) for n, agent in agents.items()}
            await field.alternate(list(low.values()), RATE, plan.low)
            _say(run, RATE, low)
            high = {n: Way(agent, head, Tally()) for n, agent in agents.items()}
            for way in high.values():
                await field.alternate([way], RATE * MORE, plan.high)
            _say(run, RATE * MORE, high)
    finally:
        held.close()
    return {RATE: low, RATE * MORE: high}


async def _agent(
    stack: AsyncExitStack,
    starter: Starter,
    folder: Path,
    s: LabScenario,
    listen: str,
    discovery: str,
    places: list[str],
) -> process.Agent:
    n = len(places)
    host = await stack.enter_async_context(
        listed(folder / f"list{n}", discovery, n, places.__getitem__, tuple(s.fleet.zones), s.kind[0].name)
    )
    doc = process.document(s, listen, discovery, host.known())
    agent = await stack.enter_async_context(process.started(starter, folder, f"a{n}", doc))
    await host.heard()
    return agent


def _say(run: Run, rate: int, ways: dict[int, Way]) -> None:
    for n, way in ways.items():
        added = " ".join(f"{name} {way.added_ms(name):.2f}" for name in PERCENTILES)
        run.say(
            f"{rate} calls a second, {n} members: added {added} ms, {way.cpu_ms:.2f} ms of processor a "
            f"call, {way.calls.calls} calls, {way.connections} connections opened; direct p50 "
            f"{way.direct.ms('p50'):.2f} ms"
        )


def _slopes(rate: int, ways: dict[int, Way]) -> list[Slope]:
    def of(name: str, unit: str, value: Any, note: str = "") -> Slope:
        points = tuple(Point(n, value(way)) for n, way in ways.items())
        return Slope(name=f"call.{name}_{rate}", unit=unit, per="members", points=points, note=note)

    least = min(min(way.calls.calls, way.direct.calls) for way in ways.values())
    slopes = []
    for p in PERCENTILES:
        note = f"difference of the percentiles of {least} calls or more each way"
        slopes += [
            of(f"added_{p}_ms", "ms", lambda w, p=p: w.added_ms(p), note),
            of(f"agent_{p}_ms", "ms", lambda w, p=p: w.calls.ms(p), "through the agent"),
            of(f"direct_{p}_ms", "ms", lambda w, p=p: w.direct.ms(p), "over kept connections"),
        ]
    return [
        *slopes,
        of("cpu_ms", "ms", lambda w: w.cpu_ms, "the agent's processor a call"),
        of(
            "connections",
            "a call",
            lambda w: w.connections / max(1, w.calls.calls),
            "opened to servers by the agent",
        ),
    ]
