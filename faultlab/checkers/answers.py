"""Every request taken gets one final answer in time, and none that no server made (rule 1; TERMS)."""
from __future__ import annotations

from collections import defaultdict

from .. import history as h
from .case import PATHS, Breach, Case, Exchange

CLOSED_SHARE = 1 / 200  # of an agent's requests may meet a new connection that is closed unanswered
SPARE = 2
SERVE_AFTER_STOP_US = 700_000  # what comes later than this after SIGTERM need not be taken
ENDING_US = 100_000  # until its end has been seen


def check(case: Case) -> list[Breach]:
    breaches: list[Breach] = []
    closed: dict[str, list[Exchange]] = defaultdict(list)
    asked: dict[str, int] = defaultdict(int)
    for x in case.exchanges.values():
        asked[x.asked.agent] += 1
        if isinstance(x.end, h.Answered):
            breaches += _answered(case, x, x.end)
        elif x.end is not None and x.end.how == "closed":
            if not _excused(case, x):
                closed[x.asked.agent].append(x)
        elif x.end is None:
            if x.over < case.end and not _excused(case, x):
                breaches.append(_lost(x, x.over, "no answer to the end"))
        elif x.end.how == "waited" and not _excused(case, x):
            breaches.append(_lost(x, x.end.t, "no answer when its client gave up"))
        elif x.end.how == "cut" and not _excused(case, x) and not _spoilt(case, x):
            breaches.append(_lost(x, x.end.t, "answer cut off, though its server went on"))
    for agent, some in closed.items():
        if len(some) > SPARE + CLOSED_SHARE * asked[agent]:
            what = f"{len(some)} of {asked[agent]} requests met a connection closed unanswered"
            breaches.append(_lost(some[-1], some[-1].end.t if some[-1].end else 0, what))
    return breaches


def _lost(x: Exchange, t: int, what: str) -> Breach:
    return Breach("answered", t, x.asked.agent, f"request {x.rid}: {what}")


def _excused(case: Case, x: Exchange) -> bool:
    """Struck from outside, or written when the agent need not take it any more, or never accepted."""
    agent, a = x.asked.agent, x.asked
    if case.hindered(agent, a.t, x.over):
        return True
    if any(life.stop + SERVE_AFTER_STOP_US < a.t <= life.ended + ENDING_US for life in case.lives[agent]):
        return True
    starved = case.faults(agent, ("descriptors",))
    return a.fresh and any(w.meets(a.opened, x.over) for w in starved)


def _spoilt(case: Case, x: Exchange) -> bool:
    """Its server did not go on with the answer, or could not be heard."""
    gave = case.gave[x.rid]
    if any(not g.whole for g in gave):
        return True
    begin, end = x.asked.t, x.over
    servers = {got.who for got in case.got[x.rid]}
    if any(w.meets(begin, end) for s in servers for w in case.faults(x.asked.agent, PATHS, "servers", s)):
        return True
    ends = [life.ended for s in servers for life in case.lives[s]]
    return any(begin <= t <= end for t in ends)


def _answered(case: Case, x: Exchange, end: h.Answered) -> list[Breach]:
    agent, found = x.asked.agent, []
    if end.t > x.over and not _excused(case, x):
        late_ms = (end.t - x.asked.t - x.asked.patience_us) / 1000
        found.append(_lost(x, end.t, f"answered {late_ms:.0f} ms after its time"))
    corrupted = case.corrupted(agent, x.asked.t, end.t)
    if end.status == 200 and not corrupted:
        made = [g for g in case.gave[x.rid] if g.status == 200]
        if not any(g.whole and g.digest == end.digest for g in made):
            why = "no server answered it"
            if made:
                why = "another answer" if any(g.whole for g in made) else "its server spoilt the answer"
            found.append(Breach("integrity", end.t, agent,
                                f"request {x.rid}: served with what no server made for it ({why})"))
    if 400 <= end.status < 500 and end.status != 429 and not corrupted and not _excused(case, x):
        found.append(Breach("answered", end.t, agent,
                            f"request {x.rid}: a proper request was answered {end.status}"))
    return found
