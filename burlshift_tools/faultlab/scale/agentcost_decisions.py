"""The decisions, and what a whole list costs in one turn: in this process, without sockets."""

from __future__ import annotations

import gc
import json
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from statistics import median
from typing import Any

import msgspec

from burlshift.agent.backend_list import BackendList
from burlshift.agent.clock import Clock
from burlshift.agent.connection_pool import UpstreamConnectionPool
from burlshift.agent.listing import Listing, ListingParser
from burlshift.balancing import interface
from burlshift.balancing.logic import INDEXED_SERVERS_PER_PICK, Balancer
from burlshift.balancing.settings import settings_from

TICK_US = 1000
SERVED_US = 20_000
REBUILDS = (
    4  # of the cutoffs, at least, in what is measured: they come every n / INDEXED_SERVERS_PER_PICK picks
)


class Turn(msgspec.Struct, frozen=True):
    """What one turn of the loop does with an answer of the list service, ms of processor."""

    json_ms: float
    parser_ms: float
    roster_ms: float
    backends_ms: float
    balancer_ms: float

    @property
    def all_ms(self) -> float:
        return self.json_ms + self.parser_ms + self.roster_ms + self.backends_ms + self.balancer_ms


class Decided(msgspec.Struct, frozen=True):
    """Processor time of the decisions for one request, us; all three events of it."""

    mean_us: float  # the cutoffs' share in it
    between_us: float  # the median request, which finds the cutoffs as they are
    rebuild_ms: float  # the cutoffs alone


def _ms(call: Callable[[], Any]) -> tuple[float, Any]:
    began = time.thread_time_ns()
    result = call()
    return (time.thread_time_ns() - began) / 1e6, result


def settings_of(doc: dict[str, Any]) -> interface.Settings:
    return replace(settings_from(doc["settings"]), can_tell=False)


def parser_of(doc: dict[str, Any]) -> ListingParser:
    facts = doc["settings"]
    return ListingParser(Clock(), tuple(facts["localities"]), tuple(facts["skus"]))


@contextmanager
def by_itself() -> Iterator[None]:
    """What else this process holds costs nothing when garbage is collected."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def take_in(doc: dict[str, Any], answer: bytes, times: int) -> Turn:
    """The median of so many, each taken in by a fresh agent's parts that know the list of `doc` already."""
    parser, settings = parser_of(doc), settings_of(doc)
    turns = []
    for _ in range(times):
        clock = Clock()
        balancer, roster = Balancer(settings, 1), BackendList()
        backends = UpstreamConnectionPool(
            clock, settings.report_fields, 250_000, 3_000_000, 100, lambda: None
        )
        known = parser.parse(doc["known"])
        balancer.handle(
            clock.now(),
            interface.BackendsChanged(
                interface.ListKind.CACHED, backends.update_members(roster.update(known))
            ),
        )
        turns.append(_turn(parser, balancer, roster, backends, answer, clock.now()))
    return Turn(*(median(values) for values in zip(*map(msgspec.structs.astuple, turns), strict=True)))


def _turn(
    parser: ListingParser,
    balancer: Balancer,
    roster: BackendList,
    backends: UpstreamConnectionPool,
    answer: bytes,
    now: int,
) -> Turn:
    json_ms, doc = _ms(lambda: json.loads(answer))
    parser_ms, listing = _ms(lambda: parser.parse(doc))
    assert isinstance(listing, Listing)
    roster_ms, overlaid = _ms(lambda: roster.update(listing))
    backends_ms, entries = _ms(lambda: backends.update_members(overlaid))
    kind = interface.ListKind.FULL if listing.complete else interface.ListKind.DELTA
    balancer_ms, _ = _ms(lambda: balancer.handle(now, interface.BackendsChanged(kind, entries)))
    return Turn(json_ms, parser_ms, roster_ms, backends_ms, balancer_ms)


def decide(doc: dict[str, Any], least: int) -> Decided:
    """One request after the other, each served before the next, as at a few calls a second; at least so many,
    and as many as give some rebuilds of the cutoffs."""
    settings = settings_of(doc)
    members = parser_of(doc).parse(doc["known"]).members
    balancer, now, rng = Balancer(settings, 1), 1_000_000, Random(1)
    balancer.handle(now, interface.BackendsChanged(interface.ListKind.CACHED, [m.backend for m in members]))
    index = next(i for i, c in enumerate(settings.classes) if c.effect is interface.Effect.UNSAFE)
    report = tuple(1.0 for _ in settings.report_fields)
    count = max(least, REBUILDS * (len(members) // INDEXED_SERVERS_PER_PICK + 1))
    times: list[int] = []
    for number in range(1, 2 * count + 1):  # the first half is so that every part has something to know
        took = _one(balancer, now, number, index, settings.classes[index].deadline_us, report)
        if number > count:
            times.append(took)
        now += SERVED_US + int(rng.expovariate(1 / SERVED_US))
    rebuilds = []
    for _ in range(5):
        balancer.picks_left = 0
        began = time.thread_time_ns()
        balancer._index()
        rebuilds.append(time.thread_time_ns() - began)
    return Decided(sum(times) / len(times) / 1e3, median(times) / 1e3, median(rebuilds) / 1e6)


def _one(
    balancer: Balancer, now: int, number: int, index: int, patience_us: int, report: tuple[float, ...]
) -> int:
    """Events in until the request has its answer; ns of processor."""
    began = time.thread_time_ns()
    actions = balancer.handle(now, interface.RequestArrived(number, index, patience_us))
    spent = time.thread_time_ns() - began
    sends = [a for a in actions if isinstance(a, interface.Send)]
    asked = {a.backend: a for a in actions if isinstance(a, interface.Probe)}
    for probe in asked.values():
        began = time.thread_time_ns()
        actions = balancer.handle(
            now + TICK_US, interface.ProbeEnded(probe.backend, interface.Outcome.OK, TICK_US, report)
        )
        spent += time.thread_time_ns() - began
        sends += [a for a in actions if isinstance(a, interface.Send)]
    for send in sends:
        ended = interface.AttemptEnded(number, 0, send.backend, interface.Outcome.OK, SERVED_US, True, report)
        began = time.thread_time_ns()
        balancer.handle(now + SERVED_US, ended)
        spent += time.thread_time_ns() - began
    return spent
