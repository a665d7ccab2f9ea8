"""Checkers of the rig: each rule held by a history, and broken by the smallest change of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlshift_tools.emulator.scenario import Rules
from burlshift_tools.faultlab import history as h
from burlshift_tools.faultlab import verdict
from burlshift_tools.faultlab.checkers import presence
from burlshift_tools.faultlab.checkers.case import Breach, Case
from burlshift_tools.faultlab.scenario import LabScenario, load

S = 1_000_000
MEMBERS = [("s0", "SERVING", 0), ("s1", "SERVING", 0), ("s2", "SERVING", 0)]
PLACES = {"s0": ("a", 0), "s1": ("a", 0), "s2": ("b", 1), "s9": ("a", 0)}
SAFE, KEYED, UNSAFE = "reading-view", "credit-topup", "reconnect-order"


def scenario() -> LabScenario:
    low = load("steady").low
    assert isinstance(low, LabScenario)
    return msgspec.structs.replace(low, rules=Rules(drain_grace_ms=1000.0))


DAY = scenario()
CLASSES = [c.name for c in DAY.cls]


class Story:
    """A history under way: one agent that is up and well informed, until something is said."""

    def __init__(self, day: LabScenario = DAY) -> None:
        self.day = day
        self.events: list[h.AnyEvent] = []
        self.rids = 0
        self.add(h.Begun, 0, "d0", life=0, pid=1)
        self.add(h.Listed, 1, "d0", revision=41, members=MEMBERS)
        self.add(h.Begun, 0, "a0", life=0, pid=2)
        self.add(h.Ready, 10, "a0", life=0, took_us=10)
        self.add(h.Open, 11, "a0", life=0, count=9, when="ready")
        for server in ("s0", "s1", "s2"):
            self.add(h.Begun, 0, server, life=0, pid=3)
        self.told(20, 41, MEMBERS, complete=True)

    def add(self, kind: type[Any], t: int, who: str, /, **fields: Any) -> None:
        self.events.append(kind(t=t, who=who, **fields))

    def told(
        self, t: int, revision: int, members: list[tuple[str, str, int]], complete: bool = False
    ) -> None:
        self.add(h.Told, t, "d0", agent="a0", revision=revision, complete=complete, members=members)

    def listed(self, t: int, revision: int, *members: tuple[str, str, int]) -> None:
        self.add(h.Listed, t, "d0", revision=revision, members=list(members))

    def asked(self, t: int, cls: str = SAFE, patience: int = S, fresh: bool = False, port: int = 0) -> str:
        self.rids += 1
        rid = f"r{self.rids}"
        self.add(
            h.Asked,
            t,
            "c0",
            rid=rid,
            first=rid,
            cls=CLASSES.index(cls),
            agent="a0",
            due=t,
            patience_us=patience,
            conn=1,
            opened=t - 5,
            fresh=fresh,
            port=port,
        )
        return rid

    def sent(self, t: int, rid: str, server: str = "s0", told: int = 0) -> None:
        self.add(h.Sent, t, "r0", rid=rid, agent="a0", server=server, timeout_ms=told)

    def got(self, t: int, rid: str, server: str = "s0", life: int = 0) -> None:
        self.add(h.Got, t, server, rid=rid, life=life, agent="a0", began=t - 2, conn=1)

    def gave(
        self, t: int, rid: str, server: str = "s0", digest: str = "d", whole: bool = True, size: int = 0
    ) -> None:
        self.add(h.Gave, t, server, rid=rid, life=0, status=200, digest=digest, whole=whole, bytes=size)

    def answered(self, t: int, rid: str, status: int = 200, digest: str = "d") -> None:
        self.add(h.Answered, t, "c0", rid=rid, status=status, digest=digest, bytes=1)

    def served(self, t: int, cls: str = SAFE, server: str = "s0") -> str:
        rid = self.asked(t, cls)
        self.got(t + 10, rid, server)
        self.gave(t + 20, rid, server)
        self.answered(t + 30, rid)
        return rid

    def fault(
        self,
        begin: int,
        end: int,
        kind: str,
        path: str = "",
        servers: tuple[str, ...] = (),
        agents: tuple[str, ...] = ("a0",),
        **detail: Any,
    ) -> None:
        for t, on in ((begin, True), (end, False)):
            self.add(
                h.Fault,
                t,
                "rig",
                kind=kind,
                on=on,
                number=0,
                agents=list(agents),
                servers=list(servers),
                path=path,
                detail=detail,
            )

    def door(self, t: int, call: str, answer: str, took: int = 100) -> None:
        self.add(h.Door, t, "a0", life=0, call=call, answer=answer, asked=t - took)

    def end(self, t: int) -> Story:
        """Something happens so late that all before it can be judged."""
        self.add(h.Usage, t, "rig", cpu_us=1)
        return self

    def case(self) -> Case:
        return Case(self.day, PLACES, 0, sorted(self.events, key=lambda e: e.t))

    def rules(self) -> set[str]:
        case = self.case()
        found: list[Breach] = []
        for checker in verdict.CHECKERS:
            found += checker(case)
        return {b.rule for b in found}


def test_a_history_without_fault_breaks_nothing() -> None:
    story = Story()
    for cls in (SAFE, KEYED, UNSAFE):
        story.served(S, cls)
    assert story.end(60 * S).rules() == set()


# Answers


def test_an_answer_is_lost_half_a_second_after_its_time() -> None:
    for late, broken in ((499_000, set()), (501_000, {"answered"})):
        story = Story()
        rid = story.asked(S)
        story.got(S + 10, rid)
        story.gave(S + 20, rid)
        story.answered(2 * S + late, rid)
        assert story.end(60 * S).rules() == broken


def test_a_request_without_an_end_is_lost_unless_the_agent_was_struck() -> None:
    def story(*struck: Any, **detail: Any) -> set[str]:
        made = Story()
        made.asked(S)
        if struck:
            made.fault(*struck, **detail)
        return made.end(60 * S).rules()

    assert story() == {"answered"}
    assert story(S + 5, 4 * S, "pause", of="agents") == set()
    assert story(S + 5, 4 * S, "pause", of="servers") == {"answered"}
    assert story(S + 5, 4 * S, "link", "clients", cut=True) == set()
    assert story(S + 5, 4 * S, "link", "servers", cut=True) == {"answered"}
    assert story(5 * S, 6 * S, "pause", of="agents") == {"answered"}


def test_an_answer_cut_off_is_the_agents_fault_where_its_server_went_on() -> None:
    """Where its server spoilt it too, unless it was too large to be held until it was whole."""
    for whole, size, broken in (
        (True, 10, {"answered"}),
        (False, 65_536, {"answered"}),
        (False, 65_537, set()),
        (True, 65_537, {"answered"}),
    ):
        story = Story()
        rid = story.asked(S)
        story.got(S + 10, rid)
        story.gave(S + 20, rid, whole=whole, size=size)
        story.add(h.Unanswered, S + 30, "c0", rid=rid, how="cut")
        assert story.end(60 * S).rules() == broken


@pytest.mark.parametrize(
    ("fresh", "excuse", "broken"),
    [
        (True, "", {"answered"}),
        (False, "", {"answered"}),
        (True, "unreached", set()),
        (True, "another's unreached", {"answered"}),
        (True, "descriptors", set()),
        (False, "descriptors", {"answered"}),
        (True, "server paused", {"answered"}),
        (True, "server killed", {"answered"}),
        (True, "another client left", {"answered"}),
    ],
)
def test_no_connection_is_closed_unanswered(fresh: bool, excuse: str, broken: set[str]) -> None:
    story = Story()
    rid = story.asked(S, fresh=fresh, port=7)
    story.got(S + 10, rid)
    story.add(h.Unanswered, S + 20, "c0", rid=rid, how="closed")
    if "unreached" in excuse:
        story.add(h.Unreached, S - 3, "r0", agent="a0", port=7 if excuse == "unreached" else 8)
    elif excuse == "descriptors":
        story.fault(S // 2, 2 * S, "descriptors")
    elif excuse == "server paused":
        story.fault(S // 2, 2 * S, "pause", servers=("s0",), of="servers")
    elif excuse == "server killed":
        story.add(h.Ended, S + 15, "s0", life=0, status=-9, asked=True)
    elif excuse:
        story.add(h.Departed, S + 15, "c0", rid=story.asked(S), how="close")
    assert story.end(60 * S).rules() == broken


def test_a_request_has_one_answer_and_no_more() -> None:
    story = Story()
    rid = story.served(S)
    assert story.end(60 * S).rules() == set()
    story.add(h.Surplus, S + 40, "c0", rid=rid, bytes=1)
    assert story.rules() == {"answered"}


@pytest.mark.parametrize("how", ["close", "half_close", "reset"])
def test_nobody_is_owed_an_answer_who_has_left(how: str) -> None:
    story = Story()
    story.add(h.Departed, S + 10, "c0", rid=story.asked(S), how=how)
    assert story.end(60 * S).rules() == set()


def test_who_gave_up_long_after_its_time_was_owed_an_answer() -> None:
    story = Story()
    rid = story.asked(S)
    story.add(h.Departed, 2 * S + 700_000, "c0", rid=rid, how="gave_up")
    story.add(h.Unanswered, 2 * S + 700_001, "c0", rid=rid, how="waited")
    assert story.end(60 * S).rules() == {"answered"}


# Attempts


@pytest.mark.parametrize("how", ["close", "half_close", "reset", "gave_up"])
@pytest.mark.parametrize(("after", "broken"), [(100_000, set()), (100_001, {"ended"})])
def test_no_attempt_begins_over_a_tenth_of_a_second_after_its_client_left(
    how: str, after: int, broken: set[str]
) -> None:
    """The first as little as a retry or a hedged request."""
    for attempts in (1, 2):
        story = Story()
        rid = story.asked(S)
        if attempts == 2:
            story.sent(S + 5, rid, "s1")
        story.add(h.Departed, S + 10, "c0", rid=rid, how=how)
        story.sent(S + 10 + after, rid)
        unanswered = {"answered"} if how == "gave_up" else set()
        assert story.end(60 * S).rules() == broken | unanswered


def test_what_its_client_never_sent_whole_is_whole_at_no_server() -> None:
    for whole, broken in ((False, set()), (True, {"ended"})):
        story = Story()
        rid = story.asked(S)
        story.add(h.Departed, S + 10, "c0", rid=rid, how="upload_close")
        story.sent(S + 500_000, rid)
        if whole:
            story.got(S + 500_010, rid)
        assert story.end(60 * S).rules() == broken


def test_no_attempt_begins_after_the_final_answer() -> None:
    for after, broken in ((50_000, set()), (50_001, {"ended"})):
        story = Story()
        rid = story.served(S)
        story.sent(S + 30 + after, rid, "s1")
        assert story.end(60 * S).rules() == broken


def test_trouble_elsewhere_excuses_no_late_attempt() -> None:
    def broken(*fault: Any, **detail: Any) -> bool:
        story = Story()
        rid = story.asked(S)
        story.add(h.Departed, S + 10, "c0", rid=rid, how="close")
        story.sent(S + 300_000, rid)
        if fault:
            story.fault(*fault, **detail)
        return "ended" in story.end(60 * S).rules()

    assert broken()
    assert broken(S, 2 * S, "link", "servers", delay_ms=200.0)
    assert broken(S, 2 * S, "pause", servers=("s0",), of="servers")
    assert broken(S, S + 200_000, "pause", of="agents"), "it went on long before"
    assert not broken(S, S + 290_000, "pause", of="agents")
    assert not broken(S, 2 * S, "link", "clients", delay_ms=200.0)


@pytest.mark.parametrize(
    ("after", "told", "broken"),
    [
        (10_000, 990, set()),
        (10_000, 1140, set()),
        (10_000, 1141, {"told"}),
        (900_000, 251, {"told"}),
        (1_200_000, 150, set()),
        (1_200_000, 151, {"told"}),
        (-100_000, 1150, set()),
        (-100_000, 1151, {"told"}),
    ],
)
def test_an_attempt_is_told_no_more_than_its_client_has_left(after: int, told: int, broken: set[str]) -> None:
    """A large body's attempt may begin before the request's last byte."""
    story = Story()
    rid = story.asked(S)
    story.sent(S + after, rid, told=told)
    story.got(S + after + 5, rid)
    story.gave(S + after + 10, rid)
    story.answered(S + max(after, 0) + 20, rid)
    assert story.end(60 * S).rules() == broken


def test_a_hold_up_explains_no_more_than_its_slack() -> None:
    for pause, broken in ((150_000, {"told"}), (500_000, set())):
        story = Story()
        story.fault(S + 10, S + 10 + pause, "pause", of="agents")
        story.sent(S + 600_000, rid := story.asked(S), told=551)
        story.answered(S + 700_000, rid, status=502)
        assert story.end(60 * S).rules() == broken


@pytest.mark.parametrize("spoil", ["digest", "cut_off", "another", "nobody"])
def test_what_is_served_was_made_for_that_request(spoil: str) -> None:
    story = Story()
    rid, other = story.asked(S), story.served(S)
    story.got(S + 10, rid)
    if spoil != "nobody":
        story.gave(S + 20, other if spoil == "another" else rid, whole=spoil != "cut_off")
    story.answered(S + 30, rid, digest="e" if spoil == "digest" else "d")
    assert "integrity" in story.end(60 * S).rules()


def test_a_proper_request_is_not_called_malformed() -> None:
    for status, broken in ((400, {"answered"}), (429, set()), (502, set())):
        story = Story()
        story.answered(S + 10, story.asked(S), status=status)
        assert story.end(60 * S).rules() == broken


def test_who_was_stopped_owes_an_answer_to_what_reached_it() -> None:
    """At whatever time after SIGTERM, but for what is written as the process ends."""
    for after, closed, broken in (
        (600_000, S, {"answered"}),
        (800_000, S, {"answered"}),
        (3 * S - 100_001, 3 * S - 1, {"answered"}),
        (3 * S - 100_000, 3 * S + 10, set()),
    ):
        story = Story()
        story.add(h.Stop, S, "a0", life=0, kill_us=3_700_000)
        rid = story.asked(S + after)
        story.add(h.Unanswered, S + max(after, closed), "c0", rid=rid, how="closed")
        story.add(h.Ended, 4 * S, "a0", life=0, status=0, asked=True)
        assert story.end(60 * S).rules() == broken, after


# Effects


def test_an_unsafe_request_goes_out_again_only_after_a_no() -> None:
    for turned, broken in ((True, set()), (False, {"effect"})):
        story = Story()
        rid = story.asked(S, UNSAFE)
        story.got(S + 10, rid, "s0")
        if turned:
            story.add(h.Turned, S + 11, "s0", rid=rid, life=0)
        story.got(S + 100, rid, "s1")
        story.gave(S + 110, rid, "s1")
        story.answered(S + 120, rid)
        assert story.end(60 * S).rules() == broken


def test_a_keyed_request_stays_within_its_group_and_time() -> None:
    window = int(next(c for c in DAY.cls if c.name == KEYED).window_ms * 1000)
    for server, after, broken in (
        ("s1", 100, set()),
        ("s2", 100, {"effect"}),
        ("s1", window + 60_000, {"effect"}),
    ):
        story = Story()
        rid = story.asked(S, KEYED, patience=20 * S)
        story.got(S + 10, rid, "s0")
        story.got(S + 10 + after, rid, server)
        story.gave(S + 20 + after, rid, server)
        story.answered(S + 30 + after, rid)
        assert story.end(90 * S).rules() == broken


def test_what_may_have_run_is_not_called_refused() -> None:
    for cls, turned, broken in ((UNSAFE, False, {"effect"}), (UNSAFE, True, set()), (SAFE, False, set())):
        story = Story()
        rid = story.asked(S, cls)
        story.got(S + 10, rid)
        if turned:
            story.add(h.Turned, S + 11, "s0", rid=rid, life=0)
        story.answered(S + 30, rid, status=503)
        assert story.end(60 * S).rules() == broken


@pytest.mark.parametrize(
    ("allowed", "after", "end", "broken"),
    [
        (False, 60_000, "gave", set()),
        (False, 60_000, "left", set()),
        (False, 60_000, "turned", set()),
        (False, 60_000, "", {"copies"}),
        (True, 60_000, "", set()),
        (False, 40_000, "late", set()),
        (False, 40_000, "too late", {"copies"}),
    ],
)
def test_a_second_copy_goes_out_only_where_it_may(
    allowed: bool, after: int, end: str, broken: set[str]
) -> None:
    allow = msgspec.structs.replace(DAY.allow, second_copies=allowed)
    story = Story(msgspec.structs.replace(DAY, allow=allow))
    rid = story.asked(S)
    story.got(S + 10, rid)
    if end == "gave":
        story.gave(S + 20, rid)
    elif end == "turned":
        story.add(h.Turned, S + 20, "s0", rid=rid, life=0)
    elif end:
        t = S + {"left": 20, "late": after + 50_000, "too late": after + 50_001}[end]
        story.add(h.Left, t, "s0", rid=rid, life=0)
    story.got(S + after, rid, "s1")
    story.gave(S + after + 10, rid, "s1")
    story.answered(S + after + 20, rid)
    assert story.end(60 * S).rules() == broken


def test_a_request_has_no_more_attempts_than_it_may_have() -> None:
    for more, broken in ((0, set()), (1, {"copies"})):
        story = Story()
        rid = story.asked(S)
        for n in range(DAY.allow.max_attempts + more):
            story.got(S + 10 + 10 * n, rid)
            story.gave(S + 15 + 10 * n, rid)
        story.answered(S + 500, rid)
        assert story.end(60 * S).rules() == broken


def test_a_client_that_sends_again_to_a_killed_agents_successor_is_not_the_agents_repeat() -> None:
    for killed, broken in ((True, set()), (False, {"effect"})):
        story = Story()
        rid = story.asked(S, UNSAFE)
        story.got(S + 10, rid, "s0")
        if killed:
            story.add(h.Ended, S + 20, "a0", life=0, status=-9, asked=True)
            story.add(h.Begun, S + 21, "a0", life=1, pid=4)
            story.add(h.Ready, S + 22, "a0", life=1, took_us=1)
        story.add(h.Resent, S + 30, "c0", rid=rid)
        story.got(S + 100, rid, "s1")
        story.gave(S + 110, rid, "s1")
        story.answered(S + 120, rid)
        assert story.end(S + 200).rules() == broken


# Lists


def test_nothing_new_goes_to_a_server_a_second_after_its_drain_was_told() -> None:
    for after, broken in ((S + 40_000, set()), (S + 60_000, {"drain"})):
        story = Story()
        story.listed(2 * S, 42, ("s0", "DRAINING", 0))
        story.told(2 * S + 5, 42, [("s0", "DRAINING", 0)])
        story.served(2 * S + after, server="s0")
        assert story.end(60 * S).rules() == broken


def test_a_whole_list_takes_out_what_it_does_not_name() -> None:
    story = Story()
    story.listed(2 * S, 42, ("s0", "DELETED", 0))
    story.told(2 * S + 5, 42, MEMBERS[1:], complete=True)
    story.served(4 * S, server="s0")
    assert story.end(60 * S).rules() == {"drain"}


def test_a_change_not_asked_for_counts_as_told() -> None:
    for cut, broken in ((False, {"stale"}), (True, set())):
        story = Story()
        story.listed(2 * S, 42, ("s0", "DRAINING", 0))
        if cut:
            story.fault(S, 9 * S, "link", "discovery", cut=True)
            story.told(3 * S, 42, [("s0", "DRAINING", 0)])  # written into the cut: it may not have come
            story.served(8 * S, server="s0")
        assert story.end(60 * S).rules() == broken


def test_what_was_written_into_a_struck_path_counts_once_the_agent_goes_on_from_it() -> None:
    for goes_on, broken in ((True, {"drain"}), (False, set())):
        story = Story()
        story.listed(2 * S, 42, ("s0", "DRAINING", 0))
        story.fault(S, 9 * S, "link", "discovery", delay_ms=1.0)
        story.told(2 * S + 5, 42, [("s0", "DRAINING", 0)])
        story.add(h.Called, 3 * S, "d0", agent="a0", index=42 if goes_on else 41, wait_ms=20_000)
        story.served(5 * S, server="s0")
        assert story.end(60 * S).rules() == broken


def test_a_ban_holds_until_it_is_lifted() -> None:
    for lifted, broken in ((False, {"drain"}), (True, set())):
        story = Story()
        story.door(2 * S, "DETACH s0", "OK\n")
        if lifted:
            story.door(3 * S, "ATTACH s0", "OK\n")
        story.served(5 * S, server="s0")
        assert story.end(60 * S).rules() == broken


def test_a_ban_outlasts_an_upgrade_and_ends_with_the_last_process() -> None:
    for overlap, broken in ((True, {"drain"}), (False, set())):
        story = Story()
        story.door(2 * S, "DETACH s0", "OK\n")
        story.add(h.Begun, 3 * S if overlap else 4 * S, "a0", life=1, pid=4)
        story.add(h.Ready, 4 * S + 10, "a0", life=1, took_us=10)
        story.add(h.Stop, 3 * S + 20, "a0", life=0, kill_us=3_700_000)
        story.add(h.Ended, 3 * S + 30, "a0", life=0, status=0, asked=True)
        story.told(4 * S + 20, 41, MEMBERS, complete=True)
        story.served(8 * S, server="s0")
        assert story.end(60 * S).rules() == broken


def test_the_figure_of_members_is_that_of_a_list_in_force() -> None:
    for figure, at, broken in (
        (3, 2 * S, set()),
        (2, 2 * S, {"stale"}),
        (2, 5 * S, set()),
        (3, 5 * S, {"stale"}),
    ):
        story = Story()
        story.listed(3 * S, 42, ("s0", "DELETED", 0))
        story.told(3 * S + 5, 42, [("s0", "DELETED", 0)])
        story.door(at, "INFO", f"agent.members:{figure}|g\nEND\n")
        assert story.end(60 * S).rules() & {"stale"} == broken


def test_a_cold_server_falls_by_the_rule_only_under_those_who_knew() -> None:
    for known, broken in ((2, {"cold"}), (1, set())):
        story = Story()
        story.add(h.Begun, 2 * S, "s9", life=0, pid=5, unix_ms=777)
        story.listed(2 * S, 42, ("s9", "SERVING", 777))
        story.told(2 * S + 5, 42, [("s9", "SERVING", 777)])
        pressure = [("a0", 3 * S, 10.0)] * known + [("a7", 3 * S, 10.0)] * (3 - known)
        story.add(h.Fell, 3 * S, "s9", life=0, pressure=pressure)
        assert story.end(60 * S).rules() == broken


# Processes


@pytest.mark.parametrize(
    ("ended", "broken"),
    [
        ({"t": 2 * S, "status": 1, "asked": False}, {"crash"}),
        ({"t": 2 * S, "status": -9, "asked": True}, set()),
    ],
)
def test_a_process_ends_only_when_told(ended: dict[str, Any], broken: set[str]) -> None:
    story = Story()
    story.add(h.Ended, ended.pop("t"), "a0", life=0, **ended)
    assert story.end(60 * S).rules() == broken


def test_a_start_from_a_spoilt_file_is_refused_and_one_from_a_good_file_is_not() -> None:
    for spoilt, broken in ((True, set()), (False, {"crash"})):
        story = Story()
        story.fault(S, 9 * S, "reload", spoilt=spoilt)
        story.add(h.Begun, 2 * S, "a0", life=1, pid=4)
        story.add(h.Ended, 3 * S, "a0", life=1, status=2, asked=False)
        assert story.end(60 * S).rules() == broken


def test_a_process_ends_in_time_and_in_order_after_sigterm() -> None:
    for after, status, broken in ((3 * S, 0, set()), (3 * S, 1, {"crash"}), (3_700_000, -9, {"crash"})):
        story = Story()
        story.add(h.Stop, 2 * S, "a0", life=0, kill_us=3_700_000)
        story.add(h.Ended, 2 * S + after, "a0", life=0, status=status, asked=True)
        assert story.end(60 * S).rules() == broken


def test_what_is_no_longer_needed_is_not_held() -> None:
    for count, broken in ((17, set()), (18, {"descriptors"})):
        story = Story()
        story.add(h.Open, 50 * S, "a0", life=0, count=count, when="end")
        assert story.end(60 * S).rules() == broken


def test_a_traceback_in_the_log_is_a_breach_whatever_came_of_it() -> None:
    for count, broken in ((0, set()), (1, {"traceback"})):
        story = Story()
        story.add(h.Logged, 50 * S, "a0", tracebacks=count, first="KeyError: 1" if count else "")
        assert story.end(60 * S).rules() == broken


@pytest.mark.parametrize(
    ("call", "answer", "took", "broken"),
    [
        ("PING", "OK\n", 900_000, set()),
        ("PING", "OK\n", 1_100_000, {"door"}),
        ("PING", "", 1_500_000, {"door"}),
        ("INFO", "agent.pending:0|g\n", 100, {"door"}),
        ("DETACH s0", "ERR no\n", 100, {"door"}),
    ],
)
def test_the_door_answers_in_time_and_in_form(call: str, answer: str, took: int, broken: set[str]) -> None:
    story = Story()
    story.door(5 * S, call, answer, took)
    assert story.end(60 * S).rules() == broken


def test_the_counts_are_those_of_the_clients() -> None:
    for told, broken in ((7, set()), (6, {"door"})):
        story = Story()
        for _ in range(10):
            story.served(S)
        figures = "".join(
            f"agent.{name}.{c}:{told if (name, c) == ('completed', SAFE) else 0}|c\n"
            for name in ("completed", "rejected", "failed")
            for c in CLASSES
        )
        story.door(50 * S, "INFO", f"{figures}agent.members:3|g\nEND\n")
        assert story.end(60 * S).rules() == broken


def test_an_emptied_agent_says_no_until_it_is_back() -> None:
    for no, yes, broken in ((3 * S, 12 * S, set()), (8 * S, 12 * S, {"health"}), (3 * S, 14 * S, {"health"})):
        story = Story()
        story.door(2 * S, "LAMEDUCK", "OK\n")
        story.add(h.Health, no, "a0", status=503)
        story.door(11 * S, "REJOIN", "OK\n")
        story.add(h.Health, yes, "a0", status=200)
        assert story.end(60 * S).rules() == broken


# Who is there


def fleet(*up: str) -> Story:
    """Agents that tell one another; a0 and these."""
    story = Story(msgspec.structs.replace(DAY, membership=True))
    for name in up:
        story.add(h.Begun, 0, name, life=0, pid=5)
        story.add(h.Ready, 10, name, life=0, took_us=10)
    return story


def says(story: Story, t: int, low: int, high: int, agent: str = "a0") -> None:
    text = f"agent.agents_alive:{low}|g\nagent.agents_possible:{high}|g\nEND\n"
    story.add(h.Door, t, agent, life=0, call="INFO", asked=t - 1000, answer=text)


K = presence.KNOWN_US


@pytest.mark.parametrize(
    ("low", "high", "broken"),
    [(3, 3, set()), (2, 3, {"present"}), (3, 4, {"present"}), (2, 2, {"present"}), (4, 4, {"present"})],
)
def test_agents_know_how_many_live(low: int, high: int, broken: set[str]) -> None:
    story = fleet("a1", "a2")
    says(story, 10 + K + 2000, low, high)
    assert story.rules() == broken
    early = fleet("a1", "a2")
    says(early, K, low, high)
    assert early.rules() == set()


@pytest.mark.parametrize(
    ("kind", "detail", "count", "broken"),
    [
        ("link", {"cut": True}, (1, 1), set()),
        ("link", {"loss": 0.3}, (1, 3), set()),
        ("link", {"loss": 0.3}, (1, 2), {"present"}),
        ("link", {"loss": 0.3}, (4, 4), {"present"}),
        ("pause", {"of": "agents"}, (1, 1), set()),
        ("pause", {"of": "servers"}, (1, 1), {"present"}),
        ("lie", {}, (2, 4), set()),
        ("lie", {}, (1, 3), {"present"}),
        ("lie", {}, (1, 1), {"present"}),
    ],
)
def test_what_strikes_agents_or_their_datagrams_excuses_what_it_may(
    kind: str, detail: dict[str, Any], count: tuple[int, int], broken: set[str]
) -> None:
    story = fleet("a1", "a2")
    story.add(
        h.Fault,
        2 * K,
        "rig",
        kind=kind,
        on=True,
        number=0,
        agents=["a1"],
        detail=detail,
        path="peers" if kind == "link" else "",
    )
    says(story, 3 * K, *count)
    says(story, 3 * K, 1, 1, agent="a1") if kind == "lie" else None
    assert story.rules() == broken


def test_a_death_is_known_in_time() -> None:
    for after, broken in ((K - 2000, set()), (K + 2000, {"present"})):
        story = fleet("a1", "a2")
        story.add(h.Ended, 2 * K, "a1", life=0, status=-9, asked=True)
        says(story, 2 * K + after, 2, 3)
        assert story.rules() == broken


# Verdicts and histories


def test_a_late_rig_does_not_count_but_one_paused_on_purpose_does() -> None:
    for paused in (False, True):
        story = Story()
        if paused:
            story.fault(S, 4 * S, "pause", servers=("s0",), agents=(), of="servers")
        story.add(h.Late, 4 * S, "s0", late_us=30_000)
        assert verdict.judge(story.end(60 * S).case()).counts is paused


def test_the_first_breach_of_a_rule_is_named_with_its_request_and_time() -> None:
    story = Story()
    first = story.asked(S)
    story.asked(2 * S)
    case = story.end(60 * S).case()
    lines = verdict.judge(case).lines(case)
    assert lines == [
        f"rule broken: answered, 2 times; first at 2.500 s, a0: request {first}: no answer to the end"
    ]


def test_time_counts_from_when_a_request_was_due_and_worth_falls_with_it() -> None:
    story = Story()
    rid = story.asked(S, patience=3 * S)
    story.events[-1] = msgspec.structs.replace(story.events[-1], due=S - 1_600_000)
    story.got(S + 10, rid)
    story.gave(S + 20, rid)
    story.answered(S + 30, rid)
    made = verdict.judge(story.end(60 * S).case()).figures
    late = next(c for c in DAY.cls if c.name == SAFE).late_worth
    assert made.worth == pytest.approx(late)
    assert made.latency_us["max"] == pytest.approx(1_600_030, rel=0.001)


EVENTS = st.one_of(
    st.builds(
        h.Got,
        t=st.integers(0, 2**50),
        who=st.text(max_size=5),
        rid=st.text(max_size=9),
        life=st.integers(0, 9),
        agent=st.text(max_size=3),
        began=st.integers(0, 2**50),
        conn=st.integers(0, 99),
    ),
    st.builds(
        h.Door,
        t=st.integers(0, 2**50),
        who=st.text(max_size=5),
        life=st.integers(0, 9),
        call=st.text(max_size=20),
        answer=st.text(max_size=50),
        asked=st.integers(0, 2**50),
    ),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(EVENTS, max_size=20), st.integers(0, 40))
def test_a_history_is_read_as_it_was_written_and_may_end_in_the_middle(
    tmp_path_factory: pytest.TempPathFactory, events: list[Any], cut: int
) -> None:
    path = Path(tmp_path_factory.mktemp("history")) / "history.jsonl"
    path.touch()
    writer = h.Writer(path)
    for event in events:
        writer.write(event)
    writer.close()
    assert h.read(path) == sorted(events, key=lambda e: e.t)
    data = path.read_bytes()
    path.write_bytes(data[: max(0, len(data) - cut)])
    whole = path.read_bytes().count(b"\n")
    assert h.read(path) == sorted(events[:whole], key=lambda e: e.t)


def test_a_spoilt_history_is_refused_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    path.write_bytes(b'{"e":"ready","t":1,"who":"a0","life":0,"took_us":1}\n{"e":"redy"}\n')
    with pytest.raises(h.HistoryError, match=r"history\.jsonl:2: .*play the run again"):
        h.read(path)
