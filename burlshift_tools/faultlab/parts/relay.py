"""Stands on every path of one agent over TCP, and does what it is told to what passes there."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import struct
from collections import deque
from typing import Any

import msgspec

from ..addresses import split
from ..faults_schema import Link
from ..history import Reached, Sent, Unreached, now_us
from .part import Plan, Writes, main

BACKLOG = 512
AHEAD_BYTES = 256 * 1024  # read from one side and not yet written to the other; then reading pauses
RETRANSMIT_S = 0.2  # RFC 6298 with the minimum that systems use: what a lost piece comes later by
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
ATTEMPT = re.compile(rb"request-id: ([^\r\n]+)", re.IGNORECASE)
TOLD = re.compile(rb"request-timeout-ms: (\d+)", re.IGNORECASE)
PIECE_BYTES = 1460  # at least this much passes at once where bytes a second are limited


class Route(msgspec.Struct, kw_only=True):
    """One path of the agent: who connects `at` is led on `to`, from `source`."""

    path: str  # clients, servers, discovery
    server: str = ""
    at: str
    to: str
    source: str


class RelayPart(Plan, kw_only=True):
    """Configuration of a relay."""

    routes: list[Route]
    seed: int
    agent: str = ""


class Shape(msgspec.Struct, tag_field="order", tag="shape"):
    """A fault of the scenario begins at these servers' routes, or at all of the path."""

    number: int
    link: Link
    servers: list[str]


class Clear(msgspec.Struct, tag_field="order", tag="clear"):
    """Order: end a fault."""

    number: int


class Break(msgspec.Struct, tag_field="order", tag="break"):
    """Reset open connections now, or each before or after the next piece that goes as requests do, until the
    fault of this number is cleared; or let go of the far side only (`half`)."""

    number: int
    path: str
    servers: list[str]
    when: str  # now, before, after, half


class Up(msgspec.Struct, tag_field="order", tag="up"):
    """Whether somebody listens at the end of these routes; where nobody does, connections are refused."""

    path: str
    servers: list[str]
    up: bool


LONG_CONNECT_US = 20_000  # to the agent, whose machine has not accepted at once


class Relay:
    """All routes of one agent."""

    def __init__(self, plan: RelayPart, book: Writes) -> None:
        self.plan, self.book, self.random = plan, book, random.Random(plan.seed)
        self.doors = [Door(route, self) for route in plan.routes]

    async def start(self) -> None:
        for door in self.doors:
            door.open()

    async def order(self, order: Shape | Clear | Break | Up) -> None:
        for door in self.doors:
            if isinstance(order, Clear):
                door.clear(order.number)
                continue
            path = order.link.path if isinstance(order, Shape) else order.path
            if door.route.path != path or (order.servers and door.route.server not in order.servers):
                continue
            if isinstance(order, Shape):
                door.shape(order.number, order.link)
            elif isinstance(order, Break):
                door.break_(order.number, order.when)
            elif order.up:
                door.open()
            else:
                door.refuse()

    async def stop(self) -> None:
        for door in self.doors:
            door.close()


