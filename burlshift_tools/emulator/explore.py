"""Every interleaving of a small world of members, with the core that runs in service, up to a bound.

A state is what each member holds, what is in the air, and which faults are left. From each, every timer may
fire and every message arrive next: no assumption on speeds, a time-out may always come before the answer.
States are hashed with times taken relative to each member's own clock. In each it is looked at that nothing
goes back and nobody knows what was never said (safety); from a share of them all faults end and time runs
as it should, and then the living must come to agree within a bounded time (liveness).
"""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush
from typing import NamedTuple

from burlshift.membership.messages import Action, Kind, MemberUpdate, Message, Send
from burlshift.membership.record import Record, Status
from burlshift.membership.swim import Membership, Timing

SIZE = 3
AIR = 3  # messages under way at once: a timer does not fire beyond that
DELAY_US = 2_000  # of a message once faults have ended
STOOD_US = 10_000_000  # how long a pause is
BOUND_PERIODS = 150  # within which the living agree once faults have ended
LASTS_PERIODS = 8  # and so long they then go on agreeing
TIMING = Timing(min_suspicion_periods=0.2, max_suspicion_multiple=2.0)  # so that a death is few steps away


def first() -> float:
    """In the place of chance: the order of things does not matter to what is asked here."""
    return 0.0


class NotRaised(Membership):
    """Planted: refuting does not raise the incarnation."""

    def _refute(self, claimant: int, incarnation: int) -> None:
        super()._refute(claimant, self.incarnation)


class DeathWins(Membership):
    """Planted: a death beats a newer incarnation."""

    def _receive_own_record(self, m: Message) -> None:
        held = self.peers[m.sender].record
        if held.status is not Status.DEAD or m.start > held.start:
            super()._receive_own_record(m)


class Hearsay(Membership):
    """Planted: what one other says is believed at once."""

    def _receive_claim(self, claimant: int, update: object) -> None:
        super()._receive_claim(claimant, update)  # type: ignore[arg-type]
        super()._receive_claim(-1, update)  # type: ignore[arg-type]


AS_IT_IS = "as-it-is"
PLANTED: dict[str, type[Membership]] = {"not-raised": NotRaised, "death-wins": DeathWins, "hearsay": Hearsay}
CORES: dict[str, type[Membership]] = {AS_IT_IS: Membership, **PLANTED}


class Faults(NamedTuple):
    """How many may still come, and at whom they are.

    `apart` is the member that is cut off, `stopped` the one that stands still, and `liar` the one whose
    messages say that all others are dead, each -1 if there is none.
    """

    crashes: int = 1
    pauses: int = 1
    splits: int = 1
    losses: int = 1
    copies: int = 1
    apart: int = -1
    stopped: int = -1
    liar: int = -1


NONE = Faults(0, 0, 0, 0, 0)
WORLDS = {
    "crash": NONE._replace(crashes=1),
    "pause": NONE._replace(pauses=1),
    "split": NONE._replace(splits=1),
    "loss": NONE._replace(losses=2, copies=1),
    "liar": NONE._replace(liar=0, losses=1),
    "all": Faults(),
}


@dataclass(frozen=True, slots=True)
class State:
    """A state of the search: members, messages in flight, faults left."""

    members: tuple[bytes | None, ...]  # None: it has crashed
    air: tuple[tuple[int, Message], ...]  # to whom, what
    faults: Faults
    key: int


class Broken(Exception):
    """A property does not hold; the text says which and how."""


@dataclass(slots=True)
class Report:
    """What was explored; `story` is the way to what broke, if anything did."""

    states: int = 0  # all of whose steps were taken
    reached: int = 1
    steps: int = 0
    depth: int = 0
    settled: int = 0  # states from which it was seen that the living come to agree
    periods: float = 0.0  # the longest that took
    broken: str = ""
    story: tuple[str, ...] = ()
    whole: bool = False  # nothing was left to explore within the bounds


