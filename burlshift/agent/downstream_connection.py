"""Reads and checks the requests on a downstream connection, which comes from the application."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from .blank_lines import BlankLines
from .buffered_input import buffered_bytes, buffered_length, discard_buffered, http_connection
from .connection import Fields, Headers, fields_of, header
from .downstream_request import DownstreamRequest, Rejected, RequestHandler, ResponseWriter
from .downstream_response import AnsweringServer, ResponseConnection
from .memory_limits import REQUEST_BYTES
from .request_parser import RequestParser, has_ambiguous_head, origin_form
from .sent_time import SentTime
from .upload import Upload

API_PATH, HEALTH_PATH = "/api", "/_health"
BUFFERED_BODY_LIMIT_BYTES = 64 * 1024  # a larger body is streamed to the backend
BODY_LIMIT_BYTES = 32 * 1024 * 1024
# The longest time for which the last piece of a streamed body is held back to read the input behind it.
LAST_PIECE_WAIT_S = 0.05
# The longest time for which a request waits for the input behind it to be read; then it is refused.
INPUT_WAIT_S = 0.25
MUCH_INPUT_BYTES = 4 * 1024  # in one read; less than that cannot hide a close from the kernel
PIPELINE_LIMIT_BYTES = 64 * 1024  # kept of pipelined input while a request is pending; more is dropped
FIRST_REQUEST_S = 0.5  # a new connection without a request counts as idle after this
POLL_INTERVAL_S = 0.01  # between two checks for unread input


class ConnectionOwner(AnsweringServer, Protocol):
    """What a connection needs of the server that accepted it."""

    @property
    def handler(self) -> RequestHandler:
        """Handles the requests of the connection."""

    @property
    def parser(self) -> RequestParser:
        """Checks the heads of the requests."""

    @property
    def connections(self) -> set[DownstreamConnection]:
        """The open connections, including this one."""

    @property
    def waiting_since(self) -> float | None:
        """The loop's time since which a client that is accepted now may have waited; None if it has not."""

    def is_ready(self) -> bool:
        """Whether the agent accepts new clients, as the health check reports it."""

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """Build the request from a complete head and a body that may still be arriving. Raises Rejected."""

    def on_capacity_freed(self) -> None:
        """A connection has ended or become idle, so another client can be accepted."""


