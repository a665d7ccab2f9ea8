"""The balancing policy: takes events, returns actions. interface.py defines the types used here.

A request passes these stages in order: the list of servers; admission (tenant_admission.py); outlier
detection and slow start, which decide which servers may be sampled (outlier_detection.py, slow_start.py);
load table and band choice, which compare two uniform samples by load band (load_table.py, quantile.py);
attempts with their timeouts, retries and hedges.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from struct import Struct
from typing import Any
from zlib import crc32

from .interface import (
    CHANGE_NOTICE_LIMIT_US,
    NEVER_RAN,
    Action,
    AttemptEnded,
    BackendId,
    BackendsChanged,
    Cancel,
    ClientGone,
    Discovery,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    State,
    StreamStarted,
    Tell,
    TimerFired,
    Watch,
)
from .load_table import FRESH_US, GAIN, STALE_US, LoadTable
from .outlier_detection import OutlierDetector
from .quantile import cutoffs, lower_band
from .request_state import Request
from .server_state import Server, backend_name
from .slow_start import SlowStartBudget
from .tenant_admission import TenantAdmission
from .time_units import MS, SECOND
from .work_estimates import WorkEstimates

# Budget of a balancer's retries and hedges: a share of the number of its requests, plus a burst.
RETRY_SHARE, RETRY_BURST = 0.15, 10.0
# Hedges are sent only while at least this share of sampled warm servers fits their request: otherwise hedges
# displace first tries.
HEDGE_MIN_FITTING_SHARE = 0.9
# Budget of hedges beyond those that won, as a share of the number of requests plus a burst: it serves to find
# out whether hedges win.
HEDGE_SHARE, HEDGE_BURST = 0.003, 1.0
HEDGE_AFTER_LATENCIES = 3  # an attempt is hedged after this many typical latencies
RETRY_AFTER_LATENCIES = 2  # the retry delay advised in a refusal, in typical latencies
# Attempts that all balancers together may have in flight at a server regardless of its predicted latency.
GUARANTEED_ATTEMPTS = 8.0
# A request is refused from this predicted latency on, as a multiple of the time left until its aim.
HEADROOM = 1.4
LOW_PRIORITY_HEADROOM = 0.2  # HEADROOM of clients' retries and of requests beyond their tenant's share
# Servers within this share of the limit are sampled first, so that nearly full ones are the last resort.
PREFERRED_LIMIT_SHARE = 0.25
# While attempts earn little of their worth, a request is sent with a probability of the earned share times
# EARNED_SHARE_MULTIPLE, but of at least MIN_SEND_SHARE.
EARNED_SHARE_MULTIPLE, MIN_SEND_SHARE = 1.5, 0.1
# Factors that take different digits of a request's random fraction, so that choices are independent.
SEND_CHOICE_FACTOR, GUARANTEED_CHOICE_FACTOR = 4096, 2**24
# Samples drawn until two fit the request; fleets of at most this size are then searched exhaustively.
MAX_DRAWS = 16
# The band cutoffs of n servers are used for n / 4 picks: the cost of a pick must not grow with n.
INDEXED_SERVERS_PER_PICK = 4
# The early samples of a request (see SlowStartBudget) are the first ones, until their summed warmth is that
# of this many warm servers: the two that a request needs while no server is crowded.
EARLY_WARMTH = 2.0
# A server is taken to be unresponsive after a silence of this multiple of the fleet's median silence.
SILENCE_MULTIPLE = 2
PROBE_COST_LIMIT = 0.01  # probing both samples of every request may cost at most this share of the goal
# Timeout of a probe, and maximum age of a load report that needs no probe, as a share of the shortest aim.
PROBE_TIME_SHARE = 0.05
# Share of the goal that reports to peers may cost, and the maximum number of peers per report.
PEER_COST_LIMIT, MAX_PEERS_PER_REPORT = 0.005, 32
PEER_MESSAGE_BYTES = 256  # a peer message is priced per this many bytes
PEER_NUMBER_MAX = 0xFFFF  # largest load and service time that a report to peers can hold
FULL_REPORTING_LOAD = 2  # mean load of a server from which each report goes to the full number of peers
PEER_REPORT = Struct(">IHH")  # a report to peers: the backend's tag, its load, its service time in ms
MAX_PROBED_PAIRS = 4  # pairs of samples probed for a request before it is finished without an attempt
HOLD_US = 20 * MS  # interval at which a held request is tried again
WATCH_FIRST_US, WATCH_MAX_US = 200 * MS, 2 * SECOND  # delay after a failed list call, doubled each time
# Connect and response time of a list call while many balancers call one discovery service.
LIST_CALL_US = SECOND
WATCH_JITTER_MIN = 0.5  # a delay after a failed list call is multiplied by 0.5 to 1.5
# Longest delay before jitter.
WATCH_WAIT_LIMIT_US = 2 * (CHANGE_NOTICE_LIMIT_US - LIST_CALL_US) // 3
# Interval between the list calls of balancers that start together, because one discovery service serves them
# all.
LIST_CALL_SPACING_US = 150 * MS


class Balancer:
    """One balancer. Pass it every event in order by handle(); carry out the returned actions in order.

    All times are microseconds on the caller's clock.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[BackendId, Server] = {}
        self.ready: list[Server] = []
        # With Discovery.ASK, list calls are spaced over all balancers so that discovery can answer them: a
        # call that times out in discovery's queue still costs discovery the work. Each balancer calls within
        # ask_within_us.
        self.list_call_spacing_us = min(
            LIST_CALL_SPACING_US, settings.ask_within_us // (2 * settings.siblings)
        )
        self.watch_first_us = max(WATCH_FIRST_US, settings.siblings * self.list_call_spacing_us)
        self.watch_max_us = max(WATCH_MAX_US, min(2 * self.watch_first_us, settings.ask_within_us))
        self.watching, self.watch_wait_us = False, self.watch_first_us
        self.table = LoadTable(settings)
        self.health = OutlierDetector(self.rng, self._log)
        self.slow_start = SlowStartBudget(settings)
        self.tenant_admission = TenantAdmission(settings)
        self.work_estimates = WorkEstimates(settings)
        self.guaranteed_attempts = GUARANTEED_ATTEMPTS / settings.siblings
        # Both samples of each request are probed if that is cheap and responses carry a load report.
        self.probes_samples = (
            settings.can_probe
            and self.table.load_column >= 0
            and 2 * settings.prices.probe <= PROBE_COST_LIMIT
        )
        self.probe_timeout_us = int(
            PROBE_TIME_SHARE * min(request_class.aim_us for request_class in settings.classes)
        )
        price, self.peers_per_report = settings.prices.peer, 0
        if settings.can_tell and self.table.load_column >= 0:
            affordable_peers = (
                int(PEER_COST_LIMIT * PEER_MESSAGE_BYTES / (price * PEER_REPORT.size))
                if price
                else MAX_PEERS_PER_REPORT
            )
            self.peers_per_report = min(settings.siblings - 1, MAX_PEERS_PER_REPORT, affordable_peers)
        # Maximum age at which a reported load counts as current, so that the server needs no guaranteed
        # attempts; -1: never.
        self.current_report_age_us = (
            self.probe_timeout_us if self.probes_samples else STALE_US if self.peers_per_report else -1
        )
        self.servers_by_tag: dict[int, Server] = {}
        self.probe_waiters: dict[Server, list[Request]] = {}  # requests awaiting a probe response
        self.picks_left = 0  # picks until the cutoffs are recalculated
        self.requests: dict[int, Request] = {}
        self.retry_budget, self.hedge_budget = RETRY_BURST, HEDGE_BURST
        self.earned_share = 1.0  # smoothed share of its worth that an attempt earns
        self.timer_queue: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.timers_scheduled = 0
        self.armed = 0  # expiry of the earliest timer that is set; 0: none
        # Attempts and delays end two rounds of events before the client's deadline, or in the first half of
        # the slack after it, because the final answer is given one round later.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_slack_us // 2)
        self.handlers: dict[type, Callable[[Any], None]] = {
            BackendsChanged: self._backends_changed,
            RequestArrived: self._request_arrived,
            AttemptEnded: self._attempt_ended,
            StreamStarted: self._stream_started,
            ClientGone: self._client_gone,
            TimerFired: self._timer_fired,
            ProbeEnded: self._probe_ended,
            PeerMessage: self._peer_message,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at time `now` and return the actions it causes.

        Raises TypeError if the event is of an unknown type, ValueError if a new request is invalid.
        """
        self.now, self.actions = now, []
        handler = self.handlers.get(type(event))
        if handler is None:
            raise TypeError(f"{type(event).__name__} is not a balancer event")
        handler(event)
        return self.actions

    def unavailable_count(self, now: int) -> int:
        """Number of listed servers that are not ready or that outlier detection excludes at `now`."""
        return sum(
            server.state is not State.READY or not self.health.admits(server, now, self.table.typical_latency)
            for server in self.servers.values()
        )

    def _log(self, text: str) -> None:
        self.actions.append(Log(text))

    # Membership

    def _backends_changed(self, event: BackendsChanged) -> None:
        now = self.now
        if event.kind is ListKind.FAILED:
            self.watching = False
            wait = min(self.watch_wait_us, WATCH_WAIT_LIMIT_US)
            self._schedule(now + int(wait * (WATCH_JITTER_MIN + self.rng.random())), self._watch, None)
            self.watch_wait_us = min(2 * self.watch_wait_us, self.watch_max_us)
            return
        if event.kind is not ListKind.CACHED:
            self.watch_wait_us = self.watch_first_us
        listed_ids = set()
        for backend in event.backends:
            listed_ids.add(backend.id)
            known_server = self.servers.get(backend.id)
            if known_server is None:
                known_server = self.servers[backend.id] = Server(backend, now, self.rng.random())
                self.servers_by_tag[crc32(backend_name(backend.id).encode())] = known_server
            if backend.started_at != known_server.started_at:
                known_server.reset(now)  # a new process under the same id
            known_server.apply_listing(backend)
        for server in list(self.servers.values()):
            if server.state is State.GONE or (
                event.kind is not ListKind.DELTA and server.id not in listed_ids
            ):
                server.state = State.GONE  # requests may still refer to it
                del self.servers[server.id]  # each release brings new ids: memory would grow
                self.servers_by_tag.pop(crc32(backend_name(server.id).encode()), None)
                self.probe_waiters.pop(server, None)
        self.ready = [server for server in self.servers.values() if server.state is State.READY]
        self.slow_start.refresh(self.ready, now)
        self.picks_left = 0
        if self.settings.discovery is Discovery.ASK and not self.watching:
            self._schedule(now + self.settings.me * self.list_call_spacing_us, self._watch, None)

    def _watch(self, _: None) -> None:
        if not self.watching:
            self.watching = True
            self.actions.append(Watch())

    # Admission

    def _request_arrived(self, event: RequestArrived) -> None:
        now = self.now
        self.settings.check(event, event.request in self.requests)
        size = self.table.relative_size(event.cost_us)
        work = size if event.cost_us else self.work_estimates.relative_work[event.request_class]
        request = Request(
            event, self.settings.classes[event.request_class], now, self.rng.random(), size, work
        )
        self.slow_start.record_arrival(now, work)
        self.requests[event.request] = request
        self.retry_budget = min(RETRY_BURST, self.retry_budget + RETRY_SHARE)
        self.hedge_budget = min(HEDGE_BURST, self.hedge_budget + HEDGE_SHARE)
        # Part of a client's time to the aim has passed before its retry arrives: retries that were served
        # ahead of first tries completed late.
        request.low_priority = self.tenant_admission.exceeds_quota(event.tenant, now) or event.is_retry
        self._advance(request)

    def _advance(self, request: Request) -> None:
        """Send the request to a sampled server; hold, refuse or fail it if there is none."""
        now = self.now
        time_left = self._time_left(request)
        if time_left <= 0 or request.sends >= self.settings.max_attempts:
            return self._finish(request)
        # While most attempts earn nothing, latencies predicted from responses are too short, because the
        # slowest attempts have no response. One balancer does no harm, but all together keep up the overload.
        # The choice uses the later digits of the random fraction, because slow start uses the first ones:
        # otherwise some cold servers would get all requests that are still sent.
        if not request.sends and request.random_fraction * SEND_CHOICE_FACTOR % 1.0 >= max(
            MIN_SEND_SHARE, EARNED_SHARE_MULTIPLE * self.earned_share
        ):
            return self._finish(request)
        allowed = self._allowed_servers(request)
        pair = self._sample_pair(request, allowed) if allowed else None
        if pair is None:
            # The request is held while no server responds, and refused at once if some respond but have no
            # room, also where slow start leaves none: under overload, held requests that were tried again
            # every HOLD_US used up the CPU.
            overloaded = any(self._responds(request, server) for server in allowed[:MAX_DRAWS])
            if request.sends == 0 and now < request.aim_at - self.answer_margin_us and not overloaded:
                return self._schedule(
                    min(now + HOLD_US, request.aim_at - self.answer_margin_us), self._retry_held, request
                )
            return self._finish(request)
        self._probe_pair(request, pair)

    def _time_left(self, request: Request) -> int:
        """Time in which a response still has worth and can be passed on; 0 or less: none."""
        return (
            (request.deadline if request.cls.late_worth else request.aim_at)
            - self.now
            - self.answer_margin_us
        )

    def _retry_held(self, request: Request) -> None:
        if not request.done and not request.in_flight and request.probed_pair is None:
            self._advance(request)

    # Probing the samples

    def _probe_pair(self, request: Request, pair: tuple[Server, Server]) -> None:
        """Probe the samples whose load reports are too old if probes are cheap, then compare them."""
        # A balancer with one request a second gets a report from each of fifty servers about once a minute:
        # with such old loads, the choice between two samples was no better than one random sample.
        now, max_age_us = self.now, self.probe_timeout_us
        request.probed_pair = pair
        request.unanswered_probes = (
            [server for server in dict.fromkeys(pair) if now - server.reported_at > max_age_us]
            if self.probes_samples
            else []
        )
        if not request.unanswered_probes:
            request.unprobed_pairs += 1
            return self._send_or_resample(request)
        for server in request.unanswered_probes:
            if not server.probed_at or now - server.probed_at > max_age_us:
                server.probed_at = now
                self.actions.append(Probe(server.id))
            self.probe_waiters.setdefault(server, []).append(request)
        request.probed_pairs += 1
        self._schedule(
            now + min(max_age_us, self._time_left(request)),
            self._probes_timed_out,
            (request, request.probed_pairs),
        )

    def _probes_timed_out(self, probing: tuple[Request, int]) -> None:
        request, probed_pairs = probing
        if request.probed_pair is not None and request.probed_pairs == probed_pairs and not request.done:
            self._send_or_resample(request)

    def _probe_ended(self, event: ProbeEnded) -> None:
        """Record only the reported load: a process that answers probes may still not process its queue."""
        server = self.servers.get(event.backend)
        if server is None:
            return
        server.probed_at, waiting_requests = 0, self.probe_waiters.pop(server, [])
        load_reported = event.outcome is Outcome.OK and 0 <= self.table.load_column < len(event.report)
        if load_reported:
            self.table.set_reported_load(self.now, server, event.report[self.table.load_column])
        for request in waiting_requests:
            if request.probed_pair is not None and not request.done and server in request.unanswered_probes:
                if load_reported:
                    request.unanswered_probes.remove(server)
                if not request.unanswered_probes or not load_reported:
                    self._send_or_resample(request)

    # Reports to peers

    def _report_to_peers(self, server: Server, reported_load: float) -> None:
        """Send a server's latest report to some peers at random; to fewer while the fleet is mostly idle."""
        numbers = (
            max(0, min(PEER_NUMBER_MAX, round(number))) for number in (reported_load, server.service_time_ms)
        )
        payload = PEER_REPORT.pack(crc32(backend_name(server.id).encode()), *numbers)
        for _ in range(round(self.peers_per_report * min(1.0, self.table.mean_load / FULL_REPORTING_LOAD))):
            peer = int(self.rng.random() * (self.settings.siblings - 1))
            self.actions.append(Tell(peer + (peer >= self.settings.me), payload))

    def _peer_message(self, event: PeerMessage) -> None:
        """Peer messages may be lost, late or wrong: they change the load table and nothing else."""
        if len(event.payload) == PEER_REPORT.size:
            tag, reported_load, service_ms = PEER_REPORT.unpack(event.payload)
            if tag in self.servers_by_tag:
                self.table.set_reported_load(self.now, self.servers_by_tag[tag], reported_load)
                self.table.learn_service_time(self.servers_by_tag[tag], service_ms)

    def _send_or_resample(self, request: Request) -> None:
        """Send to the less loaded sample, or sample again if neither can be expected to answer in time."""
        assert request.probed_pair is not None
        pair, limit, time_left = request.probed_pair, self._limit(request), request.aim_at - self.now
        # A sample that answered its probe is preferred; if none did, the load table decides.
        unanswered_probes = (
            request.unanswered_probes if len(request.unanswered_probes) < len(set(pair)) else []
        )
        request.probed_pair, request.unanswered_probes = None, []
        candidates = [
            server
            for server in pair
            if server not in unanswered_probes
            and self._may_send(request, server)
            # The server may have restarted while its probe was in flight.
            and self.slow_start.admits(server, self.now, request, self.probes_samples, self.table.mean_load)
            and self._can_answer_in_time(request, server, limit, time_left, True)
        ]
        if candidates and self._time_left(request) > 0:
            return self._send(request, *self._less_loaded(request, (candidates[0], candidates[-1])))
        # The number of pairs is bounded, because sampling at the preferred limit may accept a server that the
        # check above rejects at the final one: without a bound, sampling never ended.
        if request.probed_pairs < MAX_PROBED_PAIRS and request.unprobed_pairs < MAX_DRAWS:
            return self._advance(request)
        self._finish(request)

    # Sampling set and band choice

    def _allowed_servers(self, request: Request) -> list[Server]:
        if not request.may_have_run or request.cls.effect is Effect.SAFE:
            return self.ready
        return [server for server in self.ready if self._may_send(request, server)]

    def _may_send(self, request: Request, server: Server) -> bool:
        """Whether the request may be sent to a server by state and, for a repeat, by group and window.

        Checked again after a probe, because the list and the window may change while it is in flight.
        """
        if server.state is not State.READY:
            return False
        if not request.may_have_run or request.cls.effect is Effect.SAFE:
            return True
        _, first_server, _ = request.may_have_run[0]
        if request.cls.effect is Effect.UNSAFE or self.now >= self._repeat_until(request):
            return False
        return request.cls.group is Group.ALL or (
            server.zone == first_server.zone
            if request.cls.group is Group.ZONE
            else server.cell == first_server.cell
        )

    def _repeat_until(self, request: Request) -> int:
        """End of the window in which attempts of a keyed request may be sent; 0: no limit.

        It also limits the first attempt: if that waits for a connection for longer, a repeat may have run and
        its key have been forgotten before the first attempt is sent.
        """
        if request.cls.effect is not Effect.KEYED:
            return 0
        window = request.cls.window_us - 2 * self.settings.tick_us
        if request.may_have_run:
            return request.may_have_run[0][2] + window
        return self.now + window if window > 0 else 0

    def _admits(self, request: Request, server: Server) -> bool:
        in_budget = self.slow_start.admits(
            server, self.now, request, self.probes_samples, self.table.mean_load
        )
        return in_budget and self._responds(request, server)

    def _responds(self, request: Request, server: Server) -> bool:
        """Whether a server is believed to be up, regardless of its load."""
        # Where peers report every response, a server that none of them hears from probably hangs. Requests
        # with a small random fraction still try it.
        weighted_silence = (
            (self.now - server.silent_since)
            * request.random_fraction
            * self.slow_start.warmth(server, self.now)
            if self.peers_per_report
            else 0
        )
        if weighted_silence > SILENCE_MULTIPLE * max(FRESH_US, self.now - self.table.silent_since):
            return False
        return self.health.admits(server, self.now, self.table.typical_latency)

    def _sample_pair(self, request: Request, pool: list[Server]) -> tuple[Server, Server] | None:
        """Two uniform samples, with replacement, of the servers that fit this request; None if none fits."""
        self._index()
        limit = self._limit(request)
        return self._sample_pair_within(
            request, pool, PREFERRED_LIMIT_SHARE * limit, False
        ) or self._sample_pair_within(request, pool, limit, True)

    def _sample_pair_within(
        self, request: Request, pool: list[Server], limit: float, final_limit: bool
    ) -> tuple[Server, Server] | None:
        """As _sample_pair, with the mean request's predicted latency at most `limit` (us)."""
        random, pool_size, time_left = self.rng.random, len(pool), request.aim_at - self.now
        candidates: list[Server] = []
        draws = warm_draws = warm_fitting = 0
        # Rejecting unfit draws keeps the samples uniform over the servers that fit.
        while draws < max(2, min(MAX_DRAWS, pool_size // 2)) and len(candidates) < 2:
            server = pool[int(random() * pool_size)]
            draws += 1
            warmth = self.slow_start.warmth(server, self.now)
            if request.early_warmth < EARLY_WARMTH:
                request.early_warmth += warmth
                if warmth < 1.0:
                    request.early_cold_servers.append(server)
            fits = (
                server not in request.tried
                and self._admits(request, server)
                and self._can_answer_in_time(request, server, limit, time_left, final_limit)
            )
            if fits:
                candidates.append(server)
            if warmth >= 1.0:
                warm_draws, warm_fitting = warm_draws + 1, warm_fitting + fits
        if final_limit or len(candidates) == 2:
            self.slow_start.record_samples(warm_fitting, warm_draws)
        if len(candidates) == 2:
            return candidates[0], candidates[1]
        if pool_size <= MAX_DRAWS:
            candidates = [server for server in pool if self._admits(request, server)]
            candidates = [server for server in candidates if server not in request.tried] or candidates
            candidates = [
                server
                for server in candidates
                if self._can_answer_in_time(request, server, limit, time_left, final_limit)
            ]
        return (
            (candidates[int(random() * len(candidates))], candidates[int(random() * len(candidates))])
            if candidates
            else None
        )

    def _index(self) -> None:
        """Recalculate means and band cutoffs over all ready servers; in a larger fleet not on every pick."""
        self.picks_left -= 1
        if self.picks_left >= 0:
            return
        now, ready_count = self.now, len(self.ready)
        self.picks_left = ready_count // INDEXED_SERVERS_PER_PICK
        self.health.refresh(self.ready, now, self.table.typical_latency)
        self.table.refresh(self.ready, now)
        self.slow_start.refresh(self.ready, now)
        for server in self.ready:
            server.time_per_load = self.table.time_per_load_of(
                server, now, self.slow_start.warmth(server, now)
            )
        self.work_estimates.refresh(self.table.typical_latency)
        self.table.band_cutoffs = (
            cutoffs([self._rank(server) for server in self.ready]) if ready_count else []
        )

    def _limit(self, request: Request) -> float:
        """Longest predicted latency (us) of the mean request with which a server may be sampled."""
        if not self.table.time_per_load:
            return float("inf")
        # All balancers together fill every server up to this limit. If attempts earn too little at it, the
        # limit is too high for the work of these requests, its variance and the age of the load reports.
        share = (
            LOW_PRIORITY_HEADROOM
            if request.low_priority
            else HEADROOM * min(1.0, EARNED_SHARE_MULTIPLE * self.earned_share) ** 2
        )
        return share * min(
            (request.aim_at - self.now) / self.work_estimates.relative_work[request.number],
            self.work_estimates.latency_limits_us[request.number],
        )

    def _can_answer_in_time(
        self, request: Request, server: Server, limit: float, time_left: int, final_limit: bool
    ) -> bool:
        """Whether a server may be sampled, by its predicted latency and this balancer's load on it.

        With `final_limit`, a request that finds no server is refused, so a server of unknown load may be
        tried.
        """
        # Heavy requests that no server could answer in time took up a third of the fleet. While most servers
        # are idle such requests displace little, and cost hints are imprecise: then they may be sent.
        can_finish = (
            request.size <= 1.0
            or request.size * server.time_per_load * min(1.0, self.table.mean_load) <= time_left
        )
        own_load = server.own_load(self.now)
        load = own_load + self.table.load_of_others(server, self.now)
        predicted = (load + request.size) * server.time_per_load
        if not final_limit:
            return can_finish and (load < 1.0 or predicted <= limit)
        relative_work = self.work_estimates.relative_work[request.number]
        if self.now - server.reported_at <= self.current_report_age_us:
            # The load is current: no guaranteed attempts, but an idle server always fits. The limit grows by
            # the time after the aim in which a response keeps part of its worth.
            late_allowance = (
                0.0
                if request.low_priority
                else HEADROOM * request.cls.late_worth * (request.deadline - request.aim_at) / relative_work
            )
            return can_finish if load < 1.0 else predicted <= limit + late_allowance
        # A balancer with little traffic knows too little to refuse by an estimate, so it may try a server on
        # which it has almost no load; failed attempts count as load. These guaranteed attempts are divided
        # among the balancers, which would otherwise keep up an overload. Where a balancer's part is below one
        # attempt, only that share of its requests may use it: thirty balancers that each may try every server
        # on which they have no attempt fill the whole fleet. Cold servers have a budget of their own instead.
        if own_load < min(1.0, self.guaranteed_attempts) and (
            request.random_fraction * GUARANTEED_CHOICE_FACTOR % 1.0 < self.guaranteed_attempts
            or self.slow_start.warmth(server, self.now) < 1.0
        ):
            return can_finish
        return predicted <= limit or (
            own_load < self.guaranteed_attempts and predicted * relative_work <= time_left
        )

    def _rank(self, server: Server) -> float:
        """Expected time (us) to work off a server's load, by which the bands are cut."""
        # The random fraction breaks ties of small loads: while half of the servers are idle, the median load
        # is 0 as well.
        load = server.own_load(self.now) + self.table.load_of_others(server, self.now)
        return (load + self.rng.random()) * server.time_per_load

    def _less_loaded(self, request: Request, pair: tuple[Server, Server]) -> tuple[Server, float]:
        """The sample in the lower band, and its load including this request."""
        server = pair[0] if lower_band(self.rng, self.table.band_cutoffs, *map(self._rank, pair)) else pair[1]
        return server, server.own_load(self.now) + self.table.load_of_others(server, self.now) + request.size

    # Attempts

    def _send(self, request: Request, server: Server, load: float) -> None:
        now, attempt, send_until = self.now, request.sends, self._repeat_until(request)
        request.sends += 1
        request.in_flight[attempt] = (server, now, load)
        request.may_have_run.append((attempt, server, now))
        request.tried.append(server)
        (server.streams if request.streamed else server.open)[(request.id, attempt)] = now
        self.slow_start.record_send(server, now, request.work)
        self.actions.append(
            Send(request.id, server.id, max(1, request.deadline - now - self.answer_margin_us), send_until)
        )
        if (
            request.cls.effect is not Effect.UNSAFE
            and self.table.typical_latency
            and self.settings.second_copies
        ):
            hedge_at = now + int(HEDGE_AFTER_LATENCIES * self.table.typical_latency)
            if hedge_at + self.table.typical_latency < request.aim_at:
                self._schedule(hedge_at, self._hedge, (request, attempt))

    def _hedge(self, sent_attempt: tuple[Request, int]) -> None:
        """Send a second attempt to another server if the first takes unusually long."""
        request, attempt = sent_attempt
        if request.done or request.streamed or attempt not in request.in_flight or len(request.in_flight) > 1:
            return
        if (
            min(self.retry_budget, self.hedge_budget) < 1.0
            or self.slow_start.fitting_share < HEDGE_MIN_FITTING_SHARE
        ):
            return
        allowed = self._allowed_servers(request)
        pair = (
            self._sample_pair(request, allowed)
            if allowed and request.sends < self.settings.max_attempts
            else None
        )
        if pair is None:
            return
        hedge_server, load = self._less_loaded(request, pair)
        if hedge_server is not request.in_flight[attempt][0]:
            # Hedges have a budget, because most slow attempts are heavy requests, not slow servers: a hedge
            # repeats their work and ends later than the first attempt.
            self.retry_budget, self.hedge_budget, request.hedge_attempt = (
                self.retry_budget - 1.0,
                self.hedge_budget - 1.0,
                request.sends,
            )
            self._send(request, hedge_server, load)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        now, request = self.now, self.requests.get(event.request)
        if request is None or event.attempt not in request.in_flight:
            return
        server, sent_at, load = request.in_flight.pop(event.attempt)
        server.open.pop((request.id, event.attempt), None)
        server.streams.pop((request.id, event.attempt), None)
        if event.attempt != request.streaming_attempt:
            if event.outcome is Outcome.OK and server.samples:
                self.work_estimates.learn(request.number, event.latency_us, load * server.time_per_load)
            self.table.record_attempt(now, server, event, load)
        self.slow_start.record_outcome(now, server, event.outcome, request.work)
        if event.outcome not in NEVER_RAN and event.outcome is not Outcome.CANCELLED:
            worth = 1.0 if now <= request.aim_at else request.cls.late_worth
            self.earned_share += GAIN * ((worth if event.outcome is Outcome.OK else 0.0) - self.earned_share)
        if (
            self.peers_per_report
            and event.outcome is Outcome.OK
            and len(event.report) > self.table.load_column
        ):
            self._report_to_peers(server, event.report[self.table.load_column] - 1)
        # A timeout counts as a failure only if the server has answered nothing since the attempt was sent:
        # otherwise it is slow, not unhealthy.
        if event.outcome is not Outcome.TIMEOUT or server.answered_at <= sent_at:
            self.health.record_outcome(server, now, event.outcome)
        self.tenant_admission.learn(server.attempts_in_flight() + 1, max(0.0, server.load_of_others))
        if event.outcome is Outcome.OK and event.attempt == request.hedge_attempt and not request.done:
            self.hedge_budget = min(HEDGE_BURST, self.hedge_budget + 1.0)
        if event.outcome in NEVER_RAN:
            request.may_have_run = [m for m in request.may_have_run if m[0] != event.attempt]
        if event.finished and not request.done:
            self._drop(request)
        elif request.done and not request.in_flight:
            del self.requests[request.id]
        elif not request.in_flight:
            # Without a budget, full servers received twenty attempts per request. A failed connect loads no
            # server, so a retry after it costs no budget.
            costs_retry = event.outcome is not Outcome.CONNECT_FAILED
            if event.spent or (costs_retry and self.retry_budget < 1.0):
                return self._finish(request)
            self.retry_budget -= costs_retry
            self._advance(request)

    def _stream_started(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request)
        if request is not None and event.attempt in request.in_flight:
            request.done, request.streaming_attempt = True, event.attempt
            self._cancel(request, kept_attempt=event.attempt)
            server, _, load = request.in_flight[event.attempt]
            server.open.pop((request.id, event.attempt), None)
            self.table.record_attempt(
                self.now,
                server,
                AttemptEnded(
                    request.id, event.attempt, server.id, Outcome.OK, event.latency_us, False, event.report
                ),
                load,
            )
            server.streams[(request.id, event.attempt)] = self.now

    def _client_gone(self, event: ClientGone) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.done:
            self._drop(request)

    def _finish(self, request: Request) -> None:
        """Give the final answer: a refusal if a retry is safe, otherwise a failure."""
        if request.may_refuse():
            advice = (
                int(RETRY_AFTER_LATENCIES * self.table.typical_latency) if self.settings.retry_after else 0
            )
            self.actions.append(Refuse(request.id, min(advice, self.settings.max_retry_after_us)))
        else:
            self.actions.append(Fail(request.id))
        self._drop(request)

    def _drop(self, request: Request) -> None:
        request.done = True
        self._cancel(request)
        if not request.in_flight:
            self.requests.pop(request.id, None)

    def _cancel(self, request: Request, kept_attempt: int = -1) -> None:
        if self.settings.can_cancel:
            self.actions.extend(
                Cancel(request.id, attempt) for attempt in request.in_flight if attempt != kept_attempt
            )

    # Timers

    def _schedule(self, at: int, callback: Callable[[Any], None], argument: Any) -> None:
        """Call callback(argument) at time `at`, or one microsecond from now if `at` has passed."""
        at = max(at, self.now + 1)
        self.timers_scheduled += 1
        heappush(self.timer_queue, (at, self.timers_scheduled, callback, argument))
        self._arm_timer()

    def _arm_timer(self) -> None:
        if self.timer_queue and (not self.armed or self.timer_queue[0][0] < self.armed):
            self.armed = self.timer_queue[0][0]
            self.actions.append(SetTimer(max(0, self.armed - self.now), self.armed))

    def _timer_fired(self, event: TimerFired) -> None:
        if event.token == self.armed:
            self.armed = 0
        while self.timer_queue and self.timer_queue[0][0] <= self.now:
            _, _, callback, argument = heappop(self.timer_queue)
            callback(argument)
        self._arm_timer()
