"""The order in which connections get their turns, if their input costs more than one turn may take."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import ClassVar, Protocol
from weakref import WeakKeyDictionary

TURNS_PER_ITERATION = 8  # of the event loop, which serves all other connections in between


class DeferringConnection(Protocol):
    """A connection that holds input which has been read and not been processed."""

    def process_deferred_input(self) -> None:
        """Process as much of the input as one turn may take. Never raises; adds the connection to the backlog
        again if more is left."""


class InputBacklog:
    """Gives each connection with deferred input its turn, first come, first served.

    The number of turns in one iteration of the event loop is bounded, however many connections wait.
    """

    _of_loops: ClassVar[WeakKeyDictionary[asyncio.AbstractEventLoop, InputBacklog]] = WeakKeyDictionary()

    def __init__(self) -> None:
        self._waiting: deque[DeferringConnection] = deque()
        self._scheduled = False

    @classmethod
    def of_running_loop(cls) -> InputBacklog:
        """The backlog of all connections of the running event loop."""
        loop = asyncio.get_running_loop()
        backlog = cls._of_loops.get(loop)
        if backlog is None:
            backlog = cls._of_loops[loop] = cls()
        return backlog

    def add(self, connection: DeferringConnection) -> None:
        """Give this connection a turn in a later iteration of the event loop."""
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
            self._waiting.popleft().process_deferred_input()
        self._schedule()
