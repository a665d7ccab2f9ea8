"""The client and the stand-in servers as processes, and what both ways of a call are told."""

from __future__ import annotations

import os
import sys
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, TypeVar

import msgspec

from ..child_processes import HOME, Failed, PartChild, Starter, tethered
from ..metrics import HIGHEST_US, LOWEST_US, histogram
from ..scenario import LabScenario
from . import agentcost_process as process
from .latency_client import Arrival, Block, Taken, Target
from .latency_standin import Count, Counted
from .slopes import Run

LATE_SHARE = 0.01  # of the calls sent late by the client, the run does not count
ORDER_S = 60.0
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}
T = TypeVar("T")


class Taking(msgspec.Struct):
    """Answer to an order: the requests measured."""

    taken: list[Taken]


class Part(PartChild):
    """A part that answers its orders with more than that they are in force."""

    async def ask(self, order: msgspec.Struct, answer: type[T]) -> T:
        return msgspec.convert(await self._say(msgspec.json.encode(order), ORDER_S), answer)


@asynccontextmanager
async def part(starter: Starter, folder: Path, name: str) -> AsyncIterator[Part]:
    """`client` or `standin`, which is gone after the block."""
    command = tethered([sys.executable, "-m", f"burlshift_tools.faultlab.scale.latency_{name}"])
    child = await starter.start(name, 0, command, folder / f"{name}.log", os.environ, HOME, orders=True)
    try:
        yield Part(child)
    finally:
        await process.ended(child)


def request(s: LabScenario, target: str = "/api?obj=7f3a") -> str:
    """A call with {rid} for its id, the same by both ways: of a class that is unsafe to repeat, so that one
    attempt is measured and no second copy. Raises Failed."""
    cls = next((c for c in s.cls if c.effect == "unsafe"), None)
    if cls is None:
        raise Failed(f"{process.SCENARIO}: has no class that is unsafe to repeat; the calls are made of one")
    return (
        f"POST {target} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {{rid}}\r\n"
        f"Request-Class: {cls.name}\r\nRequest-Timeout-Ms: {cls.deadline_ms:.0f}\r\n"
        "Content-Length: 0\r\n\r\n"
    )


def arrivals(rng: Random, rates: Iterable[tuple[int, float]], seconds: float) -> list[Arrival]:
    """Poisson arrivals of each target at its rate a second, drawn ahead."""
    drawn = []
    for target, rate in rates:
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            drawn.append(Arrival(int(at * 1e6), target))
    return sorted(drawn, key=lambda a: a.at_us)


class Tally:
    """All calls of one way, over its blocks."""

    def __init__(self) -> None:
        self.times: Any = histogram()
        self.calls = self.late = self.failed = 0

    def add(self, taken: Taken) -> None:
        for us in taken.us:
            self.times.record_value(min(HIGHEST_US, max(LOWEST_US, us)))
        self.calls += len(taken.us) + taken.late + taken.failed
        self.late += taken.late
        self.failed += taken.failed

    def ms(self, percentile: str) -> float:
        return float(self.times.get_value_at_percentile(PERCENTILES[percentile])) / 1000


def judge(run: Run, what: str, tallies: Iterable[Tally]) -> None:
    """Whether the tool itself was in time; calls that failed are said too, as their time is in no figure."""
    late, failed, calls = (sum(getattr(t, f) for t in tallies) for f in ("late", "failed", "calls"))
    if late or failed:
        run.say(f"{what}: of {calls} calls {late} were sent late by over 1 ms, {failed} failed")
    if late > LATE_SHARE * calls:
        run.late.append(f"{what}: {late} of {calls} calls were sent late by over 1 ms")


async def counted(standin: Part) -> dict[str, Counted]:
    """By target."""
    return await standin.ask(Count(), dict[str, Counted])


async def play(client: Part, targets: list[Target], due: list[Arrival]) -> list[Taken]:
    return (await client.ask(Block(targets=targets, arrivals=due), Taking)).taken
