"""One TCP connection that speaks HTTP/1.1 through h11; what is common to all three roles of the agent."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from contextlib import suppress
from typing import Protocol

import h11

log = logging.getLogger(__name__)

HEADER_LIMIT = 32 * 1024  # bytes of request or status line and headers
TCP_ESTABLISHED = 1  # the state that TCP_INFO begins with, see tcp(7)
READ_BYTES = 64 * 1024  # at once: what a connection holds while the other side is slower is a few of these
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what poll(2) says once the peer has left
LINGER_NOT = struct.pack("ii", 1, 0)  # struct linger: a close discards what is unsent and resets
# One for all: what is read is handed on before the loop turns to the next connection.
_read_buffer = bytearray(READ_BYTES)

Headers = list[tuple[bytes, bytes]]
Fields = dict[bytes, bytes]


class ParsedHeaders(Protocol):
    """The headers of an event of h11."""

    def raw_items(self) -> list[tuple[bytes, bytes]]:
        """Names as they were sent, and values."""


def fields_of(headers: ParsedHeaders) -> Fields:
    """Headers by their names in lower case; of several of one name the first."""
    return {name.lower(): value for name, value in reversed(headers.raw_items())}


def header(fields: Fields, name: bytes) -> str | None:
    value = fields.get(name)
    return None if value is None else value.decode("latin-1")


def checked_request(method: str, target: str, headers: Headers) -> h11.Request:
    """A request whose headers h11 has parsed before, or that are made here of constants and digits: h11 takes
    its word for their names and values, as for those of its own parser."""
    return h11.Request(
        method=method.encode("ascii"), target=target.encode("ascii"), headers=headers, _parsed=True
    )


class Connection(asyncio.BufferedProtocol):
    """Feeds bytes to h11 and hands its events on; knows whether all that was sent has been written."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER] = h11.CLIENT) -> None:
        self.http = h11.Connection(role, max_incomplete_event_size=HEADER_LIMIT)
        self.transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None  # watches its socket; valid until the transport is closing
        self.written = True  # the kernel has taken all bytes
        self.closed = False
        self.discards_input = False  # what still comes in is dropped

    # What a role adds

    def check_head(self) -> None:
        """A look at what has come, before h11 reads it; raises h11.RemoteProtocolError."""

    def on_event(self, event: h11.Event) -> None:
        """One event of the peer's message."""

    def on_read(self) -> None:
        """All that has come so far has been handed on."""

    def on_broken(self, error: Exception) -> None:
        """The peer sent what is not HTTP, or handling it raised."""

    def on_end(self) -> None:
        """The peer has closed or reset the connection. May come twice."""

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        transport.set_write_buffer_limits(high=0)  # resume_writing then means: all is written

    def get_buffer(self, sizehint: int) -> bytearray:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(_read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        self._feed(data)

    def eof_received(self) -> None:
        self._feed(b"")
        self.on_end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.on_end()

    def resume_writing(self) -> None:
        self.written = True

    # For the roles

    def send(self, *events: h11.Event) -> None:
        """Write these events in one piece."""
        self.transmit(b"".join(self.http.send(e) or b"" for e in events))

    def transmit(self, data: bytes) -> None:
        assert self.transport is not None
        if not data:  # the end of a body of known length: what has been written stays so, whatever broke
            return
        self.transport.write(data)
        # A write that fails empties the buffer too: then the transport is closing.
        self.written = not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def _read_on(self) -> None:
        """Hand on what has been received, as far as h11 lets it: at most to the end of one message."""
        self.check_head()
        while not self.discards_input:
            event = self.http.next_event()
            # Not isinstance: h11's events are abstract classes, for which it costs more than all else here.
            if event is h11.NEED_DATA or event is h11.PAUSED or type(event) is h11.ConnectionClosed:
                return self.on_read()
            assert not isinstance(event, type)
            self.on_event(event)
            if type(event) is h11.EndOfMessage:
                return  # what comes behind it is for the next message, which its role begins

    def quiet(self) -> bool:
        """Whether the kernel has nothing to read for it, not even the peer's close."""
        try:
            return self._kernel_says() == 0
        except OSError:  # no memory to look: what is not known to be idle is not taken for idle
            return False

    def left(self) -> bool:
        """Whether the peer has closed or reset it as far as the kernel knows, also behind bytes not yet read:
        a connection that is not being read does not show it by itself."""
        try:
            return bool(self._kernel_says() & GONE)
        except OSError:  # no memory to look
            return self._half_open()

    def _half_open(self) -> bool:
        """Whether the kernel no longer has it open in both directions. Where it does not even say that, the
        peer is not known to have left, and is owed an answer."""
        assert self.transport is not None
        try:
            info = self.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False
        return bool(info[0] != TCP_ESTABLISHED)

    def _kernel_says(self) -> int:
        """What poll(2) reports now: that something can be read, that the peer has left, or 0."""
        if self._poll is None or self.transport is None or self.transport.is_closing():
            return select.POLLHUP
        said = self._poll.poll(0)
        return said[0][1] if said else 0

    def pause(self) -> None:
        """Read nothing more from the peer until resume."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()

    def end_sending(self) -> None:
        """Nothing more is written. The peer may have reset the connection since the last write went out."""
        if self.transport is not None:
            with suppress(OSError):
                self.transport.write_eof()

    def drop(self) -> None:
        """Close at once, in the eyes of the peer too: the transport itself closes only a turn later, when the
        next attempt of the same request may be out already."""
        self.discards_input = self.closed = True
        if self.transport is None or self.transport.is_closing():
            return
        with suppress(OSError):  # the peer may have reset it already
            self.transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        self.transport.abort()

    def reset_on_close(self) -> None:
        """Let its close reset the connection, and so take back what the kernel still holds for the peer: a
        plain close has all of that delivered first, however late."""
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the peer may have reset it already
                self.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
                )

    def resume_reading(self) -> None:
        """Hand on what came in while the message before it was in hand."""
        self._feed(None)

    def _feed(self, data: bytes | None) -> None:
        if self.discards_input:
            return
        try:
            if data is not None:
                self.http.receive_data(data)
            self._read_on()
        except h11.RemoteProtocolError as e:
            self.discards_input = True
            self.on_broken(e)
        except Exception as e:
            self.on_fault(e)

    def on_fault(self, error: Exception) -> None:
        """A fault in one connection must not pass for the peer's leaving, nor vanish."""
        log.error("connection failed", exc_info=error)
        self.discards_input = True
        self.on_broken(error)
