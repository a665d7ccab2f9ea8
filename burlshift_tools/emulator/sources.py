"""Where a scenario comes from: by its name, from TOML, or from a drawn day in JSON."""

from __future__ import annotations

from . import dayfile, scenario


def read(name: str) -> scenario.Span:
    """The scenario of that name or file. Raises ScenarioError."""
    path = scenario.path_of(name)
    return dayfile.load(path) if path.suffix == ".json" else scenario.load(name)
