"""Drawn scenarios for soaks: which faults, when and on whom, follows from the seed alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from burlshift_tools.emulator import scenario
from burlshift_tools.emulator.scenario import Span

from . import random_hostile
from .scenario import PACKAGE, LabScenario, load

LENGTH_S = 20.0
FIRST_S, LAST_S = 2.0, 15.0
SPOILT = (
    "cut_off",
    "garbage",
    "two_lengths",
    "endless",
    "second",
    "reset",
    "half_reset",
    "half_hang",
    "no_length",
    "no_length_reset",
)
OFTEN = ("spoilt", "hold_up", "short_idle", "slow_accept", "restless", "short_time", "bad_clients", "kill")
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
        {
            "what": "kill",
            "of": _draw(rng, "agents", "servers", "discovery"),
            "keep": bool(rng.random() < 0.5),
        },
        {"what": "kill", "signal": "TERM"},
        {"what": "descriptors", "spare": int(rng.integers(8))},
        {"what": "busy", "share": 0.5},
        {"what": "lists", "how": _draw(rng, "silent", "partial", "late", "older")},
        {"what": "reload", "spoilt": bool(rng.random() < 0.5)},
        {
            "what": "upgrade",
            "strike": _draw(rng, *STEPS),
            "after_ms": float(rng.integers(20, 900)),
            "detach_first": int(rng.integers(2)),
        },
        {"what": "lame_duck", "deaf_front": bool(rng.random() < 0.5)},
        {"what": "detach", "servers": 0.2},
        {"what": "spoilt", "how": _draw(rng, *SPOILT)},
        {"what": "reload", "times": int(rng.integers(2, 5)), "gap_ms": float(rng.integers(20, 300))},
        {"what": "hold_up"},
        {"what": "short_idle", "idle_ms": float(rng.integers(1, 120))},
        {"what": "slow_accept"},
        {
            "what": "restless",
            "part": _draw(rng, 0.2, 0.5),
            "again": bool(rng.random() < 0.5),
            "within_ms": _draw(rng, 5.0, 100.0, 400.0),
        },
        {"what": "short_time", "time_ms": _draw(rng, 5.0, 50.0, 200.0)},
        {"what": "bad_clients", "per_s": _draw(rng, 3.0, 20.0)},
    ]
    # The clients' part comes as often as all else: what they see is what is judged.
    ours = [k for k in kinds if k["what"] in OFTEN]
    kinds = ours if rng.random() < 0.5 else kinds
    fault = kinds[int(rng.integers(len(kinds)))]
    if fault["what"] != "lists":
        fault["agents"] = some
    strikes_servers = fault["what"] in (
        "link",
        "reset",
        "half_open",
        "pause",
        "kill",
        "spoilt",
        "short_idle",
        "slow_accept",
    )
    if strikes_servers and fault.get("path", fault.get("of", "servers")) == "servers":
        fault["servers"] = servers
    return fault


def draw(seed: int) -> Span:
    """Two to six agents, one to six faults, some at once, and often a replacement of servers under them."""
    rng = np.random.Generator(np.random.PCG64(seed))
    tables: dict[str, Any] = {
        "about": f"drawn scenario {seed}",
        "run": {"length_s": LENGTH_S},
        "fault": [],
        "fleet": {"agents": int(rng.integers(2, 7))},
    }
    for _ in range(int(rng.integers(1, 7))):
        begin = round(float(rng.uniform(FIRST_S, LAST_S - 1)), 2)
        length = round(float(rng.uniform(0.3, min(6.0, LENGTH_S - 4 - begin))), 2)
        tables["fault"].append({**_fault(rng), "at_s": begin, "len_s": length})
    if rng.random() < 0.5:
        tables["trouble"] = [{"what": "replacement", "at_s": 3.0, "len_s": 6.0, "part": 0.3, "drain_s": 2.0}]
    base = scenario.path_of("steady", PACKAGE).with_name("_lab.toml")
    return scenario.assemble(tables, base, LabScenario)


# What is drawn from a seed, by the name in front of it.
FAMILIES: dict[str, Callable[[int], Span]] = {"drawn": draw, "hostile": random_hostile.draw}


def named(name: str) -> Span:
    """A scenario by any of its names: shipped, a file, or `FAMILY-SEED`. Raises ScenarioError."""
    family, _, number = name.rpartition("-")
    if family in FAMILIES and number.isdigit():
        return FAMILIES[family](int(number))
    return load(name)
