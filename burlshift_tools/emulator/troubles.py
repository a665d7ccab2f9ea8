"""What goes wrong: each kind of trouble_schema's troubles put onto the engine."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from burlshift.balancing.interface import State

from . import troubles_schema as schema
from .random_streams import Stream
from .servers import Server

if TYPE_CHECKING:
    from .world import World


class Troubles:
    """Schedules all troubles of a day; bursts and heavy tails are in the arrivals already."""

    def __init__(self, world: World, stream: Stream) -> None:
        self.world, self.stream = world, stream
        apply: dict[type, Callable[[Any, int, int], None]] = {
            schema.Neighbour: self._neighbour,
            schema.AgentRoll: self._agent_roll,
            schema.SharedSlow: self._shared_slow,
            schema.ZoneLost: self._zone_lost,
            schema.Split: self._split,
            schema.Replacement: self._replacement,
            schema.LateLists: self._late_lists,
            schema.BadServers: self._bad_servers,
            schema.Herd: self._herd,
        }
        for t in world.s.trouble:
            if type(t) in apply:
                start = world.start + int(t.at_s * 1e6)
                apply[type(t)](t, start, start + int(t.len_s * 1e6))

    def _at(self, time: int, call: Callable[..., None], *args: Any) -> None:
        self.world.engine.at(time, call, *args)

    def _some(self, things: list[Any], part: float) -> list[Any]:
        """A share of them, at least one, in an order of its own."""
        order = self.stream.rng.permutation(len(things)).tolist()
        return [things[i] for i in order[: max(1, round(part * len(things)))]]

    def _neighbour(self, t: schema.Neighbour, start: int, end: int) -> None:
        for s in self._some(list(self.world.servers.values()), t.part):
            self._at(start + int(self.stream.uniform() * t.on_off_s * 1e6), self._toggle, s, t, end, True)
            self._at(end, self._set, s, "taken", 0.0)

    def _toggle(self, s: Server, t: schema.Neighbour, end: int, on: bool) -> None:
        now = self.world.engine.now
        if now < end:
            self._set(s, "taken", t.taken if on else 0.0)
            wait = int(t.on_off_s * 1e6 * self.stream.between(0.5, 1.5))
            self._at(now + max(1, wait), self._toggle, s, t, end, not on)

    def _set(self, s: Server, name: str, value: Any) -> None:
        s.book()
        setattr(s, name, value)
        s.change()

    def _shared_slow(self, t: schema.SharedSlow, start: int, end: int) -> None:
        for s in list(self.world.servers.values()):
            self._at(start, self._set, s, "slower", t.size)
            self._at(end, self._set, s, "slower", 1.0)

    def _bad_servers(self, t: schema.BadServers, start: int, end: int) -> None:
        changes = (("errors", t.errors, 0.0), ("slower", t.slower, 1.0), ("silent", t.silent, False))
        for s in self._some(list(self.world.servers.values()), t.part):
            for name, bad, well in changes:
                if bad != well:
                    self._at(start, self._set, s, name, bad)
                    self._at(end, self._set, s, name, well)

    def _agent_roll(self, t: schema.AgentRoll, start: int, end: int) -> None:
        agents = self._some(list(range(len(self.world.hosts))), t.part)
        size = max(1, round(t.batch * len(self.world.hosts)))
        batches = [agents[i : i + size] for i in range(0, len(agents), size)]
        for i, batch in enumerate(batches):
            at = start + (end - start) * i // len(batches)
            for index in batch:
                self._at(at, self.world.stop_agent, index)
                self._at(at + int(t.down_s * 1e6), self.world.start_agent, index)

    def _herd(self, t: schema.Herd, start: int, end: int) -> None:
        for index in self._some(list(range(len(self.world.hosts))), t.part):
            self._at(start, self.world.stop_agent, index)
            self._at(start + int(self.stream.uniform() * (end - start)), self.world.start_agent, index)

    def _zone_lost(self, t: schema.ZoneLost, start: int, end: int) -> None:
        zone = int(self.stream.uniform() * len(self.world.s.fleet.zones))
        for s in self.world.servers.values():
            if s.zone == zone:
                self._at(start, self.world.kill_server, s)
                self._at(end, self.world.start_server, s)

    def _split(self, t: schema.Split, start: int, end: int) -> None:
        zone = int(self.stream.uniform() * len(self.world.s.fleet.zones))
        self._at(start, self.world.links.cut_off.add, zone)
        self._at(end, self.world.links.cut_off.discard, zone)

    def _replacement(self, t: schema.Replacement, start: int, end: int) -> None:
        leaving = self._some(list(self.world.servers.values()), t.part)
        for i, s in enumerate(leaving):
            at = start + (end - start) * i // len(leaving)
            self._at(at, self._drain, s)
            self._at(at, self.world.add_server, s.plan)
            self._at(at + int(t.drain_s * 1e6), self.world.end_server, s)

    def _drain(self, s: Server) -> None:
        s.draining = True
        self.world.discovery.changed(s, State.DRAINING)

    def _late_lists(self, t: schema.LateLists, start: int, end: int) -> None:
        self._at(start, self._lists, int(t.late_s * 1e6))
        self._at(end, self._lists, 0)

    def _lists(self, late: int) -> None:
        self.world.discovery.late_us = late
