"""What may go wrong in a scenario: one struct for each kind, told apart by `what`.

`at_s` and `len_s` say when, by the run's clock; `part` is always a share of the servers or the agents.
"""

from __future__ import annotations

from typing import ClassVar

from msgspec import Struct

from .units import NonNegative, Positive, Share


class Schedule(Struct, forbid_unknown_fields=True, kw_only=True, tag_field="what"):
    """When a trouble begins and how long it lasts."""

    at_s: NonNegative
    len_s: Positive
    needs_zones: ClassVar[bool] = False


class Neighbour(Schedule, kw_only=True, tag="neighbour"):
    """Another program takes part of some servers, on and off."""

    part: Share
    taken: Share
    on_off_s: Positive


class Burst(Schedule, kw_only=True, tag="burst"):
    """The rate is multiplied, with a rise and a fall."""

    size: Positive
    rise_s: Positive


class HeavyTail(Schedule, kw_only=True, tag="heavy_tail"):
    """A share of one class's requests costs a multiple of its work."""

    size: Positive
    share: Share


class AgentRoll(Schedule, kw_only=True, tag="agent_roll"):
    """Agents restart in batches and come back with nothing but their last list."""

    part: Share
    batch: Share
    down_s: Positive


class SharedSlow(Schedule, kw_only=True, tag="shared_slow"):
    """Every server is slower by a factor."""

    size: Positive


class ZoneLost(Schedule, kw_only=True, tag="zone_lost"):
    """All servers of one zone die at once, and start again, cold, when the time is up."""

    needs_zones: ClassVar[bool] = True


class Split(Schedule, kw_only=True, tag="split"):
    """One zone's agents and the other zones' servers do not hear one another, nor do peers across."""

    needs_zones: ClassVar[bool] = True


class Replacement(Schedule, kw_only=True, tag="replacement"):
    """A part of the servers is drained and replaced by new ones, one after the other over the time."""

    part: Share
    drain_s: Positive


class LateLists(Schedule, kw_only=True, tag="late_lists"):
    """Whatever discovery has to tell comes this much later."""

    late_s: Positive


class BadServers(Schedule, kw_only=True, tag="bad_servers"):
    """Some servers answer with errors, work slowly, or fall silent."""

    part: Share
    errors: Share = 0.0
    slower: Positive = 1.0
    silent: bool = False


class Herd(Schedule, kw_only=True, tag="herd"):
    """A part of the agents is killed at once; they come back within the time."""

    part: Share


Trouble = (
    Neighbour
    | Burst
    | HeavyTail
    | AgentRoll
    | SharedSlow
    | ZoneLost
    | Split
    | Replacement
    | LateLists
    | BadServers
    | Herd
)