class Door:
    """Where one route is entered, with the faults in force on it."""

    def __init__(self, route: Route, relay: Relay) -> None:
        self.route, self.relay = route, relay
        self.links: dict[int, Link] = {}
        self.breaks: dict[int, str] = {}
        self.pairs: set[Pair] = set()
        self.blocked = False
        self._listener: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        if self._listener is not None:
            return
        self._loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(split(self.route.at))
        listener.listen(BACKLOG)
        self._listener = listener
        self._loop.add_reader(listener, self._accept)
        if self.blocked:
            self._block()

    def refuse(self) -> None:
        if self._listener is not None:
            self._loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None
            self._let_fillers_go()

    def close(self) -> None:
        self.refuse()
        for pair in list(self.pairs):
            pair.abort()

    def shape(self, number: int, link: Link) -> None:
        self.links[number] = link
        self._changed()

    def clear(self, number: int) -> None:
        self.links.pop(number, None)
        self.breaks.pop(number, None)
        self._changed()
        for pair in list(self.pairs):
            if pair.half == number:
                pair.abort()

    def break_(self, number: int, when: str) -> None:
        if when in ("before", "after"):
            self.breaks[number] = when
            return
        for pair in list(self.pairs):
            if when == "half":
                pair.let_go(number)
            else:
                pair.abort()

    def _changed(self) -> None:
        cut = any(link.cut for link in self.links.values())
        if cut and not self.blocked:
            self._block()
        elif not cut and self.blocked:
            self._unblock()
        for pair in self.pairs:
            pair.changed()

    def _block(self) -> None:
        """New connections never come up: with a full queue the kernel drops what asks for one."""
        self.blocked = True
        if self._listener is None:
            return
        self._accept()
        self._loop.remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(split(self.route.at))
            self._fillers.append(filler)

    def _unblock(self) -> None:
        self.blocked = False
        self._let_fillers_go()
        if self._listener is not None:
            self._listener.listen(BACKLOG)
            self._loop.add_reader(self._listener, self._accept)

    def _let_fillers_go(self) -> None:
        for filler in self._fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            task = self._loop.create_task(self._lead_on(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _lead_on(self, sock: socket.socket) -> None:
        """One connection on either side; what refuses there is a reset here."""
        far = socket.socket()
        far.setblocking(False)
        try:
            far.bind((self.route.source, 0))
            began = now_us()
            await self._loop.sock_connect(far, split(self.route.to))
            if now_us() - began > LONG_CONNECT_US:
                self._note_connection(sock, Reached)
            pair = Pair(self)
            await self._loop.create_connection(lambda: pair.far, sock=far)
            await self._loop.create_connection(lambda: pair.near, sock=sock)
        except OSError:
            far.close()
            self._note_connection(sock, Unreached)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()

    def _note_connection(self, sock: socket.socket, event: type[Reached | Unreached]) -> None:
        relay = self.relay
        if self.route.path == "clients":
            with contextlib.suppress(OSError):  # it may have gone by itself
                relay.book.write(
                    event(
                        t=now_us(),
                        who=relay.plan.name,
                        agent=relay.plan.agent,
                        port=int(sock.getpeername()[1]),
                    )
                )

    def note_attempt(self, data: bytes) -> None:
        """An attempt begins where its head is in this piece: an agent writes a head in one."""
        relay, request = self.relay, ATTEMPT.search(data)
        if request is not None and self.route.path == "servers":
            told = TOLD.search(data)
            relay.book.write(
                Sent(
                    t=now_us(),
                    who=relay.plan.name,
                    rid=request[1].decode("latin-1"),
                    agent=relay.plan.agent,
                    server=self.route.server,
                    timeout_ms=int(told[1]) if told is not None else 0,
                )
            )


class Pair:
    """The two connections that are one for those at their ends."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.near, self.far = End(self, near=True), End(self, near=False)
        self.near.other, self.far.other = self.far, self.near
        self.half = -1  # the fault for which the far side was let go
        door.pairs.add(self)

    def changed(self) -> None:
        self.near.pump()
        self.far.pump()

    def let_go(self, number: int) -> None:
        self.half = number
        self.far.reset()

    def abort(self) -> None:
        self.near.reset()
        self.far.reset()
        self.door.pairs.discard(self)


class End(asyncio.Protocol):
    """One side: what it reads goes to the other side, as the faults in force have it."""

    other: End

    def __init__(self, pair: Pair, near: bool) -> None:
        self._pair, self._near = pair, near
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._queue: deque[tuple[float, bytes]] = deque()  # when due, what; b"" is the end of sending
        self._held = 0
        self._paused = False
        self._free_at = 0.0  # when the next piece may pass, where bytes a second are limited
        self._timer: asyncio.TimerHandle | None = None
        self._ended = False  # it sends no more
        self._lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock: Any = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.other.pump()

    def _faults(self) -> list[Link]:
        mine = "to" if self._near else "from"
        return [link for link in self._pair.door.links.values() if link.direction in ("both", mine)]

    def data_received(self, data: bytes) -> None:
        pair = self._pair
        if self._near:
            pair.door.note_attempt(data)
        if pair.half >= 0:
            return  # it goes nowhere, and nobody says so
        breaks = set(pair.door.breaks.values()) if self._near else set()
        if "before" in breaks:
            return pair.abort()
        if "after" in breaks:
            self._send(data)
            self._loop.call_soon(pair.abort)
            return
        now, chance = self._loop.time(), pair.door.relay.random
        due = now
        for link in self._faults():
            due += link.delay_ms / 1000
            if link.spread_ms:
                due += chance.expovariate(1000 / link.spread_ms)
            late = RETRANSMIT_S
            while link.loss and chance.random() < link.loss and late < 30:
                due, late = due + late, 2 * late  # each loss doubles the wait (RFC 6298, 5.5)
            if link.corrupt and chance.random() < link.corrupt:
                at = chance.randrange(len(data))
                data = data[:at] + bytes([data[at] ^ (1 << chance.randrange(8))]) + data[at + 1 :]
        if self._queue:
            due = max(due, self._queue[-1][0])  # TCP keeps the order
        self._held += len(data)
        self._queue.append((due, data))
        if self._held > AHEAD_BYTES and self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self.pump()

    def eof_received(self) -> bool:
        self._ended = True
        if self._pair.half < 0:
            self._queue.append((self._queue[-1][0] if self._queue else self._loop.time(), b""))
            self.pump()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        if exc is not None and self._pair.half < 0 and not any(link.cut for link in self._faults()):
            self._pair.abort()
        elif self._pair.half < 0 and not any(f.cut for f in self._faults()) and not self._queue:
            self.other.close()
        if self.other._lost:
            self._pair.door.pairs.discard(self._pair)

    def pump(self) -> None:
        """Pass on what is due; come again when the next piece is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        faults = self._faults()
        if any(link.cut for link in faults) or self.other._transport is None:
            return
        rate = min((link.bytes_per_s for link in faults if link.bytes_per_s), default=0.0)
        now = self._loop.time()
        while self._queue:
            due, data = self._queue[0]
            due = max(due, self._free_at)
            if due > now:
                self._timer = self._loop.call_at(due, self.pump)
                return
            self._queue.popleft()
            if not data:
                self._half_close()
                continue
            piece = data[: max(PIECE_BYTES, int(rate / 20))] if rate else data
            if len(piece) < len(data):
                self._queue.appendleft((due, data[len(piece) :]))
            if rate:
                self._free_at = max(now, self._free_at) + len(piece) / rate
            self._held -= len(piece)
            self._send(piece)
        if self._paused and self._held <= AHEAD_BYTES // 2 and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        if self._lost and self._pair.half < 0:
            self.other.close()

    def _send(self, data: bytes) -> None:
        to = self.other._transport
        if to is not None and not to.is_closing():
            to.write(data)

    def _half_close(self) -> None:
        to = self.other._transport
        if to is not None and not to.is_closing():
            with contextlib.suppress(OSError):  # it may have been reset already
                to.write_eof()
        if self.other._ended and not self.other._queue:
            self.close()
            self.other.close()

    def pause_writing(self) -> None:
        if self.other._transport is not None:
            self.other._transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other._transport is not None and not self.other._paused:
            self.other._transport.resume_reading()

    def close(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    def reset(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None and not self._transport.is_closing():
            sock: Any = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self._transport.abort()


if __name__ == "__main__":
    main(RelayPart, Relay, Shape | Clear | Break | Up)
