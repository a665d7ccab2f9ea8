"""The emulator's model: what a server, a day and the checker do, each against a figure worked out by hand."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec
import pytest

from burlshift.balancing.interface import Effect, Group, RequestClass
from burlshift_tools.emulator import registry, scenario
from burlshift_tools.emulator.agents import Host
from burlshift_tools.emulator.checker import DRAINED, REPEATED, Checker
from burlshift_tools.emulator.engine import Engine
from burlshift_tools.emulator.random_streams import streams_for
from burlshift_tools.emulator.requests import Attempt, First, Try
from burlshift_tools.emulator.servers import NOWHERE, Server
from burlshift_tools.emulator.world import World


class Job:
    """A job for the model of a server."""

    def __init__(self, work: float, key: int = 0) -> None:
        self.work, self.key, self.mark, self.place = work, key, 0.0, NOWHERE
        self.ended_at = -1
        self.was_lost = False

    def served(self, server: Server, error: bool) -> None:
        self.ended_at = server.engine.now

    def lost(self, server: Server) -> None:
        self.was_lost = True


def day(**kind: Any) -> scenario.Scenario:
    low = scenario.load("calm").low
    made = msgspec.structs.replace(low.kind[0], speed=1.0, pause_ms=0.0, error_rate=0.0, thrash=0.0, **kind)
    return msgspec.structs.replace(low, kind=[made])


def server(engine: Engine, s: scenario.Scenario) -> Server:
    plan = scenario.ServerPlan(s.kind[0], 0, 0, 0, 1.0)
    return Server("s0", plan, s, engine, streams_for("test", 1)("server"), 100_000.0)


def test_four_equal_jobs_on_two_cores_take_twice_as_long_as_two() -> None:
    engine = Engine(1_000)
    one = server(engine, day(slots_per_core=4.0))
    jobs = [Job(100_000.0) for _ in range(4)]
    assert all(one.take(j, False) for j in jobs[:2])
    engine.run(51_000)
    assert all(one.take(j, False) for j in jobs[2:])
    engine.run(1_000_000)
    # The first two have half their work done when they begin to share: 50 + 2 * 50 ms; then the others
    # have 50 ms left, alone.
    assert [j.ended_at for j in jobs[:2]] == pytest.approx([151_000, 151_000], abs=2)
    assert [j.ended_at for j in jobs[2:]] == pytest.approx([201_000, 201_000], abs=2)


def test_beyond_slots_and_waiting_room_a_job_is_turned_away_unseen() -> None:
    engine = Engine(1_000)
    one = server(engine, day(slots_per_core=1.0, queue_per_core=0.5))
    assert [one.take(Job(1000.0), False) for _ in range(4)] == [True, True, True, False]
    assert one.held == 3


def test_where_nothing_is_cancelled_withdrawn_work_is_done_all_the_same() -> None:
    engine = Engine(1_000)
    one = server(engine, day(slots_per_core=0.5, cancel="none"))
    running, waiting, last = Job(10_000.0), Job(10_000.0), Job(10_000.0)
    assert all(one.take(j, False) for j in (running, waiting, last))
    assert one.withdraw(waiting) == one.withdraw(running) == 1.0 and one.held == 3
    engine.run(1_000_000)
    assert [j.ended_at for j in (running, waiting, last)] == pytest.approx([11_000, 21_000, 31_000], abs=2)


def test_withdrawn_work_waits_no_more_and_runs_on_only_where_the_kind_says_so() -> None:
    for cancel, ends in (("queued", True), ("all", False)):
        engine = Engine(1_000)
        one = server(engine, day(slots_per_core=0.5, cancel=cancel))
        running, waiting, last = Job(10_000.0), Job(10_000.0), Job(10_000.0)
        for j in (running, waiting, last):
            assert one.take(j, False)
        assert one.withdraw(waiting) == 0.0
        assert one.withdraw(running) == (1.0 if ends else pytest.approx(0.0))
        engine.run(100_000)
        assert (running.ended_at > 0) is ends
        assert waiting.ended_at < 0 < last.ended_at
        assert one.held == 0


def test_a_key_met_lately_costs_less() -> None:
    engine = Engine(1_000)
    s = day(slots_per_core=4.0)
    one = server(engine, msgspec.structs.replace(s, cache=msgspec.structs.replace(s.cache, gain=0.5)))
    first, again = Job(10_000.0, key=7), Job(10_000.0, key=7)
    one.take(first, False)
    engine.run(50_000)
    one.take(again, False)
    engine.run(100_000)
    assert (first.ended_at, again.ended_at) == (11_000, 55_000)


def test_a_cold_server_warms_up_and_falls_over_only_beyond_its_budget() -> None:
    s = day(cold_from=0.25, cold_s=10.0, warm_by="time", slots_per_core=100.0)
    engine = Engine(1_000_000)
    one = server(engine, s)
    one.start()
    assert one.warmth() == pytest.approx(0.25)
    engine.run(6_000_000)
    assert one.warmth() == pytest.approx(0.625, abs=0.01)
    # Budget over 1.5 s: 2.5 x 2 cores x 0.625 x 1.5 s = 4.69 s of work, and eight mean requests of 0.1 s.
    jobs = [Job(100_000.0) for _ in range(60)]
    taken = sum(one.take(j, i % 4 > 0) for i, j in enumerate(jobs))
    assert taken == pytest.approx(54, abs=1)
    assert one.fallen and one.fell_by == pytest.approx(0.75, abs=0.02)
    assert all(j.was_lost for j in jobs[:taken])


def test_reports_are_as_old_as_their_delay_and_tell_what_was_held() -> None:
    s = day(slots_per_core=4.0)
    s = msgspec.structs.replace(
        s, report=msgspec.structs.replace(s.report, period_ms=100.0, delay_ms=50.0, noise=0.0)
    )
    engine = Engine(1_000)
    one = server(engine, s)
    for _ in range(3):
        one.take(Job(10_000_000.0), False)
    assert one.load_report() == (0.0, 0.0)
    engine.run(300_000)
    assert list(one.load_report()) == pytest.approx([1.0, 3.0])


CLASSES = {
    "safe": RequestClass("safe", 1, 2),
    "unsafe": RequestClass("unsafe", 1, 2, Effect.UNSAFE),
    "keyed": RequestClass("keyed", 1, 2, Effect.KEYED, Group.ZONE, window_us=1_000),
}


def sent_twice(kind: str, other_zone: int, later: int) -> dict[str, int]:
    """What the checker says of a second attempt at a server of that zone, so much later."""
    engine, s = Engine(1_000), day()
    world = World(scenario.Span(s, s), 1, registry.policy("random"))
    host = Host(world, 0, world.make(world, world.settings(0), 1))
    here, there = server(engine, s), server(engine, s)
    there.zone = other_zone
    t = Try(First(1, 0, 0, 0, 1.0, 0, False), 10_000, host)
    t.may_have_run.append(Attempt(t, 0, here, 1_000, 1.0, 0))
    checker = Checker()
    checker.sent(1_000 + later, t, there, CLASSES[kind], None, 1_000, True)
    return checker.broken


@pytest.mark.parametrize(
    ("kind", "zone", "later", "broken"),
    [
        ("safe", 1, 9_000, False),
        ("unsafe", 0, 0, True),
        ("keyed", 0, 900, False),
        ("keyed", 1, 900, True),
        ("keyed", 0, 1_100, True),
    ],
)
def test_the_checker_knows_what_may_be_repeated(kind: str, zone: int, later: int, broken: bool) -> None:
    assert sent_twice(kind, zone, later) == ({REPEATED: 1} if broken else {})


def test_the_checker_gives_a_draining_server_its_grace() -> None:
    engine, s = Engine(1_000), day()
    t = Try(First(1, 0, 0, 0, 1.0, 0, False), 10_000, None)  # type: ignore[arg-type]
    checker = Checker()
    for now in (1_500, 2_001):
        checker.sent(now, t, server(engine, s), CLASSES["safe"], 1_000, 1_000, True)
    assert checker.broken == {DRAINED: 1}


def test_a_run_is_the_same_for_the_same_seed_and_another_for_another() -> None:
    span = scenario.load("agent-roll")
    short = replace(span, low=cut(span.low), high=cut(span.high))
    rows = [World(short, seed, registry.policy("ours")).run() for seed in (3, 3, 4)]
    assert rows[0] == rows[1] != rows[2]
    assert rows[0]["rules_broken"] == 0 and rows[0]["first_tries"] > 300 and rows[0]["restarts"] > 0


def cut(s: scenario.Scenario) -> scenario.Scenario:
    roll = msgspec.structs.replace(s.trouble[0], at_s=1.0, len_s=4.0)
    return msgspec.structs.replace(s, run=msgspec.structs.replace(s.run, length_s=6.0), trouble=[roll])


def test_policies_meet_the_same_arrivals() -> None:
    span = scenario.load("calm")
    days = [World(span, 5, registry.policy(name)).day for name in ("ours", "random")]
    assert (days[0].arrivals.work == days[1].arrivals.work).all()
    assert days[0].scenario == days[1].scenario and days[0].servers == days[1].servers


@pytest.mark.parametrize("name", registry.NAMES)
def test_every_policy_keeps_the_rules_on_a_calm_day_and_loses_nothing(name: str) -> None:
    s = cut(scenario.load("agent-roll").low)
    row = World(scenario.Span(s, s), 2, registry.policy(name)).run()
    assert row["broken"] == ""
    ends = row["in_time"] + row["late"] + row["refused"] + row["failed"]
    assert ends == pytest.approx(1.0, abs=1e-5)
    assert row["whole"] > 0.5
