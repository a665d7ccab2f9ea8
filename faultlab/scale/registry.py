"""All measurements by name. Each is a module with `measure(sizes, run)`, loaded when it is wanted."""
from __future__ import annotations

from importlib import import_module

from .slopes import Measure

NAMES: tuple[str, ...] = ()


def measure(name: str) -> Measure:
    found: Measure = import_module(f".{name}", __package__).measure
    return found
