"""An agent's process: carries out what its policy decides, by connections, timers and messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from burlshift.balancing import interface
from burlshift.balancing.interface import Outcome

from . import checker
from .discovery import Entry
from .requests import Attempt, Try
from .servers import NOWHERE, Server

if TYPE_CHECKING:
    from .world import World


class Policy(Protocol):
    """What decides: the real Balancer, or a baseline behind the same interface."""

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]: ...


class Probing:
    """A deep probe: a small job at the server."""

    __slots__ = ("host", "server", "sent_at", "work", "key", "mark", "place", "ended")

    def __init__(self, host: Host, server: Server, now: int, work: float) -> None:
        self.host, self.server, self.sent_at, self.work = host, server, now, work
        self.key, self.mark, self.place, self.ended = 0, 0.0, NOWHERE, False

    def served(self, server: Server, error: bool) -> None:
        self.host.probe_over(self, Outcome.OK)

    def lost(self, server: Server) -> None:
        self.host.probe_over(self, Outcome.RESET)


class Host:
    """One life of one agent. What is on its way to an agent that has died reaches nobody."""

    def __init__(self, world: World, index: int, policy: Policy) -> None:
        self.world, self.index, self.policy = world, index, policy
        self.zone = world.day.agents[index].zone
        self.alive = True
        self.tries: dict[int, Try] = {}
        self.told: dict[str, int] = {}  # servers told of as draining or gone: when
        self.starts: dict[str, int] = {}  # the start that the agent was told of
        self.known: set[str] = set()
        self.idle: dict[str, list[int]] = {}  # open connections without an attempt: when each fell idle
        self.in_use: dict[str, int] = {}
        self.subscribed = False
        self.lists_until = 0  # lists come in order
        self.revision = 0
        self.acts: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Refuse: self._refuse,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: self._timer,
            interface.Probe: self._probe,
            interface.Tell: self._tell,
            interface.Watch: self._watch,
            interface.Fetch: self._fetch,
            interface.Log: self._log,
        }
        self._idle_us = int(world.s.connections.idle_s * 1e6)
        world.engine.at(world.engine.now + self._idle_us, self._sweep)

    def soon(self, call: Callable[..., None], *args: Any, at: int = 0) -> None:
        """At the agent's next turn, at or after this time."""
        engine, tick = self.world.engine, self.world.tick
        engine.at(-(-max(at, engine.now) // tick) * tick, call, *args)

    def hand(self, event: interface.Event) -> None:
        """Give the policy one event and carry out what it says."""
        if not self.alive:
            return
        world = self.world
        acts = self.acts
        for action in world.decide(self.policy, event):
            acts[type(action)](action)

    # Tries

    def arrive(self, t: Try) -> None:
        first = t.first
        if not t.open:
            return
        if not self.alive:  # it went down before its turn
            t.open = False
            self.world.clients.answered(t, "unreachable", 0)
            return
        self.tries[t.id] = t
        if self.world.trace is not None:
            self.world.trace.arrived(self, t)
        self.hand(
            interface.RequestArrived(
                t.id, first.cls, t.until - self.world.engine.now, 0, first.key, 0, first.tries > 1
            )
        )

    def gone(self, t: Try) -> None:
        """The client left, or its time is over: the policy is told, and owes nothing more."""
        if self.alive and self.tries.get(t.id) is t:
            self.soon(self._gone, t)

    def _gone(self, t: Try) -> None:
        if self.tries.pop(t.id, None) is not None:
            self.hand(interface.ClientGone(t.id))

    def _refuse(self, a: interface.Refuse) -> None:
        t = self.tries.get(a.request)
        if t is None or not t.open:
            return
        world = self.world
        world.checker.refused(world.engine.now, t, world.classes[t.first.cls])
        self._conclude(t, "refused", a.retry_after_us)

    def _fail(self, a: interface.Fail) -> None:
        t = self.tries.get(a.request)
        if t is not None and t.open:
            self._conclude(t, "failed", 0)

    def _conclude(self, t: Try, how: str, retry_after: int) -> None:
        t.open = False
        if self.world.trace is not None:
            self.world.trace.concluded(self, t, how)
        if not t.out:
            self.tries.pop(t.id, None)
        self.world.clients.answered(t, how, retry_after)

    # Attempts

    def _send(self, a: interface.Send) -> None:
        world, now = self.world, self.world.engine.now
        t, server = self.tries.get(a.request), world.servers.get(str(a.backend))
        if server is None or server.id not in self.known:
            what = f"agent {self.index} sends to {a.backend}, not listed"
            world.checker.report(checker.MALFORMED, now, what)
            return
        if t is None:
            world.checker.report(checker.ANSWERED, now, f"request {a.request} sent after its final answer")
            return
        number, t.sends = t.sends, t.sends + 1
        if not t.open or t.sends > world.s.allow.max_attempts or now >= t.until:
            self.soon(
                self.hand,
                interface.AttemptEnded(t.id, number, server.id, Outcome.NOT_SENT, 0, not t.open),
                at=now + 1,
            )
            return
        c = world.classes[t.first.cls]
        told = self.told.get(server.id)
        world.checker.sent(now, t, server, c, told, world.drain_grace, world.s.allow.second_copies)
        work = t.first.work * world.attempt_noise(t.first.cls)
        attempt = Attempt(t, number, server, now, work, t.first.key)
        attempt.informed = self.starts.get(server.id) == server.started_at
        t.out[number] = attempt
        t.may_have_run.append(attempt)
        world.account.attempts += 1
        world.account.crossings += server.zone != self.zone
        if a.timeout_us < t.until - now:
            world.engine.at(now + a.timeout_us, self._timed_out, attempt)
        else:
            world.engine.at(t.until, self._timed_out, attempt)
        self._dispatch(attempt, server, now)

    def _dispatch(self, attempt: Attempt, server: Server, now: int) -> None:
        """Find or open a connection, and have the attempt arrive at the server."""
        world = self.world
        cut = world.links.cut(self.zone, server.zone)
        delay = world.links.delay(self.zone, server.zone)
        idle = self.idle.get(server.id)
        if idle:
            idle.pop()
        else:
            settings = world.s.connections
            patience = int(settings.connect_timeout_ms * 1000)
            if (
                cut
                or (not server.up and server.id in world.dead)
                or (server.up and server.connections >= server.max_connections)
            ):
                world.engine.at(now + patience, self.over, attempt, Outcome.CONNECT_FAILED)
                return
            if not server.up:
                world.engine.at(now + 2 * delay, self.over, attempt, Outcome.CONNECT_FAILED)
                return
            server.connections += 1
            attempt.work += settings.handshake_us
            attempt.asked = attempt.work
            delay += int(settings.handshake_rtts * 2 * delay)
        self.in_use[server.id] = self.in_use.get(server.id, 0) + 1
        if not cut:
            world.engine.at(now + delay, self._reach, attempt, server)

    def _reach(self, attempt: Attempt, server: Server) -> None:
        """At the server's door."""
        world = self.world
        if attempt.ended and attempt.place == NOWHERE and self.world.s.allow.cancel:
            return  # withdrawn on its way
        if server.silent:
            return
        if not server.up or server.fallen:
            self.broken(attempt)
            return
        taken = server.take(attempt, attempt.informed)
        if server.fell_by is not None:
            world.checker.fell(world.engine.now, server)
        if not taken and not server.fallen:
            back = world.links.delay(server.zone, self.zone)
            world.engine.at(world.engine.now + back, self.over, attempt, Outcome.REJECTED)

    def answered(self, attempt: Attempt, outcome: Outcome) -> None:
        """The server has ended it; the answer sets out."""
        world, server = self.world, attempt.server
        world.checker.ran(world.engine.now, attempt, world.classes[attempt.try_.first.cls])
        if attempt.ended or outcome is not Outcome.OK or not attempt.try_.open:
            world.account.wasted_work += attempt.work
        links = world.links
        if links.cut(self.zone, server.zone) or (links.loss and links.stream.uniform() < links.loss):
            return
        if links.reset and links.stream.uniform() < links.reset:
            outcome = Outcome.RESET
        world.engine.at(world.engine.now + links.delay(server.zone, self.zone), self.over, attempt, outcome)

    def broken(self, attempt: Attempt) -> None:
        """The server went down with it: a reset, or nothing at all where the machine died."""
        world, server = self.world, attempt.server
        if server.id not in world.dead and not world.links.cut(self.zone, server.zone):
            back = world.links.delay(server.zone, self.zone)
            world.engine.at(world.engine.now + back, self.over, attempt, Outcome.RESET)

    def over(self, attempt: Attempt, outcome: Outcome) -> None:
        """The outcome is at the agent."""
        if attempt.ended:
            return
        attempt.ended = True
        world, t, server = self.world, attempt.try_, attempt.server
        world.account.outcomes[outcome.value] += 1
        if outcome is not Outcome.CONNECT_FAILED:
            self._release(server, outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED))
        if not self.alive:
            return
        if outcome in interface.NEVER_RAN:
            t.may_have_run.remove(attempt)
        report: tuple[float, ...] = ()
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            report = server.load_report()
        if outcome is Outcome.OK and t.open:
            t.open = False
            if world.trace is not None:
                world.trace.concluded(self, t, "served")
            world.clients.answered(t, "served", 0)
        self.soon(self._tell_outcome, attempt, outcome, report)

    def _tell_outcome(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...]) -> None:
        t = attempt.try_
        if not self.alive:
            return
        t.out.pop(attempt.number, None)
        took = self.world.engine.now - attempt.sent_at
        if self.world.trace is not None:
            self.world.trace.attempt_ended(self, attempt, outcome.value, took)
        if not t.open and not t.out:
            self.tries.pop(t.id, None)
        self.hand(
            interface.AttemptEnded(t.id, attempt.number, attempt.server.id, outcome, took, not t.open, report)
        )

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended and self.alive:
            self._give_up(attempt, Outcome.TIMEOUT)

    def _cancel(self, a: interface.Cancel) -> None:
        t = self.tries.get(a.request)
        attempt = t.out.get(a.attempt) if t is not None else None
        if attempt is not None and not attempt.ended:
            self._give_up(attempt, Outcome.CANCELLED)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        world, server = self.world, attempt.server
        attempt.ended = True
        world.account.outcomes[outcome.value] += 1
        self._release(server, False)
        self.soon(self._tell_outcome, attempt, outcome, (), at=world.engine.now + 1)
        if not world.links.cut(self.zone, server.zone):
            delay = world.links.delay(self.zone, server.zone)
            world.engine.at(world.engine.now + delay, self._withdraw, attempt)

    def _withdraw(self, attempt: Attempt) -> None:
        if not attempt.place:
            return
        share = attempt.server.withdraw(attempt)
        if share < 1:  # else it runs to its end, and is booked there
            self.world.account.wasted_work += share * attempt.work

    # Connections

    def _release(self, server: Server, usable: bool) -> None:
        """An attempt's connection falls idle, or is closed with it."""
        if self.in_use.get(server.id, 0) > 0:
            self.in_use[server.id] -= 1
            if usable and self.alive and server.up:
                self.idle.setdefault(server.id, []).append(self.world.engine.now)
            elif server.connections > 0:
                server.connections -= 1

    def _sweep(self) -> None:
        """Close what has been idle for long."""
        if not self.alive:
            return
        now = self.world.engine.now
        for name, times in self.idle.items():
            kept = [at for at in times if at > now - self._idle_us]
            server = self.world.servers[name]
            server.connections = max(0, server.connections - (len(times) - len(kept)))
            times[:] = kept
        self.world.engine.at(now + self._idle_us // 2, self._sweep)

    def dropped_by(self, server: Server) -> None:
        """The server's process ended, and its connections with it."""
        self.idle.pop(server.id, None)
        self.in_use.pop(server.id, None)

    # Timers, probes, peers, lists

    def _timer(self, a: interface.SetTimer) -> None:
        self.soon(self.hand, interface.TimerFired(a.token), at=self.world.engine.now + max(1, a.delay_us))

    def _probe(self, a: interface.Probe) -> None:
        world, now = self.world, self.world.engine.now
        server = world.servers[str(a.backend)]
        settings = world.s.probing
        world.account.probes += 1
        probing = Probing(self, server, now, settings.work_us)
        world.engine.at(now + int(settings.timeout_ms * 1000), self.probe_over, probing, Outcome.TIMEOUT)
        if not world.links.cut(self.zone, server.zone) and server.id not in world.dead and not server.silent:
            world.engine.at(now + world.links.delay(self.zone, server.zone), self._probe_reaches, probing)

    def _probe_reaches(self, probing: Probing) -> None:
        world, server = self.world, probing.server
        if not server.up:
            self.probe_over(probing, Outcome.CONNECT_FAILED)
        elif server.probes >= server.max_probes:
            self.probe_over(probing, Outcome.REJECTED)
        elif not world.s.probing.deep:
            back = world.links.delay(server.zone, self.zone)
            world.engine.at(world.engine.now + back, self.probe_over, probing, Outcome.OK)
        else:
            server.probes += 1
            if not server.take(probing, False):
                server.probes -= 1
                self.probe_over(probing, Outcome.REJECTED)

    def probe_over(self, probing: Probing, outcome: Outcome) -> None:
        if probing.ended:
            return
        probing.ended = True
        server = probing.server
        if probing.place != NOWHERE:
            server.probes -= 1
        report = server.load_report() if outcome is Outcome.OK else ()
        took = self.world.engine.now - probing.sent_at
        self.soon(self.hand, interface.ProbeEnded(server.id, outcome, took, report))

    def _tell(self, a: interface.Tell) -> None:
        self.world.tell(self, a.peer, a.payload)

    def _watch(self, a: interface.Watch) -> None:
        self.world.discovery.call(self, True)

    def _fetch(self, a: interface.Fetch) -> None:
        self.world.discovery.call(self, False)

    def _log(self, a: interface.Log) -> None:
        if self.world.trace is not None:
            self.world.trace.logged(self, a.text)

    def lists(self, kind: interface.ListKind, entries: list[Entry], revision: int) -> None:
        """Discovery tells the agent something."""
        if not self.alive:
            return
        now = self.world.engine.now
        self.revision = max(self.revision, revision)
        named = set()
        for b in entries:
            name = str(b.id)
            named.add(name)
            self.known.add(name)
            if b.state is interface.State.READY:
                self.told.pop(name, None)
                self.starts[name] = b.started_at
            else:
                self.told.setdefault(name, now)
        if kind in (interface.ListKind.FULL, interface.ListKind.CACHED):
            for name in self.known - named:
                self.told.setdefault(name, now)
        self.hand(interface.BackendsChanged(kind, entries))

    def stop(self) -> None:
        """The process ends; its clients see that, and its connections close."""
        self.alive = False
        for name, times in self.idle.items():
            server = self.world.servers[name]
            server.connections = max(0, server.connections - len(times) - self.in_use.get(name, 0))
        for t in list(self.tries.values()):
            for attempt in t.out.values():
                if not attempt.ended:
                    attempt.ended = True
                    self.world.engine.at(self.world.engine.now + 1, self._withdraw, attempt)
            if t.open:
                t.open = False
                self.world.clients.answered(t, "unreachable", 0)
        self.tries.clear()
