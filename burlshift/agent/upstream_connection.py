"""A connection to a backend that is kept for reuse, and which of the idle ones is to be used next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import h11

from .connection import Connection
from .listing import Member
from .quiet_period import LATENESS_MOST_US


class ConnectionUser(Protocol):
    """The exchange that has a connection in use and hears what happens on it."""

    def on_event(self, event: h11.Event) -> None:
        """A part of the answer."""

    def on_read(self) -> None:
        """All events of one read have been told."""

    def on_written(self) -> None:
        """The kernel has taken all that was sent so far."""

    def on_broken(self) -> None:
        """What came is no HTTP."""

    def on_end(self) -> None:
        """The connection has ended."""


class PooledConnection(Connection):
    """A connection to a backend; idle, or in the hands of one exchange."""

    def __init__(self, member: Member, discard: Callable[[PooledConnection], None]) -> None:
        super().__init__()
        self.member, self._discard = member, discard
        self.exchange: ConnectionUser | None = None
        self.idle_since = 0
        self.answered = False  # it has carried a request and its answer
        self.unasked = False  # bytes have come while nothing was asked
        self._at_end = False
        self.retire: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Bytes have come; those that nobody asked for end the connection."""
        # What comes while nothing is asked would be read as the answer to the next request.
        if self.exchange is None:
            self.unasked = True
            return self._discard(self)
        super().data_received(data)

    def on_event(self, event: h11.Event) -> None:
        """A part of the answer."""
        if self.exchange is not None:
            self.exchange.on_event(event)

    def on_read(self) -> None:
        """All events of one read have been told."""
        if self.exchange is not None:
            self.exchange.on_read()

    def resume_writing(self) -> None:
        """The kernel has taken all that was sent so far."""
        super().resume_writing()
        if self.exchange is not None:
            self.exchange.on_written()

    def eof_received(self) -> None:
        """The backend sends nothing more."""
        self._at_end = True
        super().eof_received()

    def on_broken(self, error: Exception) -> None:
        """What came is no HTTP, or not whole."""
        if self._at_end or self.exchange is None:
            self.on_end()  # nothing is wrong with what came, but that it is not whole
        else:
            self.exchange.on_broken()
        self.drop()

    def on_end(self) -> None:
        """The connection has ended."""
        self.closed = True
        if self.exchange is not None:
            self.exchange.on_end()
        else:
            self._discard(self)

    def reusable_at(self, quiet_us: int) -> int:
        """When it has been quiet for so long, if there is an answer that a second one may follow."""
        return self.idle_since + quiet_us if self.answered else self.idle_since

    def usable(self) -> bool:
        """Idle and, as far as the kernel knows, open: one with anything to read was closed by the peer."""
        try:
            return not self.closed and self.quiet()
        except OSError:  # the kernel cannot be asked just now
            return False


def next_idle(kept: list[PooledConnection], now: int, quiet_us: int) -> PooledConnection | None:
    """The one to use again: of those past any late second answer the one used last, so that others grow old
    and are closed; else the one that has been quiet for the longest time."""
    free = [connection for connection in kept if connection.reusable_at(quiet_us) <= now]
    for connection in reversed(free):
        if now - connection.idle_since >= LATENESS_MOST_US:
            return connection
    return free[0] if free else None
