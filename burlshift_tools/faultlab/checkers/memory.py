"""The processes of an agent together stay within its `memory_mb` (DEPLOY, Limits)."""

from __future__ import annotations

from .. import history as h
from .case import Breach, Case

MIB_BYTES = 1024 * 1024


def check(case: Case) -> list[Breach]:
    over: dict[str, Breach] = {}
    for e in case.events:
        if isinstance(e, h.Memory) and e.anonymous > e.limit and e.who not in over:
            what = (
                f"{e.processes} processes held {e.anonymous / MIB_BYTES:.1f} MB of {e.limit // MIB_BYTES} "
                f"and were killed ({e.resident / MIB_BYTES:.1f} MB with files)"
            )
            over[e.who] = Breach("memory", e.t, e.who, what)
    return list(over.values())
