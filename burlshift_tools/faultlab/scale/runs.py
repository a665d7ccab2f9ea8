"""A run of the measurements: its words, its JSON, and what is made of figures that were measured."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from . import lateness, registry
from .slopes import Figure, Measured, Run, Slope

PLAN_SIZE = 3_100  # meter servers, each with its agent (issue 32)
SIZES = "100,400,1000,3100"
SMALL_SIZES = "20,40"
LEAST, MOST, MOST_SIZES = 2, 4_000, 10  # the list service takes 4,096 connections
FLEET_WORDS = ("agents", "members", "watchers", "readers")


class ScaleError(Exception):
    """The command cannot be carried out; the text is one line."""


class Taken(Struct, kw_only=True):
    """What one measurement gave, and why some of it does not count."""

    name: str
    late: list[str]
    slopes: list[Slope]
    figures: list[Figure]

    def counted(self) -> list[Measured]:
        return lateness.counted([*self.slopes, *self.figures], self.late)


class Result(Struct, kw_only=True):
    """What `-o` writes. Where the tool was late in a step, that step's points do not count."""

    sizes: list[int]
    small: bool
    taken: list[Taken] = []

    @property
    def late(self) -> list[str]:
        return [reason for t in self.taken for reason in t.late]

    @property
    def measured(self) -> list[Measured]:
        """All that counts."""
        return [m for t in self.taken for m in t.counted()]

    @property
    def all(self) -> list[Measured]:
        slopes: list[Measured] = [s for t in self.taken for s in t.slopes]
        return slopes + [f for t in self.taken for f in t.figures]


def sizes_of(text: str) -> list[int]:
    """From small to large. Raises ScaleError."""
    try:
        sizes = sorted({int(part) for part in text.split(",")})
    except ValueError:
        raise ScaleError(f"--sizes {text}: write whole numbers between commas, as {SIZES}") from None
    if not 2 <= len(sizes) <= MOST_SIZES or sizes[0] < LEAST or sizes[-1] > MOST:
        raise ScaleError(f"--sizes {text}: give 2 to {MOST_SIZES} sizes, each from {LEAST} to {MOST}")
    return sizes


def measure(
    names: Sequence[str],
    sizes: Sequence[int],
    run: Run,
    keep: Callable[[Result], None] = lambda _result: None,
) -> Result:
    """One measurement after the other; keep is called with what there is after each.

    Raises ScaleError, and what the measurements raise.
    """
    try:
        measures = [(name, registry.measure(name)) for name in registry.named(names)]
    except registry.UnknownMeasurement as e:
        raise ScaleError(str(e)) from None
    result = Result(sizes=list(sizes), small=run.small)
    for name, made_by in measures:
        run.say(f"{name}:")
        before = len(run.late)
        try:
            made = made_by(sizes, run)
        except ValueError as e:
            raise ScaleError(str(e)) from None
        for found in made:
            for line in lines(found):
                run.say(line)
        result.taken.append(
            Taken(
                name=name,
                late=run.late[before:],
                slopes=[m for m in made if isinstance(m, Slope)],
                figures=[m for m in made if isinstance(m, Figure)],
            )
        )
        keep(result)
    return result


def lines(found: Measured) -> Iterator[str]:
    """A figure in words: value, or points and the line through them."""
    if isinstance(found, Figure):
        yield f"{found.name}: {found.value:.4g} {found.unit}" + (f" ({found.note})" if found.note else "")
        return
    points = ", ".join(f"{p.size}: {p.value:.4g}" for p in found.points)
    yield f"{found.name}, {found.unit} by {found.per}: {points}" + (f" ({found.note})" if found.note else "")
    if len({p.size for p in found.points}) < 2:
        return
    fit, largest = found.fit(), max(p.size for p in found.points)
    said = f"  {fit.base:.4g} + {fit.each:.4g} each"
    if fit.bends:
        said += f"; bends ({fit.off:.0%} of the largest off the line): nothing is worked out beyond it"
    elif found.flat():
        said += "; flat"
    if any(word in found.per for word in FLEET_WORDS):
        said += f"; {PLAN_SIZE} is {PLAN_SIZE / largest:.3g} times the largest size"
    yield said


def write(result: Result, path: Path) -> None:
    new = path.with_name(path.name + ".new")
    new.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    new.replace(path)


def read(path: Path) -> Result:
    """Raises ScaleError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except OSError as e:
        raise ScaleError(f"{path}: cannot be read ({e.strerror}); give what `scale -o` wrote") from None
    except msgspec.DecodeError as e:
        raise ScaleError(f"{path}: is no result of `scale`: {e}; measure again") from None


def other(module: str, function: str) -> Callable[..., Any]:
    """A part that is loaded only where it is asked for."""
    try:
        found: Callable[..., Any] = getattr(import_module(f".{module}", __package__), function)
    except ModuleNotFoundError as e:
        if e.name != f"{__package__}.{module}":
            raise
        raise ScaleError(
            f"this checkout has no burlshift_tools/faultlab/scale/{module}.py; leave the option out or "
            "merge it"
        ) from None
    return found
