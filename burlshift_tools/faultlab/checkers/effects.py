"""No effect is repeated, and none that may have happened is called refused (rule 2)."""

from __future__ import annotations

from collections.abc import Iterator

from .. import history as h
from .case import PATHS, Breach, Case, Exchange

SLACK_US = 50_000  # PROTOCOL, the rules on sockets
NEAR_US = 200_000  # between a fault and what a client sees of it


def check(case: Case) -> list[Breach]:
    return [b for x in case.exchanges.values() for b in _one(case, x)]


def _one(case: Case, x: Exchange) -> Iterator[Breach]:
    c = case.cls(x)
    attempts = sorted(case.got[x.rid], key=lambda got: got.began)
    ran = [a for a in attempts if case.may_have_run(a)]
    if c.effect == "safe" or not ran or sent_again_by_client(case, x):
        return
    first = ran[0]
    for later in attempts:
        if later is first or (later.began <= first.t and not case.may_have_run(later)):
            continue
        where = f"request {x.rid} of {c.name}: to {later.who} after {first.who}"
        if c.effect == "unsafe":
            yield Breach("effect", later.t, x.asked.agent, f"{where}, where it may have run")
        elif c.group != "all" and _group(case, c.group, later) != _group(case, c.group, first):
            yield Breach("effect", later.t, x.asked.agent, f"{where}, of another {c.group}")
        elif later.began > first.t + c.window_ms * 1000 + SLACK_US:
            yield Breach("effect", later.t, x.asked.agent, f"{where}, when that had forgotten it")
    end = x.end
    refused = isinstance(end, h.Answered) and end.status in (429, 503)
    if end is not None and refused and (c.effect == "unsafe" or c.group != "all"):
        before = [a for a in ran if a.t < end.t]
        if before:
            yield Breach(
                "effect",
                end.t,
                x.asked.agent,
                f"request {x.rid} of {c.name}: refused, though {before[0].who} may have run it",
            )


def _group(case: Case, group: str, attempt: h.Got) -> str | int:
    zone, cell = case.places[attempt.who]
    return zone if group == "zone" else cell


def sent_again_by_client(case: Case, x: Exchange) -> bool:
    """A client cannot tell an agent that was killed from one that closed a connection unread."""
    if not x.resent:
        return False
    windows = [w for w in case.frozen(x.asked.agent) if w.kind == "killed"]
    windows += case.faults(x.asked.agent, PATHS, "clients")
    return any(w.meets(x.resent - NEAR_US, x.resent + NEAR_US) for w in windows)
