"""An exchange with a backend: one attempt or probe, from its connection to its result."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

import h11

from burlshift.balancing.interface import BackendId, Outcome

from .clock import Clock
from .connection import Fields, checked_request, fields_of, header
from .listing import Member
from .memory_budget import MemoryBudget
from .response_arrival import ResponseArrival
from .upstream_connection import PooledConnection
from .upstream_request import ExchangeResult, UpstreamRequest, parse_report

log = logging.getLogger(__name__)

# Outcomes after which the agent resets the connection: no part of the request that the backend has not
# received yet may reach it later.
CLOSED_BY_AGENT = (Outcome.CANCELLED, Outcome.TIMEOUT)
HOST = b"origin.svc"  # Host header of all requests to backends
MAX_BUFFERED_BYTES = 64 * 1024  # a response up to this size is buffered, a larger one is streamed
MIN_REMAINING_US = 1_000  # Request-Timeout-Ms has whole milliseconds: with less than one left nothing is sent
# A backend that reads or sends nothing for this long, while it could, has stopped responding.
STALL_TIMEOUT_S = 5.0


class ConnectionPool(Protocol):
    """What an exchange needs of the connection pool."""

    @property
    def clock(self) -> Clock:
        """The agent's clock."""

    @property
    def report_fields(self) -> tuple[str, ...]:
        """The fields of a load report; () where backends send none."""

    @property
    def on_request_sent(self) -> Callable[[], None]:
        """Called when the last byte of a request has been written; not for probes."""

    def ready_member(self, backend: BackendId) -> Member | None:
        """The backend's entry in the list, or None unless it is there in state READY."""

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes an idle one for it at the limit."""

    def take_idle(self, member: Member) -> PooledConnection | None:
        """Take an idle connection that is safe to reuse out of the pool, or return None."""

    def connect_for(self, member: Member, exchange: Exchange) -> None:
        """Open a connection; the exchange is sent on the first connection to this backend that is free."""

    def remove_waiter(self, backend: BackendId, exchange: Exchange) -> None:
        """Remove an exchange from those that wait for a connection."""

    def assign_or_keep(self, connection: PooledConnection, now: int) -> None:
        """Give a connection to the longest waiting exchange that may still be sent, or keep it idle."""

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection for reuse if its exchange is complete; close it otherwise."""


