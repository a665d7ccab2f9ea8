"""All measurements by name. Each is a module with `measure(sizes, run)`, loaded when it is wanted."""

from __future__ import annotations

from collections.abc import Sequence
from importlib import import_module

from .slopes import Measure

NAMES: tuple[str, ...] = ("fleet", "agentcost", "latency", "deep", "membership", "replicas")


class UnknownMeasurement(Exception):
    """No such measurement, or its module is not there; the text is one line."""


def named(wanted: Sequence[str]) -> list[str]:
    """Those asked for, in the registry's order; all where none are named. Raises UnknownMeasurement."""
    for name in wanted:
        if name not in NAMES:
            raise UnknownMeasurement(f"--only {name}: no such measurement; one of {', '.join(NAMES)}")
    return [name for name in NAMES if not wanted or name in wanted]


def measure(name: str) -> Measure:
    """Raises UnknownMeasurement where its module is not there."""
    try:
        found: Measure = import_module(f".{name}", __package__).measure
    except ModuleNotFoundError as e:
        if e.name != f"{__package__}.{name}":
            raise
        raise UnknownMeasurement(
            f"--only {name}: this checkout has no burlshift_tools/faultlab/scale/{name}.py; leave it out "
            "or merge it"
        ) from None
    return found
