"""Writes the responses on a downstream connection, and closes it gracefully after the last one."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import struct
import termios
from typing import Protocol

import h11

from .buffered_input import buffered_length
from .connection import Connection, Headers
from .downstream_request import DownstreamRequest, Source
from .request_deadline import RequestDeadline

log = logging.getLogger(__name__)

# A lingering close ends after LINGER_SILENCE_S without input, and after LINGER_LIMIT_S in any case.
LINGER_SILENCE_S, LINGER_LIMIT_S = 1.0, 30.0
WRITE_STALL_S = 60.0  # a client that takes nothing of its response for this time is reset
# Written without h11, which may be in any state after an error.
FAILURE_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\nConnection: close\r\n\r\nfailed\n"
)


class AnsweringServer(Protocol):
    """What the writing of responses needs of the server."""

    @property
    def closing(self) -> bool:
        """Whether each response asks its client to close the connection."""


class ResponseConnection(Connection):
    """The writing half of a downstream connection: one response to each request, in the order of requests."""

    __slots__ = (
        "_server",
        "_loop",
        "_request",
        "_request_chunked",
        "_pipeline_overflowed",
        "_deadline",
        "_downstream_request",
        "_source",
        "_response_started",
        "_has_answered",
        "_write_stall_timer",
        "_linger_timer",
    )
    kind = "client"
    _server: AnsweringServer

    def __init__(self) -> None:
        super().__init__(h11.SERVER)
        self._loop = asyncio.get_running_loop()
        self._request: h11.Request | None = None
        self._request_chunked = False  # the body of the request
        self._pipeline_overflowed = False  # pipelined input exceeded its limit, and the excess was dropped
        self._deadline = RequestDeadline()
        self._downstream_request: DownstreamRequest | None = None
        self._source: Source | None = None  # of a streamed response
        self._response_started = False  # bytes of the current response have been written
        self._has_answered = False  # a response has been written on this connection
        self._write_stall_timer: asyncio.TimerHandle | None = None  # set while the client does not read
        self._linger_timer: asyncio.TimerHandle | None = None  # set during a lingering close

    # Implemented by the reading half

    def _next_request(self) -> None:
        """Read the request that follows the one that has been answered."""
        raise NotImplementedError

    # Writing

    @property
    def busy(self) -> bool:
        """Whether a response is being streamed, or bytes of any response are not written yet."""
        return self._source is not None or not self.written

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers, which refer to the connection."""
        super().connection_lost(exc)
        for timer in (self._write_stall_timer, self._linger_timer):
            if timer is not None:
                timer.cancel()

    def abort(self) -> None:
        """Close now. A response in progress is reset, so that the client cannot take it for complete."""
        if self.busy:
            self._reset()
        else:
            self.drop()

    def answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response, unless the request has one already or its client has left."""
        if self._downstream_request is call:
            self._respond(status, headers, body)

    def start_response(
        self, call: DownstreamRequest, headers: Headers, length: int | None, source: Source
    ) -> None:
        """Write the head of a streamed response; `length` is None if unknown in advance."""
        if self._downstream_request is not call or not self._writable():
            return
        self._source = source
        framing = [] if length is None else [(b"Content-Length", b"%d" % length)]
        self.send(h11.Response(status_code=200, headers=[*headers, *framing, *self._connection_header()]))
        self._pause_source()

    def write_part(self, call: DownstreamRequest, data: bytes) -> None:
        """Write the next piece, and pause the source until the kernel has taken it."""
        if self._downstream_request is call and self._writable():
            self.send(h11.Data(data=data))
            self._pause_source()

    def finish(self, call: DownstreamRequest, complete: bool) -> None:
        """End a streamed response; an incomplete one is broken off."""
        if not complete:
            self.fail(call)
        elif self._downstream_request is call:
            writable = self._writable()
            if writable:
                self.send(h11.EndOfMessage())
            self._release_call()
            if writable:
                self._answered()

    def fail(self, call: DownstreamRequest) -> None:
        """Write a fixed failure response, or reset the connection if a part of a response has been written.
        Never raises."""
        if self._downstream_request is not call:
            return
        self._release_call()
        try:
            if self._response_started:
                self._reset()
            elif self._writable():
                self.transmit(FAILURE_RESPONSE)
                self._linger_or_drop()
        except Exception:
            log.exception("could not send a failure response")
            self.drop()

    def _release_call(self) -> None:
        """Forget the request: it has its response, or no client to read one. Called only after the response
        is written, because until then `fail` and a leaving client still need the request; `fail` itself,
        the last resort, calls it first."""
        self._downstream_request = self._source = None

    def transmit(self, data: bytes) -> None:
        """Write the bytes, and note that a response has started."""
        # Informational responses such as 100 Continue are not part of the response.
        self._response_started = self._response_started or self.http.our_state is not h11.SEND_RESPONSE
        super().transmit(data)

    def _pause_source(self) -> None:
        if not self.written and self._source is not None:
            self._source.pause()
            self._start_write_stall_timer()

    def _start_write_stall_timer(self) -> None:
        if self._write_stall_timer is None:
            self._write_stall_timer = self._loop.call_later(
                WRITE_STALL_S, self._check_write_stall, self._untaken_bytes()
            )

    def _check_write_stall(self, previous_bytes: int) -> None:
        """Reset the connection if the client has taken nothing since this number of bytes was left to it."""
        self._write_stall_timer = None
        if self._untaken_bytes() == previous_bytes:
            self._reset()
        else:
            self._start_write_stall_timer()

    def _untaken_bytes(self) -> int:
        """The bytes that the client's machine has not taken. They become fewer while a response is read
        slowly, long before the kernel has room for more."""
        if self.transport is None or self.transport.is_closing():
            return 0
        socket_fd = self.transport.get_extra_info("socket").fileno()
        try:
            (in_kernel,) = struct.unpack("i", fcntl.ioctl(socket_fd, termios.TIOCOUTQ, bytes(4)))
        except OSError:
            in_kernel = 0
        return self.transport.get_write_buffer_size() + int(in_kernel)

    def resume_writing(self) -> None:
        """The kernel has taken all bytes: continue the streamed response."""
        super().resume_writing()
        if self._write_stall_timer is not None:
            self._write_stall_timer.cancel()
            self._write_stall_timer = None
        if self._source is not None:
            self._source.resume()

    def _reset(self) -> None:
        """Reset the connection, so that the client cannot take the response for complete, however its length
        is given."""
        if self.transport is not None and not self.transport.is_closing():
            self.reset_on_close()
            self.discards_input = self.closed = True
            self.transport.abort()

    def _writable(self) -> bool:
        return not (self.closed or self.transport is None or self.transport.is_closing())

    def _request_complete(self) -> bool:
        # A chunked request counts as incomplete, which makes it the last one on the connection: h11 is
        # lenient about where the trailer of the chunks ends.
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED) and not self._request_chunked

    def _connection_header(self, close: bool = False) -> Headers:
        # Requests that have been read already behind this one are answered too.
        is_last = self._server.closing and not buffered_length(self.http)
        is_last = is_last or close or self._pipeline_overflowed or not self._request_complete()
        return [(b"Connection", b"close")] if is_last else []

    def _respond(self, status: int, headers: Headers, body: bytes, close: bool = False) -> None:
        if not self._writable():
            return self._release_call()
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), *self._connection_header(close)]
        is_head_request = self._request is not None and self._request.method == b"HEAD"
        data = [] if is_head_request or not body else [h11.Data(data=body)]
        self.send(h11.Response(status_code=status, headers=fields), *data, h11.EndOfMessage())
        self._release_call()
        self._answered()

    def _answered(self) -> None:
        """Start the next request, or close. The response has been written, so a failure here must not reset
        it."""
        self._has_answered = True
        try:
            self._start_next_or_linger()
        except Exception:
            log.exception("connection failed after a response")
            self._linger_or_drop()

    def _linger_or_drop(self) -> None:
        try:
            self._linger()
        except Exception:
            log.exception("cannot close a connection gracefully")
            self.drop()

    def _start_next_or_linger(self) -> None:
        if (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self._pipeline_overflowed
        ):
            self.http.start_next_cycle()
            self._response_started = False
            self._next_request()
        else:
            self._linger()

    def _linger(self) -> None:
        """Lingering close after a response: read and drop further input, such as a pipelined request or the
        rest of a body. Closing with unread bytes would reset the connection, and the client could lose the
        response.
        """
        self.discards_input = True
        self._deadline.stop()
        self._deadline.on_bytes()  # the silence counts from now
        super().resume()
        self.end_sending()
        self._schedule_linger_check(self._deadline.last_read_at + LINGER_LIMIT_S)

    def _schedule_linger_check(self, deadline: float) -> None:
        self._linger_timer = self._loop.call_later(LINGER_SILENCE_S, self._end_lingering, deadline)

    def _end_lingering(self, deadline: float) -> None:
        """Close once the response is written and the client has been silent for LINGER_SILENCE_S or the
        deadline, in the loop's time, is over."""
        assert self.transport is not None
        now = self._loop.time()
        if self.written and now >= min(deadline, self._deadline.last_read_at + LINGER_SILENCE_S):
            self.transport.abort()
        elif not self.transport.is_closing():
            self._schedule_linger_check(deadline)
