"""A stand-in meter server: HTTP around the emulator's model of service, on the real clock."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import h11
import msgspec

from burlshift.agent.connection import Connection, Fields, Headers, fields_of, header
from burlshift_tools.emulator.random_streams import streams_for
from burlshift_tools.emulator.scenario import ServerPlan
from burlshift_tools.emulator.servers import NOWHERE, Server

from ..addresses import split
from ..history import Fell, Gave, Got, Left, Turned, digest, now_us
from ..scenario import LabScenario
from .part import Book, Plan, main
from .wire import answer_body, cost_of

ENDLESS_S, ENDLESS_MOST = 0.1, 300
SECOND_MOST_S = 0.03  # a second answer comes so late at most
BACKLOG = 512
RESET_S = 0.05  # from the bytes of an answer to its reset
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nmade for none\n"
WHOLE = ("second", "no_length")  # spoilt answers that are whole all the same
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class ServerPart(Plan, kw_only=True):
    """Configuration of a stand-in server."""

    listen: str
    life: int
    cold: bool
    seed: int
    scenario: LabScenario
    plan: ServerPlan
    mean_work: float  # us
    callers: dict[str, str]  # agents by the address that they call from


class Set(msgspec.Struct, tag_field="order", tag="set"):
    """What troubles do to it; a value that is not given stays."""

    taken: float | None = None
    slower: float | None = None
    errors: float | None = None
    silent: bool | None = None
    draining: bool | None = None


class Spoil(msgspec.Struct, tag_field="order", tag="spoil"):
    """Order: corrupt a share of the answers."""

    how: str
    part: float  # of the answers


class Accept(msgspec.Struct, tag_field="order", tag="accept"):
    """Whether new connections are read from. They come up in the kernel all the same."""

    on: bool


class Idle(msgspec.Struct, tag_field="order", tag="idle"):
    """How long a connection may rest; None: as the scenario has it."""

    seconds: float | None


class RealTimeline:
    """The emulator's timeline on the loop's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    @property
    def now(self) -> int:
        return now_us()

    def at(self, time: int, call: Callable[..., None], *args: Any) -> None:
        self._loop.call_later(max(0, time - now_us()) / 1e6, call, *args)


class Work:
    """One attempt: the job that the model serves, and where its answer goes."""

    __slots__ = ("work", "key", "mark", "place", "rid", "attempt", "conn")

    def __init__(self, rid: str, attempt: int, work: float, key: int, conn: Conn) -> None:
        self.rid, self.attempt, self.work, self.key, self.conn = rid, attempt, work, key, conn
        self.mark, self.place = 0.0, NOWHERE

    def served(self, server: Server, error: bool) -> None:
        self.conn.served(self, error)

    def lost(self, server: Server) -> None:
        self.conn.work = None
        self.conn.drop()


class MeterServer:
    """The process: what listens, and the model behind it."""

    def __init__(self, plan: ServerPart, book: Book) -> None:
        self.plan, self.book, self.day = plan, book, plan.scenario
        self.life = plan.life
        self.conns: set[Conn] = set()
        self.counted = self.attempts = 0
        self.idle_s = plan.scenario.connections.idle_s
        self.accepts = True
        self.spoil = Spoil("cut_off", 0.0)
        self._pressure: deque[tuple[str, int, float]] = deque()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        stream = streams_for(f"{self.plan.name} {self.life}", self.plan.seed)
        self.stream = stream("life")
        self.model = Server(
            self.plan.name, self.plan.plan, self.day, RealTimeline(loop), self.stream, self.plan.mean_work
        )
        if self.plan.cold:
            self.model.start()
        host, port = split(self.plan.listen)
        self._listener = await loop.create_server(lambda: Conn(self), host, port, backlog=BACKLOG)

    async def order(self, order: Set | Spoil | Accept | Idle) -> None:
        if isinstance(order, Idle):
            self.idle_s = self.day.connections.idle_s if order.seconds is None else order.seconds
            return
        if isinstance(order, Accept):
            return self._accept(order.on)
        if isinstance(order, Spoil):
            self.spoil = order
            return
        self.model.book()
        for field in msgspec.structs.fields(order):
            value = getattr(order, field.name)
            if value is not None:
                setattr(self.model, field.name, value)
        self.model.change()

    def _accept(self, on: bool) -> None:
        self.accepts = on
        for conn in self.conns:
            if on:
                conn.resume()

    async def stop(self) -> None:
        self.close()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for conn in list(self.conns):
            conn.drop()

    def take(self, work: Work, agent: str) -> bool:
        """Whether the model has taken it; a server that falls over breaks all connections and stays down."""
        now, window = now_us(), int(self.day.rules.fall_ms * 1000)
        self._pressure.append((agent, now, work.work))
        while self._pressure[0][1] <= now - window:
            self._pressure.popleft()
        taken = self.model.take(work, informed=False)
        if self.model.fallen:
            self.book.write(Fell(t=now, who=self.plan.name, life=self.life, pressure=list(self._pressure)))
            self.close()
        return taken

    def load(self) -> bytes:
        fields = self.day.report.fields
        values = zip(fields, self.model.load_report(), strict=True)
        return ",".join(f"{name}={value:.4g}" for name, value in values).encode()


