"""The tables of docs/CAPACITY.md, as they follow from measured figures."""

from __future__ import annotations

import re
from collections.abc import Callable

from . import plan
from .lines import LINES, SHARE
from .plan import Line, Role, Worked, breaks_at, worked
from .slopes import Figure, Measured, Slope

Known = dict[str, Measured]

HEAD = (
    "| key | what | limit | figure | unit | ratio | verdict | breaks at | tolerance | worked out as | from |"
)
COLUMNS = HEAD.count("|") - 1
SLOPE_HEAD = "| slope | unit | per | points | line | off the line | measured | to the plan |"
SLOPE_COLUMNS = SLOPE_HEAD.count("|") - 1
NOT_KNOWN, NOT_MEASURED = "not known", "not measured"
NO_BOUND = "no bound"
# By how much a later run may differ. Bytes are counted; times and processor are a machine's.
SHARES = {"bytes/s": 0.05, "kB": 0.05, "calls/s": 0.005, "days": 0.005, "machines": 0.005, "MB": 0.15}
TIMES = 2.0


def tolerance(line: Line) -> str:
    share = SHARES.get(line.unit)
    return f"x{TIMES:g}" if share is None else f"{share:.1%}".replace(".0%", "%")


def within(line: Line, a: float, b: float) -> bool:
    """Whether the one still follows from a run that gives the other."""
    if a == b:
        return True
    share = SHARES.get(line.unit)
    if share is not None:
        return abs(a - b) <= share * max(abs(a), abs(b))
    low, high = sorted((a, b))
    return low > 0 and high <= TIMES * low


def breaks_within(a: str, b: str) -> bool:
    """Whether two sizes at which a line breaks are near each other; what is no number is not judged."""
    sizes = [float(text.replace(",", "")) for text in (a, b) if re.fullmatch(r"[0-9,]+", text)]
    return len(sizes) < 2 or max(sizes) <= TIMES * min(sizes)


def number(value: float, unit: str = "") -> str:
    """Three digits, as the page has it."""
    if unit == SHARE:
        return f"{100 * value:.3g}%"
    if value == plan.NO_BOUND:
        return NO_BOUND
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def said(w: Worked) -> str:
    """A figure in running text."""
    if w.value is None:
        return NOT_KNOWN if w.measured else NOT_MEASURED
    if w.value == plan.NO_BOUND:
        return NO_BOUND
    return f"{number(w.value, w.line.unit)} {w.line.unit}"


def breaks_of(line: Line, known: Known) -> str:
    return "-" if line.limit is None and line.yardstick is None else breaks_at(line, known)


def _row(w: Worked, known: Known) -> str:
    line = w.line
    figure = (NOT_KNOWN if w.measured else NOT_MEASURED) if w.value is None else number(w.value, line.unit)
    source = w.why or ("arithmetic" if not w.used else "measured" if w.factor <= 1 else f"x{w.factor:.2g}")
    limit, ratio, breaks = "-", "-", breaks_of(line, known)
    if line.limit is not None:
        limit = number(line.limit, line.unit)
        ratio = "-" if w.ratio in (None, plan.NO_BOUND) else f"{w.ratio:.2g}"
    cells = (
        f"`{line.key}`",
        line.what,
        limit,
        figure,
        line.unit,
        ratio,
        w.verdict,
        breaks,
        tolerance(line),
        line.words,
        source,
    )
    return "| " + " | ".join(cells) + " |\n"


def _rank(w: Worked) -> tuple[int, float]:
    """First what is exceeded, then what is not known, then what holds; without limits as it is written."""
    if w.line.limit is None:
        return 0, 0.0
    return (1, 0.0) if w.ratio is None else (0 if w.ratio > 1 else 2, -w.ratio)


def _lines(wanted: Callable[[Line], bool]) -> Callable[[Known], str]:
    def made(known: Known) -> str:
        found = sorted((worked(line, known) for line in LINES if wanted(line)), key=_rank)
        rows = "".join(_row(w, known) for w in found)
        return f"{HEAD}\n{'| --- ' * COLUMNS}|\n{rows}"

    return made


def _without_limit(role: Role) -> Callable[[Known], str]:
    return _lines(lambda line: line.limit is None and line.role == role)


def _slopes(known: Known) -> str:
    """Of all that a line uses, in the order of the lines."""
    names = dict.fromkeys(name for line in LINES for name in slopes_of(line))
    rows = "".join(_slope_row(name, known.get(name)) for name in names)
    return f"{SLOPE_HEAD}\n{'| --- ' * SLOPE_COLUMNS}|\n{rows}"


def slopes_of(line: Line) -> list[str]:
    """The slopes that its arithmetic names."""
    return re.findall(r"`([^`]+)`", line.words)


def _slope_row(name: str, m: Measured | None) -> str:
    if m is None:
        cells = [f"`{name}`", *["-"] * 5, NOT_MEASURED, "-"]
    elif isinstance(m, Figure):
        cells = [f"`{name}`", m.unit, "the largest size", number(m.value), "-", "-", "one size", "-"]
    else:
        cells = [
            f"`{name}`",
            m.unit,
            m.per,
            "; ".join(f"{p.size}: {number(p.value)}" for p in m.points),
            *_straight(m),
        ]
    return "| " + " | ".join(cells) + " |\n"


def _straight(slope: Slope) -> list[str]:
    sizes = sorted(p.size for p in slope.points)
    if len(set(sizes)) < 2:
        return ["-", "-", f"{sizes[0]} alone" if sizes else NOT_MEASURED, "-"]
    fit = slope.fit()
    wanted = plan.DEPTH if "deep" in slope.per else plan.SERVERS
    form = f"{fit.base:.3g} + {fit.each:.3g} n"
    form += ", bends" if fit.bends else ", flat" if slope.flat() else ""
    return [form, f"{fit.off:.0%}", f"{sizes[0]} to {sizes[-1]}", f"x{max(1.0, wanted / sizes[-1]):.2g}"]


TABLES: dict[str, Callable[[Known], str]] = {
    "glance": _lines(lambda line: line.limit is not None),
    **{role: _without_limit(role) for role in dict.fromkeys(line.role for line in LINES)},
    "slopes": _slopes,
}
