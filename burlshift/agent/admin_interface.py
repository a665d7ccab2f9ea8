"""The admin interface: a connection carries one command of one line, and is closed after the reply."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, Protocol

from .listener import Acceptor, listening
from .listing import Address

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 512  # of a command
COMMAND_TIMEOUT_S = 2.0  # for a client to send its command
LINGER_S = 0.5  # how long input that follows the command is read and dropped after the reply
MAX_CONNECTIONS = 16  # their descriptors are among the RESERVED_DESCRIPTORS of the process
BACKLOG = 64


class CommandRefused(Exception):
    """A command that cannot be carried out; the text says why."""


class AdminActions(Protocol):
    """The commands of the admin interface; a command returns once it is in force."""

    def ping(self) -> None:
        """Return if the process serves with a list; CommandRefused if it is not ready or does not listen."""

    def info(self) -> str:
        """The metrics, one on each line."""

    async def detach(self, backend: str) -> None:
        """Send no new requests to a backend; CommandRefused if it was never listed or on no confirmation."""

    async def attach(self, backend: str) -> None:
        """End a detachment; CommandRefused if the backend was never listed or on no confirmation."""

    async def lameduck(self) -> None:
        """Enter lame-duck mode; CommandRefused if another process does not confirm it."""

    async def rejoin(self) -> None:
        """Leave lame-duck mode; CommandRefused while the process stops or on no confirmation."""


class AdminServer:
    """Listens for commands, has them carried out by `actions`, and replies."""

    def __init__(self, actions: AdminActions) -> None:
        self._actions = actions
        self._acceptor: Acceptor | None = None
        self.connections: dict[_AdminConnection, None] = {}  # in order of arrival
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> int:
        """Listen on the address; returns the port, which the system chooses if that of the address is 0."""
        listener = await listening(address, BACKLOG)
        self._acceptor = Acceptor(listener, lambda: _AdminConnection(self))
        return int(listener.getsockname()[1])

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self.connections):
            connection.drop()

    def add_connection(self, connection: _AdminConnection) -> None:
        """Add a connection; at the limit, the oldest one without a complete command is aborted first.

        If all have sent a complete command, the oldest one is aborted.
        """
        while len(self.connections) >= MAX_CONNECTIONS:
            oldest = next((c for c in self.connections if not c.received), next(iter(self.connections)))
            oldest.drop()
            self.connections.pop(oldest, None)
        self.connections[connection] = None

    async def answer(self, line: bytes) -> str:
        """Carry out the command and return the reply, also if it fails with an unexpected exception."""
        try:
            return await self._run_command(line)
        except CommandRefused as error:
            return f"ERR {error}\n"
        except Exception:
            log.exception("an admin command failed")
            return "ERR internal error\n"

    async def _run_command(self, line: bytes) -> str:
        try:
            words = line.decode("utf-8").split()
        except UnicodeDecodeError:
            raise CommandRefused("the call is no text") from None
        if not words:
            raise CommandRefused("empty call")
        command, args = words[0], words[1:]
        server_commands: dict[str, Callable[[str], Coroutine[Any, Any, None]]] = {
            "DETACH": self._actions.detach,
            "ATTACH": self._actions.attach,
        }
        agent_commands: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "LAMEDUCK": self._actions.lameduck,
            "REJOIN": self._actions.rejoin,
        }
        if command in server_commands:
            if len(args) != 1:
                raise CommandRefused(f"{command} takes one id")
            await server_commands[command](args[0])
        elif command not in agent_commands and command not in ("PING", "INFO"):
            raise CommandRefused("unknown call; one of PING, INFO, DETACH, ATTACH, LAMEDUCK, REJOIN")
        elif args:
            raise CommandRefused(f"{command} takes nothing")
        elif command in agent_commands:
            await agent_commands[command]()
        elif command == "PING":
            self._actions.ping()
        else:
            return f"{self._actions.info()}END\n"
        return "OK\n"


class _AdminConnection(asyncio.Protocol):
    """One connection: reads a line, replies and closes."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._line = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self.received = False  # the command is complete; further input is dropped
        self._answered = False  # the reply has been sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.add_connection(self)
        self._timeout = asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_S, self._on_timeout)

    def data_received(self, data: bytes) -> None:
        if self.received:
            return
        self._line += data
        end = self._line.find(b"\n")
        if end > MAX_LINE_BYTES or (end < 0 and len(self._line) > MAX_LINE_BYTES):
            self._reply(f"ERR a call holds {MAX_LINE_BYTES} bytes at most\n")
        elif end >= 0:
            self.received = True
            task = asyncio.get_running_loop().create_task(self._answer(bytes(self._line[:end])))
            self._server.tasks.add(task)
            task.add_done_callback(self._server.tasks.discard)

    def eof_received(self) -> bool:
        if not self.received:
            self._reply("ERR a call ends with a line feed\n")
        return not self._answered  # a client may half-close the connection and wait for the reply

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        self._server.connections.pop(self, None)

    def drop(self) -> None:
        """Abort the connection without a reply."""
        if self._transport is not None:
            self._transport.abort()

    def _on_timeout(self) -> None:
        if not self.received:
            self._reply("ERR no call in time\n")

    async def _answer(self, line: bytes) -> None:
        self._reply(await self._server.answer(line))

    def _reply(self, text: str) -> None:
        """Send the reply, then read and drop further input for LINGER_S and close.

        A close with unread input would reset the connection, and the reply could be lost.
        """
        self.received = self._answered = True
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(text.encode())
        with suppress(OSError):  # the client may have reset the connection
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)
