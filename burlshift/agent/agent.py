"""The agent: sole caller of the balancing policy; feeds it events and carries out its actions."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from burlshift.balancing import interface, learned_state
from burlshift.balancing.logic import Balancer

from .clock import Clock
from .connection import Headers
from .connection_pool import UpstreamConnectionPool
from .discovery import Discovery
from .downstream_request import DownstreamRequest, Rejected, retry_after
from .exchange import Exchange
from .list_keeper import ListKeeper
from .listing import Address, Listing
from .loop_lag import loop_metrics
from .memory_budget import MemoryBudget
from .metrics import Gauges, Metrics
from .pending_requests import INTERNAL_FAILURE, Attempt, PendingRequest
from .removal_limiter import RemovalLimiter
from .upstream_request import ExchangeResult, ResponseStream, UpstreamRequest

if TYPE_CHECKING:
    from .peers import Peers

log = logging.getLogger(__name__)

# The policy answers each request by its deadline. If it fails to, the agent answers this much later, within
# the 50 ms that the protocol allows.
OVERDUE_GRACE_S = 0.025
# The delay after which a timer event is repeated if the policy raised on it: other work that was due at the
# same time may not have been done.
TIMER_RETRY_S = 0.02
# Statuses counted in the metrics for a request whose client disconnected, and for a truncated response.
CLIENT_GONE_STATUS, TRUNCATED_STATUS = 499, 502
# With pushed listings a new process is expected to use discovery's current listing from the start. It reports
# itself ready once it has received one, or after this time: discovery answers at once, unless it is down.
FIRST_LIST_TIMEOUT_S = 0.5


def _content_type_headers(content_type: bytes | None) -> Headers:
    return [(b"Content-Type", content_type)] if content_type else []


class Agent:
    """Hands events to the policy one at a time, in order of arrival, and carries out its actions."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        connection_pool: UpstreamConnectionPool,
        discovery: Discovery,
        metrics: Metrics,
        drain_grace_s: float,
        removal_limiter: RemovalLimiter | None = None,
    ) -> None:
        self._balancer, self._clock = balancer, clock
        self._connection_pool, self._metrics = connection_pool, metrics
        self._list = ListKeeper(
            discovery, connection_pool, removal_limiter, balancer.settings, drain_grace_s, self._post
        )
        self.peers: Peers | None = None  # None: does not communicate with other agents
        self._loop = asyncio.get_running_loop()
        # Requests without a final answer, by number; only _release removes one.
        self._pending: dict[int, PendingRequest] = {}
        # Requests answered while an event is being handled: the policy may still issue actions for them.
        self._released: dict[int, PendingRequest] = {}
        # Attempts in flight, by request number and index.
        self._open_exchanges: dict[tuple[int, int], Exchange] = {}
        self._events: deque[interface.Event] = deque()
        self._handling = False
        self._request_count = 0
        self._started_at = self._loop.time()
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self._send,
            interface.Refuse: self._refuse,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: self._set_timer,
            interface.Probe: self._probe,
            interface.Watch: self._watch,
            interface.Fetch: self._fetch,
            interface.Log: self._log,
        }

    def start(self, listing: Listing) -> None:
        """Start with the listing from the process's configuration."""
        self._list.start(listing)

    def resume(self, state: dict[str, Any], listing: Listing) -> None:
        """Continue from the state handed over in a hot restart, or start afresh if its list is unreadable."""
        if not self._list.resume(state, listing):
            return
        try:
            learned_state.restore(self._balancer, state["memory"])
        except (ValueError, KeyError) as error:
            log.warning("learned state could not be restored, starting without it: %s", error)

    def state(self) -> dict[str, Any]:
        """The state that another process resumes from, see resume."""
        return {**self._list.state(), "memory": learned_state.export(self._balancer)}

    def set_discovery_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Use these addresses of discovery from now on."""
        self._list.move(addresses)

    @property
    def has_current_list(self) -> bool:
        """Whether a listing has been received from discovery."""
        return self._list.has_current_list

    # For operators

    def gauges(self) -> Gauges:
        """Current values of the metrics' gauges."""
        pending_count = sum(pending.body_complete for pending in self._pending.values())
        return Gauges(
            pending_count,
            len(self._list.backend_list),
            self._balancer.unavailable_count(self._clock.now()),
            self._list.age_ms(),
            self._list.unlisted_count(),
            None if self.peers is None else self.peers.levels(),
            loop_metrics(self._loop),
            MemoryBudget.of_running_loop().metrics(),
        )

    def detach(self, backend: str, prevalidated: bool = False) -> None:
        """Send no new attempts to a backend, whatever discovery lists. Raises LookupError if it was never
        listed, unless prevalidated."""
        self._list.detach(backend, prevalidated)

    def attach(self, backend: str) -> None:
        """Undo a detach."""
        self._list.attach(backend)

    def limit_connections(self, max_connections: int) -> None:
        """Set the maximum number of connections to backends."""
        self._connection_pool.limit_connections(max_connections)

    # For the downstream connections

    def is_ready(self) -> bool:
        """Whether the agent reports itself ready for requests."""
        has_list = not self._list.pushes or self.has_current_list
        return has_list or self._loop.time() >= self._started_at + FIRST_LIST_TIMEOUT_S

    def accept_request(self, call: DownstreamRequest) -> None:
        """Accept a request; its client gets exactly one final answer unless it disconnects."""
        self._request_count += 1
        if self.peers is not None:
            self.peers.request()
        call.number = self._request_count
        pending = self._pending[call.number] = PendingRequest(call)
        left_us = max(0, call.left_us(self._clock.now()))
        self._schedule_overdue_check(pending, left_us)
        body = call.body
        if not isinstance(body, bytes):
            body.on_complete = partial(self._body_completed, pending)
        self._post(pending.arrival(left_us))

    def _body_completed(self, pending: PendingRequest) -> None:
        """Restart the deadline timer when the whole body has been received: the client's timeout counts from
        the last byte of its request."""
        call = pending.call
        if call.number in self._pending and pending.response_stream is None:
            self._schedule_overdue_check(pending, call.left_us(self._clock.now()))

    def _schedule_overdue_check(self, pending: PendingRequest, after_us: int) -> None:
        """Check after this time, plus a grace period, that the request has been answered."""
        pending.cancel_deadline_timer()
        pending.deadline_timer = self._loop.call_later(
            max(0, after_us) / 1e6 + OVERDUE_GRACE_S, self._overdue, pending.call.number
        )

    def client_left(self, call: DownstreamRequest) -> None:
        """The client has disconnected."""
        pending = self._pending.get(call.number)
        if pending is not None:
            self._release(pending, CLIENT_GONE_STATUS, None)
            self._post(interface.ClientGone(call.number))

    def refuse(self, call: DownstreamRequest, refusal: Rejected) -> None:
        """Answer a request whose body is still being received with this error, and withdraw it."""
        self._withdraw(call.number, refusal.status, refusal.headers, f"{refusal}\n".encode())

    def close_idle_connections(self) -> None:
        """Close the connections to backends that are kept for later requests."""
        self._connection_pool.close_idle()

    def fail_all_pending(self) -> None:
        """Answer all requests whose response has not started with 500, except where a large one arrives."""
        for number, pending in list(self._pending.items()):
            if pending.response_stream is None and not pending.stream_arriving_response():
                self._answer_internal_error(number)

    def _overdue(self, number: int) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        left_us = pending.upload_left_us(self._clock.now())
        if left_us > 0:
            return self._schedule_overdue_check(pending, left_us)
        log.error("request %d: the policy gave no answer before the deadline", number)
        self._answer_internal_error(number)

    def _answer_internal_error(self, number: int) -> None:
        """Answer with 500 where the policy gave no answer: a failure is correct whatever has been sent."""
        self._withdraw(number, 500, [], b"failed\n")

    def _withdraw(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        """Give a request this final answer without the policy, which is told to forget it."""
        if number in self._pending:
            self._answer(number, status, headers, body)
            self._post(interface.ClientGone(number))

    def _answer(self, number: int, status: int, headers: Headers, body: bytes) -> None:
        """Give a request this final answer; ends a streamed response as truncated instead."""
        pending = self._pending.get(number)
        if pending is None:
            return
        call, client = pending.call, pending.call.client
        if pending.response_stream is not None:
            self._release(pending, status, partial(client.finish, call, False))
        else:
            self._release(pending, status, partial(client.answer, call, status, headers, body))

    def count_rejected(self, request_class: int, status: int) -> None:
        """Count a request that the downstream connection answered itself."""
        self._metrics.count_request(request_class, status)

    def _release(self, pending: PendingRequest, status: int, write: Callable[[], None] | None) -> None:
        """Give a request its final answer, by calling write; None if its client has disconnected.

        Only this method removes a request from the pending ones. Nothing would answer it later, so if write
        raises, the client gets an error, or a closed connection if a part of its response has been written.
        Attempts in flight are closed before the answer is given, and no more are sent.
        """
        call = pending.call
        del self._pending[call.number]
        if self._handling:
            self._released[call.number] = pending
        pending.cancel_deadline_timer()
        for attempt in pending.attempts:
            attempt.cancel()
        call.release_body()
        try:
            if write is not None:
                write()
        except Exception:
            log.exception("request %d: response could not be written", call.number)
            call.client.fail(call)
            status = TRUNCATED_STATUS
        try:
            self._metrics.count_request(call.request_class, status)
        except Exception:
            log.exception("request %d: could not be counted in the metrics", call.number)

    # Events

    def _post(self, event: interface.Event) -> None:
        """Queue an event and handle the queue, unless that is already under way: an action may complete at
        once and post an event, and Balancer.handle is not reentrant."""
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

    def _handle(self, event: interface.Event) -> None:
        previous_actions = self._balancer.actions
        try:
            actions = self._balancer.handle(self._clock.now(), event)
        except Exception:
            log.exception("the policy failed on %s", type(event).__name__)
            interrupted_actions = self._balancer.actions
            actions = [] if interrupted_actions is previous_actions else list(interrupted_actions)
            self._recover_from_fault(event)
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)
                self._answer_internal_error(getattr(action, "request", 0))

    def _recover_from_fault(self, event: interface.Event) -> None:
        """After the policy raised: answer the event's request and repeat a timer event. The actions that it
        had decided on before are still carried out, for the sake of other requests; requests that it lost
        are answered when their deadline timer fires."""
        if isinstance(event, interface.TimerFired):
            self._loop.call_later(TIMER_RETRY_S, self._post, event)
        self._answer_internal_error(getattr(event, "request", 0))

    # Actions

    def _send(self, action: interface.Send) -> None:
        pending = self._pending.get(action.request) or self._released.get(action.request)
        if pending is None:
            return
        call, attempt = pending.call, Attempt(self, action.request, len(pending.attempts), action.backend)
        pending.attempts.append(attempt)
        if action.request not in self._pending:  # answered since the policy decided this, or its client left
            return attempt.end(ExchangeResult(interface.Outcome.NOT_SENT, 0))
        upstream_request = UpstreamRequest(
            call.method,
            call.target,
            call.headers,
            call.body,
            attempt,
            partial(self._wanted, action),
            call.left_us,
        )
        try:
            exchange = self._connection_pool.exchange(
                action.backend, upstream_request, action.timeout_us, attempt.end
            )
        except Exception:
            log.exception("request %d: attempt could not be started", action.request)
            self._answer_internal_error(action.request)
            return attempt.end(INTERNAL_FAILURE)
        if not exchange.ended:
            attempt.exchange = exchange
            self._open_exchanges[action.request, attempt.index] = exchange

    def _wanted(self, action: interface.Send) -> bool:
        """Whether an attempt is still to be sent. The client's connection is checked last, so that the result
        reflects a disconnect up to this moment."""
        pending = self._pending.get(action.request)
        in_time = not action.until_us or self._clock.now() < action.until_us
        return pending is not None and in_time and pending.call.client.is_waiting(pending.call)

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Use the result of an attempt; the policy is told of its end even if that fails."""
        request_number = attempt.number
        exchange = self._open_exchanges.pop((request_number, attempt.index), None)
        pending = self._pending.get(request_number)
        body_consumed = pending is not None and pending.body_consumed
        try:
            if pending is not None:
                self._use_result(pending, exchange, result)
        except Exception:
            log.exception("request %d: the result of an attempt could not be used", request_number)
            self._answer_internal_error(request_number)
        try:
            self._list.record_attempt_result(str(attempt.backend), result)
        except Exception:
            log.exception("could not record an attempt's result for backend %s", attempt.backend)
        self._post(attempt.ended_event(result, request_number not in self._pending, body_consumed))

    def _use_result(self, pending: PendingRequest, exchange: Exchange | None, result: ExchangeResult) -> None:
        """Answer the request with an attempt's response if it succeeded. Once a response is being streamed
        only that one counts; other attempts may still succeed where cancelling is switched off."""
        call, number, served = pending.call, pending.call.number, result.outcome is interface.Outcome.OK
        if pending.response_stream is not None:
            if pending.response_stream is exchange:
                self._release(
                    pending, 200 if served else TRUNCATED_STATUS, partial(call.client.finish, call, served)
                )
        elif served:
            self._answer(number, 200, _content_type_headers(result.content_type), result.body)

    def response_started(
        self, attempt: Attempt, exchange: ResponseStream, content_type: bytes | None, length: int | None
    ) -> None:
        """Start to stream a large response; the first one of a request is used, others are cancelled."""
        pending = self._pending.get(attempt.number)
        if pending is None or pending.response_stream is not None:
            return exchange.cancel()
        pending.response_stream = exchange
        pending.cancel_deadline_timer()
        if pending.body_complete:
            pending.call.release_body()
        try:
            # Writes nothing if the client is disconnecting; the connection reports that shortly after.
            pending.call.client.start_response(
                pending.call, _content_type_headers(content_type), length, exchange
            )
        except Exception:
            return self._abort_stream(attempt)
        self._post(
            interface.StreamStarted(attempt.number, attempt.index, exchange.latency_us, exchange.report())
        )

    def response_continued(self, attempt: Attempt, exchange: ResponseStream, data: bytes) -> None:
        """The next part of a streamed response."""
        pending = self._pending.get(attempt.number)
        if pending is not None and pending.response_stream is exchange:
            try:
                pending.call.client.write_part(pending.call, data)
            except Exception:
                self._abort_stream(attempt)

    def _abort_stream(self, attempt: Attempt) -> None:
        """Cancel the attempt after a failure to write its response. When the attempt ends, _use_result ends
        the request too."""
        log.exception("request %d: response could not be streamed to the client", attempt.number)
        attempt.cancel()

    def _refuse(self, action: interface.Refuse) -> None:
        self._answer(action.request, 503, retry_after(action.retry_after_us), b"refused\n")

    def _fail(self, action: interface.Fail) -> None:
        self._answer(action.request, 502, [], b"failed\n")

    def _cancel(self, action: interface.Cancel) -> None:
        pending = self._pending.get(action.request)
        if pending is not None and action.attempt < len(pending.attempts):
            pending.attempts[action.attempt].cancel()

    def _set_timer(self, action: interface.SetTimer) -> None:
        self._loop.call_later(action.delay_us / 1e6, self._post, interface.TimerFired(action.token))

    def _probe(self, action: interface.Probe) -> None:
        def done(result: ExchangeResult) -> None:
            self._post(interface.ProbeEnded(action.backend, result.outcome, result.latency_us, result.report))

        self._connection_pool.probe(action.backend, done)

    def _watch(self, action: interface.Watch) -> None:
        self._list.watch()

    def _fetch(self, action: interface.Fetch) -> None:
        self._list.fetch()

    def _log(self, action: interface.Log) -> None:
        log.info("%s", action.text)
