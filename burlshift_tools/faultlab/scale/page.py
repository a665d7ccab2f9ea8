"""docs/CAPACITY.md: filled from measured figures, and checked against those of a later run.

Between `<!-- table: NAME -->` and `<!-- end -->` stands a table that `fill` writes. A figure in the text
stands between `<!--=KEY-->` and `<!--/-->`, and is that of the table's line with that key; with
`<!--=breaks:KEY-->` it is the size at which the line breaks.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from . import charts, plan, runs, tables
from .lines import LINES
from .plan import Line, Worked, by_name, worked
from .slopes import Measured
from .tables import (
    COLUMNS,
    NO_BOUND,
    NOT_KNOWN,
    NOT_MEASURED,
    SLOPE_COLUMNS,
    breaks_of,
    breaks_within,
    said,
    slopes_of,
    tolerance,
    within,
)

PAGE = Path(__file__).resolve().parents[3] / "docs" / "CAPACITY.md"
TABLE = re.compile(r"<!-- table: ([a-z]+) -->\n(.*?)<!-- end -->", re.S)
MARK = re.compile(r"<!--=(breaks:)?([a-z_.]+)-->(.*?)<!--/-->", re.S)
KEY = re.compile(r"\| *`([^`]+)` *\|")


class PageError(Exception):
    """The page, or what is to fill it, is not as it should be; the text is one line."""


def fill(text: str, measured: Sequence[Measured]) -> str:
    """The page with its tables and its text's figures as they follow now. Raises PageError."""
    known = by_name(measured)
    at = {line.key: worked(line, known) for line in LINES}

    def table(found: re.Match[str]) -> str:
        if found[1] not in tables.TABLES:
            raise PageError(f"table: {found[1]}: no such table; one of {', '.join(tables.TABLES)}")
        return f"<!-- table: {found[1]} -->\n{tables.TABLES[found[1]](known)}<!-- end -->"

    def mark(found: re.Match[str]) -> str:
        prefix, key = found[1] or "", found[2]
        if key not in at:
            raise PageError(f"{key}: no such key; burlshift_tools/faultlab/scale/lines.py has them")
        figure = breaks_of(at[key].line, known) if prefix else said(at[key])
        return f"<!--={prefix}{key}-->{figure}<!--/-->"

    return MARK.sub(mark, TABLE.sub(table, text))


def render(measured: Sequence[Measured]) -> str:
    """All tables, each under its name."""
    known = by_name(measured)
    made = ((name, table(known)) for name, table in tables.TABLES.items())
    return "\n".join(f"<!-- table: {name} -->\n{rows}<!-- end -->\n" for name, rows in made)


# Checking


@dataclass(frozen=True)
class Said:
    """What the page says of a key."""

    figure: float | None  # None: not known, not measured
    unit: str
    verdict: str
    breaks: str
    tolerance: str


def check(measured: Sequence[Measured], page: Path = PAGE) -> list[str]:
    """One line for each that does not follow from these figures, or stands wrongly on the page."""
    try:
        text = page.read_text(encoding="utf-8")
    except OSError as e:
        return [f"{page}: cannot be read ({e.strerror})"]
    found, wrong = _read(text)
    known = by_name(measured)
    for line in LINES:
        if line.key in found:
            wrong += _judge(line, found[line.key], known)
        elif not any(f"{line.key}: " in w for w in wrong):
            wrong.append(f"{line.key}: is missing on the page; fill it anew")
    return wrong + [w for m in MARK.finditer(text) for w in _judge_mark(m, found)]


def _read(text: str) -> tuple[dict[str, Said], list[str]]:
    """All lines of tables that begin with a key, and what is wrong with them."""
    lines = {line.key: line for line in LINES}
    slopes = {name for line in LINES for name in slopes_of(line)}
    found: dict[str, Said] = {}
    wrong = []
    for at, row in enumerate(text.splitlines(), 1):
        named = KEY.match(row)
        if named is None or named[1] in slopes and row.count("|") == SLOPE_COLUMNS + 1:
            continue
        key = named[1]
        try:
            if key not in lines:
                raise PageError("no such key or slope; burlshift_tools/faultlab/scale/lines.py has them")
            if key in found:
                raise PageError("stands twice on the page")
            found[key] = _row_of(row)
        except PageError as e:
            wrong.append(f"line {at}: {key}: {e}")
    return found, wrong


