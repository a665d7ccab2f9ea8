"""What was told of the list is held to: drains, bans, cold starts; and it is asked for (rules 3, 4)."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from .. import history as h
from .case import END_OF_TIME, GONE, PATHS, Breach, Case, Window, figure

SLACK_US = 50_000  # PROTOCOL, the rules on sockets
COUNTS_AS_TOLD_US = 6_000_000  # PROTOCOL, Figures
TOO_MUCH = 2 / 3  # of the work that felled a server came from who knew that it was cold
FIGURES_AGE_US = 500_000  # DAYS: figures are half a second old at most
ELSEWHERE_US = 10_000_000  # who has several addresses tries the next after 8 s at most, and asks 2 s at most
WAKING_US = 300_000  # one that stood still reads what came meanwhile


@dataclass(slots=True)
class View:
    """What one agent was told, as it changes: times, and phase and start of each server from then on."""

    times: list[int] = field(default_factory=list)
    states: list[dict[str, tuple[str, int]]] = field(default_factory=list)
    sure: list[bool] = field(default_factory=list)  # the whole list has been told since the start

    def add(self, t: int, state: dict[str, tuple[str, int]], sure: bool) -> None:
        self.times.append(t)
        self.states.append(state)
        self.sure.append(sure)

    def index(self, t: int) -> int:
        return bisect_right(self.times, t) - 1


def check(case: Case) -> list[Breach]:
    views = {agent: _view(case, agent) for agent in case.lives if agent.startswith("a")}
    found = [b for agent, view in views.items() for b in _members(case, agent, view)]
    found += _drains(case, views)
    found += _cold(case)
    found += _kept(case)
    found += _followed(case)
    return found + _deaf(case)


def _view(case: Case, agent: str) -> View:
    """From what discovery wrote; a process that starts from nothing has been told nothing."""
    view = View()
    starts = [
        life.begun
        for life in case.lives[agent]
        if not any(o.begun < life.begun < o.ended for o in case.lives[agent])
    ]
    steps: list[tuple[int, h.Told | None]] = [(t, None) for t in starts]
    steps += [(heard, told) for told in case.told[agent] for heard in _heard(case, agent, told)]
    steps += [(told.t, told) for told in _counting_as_told(case, agent)]
    state: dict[str, tuple[str, int]] = {}
    sure = False
    for t, told in sorted(steps, key=lambda step: step[0]):
        if told is None:
            state, sure = {}, False
        else:
            if told.complete:
                state, sure = {s: ("DELETED", up) for s, (_, up) in state.items()}, True
            state = {**state, **{name: (phase, up) for name, phase, up in told.members}}
        view.add(t, state, sure)
    return view


def _heard(case: Case, agent: str, told: h.Told) -> list[int]:
    """When an answer was with the agent: as it was written, or, where the way was struck then, by the first
    call that goes on from it. Where there is no such call the agent is told again.
    """
    if not any(w.meets(told.t, told.t) for w in case.faults(agent, PATHS, "discovery")):
        return [told.t]
    return [
        call.t
        for call in case.called[agent]
        if call.t >= told.t
        and call.who == told.who
        and call.index is not None
        and call.index >= told.revision
    ][:1]


def _unheard(case: Case, agent: str) -> list[Window]:
    """While it could not hear discovery."""
    return case.faults(agent, PATHS, "discovery") + case.frozen(agent) + case.faults(agent, ("descriptors",))


def _disturbed(case: Case, agent: str, begin: int, end: int) -> bool:
    """Whether the agent could not have asked discovery, or not have heard it, or stood still."""
    windows = _unheard(case, agent)
    windows += [
        w
        for w, _, _, _ in case.windows
        if w.kind in ("lists", "reload") or (w.detail.get("of") == "discovery")
    ]
    windows += _at_followers(case)
    up = any(life.ready <= begin and life.ended > end and life.stop > end for life in case.lives[agent])
    return not up or any(w.meets(begin, end) for w in windows)


def _at_followers(case: Case) -> list[Window]:
    """While followers of the list service, it, or the way to it were struck, and until all have moved on."""
    if not case.scenario.followers:
        return []
    return [
        Window(w.begin, w.end + ELSEWHERE_US, w.kind, w.number, w.detail)
        for w, _, _, path in case.windows
        if path == "leader" or w.detail.get("of") in ("discovery", "followers")
    ]


def _moved(case: Case) -> bool:
    """Whether agents were led to another address of discovery: then one list is not all there is."""
    return any(w.kind == "reload" for w, _, _, _ in case.windows)


def _changes(case: Case) -> list[h.Listed]:
    """What discovery's own list went through after its start; a start lists all that it has."""
    starts = [life.begun for life in case.lives["d0"]]
    listed = [e for e in case.events if isinstance(e, h.Listed) and e.who == "d0"]
    first = {min((e.t for e in listed if e.t > begun), default=0) for begun in starts}
    return [e for e in listed if e.t not in first]


