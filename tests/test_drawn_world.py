"""The search in one process: its judge sees each way to lose a request, and a few of its worlds hold."""

from __future__ import annotations

from collections.abc import Callable
from unittest import mock

import pytest

from burlshift.agent.connection import Headers
from burlshift.agent.downstream_connection import DownstreamConnection
from burlshift.agent.downstream_request import DownstreamRequest
from tests.drawn_world import (
    AFTER_S,
    LOST_S,
    TOLD_SLACK_S,
    UNSAFE,
    Attempt,
    Knobs,
    Record,
    Request,
    breaches,
    run,
)

# What a loaded machine cannot bring about: no figure of time enters.
TIMELESS = ("wrong", "duplicate", "refused", "malformed", "log")
QUIET = Knobs(frozenset({"second", "large_cut"}))


def story() -> tuple[Record, Request]:
    """One request, served as it should be."""
    record = Record()
    request = record.requests["r"] = Request(
        "r", UNSAFE, 0.5, "patient", asked=10.0, ended=10.1, status=200, body=b"r s0 1 "
    )
    record.attempts["r"].append(Attempt("r", 10.01, 0.49, 1))
    record.made["r"].add(b"r s0 1 ")
    record.ran["r"].append(10.02)
    record.read.add("r")
    return record, request


def no_answer(_record: Record, request: Request) -> None:
    request.status, request.how = 0, "waited"


def closed(_record: Record, request: Request) -> None:
    request.status, request.how = 0, "closed"


def half(_record: Record, request: Request) -> None:
    request.status, request.how = 0, "cut"


def late(_record: Record, request: Request) -> None:
    request.ended = 10.5 + LOST_S + 0.001


def anothers(_record: Record, request: Request) -> None:
    request.body = b"q s0 1 "


def after_departure(record: Record, request: Request) -> None:
    request.gone = 10.01
    record.attempts["r"].append(Attempt("r", 10.01 + AFTER_S + 0.001, 0.0, 1))


def after_answer(record: Record, _request: Request) -> None:
    record.attempts["r"].append(Attempt("r", 10.2, 0.0, 1))


def told_too_much(record: Record, _request: Request) -> None:
    record.attempts["r"][0].told_s = 0.49 + TOLD_SLACK_S + 0.001


def ran_twice(record: Record, _request: Request) -> None:
    record.ran["r"].append(10.03)


def refused_after_it_ran(_record: Record, request: Request) -> None:
    request.status = 503


def logged(record: Record, _request: Request) -> None:
    record.log("request 1: no answer from the module in time")


PLANTED: dict[Callable[[Record, Request], None], str] = {
    no_answer: "lost",
    closed: "lost",
    half: "lost",
    late: "lost",
    anothers: "wrong",
    after_departure: "after departure",
    after_answer: "after its end",
    told_too_much: "told",
    ran_twice: "duplicate",
    refused_after_it_ran: "refused",
    logged: "log",
}


def kinds(found: list[str]) -> set[str]:
    return {line.partition(":")[0] for line in found if not line.startswith(" ")}


def test_a_request_that_is_served_breaks_nothing() -> None:
    assert not breaches(story()[0])


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__)
def test_the_judge_sees(plant: Callable[[Record, Request], None]) -> None:
    record, request = story()
    plant(record, request)
    assert kinds(breaches(record)) == {PLANTED[plant]}


@pytest.mark.parametrize("seed", [1, 11])
def test_a_drawn_world_breaks_nothing_that_time_does_not_enter(seed: int) -> None:
    record, found = run(seed, QUIET)
    assert record.requests and record.attempts
    assert not kinds(found) & set(TIMELESS), "\n".join(found)


def test_an_error_planted_in_the_agent_is_found() -> None:
    """A body of which the last byte is lacking."""
    answer = DownstreamConnection.answer

    def shorter(
        self: DownstreamConnection,
        call: DownstreamRequest,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        answer(self, call, status, headers, body[:-1])

    with mock.patch.object(DownstreamConnection, "answer", shorter):
        assert "wrong" in kinds(run(11, QUIET)[1])
