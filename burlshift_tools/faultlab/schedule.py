"""The schedule of a run: what begins and ends when, and whom it strikes, from scenario and seed alone."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from burlshift_tools.emulator import troubles_schema as emulated
from burlshift_tools.emulator.random_streams import Stream, streams_for
from burlshift_tools.emulator.sampling import Day
from burlshift_tools.emulator.scenario import ServerPlan

from . import faults_schema as faults
from .faults_schema import AnyFault
from .scenario import LabScenario


@dataclass(frozen=True, slots=True)
class Act:
    """One thing that the rig does."""

    at_us: int  # from the start of the run
    number: int  # of the fault or trouble, faults first
    what: str  # the fault's tag, or what is done to servers: set, drain, stop, start, add
    on: bool  # it begins, or ends
    agents: tuple[int, ...] = ()
    servers: tuple[int, ...] = ()
    fault: AnyFault | None = None
    values: dict[str, float | bool] = field(default_factory=dict)  # for set

    def line(self) -> str:
        """As a person reads it."""
        who = [f"a{i}" for i in self.agents] + [f"s{j}" for j in self.servers]
        shown = {}
        if self.on and self.fault is not None:
            defaults = type(self.fault)(at_s=self.fault.at_s)
            shown = {
                f.name: getattr(self.fault, f.name)
                for f in msgspec.structs.fields(self.fault)
                if f.name not in ("at_s", "len_s", "agents", "servers")
                and getattr(self.fault, f.name) != getattr(defaults, f.name)
            }
        detail = " ".join(
            f"{k}={v:g}" if isinstance(v, float) else f"{k}={v}" for k, v in {**shown, **self.values}.items()
        )
        word = self.what if self.on else f"{self.what} ends"
        return f"{self.at_us / 1e6:7.3f} s  {word:<18} {' '.join(who)}  {detail}".rstrip()


def _some(stream: Stream, count: int, part: float) -> tuple[int, ...]:
    """A share of so many things, at least one where it is not 0."""
    order = stream.rng.permutation(count).tolist()
    return tuple(sorted(order[: max(1, round(part * count))])) if part > 0 else ()


def make(day: Day, scenario: LabScenario, seed: int) -> list[Act]:
    """All acts of a run in the order of their times."""
    stream = streams_for(scenario.about, seed)
    acts: list[Act] = []
    for number, fault in enumerate(scenario.fault):
        # By what it is and not by its place: with another fault taken out, it strikes the same ones.
        acts += _fault(number, fault, day, stream(f"fault {_tag(fault)} {fault.at_s}"))
    added = len(day.servers)
    for number, trouble in enumerate(scenario.trouble, len(scenario.fault)):
        made = _trouble(number, trouble, day, stream(f"trouble {_tag(trouble)} {trouble.at_s}"), added)
        added += sum(act.what == "add" for act in made)
        acts += made
    return sorted(acts, key=lambda act: (act.at_us, act.number))


def servers_in_all(day: Day, acts: list[Act]) -> list[ServerPlan]:
    """The plans of all servers that a run has, those that come later included."""
    plans = list(day.servers)
    for act in sorted((a for a in acts if a.what == "add"), key=lambda a: a.servers):
        plans.append(day.servers[int(act.values["like"])])
    return plans


def _fault(number: int, fault: AnyFault, day: Day, stream: Stream) -> list[Act]:
    strikes_agents = getattr(fault, "of", "agents") == "agents"
    agents = _some(stream, len(day.agents), fault.agents) if strikes_agents else ()
    part = getattr(fault, "servers", 0.0)
    on_servers = isinstance(
        fault, faults.Detach | faults.Spoilt | faults.ShortIdle | faults.SlowAccept
    ) or "servers" in (getattr(fault, "of", ""), getattr(fault, "path", ""))
    servers = _some(stream, len(day.servers), part) if on_servers else ()
    if isinstance(fault, faults.Lists):
        agents = ()
    begin = int(fault.at_s * 1e6)
    acts = [Act(begin, number, _tag(fault), True, agents, servers, fault)]
    if fault.len_s:
        acts.append(Act(begin + int(fault.len_s * 1e6), number, _tag(fault), False, agents, servers, fault))
    return acts


def _tag(struct: msgspec.Struct) -> str:
    return str(struct.__struct_config__.tag)


def _trouble(number: int, t: emulated.Trouble, day: Day, stream: Stream, added: int) -> list[Act]:
    begin, end = int(t.at_s * 1e6), int((t.at_s + t.len_s) * 1e6)
    every = tuple(range(len(day.servers)))

    def set_(at: int, servers: tuple[int, ...], on: bool, **values: float | bool) -> Act:
        return Act(at, number, "set", on, (), servers, None, dict(values))

    if isinstance(t, emulated.SharedSlow):
        return [set_(begin, every, True, slower=t.size), set_(end, every, False, slower=1.0)]
    if isinstance(t, emulated.BadServers):
        some = _some(stream, len(day.servers), t.part)
        return [
            set_(begin, some, True, errors=t.errors, slower=t.slower, silent=t.silent),
            set_(end, some, False, errors=0.0, slower=1.0, silent=False),
        ]
    if isinstance(t, emulated.Neighbour):
        return _neighbour(number, t, _some(stream, len(day.servers), t.part), stream)
    if isinstance(t, emulated.ZoneLost):
        zone = int(stream.uniform() * len(day.scenario.fleet.zones))
        struck = tuple(j for j, s in enumerate(day.servers) if s.zone == zone)
        return [Act(begin, number, "stop", True, (), struck), Act(end, number, "start", False, (), struck)]
    if isinstance(t, emulated.Replacement):
        leaving = _some(stream, len(day.servers), t.part)
        acts = []
        for i, j in enumerate(leaving):
            at = begin + (end - begin) * i // len(leaving)
            acts += [
                Act(at, number, "drain", True, (), (j,)),
                Act(at, number, "add", True, (), (added + i,), None, {"like": j}),
                Act(at + int(t.drain_s * 1e6), number, "stop", True, (), (j,)),
            ]
        return acts
    return []  # bursts and heavy tails are in the arrivals already


def _neighbour(number: int, t: emulated.Neighbour, struck: tuple[int, ...], stream: Stream) -> list[Act]:
    acts, end = [], int((t.at_s + t.len_s) * 1e6)
    for j in struck:
        at, on = int((t.at_s + stream.uniform() * t.on_off_s) * 1e6), True
        while at < end:
            acts.append(Act(at, number, "set", on, (), (j,), None, {"taken": t.taken if on else 0.0}))
            at, on = at + max(1000, math.ceil(t.on_off_s * 1e6 * stream.between(0.5, 1.5))), not on
        acts.append(Act(end, number, "set", False, (), (j,), None, {"taken": 0.0}))
    return acts
