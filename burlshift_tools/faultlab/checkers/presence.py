"""Agents know how many of them live: soon after a change exactly, and no fewer for lost datagrams."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator

from .case import END_OF_TIME, Breach, Case, Window, figure

KNOWN_US = 18_000_000  # after a change all know of it: where 14 of 20 die, the rest are sure in 14 s
STRIKING = ("pause", "kill", "upgrade", "descriptors", "busy", "unix_time")


def check(case: Case) -> list[Breach]:
    if not case.scenario.membership:
        return []
    quiet = Quiet(case)
    return [b for agent in case.lives if agent.startswith("a") for b in _one(case, agent, quiet)]


class Quiet:
    """When nothing has changed for so long that all must know who lives."""

    def __init__(self, case: Case) -> None:
        self._lives = [life for who, lives in case.lives.items() if who.startswith("a") for life in lives]
        times = [t for life in self._lives for t in (life.begun, life.ready, life.ended, life.stop)]
        self._changes = sorted(t for t in times if t < END_OF_TIME)
        self._struck, self._lossy, self._lies = list[Window](), list[Window](), list[Window]()
        self._liars = frozenset[str]()
        for w, agents, _, path in case.windows:
            if w.kind == "lie":
                self._lies.append(w)
                self._liars |= agents
            elif w.kind == "link" and path == "peers":
                (self._struck if w.detail.get("cut") else self._lossy).append(w)
            elif w.kind in STRIKING and w.detail.get("of", "agents") == "agents":
                self._struck.append(w)

    def at(self, t: int) -> bool:
        since = t - KNOWN_US
        last = self._changes[bisect_right(self._changes, t) - 1] if self._changes[0] <= t else t
        return last <= since and not any(w.meets(since, t) for w in self._struck)

    def lossy(self, t: int) -> bool:
        return any(w.meets(t - KNOWN_US, t) for w in self._lossy)

    def lying(self, t: int) -> bool:
        return any(w.meets(t - KNOWN_US, t) for w in self._lies)

    def lies_itself(self, agent: str) -> bool:
        return agent in self._liars

    def living(self, t: int) -> int:
        return len({life.who for life in self._lives if life.ready <= t < life.ended})


def _one(case: Case, agent: str, quiet: Quiet) -> Iterator[Breach]:
    for call in case.door[agent]:
        low, high = figure(call.answer, "agents_alive"), figure(call.answer, "agents_possible")
        if low is None or high is None or not quiet.at(call.asked) or not quiet.at(call.t):
            continue
        if quiet.lies_itself(agent) and quiet.lying(call.t):
            continue  # it gets the answers that its lies deserve
        living = quiet.living(call.t)
        off = 1 if quiet.lying(call.t) else 0  # a liar has its own vote, and no other's
        if low > living + off or high < living - off:
            yield Breach("present", call.t, agent, f"INFO says {low} to {high} agents live, {living} do")
        elif not quiet.lossy(call.t) and (low < living - off or high > living + off):
            yield Breach(
                "present",
                call.t,
                agent,
                f"INFO says {low} to {high} agents live; {living} do, and have for {KNOWN_US / 1e6:g} s",
            )
