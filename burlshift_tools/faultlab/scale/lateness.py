"""What counts of a measurement in which the tool was late: the points of the steps in which it was not."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

from .slopes import Figure, Measured

# `SIZE agents, STEP: why`, `RATE calls a second: why` and `DEPTH deep: why`, as the measurements say it.
REASON = re.compile(r"(\d+) agents, ([a-z ,]+): ")
RATE, DEEP = re.compile(r"(\d+) calls a second: "), re.compile(r"(\d+) deep: ")
# Which names a step's figures begin with. Steps that only bring all to the next one are nobody's figure.
STEPS: dict[str, tuple[str, ...]] = {
    "one member": ("fleet.one_", "replicas.one_", "replicas.leader_", "replicas.follower_"),
    "zone": ("fleet.zone_last", "fleet.zone_bytes", "fleet.zone_service"),
    "region": ("fleet.region_",),
    "zone, one by one": ("fleet.zone_single",),
    "whole lists": ("fleet.storm_", "fleet.whole_"),
    "restart": ("fleet.restart_",),
    "paused": ("fleet.pause_",),
    "region joined": ("fleet.joined_",),
    "all members": ("fleet.all_",),
    "leases": ("fleet.leases_",),
    "without": ("replicas.before_",),
    "last change": ("replicas.last_change",),
    "gone": ("replicas.after_",),
    "back": ("replicas.back_",),
    "connected": (),
    "relayed": (),
    "zone back": (),
    "region back": (),
    "moved": (),
}
ALL = ""  # every name begins with it


def counted(made: Sequence[Measured], late: Sequence[str]) -> list[Measured]:
    """Slopes without the points that were late, of two sizes at least, and figures whose step never was.

    A reason that names no step takes everything with it.
    """
    gone: set[tuple[int | None, str]] = set()
    rates: set[str] = set()
    for reason in late:
        if found := RATE.match(reason):
            rates.add(f"_{found[1]}")
        elif found := DEEP.match(reason):
            gone.add((int(found[1]), "deep."))
        elif (found := REASON.match(reason)) and found[2] in STEPS:
            gone |= {(int(found[1]), prefix) for prefix in STEPS[found[2]]}
        else:
            gone.add((None, "hollow." if reason.startswith("like real") else ALL))
    kept: list[Measured] = []
    for m in made:
        sizes = {size for size, prefix in gone if m.name.startswith(prefix)}
        if m.name.startswith("call.") and any(m.name.endswith(rate) for rate in rates):
            continue
        if None in sizes or (sizes and isinstance(m, Figure)):
            continue
        if isinstance(m, Figure):
            kept.append(m)
            continue
        points = tuple(p for p in m.points if p.size not in sizes)
        if len({p.size for p in points}) >= 2:
            kept.append(msgspec.structs.replace(m, points=points))
    return kept
