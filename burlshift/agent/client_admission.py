"""Which connections make way for new clients at the limit of connections, and what becomes of the clients for
which none does."""

from __future__ import annotations

import select
import socket
from collections.abc import Collection, Iterator
from contextlib import suppress
from typing import Protocol, TypeVar

# A connection on which no byte of a request has come for this long may be closed for a new client, unless its
# client has sent a proper request before. A new connection is left alone as long: its request is on the way.
SILENCE_S = 0.5
# The longest time for which clients wait in the kernel's backlog while no connection makes way. Then they are
# refused: the timeouts of their requests are running.
BACKLOG_WAIT_S = 0.25
DISCARD_BYTES = 64 * 1024  # read of a refused client's request; unread input would make the close a reset


class EvictableConnection(Protocol):
    """A client's connection that may be closed for another client."""

    @property
    def has_sent_request(self) -> bool:
        """Whether a proper request has been received on it."""

    @property
    def has_read_nothing(self) -> bool:
        """Whether no byte of a request has been read."""

    @property
    def is_new(self) -> bool:
        """Whether it has just been accepted and its first request is probably on the way."""

    @property
    def last_read_at(self) -> float:
        """The loop's time at which the latest bytes were read, or at which it was accepted."""

    @property
    def idle(self) -> bool:
        """Whether no byte of a request has arrived, and no response is being written."""

    @property
    def awaits_client(self) -> bool:
        """Whether only its client can continue: it is idle, or the rest of a request has not arrived."""


C = TypeVar("C", bound=EvictableConnection)


def silent_connections(connections: Collection[C], now: float) -> Iterator[C]:
    """Connections that have been silent for SILENCE_S, the one silent longest first, without those that have
    sent a proper request before."""
    candidates = [c for c in connections if not c.has_sent_request and now - c.last_read_at >= SILENCE_S]
    for connection in sorted(candidates, key=lambda c: c.last_read_at):
        if connection.awaits_client:
            yield connection


def idle_connections(connections: Collection[C], limit: int) -> Iterator[C]:
    """Idle connections, the one idle longest first. New ones are left out: closing one without a response
    counts as a refusal. So are those on which a proper request has been received, unless they hold most of
    the `limit`: they must not make way for any number of clients that send none."""
    keep_proven = sum(c.has_sent_request for c in connections) <= limit // 2
    candidates = [
        c
        for c in connections
        if c.has_read_nothing and not c.is_new and not (keep_proven and c.has_sent_request)
    ]
    for connection in sorted(candidates, key=lambda c: c.last_read_at):
        if connection.idle:
            yield connection


def unused_connections(connections: Collection[C]) -> Iterator[C]:
    """Connections on which no byte of a request has ever come, the oldest first, new ones included."""
    candidates = [c for c in connections if c.has_read_nothing and not c.has_sent_request]
    for connection in sorted(candidates, key=lambda c: c.last_read_at):
        if connection.idle:
            yield connection


class BacklogWait:
    """Since when clients may have been waiting in the backlog of a listening socket, in the loop's time."""

    def __init__(self) -> None:
        self.since: float | None = None  # None: none waits

    def update(self, listener: socket.socket, unread_since: float) -> None:
        """Note that clients have been waiting since `unread_since` at the latest if any does now."""
        if not has_input(listener):
            self.since = None
        elif self.since is None:
            self.since = unread_since

    def is_over(self, now: float) -> bool:
        """Whether clients may have been waiting for longer than they are to."""
        return self.since is not None and now - self.since >= BACKLOG_WAIT_S


def has_input(sock: socket.socket) -> bool:
    """Whether bytes, or on a listening socket a connection, can be read."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError:  # out of memory: not known to be empty
        return True


def refuse_connection(sock: socket.socket, response: bytes) -> None:
    """Send this response on a connection accepted by `accept`, and close it."""
    try:
        with suppress(BlockingIOError):  # nothing has come
            sock.recv(DISCARD_BYTES)
        sock.send(response)
    except OSError:  # the client has gone
        pass
    finally:
        sock.close()
