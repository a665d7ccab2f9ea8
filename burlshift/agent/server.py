"""Accepts the connections of the application, up to a limit."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Iterator
from functools import partial
from itertools import chain

import h11

from burlshift.balancing.interface import Settings

from .client_admission import (
    BacklogWait,
    has_input,
    idle_connections,
    refuse_connection,
    silent_connections,
    unused_connections,
)
from .connection import Fields
from .downstream_connection import DownstreamConnection
from .downstream_request import DownstreamRequest, Rejected, RequestHandler, ResponseWriter, retry_after
from .drain import Drain
from .listener import ACCEPTS_PER_TURN, SHORTAGE_RETRY_S, AcceptResult, accept_waiting, listening
from .listing import Address
from .loop_lag import unread_since
from .memory_budget import MemoryBudget
from .memory_limits import CONNECTION_BYTES
from .request_parser import RequestParser
from .socket_errors import ResourceExhaustedError
from .upload import Upload

log = logging.getLogger(__name__)

BACKLOG = 512
EXTRA_CONNECTIONS = 32  # allowed beyond the limit while none is idle; half of the reserved descriptors
SHUTDOWN_RETRY_AFTER_US = 500_000  # by then another process serves, or will soon
TOO_MANY_CONNECTIONS = "too many connections"
OUT_OF_MEMORY = "too much is held for other requests"
MIN_SHED_BYTES = 4 * 1024  # a partly received request that holds less is not worth giving up
# After a look that found too little to give up: until the next one, unless so much more is held.
SHED_RETRY_S, SHED_RETRY_BYTES = 0.02, 64 * 1024
SHED_TO_SHARE = 7 / 8  # of the limits of memory, so that not every request has to look for what to give up


def _existing_protocol(client: DownstreamConnection) -> DownstreamConnection:
    """A protocol factory for asyncio that returns a protocol made before."""
    return client


class _Admission:
    """Decides, for one round of accepts, whether a client is admitted and which connection is closed for
    it."""

    def __init__(self, server: Server) -> None:
        self._server, self._evictable = server, server.evictable_connections()
        self._to_evict: DownstreamConnection | None = None

    def may_admit(self) -> bool:
        """Whether one more client may be admitted: there is capacity, or a connection to evict."""
        is_full = self._server.is_full()
        self._to_evict = next(self._evictable, None) if is_full else None
        return not is_full or self._to_evict is not None or self._server.has_extra_capacity()

    def admit(self, sock: socket.socket) -> None:
        """Admit a client, and close the connection that is evicted for it."""
        if self._to_evict is not None:  # not evicted in may_admit, because there may be no client to accept
            self._to_evict.make_way(self._server.refusal(TOO_MANY_CONNECTIONS))
        self._server.admit(sock)


class Server:
    """Listens for clients of the application, and holds their connections.

    `limit` is the number of connections that may be open at once.
    """

    def __init__(self, settings: Settings, handler: RequestHandler, max_connections: int) -> None:
        self.handler = handler
        self._connection_limit = max_connections  # leaves descriptors for backends
        self.parser = RequestParser(settings.classes, settings.tenants)
        self._shutdown_retry_after_us = (
            min(SHUTDOWN_RETRY_AFTER_US, settings.max_retry_after_us) if settings.retry_after else 0
        )
        self.connections: set[DownstreamConnection] = set()
        self.drain = Drain(self)
        self._budget = MemoryBudget.of_running_loop()
        self._budget.on_exceeded = self._shed_unfinished_requests
        self.listener: socket.socket | None = None
        self._accepting = False
        # After a look at all connections that found too little to give up; the loop's time, and bytes held.
        self._shed_again_at, self._shed_again_from_bytes = 0.0, 0
        self._paused_at = math.inf  # the loop's time; clients that have come since then were not seen
        self._shared = False  # another process accepts from the same address
        self._backlog_wait = BacklogWait()
        self._resources_exhausted = False  # the latest accept failed for lack of descriptors or memory
        # Accepted by the kernel, but not set up as a transport of the loop yet.
        self._being_accepted: dict[asyncio.Task[object], DownstreamConnection] = {}

    @property
    def closing(self) -> bool:
        """Whether each response asks its client to close the connection."""
        return self.drain.closing

    @property
    def is_listening(self) -> bool:
        """Whether new clients can connect."""
        return self.listener is not None

    @property
    def has_clients(self) -> bool:
        """Whether a client is connected, or has been accepted and is being set up."""
        return bool(self.connections or self._being_accepted)

    def is_ready(self) -> bool:
        """Whether the agent accepts new clients, as the health check reports it."""
        return not self.drain.in_lame_duck and self.handler.is_ready()

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """Build the request from a complete head and a body that may still be arriving. Raises Rejected."""
        call = self.parser.check(request, fields, body, client)
        if self.drain.refuses(client.last_read_at):
            raise self.refusal()
        self._check_memory(client)
        return call

    def _check_memory(self, client: ResponseWriter) -> None:
        """Make room for a request of this client by giving up unfinished ones, and what is kept for later.
        Raises Rejected if too much is held for whole requests."""
        is_new = not client.has_sent_request
        if not self._budget.is_beyond(1, is_new):
            return
        self._shed_unfinished_requests(client, is_new)
        if self._budget.is_beyond(1, is_new):
            self.handler.close_idle_connections()
        if self._budget.is_beyond(1, is_new):
            self._budget.count_refused("requests")
            raise self.refusal(OUT_OF_MEMORY)

    def refusal(self, reason: str = "shutting down") -> Rejected:
        """The error for a request that is refused before it is whole, or while clients are sent away."""
        return Rejected(503, reason, retry_after(self._shutdown_retry_after_us))

    def _shed_unfinished_requests(
        self, current: ResponseWriter | None = None, for_new_client: bool = False
    ) -> None:
        """Refuse partly received requests until SHED_TO_SHARE of the limits is held, the ones that have been
        silent for longest first. `current` is the writer of a request that is just being read."""
        now = asyncio.get_running_loop().time()
        if now < self._shed_again_at and self._budget.total_bytes < self._shed_again_from_bytes:
            return
        unfinished = [c for c in self.connections if c.waits_for_rest_of_request and c is not current]
        for client in sorted(unfinished, key=lambda c: c.last_read_at):
            if not self._budget.is_beyond(SHED_TO_SHARE, for_new_client):
                return
            if client.held_bytes() + client.object_bytes() >= CONNECTION_BYTES + MIN_SHED_BYTES:
                self._budget.count_refused("unfinished_requests")
                client.refuse_unfinished(self.refusal(OUT_OF_MEMORY))
        self._shed_again_at = now + SHED_RETRY_S
        self._shed_again_from_bytes = self._budget.total_bytes + SHED_RETRY_BYTES

    async def listen(self, address: Address, shared: bool = False) -> int:
        """Listen on the address and return the port, which the kernel chooses if it is 0. With `shared`,
        another process can listen on the same address."""
        return self.adopt_listener(await listening(address, BACKLOG, shared))

    def adopt_listener(self, listener: socket.socket) -> int:
        """Accept from a socket that listens already, and return its port."""
        self.listener = listener
        listener.setblocking(False)
        self._disable_write_delay()
        self.on_capacity_freed()
        return int(listener.getsockname()[1])

    def _disable_write_delay(self) -> None:
        """Set TCP_NODELAY, which accepted sockets inherit. asyncio sets it only on a socket that was made
        with the protocol number of TCP."""
        if self.listener is None:
            return
        try:
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            log.warning("cannot set TCP_NODELAY for now: %s", error.strerror)
            asyncio.get_running_loop().call_later(SHORTAGE_RETRY_S, self._disable_write_delay)

    def limit_connections(self, max_connections: int, shared: bool) -> None:
        """Change the limit of open connections; excess connections end by themselves. If the listener is
        shared, clients beyond the limit are left to the other process."""
        self._connection_limit, self._shared = max_connections, shared
        self.on_capacity_freed()

    @property
    def waiting_since(self) -> float | None:
        """The loop's time since which a client that is accepted now may have waited for it; None if it has
        not."""
        return self._backlog_wait.since

    def on_capacity_freed(self) -> None:
        """Accept again: a connection has ended or become idle."""
        if not self._accepting and self.listener is not None:
            self._accepting = True
            loop = asyncio.get_running_loop()
            self._backlog_wait.update(self.listener, min(self._paused_at, unread_since(loop)))
            asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _update_backlog_wait(self, listener: socket.socket) -> None:
        self._backlog_wait.update(listener, unread_since(asyncio.get_running_loop()))

    def _accept(self, limit: int = ACCEPTS_PER_TURN) -> bool:
        """Accept up to `limit` waiting clients; returns whether none is left waiting. Clients beyond the
        connection limit stay in the kernel's backlog: without descriptors each accept would fail, over and
        over."""
        assert self.listener is not None
        self._update_backlog_wait(self.listener)
        try:
            if self._is_backlog_overdue():
                return self._clear_backlog(self.listener)
            admission = _Admission(self)
            result = accept_waiting(self.listener, admission.admit, limit, admission.may_admit)
        except ResourceExhaustedError as error:
            self._on_resources_exhausted(error)
            return False
        finally:
            self._update_backlog_wait(self.listener)
        # A connection that is being set up may be one that can be evicted.
        if result is AcceptResult.NOT_ADMITTED and not self._being_accepted:
            self._pause_accepting()  # after it, other connections may count as silent
        return result is AcceptResult.ALL_ACCEPTED

    def _is_backlog_overdue(self) -> bool:
        """Whether clients have waited for too long. If another process shares the listener, they are left to
        that."""
        return not self._shared and self._backlog_wait.is_over(asyncio.get_running_loop().time())

    def _clear_backlog(self, listener: socket.socket) -> bool:
        """Admit or refuse each of the waiting clients; returns whether none is left waiting. Connections that
        are being set up can make way for others only in a later iteration."""
        if self._being_accepted:
            return False
        to_evict = chain(unused_connections(self.connections), self.evictable_connections())
        result = accept_waiting(listener, partial(self._admit_or_refuse, to_evict), BACKLOG)
        if self.is_full():
            self._pause_accepting()  # after it, other connections may count as silent
        return result is AcceptResult.ALL_ACCEPTED

    def _admit_or_refuse(self, evictable: Iterator[DownstreamConnection], sock: socket.socket) -> None:
        """Serve a client while there is room, or one that has sent something in place of one that has not; or
        refuse it."""
        if not self.is_full():
            return self.admit(sock)
        refusal = self.refusal(TOO_MANY_CONNECTIONS)
        to_evict = next((c for c in evictable if not c.closed), None) if has_input(sock) else None
        if to_evict is None:
            return refuse_connection(sock, refusal.response())
        to_evict.make_way(refusal)
        self.admit(sock)

    def accept_backlog(self) -> bool:
        """Accept all clients in the kernel's backlog; returns whether none is left waiting."""
        return self._accept(BACKLOG)

    def admit(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        self._resources_exhausted = False
        loop, client = asyncio.get_running_loop(), DownstreamConnection(self)
        task: asyncio.Task[object] = loop.create_task(
            loop.connect_accepted_socket(partial(_existing_protocol, client), sock)
        )
        self._being_accepted[task] = client
        task.add_done_callback(self._being_accepted.pop)

    def _on_resources_exhausted(self, error: ResourceExhaustedError) -> None:
        """Pause accepting for lack of descriptors or memory. The listener stays readable, so trying again at
        once would be a busy loop.
        """
        if not self._resources_exhausted:
            log.warning("cannot accept for now: %s", error.strerror)
        self._resources_exhausted = True
        self._pause_accepting()

    def _pause_accepting(self) -> None:
        """Stop accepting for SHORTAGE_RETRY_S, or until a connection ends or becomes idle."""
        assert self.listener is not None
        self._accepting = False
        loop = asyncio.get_running_loop()
        self._paused_at = loop.time()
        loop.remove_reader(self.listener)
        loop.call_later(SHORTAGE_RETRY_S, self.on_capacity_freed)

    def is_full(self) -> bool:
        """Whether the limit of open connections has been reached."""
        return self._connection_count() >= self._connection_limit

    def evictable_connections(self) -> Iterator[DownstreamConnection]:
        """Connections that may be closed for a new client: first those of silent clients that have never sent
        a proper request, then idle ones. Empty if another process shares the listener, because that has
        capacity."""
        if self._shared:
            return
        yield from silent_connections(self.connections, asyncio.get_running_loop().time())
        yield from idle_connections(self.connections, self._connection_limit)

    def _connection_count(self) -> int:
        """Connections that are open or being set up. One that is being set up joins `connections` before its
        task ends."""
        return len(self.connections) + sum(c.transport is None for c in self._being_accepted.values())

    def has_extra_capacity(self) -> bool:
        """Whether one more client may be admitted beyond the limit when none can be evicted. Not if another
        process shares the listener, because that has capacity."""
        return not self._shared and self._connection_count() < self._connection_limit + EXTRA_CONNECTIONS

    def refuse_unfinished(self) -> None:
        """Answer partly received requests with an error: they come too late to be served."""
        for client in [c for c in self.connections if c.has_unfinished_request]:
            client.refuse_unfinished(self.refusal())

    def stop(self) -> None:
        """Close everything at once. Nothing is read from here on: the client of an unread request retries
        elsewhere, but a request that was read while the loop is torn down would be lost."""
        self.drain.cancel()
        self.close_listener()
        self.refuse_unfinished()
        for client in list(self.connections):
            client.abort()

    def close_listener(self) -> None:
        """Stop accepting. The kernel resets connections that have not been accepted yet."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def close_idle(self) -> None:
        """Close the idle connections, except new ones."""
        # drop() shuts the socket down at once: a request could arrive before a close in a later loop turn.
        for client in [c for c in self.connections if c.idle and not c.is_new]:
            client.drop()
