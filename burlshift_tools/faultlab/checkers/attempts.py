"""No attempt begins for a request that is over, and none is told more time than its client has left."""

from __future__ import annotations

from collections.abc import Iterator

from .. import history as h
from .case import Breach, Case, Exchange

AFTER_DEPARTURE_US = 100_000  # STANDING: an attempt may begin so long after its client has left
AFTER_ANSWER_US = 50_000  # PROTOCOL, the rules on sockets: every limit of time is longer by this
AFTER_HOLD_UP_US = 20_000  # a process that stood still acts on what it learns as it goes on
TOLD_SLACK_US = 150_000


def check(case: Case) -> list[Breach]:
    return [b for x in case.exchanges.values() for b in _all(case, x)]


def _all(case: Case, x: Exchange) -> Iterator[Breach]:
    if x.departed is not None and x.departed.how.startswith("upload"):
        # Where a large body is passed on as it comes, an attempt may begin; it counts with its last byte.
        for got in case.got[x.rid]:
            yield Breach(
                "ended",
                got.t,
                x.asked.agent,
                f"request {x.rid}: {got.who} had it whole, though its client left before its last byte",
            )
        return
    for sent in case.sent[x.rid]:
        yield from _one(case, x, sent)


def _one(case: Case, x: Exchange, sent: h.Sent) -> Iterator[Breach]:
    where = f"request {x.rid}: an attempt at {sent.server} began"
    over = _over(x)
    if over is not None and sent.t > over[0] and not _held_up(case, x, over[0], sent.t):
        late_ms = (sent.t - over[0]) / 1000
        yield Breach("ended", sent.t, x.asked.agent, f"{where} {late_ms:.0f} ms too late after {over[1]}")
    left_us = _left_us(x, sent)
    told_too_much = sent.timeout_ms * 1000 > left_us + TOLD_SLACK_US
    if told_too_much and not case.hindered(x.asked.agent, x.askings[0].t, sent.t):
        yield Breach(
            "told",
            sent.t,
            x.asked.agent,
            f"{where} with {sent.timeout_ms} ms told to it, "
            f"while its client had {left_us / 1000:.0f} ms left",
        )


def _over(x: Exchange) -> tuple[int, str] | None:
    """From when on no attempt may begin, and what ended the request."""
    ends = []
    if x.departed is not None:
        ends.append((x.departed.t + AFTER_DEPARTURE_US, f"its client had left ({x.departed.how})"))
    if isinstance(x.end, h.Answered):
        ends.append((x.end.t + AFTER_ANSWER_US, f"its final answer ({x.end.status})"))
    return min(ends, default=None)


def _held_up(case: Case, x: Exchange, begin: int, t: int) -> bool:
    """The agent stood still, or nothing passed between it and its clients, up to just before."""
    agent = x.asked.agent
    struck = [*case.frozen(agent), *case.faults(agent, ("link", "half_open"), "clients")]
    return any(
        w.meets(begin - AFTER_DEPARTURE_US, t - AFTER_HOLD_UP_US) and w.end + AFTER_HOLD_UP_US > t
        for w in struck
    )


def _left_us(x: Exchange, sent: h.Sent) -> int:
    """Of the client's time, which runs from the request's last byte."""
    asked = max((a for a in x.askings if a.t <= sent.t), key=lambda a: a.t, default=x.askings[0])
    return max(0, asked.patience_us - max(0, sent.t - asked.t))