def _counting_as_told(case: Case, agent: str) -> list[h.Told]:
    """Changes that an agent did not hear of, though it could have: they count as told after a while."""
    if _moved(case):
        return []
    found = []
    for change in _changes(case):
        until = change.t + COUNTS_AS_TOLD_US
        heard = any(
            change.t <= told.t <= until and told.revision >= change.revision for told in case.told[agent]
        )
        if not heard and until < case.end and not _disturbed(case, agent, change.t, until):
            found.append(
                h.Told(
                    t=until,
                    who="d0",
                    agent=agent,
                    revision=change.revision,
                    complete=False,
                    members=change.members,
                )
            )
    return found


def _deaf(case: Case) -> list[Breach]:
    """An agent that could ask, and did not hear of a change for as long as that.

    What the list service tells whom is not in the history: a change counts as told, and no more is known.
    """
    if case.scenario.list_service:
        return []
    return [
        Breach(
            "stale",
            told.t,
            agent,
            f"change {told.revision} of the list was not asked for within {COUNTS_AS_TOLD_US / 1e6:g} s",
        )
        for agent in case.lives
        if agent.startswith("a")
        for told in _counting_as_told(case, agent)
    ]


def _members(case: Case, agent: str, view: View) -> list[Breach]:
    """The figure `members` is that of a list which was in force half a second ago at most."""
    found = []
    troubled = _unheard(case, agent)
    for call in case.door[agent]:
        told = figure(call.answer, "members")
        up = case.lives_at(agent, call.asked)
        if call.call != "INFO" or told is None or len(up) != 1 or up[0].ready == END_OF_TIME:
            continue
        begin = call.asked - FIGURES_AGE_US
        low, high = view.index(begin), view.index(call.t)
        if low < 0 or not all(view.sure[low : high + 1]) or up[0].ready > begin:
            continue
        if any(w.end > view.times[high] - SLACK_US and w.begin < call.t for w in troubled):
            continue  # what was told may not have been heard
        counts = {
            sum(phase != "DELETED" for phase, _ in state.values()) for state in view.states[low : high + 1]
        }
        if told not in counts:
            found.append(
                Breach(
                    "stale",
                    call.t,
                    agent,
                    f"INFO says members {told}, the list told has "
                    f"{' or '.join(str(n) for n in sorted(counts))}",
                )
            )
    return found


def _drains(case: Case, views: dict[str, View]) -> list[Breach]:
    grace = int(case.scenario.rules.drain_grace_ms * 1000) + SLACK_US
    bans = {agent: _bans(case, agent) for agent in views}
    found = []
    for rid, attempts in case.got.items():
        for got in attempts:
            if got.agent not in views:
                continue
            since = _gone_since(views[got.agent], got.who, got.began)
            why = "was told to be draining or gone"
            for begin, end in bans[got.agent].get(got.who, []):
                if begin <= got.began < end and begin < since:
                    since, why = begin, "was taken out at the door"
            if since == END_OF_TIME:
                continue
            for w in case.frozen(got.agent):
                if w.begin <= since + grace and w.end + WAKING_US > since:
                    since = max(since, w.end + WAKING_US)
            links = case.faults(got.agent, ("link",), "servers", got.who)
            delayed = any(w.meets(since, got.t) for w in links)
            if got.began > since + grace and not delayed:
                found.append(
                    Breach(
                        "drain",
                        got.began,
                        got.agent,
                        f"request {rid}: sent to {got.who} {(got.began - since) / 1e6:.2f} s after it {why}",
                    )
                )
    return found