class DownstreamConnection(ResponseConnection):
    """A downstream connection. It handles one request at a time."""

    _server: ConnectionOwner

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__()
        self._server = server
        self._fields: Fields = {}  # the headers of the request
        self._body_buffer = bytearray()  # body bytes that have been read but not passed on
        self._head_checked = False  # before the body was complete
        self._blank_lines = BlankLines()
        self._upload: Upload | None = None  # a body that is streamed
        # Set while the input behind a request is read first.
        self._input_timer: asyncio.TimerHandle | None = None
        self._sent_time = SentTime(self._loop, server.waiting_since)
        self.has_sent_request = False  # a proper request has been received

    @property
    def has_read_nothing(self) -> bool:
        """Whether no byte of a request has been read."""
        return (
            self._downstream_request is None
            and self.http.their_state is h11.IDLE
            and not buffered_length(self.http)
        )

    @property
    def idle(self) -> bool:
        """Whether no byte of a request has arrived, in the kernel's buffer either, and no response is being
        written."""
        return self.has_read_nothing and self.written and not self.discards_input and self.has_no_input()

    @property
    def awaits_client(self) -> bool:
        """Whether only the client can continue: the connection is idle, the rest of a request has not
        arrived, or the client has to close after the last response."""
        if self.discards_input:
            return self.written
        if self._input_deferred:
            return False
        return self.idle or (self.waits_for_rest_of_request and self.has_no_input())

    @property
    def is_new(self) -> bool:
        """Whether it was accepted less than FIRST_REQUEST_S ago: a client connects because it has a request
        to send, so its first request is probably on the way."""
        awaits_request = self.has_read_nothing and self._deadline.timer is not None
        return awaits_request and self._loop.time() < self._deadline.started_at + FIRST_REQUEST_S

    @property
    def last_read_at(self) -> float:
        """The loop's time at which the latest bytes were read."""
        return self._deadline.last_read_at

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been read in part and has not been passed to the handler yet."""
        return self._downstream_request is None and not self.discards_input and not self.has_read_nothing

    @property
    def waits_for_rest_of_request(self) -> bool:
        """Whether the rest of a request that has been read in part is waited for, and would be read."""
        return self.has_unfinished_request and not (self._upload is not None and self._upload.paused)

    @property
    def has_unfinished_request(self) -> bool:
        """Whether a request has been read in part, a streamed one without a response included."""
        is_uploading = self._upload is not None and self._source is None and not self._awaiting_response
        return self.has_partial_request or (is_uploading and not self.discards_input)

    @property
    def sent_us(self) -> int:
        """The earliest time at which the client may have written the latest bytes, in us of the loop's
        clock."""
        return int(self._sent_time.earliest * 1e6)

    @property
    def _awaiting_response(self) -> bool:
        """Whether a request has been received completely and has no response yet."""
        return self._downstream_request is not None and (
            self._upload is None or self._upload.complete or self._input_timer is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the first request."""
        super().connection_made(transport)
        self._server.connections.add(self)
        if not self.has_no_input():  # a request that came with the connection has waited since the accept
            self._sent_time.note_unread_at_accept()
        self._deadline.start(self._on_deadline)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the server that it has capacity for another client."""
        self.discards_input = True  # also what has been read and waits for its turn
        self._discard_partial_request()
        super().connection_lost(exc)
        self._deadline.stop()
        self._server.connections.discard(self)
        self._server.on_capacity_freed()

    # Reading, and its deadline

    def pause(self) -> None:
        """Pause reading, and with it the client's deadline."""
        self._deadline.stop()
        self._sent_time.pause(self.last_read_at)
        super().pause()

    def resume(self) -> None:
        """Read again; the deadline continues if the rest of a streamed body is still to come."""
        super().resume()
        if (
            self._upload is not None
            and not self._awaiting_response
            and self._deadline.timer is None
            and not self.discards_input
        ):
            self._deadline.resume(self._on_deadline)

    def _on_deadline(self) -> None:
        self._deadline.stop()
        if self.discards_input or (self._downstream_request is not None and self._upload is None):
            return
        if self.has_partial_request or self._upload is not None:
            self._abort_request(408, "request not whole in time")
        elif self.has_no_input() or self._deadline.minimum_time_over:
            self.drop()
        else:  # its request has just arrived, and is read next
            self._deadline.check_after(POLL_INTERVAL_S, self._on_deadline)

    def check_head(self) -> None:
        """Raise RemoteProtocolError for two things that h11 accepts and other parsers read differently: a
        line that ends in a bare line feed, and a folded line. Either can hide the length of a body, whose
        content would then be taken for requests (request smuggling)."""
        if self.http.their_state is h11.IDLE and has_ambiguous_head(buffered_bytes(self.http)):
            raise h11.RemoteProtocolError("bare line feed or folded line in the head")

    def _feed(self, data: bytes | None) -> None:
        super()._feed(data)
        if self.has_partial_request:
            self._deadline.start(self._on_deadline)

    def held_bytes(self) -> int:
        """What is held for the client, with the body of its request until that has been answered."""
        call = self._downstream_request
        body_length = 0 if call is None else call.held_body_length
        return super().held_bytes() + len(self._body_buffer) + body_length

    def object_bytes(self) -> int:
        """What the connection takes, with the request that is handled on it."""
        return super().object_bytes() + (0 if self._downstream_request is None else REQUEST_BYTES)

    def _linger(self) -> None:
        super()._linger()
        self._forget_head()
        self._discard_partial_request()

    def _forget_head(self) -> None:
        """Free the head of a request that has been answered; the connection may rest for long."""
        self._request, self._fields = None, {}

    def _discard_partial_request(self) -> None:
        """Free what is held of a request that will not be read to its end."""
        self._body_buffer = bytearray()
        discard_buffered(self.http)
        self.count_held_bytes()

    def data_received(self, data: bytes) -> None:
        """Note the time of the bytes and pass them to h11, except blank lines and pipelined bytes beyond the
        limit."""
        self._deadline.on_bytes()
        if self.discards_input:
            return
        # Bytes behind a pipelined request must not change its time: it may have been complete before them.
        waits_its_turn = self._input_deferred and self.http.their_state is not h11.SEND_BODY
        if not (waits_its_turn or (self._awaiting_response and buffered_length(self.http))):
            self._sent_time.on_read(self.read_filled_buffer)
        if self.has_read_nothing:
            data = self._strip_blank_lines(data)
            if not data:
                return
        if self._exceeds_pipeline_limit(data):
            return
        super().data_received(data)

    def _exceeds_pipeline_limit(self, data: bytes) -> bool:
        """Whether the client has sent more pipelined input than is kept, which is none while too much is held
        for all connections; the response to the pending request is then the last on this connection. The
        connection is still read, because otherwise it would not show that the client has left. Behind a
        request that asked to close the connection nothing is kept: h11 would take that input for an error in
        the pending request.
        """
        if not self._awaiting_response:
            return False
        too_much = buffered_length(self.http) + len(data) > PIPELINE_LIMIT_BYTES or self._budget.is_exceeded
        self._pipeline_overflowed = (
            self._pipeline_overflowed or too_much or self.http.their_state is h11.MUST_CLOSE
        )
        return self._pipeline_overflowed

    def on_event(self, event: h11.Event) -> None:
        """Handle the head, a piece of the body, or the end of a request."""
        try:
            event_type = type(event)
            if event_type is h11.Request:
                assert isinstance(event, h11.Request)
                self._begin_request(event)
            elif event_type is h11.Data:
                assert isinstance(event, h11.Data)
                self._body_buffer += event.data
                self._deadline.received += len(event.data)
                if self._deadline.received > BODY_LIMIT_BYTES:
                    raise Rejected(413, "body too large")
            elif event_type is h11.EndOfMessage:
                self._complete_request()
        except Rejected as error:
            self._abort_request(error.status, str(error), error.headers)

    def on_read(self) -> None:
        """Pass on what has been read of a streamed body, or start streaming one that has become too large to
        buffer."""
        if (
            self._request is None
            or self.discards_input
            or (self._downstream_request is not None and self._upload is None)
        ):
            return
        if self._input_timer is not None:
            return
        try:
            if self._upload is not None:
                self._continue_upload(self._upload)
            elif len(self._body_buffer) > BUFFERED_BODY_LIMIT_BYTES:
                self._start_upload()
            elif not self._head_checked:
                self._check_head_of_partial_request()
        except Rejected as error:
            self._abort_request(error.status, str(error), error.headers)

    def _check_head_of_partial_request(self) -> None:
        """Reject a request whose head is not acceptable before its body has been received, which may be long
        and costly to parse."""
        self._head_checked = True
        if self._path() != HEALTH_PATH:
            self._check(b"")

    def _continue_upload(self, upload: Upload) -> None:
        data, self._body_buffer = self._body_buffer, bytearray()
        if self._downstream_request is not None and not upload.complete:
            self._downstream_request.sent_us = self.sent_us
        upload.receive(data)

    def _start_upload(self) -> None:
        length = header(self._fields, b"content-length")
        upload = Upload(int(length) if length is not None else None, self)
        call = self._check(upload)
        data, self._body_buffer = self._body_buffer, bytearray()
        upload.receive(data)
        self._downstream_request, self._upload = call, upload
        self.pause()
        self._server.handler.accept_request(call)

    def is_waiting(self, call: DownstreamRequest) -> bool:
        """Whether the client still waits for the response; if it is found to have left, its request ends
        here."""
        if self._downstream_request is call and self.peer_closed():
            self._end_for_departed()
        return self._downstream_request is call

    def on_broken(self, error: Exception) -> None:
        """Answer malformed HTTP with 400, and an error inside the agent with 500."""
        malformed = isinstance(error, h11.RemoteProtocolError)
        self._abort_request(400 if malformed else 500, "malformed request" if malformed else "internal error")

    def on_eof(self) -> None:
        """The client has ended its sending."""
        if not self._awaiting_response:
            return super().on_eof()
        # The request is complete, so h11 need not learn of the end. If the request asked to close the
        # connection, h11 would also take further input for an error in the request.
        self.on_end()

    def on_end(self) -> None:
        """The client has closed the connection: end its request."""
        self._end_for_departed()

    def _end_for_departed(self) -> None:
        """End the request of a client that has closed the connection or only its sending side, which the
        agent cannot tell apart. No further attempt starts for the request. In case the client still reads, it
        gets a failure, which is always a correct answer."""
        is_streaming = self._source is not None
        if not self._detach_client():
            return
        if is_streaming:  # the client could take a plain close for the end of the response
            self._reset()
        else:
            self._respond(500, [], b"failed\n")

    def _detach_client(self) -> bool:
        """Detach the pending request from this connection and tell the handler. Returns whether there was
        one; the handler then counts the request."""
        call, self._downstream_request = self._downstream_request, None
        self._upload = self._source = None
        self._cancel_input_timer()
        self.count_held_bytes()
        if call is not None:
            self._server.handler.client_left(call)
        return call is not None

    def _begin_request(self, request: h11.Request) -> None:
        self._request, self._body_buffer, self._head_checked = request, bytearray(), False
        self._deadline.begin_body()
        self._fields = fields_of(request.headers)
        length = header(self._fields, b"content-length")
        self._request_chunked = b"transfer-encoding" in self._fields
        # With both framings h11 would follow the chunks, and read the rest of what the length covers as
        # further requests.
        if length is not None and self._request_chunked:
            raise Rejected(400, "both Content-Length and Transfer-Encoding")
        if length is not None and int(length) > BODY_LIMIT_BYTES:
            raise Rejected(413, "body too large")
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _complete_request(self) -> None:
        assert self._request is not None
        self._deadline.stop()
        if self._upload is not None:
            self._complete_upload()
            return
        if self._path() == HEALTH_PATH:
            return self._respond(200 if self._server.is_ready() else 503, [], b"")
        self._downstream_request = self._check(bytes(self._body_buffer))
        self.has_sent_request = True
        self._body_buffer = bytearray()
        self._accept_request(self._loop.time() + INPUT_WAIT_S)

    def _accept_request(self, deadline: float) -> None:
        """Pass the request to the handler, unless the client turns out to have left.

        A close that follows more input than the kernel takes at once is seen only once that input has been
        read. Much input that keeps coming delays the request until `deadline`, in the loop's time.
        """
        self._input_timer = None
        call = self._downstream_request
        if call is None or self.discards_input:
            return
        all_read = self.latest_read_bytes < MUCH_INPUT_BYTES and not self.read_filled_buffer
        if all_read or self.has_no_input():
            return self._server.handler.accept_request(call)
        if self.peer_closed():
            return self._end_for_departed()
        if self._loop.time() >= deadline:
            self._downstream_request, self._pipeline_overflowed = None, True
            return self._abort_request(503, "too much input ahead")
        self._call_after_input(self._accept_request, deadline)

    def _call_after_input(self, function: Callable[[float], None], deadline: float) -> None:
        """Call the function with this deadline after more input has been read."""
        self._input_timer = self._loop.call_later(POLL_INTERVAL_S, self._run_after_input, function, deadline)

    def _run_after_input(self, function: Callable[[float], None], deadline: float) -> None:
        try:
            function(deadline)
        except Exception as error:
            self.on_fault(error)

    def _path(self) -> str:
        """The path of the request's target, without the query."""
        assert self._request is not None
        return origin_form(self._request.target).partition("?")[0]

    def _check(self, body: bytes | Upload) -> DownstreamRequest:
        """Build the request from its head and this body. Raises Rejected if the head is not acceptable."""
        assert self._request is not None
        if self._path() != API_PATH:
            raise Rejected(404, "no such path")
        return self._server.check(self._request, self._fields, body, self)

    def _complete_upload(self) -> None:
        """The last piece of a streamed body has been read."""
        self.has_sent_request = True
        self._forward_last_piece(self._loop.time() + LAST_PIECE_WAIT_S)

    def _forward_last_piece(self, deadline: float) -> None:
        """Pass on the last piece of a streamed body, unless the client turns out to have left.

        A backend starts to process a request when it has the last byte. It must not get that byte for a
        client whose close follows directly, or follows pipelined input, which is read first. Input that keeps
        coming delays the last piece only until `deadline`, in the loop's time.
        """
        self._input_timer = None
        if self._upload is None or self.discards_input:
            return
        if self.peer_closed():
            return self._end_for_departed()
        if self._upload.paused or (self._loop.time() < deadline and not self.has_no_input()):
            return self._call_after_input(self._forward_last_piece, deadline)
        self.on_read()
        if self._upload is not None:
            self._upload.end()

    def _abort_request(self, status: int, reason: str, headers: Headers | None = None) -> None:
        """Answer with an error a request that was rejected or that failed midway; each is counted once."""
        was_pending = self._detach_client()
        if self.transport is None or self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.drop()
            return
        class_index = self._server.parser.class_of(self._fields) if self._request is not None else None
        if class_index is not None and not was_pending:
            self._server.handler.count_rejected(class_index, status)
        # While the server is closing, a refusal (5xx) keeps the connection open for pipelined requests that
        # have been read already, so that each gets its own; a client error (4xx) closes it.
        close = self._server.closing and status < 500
        self._respond(status, headers or [], f"{reason}\n".encode(), close)

    def refuse_unfinished(self, refusal: Rejected) -> None:
        """Refuse a partly received request. The backend of a streamed one does not get its last byte, so it
        does not run."""
        if self._downstream_request is not None:
            self._server.handler.refuse(self._downstream_request, refusal)
        else:
            self._abort_request(refusal.status, str(refusal), refusal.headers)

    def make_way(self, refusal: Rejected) -> None:
        """Close now, for another client; a partly received request is refused, and so is a first one that may
        be on its way."""
        if self.has_unfinished_request:
            self.refuse_unfinished(refusal)
        elif self.has_read_nothing and not self._has_answered and not self.discards_input:
            self.transmit(refusal.response())
        self.abort()

    def _release_call(self) -> None:
        super()._release_call()
        self._upload = None
        self._cancel_input_timer()
        self.count_held_bytes()

    def _cancel_input_timer(self) -> None:
        if self._input_timer is not None:
            self._input_timer.cancel()
            self._input_timer = None

    def _next_request(self) -> None:
        self._forget_head()
        self._deadline.end_request()
        self._sent_time.next_request()
        self._blank_lines.next_request()
        self._server.on_capacity_freed()
        super().resume()  # no effect where it was not paused
        if buffered_bytes(self.http).startswith(b"\r"):
            self._strip_pipelined_blank_lines()
        if buffered_length(self.http) and not self.discards_input:
            self.defer_input()

    def _request_turn(self) -> None:
        if self.written:
            super()._request_turn()
        else:  # a client that does not read its responses gets no more of them
            self._start_write_stall_timer()

    def on_input_full(self) -> None:
        """Note the time from which on the client's bytes are not read."""
        self._sent_time.pause(self.last_read_at)

    def resume_writing(self) -> None:
        """The client has read its responses: deferred input gets its turn."""
        super().resume_writing()
        if self._input_deferred:
            super()._request_turn()

    def _strip_blank_lines(self, data: bytes) -> bytes:
        """The data without the empty lines in front; nothing if there are too many of them, which ends the
        connection."""
        try:
            return self._blank_lines.strip(data)
        except h11.RemoteProtocolError as error:
            self._on_malformed(error)
            return b""

    def _strip_pipelined_blank_lines(self) -> None:
        """Remove the empty lines in front of the pipelined input, which h11 would take for a malformed
        request."""
        pipelined = bytes(buffered_bytes(self.http))
        rest = self._strip_blank_lines(pipelined)
        if len(rest) == len(pipelined) or self.discards_input:
            return
        self.http = http_connection(h11.SERVER)
        if rest:
            self.http.receive_data(rest)
