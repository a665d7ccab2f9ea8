"""Membership of a fleet whose size is known: one event-driven object for each member.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, directly and, if it does not acknowledge,
indirectly through others; membership updates are piggybacked on these messages. Suspicion and incarnations
are those of its section 4.2. Lifeguard (Dadgar, Phillips, Currey 2018): a member that is slow itself
lengthens its time-outs (local health), a suspicion becomes shorter as others confirm it, and a suspected
member is notified first (buddy system).

Differences, and the reasons: members are numbered from 0 to size - 1, which the settings give, so there is no
joining through a seed. A claim by one other member is not believed until a second makes it (`record.py`).
Some probes go to dead members, because two partitions that each took the other for dead would never merge
again otherwise. A process that was paused extends all deadlines that passed meanwhile, because the missing
messages are due to its own pause.

Times are integer microseconds of any monotonic clock that the caller passes in. Neither they nor ages are
sent to other members.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import ceil, log, log10
from zlib import crc32

from .messages import Action, AliveEstimate, Kind, MemberUpdate, Message, Send, StatusChanged
from .record import NO_RECORD, Claims, Record, Status

US_PER_MS = 1000
INDIRECT_PROBES = 3  # members asked to probe one that does not acknowledge (SWIM, k)
MAX_LOCAL_HEALTH = 8  # local health multiplies time-outs by 1 to 9 (Lifeguard, S)
MAX_CONFIRMATIONS = 3  # number of suspecting members at which a suspicion is shortest (Lifeguard, K)
GOSSIP_FACTOR = 3.0  # each update is sent GOSSIP_FACTOR x log10(n + 1) times (SWIM, lambda)
DEAD_PROBE_INTERVAL = 4  # one probe in this many goes to a dead member
EARLY_NOTICES = 4  # notices to a suspect that are sent one period apart
LATE_NOTICE_PERIODS = 4  # periods between the notices after those
MAX_UPDATES = 17  # in one message: as many as 256 bytes hold
ANTI_ENTROPY_PERIODS = 2  # after a digest mismatch, in which messages are filled with older records
MAX_RELAYED_PROBES = 4 * INDIRECT_PROBES  # at the same time
RELAY_NACK_SHARE = 0.8  # of the acknowledgement time-out; the origin of a relayed probe is sent a NACK then
FILL_SCAN_LIMIT = 4 * MAX_UPDATES  # members examined to fill one message
SEQ_MODULUS = 2**32
MAX_INCARNATION = 2**32 - 1
MAX_SIZE = 0xFFFF  # member numbers have 16 bits on the wire
START_LIMIT = 2**48  # starts are below it: 48 bits on the wire


@dataclass(frozen=True, slots=True)
class Timing:
    """Periods and time-outs of the protocol. Raises ValueError if the time-out does not fit the period."""

    period_us: int = 500 * US_PER_MS  # from one probe to the next
    ack_timeout_us: int = 150 * US_PER_MS  # until an unacknowledged probe is repeated through others
    min_suspicion_periods: float = 4.0  # the shortest suspicion, in a fleet of up to ten (Lifeguard, alpha)
    max_suspicion_multiple: float = 6.0  # the longest, as a multiple of the shortest (Lifeguard, beta)

    def __post_init__(self) -> None:
        if not 0 < 2 * self.ack_timeout_us < self.period_us:
            raise ValueError("ack_timeout_us must be above 0 and less than half of period_us")


TIMING = Timing()


class Peer:
    """The state kept for another member."""

    __slots__ = (
        "record",
        "claims",
        "suspecting_members",
        "suspected_at",
        "suspicion_ends_at",
        "notices_sent",
        "next_notice_at",
        "gossip_count",
        "last_message_at",
    )

    def __init__(self) -> None:
        self.record, self.claims = NO_RECORD, Claims()
        self.suspecting_members: set[int] = set()  # of the current suspicion; MAX_CONFIRMATIONS at most
        self.suspected_at = self.suspicion_ends_at = 0  # 0: never suspected
        self.notices_sent = self.next_notice_at = 0  # to the member, of its suspicion
        self.gossip_count = -1  # times its record was piggybacked; -1: not being disseminated
        self.last_message_at = 0  # from the member itself; 0: none


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    member: int
    seq: int
    sent_at: int
    indirect_sent: bool = False  # indirect probes were requested
    nack_received: bool = False  # from one of the members asked for an indirect probe


@dataclass(slots=True)
class RelayedProbe:
    """A probe that another member asked for."""

    origin: int
    seq: int  # of the origin's ASK
    member: int
    nack_at: int


class Membership:
    """The protocol state of one member. Each event returns the actions to carry out, in order."""

    def __init__(
        self, me: int, size: int, start: int, random: Callable[[], float], timing: Timing = TIMING
    ) -> None:
        """Create a member of a fleet.

        `me` is this member's number. `start` must be above that of every earlier process of this number.
        `random` draws uniformly from [0, 1). Raises ValueError for numbers out of range.
        """
        if not 0 <= me < size or size > MAX_SIZE:
            raise ValueError(f"me must be in 0..size - 1, and size must be at most {MAX_SIZE}: {me}, {size}")
        if not 0 < start < START_LIMIT:
            raise ValueError(f"start must be above 0 and below 2**48: {start}")
        self.me, self.size, self.start, self.timing = me, size, start, timing
        self.incarnation = 0
        self.peers = {i: Peer() for i in range(size) if i != me}
        self.superseded = False  # a later process of this number exists
        self.inactive = False  # superseded, or has left: sends nothing more
        self.local_health = 0
        # Suspicions refuted, and messages from superseded processes.
        self.refutation_count = self.outdated_count = 0
        self._random = random
        self._now = 0
        self._seq = int(random() * SEQ_MODULUS)
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, RelayedProbe] = {}
        self._suspected: dict[int, None] = {}
        self._alive_count = 0  # others known to be alive
        self._own_claims, self._suspected_by = Claims(), set[int]()  # claims by others about this one
        self._acknowledged = False  # a member has acknowledged this process as the latest
        self._probe_round: list[int] = []  # members still to be probed in this round
        self._dead_probe_round: list[int] = []
        self._probes_since_dead = 0
        self._gossip_queue: list[tuple[int, int, int]] = []  # a heap: times sent, order, member
        self._gossip_order = 0
        self._digest = _digest(me, Record(start, 0, Status.ALIVE))  # of all records, its own included
        self._digest_mismatch_until = 0  # messages carry older records until then
        self._fill_position = 0
        self._next_period_at = 0
        self._actions: list[Action] = []

    # State

    def alive_estimate(self, now: int) -> AliveEstimate:
        """Bounds on the number of members alive at the time `now`."""
        alive = [p for p in self.peers.values() if p.record.status is Status.ALIVE and p.record != NO_RECORD]
        ended_count = sum(p.record.status >= Status.DEAD for p in self.peers.values())
        age_us = max((now - p.last_message_at for p in alive if p.last_message_at), default=0)
        return AliveEstimate(1 + len(alive), self.size - ended_count, age_us)

    def status(self, member: int) -> Status | None:
        """The status of another member; None if it is unknown."""
        record = self.peers[member].record
        return None if record == NO_RECORD else record.status

    @property
    def next_tick_at(self) -> int:
        """The time at which `tick` is due."""
        due_at = self._next_period_at
        if self._probe is not None and not self._probe.indirect_sent:
            due_at = min(due_at, self._probe.sent_at + self._scaled(self.timing.ack_timeout_us))
        for relayed in self._relayed_probes.values():
            due_at = min(due_at, relayed.nack_at)
        for member in self._suspected:
            peer = self.peers[member]
            due_at = min(due_at, peer.suspicion_ends_at, peer.next_notice_at)
        return due_at

    # Events

    def begin(self, now: int) -> list[Action]:
        """The first event. The first probe is sent at a random time within one period."""
        self._now, self._actions = now, []
        self._next_period_at = now + 1 + int(self._random() * self.timing.period_us)
        return self._actions

    def tick(self, now: int) -> list[Action]:
        """Do what is due at the time `now`: send NACKs, end suspicions, notify suspects, and probe."""
        late_us, self._now, self._actions = now - self.next_tick_at, now, []
        if self.inactive or late_us < 0:
            return self._actions
        if late_us > self.timing.period_us:
            self._discount_pause(late_us)
        for seq, relayed in [(s, e) for s, e in self._relayed_probes.items() if e.nack_at <= now]:
            del self._relayed_probes[seq]
            self._send(relayed.origin, Kind.NACK, relayed.seq, relayed.member)
        for member in [m for m in self._suspected if self.peers[m].suspicion_ends_at <= now]:
            record = self.peers[member].record
            self._adopt(member, record._replace(status=Status.DEAD))
        for member in [m for m in self._suspected if self.peers[m].next_notice_at <= now]:
            self._notify_suspect(member)
        probe = self._probe
        if (
            probe is not None
            and not probe.indirect_sent
            and now >= probe.sent_at + self._scaled(self.timing.ack_timeout_us)
        ):
            self._probe_indirectly(probe)
        if now >= self._next_period_at:
            self._end_probe()
            self._begin_probe()
        return self._actions

    def receive(self, now: int, message: Message) -> list[Action]:
        """Handle a message. No content, valid or not, breaks the invariants of this object."""
        self._now, self._actions = now, []
        if self.inactive or message.sender not in self.peers:
            return self._actions
        known = self.peers[message.sender].record
        if message.start < known.start:
            # From a superseded process, or from a later one whose clock was set back. The ACK carries the
            # latest record known here, a claim that the sender handles like any other.
            self.outdated_count += 1
            if message.kind is Kind.PING:
                self._send(message.sender, Kind.ACK, message.seq, outdated=True)
            return self._actions
        if message.digest != self._digest:
            self._digest_mismatch_until = now + ANTI_ENTROPY_PERIODS * self.timing.period_us
        for update in message.updates:
            if update.member == self.me:
                self._receive_claim_about_self(message.sender, update.record)
            elif update.member in self.peers and update.member != message.sender:
                self._receive_claim(message.sender, update)
        self._receive_own_record(message)
        if not self.inactive:
            self._handle(message)
        return self._actions

    def leave(self, now: int) -> list[Action]:
        """End on purpose: send LEAVE to some members, which disseminate it."""
        self._now, self._actions = now, []
        if not self.inactive:
            for member in self._random_members(
                max(INDIRECT_PROBES, self._gossip_limit()), self._is_known_alive
            ):
                self._send(member, Kind.LEAVE, 0)
            self.inactive = True
        return self._actions

    # Messages

    def _receive_own_record(self, message: Message) -> None:
        """Update the record of the sender from its own message."""
        peer = self.peers[message.sender]
        status = Status.LEFT if message.kind is Kind.LEAVE else Status.ALIVE
        sender_record = Record(message.start, message.incarnation, status)
        if sender_record > peer.record:
            self._adopt(message.sender, sender_record)
        if sender_record >= peer.record:
            peer.last_message_at = self._now

    def _handle(self, message: Message) -> None:
        if message.kind is Kind.PING:
            self._send(message.sender, Kind.ACK, message.seq)
        elif message.kind is Kind.ASK:
            if (
                message.about in self.peers
                and message.about != message.sender
                and len(self._relayed_probes) < MAX_RELAYED_PROBES
            ):
                seq = self._new_seq()
                nack_delay_us = int(RELAY_NACK_SHARE * self._scaled(self.timing.ack_timeout_us))
                self._relayed_probes[seq] = RelayedProbe(
                    message.sender, message.seq, message.about, self._now + nack_delay_us
                )
                self._send(message.about, Kind.PING, seq)
        elif message.kind is Kind.ACK:
            self._handle_ack(message)
        elif message.kind is Kind.NACK and self._probe is not None and self._probe.seq == message.seq:
            self._probe.nack_received = True

    def _handle_ack(self, message: Message) -> None:
        relayed = self._relayed_probes.pop(message.seq, None)
        if relayed is not None and relayed.member == message.sender:
            self._send(relayed.origin, Kind.ACK, relayed.seq, relayed.member)
        elif relayed is not None:
            self._relayed_probes[message.seq] = relayed
        probe = self._probe
        if probe is None or probe.seq != message.seq:
            return
        if message.sender == probe.member:
            self._acknowledged = self._acknowledged or not self._reports_later_process(message)
        elif not probe.indirect_sent or message.about != probe.member:
            return
        self._probe = None
        self.local_health = max(0, self.local_health - 1)

    def _reports_later_process(self, message: Message) -> bool:
        """Whether the sender knows of a later process of this member."""
        return any(
            update.member == self.me and update.record.start > self.start for update in message.updates
        )

    def _send(self, to: int, kind: Kind, seq: int, about: int = 0, outdated: bool = False) -> None:
        """`outdated`: the receiver is not the latest process of its member, and is sent the latest record."""
        updates = self._select_updates(to, outdated)
        self._actions.append(
            Send(to, Message(kind, self.me, self.start, self.incarnation, seq, about, self._digest, updates))
        )

    def _select_updates(self, to: int, outdated: bool) -> tuple[MemberUpdate, ...]:
        """The record of the receiver, if it has to be refuted, then the updates sent least often."""
        updates = []
        receiver_record = self.peers[to].record
        if outdated or receiver_record.status is not Status.ALIVE:
            updates.append(MemberUpdate(to, receiver_record))  # the buddy system
        limit, requeued = self._gossip_limit(), []
        while self._gossip_queue and len(updates) < MAX_UPDATES:
            count, order, member = heappop(self._gossip_queue)
            peer = self.peers[member]
            if peer.gossip_count != count:
                continue  # replaced by a later update
            if member != to:
                updates.append(MemberUpdate(member, peer.record))
                peer.gossip_count = count + 1
            if peer.gossip_count < limit:
                requeued.append((peer.gossip_count, order, member))
            else:
                peer.gossip_count = -1
        for entry in requeued:
            heappush(self._gossip_queue, entry)
        if self._now < self._digest_mismatch_until:
            self._fill(to, updates)
        return tuple(updates)

    def _fill(self, to: int, updates: list[MemberUpdate]) -> None:
        """Add older records in turn (anti-entropy): all transmissions of an update may have been lost."""
        included = {to, *(update.member for update in updates)}
        for _ in range(min(self.size, FILL_SCAN_LIMIT)):
            if len(updates) >= MAX_UPDATES:
                return
            self._fill_position = (self._fill_position + 1) % self.size
            peer = self.peers.get(self._fill_position)
            if peer is not None and peer.record != NO_RECORD and self._fill_position not in included:
                updates.append(MemberUpdate(self._fill_position, peer.record))

    # Claims by other members

    def _receive_claim(self, claimant: int, update: MemberUpdate) -> None:
        peer, record = self.peers[update.member], update.record
        peer.claims.add(claimant, record)
        corroborated = peer.claims.corroborated()
        if corroborated > peer.record:
            self._adopt(update.member, corroborated)
        suspects = record.status is not Status.ALIVE and record.same_incarnation(peer.record)
        if suspects and update.member in self._suspected:
            self._confirm_suspicion(peer, claimant)

    def _receive_claim_about_self(self, claimant: int, record: Record) -> None:
        """Handle a claim by another member about this one: refute a suspicion, or detect another process."""
        self._own_claims.add(claimant, record)
        corroborated = self._own_claims.corroborated()
        if len(self.peers) == 1 and record.start > self.start and not self._acknowledged:
            corroborated = record  # no second claimant exists, and starting above the claim does no harm
        if corroborated.start > self.start:
            # Two members claim a process of this member with a later start. If no member has acknowledged
            # this process, the claimed one came before it and the clock was set back since: this process
            # takes a start above the claim. Otherwise the claimed process is the later one, and supersedes
            # this one.
            if self._acknowledged or corroborated.start >= START_LIMIT - 1:
                self.superseded = self.inactive = True
                return
            self._set_own_version(corroborated.start + 1, 0)
            self._own_claims.clear()
        elif record.start == self.start and record.status is not Status.ALIVE:
            # Only this member raises its incarnation: a claim of a higher one by a single claimant is false.
            if record.incarnation == self.incarnation < MAX_INCARNATION:
                self._refute(claimant, self.incarnation + 1)
            elif (
                corroborated.start == self.start
                and self.incarnation < corroborated.incarnation < MAX_INCARNATION
            ):
                self._refute(claimant, corroborated.incarnation + 1)

    def _set_own_version(self, start: int, incarnation: int) -> None:
        previous = Record(self.start, self.incarnation, Status.ALIVE)
        self.start, self.incarnation = start, incarnation
        self._digest ^= _digest(self.me, previous) ^ _digest(
            self.me, Record(start, incarnation, Status.ALIVE)
        )

    def _refute(self, claimant: int, incarnation: int) -> None:
        self._set_own_version(self.start, incarnation)
        self.refutation_count += 1
        self._suspected_by.add(claimant)
        if len(self._suspected_by) >= 2:  # a single false claimant must not lengthen this member's time-outs
            self._suspected_by.clear()
            self._worsen_local_health()

    def _adopt(self, member: int, record: Record) -> None:
        """Store a record of a member and start to disseminate it."""
        peer = self.peers[member]
        previous, peer.record = peer.record, record
        self._alive_count += (record.status is Status.ALIVE) - (
            previous != NO_RECORD and previous.status is Status.ALIVE
        )
        self._digest ^= (_digest(member, previous) if previous != NO_RECORD else 0) ^ _digest(member, record)
        if record.status is Status.SUSPECT:
            self._suspected[member] = None
            peer.suspecting_members, peer.suspected_at = set(), self._now
            for kept in (peer.claims.first, peer.claims.second):
                if (
                    kept is not None
                    and kept[0].same_incarnation(record)
                    and kept[0].status is not Status.ALIVE
                ):
                    peer.suspecting_members.add(kept[1])
            peer.suspicion_ends_at = self._now + self._suspicion_us(len(peer.suspecting_members))
            peer.notices_sent, peer.next_notice_at = 0, self._now
        elif member in self._suspected:
            del self._suspected[member]
        peer.gossip_count = 0
        self._gossip_order += 1
        heappush(self._gossip_queue, (0, self._gossip_order, member))
        if previous == NO_RECORD or previous.status is not record.status:
            self._actions.append(StatusChanged(member, record.status, previous.status))

    # Suspicion

    def _confirm_suspicion(self, peer: Peer, claimant: int) -> None:
        if claimant not in peer.suspecting_members and len(peer.suspecting_members) < MAX_CONFIRMATIONS:
            peer.suspecting_members.add(claimant)
            peer.suspicion_ends_at = min(
                peer.suspicion_ends_at,
                max(self._now, peer.suspected_at + self._suspicion_us(len(peer.suspecting_members))),
            )

    def _suspicion_us(self, suspecting_count: int) -> int:
        """Length of a suspicion: the longest without confirmations, down to the shortest (Lifeguard, 4.2)."""
        timing = self.timing
        shortest = timing.min_suspicion_periods * max(1.0, log10(self.size)) * timing.period_us
        max_confirmations = min(
            MAX_CONFIRMATIONS, self._alive_count
        )  # a small fleet has no more members that could confirm
        share = min(1.0, log(suspecting_count + 1) / log(max_confirmations + 1)) if max_confirmations else 1.0
        return int(shortest * (timing.max_suspicion_multiple - (timing.max_suspicion_multiple - 1.0) * share))

    def _notify_suspect(self, member: int) -> None:
        """Notify a member of its suspicion.

        Lifeguard notifies a member when it is next probed. In a fleet of 100 that was too late: with a loss
        of 10% of the datagrams each member was falsely declared dead 20 times an hour.
        """
        peer = self.peers[member]
        peer.notices_sent += 1
        periods = 1 if peer.notices_sent < EARLY_NOTICES else LATE_NOTICE_PERIODS
        peer.next_notice_at = self._now + periods * self.timing.period_us
        self._send(member, Kind.PING, self._new_seq())

    def _worsen_local_health(self) -> None:
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    def _scaled(self, duration_us: int) -> int:
        return duration_us * (1 + self.local_health)

    def _gossip_limit(self) -> int:
        return ceil(GOSSIP_FACTOR * log10(self.size + 1))

    # Probing

    def _begin_probe(self) -> None:
        self._next_period_at = self._now + self._scaled(self.timing.period_us)
        member = self._choose_probe_target()
        if member is not None:
            self._probe = Probe(member, self._new_seq(), self._now)
            self._send(member, Kind.PING, self._probe.seq)

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.indirect_sent = True
        if self.peers[probe.member].record.status is Status.DEAD:
            return
        for helper in self._random_members(
            INDIRECT_PROBES, lambda m: m != probe.member and self._is_known_alive(m)
        ):
            self._send(helper, Kind.ASK, probe.seq, probe.member)

    def _end_probe(self) -> None:
        """End the period's probe, if it is still set: it was not acknowledged then."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        record = self.peers[probe.member].record
        if record.status is Status.DEAD:
            return  # no answer from a dead member is no evidence about local health
        # Neither ACK nor NACK was received: this member itself may be slow. Lifeguard counts each missing
        # NACK; with that, when seven in ten members had died, the others took the missing NACKs for their own
        # slowness and detected the deaths three times as late.
        if not probe.nack_received:
            self._worsen_local_health()
        if record.status is Status.ALIVE and probe.indirect_sent:
            self._adopt(probe.member, record._replace(status=Status.SUSPECT))

    def _choose_probe_target(self) -> int | None:
        """The next member to probe: each once a round in random order, and a dead one every few probes."""
        self._probes_since_dead += 1
        if self._probes_since_dead >= DEAD_PROBE_INTERVAL:
            self._probes_since_dead = 0
            member = self._next_target(self._dead_probe_round, lambda s: s is Status.DEAD)
            if member is not None:
                return member
        member = self._next_target(self._probe_round, lambda s: s < Status.DEAD)
        return (
            self._next_target(self._dead_probe_round, lambda s: s is Status.DEAD)
            if member is None
            else member
        )

    def _next_target(self, remaining: list[int], eligible: Callable[[Status], bool]) -> int | None:
        for refill in (False, True):
            if refill:
                # Unknown members come first (popped from the end): each such probe makes two members known.
                targets = self._shuffled(m for m, p in self.peers.items() if eligible(p.record.status))
                remaining += sorted(targets, key=lambda m: self.peers[m].record == NO_RECORD)
            while remaining:
                member = remaining.pop()
                if eligible(self.peers[member].record.status):
                    return member
        return None

    def _is_known_alive(self, member: int) -> bool:
        record = self.peers[member].record
        return record.status is Status.ALIVE and record != NO_RECORD

    def _random_members(self, count: int, eligible: Callable[[int], bool]) -> list[int]:
        return self._shuffled(m for m in self.peers if eligible(m))[:count]

    def _shuffled(self, members: Iterable[int]) -> list[int]:
        found = list(members)
        for i in range(len(found) - 1, 0, -1):  # Fisher-Yates shuffle
            j = int(self._random() * (i + 1))
            found[i], found[j] = found[j], found[i]
        return found

    def _new_seq(self) -> int:
        self._seq = (self._seq + 1) % SEQ_MODULUS
        return self._seq

    def _discount_pause(self, late_us: int) -> None:
        """Drop the probes, and extend suspicions by a pause in which this process received nothing."""
        self._probe = None
        self._relayed_probes.clear()
        self._next_period_at = self._now
        for member in self._suspected:
            peer = self.peers[member]
            peer.suspected_at, peer.suspicion_ends_at = (
                peer.suspected_at + late_us,
                peer.suspicion_ends_at + late_us,
            )
            peer.next_notice_at = self._now


def _digest(member: int, record: Record) -> int:
    """16 bits, combined by exclusive or over all members: equal views have equal digests."""
    return crc32(b"%d %d %d %d" % (member, *record)) & 0xFFFF