class Explorer:
    """Breadth first, so that what breaks is found by the shortest way."""

    def __init__(self, core: type[Membership], faults: Faults, settle_every: int = 20) -> None:
        self.core, self.faults, self.every = core, faults, settle_every
        self.report = Report()
        self._forms: dict[bytes, tuple[object, ...]] = {}
        self._came: dict[int, tuple[int, str]] = {}

    def run(self, most: int) -> Iterator[Report]:
        """Explore so many states; yields now and then, and at the end."""
        report, begin = self.report, self._begin()
        frontier: deque[tuple[State, int]] = deque([(begin, 0)])
        self._came[begin.key] = (0, "")
        while frontier and report.states < most:
            state, depth = frontier.popleft()
            report.states += 1
            report.depth = max(report.depth, depth)
            try:
                if report.states % self.every == 1:
                    self._settles(state)
                for step, after in self._steps(state):
                    report.steps += 1
                    if after.key not in self._came:
                        self._came[after.key] = (state.key, step)
                        report.reached += 1
                        frontier.append((after, depth + 1))
            except Broken as e:
                report.broken, report.story = str(e), self._story(state.key)
                yield report
                return
            if report.states % 1000 == 0:
                yield report
        report.whole = not frontier
        yield report

    def _story(self, key: int) -> tuple[str, ...]:
        steps = []
        while self._came[key][1]:
            key, step = self._came[key]
            steps.append(step)
        return tuple(reversed(steps))

    # States

    def _begin(self) -> State:
        """All know one another; nothing is in the air."""
        members = [self.core(i, SIZE, 1 + i, first, TIMING) for i in range(SIZE)]
        for m in members:
            m.begin(0)
            for i, peer in m.peers.items():
                m._adopt(i, Record(1 + i, 0, Status.ALIVE))
                peer.gossip_count = -1
            m._gossip_queue.clear()
        return self._state(tuple(pickle.dumps(m) for m in members), (), self.faults)

    def _state(
        self, members: tuple[bytes | None, ...], air: tuple[tuple[int, Message], ...], faults: Faults
    ) -> State:
        forms = tuple(None if m is None else self._form(m) for m in members)
        seqs = {i: form[0] for i, form in enumerate(forms) if form is not None}
        flying = sorted(
            (
                to,
                m.kind,
                m.sender,
                m.start,
                m.incarnation,
                _relative(to, m, seqs),
                m.about,
                m.digest,
                tuple((f.member, f.record) for f in m.updates),
            )
            for to, m in air
        )
        key = hash((tuple(form and form[1:] for form in forms), tuple(flying), faults))
        return State(members, air, faults, key)

    def _form(self, data: bytes) -> tuple[object, ...]:
        """A member, times relative to its own clock and sequence numbers to its last; that comes first."""
        if data not in self._forms:
            if len(self._forms) > 50_000:
                self._forms.clear()
            self._forms[data] = _form(pickle.loads(data))
        return self._forms[data]

    # Steps

    def _steps(self, state: State) -> Iterator[tuple[str, State]]:
        faults = state.faults
        for i, data in enumerate(state.members):
            if data is None or i == faults.stopped:
                continue
            if len(state.air) <= AIR:
                yield (
                    f"the timer of {i} fires",
                    self._do(state, i, state.air, lambda m: m.tick(m.next_tick_at)),
                )
            if faults.crashes:
                yield (
                    f"{i} crashes",
                    self._with(state, i, None, state.air, faults._replace(crashes=faults.crashes - 1)),
                )
            if faults.pauses and faults.stopped < 0:
                yield (
                    f"{i} stands still",
                    self._state(
                        state.members, state.air, faults._replace(pauses=faults.pauses - 1, stopped=i)
                    ),
                )
            if faults.splits and faults.apart < 0:
                yield (
                    f"{i} is cut off",
                    self._state(state.members, state.air, faults._replace(splits=faults.splits - 1, apart=i)),
                )
        if faults.apart >= 0:
            yield (
                f"{faults.apart} is back on the network",
                self._state(state.members, state.air, faults._replace(apart=-1)),
            )
        if faults.stopped >= 0 and state.members[faults.stopped] is not None:
            yield f"{faults.stopped} goes on", self._resumed(state)
        for n, (to, message) in enumerate(state.air):
            rest = state.air[:n] + state.air[n + 1 :]
            said = f"{message.kind.name} from {message.sender} to {to}"
            if state.members[to] is None:
                yield f"{said} finds nobody", self._state(state.members, rest, faults)
            elif to != faults.stopped:
                yield f"{said} arrives", self._do(state, to, rest, partial(_hears, message))
            if faults.losses:
                yield (
                    f"{said} is lost",
                    self._state(state.members, rest, faults._replace(losses=faults.losses - 1)),
                )
            if faults.copies:
                yield (
                    f"{said} comes twice",
                    self._state(
                        state.members, (*state.air, (to, message)), faults._replace(copies=faults.copies - 1)
                    ),
                )

    def _resumed(self, state: State) -> State:
        """Its clock has gone on, and its timers are late."""
        i = state.faults.stopped
        data = state.members[i]
        assert data is not None
        member = pickle.loads(data)
        member._now += STOOD_US
        late = self._with(state, i, pickle.dumps(member), state.air, state.faults._replace(stopped=-1))
        return self._do(late, i, late.air, lambda m: m.tick(m._now))

    def _with(
        self, state: State, i: int, data: bytes | None, air: tuple[tuple[int, Message], ...], faults: Faults
    ) -> State:
        return self._state(state.members[:i] + (data,) + state.members[i + 1 :], air, faults)

    def _do(
        self,
        state: State,
        i: int,
        air: tuple[tuple[int, Message], ...],
        event: Callable[[Membership], list[Action]],
    ) -> State:
        data = state.members[i]
        assert data is not None
        member: Membership = pickle.loads(data)
        before = {j: p.record for j, p in member.peers.items()}
        own = member.incarnation
        actions = event(member)
        if member.incarnation < own or any(p.record < before[j] for j, p in member.peers.items()):
            raise Broken(f"what {i} knows went back")
        sent = [(a.to, _said(a.message, member, state.faults)) for a in actions if isinstance(a, Send)]
        apart = state.faults.apart
        passing = [(to, m) for to, m in sent if apart < 0 or (to == apart) == (i == apart)]
        after = self._with(state, i, pickle.dumps(member), (*air, *passing), state.faults)
        self._check(after)
        return after

    def _check(self, state: State) -> None:
        """Nobody knows of an incarnation that its member never named."""
        loaded = [None if m is None else self._form(m) for m in state.members]
        for i, form in enumerate(loaded):
            if form is None:
                continue
            for j, record in form[1]:  # type: ignore[attr-defined]
                own = loaded[j]
                if own is not None and (record.start, record.incarnation) > own[2]:
                    raise Broken(f"{i} knows of {j} what it never said: {record}")

    # Once faults have ended

    def _settles(self, state: State) -> None:
        """The living agree within a bounded time on who lives and who does not, and go on agreeing."""
        members: dict[int, Membership] = {
            i: pickle.loads(data) for i, data in enumerate(state.members) if data is not None
        }
        honest = {i for i in members if i != state.faults.liar}
        shift = {i: -m._now + (STOOD_US if i == state.faults.stopped else 0) for i, m in members.items()}
        queue = [(0, n, to, message) for n, (to, message) in enumerate(state.air)]
        count, now = len(queue), 0
        bound = BOUND_PERIODS * TIMING.period_us
        agreed = -1  # since when
        while agreed < 0 or now < agreed + LASTS_PERIODS * TIMING.period_us:
            if not _agree(members, honest):
                agreed = -1  # a probe that a fault had struck may still come to its end
            elif agreed < 0:
                agreed = now
            due, i = min((m.next_tick_at + shift[i], i) for i, m in members.items())
            if queue and queue[0][0] <= due:
                now, _, to, message = heappop(queue)
                actions = members[to].receive(now - shift[to], message) if to in members else []
                i = to
            else:
                now = max(now, due)
                actions = members[i].tick(now - shift[i])
            if now > bound:
                raise Broken(f"{BOUND_PERIODS} periods after the last fault: {_views(members)}")
            for a in actions:
                if isinstance(a, Send):
                    count += 1
                    said = _said(a.message, members[i], state.faults)
                    heappush(queue, (now + DELAY_US, count, a.to, said))
        self.report.settled += 1
        self.report.periods = max(self.report.periods, agreed / TIMING.period_us)


