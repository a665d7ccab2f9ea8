"""The charts of docs/CAPACITY.md, as SVG: the same figures give the same bytes."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure as Sheet

from . import plan
from .lines import LINES
from .plan import by_name, ratios
from .slopes import Measured, Slope

STYLE: Any = {"svg.hashsalt": "capacity", "svg.fonttype": "none", "font.size": 8.0}
RATIOS, ADDED = "ratios.svg", "added.svg"
SHOWN = (  # of the lines with a limit, one of each kind
    "call.added_p99",
    "agent.memory",
    "agent.processor_zone_singly",
    "agent.processor_region_singly",
    "agent.bytes_region_singly",
    "agent.bytes_whole",
    "list.zone_singly",
    "list.storm",
    "list.restart",
)


def draw(measured: Sequence[Measured], folder: Path) -> list[Path]:
    """Both charts, also where little was measured; raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    known = by_name(measured)
    made = []
    with matplotlib.rc_context(STYLE):
        for name, drawn in ((RATIOS, _ratios), (ADDED, _added)):
            sheet = Sheet(figsize=(7.5, 4.2), layout="constrained")
            FigureCanvasSVG(sheet)
            drawn(sheet.add_subplot(), known)
            sheet.savefig(folder / name, format="svg", metadata={"Date": None, "Creator": None})
            made.append(folder / name)
    return made


def _ratios(axes: Any, known: dict[str, Measured]) -> None:
    """How near to its limit each line comes as the fleet grows."""
    for line in LINES:
        if line.key in SHOWN:
            points = [(size, ratio) for size, ratio in ratios(line, known) if 0 < ratio < plan.NO_BOUND]
            if points:
                axes.plot(*zip(*points, strict=True), label=line.key, lw=1.2)
    axes.axhline(1.0, color="black", lw=0.8)
    for size, word in ((plan.TODAY, "today"), (plan.SERVERS, "plan")):
        axes.axvline(size, color="grey", lw=0.8, ls=":")
        axes.text(
            size, 0.02, f"{word}, {size:,} ", transform=axes.get_xaxis_transform(), color="grey", ha="right"
        )
    axes.set(
        xscale="log",
        yscale="log",
        xlim=(10, 1.05 * plan.SERVERS),
        xlabel="servers, each with its agent",
        ylabel="figure / the plan's limit",
        title="Beyond 1 a line of the plan is exceeded",
    )
    _legend(axes)


def _added(axes: Any, known: dict[str, Measured]) -> None:
    """What an agent adds to a call, by the members of its list."""
    for rate, style in ((42, "-"), (420, "--")):
        for part, colour in (("p50", "C0"), ("p99", "C1"), ("p999", "C2")):
            slope = known.get(f"call.added_{part}_ms_{rate}")
            if isinstance(slope, Slope) and slope.points:
                points = sorted(slope.points, key=lambda p: p.size)
                axes.plot(
                    [p.size for p in points],
                    [p.value for p in points],
                    style,
                    marker="o",
                    ms=3,
                    color=colour,
                    lw=1.2,
                    label=f"{part}, {rate} calls/s",
                )
    axes.axhline(plan.ADDED_P99_MS, color="black", lw=0.8)
    axes.text(
        0.99,
        plan.ADDED_P99_MS,
        f"{plan.ADDED_P99_MS} ms, 99 in 100: the plan",
        ha="right",
        va="bottom",
        transform=axes.get_yaxis_transform(),
    )
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="members of the agent's list",
        ylabel="ms added to a call",
        title="Open loop, through the agent less the direct way",
    )
    _legend(axes)


def _legend(axes: Any) -> None:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=7, loc="center left", bbox_to_anchor=(1.0, 0.5))
