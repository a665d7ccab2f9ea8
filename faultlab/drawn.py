"""Drawn scenarios for soaks: which faults, when and on whom, follows from the seed alone."""
from __future__ import annotations

from typing import Any

import numpy as np

from fleetsim import scenario
from fleetsim.scenario import Span

from .scenario import PACKAGE, LabScenario, load

PREFIX = "drawn-"
LENGTH_S = 20.0
FIRST_S, LAST_S = 2.0, 15.0
STEPS = ("none", "pause_old", "kill_old", "cut_off", "kill_new")


def _draw(rng: np.random.Generator, *choices: Any) -> Any:
    return choices[int(rng.integers(len(choices)))]


def _share(rng: np.random.Generator) -> float:
    return float(_draw(rng, 0.2, 0.5, 1.0))


def _fault(rng: np.random.Generator) -> dict[str, Any]:
    """One fault without its times."""
    some, servers, path = _share(rng), _share(rng) / 2, _draw(rng, "clients", "servers", "discovery")
    kinds: list[dict[str, Any]] = [
        {"what": "link", "path": path, "cut": True, "direction": _draw(rng, "both", "to", "from")},
        {"what": "link", "path": path, "delay_ms": 40.0, "spread_ms": 20.0, "loss": 0.05},
        {"what": "link", "path": path, "bytes_per_s": 50_000.0},
        {"what": "reset", "path": path, "when": _draw(rng, "now", "before", "after")},
        {"what": "half_open", "path": path},
        {"what": "pause", "of": _draw(rng, "agents", "servers", "discovery")},
        {"what": "kill", "of": _draw(rng, "agents", "servers", "discovery"),
         "keep": bool(rng.random() < 0.5)},
        {"what": "kill", "signal": "TERM"},
        {"what": "descriptors", "spare": int(rng.integers(8))},
        {"what": "busy", "share": 0.5},
        {"what": "lists", "how": _draw(rng, "silent", "partial", "late", "older")},
        {"what": "reload", "spoilt": bool(rng.random() < 0.5)},
        {"what": "upgrade", "strike": _draw(rng, *STEPS), "after_ms": float(rng.integers(20, 900)),
         "detach_first": int(rng.integers(2))},
        {"what": "lame_duck", "deaf_front": bool(rng.random() < 0.5)},
        {"what": "detach", "servers": 0.2},
        {"what": "spoilt", "how": _draw(rng, "cut_off", "garbage", "two_lengths", "endless")},
    ]
    fault = kinds[int(rng.integers(len(kinds)))]
    if fault["what"] != "lists":
        fault["agents"] = some
    strikes_servers = fault["what"] in ("link", "reset", "half_open", "pause", "kill", "spoilt")
    if strikes_servers and fault.get("path", fault.get("of", "servers")) == "servers":
        fault["servers"] = servers
    return fault


def draw(seed: int) -> Span:
    """One to four faults, some at once, and often a replacement of servers under them."""
    rng = np.random.Generator(np.random.PCG64(seed))
    tables: dict[str, Any] = {"about": f"drawn scenario {seed}", "run": {"length_s": LENGTH_S}, "fault": []}
    for _ in range(int(rng.integers(1, 5))):
        begin = round(float(rng.uniform(FIRST_S, LAST_S - 1)), 2)
        length = round(float(rng.uniform(0.3, min(6.0, LENGTH_S - 4 - begin))), 2)
        tables["fault"].append({**_fault(rng), "at_s": begin, "len_s": length})
    if rng.random() < 0.5:
        tables["trouble"] = [{"what": "replacement", "at_s": 3.0, "len_s": 6.0, "part": 0.3, "drain_s": 2.0}]
    base = scenario.path_of("steady", PACKAGE).with_name("_lab.toml")
    return scenario.assemble(tables, base, LabScenario)


def named(name: str) -> Span:
    """A scenario by any of its names: shipped, a file, or `drawn-SEED`. Raises ScenarioError."""
    number = name.removeprefix(PREFIX)
    if name.startswith(PREFIX) and number.isdigit():
        return draw(int(number))
    return load(name)
