"""Hundreds of clients at once that stop, write or read slowly, or ask far ahead, straight at one agent."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import msgspec

from burlshift_tools.emulator.scenario import Class

from ..addresses import split
from ..faults_schema import CROWD_KINDS, CrowdKind
from .part import Book, Plan, main
from .wire import HUGE_ANSWER, request_id

METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}
WORK_US = 1000  # of a request that is sent whole
RETURN_S = 0.01  # from the end of a connection until its client comes back
LARGE_BODY_BYTES, STOPPED_AFTER_BYTES = 200_000, 100_000  # more than an agent takes whole
SMALL_BODY_BYTES = 60_000  # taken whole
SLOW_BYTES_PER_S = (33_000, 40_000, 64_000)  # above the slowest that an agent has to accept
SLOW_PIECES_BYTES = (100, 1400, 9000)
SLOW_READ_BYTES, SLOW_READ_BYTES_PER_S = 4000, 20_000
SMALL_WINDOW_BYTES = 4096  # receive buffer of clients that read slowly
REQUESTS_AHEAD = 400
READ_BYTES = 65536
CHUNK = b"3e8\r\n" + b"x" * 1000 + b"\r\n"


class CrowdPart(Plan, kw_only=True):
    """Configuration of a crowd."""

    address: str
    classes: list[Class]
    seed: int


class Gather(msgspec.Struct, tag_field="order", tag="gather"):
    """Order: this many clients come, each of which comes back when its connection ends; 0: all leave."""

    number: int  # of the fault
    kind: CrowdKind
    clients: int


class Crowd:
    """The clients of all orders that are in force."""

    def __init__(self, plan: CrowdPart, book: Book) -> None:
        self._plan = plan
        self._host, self._port = split(plan.address)
        self._random = random.Random(plan.seed)
        self._counted = 0
        self._tasks: dict[int, list[asyncio.Task[None]]] = {}
        self._kinds: dict[
            str, Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]
        ] = {
            "stopped_body": self._stop_within_body,
            "stopped_small_body": self._stop_within_small_body,
            "stopped_chunks": self._stop_within_chunks,
            "stopped_fields": self._stop_within_fields,
            "slow_writer": self._write_slowly,
            "slow_reader": self._read_slowly,
            "ahead": self._ask_ahead,
            "whole": self._ask_steadily,
            "idle": self._rest,
        }

    async def start(self) -> None:
        """Nothing is open before the first order."""

    async def stop(self) -> None:
        for number in list(self._tasks):
            self._leave(number)

    async def order(self, order: Gather) -> None:
        self._leave(order.number)
        self._tasks[order.number] = [
            asyncio.get_running_loop().create_task(self._come_again(order.kind)) for _ in range(order.clients)
        ]

    def _leave(self, number: int) -> None:
        for task in self._tasks.pop(number, []):
            task.cancel()

    async def _come_again(self, kind: CrowdKind) -> None:
        while True:
            name = self._random.choice(CROWD_KINDS) if kind == "mixed" else kind
            with contextlib.suppress(OSError):
                async with self._connected(name in ("slow_reader", "ahead")) as (reader, writer):
                    await self._kinds[name](reader, writer)
            await asyncio.sleep(RETURN_S)

    @contextlib.asynccontextmanager
    async def _connected(
        self, small_window: bool
    ) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        with socket.socket() as sock:
            sock.setblocking(False)
            if small_window:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
            await asyncio.get_running_loop().sock_connect(sock, (self._host, self._port))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=SMALL_WINDOW_BYTES if small_window else READ_BYTES
            )
            try:
                yield reader, writer
            finally:
                writer.transport.abort()

    def _head(self, fields: str, prefix: str = "crowd", body: bool = True) -> bytes:
        """The head of a proper request with these further fields, of a class that has bodies or has none."""
        fitting = [c for c in self._plan.classes if (c.effect != "safe") is body] or self._plan.classes
        chosen = self._random.choice(fitting)
        self._counted += 1
        rid = request_id(f"{prefix}-{self._plan.name}-{self._counted}", 1, WORK_US, self._counted)
        key = f"Idempotency-Key: {rid}\r\n" if chosen.effect == "keyed" else ""
        return (
            f"{METHODS[chosen.effect]} /api?obj={self._counted:x} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"Request-Id: {rid}\r\nRequest-Class: {chosen.name}\r\n{key}"
            f"Request-Timeout-Ms: {int(chosen.deadline_ms)}\r\n{fields}\r\n"
        ).encode()

    async def _stop_within_body(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = self._head(f"Content-Length: {LARGE_BODY_BYTES}\r\n")
        writer.write(head + b"x" * STOPPED_AFTER_BYTES)
        await _read_to_end(reader)

    async def _stop_within_small_body(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self._head(f"Content-Length: {SMALL_BODY_BYTES}\r\n") + b"x" * (SMALL_BODY_BYTES - 1))
        await _read_to_end(reader)

    async def _stop_within_chunks(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("Transfer-Encoding: chunked\r\n") + CHUNK * 100)
        await _read_to_end(reader)

    async def _stop_within_fields(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = b"".join(b"%c%c:\r\n" % (97 + n // 26, 97 + n % 26) for n in range(80))
        writer.write(b"GET /api HTTP/1.1\r\n" + fields + b"x: " + b"y" * 30_000)
        await _read_to_end(reader)

    async def _write_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head(f"Content-Length: {LARGE_BODY_BYTES}\r\n"))
        answered = asyncio.get_running_loop().create_task(_read_to_end(reader))
        left = LARGE_BODY_BYTES
        try:
            while left and not answered.done():
                piece = min(left, self._random.choice(SLOW_PIECES_BYTES))
                writer.write(b"x" * piece)
                left -= piece
                await asyncio.sleep(piece / self._random.choice(SLOW_BYTES_PER_S))
            await answered
        finally:
            answered.cancel()

    async def _read_slowly(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self._head("", HUGE_ANSWER, body=False))
        while data := await reader.read(SLOW_READ_BYTES):
            await asyncio.sleep(len(data) / SLOW_READ_BYTES_PER_S)

    async def _ask_ahead(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(REQUESTS_AHEAD):
            writer.write(self._head("", body=False))
            await writer.drain()
        await asyncio.sleep(10 * RETURN_S)

    async def _ask_steadily(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(self._head(f"Content-Length: {SMALL_BODY_BYTES}\r\n") + b"x" * SMALL_BODY_BYTES)
            if not await reader.read(READ_BYTES):
                return
            await asyncio.sleep(10 * RETURN_S)

    async def _rest(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _read_to_end(reader)


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    while await reader.read(READ_BYTES):
        pass


if __name__ == "__main__":
    main(CrowdPart, Crowd, Gather)
