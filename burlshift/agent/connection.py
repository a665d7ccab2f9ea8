"""A TCP connection that speaks HTTP/1.1 through h11: the common part of the agent's connections to clients,
to backends and to discovery."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from contextlib import suppress
from time import monotonic
from typing import ClassVar, Protocol

import h11

from .buffered_input import buffered_length, http_connection
from .input_backlog import InputBacklog
from .loop_lag import turn_times
from .memory_budget import READ_BYTES, READ_SIZES, MemoryBudget
from .memory_limits import CONNECTION_BYTES

log = logging.getLogger(__name__)

TCP_ESTABLISHED = 1  # value of the first byte of TCP_INFO, the connection's state, see tcp(7)
EVENTS_PER_TURN = 16  # of h11, for one connection; the rest of its input waits for a turn of its own
DEFERRED_INPUT_LIMIT_BYTES = 64 * 1024  # of input that waits for its turn; beyond that nothing is read
# Events of poll(2) after the peer has closed or reset the connection.
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: a close discards unsent data and resets
# Shared by all connections: the bytes of a read are copied before the loop serves the next connection.
_read_buffer = memoryview(bytearray(READ_BYTES))

Headers = list[tuple[bytes, bytes]]
Fields = dict[bytes, bytes]


class ParsedHeaders(Protocol):
    """The headers of an h11 event."""

    def raw_items(self) -> list[tuple[bytes, bytes]]:
        """Names in the case in which they were received, and values."""


def fields_of(headers: ParsedHeaders) -> Fields:
    """Headers by their names in lower case; of several with one name the first."""
    return {name.lower(): value for name, value in reversed(headers.raw_items())}


def header(fields: Fields, name: bytes) -> str | None:
    """The value of a header by its name in lower case, decoded as Latin-1; None without it."""
    value = fields.get(name)
    return None if value is None else value.decode("latin-1")


def checked_request(method: str, target: str, headers: Headers) -> h11.Request:
    """An h11 request whose headers are not validated again. They must come from h11's parser, or be built
    from constants and digits."""
    return h11.Request(
        method=method.encode("ascii"), target=target.encode("ascii"), headers=headers, _parsed=True
    )


class Connection(asyncio.BufferedProtocol):
    """Feeds received bytes to h11 and passes its events on; tracks whether all sent bytes are written.

    The number of events that one read can cause is bounded, whatever its bytes are: beyond that the input is
    deferred, and the connection takes its turn with all others that have deferred input.
    """

    __slots__ = (
        "http",
        "transport",
        "written",
        "closed",
        "discards_input",
        "read_filled_buffer",
        "latest_read_bytes",
        "_poll",
        "_backlog",
        "_budget",
        "_counted_buffers",
        "_counted_objects",
        "_turn_times",
        "_input_deferred",
        "_input_full",
        "_paused",
        "_end_deferred",
        "__weakref__",
    )
    kind: ClassVar[str] = "peer"  # what the peer is to the agent, for the metrics and the log

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER] = h11.CLIENT) -> None:
        self.http = http_connection(role)
        self.transport: asyncio.Transport | None = None
        # Registered for the socket; valid until the transport is closing.
        self._poll: select.poll | None = None
        self.written = True  # the kernel has accepted all bytes sent
        self.closed = False
        self.discards_input = False  # further input is ignored
        self._backlog = InputBacklog.of_running_loop()
        self._budget = MemoryBudget.of_running_loop()
        self._counted_buffers = self._counted_objects = 0  # bytes in the budget
        self._turn_times = turn_times(asyncio.get_running_loop())
        self.read_filled_buffer = False  # the latest read may have left input in the kernel
        self.latest_read_bytes = 0
        self._input_deferred = False  # input has been read that waits for its turn
        self._input_full = False  # so much of it that nothing more is read
        self._paused = False  # by pause
        self._end_deferred = False  # the peer's end is behind the deferred input

    # Overridden by subclasses

    def read_size(self) -> int:
        """The number of bytes to read at a time."""
        return self._budget.read_bytes

    def check_head(self) -> None:
        """Check the received bytes before h11 parses them. Raises h11.RemoteProtocolError."""

    def on_event(self, event: h11.Event) -> None:
        """Process one event of the peer's message."""

    def on_read(self) -> None:
        """All events of the bytes received so far have been passed on."""

    def on_broken(self, error: Exception) -> None:
        """The peer sent invalid HTTP, or processing an event raised this error."""

    def on_end(self) -> None:
        """The peer has closed or reset the connection. May be called twice."""

    def on_input_full(self) -> None:
        """Reading stops until the deferred input has been processed."""

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        transport.set_write_buffer_limits(high=0)  # so resume_writing means that all is written
        self.count_held_bytes()

    def get_buffer(self, sizehint: int) -> memoryview:
        size = self.read_size()
        return _read_buffer if size >= len(_read_buffer) else _read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        self.read_filled_buffer = nbytes in READ_SIZES
        self.latest_read_bytes = nbytes
        started = monotonic()
        self.data_received(bytes(_read_buffer[:nbytes]))
        self.count_held_bytes()
        self._budget.relieve()
        self.record_work("a read", started)

    def data_received(self, data: bytes) -> None:
        if not self._input_deferred:
            self._feed(data)
        elif not self.discards_input:
            self.http.receive_data(data)
            self._limit_deferred_input()

    def eof_received(self) -> bool:
        """Process the end of the peer's sending, behind what was read before. Returns whether the transport
        stays open."""
        self._end_deferred = self._input_deferred and not self.discards_input
        if not self._end_deferred:
            self.on_eof()
        return self._end_deferred

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._end_deferred = self._input_deferred and not self.discards_input
        if not self._end_deferred:
            self.on_end()
        self.count_held_bytes()
        # asyncio's transport refers to itself by this method; without it an ended one is freed at once.
        vars(self.transport).pop("_read_ready_cb", None)

    def resume_writing(self) -> None:
        self.written = True
        self.count_held_bytes()

    # For subclasses and users

    def held_bytes(self) -> int:
        """The bytes that are held for the peer: input that has not been processed, and output that the kernel
        has not taken."""
        if self.closed and (self.discards_input or not self._input_deferred):
            return 0
        unwritten = 0 if self.written or self.transport is None else self.transport.get_write_buffer_size()
        return buffered_length(self.http) + unwritten

    def object_bytes(self) -> int:
        """What the connection itself takes, and what is handled on it."""
        is_open = self.transport is not None and not self.closed
        return CONNECTION_BYTES if is_open else 0

    def count_held_bytes(self) -> None:
        """Report a change of what is held to the budget of all connections."""
        buffers, objects = self.held_bytes(), self.object_bytes()
        if buffers != self._counted_buffers or objects != self._counted_objects:
            self._budget.change(self.kind, buffers - self._counted_buffers, objects - self._counted_objects)
            self._counted_buffers, self._counted_objects = buffers, objects

    def record_work(self, name: str, started: float) -> None:
        """Record that this input has been processed since `started`, a time of time.monotonic."""
        self._turn_times.record_work(self, name, monotonic() - started)

    def address(self) -> str:
        """The peer's address, for the log; empty if it is not known any more."""
        peername = None if self.transport is None else self.transport.get_extra_info("peername")
        return "" if peername is None else f"{peername[0]}:{peername[1]}"

    def send(self, *events: h11.Event) -> None:
        """Serialise these events and write them in one call."""
        self.transmit(b"".join(self.http.send(e) or b"" for e in events))

    def transmit(self, data: bytes) -> None:
        """Write serialised bytes and update written."""
        assert self.transport is not None
        if not data:  # the end of a body of known length: written stays as it is, also on a broken connection
            return
        self.transport.write(data)
        # The buffer is also empty after a write that failed, but then the transport is closing.
        self.written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0
        if not self.written:
            self.count_held_bytes()

    def on_eof(self) -> None:
        """The peer has ended its sending, and all input before that has been processed."""
        self._feed(b"")
        self.on_end()

    def _process_input(self) -> None:
        """Pass on the events of the bytes received so far, up to the end of the current message, or as many
        as one turn may take."""
        self.check_head()
        for _ in range(EVENTS_PER_TURN):
            if self.discards_input:
                return
            event = self.http.next_event()
            # h11's events are abstract classes: isinstance would cost more than the rest of this loop.
            if event is h11.NEED_DATA or event is h11.PAUSED or type(event) is h11.ConnectionClosed:
                return self.on_read()
            assert not isinstance(event, type)
            self.on_event(event)
            if type(event) is h11.EndOfMessage:
                return  # the subclass starts the next message
        self.on_read()
        if not self.discards_input:
            self.defer_input()

    def defer_input(self) -> None:
        """Let the input that has been read wait for a turn of its own."""
        self._input_deferred = True
        self._limit_deferred_input()
        self._request_turn()

    def _request_turn(self) -> None:
        self._backlog.add(self)

    def _limit_deferred_input(self) -> None:
        """Stop reading beyond DEFERRED_INPUT_LIMIT_BYTES, or at the limit of all connections. Deferred input
        waits for the agent alone, so that reading goes on soon and shows whether the peer has left."""
        self.count_held_bytes()
        length = buffered_length(self.http)
        if not self._input_full and (length > DEFERRED_INPUT_LIMIT_BYTES or self._budget.is_exceeded):
            self._input_full = True
            self.on_input_full()
            self._update_reading()

    def process_deferred_input(self) -> None:
        """Process as much of the deferred input as one turn may take."""
        started = monotonic()
        self._input_deferred = self._input_full = False
        self._update_reading()
        self._feed(None)
        self.count_held_bytes()
        self.record_work("deferred input", started)
        if self._end_deferred and not self._input_deferred:
            self._end_deferred = False
            self._end_after_input()

    def _end_after_input(self) -> None:
        """Process the end of the peer's sending that came behind deferred input."""
        if self.closed:
            return self.on_end()
        self.on_eof()
        if self.transport is not None:
            self.transport.close()

    def has_no_input(self) -> bool:
        """Whether the kernel has nothing to read for this connection, not even the peer's close."""
        try:
            return self._poll_events() == 0
        except OSError:  # poll is out of memory: not known to be idle
            return False

    def peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection as far as the kernel knows, even with unread
        bytes before that. asyncio does not report it while reading is paused."""
        try:
            return bool(self._poll_events() & PEER_CLOSED_EVENTS)
        except OSError:  # poll is out of memory
            return self._half_open()

    def _half_open(self) -> bool:
        """Whether TCP_INFO says that the connection is not established in both directions any more. False if
        that cannot be read: the peer is then not known to have left, and must get its answer."""
        assert self.transport is not None
        try:
            tcp_info = self.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, 1
            )
        except OSError:
            return False
        return bool(tcp_info[0] != TCP_ESTABLISHED)

    def _poll_events(self) -> int:
        """The events that poll(2) reports now: readable, closed by the peer, or 0; POLLHUP once closing."""
        if self._poll is None or self.transport is None or self.transport.is_closing():
            return select.POLLHUP
        events = self._poll.poll(0)
        return events[0][1] if events else 0

    def pause(self) -> None:
        """Stop reading from the peer until resume."""
        self._paused = True
        self._update_reading()

    def resume(self) -> None:
        """Read from the peer again."""
        self._paused = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport is None:
            return
        if self._paused or self._input_full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def end_sending(self) -> None:
        """Close the sending direction. Ignores errors: the peer may have reset the connection already."""
        if self.transport is not None:
            with suppress(OSError):
                self.transport.write_eof()

    def drop(self) -> None:
        """Close at once. Shuts the socket down here, since the transport closes it only in the next iteration
        of the loop, when the next attempt of the same request may have been sent already."""
        self.discards_input = self.closed = True
        self.count_held_bytes()
        if self.transport is None or self.transport.is_closing():
            return
        with suppress(OSError):  # the peer may have reset it already
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def reset_on_close(self) -> None:
        """Make the close reset the connection and discard what the kernel has not delivered yet. After a
        plain close that would still be delivered, however late."""
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the peer may have reset it already
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )

    def _feed(self, data: bytes | None) -> None:
        if self.discards_input:
            return
        try:
            if data is not None:
                self.http.receive_data(data)
            self._process_input()
        except h11.RemoteProtocolError as error:
            self._on_malformed(error)
        except Exception as error:
            self.on_fault(error)

    def _on_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Ignore further input, and report that the peer sent invalid HTTP."""
        self.discards_input = True
        # h11 raises some errors in a frame that refers to the error, whose traceback refers to this object.
        error.__traceback__ = None
        self.on_broken(error)

    def on_fault(self, error: Exception) -> None:
        """Log an exception of this program and end the connection: it must neither be taken for a close by
        the peer, nor go unnoticed."""
        log.error("connection failed", exc_info=error)
        self.discards_input = True
        self.on_broken(error)
