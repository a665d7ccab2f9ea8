"""A history, arranged for those who judge it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from burlshift_tools.emulator.scenario import Class

from .. import history as h
from ..scenario import LabScenario

END_OF_TIME = 2**62
GONE = ("DRAINING", "DELETED")


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that broke: which, when by the run's clock in us, at whom, and what was seen."""

    rule: str
    t: int
    who: str
    what: str


@dataclass(frozen=True, slots=True)
class Window:
    """While something was wrong that an agent cannot help; kind as in the scenario."""

    begin: int
    end: int
    kind: str
    number: int
    detail: dict[str, object] = field(default_factory=dict)

    def meets(self, begin: int, end: int) -> bool:
        return self.begin <= end and begin <= self.end


@dataclass(slots=True)
class Life:
    """One process of an agent, or of a server."""

    who: str
    number: int
    begun: int
    unix_ms: int
    ready: int = END_OF_TIME
    ended: int = END_OF_TIME
    status: int = 0
    asked: bool = False
    stop: int = END_OF_TIME  # SIGTERM
    kill_us: int = 0


@dataclass(slots=True)
class Exchange:
    """A client's request and what became of it."""

    asked: h.Asked  # the last sending, where a client sent it once more
    askings: list[h.Asked] = field(default_factory=list)
    end: h.Answered | h.Unanswered | None = None
    resent: int = 0
    departed: h.Departed | None = None
    surplus: list[h.Surplus] = field(default_factory=list)

    @property
    def rid(self) -> str:
        return self.asked.rid

    @property
    def over(self) -> int:
        """When the agent's answer is too late to be one (STANDING: half a second beyond its time)."""
        return self.asked.t + self.asked.patience_us + LOST_US


LOST_US = 500_000
HOLD_UP_US = 200_000  # STANDING: an agent may be held up for 0.15 s; such a pause excuses nothing
PATHS = ("link", "reset", "half_open")


