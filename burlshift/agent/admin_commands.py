"""The admin commands, carried out in each process of the agent."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable
from typing import Any

from .admin_interface import CommandRefused
from .agent import Agent
from .drain import LameDuckTimes
from .hot_restart import Command, HotRestart, Unconfirmed
from .memory_budget import MemoryBudget
from .memory_limits import Role
from .metrics import Metrics
from .server import Server

log = logging.getLogger(__name__)

# The load balancer in front sees the failing health check and sends no more within 0.3 s. A request that is
# received from 2 s on must be answered by 4 s, so it is refused; the agent may be late by some 0.1 s.
LAME_DUCK_TIMES = LameDuckTimes(close_s=0.5, idle_s=1.0, refuse_s=1.5)
# In a process that takes over from one in lame-duck mode, which may have been in it for any time.
INHERITED_LAME_DUCK_TIMES = LameDuckTimes(close_s=0.0, idle_s=0.0, refuse_s=0.0)
FIRST_LIST_TIMEOUT_S = 3.0  # then PING succeeds with the known list if discovery has not answered


class AdminCommands:
    """Carries out the admin commands, in this process and in the one linked to it.

    Implements AdminActions for the admin interface and RestartOwner for the hot restart.
    """

    def __init__(
        self, agent: Agent, server: Server, metrics: Metrics, max_connections: Callable[[int], int]
    ) -> None:
        self._agent, self._server, self._metrics = agent, server, metrics
        # Limit of connections to clients, and of those to backends, by the number of processes that share it
        self._max_connections = max_connections
        self._started_at = time.monotonic()
        self.stopping = False
        self.hot_restart: HotRestart | None = None  # None: no other process can take over

    # Commands of the admin interface

    def ping(self) -> None:
        if self._server.listener is None:
            raise CommandRefused("not serving")
        if not self._agent.has_current_list and time.monotonic() < self._started_at + FIRST_LIST_TIMEOUT_S:
            raise CommandRefused("no word from discovery yet")

    def info(self) -> str:
        return self._metrics.text(self._agent.gauges())

    async def detach(self, backend: str) -> None:
        await self._in_all_processes({"act": "detach", "backend": backend})

    async def attach(self, backend: str) -> None:
        await self._in_all_processes({"act": "attach", "backend": backend})

    async def lameduck(self) -> None:
        await self._in_all_processes({"act": "lameduck"})

    async def rejoin(self) -> None:
        if self.stopping:
            raise CommandRefused("this process is stopping")
        await self._in_all_processes({"act": "rejoin"})

    async def _in_all_processes(self, command: Command) -> None:
        try:
            self._run(command, prevalidated=False)
        except LookupError:
            raise CommandRefused("no such server was ever listed") from None
        if self.hot_restart is not None:
            try:
                await self.hot_restart.broadcast(command)
            except Unconfirmed:
                raise CommandRefused(
                    "in force here, but not confirmed by the process beside this one"
                ) from None

    def _run(self, command: Command, prevalidated: bool) -> None:
        match command["act"]:
            case "detach":
                self._agent.detach(command["backend"], prevalidated)
            case "attach":
                self._agent.attach(command["backend"])
            case "lameduck":
                if not self.stopping:
                    self._server.drain.enter_lame_duck(LAME_DUCK_TIMES)
            case "rejoin":
                if not self.stopping:
                    self._server.drain.leave_lame_duck()
        log.info("admin command: %s", " ".join(command.values()))

    # State and commands shared with the predecessor or successor

    def listener(self) -> socket.socket:
        if self._server.listener is None:
            raise ValueError("not listening")
        return self._server.listener

    def state(self) -> dict[str, Any]:
        return {**self._agent.state(), "empty": self._server.drain.in_lame_duck}

    def resume(self, state: dict[str, Any]) -> None:
        """Continue with the predecessor's state: an agent in lame-duck mode stays in it until a REJOIN."""
        if state.get("empty"):
            self._server.drain.enter_lame_duck(INHERITED_LAME_DUCK_TIMES)

    def apply(self, command: Command) -> None:
        """Carry out a command that was received by the other process's admin interface."""
        try:
            self._run(command, prevalidated=True)
        except LookupError as error:
            log.warning("command of the other process names an unknown server: %s", error)

    def set_process_count(self, processes: int) -> None:
        """Adapt the limits to the number of processes of the agent, which share its memory.

        Of the connections only the limit of those to backends is divided, since each process opens its own.
        Clients move from one process to the other one by one, and neither process may close or delay one for
        lack of room.
        """
        has_successor = self.hot_restart is not None and self.hot_restart.has_successor
        has_predecessor = processes > 1 + has_successor
        MemoryBudget.of_running_loop().set_role(Role.SUCCESSOR if has_predecessor else Role.SERVING)
        self._server.limit_connections(self._max_connections(1), shared=has_successor)
        self._agent.limit_connections(self._max_connections(processes))
