"""What the emulator itself costs: processor time a request, of the model and of the decisions it drives."""

from __future__ import annotations

from statistics import median
from time import process_time_ns

import msgspec

from . import registry, scenario
from .world import World

SIZES = ((10, 10), (50, 50), (200, 200))


def _run(size: tuple[int, int], seconds: float) -> tuple[float, float]:
    """Processor time a first try, in us: model, decisions."""
    agents, servers = size
    low = scenario.load("calm-mass").low
    s = msgspec.structs.replace(
        low,
        fleet=msgspec.structs.replace(low.fleet, agents=agents, servers=servers),
        trouble=[],
        run=msgspec.structs.replace(low.run, length_s=seconds),
    )
    world = World(scenario.Span(s, s), 1, registry.policy("ours"), timed=True)
    before = process_time_ns()
    row = world.run()
    spent = process_time_ns() - before
    scale = 1000 * row["first_tries"]
    return (spent - world.decided_ns) / scale, world.decided_ns / scale


def table(repeats: int) -> list[list[str]]:
    """Sizes one after the other, all of them in each round; medians over the rounds."""
    spent: dict[tuple[int, int], list[tuple[float, float]]] = {size: [] for size in SIZES}
    for _ in range(repeats):
        for size in SIZES:
            spent[size].append(_run(size, 20_000 / (size[1] * 10)))
    small = median(a + b for a, b in spent[SIZES[0]])
    lines = [["agents x servers", "model us", "decisions us", "model / decisions", "against 10 x 10"]]
    for size in SIZES:
        model, decisions = median(a for a, _ in spent[size]), median(b for _, b in spent[size])
        lines.append(
            [
                f"{size[0]} x {size[1]}",
                f"{model:.1f}",
                f"{decisions:.1f}",
                f"{model / decisions:.2f}",
                f"{(model + decisions) / small:.2f}",
            ]
        )
    return lines
