"""The admin interface: each connection carries one command, one line long, and is answered and closed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, Protocol

from .listener import Acceptor, listening
from .listing import Address

log = logging.getLogger(__name__)

LINE_LIMIT = 512  # bytes of a call
SILENT_S = 2.0  # a caller that has not finished its call by then is let go
LINGER_S = 0.5  # what a caller still sends behind its answer is read and dropped for so long
MOST = 16  # callers at once; a part of the descriptors set apart
BACKLOG = 64


class Refused(Exception):
    """An act that cannot be done; the text says why."""


class AdminActions(Protocol):
    """What operators may ask for. Each returns once it is in force, or raises Refused."""

    def ping(self) -> None: ...

    def info(self) -> str:
        """The figures, each on a line."""

    async def detach(self, backend: str) -> None: ...

    async def attach(self, backend: str) -> None: ...

    async def lameduck(self) -> None: ...

    async def rejoin(self) -> None: ...


class AdminServer:
    """Listens for calls, reads them and answers; the owners act."""

    def __init__(self, acts: AdminActions) -> None:
        self._acts = acts
        self._acceptor: Acceptor | None = None
        self.callers: dict[_AdminConnection, None] = {}  # the first come first
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> int:
        """Returns the port, for an address whose port is 0."""
        listener = await listening(address, BACKLOG)
        self._acceptor = Acceptor(listener, lambda: _AdminConnection(self))
        return int(listener.getsockname()[1])

    def close(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()
        for caller in list(self.callers):
            caller.drop()

    def come(self, caller: _AdminConnection) -> None:
        """Callers that say nothing must not keep out one that does."""
        while len(self.callers) >= MOST:
            oldest = next((c for c in self.callers if not c.called), next(iter(self.callers)))
            oldest.drop()
            self.callers.pop(oldest, None)
        self.callers[caller] = None

    async def answer(self, line: bytes) -> str:
        """What to say to this call; a fault of the agent's own is answered too."""
        try:
            return await self._carry_out(line)
        except Refused as e:
            return f"ERR {e}\n"
        except Exception:
            log.exception("a call failed")
            return "ERR internal error\n"

    async def _carry_out(self, line: bytes) -> str:
        try:
            words = line.decode("utf-8").split()
        except UnicodeDecodeError:
            raise Refused("the call is no text") from None
        if not words:
            raise Refused("empty call")
        call, args = words[0], words[1:]
        on_server: dict[str, Callable[[str], Coroutine[Any, Any, None]]] = {
            "DETACH": self._acts.detach,
            "ATTACH": self._acts.attach,
        }
        on_agent: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "LAMEDUCK": self._acts.lameduck,
            "REJOIN": self._acts.rejoin,
        }
        if call in on_server:
            if len(args) != 1:
                raise Refused(f"{call} takes one id")
            await on_server[call](args[0])
        elif call not in on_agent and call not in ("PING", "INFO"):
            raise Refused("unknown call; one of PING, INFO, DETACH, ATTACH, LAMEDUCK, REJOIN")
        elif args:
            raise Refused(f"{call} takes nothing")
        elif call in on_agent:
            await on_agent[call]()
        elif call == "PING":
            self._acts.ping()
        else:
            return f"{self._acts.info()}END\n"
        return "OK\n"


class _AdminConnection(asyncio.Protocol):
    """One connection: reads up to the end of a line, then answers and closes."""

    def __init__(self, door: AdminServer) -> None:
        self._door = door
        self._line = bytearray()
        self._transport: asyncio.Transport | None = None
        self._silent: asyncio.TimerHandle | None = None
        self.called = False  # the call is complete; what else comes is dropped
        self._said = False  # it has been answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._door.come(self)
        self._silent = asyncio.get_running_loop().call_later(SILENT_S, self._too_slow)

    def data_received(self, data: bytes) -> None:
        if self.called:
            return
        self._line += data
        end = self._line.find(b"\n")
        if end > LINE_LIMIT or (end < 0 and len(self._line) > LINE_LIMIT):
            self._say(f"ERR a call holds {LINE_LIMIT} bytes at most\n")
        elif end >= 0:
            self.called = True
            task = asyncio.get_running_loop().create_task(self._answer(bytes(self._line[:end])))
            self._door.tasks.add(task)
            task.add_done_callback(self._door.tasks.discard)

    def eof_received(self) -> bool:
        if not self.called:
            self._say("ERR a call ends with a line feed\n")
        return not self._said  # a caller may end its sending and wait for the answer

    def connection_lost(self, exc: Exception | None) -> None:
        if self._silent is not None:
            self._silent.cancel()
        self._door.callers.pop(self, None)

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _too_slow(self) -> None:
        if not self.called:
            self._say("ERR no call in time\n")

    async def _answer(self, line: bytes) -> None:
        self._say(await self._door.answer(line))

    def _say(self, text: str) -> None:
        """Answer and part: read and drop what still comes, for a close over unread bytes would reset the
        answer away.
        """
        self.called = self._said = True
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(text.encode())
        with suppress(OSError):  # the caller may have reset it since
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)
