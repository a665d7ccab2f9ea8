"""Figures by size, as they were measured, and the straight line through them where there is one."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import numpy as np
from msgspec import Struct, field

BENDS = 0.15  # a point this share of the largest off the line, and the figure is no straight line
FLAT = 0.1  # over all sizes the line rises by less than this share of the mean


class Point(Struct, frozen=True):
    """One measurement; `size` is what was varied, as `Slope.per` says."""

    size: int
    value: float


class Fit(Struct, frozen=True):
    """value = base + each * size, by least squares; `off` is the worst point's share of the largest."""

    base: float
    each: float
    off: float

    @property
    def bends(self) -> bool:
        return self.off > BENDS


class Slope(Struct, frozen=True, kw_only=True):
    """One figure over some sizes. `name` is its key in the JSON and in docs/CAPACITY.md: `role.figure`."""

    name: str
    unit: str
    per: str  # what size counts: members, watchers, changes
    points: tuple[Point, ...]
    note: str = ""

    def fit(self) -> Fit:
        """Raises ValueError on fewer than two sizes."""
        if len({p.size for p in self.points}) < 2:
            raise ValueError(f"{self.name}: a line needs two sizes; measure more")
        sizes = np.array([p.size for p in self.points], dtype=float)
        values = np.array([p.value for p in self.points], dtype=float)
        each, base = np.polyfit(sizes, values, 1)
        off = float(np.max(np.abs(base + each * sizes - values))) / max(1e-12, float(np.max(np.abs(values))))
        return Fit(float(base), float(each), off)

    def flat(self) -> bool:
        """Whether it does not grow over the sizes that were measured, other than by noise."""
        values, sizes = [p.value for p in self.points], [p.size for p in self.points]
        rise = abs(self.fit().each) * (max(sizes) - min(sizes))
        return rise <= FLAT * max(1e-12, abs(sum(values) / len(values)))


class Figure(Struct, frozen=True, kw_only=True):
    """One value that is not varied by size."""

    name: str
    unit: str
    value: float
    note: str = ""


class Run(Struct):
    """What all measurements of one run share."""

    say: Callable[[str], None]
    small: bool = False  # shortened as far as it goes: what is tried is the tool, its figures tell nothing
    late: list[str] = field(default_factory=list)  # why this run does not count: the tool itself was late


Measured = Slope | Figure
Measure = Callable[[Sequence[int], Run], "list[Measured]"]