class Case:
    """One run: its scenario, and its events by what is asked of them."""

    def __init__(
        self,
        scenario: LabScenario,
        servers: dict[str, tuple[str, int]],
        begin: int,
        events: Sequence[h.AnyEvent],
    ) -> None:
        self.scenario, self.places, self.begin, self.events = scenario, servers, begin, events
        self.end = max((e.t for e in events), default=begin)
        self.lives: dict[str, list[Life]] = defaultdict(list)
        self.exchanges: dict[str, Exchange] = {}
        self.got: dict[str, list[h.Got]] = defaultdict(list)
        self.sent: dict[str, list[h.Sent]] = defaultdict(list)
        self.unreached: dict[tuple[str, int], list[int]] = defaultdict(list)  # agent, client's port: when
        self.reached: dict[tuple[str, int], list[int]] = defaultdict(list)  # likewise, when it was late
        self.turned: dict[tuple[str, str, int], int] = {}
        self.gave: dict[str, list[h.Gave]] = defaultdict(list)
        self.left: dict[str, list[h.Left]] = defaultdict(list)
        self.told: dict[str, list[h.Told]] = defaultdict(list)
        self.called: dict[str, list[h.Called]] = defaultdict(list)
        self.door: dict[str, list[h.Door]] = defaultdict(list)
        self.windows: list[tuple[Window, frozenset[str], frozenset[str], str]] = []
        self._sort()

    def _sort(self) -> None:
        began: dict[tuple[int, str, tuple[str, ...], tuple[str, ...]], h.Fault] = {}
        for e in self.events:
            match e:
                case h.Begun():
                    self.lives[e.who].append(Life(e.who, e.life, e.t, e.unix_ms))
                case h.Ready() | h.Ended() | h.Stop():
                    self._life(e)
                case h.Asked():
                    known = self.exchanges.get(e.rid)
                    if known is None:
                        self.exchanges[e.rid] = Exchange(e, [e])
                    else:
                        known.asked = e  # sent once more
                        known.askings.append(e)
                case h.Resent():
                    if e.rid in self.exchanges:
                        self.exchanges[e.rid].resent = e.t
                case h.Answered() | h.Unanswered():
                    if e.rid in self.exchanges:
                        self.exchanges[e.rid].end = e
                case h.Departed():
                    if e.rid in self.exchanges:
                        self.exchanges[e.rid].departed = e
                case h.Surplus():
                    if e.rid in self.exchanges:
                        self.exchanges[e.rid].surplus.append(e)
                case h.Sent():
                    self.sent[e.rid].append(e)
                case h.Unreached():
                    self.unreached[e.agent, e.port].append(e.t)
                case h.Reached():
                    self.reached[e.agent, e.port].append(e.t)
                case h.Got():
                    if not e.agent and e.rid in self.exchanges:  # it came without a relay
                        e.agent = self.exchanges[e.rid].asked.agent
                    self.got[e.rid].append(e)
                case h.Turned():
                    self.turned[e.rid, e.who, e.life] = e.t
                case h.Gave():
                    self.gave[e.rid].append(e)
                case h.Left():
                    self.left[e.rid].append(e)
                case h.Told():
                    if e.whole:
                        self.told[e.agent].append(e)
                case h.Called():
                    self.called[e.agent].append(e)
                case h.Door():
                    self.door[e.who].append(e)
                case h.Fault():
                    key = (e.number, e.kind, tuple(e.agents), tuple(e.servers))
                    if e.on:
                        began[key] = e
                    elif key in began:
                        self._window(began.pop(key), e.t)
        for fault in began.values():
            self._window(fault, END_OF_TIME)
        for exchange in self.exchanges.values():
            self._count_from_the_accept(exchange)

    def _count_from_the_accept(self, exchange: Exchange) -> None:
        """A request is taken once it is written to a connection that the agent has (PROTOCOL)."""
        asked = exchange.asked
        late = [t for t in self.reached[asked.agent, asked.port] if t >= asked.opened]
        if asked.fresh and late and late[0] > asked.t:
            exchange.asked = exchange.askings[-1] = msgspec.structs.replace(asked, t=late[0])

    def _life(self, e: h.Ready | h.Ended | h.Stop) -> None:
        life = next((one for one in self.lives[e.who] if one.number == e.life), None)
        if life is None:
            return
        if isinstance(e, h.Ready):
            life.ready = e.t
        elif isinstance(e, h.Stop):
            life.stop, life.kill_us = e.t, e.kill_us
        else:
            life.ended, life.status, life.asked = e.t, e.status, e.asked

    def _window(self, fault: h.Fault, end: int) -> None:
        window = Window(fault.t, end, fault.kind, fault.number, dict(fault.detail))
        self.windows.append((window, frozenset(fault.agents), frozenset(fault.servers), fault.path))

    # What is asked

    def cls(self, exchange: Exchange) -> Class:
        return self.scenario.cls[exchange.asked.cls]

    def faults(self, agent: str, kinds: Iterable[str], path: str = "", server: str = "") -> list[Window]:
        """Windows of these kinds that struck this agent, on that path, towards that server."""
        wanted = frozenset(kinds)
        return [
            w
            for w, agents, servers, on in self.windows
            if w.kind in wanted
            and agent in agents
            and (not path or on == path)
            and (not server or not servers or server in servers)
        ]

    def windows_of(self, agent: str) -> list[Window]:
        """All that struck the agent or its paths."""
        return [w for w, agents, _, _ in self.windows if agent in agents]

    def frozen(self, agent: str) -> list[Window]:
        """While a process of the agent stood still, or had been killed and was not ready again."""
        found = [w for w in self.faults(agent, ("pause",)) if w.detail.get("of", "agents") == "agents"]
        found += [w for w in self.faults(agent, ("upgrade",)) if w.detail.get("strike", "none") != "none"]
        lives = self.lives[agent]
        for life in lives:
            if life.status < 0 and life.ended < END_OF_TIME:
                later = [o.ready for o in lives if o.begun >= life.begun and o is not life]
                up = any(o.ready <= life.ended < o.ended for o in lives if o is not life)
                end = life.ended if up else min((r for r in later if r >= life.ended), default=END_OF_TIME)
                found.append(Window(life.ended - 50_000, end, "killed", -1))
        return found

    def hindered(self, agent: str, begin: int, end: int) -> bool:
        """Whether the agent, or the way from its clients to it, was struck meanwhile."""
        frozen = [w for w in self.frozen(agent) if w.kind != "pause" or w.end - w.begin > HOLD_UP_US]
        windows = frozen + self.faults(agent, PATHS, "clients")
        return any(w.meets(begin, end) for w in windows)

    def corrupted(self, agent: str, begin: int, end: int) -> bool:
        """Whether a byte may have been changed on the way, to servers or clients."""
        return any(w.detail.get("corrupt") and w.meets(begin, end) for w in self.faults(agent, ("link",)))

    def may_have_run(self, attempt: h.Got) -> bool:
        return (attempt.rid, attempt.who, attempt.life) not in self.turned

    def lives_at(self, agent: str, t: int) -> list[Life]:
        return [life for life in self.lives[agent] if life.begun <= t < life.ended]

    def seconds(self, t: int) -> float:
        return (t - self.begin) / 1e6


def figure(text: str, name: str) -> int | None:
    """One of the figures that INFO gives."""
    for line in text.splitlines():
        if line.startswith(f"agent.{name}:"):
            return int(line.partition(":")[2].partition("|")[0])
    return None
