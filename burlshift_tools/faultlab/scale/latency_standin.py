"""A stand-in server that answers at once, at many addresses of one process, and calls on where it is told to.

`python -m burlshift_tools.faultlab.scale.latency_standin`: its plan is the first line of standard input; it
ends with that. The target of a request says how much deeper the call goes, and by which way:
`/api?obj=1&deeper=4&by=agent`.
"""

from __future__ import annotations

import asyncio
import os
import re
import sys
from collections.abc import Callable
from functools import partial

import msgspec

DEEPER = re.compile(rb"[?&]deeper=(\d+)&by=([a-z]+)")
RID = re.compile(rb"\r\nrequest-id: *([^-\r]+)", re.IGNORECASE)
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
BACKLOG = 256
Place = tuple[str, int]


class StandInPlan(msgspec.Struct, kw_only=True):
    """Configuration of the stand-in servers."""

    levels: list[list[Place]]  # by depth, from the first that is called: where it listens
    agents: list[Place]  # by depth: the agent through which that depth is called; empty where none calls on
    report: list[str]  # fields of a load report; empty: none is sent
    request: str  # a request onward, with {target} and {rid}


class Count(msgspec.Struct, tag_field="order", tag="count"):
    """Tell what has come so far."""


class Counted(msgspec.Struct):
    """Of the requests whose ids begin alike."""

    requests: int = 0
    connections: int = 0  # whose first request was one of them


def whole_message(data: bytearray) -> tuple[bytes, int] | None:
    """Head and length of the first message, if all of it is there."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = bytes(data[:end])
    told = LENGTH.search(head)
    size = end + 4 + (int(told[1]) if told else 0)
    return (head, size) if len(data) >= size else None


class Onward(asyncio.Protocol):
    """A kept connection to the next depth; one call at a time."""

    def __init__(self) -> None:
        self._got = bytearray()
        self.done: Callable[[bool], None] | None = None
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._got += data
        message = whole_message(self._got)
        if message is not None:
            del self._got[: message[1]]
            self._end(message[0].startswith(b"HTTP/1.1 200"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._end(False)

    def _end(self, well: bool) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(well)


class Level:
    """All servers of one depth."""

    def __init__(self, standin: StandIn, depth: int) -> None:
        self.standin, self.depth = standin, depth
        self._spare: dict[Place, list[Onward]] = {}
        self._turn = 0

    def onward(self, by: bytes) -> Place:
        plan = self.standin.plan
        if by == b"agent":
            return plan.agents[self.depth + 1]
        self._turn += 1
        places = plan.levels[self.depth + 1]
        return places[self._turn % len(places)]

    async def call(self, deeper: int, by: bytes, rid: str, answer: Callable[[bool], None]) -> None:
        place = self.onward(by)
        spare = self._spare.setdefault(place, [])
        loop = asyncio.get_running_loop()
        conn = next((c for c in iter(lambda: spare.pop() if spare else None, None) if not c.closed), None)
        if conn is None:
            try:
                _, conn = await loop.create_connection(Onward, *place)
            except OSError:
                return answer(False)
        used = conn

        def done(well: bool) -> None:
            if not used.closed:
                spare.append(used)
            answer(well)

        conn.done = done
        target = f"/api?obj=1&deeper={deeper}&by={by.decode()}"
        conn.transport.write(self.standin.plan.request.format(target=target, rid=rid).encode())


class Served(asyncio.Protocol):
    """A connection of a caller; one request at a time."""

    def __init__(self, level: Level) -> None:
        self._level, self._standin = level, level.standin
        self._got = bytearray()
        self._fresh = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._got += data
        message = whole_message(self._got)
        if message is None:
            return
        head, size = message
        del self._got[:size]
        standin = self._standin
        standin.count(head, self._fresh)
        self._fresh = False
        standin.inflight += 1
        told = DEEPER.search(head)
        deeper = int(told[1]) if told else 0
        if told is None or not deeper:
            return self._answer(True)
        standin.onward += 1
        rid = f"{self._level.depth}-{standin.onward}"
        call = self._level.call(deeper - 1, told[2], rid, self._answer)
        task = asyncio.get_running_loop().create_task(call)
        standin.tasks.add(task)
        task.add_done_callback(standin.tasks.discard)

    def _answer(self, well: bool) -> None:
        standin = self._standin
        load = standin.load()
        standin.inflight -= 1
        status = "200 OK" if well else "500 Failed"
        head = f"HTTP/1.1 {status}\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n{load}\r\n"
        self._transport.write(head.encode() + b"done\n")


class StandIn:
    """All that listens."""

    def __init__(self, plan: StandInPlan) -> None:
        self.plan, self.inflight, self.onward = plan, 0, 0
        self.counted: dict[str, Counted] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def count(self, head: bytes, fresh: bool) -> None:
        rid = RID.search(head)
        of = self.counted.setdefault(rid[1].decode("latin-1") if rid else "", Counted())
        of.requests += 1
        of.connections += fresh

    def load(self) -> str:
        if not self.plan.report:
            return ""
        held = {"inflight": self.inflight}
        return "Server-Load: " + ",".join(f"{f}={held.get(f, 0)}" for f in self.plan.report) + "\r\n"

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        for depth, places in enumerate(self.plan.levels):
            level = Level(self, depth)
            for host, port in places:
                await loop.create_server(partial(Served, level), host, port, backlog=BACKLOG)
        say(msgspec.json.encode({"ready": os.getpid()}))
        decoder = msgspec.json.Decoder(Count)
        while line := await reader.readline():
            decoder.decode(line)
            say(msgspec.json.encode(self.counted))


def say(line: bytes) -> None:
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=StandInPlan)
    try:
        asyncio.run(StandIn(plan).serve())
    except OSError as e:
        say(msgspec.json.encode({"error": f"cannot listen: {e.strerror or e}"}))
        sys.exit(1)


if __name__ == "__main__":
    main()
