"""A connection of the application: requests read and checked, answers written."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import h11

from .connection import HEADER_LIMIT, READ_BYTES, Connection, Fields, Headers, fields_of, header
from .downstream_request import DownstreamRequest, Rejected, RequestHandler, ResponseWriter, Source
from .loop_lag import unread_since
from .request_deadline import RequestDeadline
from .request_parser import RequestParser, has_ambiguous_head, origin_form, without_blank_lines
from .upload import Upload

log = logging.getLogger(__name__)

API, HEALTH = "/api", "/_health"
WHOLE_BYTES = 64 * 1024  # a body up to this is taken whole, a larger one passed on as it comes
BODY_LIMIT = 32 * 1024 * 1024
BEHIND_S = 0.05  # a large body's last byte waits so long for what was sent behind it to be read
AHEAD_LIMIT = 64 * 1024  # of what is kept while a request is in hand; beyond that what still comes is dropped
FIRST_S = 0.5  # a new connection has so long for its first request before it counts as idle
LINGER_S, LINGER_MOST_S = 1.0, 30.0  # after an answer in the middle of a request: in silence, in all
STUCK_S = 60.0  # a client that takes nothing of its answer for so long has stopped
POLL_S = 0.01  # between two looks at whether something more can be read
# Written as it stands where h11 may be in any state.
PLAIN_FAILURE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\nConnection: close\r\n\r\nfailed\n"
)


class ConnectionOwner(Protocol):
    """What a connection needs of the server that accepted it."""

    @property
    def handler(self) -> RequestHandler:
        """Who sees its requests through."""

    @property
    def checker(self) -> RequestParser:
        """Who reads the heads of its requests."""

    @property
    def connections(self) -> set[DownstreamConnection]:
        """Those that are open, itself among them."""

    @property
    def closing(self) -> bool:
        """Whether each answer asks its client to close."""

    def ready(self) -> bool:
        """Whether new clients are welcome."""

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """The request that a whole head, and a body at least begun, make. Raises Rejected."""

    def refusal(self) -> Rejected:
        """Of whatever cannot be seen through any more."""

    def freed(self) -> None:
        """A connection has ended or fallen idle."""


class DownstreamConnection(Connection):
    """A connection of the application; one request at a time."""

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__(h11.SERVER)
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._request: h11.Request | None = None
        self._fields: Fields = {}  # its headers
        self._piece = bytearray()  # of the body, read and not handed on
        self._chunked = False
        self._blank = b""  # the first half of an empty line
        self._downstream_request: DownstreamRequest | None = None
        self._upload: Upload | None = None  # the body, where it is large
        self._source: Source | None = None  # of an answer that is passed on as it comes
        self._answer_out = False  # some of an answer has been written
        self._last_piece: asyncio.TimerHandle | None = None  # set while a large body's last byte waits
        self._overran = False  # it has sent too much ahead, and what came after has been dropped
        self._deadline = RequestDeadline()
        self._sent_at = 0.0  # when the latest piece may have been written, at the earliest
        self._accepted = unread_since(self._loop)
        self._unread_since: float | None = None  # set where reading has paused, until all that came is read
        self._stuck: asyncio.TimerHandle | None = None  # set while the client takes nothing

    @property
    def has_read_nothing(self) -> bool:
        """Nothing of a request has been read."""
        return (
            self._downstream_request is None
            and self.http.their_state is h11.IDLE
            and not self.http.trailing_data[0]
        )

    @property
    def idle(self) -> bool:
        """Nothing of a request has come, as far as the kernel knows, and no answer is on its way."""
        return self.has_read_nothing and self.written and not self.discards_input and self.quiet()

    @property
    def is_new(self) -> bool:
        """Just accepted: whoever connects has something to ask, and its first request is on the way."""
        waited_for = self.has_read_nothing and self._deadline.timer is not None
        return waited_for and self._loop.time() < self._deadline.began + FIRST_S

    @property
    def last(self) -> float:
        """When the latest bytes were read."""
        return self._deadline.last

    @property
    def unfinished(self) -> bool:
        """A part of a request has been read that is not handed on yet."""
        return self._downstream_request is None and not self.discards_input and not self.has_read_nothing

    @property
    def busy(self) -> bool:
        """A large answer is on its way, or the last bytes of any."""
        return self._source is not None or not self.written

    @property
    def sent_us(self) -> int:
        return int(self._sent_at * 1e6)

    @property
    def _in_hand(self) -> bool:
        """A request has come whole, and has no answer yet."""
        return self._downstream_request is not None and (
            self._upload is None or self._upload.whole or self._last_piece is not None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)
        if not self.quiet():  # a request that came with the connection has waited for all turns since
            self._unread_since = self._accepted
        self._deadline.start(self._too_slow)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._deadline.stop()
        if self._stuck is not None:
            self._stuck.cancel()
        self._server.connections.discard(self)
        self._server.freed()

    # What comes, and the time it takes

    def pause(self) -> None:
        """The client need not send anything while the agent does not read."""
        self._deadline.stop()
        self._unread_since = self.last
        super().pause()

    def resume(self) -> None:
        super().resume()
        if (
            self._upload is not None
            and not self._in_hand
            and self._deadline.timer is None
            and not self.discards_input
        ):
            self._deadline.resume(self._too_slow)

    def _too_slow(self) -> None:
        self._deadline.stop()
        if self.discards_input or (self._downstream_request is not None and self._upload is None):
            return
        if self.unfinished or self._upload is not None:
            self._break_off(408, "request not whole in time")
        elif self.quiet() or self._deadline.decided:
            self.drop()
        else:  # its request has come just now, and is read next
            self._deadline.look_after(POLL_S, self._too_slow)

    def check_head(self) -> None:
        """Refuse what h11 lets pass and others read in another way: a bare line feed as the end of a line,
        and a folded line. Either can hide the length of a body, and so turn it into requests."""
        if self.http.their_state is not h11.IDLE:
            return
        if has_ambiguous_head(self.http.trailing_data[0]):
            raise h11.RemoteProtocolError("bare line feed or folded line in the head")

    def _feed(self, data: bytes | None) -> None:
        super()._feed(data)
        if self._downstream_request is None and not self.discards_input and not self.has_read_nothing:
            self._deadline.start(self._too_slow)

    def data_received(self, data: bytes) -> None:
        self._deadline.on_bytes()
        self._date(len(data))
        if self.http.their_state is h11.IDLE and not self.http.trailing_data[0]:
            data, self._blank = without_blank_lines(self._blank + data)
            if not data:
                return
        if self._runs_ahead(data):
            return
        super().data_received(data)

    def _date(self, length: int) -> None:
        """A request's time runs from when its client wrote its last byte, not from when that was read."""
        if self._in_hand and self.http.trailing_data[0]:
            return  # it goes on a request sent ahead, which may have been whole before
        since = unread_since(self._loop)
        self._sent_at = since if self._unread_since is None else min(since, self._unread_since)
        if length < READ_BYTES:
            self._unread_since = None

    def _runs_ahead(self, data: bytes) -> bool:
        """Whether a client has sent more than is kept for after its answer, which is then its last. It is
        read on all the same: on a connection that is not, nobody sees the client leave. Behind a request that
        it called its last itself nothing is kept: h11 would take that for an error of the one in hand.
        """
        if not self._in_hand:
            return False
        too_much = len(self.http.trailing_data[0]) + len(data) > AHEAD_LIMIT
        self._overran = self._overran or too_much or self.http.their_state is h11.MUST_CLOSE
        return self._overran

    def on_event(self, event: h11.Event) -> None:
        try:
            kind = type(event)
            if kind is h11.Request:
                assert isinstance(event, h11.Request)
                self._begin(event)
            elif kind is h11.Data:
                assert isinstance(event, h11.Data)
                self._piece += event.data
                self._deadline.received += len(event.data)
                if self._deadline.received > BODY_LIMIT:
                    raise Rejected(413, "body too large")
            elif kind is h11.EndOfMessage:
                self._complete()
        except Rejected as e:
            self._break_off(e.status, str(e), e.headers)

    def on_read(self) -> None:
        """What has come of a large body goes on; how large it is may show only now."""
        if (
            self._request is None
            or self.discards_input
            or (self._downstream_request is not None and self._upload is None)
        ):
            return
        if self._last_piece is not None:
            return
        try:
            if self._upload is not None:
                data, self._piece = self._piece, bytearray()
                if self._downstream_request is not None and not self._upload.whole:
                    self._downstream_request.sent_us = self.sent_us
                self._upload.come(data)
            elif len(self._piece) > WHOLE_BYTES:
                length = header(self._fields, b"content-length")
                self._take_large(int(length) if length is not None else None)
        except Rejected as e:
            self._break_off(e.status, str(e), e.headers)

    def _take_large(self, length: int | None) -> None:
        assert self._request is not None
        upload = Upload(length, self)
        call = self._server.check(self._request, self._fields, upload, self)
        data, self._piece = self._piece, bytearray()
        upload.come(data)
        self._downstream_request, self._upload = call, upload
        self.pause()
        self._server.handler.take(call)

    def waits(self, call: DownstreamRequest) -> bool:
        if self._downstream_request is call and self.left():
            self._end_for_departed()
        return self._downstream_request is call

    def on_broken(self, error: Exception) -> None:
        """Malformed HTTP is the client's fault, anything else ours; either is answered."""
        malformed = isinstance(error, h11.RemoteProtocolError)
        self._break_off(400 if malformed else 500, "malformed request" if malformed else "internal error")

    def eof_received(self) -> None:
        if not self._in_hand:
            return super().eof_received()
        # Its request is whole: h11 has nothing to say of it, but would take what lies behind a last one for
        # an error of it.
        self.on_end()

    def on_end(self) -> None:
        self._end_for_departed()

    def _end_for_departed(self) -> None:
        """The client has closed, or ended its sending only, which cannot be told apart: nothing more goes out
        for it, and one that still listens gets a failure, which is always true."""
        begun = self._source is not None
        if not self._client_left():
            return
        if begun:  # a plain close could pass for the end of its answer
            self._reset()
        else:
            self._respond(500, [], b"failed\n")

    def _client_left(self) -> bool:
        """The call is no longer this client's; whether there was one, which is counted by whoever took it."""
        call, self._downstream_request = self._downstream_request, None
        self._upload = self._source = None
        self._cancel_last_piece()
        if call is not None:
            self._server.handler.client_left(call)
        return call is not None

    def _begin(self, request: h11.Request) -> None:
        self._request, self._piece = request, bytearray()
        self._deadline.begin_body()
        self._fields = fields_of(request.headers)
        length = header(self._fields, b"content-length")
        self._chunked = b"transfer-encoding" in self._fields
        # Two framings: h11 would believe the chunks, and read what the length counts in as further requests.
        if length is not None and self._chunked:
            raise Rejected(400, "both Content-Length and Transfer-Encoding")
        if length is not None and int(length) > BODY_LIMIT:
            raise Rejected(413, "body too large")
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    def _complete(self) -> None:
        assert self._request is not None
        self._deadline.stop()
        if self._upload is not None:
            self._complete_upload()
            return
        path = origin_form(self._request.target).partition("?")[0]
        if path == HEALTH:
            return self._respond(200 if self._server.ready() else 503, [], b"")
        if path != API:
            raise Rejected(404, "no such path")
        self._downstream_request = self._server.check(self._request, self._fields, bytes(self._piece), self)
        self._piece = bytearray()
        self._server.handler.take(self._downstream_request)

    def _complete_upload(self) -> None:
        """The last piece of a large body has been read."""
        self._pass_last_piece(self._loop.time() + BEHIND_S)

    def _pass_last_piece(self, until: float) -> None:
        """A backend starts on a request with its last byte: it must not get that for a client whose
        close lies right behind it, or behind what was sent ahead, which is read first. Who sends on is not
        waited for.
        """
        self._last_piece = None
        if self._upload is None or self.discards_input:
            return
        if self.left():
            return self._end_for_departed()
        if self._upload.halted or (self._loop.time() < until and not self.quiet()):
            self._last_piece = self._loop.call_later(POLL_S, self._look_behind, until)
            return
        self.on_read()
        if self._upload is not None:
            self._upload.end()

    def _look_behind(self, until: float) -> None:
        try:
            self._pass_last_piece(until)
        except Exception as e:
            self.on_fault(e)

    # What goes back

    def _break_off(self, status: int, why: str, headers: Headers | None = None) -> None:
        """The error for a request that is not taken, or not to its end; each is counted once."""
        taken = self._client_left()
        if self.transport is None or self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.drop()
            return
        index = self._server.checker.class_of(self._fields) if self._request is not None else None
        if index is not None and not taken:
            self._server.handler.count_rejected(index, status)
        # Refusals go on for what has been read already; a client in error is parted from with the others.
        part = self._server.closing and status < 500
        self._respond(status, headers or [], f"{why}\n".encode(), part)

    def refuse_unfinished(self) -> None:
        """The process ends before the rest of this request could be answered."""
        refused = self._server.refusal()
        self._break_off(refused.status, str(refused), refused.headers)

    def cut_off(self) -> None:
        """The end, whatever is in hand; an answer that is not whole must not pass for it."""
        if self.busy:
            self._reset()
        else:
            self.drop()

    def answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        if self._downstream_request is call:
            self._respond(status, headers, body)

    def begin(self, call: DownstreamRequest, headers: Headers, length: int | None, source: Source) -> None:
        if self._downstream_request is not call or not self._writable():
            return
        self._source = source
        framing = [] if length is None else [(b"Content-Length", b"%d" % length)]
        self.send(h11.Response(status_code=200, headers=[*headers, *framing, *self._last_words()]))
        self._hold_source()

    def more(self, call: DownstreamRequest, data: bytes) -> None:
        if self._downstream_request is call and self._writable():
            self.send(h11.Data(data=data))
            self._hold_source()

    def finish(self, call: DownstreamRequest, whole: bool) -> None:
        if not whole:
            self.fail(call)
        elif self._downstream_request is call:
            writable = self._writable()
            if writable:
                self.send(h11.EndOfMessage())
            self._release_call()
            if writable:
                self._answered()

    def fail(self, call: DownstreamRequest) -> None:
        if self._downstream_request is not call:
            return
        self._release_call()
        try:
            if self._answer_out:
                self._reset()
            elif self._writable():
                self.transmit(PLAIN_FAILURE)
                self._part_somehow()
        except Exception:
            log.exception("could not tell a client of a failure")
            self.drop()

    def _release_call(self) -> None:
        """The call has its answer, or nobody is there to take one. Only after the writing: until then it is
        still to be failed, or left."""
        self._downstream_request = self._upload = self._source = None
        self._cancel_last_piece()

    def _cancel_last_piece(self) -> None:
        if self._last_piece is not None:
            self._last_piece.cancel()
            self._last_piece = None

    def transmit(self, data: bytes) -> None:
        # What goes out before an answer, as 100 Continue, is no part of it.
        self._answer_out = self._answer_out or self.http.our_state is not h11.SEND_RESPONSE
        super().transmit(data)

    def _hold_source(self) -> None:
        if not self.written and self._source is not None:
            self._source.pause()
            if self._stuck is None:
                self._stuck = self._loop.call_later(STUCK_S, self._reset)

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._stuck is not None:
            self._stuck.cancel()
            self._stuck = None
        if self._source is not None:
            self._source.resume()

    def _reset(self) -> None:
        """Close so that nobody can take what has come for whole, however its end is told."""
        if self.transport is not None and not self.transport.is_closing():
            self.reset_on_close()
            self.discards_input = self.closed = True
            self.transport.abort()

    def _writable(self) -> bool:
        return not (self.closed or self.transport is None or self.transport.is_closing())

    def _read_in_full(self) -> bool:
        # Behind chunks nothing more is read: h11 is lenient about where their trailer ends.
        return self.http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED) and not self._chunked

    def _last_words(self, part: bool = False) -> Headers:
        # What has been read already behind this request is answered too.
        last = self._server.closing and not self.http.trailing_data[0]
        last = last or part or self._overran or not self._read_in_full()
        return [(b"Connection", b"close")] if last else []

    def _respond(self, status: int, headers: Headers, body: bytes, part: bool = False) -> None:
        if not self._writable():
            return self._release_call()
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), *self._last_words(part)]
        head = self._request is not None and self._request.method == b"HEAD"
        data = [] if head or not body else [h11.Data(data=body)]
        self.send(h11.Response(status_code=status, headers=fields), *data, h11.EndOfMessage())
        self._release_call()
        self._answered()

    def _answered(self) -> None:
        """Go on to the next request, or part. The answer is out: no failure here may take it back."""
        try:
            self._go_on_or_part()
        except Exception:
            log.exception("connection failed after an answer")
            self._part_somehow()

    def _part_somehow(self) -> None:
        try:
            self._part()
        except Exception:
            log.exception("cannot part from a client in order")
            self.drop()

    def _go_on_or_part(self) -> None:
        assert self.transport is not None
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self._overran:
            self.http.start_next_cycle()
            self._request, self._answer_out = None, False
            self._deadline.end_request()
            self._unread_since = None  # it concerned the request before
            self._server.freed()
            super().resume()  # no effect where it was not paused
            ahead = self.http.trailing_data[0]
            if ahead.startswith(b"\r"):
                ahead = self._without_blank_lines(ahead)
            if ahead:
                self._loop.call_soon(self.resume_reading)
        else:
            self._part()

    def _without_blank_lines(self, ahead: bytes) -> bytes:
        """What follows the empty lines that came with the request before: h11 takes them for a bad request of
        their own."""
        rest, self._blank = without_blank_lines(ahead)
        if rest != ahead:
            self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER_LIMIT)
            if rest:
                self.http.receive_data(rest)
        return rest

    def _part(self) -> None:
        """Part after an answer: read and drop what still comes. Whatever the client has sent by then, a
        request ahead or the rest of a body, a close over unread bytes would reset the answer away.
        """
        self.discards_input = True
        self._deadline.stop()
        self._deadline.on_bytes()  # the silence is counted from now on
        super().resume()
        self.end_sending()
        self._loop.call_later(LINGER_S, self._lingered, self.last + LINGER_MOST_S)

    def _lingered(self, until: float) -> None:
        """Part from a client that has stopped sending, or never will."""
        assert self.transport is not None
        now = self._loop.time()
        if self.written and now >= min(until, self.last + LINGER_S):
            self.transport.abort()
        elif not self.transport.is_closing():
            self._loop.call_later(LINGER_S, self._lingered, until)
