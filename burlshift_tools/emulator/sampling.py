"""One day out of a scenario: every range drawn by the seed, and the day's servers, agents and arrivals."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np
from numpy.typing import NDArray

from .random_streams import Stream, streams_for
from .scenario import AgentPlan, Class, Scenario, ServerPlan, Span
from .troubles_schema import Burst, HeavyTail

BIN_US = 50_000  # the rate is even within such a stretch


@dataclass(slots=True)
class Arrivals:
    """First tries in the order of their time; one entry each in all arrays."""

    at: NDArray[np.int64]  # us from the start of the run
    agent: NDArray[np.int64]
    cls: NDArray[np.int64]
    key: NDArray[np.int64]  # from 1
    work: NDArray[np.float64]  # us on a core of speed 1


@dataclass(slots=True)
class Day:
    """A scenario with all that the seed decides drawn."""

    scenario: Scenario  # with numbers in the place of ranges
    servers: list[ServerPlan]
    agents: list[AgentPlan]
    arrivals: Arrivals
    capacity: float  # us of work that all servers do in a us
    mean_work: float  # us, over the classes


def _settled(low: Any, high: Any, stream: Stream) -> Any:
    """A number drawn between the ends of each range, in the order of the schema."""
    if isinstance(low, msgspec.Struct):
        return msgspec.structs.replace(
            low,
            **{
                f.name: _settled(getattr(low, f.name), getattr(high, f.name), stream)
                for f in msgspec.structs.fields(low)
            },
        )
    if isinstance(low, list):
        return [_settled(a, b, stream) for a, b in zip(low, high, strict=True)]
    if low == high or isinstance(low, str):
        return low
    if isinstance(low, int):
        return low + int(stream.uniform() * (high - low + 1))
    return stream.between(low, high)


def draw(scenario: Span, seed: int) -> Day:
    """The day of this seed; the policy that will meet it has no part in what is drawn."""
    stream = streams_for(scenario.about, seed)
    day: Scenario = _settled(scenario.low, scenario.high, stream("ranges"))
    servers = scenario.servers if scenario.servers is not None else _servers(day, stream("servers"))
    agents = scenario.agents if scenario.agents is not None else _agents(day, stream("agents"))
    shares = sum(c.share for c in day.cls)
    mean_work = sum(c.share * c.work_ms * 1000 for c in day.cls) / shares
    capacity = sum(s.kind.cores * s.speed for s in servers)
    arrivals = _arrivals(day, agents, day.load.share * capacity / mean_work, stream)
    return Day(day, servers, agents, arrivals, capacity, mean_work)


def _agents(day: Scenario, stream: Stream) -> list[AgentPlan]:
    """Zones in turn; the traffic is spread unevenly over zones and over agents."""
    zones = len(day.fleet.zones)
    pull = [stream.factor(day.fleet.zone_skew) for _ in range(zones)]
    return [
        AgentPlan(i % zones, pull[i % zones] * stream.factor(day.fleet.agent_skew))
        for i in range(day.fleet.agents)
    ]


def _servers(day: Scenario, stream: Stream) -> list[ServerPlan]:
    """Kinds in their shares, spread over the zones in turn; cells hold servers of one zone."""
    total = sum(k.share for k in day.kind)
    zones, n = len(day.fleet.zones), day.fleet.servers
    places = stream.rng.permutation(n).tolist()  # zones must not follow kinds
    plans = []
    for i, place in enumerate(places):
        mark, index = (i + stream.uniform()) / n * total, 0
        while index < len(day.kind) - 1 and mark >= day.kind[index].share:
            mark -= day.kind[index].share
            index += 1
        kind = day.kind[index]
        cell = (place // zones // day.fleet.cell_size) * zones + place % zones
        plans.append(ServerPlan(kind, index, place % zones, cell, kind.speed * stream.factor(kind.speed_cv)))
    return plans


def _arrivals(day: Scenario, agents: list[AgentPlan], per_us: float, stream: Any) -> Arrivals:
    length = int(day.run.length_s * 1e6)
    rate = stream("rate")
    edges = np.arange(0, length, BIN_US, dtype=np.int64)
    level = np.full(len(edges), per_us * BIN_US)
    if day.load.swing > 0:
        wave = max(1, int(day.load.swing_ms * 1000 / BIN_US))
        swings = [rate.factor(day.load.swing) for _ in range(len(edges) // wave + 1)]
        level *= np.repeat(swings, wave)[: len(edges)]
    for t in day.trouble:
        if isinstance(t, Burst):
            level *= _burst(t, edges)
    counts = rate.rng.poisson(level)
    total = int(counts.sum())
    at = np.sort(np.repeat(edges, counts) + rate.rng.integers(0, BIN_US, total))[: day.run.max_requests]
    total = len(at)
    what = stream("requests").rng
    shares = np.array([c.share for c in day.cls])
    cls = what.choice(len(shares), total, p=shares / shares.sum())
    weights = np.array([a.weight for a in agents])
    agent = what.choice(len(agents), total, p=weights / weights.sum())
    popular = 1.0 / np.arange(1, day.load.keys + 1) ** day.load.key_zipf
    key = 1 + what.choice(day.load.keys, total, p=popular / popular.sum())
    work = np.empty(total)
    for i, c in enumerate(day.cls):
        mine = cls == i
        work[mine] = _work(c, int(mine.sum()), what)
    _heavy(day, at, cls, work, stream("heavy").rng)
    return Arrivals(at, agent, cls, key, np.maximum(work, 1.0))


def _burst(t: Burst, edges: NDArray[np.int64]) -> NDArray[np.float64]:
    """The factor of the rate: up over the rise, level, and down over as long."""
    seconds = edges / 1e6
    up = (seconds - t.at_s) / t.rise_s
    down = (t.at_s + t.len_s - seconds) / t.rise_s
    return np.asarray(1 + (t.size - 1) * np.clip(np.minimum(up, down), 0, 1))


def _work(c: Class, n: int, rng: np.random.Generator) -> NDArray[np.float64]:
    mean = c.work_ms * 1000
    if c.dist == "fixed" or c.cv <= 0:
        return np.full(n, mean)
    if c.dist == "pareto":
        alpha = 1 + math.sqrt(1 + 1 / c.cv**2)  # the shape with this coefficient of variation
        return np.asarray(mean * (alpha - 1) / alpha * (1 + rng.pareto(alpha, n)))
    variance = math.log1p(c.cv**2)
    return rng.lognormal(math.log(mean) - variance / 2, math.sqrt(variance), n)


def _heavy(
    day: Scenario,
    at: NDArray[np.int64],
    cls: NDArray[np.int64],
    work: NDArray[np.float64],
    rng: np.random.Generator,
) -> None:
    for t in day.trouble:
        if isinstance(t, HeavyTail):
            victim = int(rng.integers(len(day.cls)))
            hit = (cls == victim) & (at >= t.at_s * 1e6) & (at < (t.at_s + t.len_s) * 1e6)
            hit &= rng.random(len(at)) < t.share
            work[hit] *= t.size
