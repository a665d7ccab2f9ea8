"""What the list service, and those who follow it, cost by the size of the fleet: hollow agents over sockets.

Size counts both the members listed and the agents that watch. Moments are CLOCK_MONOTONIC's of one machine:
from just before the writer's call goes out to when the last byte of the answer was read in the agent's
process. With some hundred agents to a process, that process reads one answer after the other; so a time to
the last agent holds the readers' own work (`readers_busy_ms`), which as many machines would do side by side.
It is an upper bound; the service's processor time for it is the lower one. A process of the tool that had to
wait for a processor is late (fleet_turns.py), and the run does not count.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence

from .fleet_lab import lab
from .fleet_like_real import compare
from .fleet_steps import Steps, shares
from .fleet_times import SMALL, Times
from .slopes import Figure, Measured, Point, Run, Slope

LIKE_REAL_MEMBERS = 30
DECIDING = 16  # agents at each size that also decide, in a process of their own
PER = "agents that watch, and as many members"

# name: unit, note
SLOPES = {
    "one_last_ms": ("ms", "one member changed: until the last agent has it, median of the changes"),
    "one_last_worst_ms": ("ms", "the same, the slowest of the changes"),
    "one_p99_ms": ("ms", "one member changed: 99 in 100 of all agents' times over all changes"),
    "one_bytes": ("bytes an agent", "one member changed"),
    "one_service_ms": ("ms", "one member changed: the service's processor time, a mean of all changes"),
    "one_decided_ms": (
        "ms",
        f"one member changed: until the last of {DECIDING} agents with decisions, "
        "all in one process, has taken it in",
    ),
    "one_readers_busy_ms": (
        "ms",
        "one member changed: the longest turn of a process of readers, whose own work it is",
    ),
    "zone_last_ms": ("ms", "a twelfth of the members changed in one batch: until the last agent has it"),
    "zone_bytes": ("bytes an agent", "a twelfth of the members changed in one batch"),
    "zone_service_ms": ("ms", "the same: the service's processor time"),
    "zone_single_last_ms": (
        "ms",
        "a twelfth of the members, one revision each, from the first write to the last agent",
    ),
    "zone_single_said_ms": ("ms", "the same, from the first write to the last yes"),
    "zone_single_bytes": ("bytes an agent", "the same"),
    "zone_single_answers": (
        "answers an agent",
        "the same: what came while an agent was not waiting is told together",
    ),
    "zone_single_service_ms": ("ms", "the same: the service's processor time"),
    "region_last_ms": ("ms", "a fifth of the members changed in one batch: until the last agent has it"),
    "region_bytes": ("bytes an agent", "a fifth of the members changed in one batch"),
    "region_service_ms": ("ms", "the same: the service's processor time"),
    "all_last_ms": ("ms", "all members changed in one batch: until the last agent has it"),
    "all_bytes": ("bytes an agent", "all members changed in one batch"),
    "whole_bytes": ("bytes", "a whole list"),
    "storm_last_ms": ("ms", "all ask for the whole list at once, on new connections: until the last has it"),
    "storm_total_mb": ("MB", "the same: what all of them received"),
    "storm_service_ms": ("ms", "the same: the service's processor time"),
    "storm_failed": ("watches", "the same: calls that failed and were made again"),
    "restart_up_ms": ("ms", "the service killed and started on the same data: until it answers"),
    "restart_last_ms": ("ms", "from then until the last agent is current"),
    "restart_bytes": ("bytes an agent", "the same, with one change"),
    "restart_wholes": ("whole lists", "the same: how many were told to all agents together"),
    "restart_service_ms": ("ms", "the same: the new process's processor time, its start included"),
    "restart_longest_turn_ms": ("ms", "the same: the longest that a call which asks for nothing has waited"),
    "joined_last_ms": ("ms", "a fifth of the agents, cut off and joined: until the last of them is current"),
    "joined_p50_ms": ("ms", "the same, half of them"),
    "joined_bytes": ("bytes an agent", "the same, since the cut"),
    "joined_wholes": ("whole lists", "the same: how many were told to those agents together"),
    "joined_service_ms": ("ms", "the same: the service's processor time"),
    "leases_service_cores": (
        "cores",
        "leases of all members renewed: the service's share of a processor, "
        "with all agents' watches beside it",
    ),
    "leases_answers": ("answers a second", "the same"),
    "leases_p50_ms": ("ms", "the same: from when a renewal was due to its answer"),
    "leases_p99_ms": ("ms", "the same"),
    "leases_refused": ("renewals", "the same: refused or not answered"),
    "rest_service_cores": ("cores", "at rest: the service's share of a processor"),
    "rest_bytes": ("bytes a second an agent", "at rest: what the watches' waits cost"),
    "service_mb": ("MB", "the service's memory, with all agents watching"),
    "service_mb_bare": ("MB", "the service's memory before the first watch"),
}
FIGURES = {
    "pause_last_ms": (
        "ms",
        "the service paused, a change just before and after: from its going on until the "
        "last agent is current",
    ),
    "pause_bytes": ("bytes an agent", "the same, pause included"),
    "pause_wholes": ("whole lists", "the same: how many were told to all agents together"),
    "pause_failed": ("watches", "the same: calls that failed and were made again"),
    "pause_service_ms": ("ms", "the same: the service's processor time"),
    "pause_longest_turn_ms": ("ms", "the same: the longest that a call which asks for nothing has waited"),
    "tool_mb": ("MB", "memory of all processes of the test together"),
}


def measure(sizes: Sequence[int], run: Run) -> list[Measured]:
    """Sizes from small to large; the pause and the long cut are made at the largest. Raises Failed, NoRoom,
    OSError, ValueError (sizes too small)."""
    times = SMALL if run.small else Times()
    least = 20
    if min(sizes) < least:
        raise ValueError(f"--sizes {min(sizes)}: fleet needs {least} at least")
    return asyncio.run(_measure(sorted(sizes), times, run))


async def _measure(sizes: Sequence[int], times: Times, run: Run) -> list[Measured]:
    made: list[Measured] = []
    async with lab(LIKE_REAL_MEMBERS) as beside:
        run.say(f"  {times.real} real agents beside as many hollow ones")
        made += await compare(beside, times, run)
    found = {size: await _one_size(size, times, run, size == sizes[-1]) for size in sizes}
    for name, (unit, note) in SLOPES.items():
        points = tuple(Point(size, found[size][name]) for size in sizes)
        made.append(
            Slope(name=f"fleet.{name}", unit=unit, per=PER, points=points, note=_with(note, name, times))
        )
    for name, (unit, note) in FIGURES.items():
        paused = f", paused {times.pause_s:g} s" if name.startswith("pause") else ""
        made.append(
            Figure(
                name=f"fleet.{name}",
                unit=unit,
                value=found[sizes[-1]][name],
                note=f"{note}; {sizes[-1]} agents{paused}",
            )
        )
    return made


def _with(note: str, name: str, times: Times) -> str:
    if name.startswith("joined"):
        return (
            f"{note}; cut for {times.cut_s:g} s, {times.longest_cut_s:g} s at the largest size, in place "
            f"of five minutes, with {times.cut_changes} changes, as five minutes of 12,000 a day have"
        )
    if name.startswith("leases"):
        return f"{note}; ttl {times.ttl_s:g} s, renewed each third of it"
    return note


async def _one_size(size: int, times: Times, run: Run, longest: bool) -> dict[str, float]:
    # A processor for the service and one for the parent.
    processes = 2 if run.small else max(2, min(8, (os.cpu_count() or 4) - 2))
    deciding = min(DECIDING, size // 5)
    async with lab(size) as made:
        await made.populate(shares(size, processes, deciding), deciding)
        return await Steps(made, times, run).all(longest)
