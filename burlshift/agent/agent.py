"""The agent: the only caller of the decision module, which carries out what it decides."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from burlshift.balancing import interface as q
from burlshift.balancing import learned_state
from burlshift.balancing.logic import Balancer

from .backend_list import BackendList
from .backends import Backends, Exchange, ExchangeResult, UpstreamRequest
from .clock import Clock
from .connection import Headers
from .discovery import AGAIN_MOST_S, Address, Discovery, Listing, Member
from .downstream_request import DownstreamRequest, retry_after
from .metrics import Gauges, Metrics
from .peers import Peers
from .removal_limiter import STEP_S, RemovalLimiter

log = logging.getLogger(__name__)

# The module answers when a request's time is up; were it to fail, the agent answers this much later, within
# the 50 ms that the protocol allows.
OVERDUE_S = 0.025
# How an attempt counts that failed inside the agent: it may have run, and that is no word on its backend.
UNKNOWN = ExchangeResult(q.Outcome.CANCELLED, 0)
TIMER_AGAIN_S = 0.02  # after the module failed on a timer: what else was due then is still to be done
GONE, BROKEN = 499, 502  # count as the status of a request whose client has left, whose answer broke off
# Where changes are pushed, every change made while nobody asks counts as told: the wait after a broken watch
# is doubled and drawn at random, but stays well within the time that the drain rule leaves, as a share of it,
# and within what a silent call leaves of the time after which a change counts as told.
WATCH_AGAIN, WATCH_AGAIN_MOST = 0.1, 0.4
# There too what discovery has counts as told from the first moment of a new process: it says that it is ready
# once it has heard, or after so long. Discovery answers at once or, while it is down, has nothing to tell.
FIRST_LIST_S = 0.5


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without its final answer."""

    call: DownstreamRequest
    overdue: asyncio.TimerHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    begun: Exchange | None = None  # the attempt whose answer is being passed on


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request: what comes of its answer before it is whole, and its one end."""

    agent: Agent
    number: int  # of the request
    index: int  # among the request's attempts
    backend: q.BackendId
    exchange: Exchange | None = None
    over: bool = False

    def begin(self, exchange: Exchange, content_type: bytes | None, length: int | None) -> None:
        self.agent.answer_begins(self, exchange, content_type, length)

    def more(self, exchange: Exchange, data: bytes) -> None:
        self.agent.answer_goes_on(self, exchange, data)

    def cancel(self) -> None:
        """Never raises: whoever cancels has an answer to give next."""
        try:
            if self.exchange is not None:
                self.exchange.cancel()
        except Exception:
            log.exception("request %d: an attempt could not be closed", self.number)
            self.end(UNKNOWN)

    def end(self, result: ExchangeResult) -> None:
        if not self.over:
            self.over, self.exchange = True, None  # two that know each other would stay until collected
            self.agent.attempt_ended(self, result)


def _kind(content_type: bytes | None) -> Headers:
    return [(b"Content-Type", content_type)] if content_type else []


class Agent:
    """Hands events to the module one at a time, in order of arrival, and carries out its actions."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        backends: Backends,
        discovery: Discovery,
        figures: Metrics,
        drain_grace_s: float,
        losses: RemovalLimiter | None = None,
    ) -> None:
        # Where changes come by themselves, the module never asks: it is the agent that keeps the watch.
        self._pushes = balancer.settings.discovery is q.Discovery.PUSH
        self._balancer, self._clock = balancer, clock
        self._backends, self._discovery = backends, discovery
        self._figures, self._backend_list = figures, BackendList()
        self._removal_limiter = losses  # None: whatever is missing from a whole list is gone at once
        self._letting_go = False  # a step is due
        self.peers: Peers | None = None  # None: the other agents are not spoken to
        self._loop = asyncio.get_running_loop()
        self._pending: dict[
            int, PendingRequest
        ] = {}  # who is owed a final answer; only _release takes one out
        self._released: dict[
            int, PendingRequest
        ] = {}  # while events are handled: the module may not know yet
        self._out: dict[tuple[int, int], Exchange] = {}  # attempts without an end
        self._events: deque[q.Event] = deque()
        self._handling = False
        self._taken = 0
        self._drain_grace_s = drain_grace_s
        self._watch_again_s = WATCH_AGAIN * drain_grace_s
        self._began = self._loop.time()
        self.has_current_list = False  # discovery has been heard
        self._heard = False  # the list is what discovery said, to this process or the one before it
        self._carriers: dict[type, Callable[[Any], None]] = {
            q.Send: self._send,
            q.Refuse: self._refuse,
            q.Fail: self._fail,
            q.Cancel: self._cancel,
            q.SetTimer: self._set_timer,
            q.Probe: self._probe,
            q.Watch: self._watch,
            q.Fetch: self._fetch,
            q.Log: self._log,
        }

    def start(self, known: Listing) -> None:
        self._begin(self._backend_list.update(known))

    def resume(self, state: dict[str, Any], known: Listing) -> None:
        """Go on from what another process hands over, or start where its list cannot be read."""
        parser = self._discovery.parser
        if "starts" in state:  # an earlier version hands over none
            parser.starts.resume(state["starts"])
        try:
            roster = state["roster"]
            listing = self._backend_list.resume(roster, parser.parse(roster["list"]))
            self._heard = True
        except (ValueError, KeyError, TypeError, AttributeError) as e:
            log.warning("starts without the list that was handed over: %s", e)
            return self.start(known)
        self._begin(listing)
        try:
            learned_state.give(self._balancer, state["memory"])
        except (ValueError, KeyError) as e:
            log.warning("starts without what was learned: %s", e)

    def _begin(self, listing: Listing) -> None:
        self._tell(q.ListKind.CACHED, listing)
        if self._pushes:
            self._discovery.watch(self._listed)

    def state(self) -> dict[str, Any]:
        """What another process goes on from."""
        parser = self._discovery.parser
        return {
            "roster": self._backend_list.state(parser.form),
            "starts": parser.starts.state(),
            "memory": learned_state.take(self._balancer),
        }

    def move(self, discovery: tuple[Address, ...]) -> None:
        self._discovery.move(discovery)

    # The operators' side

    def gauges(self) -> Gauges:
        taken = sum(isinstance(h.call.body, bytes) or h.call.body.whole for h in self._pending.values())
        heard = self._discovery.heard_at
        age_ms = -1 if heard is None else int((self._loop.time() - heard) * 1000)
        unlisted = None if self._removal_limiter is None else len(self._removal_limiter)
        return Gauges(
            taken,
            len(self._backend_list),
            self._balancer.avoided(self._clock.now()),
            age_ms,
            unlisted,
            None if self.peers is None else self.peers.levels(),
        )

    def detach(self, backend: str, vouched: bool = False) -> None:
        """Send nothing new to a backend, whatever discovery says. LookupError if it never was listed."""
        self._tell(q.ListKind.DELTA, self._backend_list.detach(backend, vouched))

    def attach(self, backend: str) -> None:
        self._tell(q.ListKind.DELTA, self._backend_list.attach(backend))

    def limit(self, most: int) -> None:
        """Keep to so many connections to backends."""
        self._backends.limit(most)

    # The application's side

    def ready(self) -> bool:
        return not self._pushes or self.has_current_list or self._loop.time() >= self._began + FIRST_LIST_S

    def take(self, call: DownstreamRequest) -> None:
        self._taken += 1
        if self.peers is not None:
            self.peers.request()
        call.number = self._taken
        held = self._pending[call.number] = PendingRequest(call)
        left_us = max(0, call.left_us(self._clock.now()))
        self._look_again(held, left_us)
        body = call.body
        if not isinstance(body, bytes):
            body.on_whole = partial(self._whole, held)
        self._post(
            q.RequestArrived(
                call.number,
                call.request_class,
                left_us,
                call.tenant,
                call.key,
                call.cost_us,
                call.is_retry,
                streamed=not isinstance(body, bytes),
            )
        )

    def _whole(self, held: PendingRequest) -> None:
        """From its last byte on a request has the time that its client gives it."""
        call = held.call
        if call.number in self._pending and held.begun is None:
            self._look_again(held, call.left_us(self._clock.now()))

    def _look_again(self, held: PendingRequest, after_us: int) -> None:
        """Whether the request has been answered, so long from now and a little."""
        if held.overdue is not None:
            held.overdue.cancel()
        held.overdue = self._loop.call_later(
            max(0, after_us) / 1e6 + OVERDUE_S, self._overdue, held.call.number
        )

    def client_left(self, call: DownstreamRequest) -> None:
        held = self._pending.get(call.number)
        if held is not None:
            self._release(held, GONE, None)
            self._post(q.ClientGone(call.number))

    def fail_all_pending(self) -> None:
        for number, held in list(self._pending.items()):
            if held.begun is None:
                self._give_up(number)

    def _overdue(self, number: int) -> None:
        held = self._pending.get(number)
        if held is None:
            return
        call, body = held.call, held.call.body
        if not isinstance(body, bytes) and not body.whole:
            # What is not read may have been written to its end: then the client's time runs.
            left_us = call.left_us(self._clock.now()) if body.halted else call.patience_us
            if left_us > 0:
                return self._look_again(held, left_us)
        log.error("request %d: no answer from the module in time", number)
        self._give_up(number)

    def _give_up(self, number: int) -> None:
        """The final answer where the module gave none. A failure is always true."""
        if number in self._pending:
            self._answer(number, 500, [], b"failed\n")
            self._post(q.ClientGone(number))

    def _answer(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        held = self._pending.get(number)
        if held is None:
            return
        call, client = held.call, held.call.client
        if held.begun is not None:
            self._release(held, status, partial(client.finish, call, False))
        else:
            self._release(held, status, partial(client.answer, call, status, headers, body))

    def count_rejected(self, request_class: int, status: int) -> None:
        self._figures.count_request(request_class, status)

    def _release(self, held: PendingRequest, status: int, write: Callable[[], None] | None) -> None:
        """Give a request its final answer; write None: its client has gone. The one place where it stops
        being owed one, and whatever raises on the way, it gets one here: nothing would answer it later.

        Nothing more goes out for it: what is still out is closed before its answer is given.
        """
        call = held.call
        del self._pending[call.number]
        if self._handling:
            self._released[call.number] = held
        if held.overdue is not None:
            held.overdue.cancel()
        for attempt in held.attempts:
            attempt.cancel()
        try:
            if write is not None:
                write()
        except Exception:
            log.exception("request %d: its answer could not be written", call.number)
            call.client.fail(call)
            status = BROKEN
        try:
            self._figures.count_request(call.request_class, status)
        except Exception:
            log.exception("request %d: not counted", call.number)

    # Events in

    def _post(self, event: q.Event) -> None:
        """Queued while another is handled: an action may end at once, and handle must not be re-entered."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False
            self._released.clear()

    def _handle(self, event: q.Event) -> None:
        before = self._balancer.actions
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            decided = self._balancer.actions
            actions = [] if decided is before else list(decided)
            self._after_fault(event)
        for action in actions:
            try:
                self._carriers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._give_up(getattr(action, "request", 0))

    def _after_fault(self, event: q.Event) -> None:
        """The request that the module stumbled on is still owed its answer, and others are to go on: what it
        had decided by then counts. Requests that it lost are answered when their time is up."""
        if isinstance(event, q.TimerFired):
            self._loop.call_later(TIMER_AGAIN_S, self._post, event)
        self._give_up(getattr(event, "request", 0))

    # Actions out

    def _send(self, a: q.Send) -> None:
        held = self._pending.get(a.request) or self._released.get(a.request)
        if held is None:
            return
        call, attempt = held.call, Attempt(self, a.request, len(held.attempts), a.backend)
        held.attempts.append(attempt)
        if a.request not in self._pending:  # answered since the module decided this, or its client has gone
            return attempt.end(ExchangeResult(q.Outcome.NOT_SENT, 0))
        ask = UpstreamRequest(
            call.method, call.target, call.headers, call.body, attempt, partial(self._wanted, a), call.left_us
        )
        try:
            exchange = self._backends.exchange(a.backend, ask, a.timeout_us, attempt.end)
        except Exception:
            log.exception("request %d: an attempt could not be started", a.request)
            self._give_up(a.request)
            return attempt.end(UNKNOWN)
        if not exchange.ended:
            attempt.exchange = exchange
            self._out[a.request, attempt.index] = exchange

    def _wanted(self, a: q.Send) -> bool:
        """Whether an attempt is still to go out. The client is asked last, so that its leaving shows."""
        held = self._pending.get(a.request)
        in_time = not a.until_us or self._clock.now() < a.until_us
        return held is not None and in_time and held.call.client.waits(held.call)

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Whatever becomes of the answer, the module hears of the end."""
        number = attempt.number
        exchange = self._out.pop((number, attempt.index), None)
        held = self._pending.get(number)
        spent = held is not None and not isinstance(held.call.body, bytes) and held.call.body.spent
        try:
            if held is not None:
                self._answer_with(held, exchange, result)
        except Exception:
            log.exception("request %d: failed on an attempt's end", number)
            self._give_up(number)
        try:
            if self._removal_limiter is not None:
                self._missing_answered(str(attempt.backend), result)
        except Exception:
            log.exception("could not say whether %s is still there", attempt.backend)
        self._post(
            q.AttemptEnded(
                number,
                attempt.index,
                attempt.backend,
                result.outcome,
                result.latency_us,
                number not in self._pending,
                result.report,
                spent,
            )
        )

    def _answer_with(self, held: PendingRequest, exchange: Exchange | None, result: ExchangeResult) -> None:
        """Give the answer that an attempt brought, if it is one. Once one has begun it is the request's,
        whatever other attempts still bring: not every deployment lets them be cancelled."""
        call, number, served = held.call, held.call.number, result.outcome is q.Outcome.OK
        if held.begun is not None:
            if held.begun is exchange:
                self._release(held, 200 if served else BROKEN, partial(call.client.finish, call, served))
        elif served:
            self._answer(number, 200, _kind(result.content_type), result.body)

    def answer_begins(
        self, attempt: Attempt, exchange: Exchange, content_type: bytes | None, length: int | None
    ) -> None:
        """A large answer comes; the first of a request's is the one."""
        held = self._pending.get(attempt.number)
        if held is None or held.begun is not None:
            return exchange.cancel()
        held.begun = exchange
        if held.overdue is not None:
            held.overdue.cancel()
        try:
            # Where its client is just leaving nothing is written: the connection's end says so in a moment.
            held.call.client.begin(held.call, _kind(content_type), length, exchange)
        except Exception:
            return self._cannot_pass_on(attempt)
        self._post(q.StreamStarted(attempt.number, attempt.index, exchange.latency_us, exchange.report()))

    def answer_goes_on(self, attempt: Attempt, exchange: Exchange, data: bytes) -> None:
        held = self._pending.get(attempt.number)
        if held is not None and held.begun is exchange:
            try:
                held.call.client.more(held.call, data)
            except Exception:
                self._cannot_pass_on(attempt)

    def _cannot_pass_on(self, attempt: Attempt) -> None:
        """The attempt's end ends its request too: see _answer_with."""
        log.exception("request %d: its answer could not be passed on", attempt.number)
        attempt.cancel()

    def _refuse(self, a: q.Refuse) -> None:
        self._answer(a.request, 503, retry_after(a.retry_after_us), b"refused\n")

    def _fail(self, a: q.Fail) -> None:
        self._answer(a.request, 502, [], b"failed\n")

    def _cancel(self, a: q.Cancel) -> None:
        held = self._pending.get(a.request)
        if held is not None and a.attempt < len(held.attempts):
            held.attempts[a.attempt].cancel()

    def _set_timer(self, a: q.SetTimer) -> None:
        self._loop.call_later(a.delay_us / 1e6, self._post, q.TimerFired(a.token))

    def _probe(self, a: q.Probe) -> None:
        def done(result: ExchangeResult) -> None:
            self._post(q.ProbeEnded(a.backend, result.outcome, result.latency_us, result.report))

        self._backends.probe(a.backend, done)

    def _watch(self, a: q.Watch) -> None:
        self._discovery.watch(self._listed)

    def _fetch(self, a: q.Fetch) -> None:
        self._discovery.fetch(self._listed)

    def _listed(self, listing: Listing | None) -> None:
        # One that fell silent is opened anew at once also where the module asks: what it missed counts as
        # told a second after that is found, and the module's wait is for a discovery that does not answer.
        if listing is None and (self._pushes or self._discovery.silent):
            wait_s = min(self._watch_again_s, AGAIN_MOST_S) * (0.5 + random.random() / 2)
            self._watch_again_s = min(2 * self._watch_again_s, WATCH_AGAIN_MOST * self._drain_grace_s)
            self._loop.call_later(wait_s, self._discovery.watch, self._listed)
            return
        self._watch_again_s = WATCH_AGAIN * self._drain_grace_s
        self.has_current_list = self.has_current_list or listing is not None
        if listing is None:
            self._post(q.BackendsChanged(q.ListKind.FAILED, []))
            return
        if self._removal_limiter is not None:
            listing = self._with_missing(self._removal_limiter, listing)
        kind = q.ListKind.FULL if listing.complete else q.ListKind.DELTA
        self._tell(kind, self._backend_list.update(listing))
        if self._removal_limiter is not None:
            self._hold(self._removal_limiter)

    # Backends that a whole list lacks

    def _with_missing(self, losses: RemovalLimiter, listing: Listing) -> Listing:
        # What the agent was started with is not discovery's word: only what that said can be missed.
        before, held = self._backend_list.members() if self._heard else {}, len(losses)
        self._heard = True
        listing = losses.take(before, listing)
        if len(losses) > held:
            log.warning(
                "the list lost %d of %d backends at once: they are let go in steps while they answer",
                len(losses) - held,
                len(before),
            )
        return listing

    def _hold(self, losses: RemovalLimiter) -> None:
        """Ask those that are missing, where that is allowed, and let some go when the next step is due."""
        if not len(losses) or self._letting_go:
            return
        self._letting_go = True
        if self._balancer.settings.can_probe:
            for name in losses.to_ask():
                self._backends.probe(name, partial(self._missing_answered, name))
        self._loop.call_later(STEP_S, self._step)

    def _step(self) -> None:
        assert self._removal_limiter is not None
        self._letting_go = False
        self._let_go(self._removal_limiter.step())
        self._hold(self._removal_limiter)

    def _missing_answered(self, name: str, result: ExchangeResult) -> None:
        assert self._removal_limiter is not None
        gone = self._removal_limiter.ended(name, result.outcome)
        if gone:  # in a turn of its own: an attempt is just ending at that backend
            self._loop.call_soon(self._let_go, gone)

    def _let_go(self, members: list[Member]) -> None:
        if members:
            log.warning(
                "backends that the list lacks are let go: %s", ", ".join(str(m.backend.id) for m in members)
            )
            self._tell(q.ListKind.DELTA, self._backend_list.update(self._backend_list.change(members)))

    def _tell(self, kind: q.ListKind, listing: Listing) -> None:
        self._post(q.BackendsChanged(kind, self._backends.update_members(listing)))

    def _log(self, a: q.Log) -> None:
        log.info("%s", a.text)
