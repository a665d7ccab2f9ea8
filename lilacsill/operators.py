"""What operators ask at the door, carried out by those who own it."""
from __future__ import annotations

import logging

from .agent import Agent
from .control import Refused
from .figures import Figures
from .server import EmptyTimes, Server

log = logging.getLogger(__name__)

# The front has seen the no and stopped within 0.3 s. The last idle connection is to be gone well before 2 s:
# what comes on it from then on must be answered by 4 s.
EMPTY = EmptyTimes(close_s=0.5, idle_s=1.0)


class Operators:
    """Says yes only once the act is in force."""

    def __init__(self, agent: Agent, server: Server, figures: Figures) -> None:
        self._agent, self._server, self._figures = agent, server, figures
        self.stopping = False

    def ping(self) -> None:
        if not self._server.listening:
            raise Refused("not serving")

    def info(self) -> str:
        return self._figures.text(self._agent.levels())

    async def detach(self, backend: str) -> None:
        try:
            self._agent.detach(backend)
        except LookupError:
            raise Refused("no such server was ever listed") from None
        log.info("server %s taken out by hand", backend)

    async def attach(self, backend: str) -> None:
        try:
            self._agent.attach(backend)
        except LookupError:
            raise Refused("no such server was ever listed") from None
        log.info("server %s put back by hand", backend)

    async def lameduck(self) -> None:
        self._server.empty(EMPTY)
        log.info("clients are sent away")

    async def rejoin(self) -> None:
        if self.stopping:
            raise Refused("this process is stopping")
        self._server.refill()
        log.info("clients are taken again")
