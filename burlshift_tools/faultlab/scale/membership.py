"""Membership by the size of the fleet, in virtual time with the agents' own core
(`burlshift_tools.emulator.members`).
"""

from __future__ import annotations

import gc
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import reduce
from time import perf_counter_ns

from burlshift.membership.record import Record, Status
from burlshift.membership.swim import _digest
from burlshift_tools.emulator import members

from .slopes import Figure, Measured, Point, Run, Slope

SEED = 1
ZONES = 12  # a twelfth of the fleet dies at once
SETTLE, REST = 4.0, 20.0  # periods before and while bytes at rest are counted
KNOWN = 0.99  # of the pairs of one who lives and one who died
YARDSTICK_S = 13.0  # the plan's time for changes of configuration; it has none for deaths
WALL_S = 40.0  # after so long by this machine's clock no further step is begun
STEP = 1.0  # periods between two looks


class Known(members.Fleet):
    """All know all from the start: the cold start of thousands takes longer than all the rest."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, seed)
        self.engine.run(members.BOOT_US)
        records = {i: Record(m.start, m.incarnation, Status.ALIVE) for i, m in self.members.items()}
        digest = reduce(int.__xor__, (_digest(i, r) for i, r in records.items()))
        for i, member in self.members.items():
            for j, peer in member.peers.items():
                peer.record = records[j]
            member._alive_count, member._digest = size - 1, digest
            self._carry_out(i, member.begin(self.engine.now))
        self.run(SETTLE)

    def start(self, i: int) -> None:
        """Nobody speaks before all are there."""
        self.starts += 1
        self.members[i] = self.core(i, self.size, self.starts, self.random.random, self.timing)

    def rest_bytes_s(self) -> float:
        """Of one member, nothing going on."""
        before = self.bytes
        self.run(REST)
        return (self.bytes - before) / self.size / (REST * self.timing.period_us / 1e6)

    def death(self, of: list[int], wall_s: float = WALL_S) -> Death:
        """These die now. Looks every STEP; how long it may take by this machine's clock is bounded."""
        self.kill(of)
        began, wall = self.engine.now, perf_counter_ns()
        by_then: float | None = None
        while True:
            took, share = (self.engine.now - began) / 1e6, self._share(Status.DEAD, of)
            if by_then is None and (took >= YARDSTICK_S or share >= KNOWN):
                by_then = share
            if share >= KNOWN:
                return Death(took, by_then, share, took)
            if (perf_counter_ns() - wall) / 1e9 > wall_s:
                return Death(None, by_then, share, took)
            self.run(STEP)


@dataclass(frozen=True, slots=True)
class Death:
    """known_s: of virtual time until KNOWN of the pairs know; None: not while it was looked at."""

    known_s: float | None
    by_then: float | None  # the share that knew after YARDSTICK_S; None: not looked at for so long
    share: float  # the share that knew when it was last looked at,
    looked_s: float  # after so long


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Sizes are members of a fleet, times virtual. Where too few knew within WALL_S a slope has no point."""
    at: dict[str, list[Point]] = {name: [] for name in UNITS}
    beyond: list[Measured] = []
    for size in sorted(sizes):
        run.say(f"membership, {size} members")
        at["memory_mb"].append(Point(size, _number(members.memory(size, SEED).value)))
        at["idle_share"].append(Point(size, _number(members.processor(size, SEED).value) / 100))
        with _no_collection():
            fleet = Known(size, SEED)
            at["rest_bytes_s"].append(Point(size, fleet.rest_bytes_s()))
            for what, of in (("one", [0]), ("zone", list(range(1, 1 + max(1, size // ZONES))))):
                death = fleet.death(of)
                if death.by_then is not None:
                    at[f"{what}_death_share_13s"].append(Point(size, death.by_then))
                if death.known_s is not None:
                    at[f"{what}_death_s"].append(Point(size, death.known_s))
                else:
                    run.say(f"  {what}: {death.share:.0%} know after {death.looked_s:.0f} s, no further look")
                    beyond += _beyond(what, size, death)
            del fleet
    made: list[Measured] = [
        Slope(name=f"membership.{name}", unit=unit, per="members", points=tuple(at[name]), note=note)
        for name, (unit, note) in UNITS.items()
        if at[name]
    ]
    return made + beyond


UNITS = {
    "rest_bytes_s": ("B/s", "sent by one member, virtual time"),
    "memory_mb": ("MB", "of one member that knows all, by tracemalloc"),
    "idle_share": ("of a core", "one member at rest, form of the datagrams included, sockets not"),
    "one_death_s": ("s", f"until {KNOWN:.0%} know that one died, virtual time"),
    "zone_death_s": ("s", f"until {KNOWN:.0%} of pairs know of a twelfth that died at once, virtual time"),
    "one_death_share_13s": ("share", f"knows of one death after {YARDSTICK_S:.0f} s"),
    "zone_death_share_13s": ("share", f"of pairs know of a twelfth's death after {YARDSTICK_S:.0f} s"),
}


def _beyond(what: str, size: int, death: Death) -> list[Figure]:
    return [
        Figure(
            name=f"membership.{what}_death_looked_s.{size}",
            unit="s",
            value=death.looked_s,
            note=f"{size} members: no further look, though fewer than {KNOWN:.0%} of pairs knew",
        ),
        Figure(
            name=f"membership.{what}_death_looked_share.{size}",
            unit="share",
            value=death.share,
            note=f"{size} members: the share of pairs that knew by then",
        ),
    ]


def _number(text: str) -> float:
    """`burlshift_tools.emulator.members` gives its rows as they are printed."""
    return float(text.split()[0].rstrip("%"))


@contextmanager
def _no_collection() -> Iterator[None]:
    """Millions of objects that live on are looked through again and again else."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()
