"""Sends clients away: as a lame duck, which can be taken back, and for good before the process ends."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from .downstream_connection import DownstreamConnection
from .downstream_request import RequestHandler

STREAMS_S = 60.0  # how long large answers may go on after a stop; whoever ordered it may end it before
POLL_S = 0.01  # while the last requests end
LAST_S = 0.3  # for what has come in by the end: read, refused, and its refusal taken


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


class DrainedServer(Protocol):
    """What a drain needs of the server whose clients it sends away."""

    @property
    def handler(self) -> RequestHandler:
        """Who sees the requests through."""

    @property
    def connections(self) -> Collection[DownstreamConnection]:
        """Those that are open."""

    @property
    def is_listening(self) -> bool:
        """Whether new clients can connect."""

    @property
    def has_clients(self) -> bool:
        """Whether anybody is connected, or about to be."""

    def accept_backlog(self) -> bool:
        """Accept who waits; whether nobody does any more."""

    def close_listener(self) -> None:
        """Accept no more."""

    def close_idle(self) -> None:
        """Close the connections on which nothing is going on."""

    def refuse_unfinished(self) -> None:
        """Answer the requests that are being received with an error."""

    def stop(self) -> None:
        """End all at once."""


class Drain:
    """The stages in which a server's clients are sent away, and which of them has been reached."""

    def __init__(self, server: DrainedServer) -> None:
        self._server = server
        self.in_lame_duck = False  # health says no
        self.closing = False  # answers ask the client to close
        self.refusing = False  # a request that is read now has no process left to see it through
        self._lame_duck: asyncio.Task[None] | None = None

    def enter_lame_duck(self, times: LameDuckTimes) -> None:
        """Send the clients away until leave_lame_duck, losing nothing that was taken. A repeat changes
        nothing."""
        if self._lame_duck is None:
            self.in_lame_duck, self.closing = True, times.close_s <= 0
            self._lame_duck = asyncio.get_running_loop().create_task(self._close_idle_until_rejoined(times))

    async def _close_idle_until_rejoined(self, times: LameDuckTimes) -> None:
        await asyncio.sleep(times.close_s)
        self.closing = True
        await asyncio.sleep(times.idle_s - times.close_s)
        while True:
            # A request that crosses this close is sent again on a new connection.
            self._server.close_idle()
            await asyncio.sleep(POLL_S)

    def leave_lame_duck(self) -> None:
        """Take clients again, also half way through sending them away."""
        self.cancel()
        self._lame_duck = None
        self.in_lame_duck = self.closing = False

    def cancel(self) -> None:
        """Close no more idle connections."""
        if self._lame_duck is not None:
            self._lame_duck.cancel()

    async def run(self, times: DrainTimes, succeeded: bool = False) -> None:
        """Take leave of the clients for good; where another process has the listener too, accept no more."""
        began = asyncio.get_running_loop().time()
        self.leave_lame_duck()  # a drain is quicker than a lame duck that has begun
        self.enter_lame_duck(times)
        if succeeded:
            self._server.close_listener()
        else:
            await asyncio.sleep(times.serve_s)
        await self._wait_for_clients(began + times.end_s)
        self.refusing = True
        self._server.handler.fail_all_pending()
        await self._finish_answers(began + STREAMS_S)
        await self._refuse_the_last()
        self._server.stop()

    async def _wait_for_clients(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while self._server.has_clients and loop.time() < until:
            await asyncio.sleep(POLL_S)

    async def _finish_answers(self, until: float) -> None:
        """What has begun is not cut off here: if it must be, that is for whoever ordered the stop."""
        loop = asyncio.get_running_loop()
        while any(c.busy for c in self._server.connections) and loop.time() < until:
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_S)

    async def _refuse_the_last(self) -> None:
        """Requests that have come in by the end each get their error."""
        loop = asyncio.get_running_loop()
        until = loop.time() + LAST_S
        await self._accept_all(until)
        self._server.close_listener()
        while self._server.has_clients and loop.time() < until:
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_S)

    async def _accept_all(self, until: float) -> None:
        """Accept who waits, until nobody does: closing the listener resets what has come in and is not
        accepted yet. Those beyond the limit come as the ones before them, refused, have left."""
        loop = asyncio.get_running_loop()
        while self._server.is_listening and loop.time() < until:
            if self._server.accept_backlog():
                return
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_S)