class Exchange:
    """One attempt or probe: sends its request to a backend and reads the response.

    Ends exactly once, by calling done with an ExchangeResult.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        backend: BackendId,
        request: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> None:
        self._pool, self._backend, self._request, self._done = pool, backend, request, done
        self._loop = asyncio.get_running_loop()
        self._budget = MemoryBudget.of_running_loop()
        self._timeout_us = timeout_us
        self._started_us = pool.clock.now()
        self._connection: PooledConnection | None = None
        self._sending_body = False  # a streamed request body has not been sent to its end
        self._status = 0
        self._headers: Fields = {}
        self._length: int | None = None
        self._body = bytearray()
        self._arrival: ResponseArrival | None = None  # of a response without a length that may be streamed
        self._stream_start_us = -1  # from the start until the response began to be streamed; -1: not yet
        self._paused = False  # the response's reader is slower than the backend
        self._last_progress = 0.0  # loop time at which data was last sent or received
        self.ended = False
        self._timer = self._loop.call_later(timeout_us / 1e6, self._on_deadline)

    def start(self) -> None:
        """Send the request on an idle connection, or wait for one."""
        try:
            self._find_connection()
        except Exception:
            log.exception("attempt failed before it was sent")
            self._end(Outcome.NOT_SENT)

    def _find_connection(self) -> None:
        member = self._pool.ready_member(self._backend)
        if member is None:
            return self._end(Outcome.NOT_SENT)
        connection = self._pool.take_idle(member)
        if connection is not None:
            if not self.send_on(connection):
                self._pool.assign_or_keep(connection, self._pool.clock.now())
            return
        if not self.may_wait():
            return
        if not self._pool.make_room():
            return self._end(Outcome.NOT_SENT)
        self._pool.connect_for(member, self)

    def cancel(self) -> None:
        """End the exchange: its response is not needed any more."""
        self._end(Outcome.CANCELLED)

    def connection_unavailable(self, outcome: Outcome) -> None:
        """End the exchange with this outcome: it gets no connection."""
        self._end(outcome)

    def may_wait(self) -> bool:
        """Whether it may still wait for a connection; ends it if not. Its deadline or the time in which the
        request may be repeated may have passed, the client may have disconnected, or the backend may not be
        listed as ready any more.
        """
        if self.may_be_sent() and not self._wanted():
            self._end(Outcome.NOT_SENT)
        return not self.ended

    def may_be_sent(self) -> bool:
        """Like may_wait, but does not check whether it is still wanted: send_on does."""
        if not self.ended and (
            self._pool.ready_member(self._backend) is None or self._left_us() < MIN_REMAINING_US
        ):
            self._end(Outcome.NOT_SENT)
        return not self.ended

    def _wanted(self) -> bool:
        try:
            return self._request.wanted()
        except Exception:  # must not keep the exchanges that wait behind this one from getting the connection
            log.exception("could not check whether an attempt is still wanted")
            return False

    def send_on(self, connection: PooledConnection) -> bool:
        """Send the request on this connection, or end. False if the connection has not been used: it is still
        idle then and can be given to another exchange."""
        try:
            return self._write_request(connection)
        except Exception:
            if self._connection is None:  # nothing has been sent, but its state is unknown: not reused
                connection.drop()
            self._end_on_exception()
            return True

    def _end_on_exception(self) -> None:
        """Log the current exception and end: an attempt without an end would leave its request unanswered."""
        log.exception("attempt failed")
        self._end(self._outcome_of_break())

    def _left_us(self) -> int:
        """The remaining time: the smaller of the attempt's timeout and the client's."""
        now, body = self._pool.clock.now(), self._request.body
        own_us = self._timeout_us
        if isinstance(body, bytes) or body.complete:  # the timeout starts after the body
            own_us -= now - self._started_us
        return own_us if self._request.left_us is None else min(own_us, self._request.left_us(now))

    def _write_request(self, connection: PooledConnection) -> bool:
        """Write the headers and the part of the body that has been received. Returns what send_on returns."""
        request, body, headers = self._request, self._request.body, [(b"Host", HOST), *self._request.headers]
        if request.reader is not None:
            left_us = self._left_us()  # computed again: time has passed since may_be_sent
            if left_us < MIN_REMAINING_US:
                self._end(Outcome.NOT_SENT)
                return False
            headers.append((b"Request-Timeout-Ms", b"%d" % (left_us // 1000)))
        initial_body = body if isinstance(body, bytes) else body.buffered()
        length = len(initial_body) if isinstance(body, bytes) else body.length
        if length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif length or request.method == "POST":
            headers.append((b"Content-Length", b"%d" % length))
        events: list[h11.Event] = [checked_request(request.method, request.target, headers)]
        if initial_body:
            events.append(h11.Data(data=initial_body))
        if not self._wanted():  # checked after the clock was last read, since the agent may be delayed there
            self._end(Outcome.NOT_SENT)
            return False
        self._connection, connection.exchange = connection, self
        if isinstance(body, bytes) or body.complete:
            connection.send(*events, h11.EndOfMessage())
            if connection.written:
                self.on_written()
            return True
        self._sending_body = True
        self._timer.cancel()
        self._watch_progress()
        connection.send(*events)
        if connection.written:
            body.stream_to(self)
        return True

    # Streamed request bodies

    def receive_data(self, data: bytes) -> None:
        """Send the next part of the body."""
        if self.ended or self._connection is None:
            return
        assert not isinstance(self._request.body, bytes)
        self._last_progress = self._loop.time()
        try:
            self._connection.send(h11.Data(data=data))
            if not self._connection.written:
                self._request.body.pause()
        except Exception:  # must not reach the caller, which is reading from the client
            self._end_on_exception()

    def end_body(self) -> None:
        """The body is complete: end the request and start the attempt's timeout."""
        if self.ended or self._connection is None:
            return
        self._sending_body = False
        self._timer.cancel()
        self._started_us = self._pool.clock.now()
        self._timer = self._loop.call_later(max(0, self._left_us()) / 1e6, self._on_deadline)
        try:
            self._connection.send(h11.EndOfMessage())
        except Exception:
            return self._end_on_exception()
        if self._connection.written:
            self.on_written()

    def _watch_progress(self) -> None:
        """While a body or response is streamed, limit only the time without progress, see STALL_TIMEOUT_S."""
        self._last_progress = self._loop.time()
        self._timer.cancel()
        self._timer = self._loop.call_later(STALL_TIMEOUT_S, self._check_progress)

    def _check_progress(self) -> None:
        # A client that is slower than the backend is watched by its own connection.
        waits_for_client = self._paused or (self._sending_body and self._flushed())
        if waits_for_client:
            return self._watch_progress()
        left_s = self._last_progress + STALL_TIMEOUT_S - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check_progress)
        else:
            self._timed_out()

    def on_written(self) -> None:
        """The kernel has accepted all bytes sent so far: request more of the body, or report it sent."""
        if self._sending_body:
            assert not isinstance(self._request.body, bytes)
            self._last_progress = self._loop.time()
            try:
                self._request.body.stream_to(self)
            except Exception:
                self._end_on_exception()
        elif self._request.reader is not None:
            self._pool.on_request_sent()

    # The response

    def on_event(self, event: h11.Event) -> None:
        """Process an event of the response."""
        event_type = type(event)
        if event_type is h11.Response:
            assert isinstance(event, h11.Response)
            self._status, self._headers = event.status_code, fields_of(event.headers)
            # With both headers it is ambiguous where the response ends (RFC 9112, section 6.3).
            if b"content-length" in self._headers and b"transfer-encoding" in self._headers:
                return self._end(Outcome.ERROR)
            # A backend starts work once it has the last byte: a response before that belongs to another
            # request, or rejects this one.
            if not self._request_sent():
                return self._end(self._outcome_of_response())
            length = header(self._headers, b"content-length")
            self._length = int(length) if length is not None else None
            if self._length is None:
                self._arrival = ResponseArrival(self._loop.time())
            elif self._length > MAX_BUFFERED_BYTES:
                self._start_streaming()
        elif event_type is h11.Data:
            assert isinstance(event, h11.Data)
            self._body += event.data
        elif event_type is h11.EndOfMessage:
            self._on_data(self._is_too_large_to_buffer())
            self._end(self._outcome_of_response())

    def on_read(self) -> None:
        """Pass the data of one read on to the reader of a streamed response."""
        self._on_data(self._is_too_large_to_buffer() or self._must_free_memory())

    def _must_free_memory(self) -> bool:
        """Whether too much is held for all connections for this response to be buffered on."""
        is_answer = self._request.reader is not None and self._request_sent()
        return bool(self._body) and is_answer and self._budget.wants_streaming

    def _on_data(self, stream: bool) -> None:
        """Pass on what has been read of a streamed response, which begins if `stream`."""
        if self.ended:
            return
        if self._stream_start_us < 0 and stream:
            self._start_streaming()
        if self._stream_start_us >= 0 and self._body and not self.ended:
            data, self._body = bytes(self._body), bytearray()
            self._last_progress = self._loop.time()
            assert self._request.reader is not None
            self._request.reader.receive_data(self, data)

    def _is_too_large_to_buffer(self) -> bool:
        """Whether the response exceeds MAX_BUFFERED_BYTES, or will by the pace at which it has been arriving
        for some time."""
        if len(self._body) > MAX_BUFFERED_BYTES:
            return True
        if self._arrival is None:
            return False
        now = self._loop.time()
        self._arrival.record(len(self._body), now)
        return self._may_be_streamed() and self._arrival.is_overdue(now)

    def stream_if_arriving(self) -> bool:
        """Stream a response that is being buffered, if it still arrives at the pace of a large one; returns
        whether it is streamed. Called when the response can be buffered no longer."""
        if self.ended or self._arrival is None or self._stream_start_us >= 0:
            return False
        if not (self._may_be_streamed() and self._arrival.is_in_progress(self._loop.time())):
            return False
        try:
            self._start_streaming()
            self.on_read()
        except Exception:
            self._end_on_exception()
        return self._stream_start_us >= 0 and not self.ended

    def _may_be_streamed(self) -> bool:
        return self._status == 200 and self._request.reader is not None and self._request_sent()

    def _on_deadline(self) -> None:
        """The attempt's time is over. A large response that its backend is still sending is not cut off: the
        backend has run the request, and the client is given what arrives."""
        if not self.stream_if_arriving():
            self._timed_out()

    def _start_streaming(self) -> None:
        """Start to stream a large response if its status is 200; of others only the status is used. Smaller
        responses are buffered until complete: a streamed one may end up truncated."""
        reader = self._request.reader
        if self._status != 200 or reader is None:
            return self._end(self._outcome_of_response())
        self._stream_start_us = self._pool.clock.now() - self._started_us
        if isinstance(self._request.body, bytes):  # it has been sent, and may be large
            self._request = self._request._replace(body=b"")
        self._watch_progress()
        reader.response_started(self, self._headers.get(b"content-type"), self._length)

    def pause(self) -> None:
        """Stop reading from the backend: the response's reader is slower."""
        if self._connection is not None and not self._paused:
            self._paused = True
            self._connection.pause()

    def resume(self) -> None:
        """Read from the backend again."""
        if self._connection is not None and self._paused:
            self._paused = False
            self._last_progress = self._loop.time()
            self._connection.resume()

    @property
    def buffered_bytes(self) -> int:
        """The length of what has been buffered of the response."""
        return len(self._body)

    @property
    def latency_us(self) -> int:
        """The time until the response began to be streamed, or else until now."""
        return (
            self._stream_start_us if self._stream_start_us >= 0 else self._pool.clock.now() - self._started_us
        )

    def report(self) -> tuple[float, ...]:
        """The load report in the response's header, or in the body of a probe's response; () without one."""
        fields = self._pool.report_fields
        values = parse_report(header(self._headers, b"server-load"), fields)
        if not values and self._request.target == "/_load":
            values = parse_report(self._body.decode("latin-1"), fields)
        return values

    def on_broken(self) -> None:
        """End after an invalid response. The outcome is not RESET, for which the policy would stop using the
        backend at once: the backend's process is running."""
        self._end(Outcome.ERROR if self._request_sent() else Outcome.CONNECT_FAILED)

    def on_end(self) -> None:
        """The connection has ended before the response was complete."""
        self._end(self._outcome_of_break())

    def _outcome_of_response(self) -> Outcome:
        if self._status == 200:
            # A response before the end of the request is an error. Only a probe's response can exceed the
            # buffer limit here: it is not streamed.
            valid = self._request_sent() and len(self._body) <= MAX_BUFFERED_BYTES
            return Outcome.OK if valid else Outcome.ERROR
        if self._status in (503, 504) and header(self._headers, b"not-started") == "1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _outcome_of_break(self) -> Outcome:
        """The outcome of a broken connection: until the last byte was written the backend has not started."""
        return Outcome.RESET if self._request_sent() else Outcome.CONNECT_FAILED

    def _flushed(self) -> bool:
        """Whether the kernel has accepted all bytes of the request that have been available so far."""
        return self._connection is not None and self._connection.written

    def _request_sent(self) -> bool:
        return self._flushed() and not self._sending_body

    def _timed_out(self) -> None:
        self._end(Outcome.TIMEOUT if self._request_sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        try:
            self._release(outcome)
        except Exception:
            log.exception("an attempt's resources could not be released")
            if self._connection is not None:
                self._connection.drop()
        self._done(
            ExchangeResult(
                outcome,
                self.latency_us,
                self.report(),
                bytes(self._body),
                self._headers.get(b"content-type"),
                self._stream_start_us >= 0,
            )
        )

    def _release(self, outcome: Outcome) -> None:
        """Release the timer, the place in the queue for a connection, the body and the connection."""
        self._timer.cancel()
        self._pool.remove_waiter(self._backend, self)
        if self._sending_body:
            assert not isinstance(self._request.body, bytes)
            self._request.body.stop(self)
        if self._connection is not None:
            self.resume()
            if outcome in CLOSED_BY_AGENT:
                self._connection.reset_on_close()
            self._connection.end_exchange()
            self._pool.release(self._connection)
