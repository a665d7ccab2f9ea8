"""Accepts the connections of the application, within a limit, and sends them away before a stop."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

import h11

from burlshift.balancing.interface import Settings

from .connection import Fields
from .discovery import Address
from .downstream_connection import DownstreamConnection
from .downstream_request import DownstreamRequest, Rejected, RequestHandler, ResponseWriter, retry_after
from .listener import ACCEPTS, STARVED_S, Waiting, accept_waiting, listening
from .request_parser import RequestParser
from .socket_errors import Lacking
from .upload import Upload

log = logging.getLogger(__name__)

BACKLOG = 512
EXTRA = 32  # connections beyond the limit while none is idle; half of the descriptors set apart
STREAMS_S = 60.0  # how long large answers may go on after a stop; whoever ordered it may end it before
POLL_S = 0.01  # while the last requests end
LAST_S = 0.3  # for what has come in by the end: read, refused, and its refusal taken
COME_AGAIN_US = 500_000  # a client turned away by a stop: by then another process serves, or will soon


@dataclass(slots=True, frozen=True)
class LameDuckTimes:
    """How clients are sent away, in seconds from the start. Health says no at once."""

    close_s: float  # from then on each answer asks its client to close
    idle_s: float  # from then on idle connections are closed


@dataclass(slots=True, frozen=True)
class DrainTimes(LameDuckTimes):
    """The stages of a stop."""

    serve_s: float  # until then new connections are served
    end_s: float  # then all is over


def _itself(client: DownstreamConnection) -> DownstreamConnection:
    return client


class _Admission:
    """Who may come in one go of accepting, and who makes way for them."""

    def __init__(self, server: Server) -> None:
        self._server, self._resting = server, server.resting()
        self._makes_way: DownstreamConnection | None = None

    def may_come(self) -> bool:
        """Whether one more may, because there is room or because another makes way."""
        full = self._server.full()
        self._makes_way = next(self._resting, None) if full else None
        return not full or self._makes_way is not None or self._server.room_beyond()

    def take_in(self, sock: socket.socket) -> None:
        if self._makes_way is not None:  # only now: before, nobody may have waited
            self._makes_way.drop()
        self._server.take_in(sock)


class Server:
    """Listens for the application."""

    def __init__(self, settings: Settings, taker: RequestHandler, most: int) -> None:
        self.handler = taker
        self._most = most  # connections at once, so that descriptors are left for backends
        self.checker = RequestParser(settings.classes, settings.tenants)
        self._come_again_us = min(COME_AGAIN_US, settings.max_retry_after_us) if settings.retry_after else 0
        self.connections: set[DownstreamConnection] = set()
        self.draining = False  # health says no
        self.closing = False  # answers ask the client to close
        self.refusing = False  # a request that is read now has no process left to see it through
        self._lame_duck: asyncio.Task[None] | None = None
        self.listener: socket.socket | None = None
        self._accepting = False
        self._shared = False
        self._starved = False  # the last try to accept found no descriptor
        self._coming: dict[
            asyncio.Task[object], DownstreamConnection
        ] = {}  # accepted, and on its way into the loop

    def ready(self) -> bool:
        """Whether new clients are welcome."""
        return not self.draining and self.handler.ready()

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """The call that a whole head, and a body at least begun, make. Rejected, where it cannot be taken."""
        call = self.checker.check(request, fields, body, client)
        if self.refusing:
            raise self.refusal()
        return call

    def refusal(self) -> Rejected:
        """Of whatever cannot be seen through any more."""
        return Rejected(503, "shutting down", retry_after(self._come_again_us))

    async def listen(self, address: Address, shared: bool = False) -> int:
        """Returns the port, for an address whose port is 0. A shared one can be listened on once more."""
        return self.take_over(await listening(address, BACKLOG, shared))

    def take_over(self, listener: socket.socket) -> int:
        """Accept from a socket that listens already; returns its port."""
        self.listener = listener
        listener.setblocking(False)
        self._write_at_once()
        self.freed()
        return int(listener.getsockname()[1])

    def _write_at_once(self) -> None:
        """Small writes are not to be held back. What is accepted inherits it; asyncio sets it only on a
        socket made with its protocol's number."""
        if self.listener is None:
            return
        try:
            self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as e:
            log.warning("small writes are held back for now: %s", e.strerror)
            asyncio.get_running_loop().call_later(STARVED_S, self._write_at_once)

    def limit(self, most: int, shared: bool) -> None:
        """So many connections at once from now on; those beyond it end in their own time. Where the listener
        is shared, what is not accepted here because of it is left to the other process."""
        self._most, self._shared = most, shared
        self.freed()

    def freed(self) -> None:
        """A connection has ended or fallen idle: one more may come."""
        if not self._accepting and self.listener is not None:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self, most: int = ACCEPTS) -> bool:
        """Take some that wait; whether nobody does any more. Beyond the limit the kernel holds them:
        accepting on without descriptors fails for each one that waits, again and again."""
        assert self.listener is not None
        admission = _Admission(self)
        try:
            waiting = accept_waiting(self.listener, admission.take_in, most, admission.may_come)
        except Lacking as e:
            self._starve(e)
            return False
        if waiting is Waiting.NOT_ADMITTED:
            self._pause_accepting()  # new ones that say nothing will make way by then
        return waiting is Waiting.NOBODY

    def take_in(self, sock: socket.socket) -> None:
        """Serve who has been accepted."""
        self._starved = False
        loop, client = asyncio.get_running_loop(), DownstreamConnection(self)
        task: asyncio.Task[object] = loop.create_task(
            loop.connect_accepted_socket(partial(_itself, client), sock)
        )
        self._coming[task] = client
        task.add_done_callback(self._coming.pop)

    def _starve(self, error: Lacking) -> None:
        """Nothing to accept with. The kernel goes on saying that one waits: asked again at once, that would
        take all the time there is.
        """
        if not self._starved:
            log.warning("cannot accept for now: %s", error.strerror)
        self._starved = True
        self._pause_accepting()

    def _pause_accepting(self) -> None:
        """For a moment, or until a connection ends or falls idle."""
        assert self.listener is not None
        self._accepting = False
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener)
        loop.call_later(STARVED_S, self.freed)

    def full(self) -> bool:
        """Whether as many are connected as may be at once."""
        return self._occupied() >= self._most

    def resting(self) -> Iterator[DownstreamConnection]:
        """Those that may make way, the one that has rested longest first. Not who has just come: its request
        is on the way, and a new connection that is closed unanswered counts as a refusal. Nobody, where
        another process that listens has room."""
        if self._shared:
            return
        candidates = [c for c in self.connections if c.has_read_nothing and not c.is_new]
        for client in sorted(candidates, key=lambda c: c.last):
            if client.idle:
                yield client

    def _occupied(self) -> int:
        """Places taken. One on its way is among the connections before its way is over."""
        return len(self.connections) + sum(c.transport is None for c in self._coming.values())

    def room_beyond(self) -> bool:
        """Whether one more may come where none makes way. Another process that listens has room for it."""
        return not self._shared and self._occupied() < self._most + EXTRA

    def enter_lame_duck(self, times: LameDuckTimes) -> None:
        """Send the clients away until refill, losing nothing that was taken. A repeat changes nothing."""
        if self._lame_duck is None:
            self.draining, self.closing = True, times.close_s <= 0
            self._lame_duck = asyncio.get_running_loop().create_task(self._close_idle_until_rejoined(times))

    async def _close_idle_until_rejoined(self, times: LameDuckTimes) -> None:
        await asyncio.sleep(times.close_s)
        self.closing = True
        await asyncio.sleep(times.idle_s - times.close_s)
        while True:
            # A request that crosses this close is sent again on a new connection.
            self._close_idle()
            await asyncio.sleep(POLL_S)

    def leave_lame_duck(self) -> None:
        """Take clients again, also half way through an emptying."""
        if self._lame_duck is not None:
            self._lame_duck.cancel()
            self._lame_duck = None
        self.draining = self.closing = False

    async def drain(self, times: DrainTimes, succeeded: bool = False) -> None:
        """Take leave of the clients for good; where another process has the listener too, accept no more."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.leave_lame_duck()  # were it being emptied: a stop is quicker
        self.enter_lame_duck(times)
        if succeeded:
            self._close_listener()
        else:
            await asyncio.sleep(times.serve_s)
        while (self.connections or self._coming) and loop.time() < began + times.end_s:
            await asyncio.sleep(POLL_S)
        self.refusing = True
        self.handler.fail_all_pending()
        # What has begun is not cut off here: if it must be, that is for whoever ordered the stop.
        while any(c.busy for c in self.connections) and loop.time() < began + STREAMS_S:
            self._refuse_unfinished()
            await asyncio.sleep(POLL_S)
        last = loop.time() + LAST_S
        await self._accept_all(last)
        self._close_listener()
        while (self.connections or self._coming) and loop.time() < last:
            self._refuse_unfinished()
            await asyncio.sleep(POLL_S)
        self.stop()

    async def _accept_all(self, last: float) -> None:
        """Accept who waits, until nobody does: closing the listener resets what has come in and is not
        accepted yet. Those beyond the limit come as the ones before them, refused, have left."""
        loop = asyncio.get_running_loop()
        while self.listener is not None and loop.time() < last:
            if self._accept(BACKLOG):
                return
            self._refuse_unfinished()
            await asyncio.sleep(POLL_S)

    def _refuse_unfinished(self) -> None:
        """Requests that nobody will be there to read to their end: each is owed its error while there is."""
        for client in [c for c in self.connections if c.unfinished]:
            client.refuse_unfinished()

    def stop(self) -> None:
        """End all at once. From here on nothing is read: a request that comes now stays unread, and its
        client asks elsewhere, while one that was read as the loop is torn down would be lost."""
        if self._lame_duck is not None:
            self._lame_duck.cancel()
        self._close_listener()
        self._refuse_unfinished()
        for client in list(self.connections):
            client.cut_off()

    def _close_listener(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _close_idle(self) -> None:
        # At once in the kernel: between a look and a close that waits for the loop a request can come.
        for client in [c for c in self.connections if c.idle and not c.is_new]:
            client.drop()
