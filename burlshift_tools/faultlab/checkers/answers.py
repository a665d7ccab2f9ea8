"""Every request taken gets one final answer in time, and none that no server made (rule 1; TERMS)."""

from __future__ import annotations

from collections.abc import Iterator

from .. import history as h
from .case import Breach, Case, Exchange

ENDING_US = 100_000  # around the end of a process: what is written then may meet it unread
HELD_BYTES = 64 * 1024  # PROTOCOL: no body holds more; one that does cannot be held until it is whole


def check(case: Case) -> list[Breach]:
    return [b for x in case.exchanges.values() for b in _one(case, x)]


def _one(case: Case, x: Exchange) -> Iterator[Breach]:
    end = x.end
    for more in x.surplus:
        yield _lost(x, more.t, f"{more.bytes} bytes came beyond its answer")
    if isinstance(end, h.Answered):
        yield from _answered(case, x, end)
    elif x.departed is not None and x.departed.how != "gave_up":
        return  # nobody was left to have an answer
    elif end is None:
        if x.over < case.end and not case.hindered(x.asked.agent, x.asked.t, x.over):
            yield _lost(x, x.over, "no answer to the end")
    elif end.how == "unreachable" or case.hindered(x.asked.agent, x.asked.t, x.over):
        return
    elif end.how == "closed":
        if not _never_read(case, x, end):
            yield _lost(x, end.t, "its connection was closed unanswered")
    elif end.how == "waited" and x.over <= end.t:
        yield _lost(x, end.t, "no answer when its client gave up")
    elif end.how == "cut" and not _too_large_to_hold(case, x):
        yield _lost(x, end.t, "half an answer")


def _lost(x: Exchange, t: int, what: str) -> Breach:
    return Breach("answered", t, x.asked.agent, f"request {x.rid}: {what}")


def _never_read(case: Case, x: Exchange, end: h.Unanswered) -> bool:
    """The agent never had the connection, or has ended just then, or had no descriptor left for a new one."""
    agent, a = x.asked.agent, x.asked
    if any(a.opened - ENDING_US <= t <= end.t + ENDING_US for t in case.unreached[agent, a.port]):
        return True
    if any(life.ended - ENDING_US <= a.t <= life.ended + ENDING_US for life in case.lives[agent]):
        return True
    return a.fresh and any(w.meets(a.opened, x.over) for w in case.faults(agent, ("descriptors",)))


def _too_large_to_hold(case: Case, x: Exchange) -> bool:
    """An answer that has to be passed on as it comes, of which its server sent no more."""
    return any(g.bytes > HELD_BYTES and not g.whole for g in case.gave[x.rid])


def _answered(case: Case, x: Exchange, end: h.Answered) -> Iterator[Breach]:
    agent = x.asked.agent
    hindered = case.hindered(agent, x.asked.t, x.over)
    if end.t > x.over and not hindered:
        late_ms = (end.t - x.asked.t - x.asked.patience_us) / 1000
        yield _lost(x, end.t, f"answered {late_ms:.0f} ms after its time")
    corrupted = case.corrupted(agent, x.asked.t, end.t)
    if end.status == 200 and not corrupted:
        made = [g for g in case.gave[x.rid] if g.status == 200]
        if not any(g.whole and g.digest == end.digest for g in made):
            why = "no server answered it"
            if made:
                why = "another answer" if any(g.whole for g in made) else "its server spoilt the answer"
            yield Breach(
                "integrity", end.t, agent, f"request {x.rid}: served with what no server made for it ({why})"
            )
    if 400 <= end.status < 500 and end.status != 429 and not corrupted and not hindered:
        yield Breach("answered", end.t, agent, f"request {x.rid}: a proper request was answered {end.status}")