def _gone_since(view: View, server: str, t: int) -> int:
    """When it was last told to be gone, if it is so still."""
    i = view.index(t)
    since = END_OF_TIME
    while i >= 0 and view.states[i].get(server, ("SERVING", 0))[0] in GONE:
        since = view.times[i]
        i -= 1
    return since


def _bans(case: Case, agent: str) -> dict[str, list[tuple[int, int]]]:
    """From the yes to the call that puts it back, or to the end of the agent's last process."""
    found: dict[str, list[tuple[int, int]]] = defaultdict(list)
    ends = sorted(
        life.ended
        for life in case.lives[agent]
        if not any(o.begun < life.ended < o.ended for o in case.lives[agent])
    )
    for call in case.door[agent]:
        word, _, server = call.call.partition(" ")
        if word == "DETACH" and call.answer.startswith("OK"):
            end = min(
                [c.asked for c in case.door[agent] if c.call == f"ATTACH {server}" and c.asked > call.t]
                + [e for e in ends if e > call.t],
                default=END_OF_TIME,
            )
            found[server].append((call.t, end))
    return found


def _cold(case: Case) -> list[Breach]:
    found = []
    for e in case.events:
        if not isinstance(e, h.Fell):
            continue
        started = next((life.unix_ms for life in case.lives[e.who] if life.number == e.life), 0)
        known = sum(work for agent, t, work in e.pressure if _knew(case, agent, e.who, started, t))
        total = sum(work for _, _, work in e.pressure)
        if total and known / total >= TOO_MUCH:
            found.append(
                Breach(
                    "cold",
                    e.t,
                    e.who,
                    f"fell over, cold, under {total / 1e6:.2f} s of work, "
                    f"{known / total:.0%} of it from agents that knew",
                )
            )
    return found


def _kept(case: Case) -> list[Breach]:
    """The list service has at the end what it said yes to, each member as it was written last."""
    written: dict[str, str] = {}
    found = []
    for e in case.events:
        if isinstance(e, h.Listed) and case.scenario.list_service:
            written.update((name, phase) for name, phase, _ in e.members)
        elif isinstance(e, h.Kept):
            owed = {name: phase for name, phase in written.items() if phase != "DELETED"}
            wrong = sorted(set(owed.items()) ^ set(e.members))
            if wrong:
                found.append(Breach("list", e.t, e.who, f"has not what it said yes to: {wrong[:3]}"))
    return found


def _followed(case: Case) -> list[Breach]:
    """What a reader has through followers is a state that was in force, never older than one it had."""
    in_force = _in_force(case)
    had: dict[str, tuple[str, int]] = {}
    has: dict[str, dict[str, str]] = defaultdict(dict)
    found = []
    for e in case.events:
        if not isinstance(e, h.Heard):
            continue
        identity, revision = had.get(e.who, ("", 0))
        if e.identity == identity and e.revision < revision:
            found.append(Breach("list", e.t, e.who, f"was told revision {e.revision} after {revision}"))
        had[e.who] = e.identity, e.revision
        state = has[e.who] = _laid_over({} if e.complete else has[e.who], e.members)
        owed = in_force.get(e.revision, state)
        if state != owed:
            wrong = sorted(set(owed.items()) ^ set(state.items()))
            found.append(
                Breach("list", e.t, e.who, f"has at {e.revision} what was not in force: {wrong[:3]}")
            )
    return found


def _in_force(case: Case) -> dict[int, dict[str, str]]:
    """The states that are known, by their revisions: up to the first that somebody else, as a lease, made."""
    listed = sorted((e for e in case.events if isinstance(e, h.Listed)), key=lambda e: e.revision)
    states: dict[int, dict[str, str]] = {}
    state: dict[str, str] = {}
    for n, e in enumerate(listed):
        if n and e.revision > listed[n - 1].revision + 1:
            break
        state = states[e.revision] = _laid_over(state, [(name, phase) for name, phase, _ in e.members])
    return states


def _laid_over(state: dict[str, str], changes: list[tuple[str, str]]) -> dict[str, str]:
    return {name: phase for name, phase in (state | dict(changes)).items() if phase != "DELETED"}


def _knew(case: Case, agent: str, server: str, started: int, t: int) -> bool:
    return any(told.t <= t and (server, "SERVING", started) in told.members for told in case.told[agent])
