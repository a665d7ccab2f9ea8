"""Connections whose clients have sent several requests at once, and the turns in which they are processed."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

TURNS_PER_ITERATION = 8  # of the event loop, which serves all other connections in between


class BufferedConnection(Protocol):
    """A connection that holds input which has been read and not been processed."""

    def process_buffered_input(self) -> None:
        """Process the input up to the end of the next request. Never raises; adds the connection to the
        backlog again if more is left."""


class InputBacklog:
    """Gives each connection with buffered input its turn, first come, first served.

    The number of turns in one iteration of the event loop is bounded, however many connections wait.
    """

    def __init__(self) -> None:
        self._waiting: deque[BufferedConnection] = deque()
        self._scheduled = False

    def add(self, connection: BufferedConnection) -> None:
        """Process the next request of this connection in a later iteration of the event loop."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        # What is added meanwhile waits for the next iteration.
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            self._waiting.popleft().process_buffered_input()
        self._schedule()