class Conn(Connection):
    """A connection of an agent; one request at a time."""

    def __init__(self, server: MeterServer) -> None:
        super().__init__(h11.SERVER)
        self._server, self._loop = server, asyncio.get_running_loop()
        self.agent, self.number = "", 0
        self.work: Work | None = None
        self._began = 0
        self._request: h11.Request | None = None
        self._fields: Fields = {}
        self._first = True
        self._full = False
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        server = self._server
        server.conns.add(self)
        server.counted += 1
        self.number = server.counted
        self.agent = server.plan.callers.get(transport.get_extra_info("peername")[0], "")
        self._full = server.model.connections >= server.model.max_connections
        server.model.connections += 1
        if not server.accepts:
            self.pause()
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self in self._server.conns:
            self._server.conns.discard(self)
            self._server.model.connections = max(0, self._server.model.connections - 1)
        if self._idle is not None:
            self._idle.cancel()

    def _wait(self) -> None:
        self._idle = self._loop.call_later(self._server.idle_s, self.drop)

    def on_end(self) -> None:
        work, self.work = self.work, None
        if work is not None:
            self._server.model.withdraw(work)
            self._server.book.write(
                Left(t=now_us(), who=self._server.plan.name, rid=work.rid, life=self._server.life)
            )
        if self.transport is not None:
            self.transport.close()

    def on_broken(self, error: Exception) -> None:
        self.drop()

    def data_received(self, data: bytes) -> None:
        if not self._began:
            self._began = now_us()
        super().data_received(data)

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._request, self._fields = event, fields_of(event.headers)
        elif isinstance(event, h11.EndOfMessage):
            if self._idle is not None:
                self._idle.cancel()
            self._handle()

    def _handle(self) -> None:
        assert self._request is not None
        server, model = self._server, self._server.model
        path = self._request.target.decode("latin-1").partition("?")[0]
        if path in ("/ping", "/_load"):
            if not server.day.allow.probes:
                return self._answer(404, [], b"")
            if not model.silent:
                self._answer(200, [], server.load() if path == "/_load" else b"")
            return
        rid = header(self._fields, b"request-id") or ""
        cost = cost_of(rid)
        if cost is None:
            return self._answer(404 if not rid else 400, [], b"no such request\n")
        server.book.write(
            Got(
                t=now_us(),
                who=server.plan.name,
                rid=rid,
                life=server.life,
                agent=self.agent,
                began=self._began,
                conn=self.number,
            )
        )
        if model.silent:
            return
        work_us, key = cost
        if self._first:
            work_us += int(server.day.connections.handshake_us)
        self._first = False
        server.attempts += 1
        work = Work(rid, server.attempts, float(work_us), key, self)
        if not self._full and server.take(work, self.agent):
            self.work = work
        elif not model.fallen:
            server.book.write(Turned(t=now_us(), who=server.plan.name, rid=rid, life=server.life))
            self._answer(503, [(b"Not-Started", b"1")], b"")

    def served(self, work: Work, error: bool) -> None:
        """The model has ended it."""
        self.work = None
        server = self._server
        body = b"failed\n" if error else answer_body(work.rid, server.plan.name, server.life, work.attempt)
        status = 500 if error else 200
        spoilt = not error and server.stream.uniform() < server.spoil.part
        whole = not spoilt or server.spoil.how in WHOLE
        server.book.write(
            Gave(
                t=now_us(),
                who=server.plan.name,
                rid=work.rid,
                life=server.life,
                status=status,
                digest=digest(body),
                whole=whole,
                bytes=len(body),
            )
        )
        if spoilt:
            self._spoil(server.spoil.how, body)
        else:
            self._answer(status, [], body)

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        fields = [*headers, (b"Content-Length", b"%d" % len(body)), (b"Server-Load", self._server.load())]
        self.send(h11.Response(status_code=status, headers=fields), h11.Data(data=body), h11.EndOfMessage())
        self._began = 0
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not self._full:
            self.http.start_next_cycle()
            self._wait()
            if self.http.trailing_data[0]:
                self.defer_input()
        else:
            self.transport.close()

    def _spoil(self, how: str, body: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if how == "second":
            self._answer(200, [], body)
            late_s = SECOND_MOST_S * self._server.stream.uniform()
            self._loop.call_later(late_s, self._write_raw, SECOND)
            return
        self.discards_input = True
        half = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[: len(body) // 2]
        if how == "half_hang":
            return self._write_raw(half)
        if how in ("reset", "half_reset", "no_length_reset"):
            said = {"reset": b"", "half_reset": half, "no_length_reset": NO_LENGTH + body[: len(body) // 2]}
            self._write_raw(said[how])
            self._loop.call_later(RESET_S if said[how] else 0, self._reset)
            return
        if how == "no_length":
            self._write_raw(NO_LENGTH + body)
        elif how == "garbage":
            self.transport.write(b"HTTP/1.1 2OO fine\r\nContent-Length\r\n\r\n" + body)
        elif how == "two_lengths":
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body)
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + body
            )
        elif how == "cut_off":
            self._write_raw(half)
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            return self._endless(0)
        self.transport.close()

    def _write_raw(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _reset(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            sock: socket.socket = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()

    def _endless(self, count: int) -> None:
        if self.transport is None or self.transport.is_closing() or count >= ENDLESS_MOST:
            return self.drop()
        self.transport.write(b"400\r\n" + b"x" * 1024 + b"\r\n")
        self._loop.call_later(ENDLESS_S, self._endless, count + 1)


def unix_ms() -> int:
    return math.floor(time.time() * 1000)


if __name__ == "__main__":
    main(ServerPart, MeterServer, Set | Spoil | Accept | Idle)
