"""Sends clients away: in lame-duck mode, which can be left again, and for good before the process ends."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Protocol

from .downstream_connection import DownstreamConnection
from .downstream_request import RequestHandler

STREAM_LIMIT_S = 60.0  # for streamed responses after a stop; the supervisor may kill the process earlier
POLL_INTERVAL_S = 0.01  # while the last requests end
REFUSE_REMAINING_S = 0.3  # to read and refuse the last requests, and for clients to read the refusals


@dataclass(slots=True, frozen=True)
class LameDuckTimes:
    """When clients are sent away, in seconds from the start of the mode. The health check fails at once."""

    close_s: float  # from then on each response asks its client to close
    idle_s: float  # from then on idle connections are closed
    # Requests whose last byte is read from then on are refused, also those that are being received.
    refuse_s: float = field(default=math.inf, kw_only=True)


@dataclass(slots=True, frozen=True)
class DrainTimes(LameDuckTimes):
    """The stages of a stop."""

    serve_s: float  # until then new connections are served
    end_s: float  # then requests without a response fail


class DrainedServer(Protocol):
    """The interface of the server whose clients a drain sends away."""

    @property
    def handler(self) -> RequestHandler:
        """The handler of the server's requests."""

    @property
    def connections(self) -> Collection[DownstreamConnection]:
        """The open connections."""

    @property
    def is_listening(self) -> bool:
        """Whether new clients can connect."""

    @property
    def has_clients(self) -> bool:
        """Whether any client is connected or being accepted."""

    def accept_backlog(self) -> bool:
        """Accept waiting connections; returns whether none is left."""

    def close_listener(self) -> None:
        """Accept no more connections."""

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""

    def refuse_unfinished(self) -> None:
        """Answer the requests that are being received with an error."""

    def stop(self) -> None:
        """Close all connections at once."""


class Drain:
    """The stages in which a server's clients are sent away, and the current one."""

    def __init__(self, server: DrainedServer) -> None:
        self._server = server
        self.in_lame_duck = False  # the health check fails
        self.closing = False  # responses ask the client to close
        # The loop's time from which on requests are read too late to be served.
        self._refuse_from = math.inf
        self._lame_duck: asyncio.Task[None] | None = None

    @property
    def refusing(self) -> bool:
        """Whether a request that is read now is refused."""
        return self.refuses(asyncio.get_running_loop().time())

    def refuses(self, read_at: float) -> bool:
        """Whether a request is refused whose last byte was read at this time of the loop."""
        return read_at >= self._refuse_from

    def enter_lame_duck(self, times: LameDuckTimes) -> None:
        """Send the clients away until leave_lame_duck, without losing a request that was accepted.

        Does nothing if lame-duck mode has begun already.
        """
        if self._lame_duck is None:
            loop = asyncio.get_running_loop()
            self.in_lame_duck, self.closing = True, times.close_s <= 0
            self._refuse_from = loop.time() + times.refuse_s
            self._lame_duck = loop.create_task(self._close_idle_until_rejoined(times))

    async def _close_idle_until_rejoined(self, times: LameDuckTimes) -> None:
        await asyncio.sleep(times.close_s)
        self.closing = True
        await asyncio.sleep(times.idle_s - times.close_s)
        while True:
            # A client whose request is on its way during this close repeats it on a new connection.
            self._server.close_idle()
            if self.refusing:
                self._server.refuse_unfinished()
            await asyncio.sleep(POLL_INTERVAL_S)

    def leave_lame_duck(self) -> None:
        """Serve clients normally again, at any stage of lame-duck mode."""
        self.cancel()
        self._lame_duck = None
        self.in_lame_duck = self.closing = False
        self._refuse_from = math.inf

    def cancel(self) -> None:
        """Stop closing idle connections."""
        if self._lame_duck is not None:
            self._lame_duck.cancel()

    async def run(self, times: DrainTimes, has_successor: bool = False) -> None:
        """Send the clients away for good.

        has_successor: another process has the listening socket, so this one accepts no more connections.
        """
        started_at = asyncio.get_running_loop().time()
        refuse_from = self._refuse_from
        self.leave_lame_duck()  # its stages may be slower than those of the drain
        self.enter_lame_duck(times)
        self._refuse_from = min(refuse_from, self._refuse_from)
        if has_successor:
            self._server.close_listener()
        else:
            await asyncio.sleep(times.serve_s)
        await self._wait_for_clients(started_at + times.end_s)
        self._refuse_from = -math.inf
        self._server.handler.fail_all_pending()
        await self._finish_answers(started_at + STREAM_LIMIT_S)
        await self._refuse_remaining()
        self._server.stop()

    async def _wait_for_clients(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while self._server.has_clients and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _finish_answers(self, deadline: float) -> None:
        """Wait until the responses in progress have ended, or until the deadline.

        A supervisor that needs an earlier end kills the process.
        """
        loop = asyncio.get_running_loop()
        while any(c.busy for c in self._server.connections) and loop.time() < deadline:
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _refuse_remaining(self) -> None:
        """Accept the last connections, and answer every request that has been received with an error."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REFUSE_REMAINING_S
        await self._accept_all(deadline)
        self._server.close_listener()
        while self._server.has_clients and loop.time() < deadline:
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _accept_all(self, deadline: float) -> None:
        """Accept all waiting connections: closing the listener would reset those not accepted yet.

        At the limit of connections, more are accepted once earlier ones have been refused and closed.
        """
        loop = asyncio.get_running_loop()
        while self._server.is_listening and loop.time() < deadline:
            if self._server.accept_backlog():
                return
            self._server.refuse_unfinished()
            await asyncio.sleep(POLL_INTERVAL_S)