def _row_of(row: str) -> Said:
    cells = [cell.strip() for cell in row.strip().strip("|").split("|")]
    if len(cells) != COLUMNS:
        raise PageError(f"has {len(cells)} columns and not {COLUMNS}")
    figure, unit, verdict, breaks, allowed = cells[3], cells[4], *cells[6:9]
    if figure in (NOT_KNOWN, NOT_MEASURED):
        return Said(None, unit, verdict, breaks, allowed)
    if figure == NO_BOUND:
        return Said(plan.NO_BOUND, unit, verdict, breaks, allowed)
    value = _plain(figure)
    if value is None:
        raise PageError(f"figure {figure!r}: is no number")
    return Said(value, unit, verdict, breaks, allowed)


def _plain(text: str) -> float | None:
    try:
        return float(text[:-1]) / 100 if text.endswith("%") else float(text.replace(",", ""))
    except ValueError:
        return None


def _judge(line: Line, page: Said, known: dict[str, Measured]) -> list[str]:
    key, now = line.key, worked(line, known)
    if (page.unit, page.tolerance) != (line.unit, tolerance(line)):
        return [
            f"{key}: the page has unit {page.unit} and tolerance {page.tolerance}, and it is {line.unit} "
            f"and {tolerance(line)}"
        ]
    if now.value is None and page.figure is None:
        return []
    if now.value is None:
        return [f"{key}: not measured in this run" + (f" ({now.why})" if now.measured else "")]
    if page.figure is None:
        return [f"{key}: the page has no figure; {said(now)} follows now"]
    if not within(line, page.figure, now.value):
        return [
            f"{key}: the page says {said(Worked(line, page.figure))}; {said(now)} follows now (tolerance "
            f"{tolerance(line)})"
        ]
    if page.verdict != (expected := Worked(line, page.figure).verdict):
        return [f"{key}: the page says {page.verdict}, by its figure: {expected}"]
    breaks = breaks_of(line, known)
    if not breaks_within(page.breaks, breaks):
        return [f"{key}: the page says that it breaks at {page.breaks} servers; {breaks} follows now"]
    return []


def _judge_mark(mark: re.Match[str], found: dict[str, Said]) -> list[str]:
    breaks, key, text = mark.groups()
    line = next((line for line in LINES if line.key == key), None)
    if line is None or key not in found:
        return [] if line is not None else [f"{key}: stands in the text and is no key"]
    if breaks:
        fits = text == found[key].breaks
        return (
            []
            if fits
            else [f"{key}: the text says that it breaks at {text}, and the table at {found[key].breaks}"]
        )
    figure = found[key].figure
    fits = text in (NOT_KNOWN, NOT_MEASURED) if figure is None else text == said(Worked(line, figure))
    return [] if fits else [f"{key}: the text says {text}, and not the table's figure"]


# The command


def main(arguments: Sequence[str]) -> int:
    """python -m burlshift_tools.faultlab.scale.page scale.json: fill docs/CAPACITY.md, draw its charts. 2:
    wrong use.
    """
    try:
        if len(arguments) != 1:
            raise PageError("give one file, which `python -m burlshift_tools.faultlab scale -o FILE` wrote")
        source = Path(arguments[0])
        try:
            result = runs.read(source)
        except runs.ScaleError as e:
            raise PageError(str(e)) from None
        measured = result.measured
        if result.late and not measured:
            raise PageError(f"{source}: that run does not count ({result.late[0]}); measure again")
        for reason in result.late:
            print(f"left out, late: {reason}")
        PAGE.write_text(fill(PAGE.read_text(encoding="utf-8"), measured), encoding="utf-8")
        charts.draw(measured, PAGE.parent / "capacity")
        for line in check(measured):
            print(line)
    except PageError as e:
        print(f"faultlab: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"faultlab: {e.filename}: {e.strerror}; mend that or name another", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
