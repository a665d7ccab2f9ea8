"""The operators' plan, and how a figure at its size is worked out from slopes: pure arithmetic."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Literal

from .slopes import Figure, Fit, Measured, Slope

# The plan (issue 32). Where a figure is a size of the fleet's, it grows with the fleet here.
SERVERS = 3_100  # meter servers, each with its agent
TODAY = 200  # agents now
SERVICES = 190
CALLS_S, DEPTH = 130_000, 25
ADDED_P99_MS = 0.73
REGIONS, ZONES = 5, 12
CHANGES_DAY, IN_FORCE_S = 12_000, 13.0
CONTROL_CORE, CONTROL_MB, CONTROL_BYTES_S = 0.012, 64.0, 7_000.0
CONTROL_MACHINES = 24
FAILED_DAY, RESTARTED_DAY = 11, 240
DAY_S, MINUTE_S = 86_400.0, 60.0

FARTHEST = 5.0  # nothing is worked out beyond so many times the largest size that was measured
STEP = 1.03  # from one fleet size to the next, where it is looked for when a line breaks

Role = Literal["call", "control", "list", "follower", "membership"]
NO_BOUND = math.inf


class NotKnown(Exception):
    """There is no figure; the text says why in a few words."""


class NotMeasured(NotKnown):
    """A slope or figure that this run does not have."""


@dataclass
class At:
    """What was measured, read at one size of the fleet. Notes what was read, for who asks how far it went."""

    fleet: float
    measured: dict[str, Measured]
    used: dict[str, float] = field(default_factory=dict)  # slope: how far beyond its range, 1 within

    def __call__(self, name: str, size: float | None = None) -> float:
        """A slope at a size, the fleet's if none is given. Raises NotKnown."""
        slope = self.measured.get(name)
        if not isinstance(slope, Slope):
            raise NotMeasured(f"{name} not measured")
        at = self.fleet if size is None else size
        value, factor = read(slope, at)
        self.used[name] = max(factor, self.used.get(name, 1.0))
        return value

    def figure(self, name: str, beside: str) -> float:
        """A figure of the largest size alone, which is that of a slope of the same measurement."""
        found, other = self.measured.get(name), self.measured.get(beside)
        if not isinstance(found, Figure) or not isinstance(other, Slope):
            raise NotMeasured(f"{name} not measured")
        largest = max(p.size for p in other.points)
        if largest < self.fleet:
            raise NotKnown(f"{name}: measured at {largest} alone")
        self.used[name] = 1.0
        return found.value

    @property
    def zone(self) -> float:
        return self.fleet / ZONES

    @property
    def region(self) -> float:
        return self.fleet / REGIONS

    @property
    def changes_s(self) -> float:
        """The mean; they come with the fleet."""
        return CHANGES_DAY / DAY_S * self.fleet / SERVERS


def read(slope: Slope, size: float) -> tuple[float, float]:
    """The value at a size, and how far beyond what was measured that is: 1 within.

    Within the range between its neighbours' values. Beyond it along the line through all points, where they
    lie on one, and FARTHEST at most; below it nothing is known. Raises NotKnown.
    """
    points = sorted(slope.points, key=lambda p: p.size)
    if not points:
        raise NotMeasured(f"{slope.name} not measured")
    least, most = points[0], points[-1]
    for p in points:
        if p.size == round(size):
            return p.value, 1.0
    if least.size < size < most.size:
        above = next(i for i, p in enumerate(points) if p.size > size)
        a, b = points[above - 1], points[above]
        return a.value + (b.value - a.value) * (size - a.size) / (b.size - a.size), 1.0
    if size < least.size:
        raise NotKnown(f"{slope.name}: measured from {least.size}")
    if least.size == most.size:
        raise NotKnown(f"{slope.name}: measured at {most.size} alone")
    fit = _fit(slope)
    if fit.bends:
        raise NotKnown(f"{slope.name} bends, {least.size} to {most.size} measured")
    if size > FARTHEST * most.size:
        raise NotKnown(f"{slope.name}: measured to {most.size}")
    return fit.base + fit.each * size, size / most.size


@lru_cache(maxsize=256)
def _fit(slope: Slope) -> Fit:
    return slope.fit()


@dataclass(frozen=True)
class Line:
    """One figure of the page. `words` is its arithmetic, as a reader redoes it, slopes between backticks."""

    key: str
    role: Role
    what: str
    words: str
    unit: str
    work: Callable[[At], float]
    limit: float | None = None  # the plan's, in the same unit
    yardstick: float | None = None  # where the plan has none: what its breaking is measured by


@dataclass(frozen=True)
class Worked:
    """A line at the plan's size. value None: not known, and why."""

    line: Line
    value: float | None
    why: str = ""
    measured: bool = True  # all that it needs was in the run
    used: tuple[str, ...] = ()
    factor: float = 1.0  # of extrapolation, of the slope that is carried farthest

    @property
    def ratio(self) -> float | None:
        return None if self.value is None or self.line.limit is None else self.value / self.line.limit

    @property
    def verdict(self) -> str:
        if self.line.limit is None:
            return "no limit" if self.value is not None else "not known"
        return "not known" if self.ratio is None else "holds" if self.ratio <= 1 else "**exceeded**"


def by_name(measured: Sequence[Measured]) -> dict[str, Measured]:
    return {m.name: m for m in measured}


def worked(line: Line, measured: dict[str, Measured], fleet: float = SERVERS) -> Worked:
    at = At(fleet, measured)
    try:
        value = line.work(at)
    except NotKnown as e:
        return Worked(line, None, str(e), not isinstance(e, NotMeasured), tuple(at.used))
    return Worked(line, value, "", True, tuple(at.used), max(at.used.values(), default=1.0))


def ratios(line: Line, measured: dict[str, Measured]) -> list[tuple[float, float]]:
    """Fleet size and ratio to the limit, from small to large, where known; up to the plan's size."""
    most, steps = line.limit or line.yardstick, math.ceil(math.log(SERVERS) / math.log(STEP))
    if most is None:
        return []
    sizes = {p.size for m in measured.values() if isinstance(m, Slope) for p in m.points}
    sizes |= {round(SERVERS ** (n / steps)) for n in range(steps + 1)}
    values = [(size, worked(line, measured, size).value) for size in sorted(sizes) if 0 < size <= SERVERS]
    return [(size, value / most) for size, value in values if value is not None]


def breaks_at(line: Line, measured: dict[str, Measured]) -> str:
    """The fleet size from which on the limit is exceeded, or up to which it is known not to be."""
    found = ratios(line, measured)
    if not found:
        return "not known"
    over = next((size for size, ratio in found if ratio > 1), None)
    if over is None:
        return f"over {found[-1][0]:,.0f}"
    return "any" if found[0][0] == over == 1 else f"{'under ' if found[0][0] == over else ''}{over:,.0f}"
