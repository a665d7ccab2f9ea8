"""Membership of whole fleets in virtual time, by the core of the agents: rounds, bytes, false deaths."""

from __future__ import annotations

import gc
import math
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from time import perf_counter_ns

from burlshift.membership.messages import Action, Kind, MemberUpdate, Message, Send, StatusChanged
from burlshift.membership.record import NO_RECORD, Record, Status
from burlshift.membership.swim import MAX_UPDATES, Membership, Timing
from burlshift.membership.wire import HEADER_FORMAT, MAC_BYTES, UPDATE_FORMAT, Wire

from .engine import Engine

DELAY_US = (500, 5_000)  # of a datagram, uniform
BOOT_US = 1_000_000  # within which all start
SETTLE_PERIODS = 40.0  # a fleet that has come to know itself goes on quietly for so long


class NoHealth(Membership):
    """Without Lifeguard's local health: time-outs do not widen, whoever is slow."""

    def _worsen_local_health(self) -> None:
        return


@dataclass(frozen=True, slots=True)
class Row:
    """One measurement, as it is printed: what, for how large a fleet, and the value with its unit."""

    what: str
    size: int
    value: str


class Fleet:
    """Members on an engine; datagrams are late, and lost with some chance."""

    def __init__(self, size: int, seed: int, core: type[Membership] = Membership, loss: float = 0.0) -> None:
        self.size, self.core, self.loss = size, core, loss
        self.engine, self.random = Engine(0), Random(seed)
        self.members: dict[int, Membership] = {}
        self.starts = self.bytes = self.datagrams = 0
        self.deaths: list[tuple[int, int, int]] = []  # when, by whom, of whom
        self.timing = Timing()
        self._due: dict[int, int] = {}  # the call that is set for each
        for i in range(size):
            self.engine.at(int(self.random.random() * BOOT_US), self.start, i)

    def start(self, i: int) -> None:
        self.starts += 1
        member = self.members[i] = self.core(i, self.size, self.starts, self.random.random, self.timing)
        self._carry_out(i, member.begin(self.engine.now))

    def kill(self, some: list[int]) -> None:
        for i in some:
            del self.members[i]

    def _carry_out(self, i: int, actions: list[Action]) -> None:
        engine, random = self.engine, self.random.random
        for a in actions:
            if isinstance(a, Send):
                self.datagrams += 1
                self.bytes += HEADER_FORMAT.size + MAC_BYTES + UPDATE_FORMAT.size * len(a.message.updates)
                if random() >= self.loss:
                    late = DELAY_US[0] + int(random() * (DELAY_US[1] - DELAY_US[0]))
                    engine.at(engine.now + late, self._come, a.to, a.message)
            elif isinstance(a, StatusChanged) and a.status is Status.DEAD:
                self.deaths.append((engine.now, i, a.member))
        member = self.members.get(i)
        if member is not None:
            at = member.next_tick_at
            if self._due.get(i) != at:
                self._due[i] = at
                engine.at(at, self._tick, i, at, member)

    def _tick(self, i: int, at: int, member: Membership) -> None:
        if self._due.get(i) == at and self.members.get(i) is member:
            del self._due[i]
            self._carry_out(i, member.tick(self.engine.now))

    def _come(self, to: int, message: Message) -> None:
        member = self.members.get(to)
        if member is not None:
            self._carry_out(to, member.receive(self.engine.now, message))

    def run(self, periods: float) -> None:
        self.engine.run(self.engine.now + int(periods * self.timing.period_us))

    def periods_until(self, status: Status, of: list[int], most: float) -> tuple[float, float]:
        """Until 99% and all of the living hold these for that, by pairs; inf where `most` passes first."""
        began, step, first = self.engine.now, max(0.5, self.size / 250), math.inf
        while True:
            took = (self.engine.now - began) / self.timing.period_us
            share = self._share(status, of)
            first = min(first, took) if share >= 0.99 else first
            if share == 1.0:
                return first, took
            if took > most:
                return first, math.inf
            self.run(step)

    def _share(self, status: Status, of: list[int]) -> float:
        held = [m.peers[j].record for i, m in self.members.items() for j in of if j != i]
        return sum(r.status is status and r != NO_RECORD for r in held) / max(1, len(held))


