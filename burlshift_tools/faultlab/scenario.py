"""Scenarios of the rig: the emulator's, with faults, at a size that real processes carry."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, cast

import msgspec

from burlshift_tools.emulator import sampling, scenario
from burlshift_tools.emulator import troubles_schema as emulated
from burlshift_tools.emulator.scenario import ScenarioError

from .faults_schema import AnyFault, Lie, Lists, Reload

PACKAGE = "burlshift_tools.faultlab"
MOST_AGENTS, MOST_SERVERS = 20, 30
# What the rig plays of the emulator's troubles; the others are faults here: a split is a link that is cut.
PLAYED = (
    emulated.Neighbour,
    emulated.Burst,
    emulated.HeavyTail,
    emulated.SharedSlow,
    emulated.BadServers,
    emulated.Replacement,
    emulated.ZoneLost,
)


class LabScenario(scenario.Scenario, frozen=True):
    """A scenario of the emulator with the lab's faults and processes."""

    list_service: bool = False  # the project's own serves the list; agents then reach servers without relays
    followers: Annotated[int, msgspec.Meta(ge=0, le=2)] = 0  # of it; agents then ask these, in turned orders
    memory_mb: Annotated[int, msgspec.Meta(ge=16)] = 192  # of each agent, over which it is killed
    sockets: Annotated[int, msgspec.Meta(ge=128)] = 1024  # descriptors of each agent
    membership: bool = False  # the agents tell one another that they live; needs allow.peers
    fault: list[AnyFault] = msgspec.field(default_factory=list)


def load(name: str) -> scenario.Span:
    """A shipped scenario by its name, a TOML file, or the run.json of a run. Raises ScenarioError."""
    if name.endswith(".json"):
        return _of_run(name)
    span = scenario.load(name, LabScenario, PACKAGE)
    _check(name, span)
    return span


def _of_run(name: str) -> scenario.Span:
    class Recorded(msgspec.Struct):
        scenario: LabScenario

    try:
        found = msgspec.json.decode(Path(name).read_bytes(), type=Recorded).scenario
    except OSError as e:
        raise ScenarioError(f"{name}: cannot be read ({e.strerror}); give a file that exists") from None
    except msgspec.DecodeError as e:
        raise ScenarioError(f"{name}: is no run.json: {e}; play the run again") from None
    return scenario.Span(found, found)


def _check(name: str, span: scenario.Span) -> None:
    """What the rig cannot play is said before anything starts."""
    high = cast(LabScenario, span.high)
    for what, n, most in (
        ("agents", high.fleet.agents, MOST_AGENTS),
        ("servers", high.fleet.servers, MOST_SERVERS),
    ):
        if n > most:
            raise ScenarioError(f"{name}: fleet.{what}: {n} is more than the rig carries; write {most}")
    for i, trouble in enumerate(high.trouble):
        if not isinstance(trouble, PLAYED):
            kind = type(trouble).__struct_config__.tag
            raise ScenarioError(f"{name}: trouble[{i}].what: the rig does not play `{kind}`; write a fault")
    if high.list_service and any(
        getattr(f, "path", "") == "servers" or isinstance(f, Lists | Reload) for f in high.fault
    ):
        raise ScenarioError(
            f"{name}: list_service: goes with no fault on the path to servers, nor of the "
            "stand-in's lists; take those out"
        )
    if high.followers and not high.list_service:
        raise ScenarioError(f"{name}: followers: need list_service = true; write that too")
    for f in high.fault:
        least = 1 if getattr(f, "path", "") == "leader" else 0
        if getattr(f, "of", "") == "followers":
            least = 1 + getattr(f, "follower", 0)
        if least > high.followers:
            raise ScenarioError(f"{name}: a fault at followers: needs followers = {least}; write that too")
    if high.membership and not high.allow.peers:
        raise ScenarioError(f"{name}: membership: needs allow.peers = true; write that too")
    if not high.membership and any(isinstance(f, Lie) for f in high.fault):
        raise ScenarioError(f"{name}: fault `lie`: needs membership = true; write that too")
    for i, fault in enumerate(high.fault):
        if fault.at_s + fault.len_s > high.run.length_s:
            raise ScenarioError(
                f"{name}: fault[{i}]: ends after the run; lower at_s or len_s, or raise "
                f"run.length_s from {high.run.length_s:g}"
            )


def settle(span: scenario.Span, seed: int, length_s: float | None = None) -> tuple[sampling.Day, LabScenario]:
    """The day of this seed, cut to a length where one is given; faults beyond it are left out."""
    if length_s is not None:
        span = scenario.Span(_cut(span.low, length_s), _cut(span.high, length_s))
    day = sampling.draw(span, seed)
    return day, cast(LabScenario, day.scenario)


def _cut(s: scenario.Scenario, length_s: float) -> scenario.Scenario:
    assert isinstance(s, LabScenario)
    kept = [f for f in s.fault if f.at_s + f.len_s <= length_s]
    run = msgspec.structs.replace(s.run, length_s=length_s)
    return msgspec.structs.replace(s, run=run, fault=kept)


def calmed(span: scenario.Span) -> scenario.Span:
    """The same days without their faults; what is drawn for them does not follow from these."""
    low, high = (
        msgspec.structs.replace(s, fault=[])
        for s in (cast(LabScenario, span.low), cast(LabScenario, span.high))
    )
    return scenario.Span(low, high)
