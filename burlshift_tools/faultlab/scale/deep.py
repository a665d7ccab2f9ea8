"""Calls that are made of calls: a chain in which each server calls the next one through its own agent.

Each depth has an agent as a process of its own, with a list of a service's size. All stand-in servers are one
process with a listener for each member of each depth: of one call only one depth is at work at a time. What
they cost themselves shows by the same chain without agents, in alternating blocks.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ..addresses import Block, split, take_block
from ..child_processes import Starter
from ..scenario import LabScenario
from . import agentcost_process as process
from .agentcost import SERVICE, SMALL, members_at
from .agentcost_lists import listed
from .latency_client import Target
from .latency_parts import Part, Tally, arrivals, judge, part, play, request
from .latency_standin import StandInPlan
from .slopes import Measured, Point, Run, Slope

RATE = 10.0  # calls a second, each of them as deep


class Effort(msgspec.Struct, frozen=True):
    """By depth: alternating blocks, after one of each that does not count."""

    depths: tuple[int, ...]
    pairs: int
    direct_s: float
    agent_s: float
    warm_s: float


FULL = Effort((1, 5, 25), 3, 2.5, 5.0, 0.5)
LITTLE = Effort((1, 2), 1, 0.3, 0.3, 0.2)


class Deep:
    """All calls of one depth."""

    def __init__(self) -> None:
        self.direct, self.agents = Tally(), Tally()

    def added_ms(self, percentile: str) -> float:
        return self.agents.ms(percentile) - self.direct.ms(percentile)


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Its sizes are depths of its own; those given only say whether it is the tool that is tried."""
    effort = FULL if max(sizes) >= SMALL else LITTLE
    with tempfile.TemporaryDirectory(prefix="scale-deep-") as folder:
        return _slopes(asyncio.run(_all(Path(folder), effort, run)))


async def _all(folder: Path, effort: Effort, run: Run) -> dict[int, Deep]:
    block, held = take_block()
    s, starter, rng = process.deployment(), Starter(), Random(process.SEED)
    most = max(effort.depths)
    levels = [[members_at(block, depth * SERVICE + i) for i in range(SERVICE)] for depth in range(most)]
    onward = request(s, "{target}")
    try:
        async with AsyncExitStack() as stack:
            standin = await stack.enter_async_context(part(starter, folder, "standin"))
            await standin.ready(
                StandInPlan(
                    levels=[[split(p) for p in places] for places in levels],
                    agents=[split(block.agent(depth)) for depth in range(most)],
                    report=list(s.report.fields),
                    request=onward,
                )
            )
            await process.together(
                _agent(stack, starter, folder, s, block, depth, places) for depth, places in enumerate(levels)
            )
            client = await stack.enter_async_context(part(starter, folder, "client"))
            found = {}
            for depth in effort.depths:
                found[depth] = await _chain(client, block, levels[0], s, depth, effort, rng)
                judge(run, f"{depth} deep", [found[depth].direct, found[depth].agents])
                run.say(f"{depth} deep, {RATE:g} calls a second: {_told(found[depth])}")
    finally:
        held.close()
    return found


async def _agent(
    stack: AsyncExitStack,
    starter: Starter,
    folder: Path,
    s: LabScenario,
    block: Block,
    depth: int,
    places: list[str],
) -> None:
    host = await stack.enter_async_context(
        listed(
            folder / f"list{depth}",
            block.discovery(depth),
            len(places),
            places.__getitem__,
            tuple(s.fleet.zones),
            s.kind[0].name,
        )
    )
    doc = process.document(s, block.agent(depth), host.address, host.known())
    await stack.enter_async_context(process.started(starter, folder, f"a{depth}", doc))
    await host.heard()


async def _chain(
    client: Part, block: Block, first: list[str], s: LabScenario, depth: int, effort: Effort, rng: Random
) -> Deep:
    found = Deep()

    def target(by: str, places: list[str]) -> Target:
        asked = f"/api?obj=1&deeper={depth - 1}&by={by}"
        return Target(places=[split(p) for p in places], request=request(s, asked), name=by)

    async def calls(to: Target, seconds: float, tally: Tally) -> None:
        taken = await play(client, [to], arrivals(rng, [(0, RATE)], seconds))
        tally.add(taken[0])

    direct, agents = target("direct", first), target("agent", [block.agent(0)])
    await calls(direct, effort.warm_s, Tally())
    await calls(agents, effort.warm_s, Tally())
    for _ in range(effort.pairs):
        await calls(direct, effort.direct_s, found.direct)
        await calls(agents, effort.agent_s, found.agents)
    return found


def _told(deep: Deep) -> str:
    return "; ".join(
        f"{p} {deep.added_ms(p):.2f} ms added to {deep.direct.ms(p):.2f} ms" for p in ("p50", "p99")
    )


def _slopes(found: dict[int, Deep]) -> list[Measured]:
    def of(name: str, value: Any, note: str) -> Slope:
        points = tuple(Point(depth, value(deep)) for depth, deep in found.items())
        return Slope(name=f"deep.{name}_ms", unit="ms", per="calls deep", points=points, note=note)

    least = min(min(d.direct.calls, d.agents.calls) for d in found.values())
    note = f"difference of the percentiles of {least} calls or more each way, {RATE:g} a second"
    return [
        slope
        for p in ("p50", "p99")
        for slope in (
            of(f"added_{p}", lambda d, p=p: d.added_ms(p), note),
            of(f"direct_{p}", lambda d, p=p: d.direct.ms(p), "the chain without agents: the stand-ins' own"),
        )
    ]
