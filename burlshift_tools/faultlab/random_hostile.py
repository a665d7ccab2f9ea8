"""Drawn scenarios of hostile crowds: one agent at the limits that a deployment may have, its process replaced
or killed beside them; what comes when follows from the seed alone."""

from __future__ import annotations

from typing import Any

import numpy as np

from burlshift_tools.emulator import scenario
from burlshift_tools.emulator.scenario import Span

from .faults_schema import CROWD_KINDS
from .scenario import PACKAGE, LabScenario

LENGTH_S = 18.0
FIRST_S, LAST_S = 0.5, 13.0
MEMORY_MB, SOCKETS = (32, 32, 48, 64, 192), (256, 512, 1024, 1024)
CLIENTS = (100, 300, 465, 620)
STOP_S = 4.0  # from SIGTERM, or from the start of a second process, until the first has ended
SIGNAL_S = 2.0  # from the start of a process to SIGHUP: more than a second after it is ready


def _crowd(rng: np.random.Generator) -> dict[str, Any]:
    begin = round(float(rng.uniform(FIRST_S, LAST_S / 2)), 2)
    kinds = [*CROWD_KINDS, "mixed", "mixed"]
    return {
        "what": "hostile",
        "kind": kinds[int(rng.integers(len(kinds)))],
        "clients": int(rng.choice(CLIENTS)),
        "at_s": begin,
        "len_s": round(float(rng.uniform(3.0, LAST_S - begin)), 2),
    }


def _of_the_process(rng: np.random.Generator) -> list[dict[str, Any]]:
    """What befalls the agent's process beside the crowds: it is replaced, killed, or told to reload."""
    at_s = round(float(rng.uniform(1.5, LAST_S - STOP_S)), 2)
    reload = {"what": "reload", "times": int(rng.integers(2, 5)), "gap_ms": float(rng.integers(20, 200))}
    upgrade = {"what": "upgrade", "at_s": at_s}
    choices: list[list[dict[str, Any]]] = [
        [],
        [upgrade],
        [upgrade],
        [upgrade, {**reload, "at_s": round(at_s + float(rng.uniform(SIGNAL_S, STOP_S)), 2)}],
        [{**reload, "at_s": at_s}],
        [{"what": "kill", "signal": str(rng.choice(["KILL", "TERM"])), "at_s": at_s, "len_s": STOP_S}],
    ]
    return choices[int(rng.integers(len(choices)))]


def draw(seed: int) -> Span:
    """One to three crowds, some at once, at an agent of drawn limits."""
    rng = np.random.Generator(np.random.PCG64(seed))
    tables: dict[str, Any] = {
        "about": f"drawn crowds {seed}",
        "run": {"length_s": LENGTH_S},
        "memory_mb": int(rng.choice(MEMORY_MB)),
        "sockets": int(rng.choice(SOCKETS)),
        "fleet": {"agents": 1},
        "fault": [_crowd(rng) for _ in range(int(rng.integers(1, 4)))],
    }
    tables["fault"] += _of_the_process(rng)
    if rng.random() < 0.3:
        tables["fault"].append({"what": "bad_clients", "per_s": 20.0, "at_s": 2.0, "len_s": 8.0})
    base = scenario.path_of("steady", PACKAGE).with_name("_lab.toml")
    return scenario.assemble(tables, base, LabScenario)
