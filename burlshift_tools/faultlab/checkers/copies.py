"""Two attempts of a request are out at once only where copies are allowed, and never too many in all."""

from __future__ import annotations

from collections.abc import Iterator

from .. import history as h
from .case import END_OF_TIME, PATHS, Breach, Case, Exchange
from .effects import SLACK_US, sent_again_by_client


def check(case: Case) -> list[Breach]:
    fallen = {(e.who, e.life): e.t for e in case.events if isinstance(e, h.Fell)}
    return [
        b for x in case.exchanges.values() if not sent_again_by_client(case, x) for b in _one(case, x, fallen)
    ]


def _one(case: Case, x: Exchange, fallen: dict[tuple[str, int], int]) -> Iterator[Breach]:
    attempts = sorted(case.got[x.rid], key=lambda got: got.t)
    most = case.scenario.allow.max_attempts
    if len(attempts) > most:
        yield Breach(
            "copies",
            attempts[most].t,
            x.asked.agent,
            f"request {x.rid}: {len(attempts)} attempts, {most} are allowed",
        )
    if case.scenario.allow.second_copies:
        return
    for earlier, later in zip(attempts, attempts[1:], strict=False):
        end = _end(case, earlier, fallen)
        if later.t + SLACK_US < end and not _excused(case, earlier, later.t):
            yield Breach(
                "copies",
                later.t,
                x.asked.agent,
                f"request {x.rid}: to {later.who} while the attempt at {earlier.who} was still out",
            )


def _end(case: Case, attempt: h.Got, fallen: dict[tuple[str, int], int]) -> int:
    """When its server was done with it, or its connection over."""
    at = (attempt.who, attempt.life)
    ends = [e.t for e in case.gave[attempt.rid] if (e.who, e.life) == at and e.t >= attempt.t]
    ends += [e.t for e in case.left[attempt.rid] if (e.who, e.life) == at and e.t >= attempt.t]
    turned = case.turned.get((attempt.rid, *at))
    ends += [turned] if turned is not None else []
    ends += [life.ended for life in case.lives[attempt.who] if life.number == attempt.life]
    return min([*ends, fallen.get(at, END_OF_TIME)])


def _excused(case: Case, attempt: h.Got, until: int) -> bool:
    """Its end may have come late to the server, or the server to its end."""
    windows = case.faults(attempt.agent, PATHS, "servers", attempt.who) + case.frozen(attempt.agent)
    windows += [
        w for w, _, servers, _ in case.windows if w.kind in ("pause", "spoilt") and attempt.who in servers
    ]
    return any(w.meets(attempt.t, until) for w in windows)
