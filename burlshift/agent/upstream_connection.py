"""A connection to a backend that is kept for reuse, and the choice among idle ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from .connection import Connection
from .listing import Member
from .quiet_period import MAX_DUPLICATE_DELAY_US


class ConnectionUser(Protocol):
    """The exchange that uses a connection, and is notified of what happens on it."""

    @property
    def buffered_bytes(self) -> int:
        """The length of what has been buffered of the response."""

    def on_event(self, event: h11.Event) -> None:
        """An event of the response."""

    def on_read(self) -> None:
        """All events of one read have been passed on."""

    def on_written(self) -> None:
        """The kernel has accepted all bytes sent so far."""

    def on_broken(self) -> None:
        """The backend sent invalid HTTP."""

    def on_end(self) -> None:
        """The connection has ended."""


class PooledConnection(Connection):
    """A connection to a backend; idle, or used by one exchange."""

    __slots__ = (
        "member",
        "exchange",
        "idle_since",
        "answered",
        "unsolicited",
        "retire_timer",
        "_discard",
        "_saw_eof",
    )
    kind = "server"

    def __init__(self, member: Member, discard: Callable[[PooledConnection], None]) -> None:
        super().__init__()
        self.member, self._discard = member, discard
        self.exchange: ConnectionUser | None = None
        self.idle_since = 0  # clock time in us
        self.answered = False  # at least one exchange on it is complete
        self.unsolicited = False  # bytes arrived while no exchange used it
        self._saw_eof = False
        self.retire_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes; close the connection if no exchange uses it."""
        # Unsolicited bytes would be taken for the response to the next request.
        if self.exchange is None:
            self.unsolicited = True
            return self._discard(self)
        super().data_received(data)

    def read_size(self) -> int:
        """The number of bytes to read at a time."""
        return self._budget.response_read_bytes

    def held_bytes(self) -> int:
        """What is held for the server, with what has been buffered of a response."""
        return super().held_bytes() + (0 if self.exchange is None else self.exchange.buffered_bytes)

    def end_exchange(self) -> None:
        """The exchange that has used the connection is over."""
        self.exchange = None
        self.count_held_bytes()

    def on_event(self, event: h11.Event) -> None:
        """Pass an event of the response on to the exchange."""
        if self.exchange is not None:
            self.exchange.on_event(event)

    def on_read(self) -> None:
        """Tell the exchange that all events of one read have been passed on."""
        if self.exchange is not None:
            self.exchange.on_read()

    def resume_writing(self) -> None:
        """Tell the exchange that the kernel has accepted all bytes sent so far."""
        super().resume_writing()
        if self.exchange is not None:
            self.exchange.on_written()

    def on_eof(self) -> None:
        """The backend has closed its direction of the connection."""
        self._saw_eof = True
        super().on_eof()

    def on_broken(self, error: Exception) -> None:
        """The backend sent invalid HTTP, or closed the connection within a response."""
        if self._saw_eof or self.exchange is None:
            self.on_end()  # the response is truncated rather than invalid
        else:
            self.exchange.on_broken()
        self.drop()

    def on_end(self) -> None:
        """Tell the exchange that the connection has ended, or remove an idle connection from the pool."""
        self.closed = True
        if self.exchange is not None:
            self.exchange.on_end()
        else:
            self._discard(self)

    def reusable_at(self, quiet_us: int) -> int:
        """The time in us from which it may be used again: after a response it must stay quiet first, since a
        duplicate of that response may follow."""
        return self.idle_since + quiet_us if self.answered else self.idle_since

    def usable(self) -> bool:
        """Whether it is open, as far as the kernel knows, and there is nothing to read: neither unsolicited
        data nor the peer's close."""
        try:
            return not self.closed and self.has_no_input()
        except OSError:  # poll failed: not known to be usable
            return False


def next_idle(idle: list[PooledConnection], now: int, quiet_us: int) -> PooledConnection | None:
    """The idle connection to reuse, or None. Prefers the most recently used of those that are past any late
    duplicate response, so that the others reach their idle timeout; else the one idle for longest."""
    reusable = [connection for connection in idle if connection.reusable_at(quiet_us) <= now]
    for connection in reversed(reusable):
        if now - connection.idle_since >= MAX_DUPLICATE_DELAY_US:
            return connection
    return reusable[0] if reusable else None
