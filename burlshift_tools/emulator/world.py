"""One run: a day, a policy in every agent, and all that they meet."""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import TYPE_CHECKING, Any

from burlshift.balancing import interface

from .agents import Host, Policy
from .checker import Checker
from .clients import Clients
from .discovery import Discovery
from .engine import Engine
from .network import Links
from .random_streams import streams_for
from .sampling import Day, draw
from .scenario import ServerPlan, Span
from .scoring import Account
from .servers import Server
from .troubles import Troubles

if TYPE_CHECKING:
    from .trace import Trace

START_US = 1_000_000_000  # the clock begins somewhere: nothing may take 0 for now

MakePolicy = Callable[["World", interface.Settings, int], Policy]


class World:
    """All parts of a run, and the acts that concern several of them."""

    def __init__(
        self, scenario: Span, seed: int, make: MakePolicy, trace: Trace | None = None, timed: bool = False
    ) -> None:
        self.day: Day = draw(scenario, seed)
        self.s = s = self.day.scenario
        stream = streams_for(s.about, seed)
        self.start = START_US
        self.engine = Engine(self.start)
        self.tick = int(s.run.tick_ms * 1000)
        self.slack = int(s.rules.answer_slack_ms * 1000)
        self.drain_grace = int(s.rules.drain_grace_ms * 1000)
        self.make, self.trace, self.timed = make, trace, timed
        self.decided_ns = 0  # processor time that the policies took; only where timed
        self.classes = tuple(self._class(c) for c in s.cls)
        self.account, self.checker = Account(self.day, self.start), Checker()
        self.links = Links(s.network, stream("network"))
        self.noise = stream("attempts")
        self.seeds = stream("policies")
        self.server_stream = stream("server lives")
        self.peer_stream = stream("peers")
        self.dead: set[str] = set()  # machines that say nothing, not even that nobody listens
        self.servers: dict[str, Server] = {}
        for plan in self.day.servers:
            self._new_server(plan)
        self.discovery = Discovery(self, stream("discovery"))
        self.clients = Clients(self, stream("clients"))
        self.hosts: list[Host | None] = [None] * len(self.day.agents)
        self.revisions = [0] * len(self.day.agents)  # what each agent's old list holds
        self.started = [False] * len(self.day.agents)
        self.discovery.begin(list(self.servers.values()))
        self.troubles = Troubles(self, stream("troubles"))
        if trace is not None:
            trace.watch(self)

    def _class(self, c: Any) -> interface.RequestClass:
        return interface.RequestClass(
            c.name,
            int(c.aim_ms * 1000),
            int(c.deadline_ms * 1000),
            interface.Effect(c.effect),
            interface.Group(c.group),
            int(c.window_ms * 1000),
            c.worth,
            c.late_worth,
        )

    def settings(self, index: int) -> interface.Settings:
        """What an agent is told at its start."""
        s, allow = self.s, self.s.allow
        return interface.Settings(
            self.classes,
            zone=self.day.agents[index].zone,
            siblings=len(self.day.agents),
            me=index,
            report_fields=tuple(s.report.fields),
            discovery=interface.Discovery(s.discovery.mode),
            can_cancel=allow.cancel,
            can_probe=allow.probes,
            can_tell=allow.peers,
            second_copies=allow.second_copies,
            max_attempts=allow.max_attempts,
            retry_after=allow.retry_after,
            max_retry_after_us=int(allow.max_retry_after_ms * 1000),
            tick_us=self.tick,
            answer_slack_us=self.slack,
            start_fraction=s.rules.start_fraction,
            warm_up_us=int(s.rules.warm_s * 1e6),
            fall_multiple=s.rules.fall_multiple,
            fall_window_us=int(s.rules.fall_ms * 1000),
            prices=interface.Prices(
                s.prices.cross_zone, s.prices.waste, s.prices.late_fail, s.prices.probe, s.prices.peer
            ),
        )

    def run(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Play the day to its end; returns the row of its figures.

        progress, where given, is called with the share of the day that is over.
        """
        for index in range(len(self.hosts)):
            self.start_agent(index)
        self.clients.begin()
        length = int((self.s.run.length_s + self.s.run.tail_s) * 1e6)
        steps = 40 if progress is not None else 1
        for i in range(1, steps + 1):
            self.engine.run(self.start + length * i // steps)
            if progress is not None:
                progress(i / steps)
        self.checker.closed(self.engine.now, self.clients.open)
        broken = self.checker.broken
        return {
            **self.account.row(),
            "rules_broken": sum(broken.values()),
            "broken": "; ".join(f"{rule}: {n} ({self.checker.first[rule]})" for rule, n in broken.items()),
            "events": self.engine.events,
            "restarts": self.account.restarts,
        }

    def decide(self, policy: Policy, event: interface.Event) -> list[interface.Action]:
        if not self.timed:
            return policy.handle(self.engine.now, event)
        before = perf_counter_ns()
        actions = policy.handle(self.engine.now, event)
        self.decided_ns += perf_counter_ns() - before
        return actions

    def attempt_noise(self, cls: int) -> float:
        return self.noise.factor(self.s.cls[cls].attempt_noise)

    # Servers

    def _new_server(self, plan: ServerPlan) -> Server:
        name = f"s{len(self.servers)}"
        server = Server(name, plan, self.s, self.engine, self.server_stream, self.day.mean_work)
        self.servers[name] = server
        return server

    def answers(self, server: Server, zone: int) -> bool:
        """Whether an agent of this zone can have an answer from it now."""
        up = server.up and not server.fallen and not server.silent
        return up and not self.links.cut(zone, server.zone)

    def add_server(self, plan: ServerPlan) -> None:
        """A new machine comes, cold."""
        server = self._new_server(plan)
        server.start()
        self.discovery.changed(server, interface.State.READY)

    def start_server(self, server: Server) -> None:
        """The same machine comes back, cold."""
        self.dead.discard(server.id)
        server.start()
        self.discovery.changed(server, interface.State.READY)

    def kill_server(self, server: Server) -> None:
        """The machine dies: nobody answers at its address."""
        self.dead.add(server.id)
        self._down(server)
        self.discovery.changed(server, interface.State.GONE, silent=True)

    def end_server(self, server: Server) -> None:
        """The process is stopped in order."""
        self._down(server)
        self.discovery.changed(server, interface.State.GONE)

    def _down(self, server: Server) -> None:
        server.stop()
        for host in self.hosts:
            if host is not None:
                host.dropped_by(server)

    # Agents

    def start_agent(self, index: int) -> None:
        if self.hosts[index] is not None:
            return
        seed = int(self.seeds.uniform() * 2**52)
        policy = self.make(self, self.settings(index), seed)
        host = self.hosts[index] = Host(self, index, policy)
        first, self.started[index] = not self.started[index], True
        self.discovery.welcome(host, self.revisions[index], first)

    def stop_agent(self, index: int) -> None:
        host = self.hosts[index]
        if host is None:
            return
        self.account.restarts += 1
        self.hosts[index] = None
        self.revisions[index] = host.revision
        host.stop()

    def tell(self, sender: Host, peer: int, payload: bytes) -> None:
        """A datagram between agents: late, and lost now and then."""
        allow = self.s.allow
        host = self.hosts[peer] if 0 <= peer < len(self.hosts) else None
        if host is None or len(payload) > 256 or self.links.cut(sender.zone, host.zone):
            return
        if allow.peer_loss and self.peer_stream.uniform() < allow.peer_loss:
            return
        self.account.peer_bytes += len(payload)
        late = self.peer_stream.exponential(allow.peer_ms * 1000)
        host.soon(host.hand, interface.PeerMessage(sender.index, payload), at=self.engine.now + int(late))