def _hears(message: Message, member: Membership) -> list[Action]:
    return member.receive(member._now, message)


def _said(m: Message, by: Membership, faults: Faults) -> Message:
    """What a liar says: all others are dead, as far as it knows them."""
    if m.sender != faults.liar:
        return m
    lies = tuple(MemberUpdate(j, peer.record._replace(status=Status.DEAD)) for j, peer in by.peers.items())
    return replace(m, updates=lies)


def _relative(to: int, m: Message, seqs: dict[int, object]) -> int:
    """A sequence number counts back from the last of the member that gave it."""
    owner = m.sender if m.kind in (Kind.PING, Kind.ASK) else to
    last = seqs.get(owner)
    return m.seq - last if isinstance(last, int) else 0


def _form(m: Membership) -> tuple[object, ...]:
    now, probe = m._now, m._probe
    under_way = (
        None
        if probe is None
        else (probe.member, probe.seq - m._seq, probe.sent_at - now, probe.indirect_sent, probe.nack_received)
    )
    errands = tuple(
        sorted((seq - m._seq, e.origin, e.member, e.nack_at - now) for seq, e in m._relayed_probes.items())
    )
    peers = tuple(
        (
            j,
            p.claims.first,
            p.claims.second,
            frozenset(p.suspecting_members),
            p.gossip_count,
            (p.suspected_at - now, p.suspicion_ends_at - now, p.notices_sent, p.next_notice_at - now)
            if j in m._suspected
            else 0,
        )
        for j, p in m.peers.items()
    )
    news = tuple((told, j) for told, _, j in sorted(m._gossip_queue) if m.peers[j].gossip_count == told)
    own = (
        m.local_health,
        m.inactive,
        m._next_period_at - now,
        max(0, m._digest_mismatch_until - now),
        m._fill_position,
        m._probes_since_dead,
        m._acknowledged,
        frozenset(m._suspected_by),
        m._own_claims.first,
        m._own_claims.second,
    )
    records = tuple((j, p.record) for j, p in m.peers.items())
    return (
        m._seq,
        records,
        (m.start, m.incarnation),
        own,
        under_way,
        errands,
        peers,
        news,
        tuple(m._probe_round),
        tuple(m._dead_probe_round),
    )


def _agree(members: dict[int, Membership], honest: set[int]) -> bool:
    return all(
        (m.status(j) is Status.ALIVE) if j in members else m.status(j) is Status.DEAD
        for i, m in members.items()
        if i in honest
        for j in m.peers
    )


def _views(members: dict[int, Membership]) -> str:
    def word(status: Status | None) -> str:
        return "unknown" if status is None else status.name.lower()

    return "; ".join(
        f"{i} holds " + ", ".join(f"{j} {word(m.status(j))}" for j in m.peers) for i, m in members.items()
    )