def spread(size: int, seed: int, most: float = 1000.0) -> Iterator[Row]:
    """From a cold start to all known, one death, seven in ten dead, and their return."""
    fleet, every = Fleet(size, seed), list(range(size))

    def until(what: str, status: Status, of: list[int]) -> Row:
        near, whole = fleet.periods_until(status, of, most)
        return Row(f"{what}: periods until 99% and all know", size, f"{near:.1f}, {whole:.1f}")

    fleet.run(BOOT_US / fleet.timing.period_us)
    yield until("all start at once", Status.ALIVE, every)
    yield Row(
        "  datagrams and bytes a member for it",
        size,
        f"{fleet.datagrams / size:.0f}, {fleet.bytes / size:.0f}",
    )
    fleet.run(SETTLE_PERIODS)
    before = fleet.bytes
    fleet.run(SETTLE_PERIODS)
    seconds = SETTLE_PERIODS * fleet.timing.period_us / 1e6
    yield Row("at rest: bytes a second and member", size, f"{(fleet.bytes - before) / size / seconds:.0f}")
    began = fleet.engine.now
    fleet.deaths.clear()
    fleet.kill([0])
    yield until("one dies", Status.DEAD, [0])
    first, last = (pick(at for at, _, of in fleet.deaths if of == 0) for pick in (min, max))
    yield Row(
        "  from the first who knows to the last; log2 n",
        size,
        f"{(last - first) / fleet.timing.period_us:.1f}; {math.log2(size):.1f}",
    )
    yield Row("  seconds from the death to the first who knows", size, f"{(first - began) / 1e6:.1f}")
    fleet.start(0)
    fleet.periods_until(Status.ALIVE, [0], most)
    fleet.run(SETTLE_PERIODS)
    lost = every[: int(0.7 * size)]
    fleet.kill(lost)
    yield until("seven in ten die at once", Status.DEAD, lost)
    for i in lost:
        fleet.start(i)
    yield until("  and are back", Status.ALIVE, every)


def false_deaths(size: int, seed: int, minutes: float) -> Iterator[Row]:
    """Of members that lived, at 10% and 30% loss, with and without local health."""
    for loss in (0.1, 0.3):
        for core, said in ((Membership, "with"), (NoHealth, "without")):
            fleet = Fleet(size, seed, core, loss)
            fleet.run(60)
            fleet.deaths.clear()
            fleet.run(minutes * 60e6 / fleet.timing.period_us)
            told = len({(at // 5_000_000, of) for at, _, of in fleet.deaths})
            hours = minutes / 60
            yield Row(
                f"false deaths an hour, {loss:.0%} loss, {said} local health",
                size,
                f"{told / hours:.0f}, each believed by {len(fleet.deaths) / max(1, told):.1f}",
            )


def memory(size: int, seed: int) -> Row:
    """What one member of a fleet of that size holds, all of the others known and claimed by two."""
    gc.collect()
    tracemalloc.start()
    member = Membership(0, size, 5, Random(seed).random)
    member.begin(0)
    for teller in (1, 2, 3):
        for first in range(1, size, MAX_UPDATES):
            facts = tuple(
                MemberUpdate(j, Record(7 + j, 0, Status.ALIVE))
                for j in range(first, min(size, first + MAX_UPDATES))
            )
            member.receive(1 + teller, Message(Kind.ACK, teller, 7 + teller, 0, 0, 0, 0, facts))
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Row("memory of one member that knows all", size, f"{held / 1e6:.2f} MB")


def processor(size: int, seed: int, periods: int = 2000) -> Row:
    """What one member at rest takes of a core, with the form of its datagrams.

    In each period it sends a probe that is answered, and answers one of another. Sockets are not in it.
    """
    timing, wire = Timing(), Wire("bench", size)
    member = Membership(0, size, 5, Random(seed).random, timing)
    member.begin(0)
    for j in member.peers:
        member._adopt(j, Record(7 + j, 0, Status.ALIVE))
    member._gossip_queue.clear()
    digest, took = member._digest, 0

    def come(now: int, kind: Kind, sender: int, seq: int) -> None:
        data = wire.pack(Message(kind, sender, 7 + sender, 0, seq, 0, digest))
        nonlocal took
        began = perf_counter_ns()
        for action in member.receive(now, wire.unpack(data)):
            assert isinstance(action, Send)
            wire.pack(action.message)
        took += perf_counter_ns() - began

    for n in range(periods):
        now = member.next_tick_at
        began = perf_counter_ns()
        sent = [(a.to, a.message, wire.pack(a.message)) for a in member.tick(now) if isinstance(a, Send)]
        took += perf_counter_ns() - began
        for to, message, _ in sent:
            come(now + 1000, Kind.ACK, to, message.seq)
        come(now + 2000, Kind.PING, 1 + n % (size - 1), n)
    share = took / 1000 / (periods * timing.period_us)
    return Row("processor time of one member at rest", size, f"{share:.3%} of a core")
