"""The server list: what runs, drains or is gone, told late, pushed or asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlshift.balancing.interface import Backend, ListKind, State

from .random_streams import Stream
from .servers import Server

if TYPE_CHECKING:
    from .agents import Host
    from .world import World

Entry = Backend


class Discovery:
    """Publishes once a period what it has noticed; agents hear of it a little later, each at its time."""

    def __init__(self, world: World, stream: Stream) -> None:
        self.world, self.stream = world, stream
        self.settings = world.s.discovery
        self.period = int(self.settings.period_ms * 1000)
        self.noticed: list[tuple[int, Entry]] = []  # when it comes to be known; in the order of happening
        self.now_listed: dict[str, Entry] = {}
        self.published: list[tuple[dict[str, Entry], list[Entry]]] = []  # by revision: the list, the changes
        self.late_us = 0  # by trouble
        self.free_at = 0  # when the service has answered all calls so far

    def begin(self, servers: list[Server]) -> None:
        self.now_listed = {s.id: self._entry(s, State.READY) for s in servers}
        self.published = [(dict(self.now_listed), [])]
        self.world.engine.at(self.world.engine.now + self.period, self._publish)

    def _entry(self, s: Server, state: State) -> Entry:
        return Entry(s.id, state, s.zone, s.cell, s.plan.kind_index, 1.0, s.started_at)

    def changed(self, s: Server, state: State, silent: bool = False) -> None:
        """A server came, drains or went; a silent death takes longest to show."""
        d = self.settings
        wait = d.add_s if state is State.READY else d.silent_notice_s if silent else d.notice_s
        if state is State.DRAINING:
            wait = d.add_s  # it says so itself
        at = self.world.engine.now + int(wait * 1e6)
        self.noticed.append((at, self._entry(s, state)))

    def _publish(self) -> None:
        now = self.world.engine.now
        due = [e for at, e in self.noticed if at <= now]
        self.noticed = [(at, e) for at, e in self.noticed if at > now]
        if due:
            for e in due:
                if e.state is State.GONE:
                    self.now_listed.pop(str(e.id), None)
                else:
                    self.now_listed[str(e.id)] = e
            self.published.append((dict(self.now_listed), due))
            for host in self.world.hosts:
                if host is not None and (self.settings.mode == "push" or host.subscribed):
                    self._push(host)
        self.world.engine.at(now + self.period, self._publish)

    def _push(self, host: Host) -> None:
        spread = int(self.settings.spread_ms * 1000 * self.stream.uniform())
        at = max(self.world.engine.now + spread + self.late_us, host.lists_until)
        host.lists_until = at
        host.soon(self._deliver, host, len(self.published) - 1, at=at)

    def _deliver(self, host: Host, revision: int) -> None:
        """Changes since the agent's own revision; the whole list where it has missed many."""
        if revision <= host.revision or not host.alive:
            return
        behind = revision - host.revision
        if behind > 8:
            host.lists(ListKind.FULL, list(self.published[revision][0].values()), revision)
            return
        changes = [e for _, due in self.published[host.revision + 1 : revision + 1] for e in due]
        host.lists(ListKind.DELTA, changes, revision)

    def welcome(self, host: Host, revision: int, first: bool) -> None:
        """A new life: the old list at once, then, where changes are pushed, what has come since."""
        entries = list(self.published[revision][0].values())
        if first and self.settings.known < 1:
            kept = [e for e in entries if self.stream.uniform() < self.settings.known]
            entries = kept or entries[:1]
        host.lists(ListKind.CACHED, entries, revision)
        if self.settings.mode == "push":
            spread = int(self.settings.spread_ms * 1000 * self.stream.uniform())
            host.lists_until = self.world.engine.now + spread + self.period + self.late_us
            host.soon(self._full, host, at=host.lists_until)

    def _full(self, host: Host) -> None:
        revision = len(self.published) - 1
        host.lists(ListKind.FULL, list(self.published[revision][0].values()), revision)

    def call(self, host: Host, watch: bool) -> None:
        """Watch or Fetch: one service answers all calls in turn; one that waits too long fails."""
        now = self.world.engine.now
        self.free_at = max(self.free_at, now) + int(1e6 / self.settings.calls_per_s)
        timeout = int(self.settings.call_timeout_ms * 1000)
        if self.free_at - now > timeout:
            host.soon(host.lists, ListKind.FAILED, [], 0, at=now + timeout)
        else:
            host.soon(self._answer, host, watch, at=self.free_at + self.late_us)

    def _answer(self, host: Host, watch: bool) -> None:
        host.subscribed = host.subscribed or watch
        self._full(host)
