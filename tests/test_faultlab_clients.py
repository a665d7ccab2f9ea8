"""The rig's clients: what they note of an agent that says too much, and how they leave."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from burlshift_tools.faultlab import faults_schema as faults
from burlshift_tools.faultlab import history as h
from burlshift_tools.faultlab.parts.clients import Arrival, Begin, ClientsPart, Habit, Load, Settle
from burlshift_tools.faultlab.scenario import load

ONE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Book:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def write(self, event: Any) -> None:
        self.events.append(event)

    def of(self, kind: type[Any]) -> list[Any]:
        return [e for e in self.events if isinstance(e, kind)]


class Agent:
    """Answers each request with what it is given, in a write for each, and keeps how connections end."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces = pieces
        self.ends: asyncio.Queue[str] = asyncio.Queue()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = head.partition("content-length: ")[2].partition("\r")[0]
                await reader.readexactly(int(length or 0))
                for piece in self.pieces:
                    writer.write(piece)
                    await asyncio.sleep(0)
        except asyncio.IncompleteReadError:
            self.ends.put_nowait("fin")
        except ConnectionError:
            self.ends.put_nowait("reset")
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def clients(agent: Agent, book: Book, count: int = 3) -> AsyncIterator[Load]:
    scenario = load("steady").low
    arrivals = [Arrival(1000 * n, 0, 1, 500) for n in range(count)]
    plan = ClientsPart(
        name="c0",
        history="",
        agent="a0",
        address=f"127.0.0.1:{await agent.start()}",
        classes=list(scenario.cls),
        clients=scenario.clients,
        arrivals=arrivals,
        max_retry_after_ms=0.0,
        front=False,
        seed=1,
    )
    made = Load(plan, book)
    await made.start()
    async with asyncio.timeout(30):  # a hang fails the test; nothing is timed by this
        yield made
    await made.stop()
    agent.server.close()


async def play(made: Load, book: Book, count: int = 3) -> None:
    await made.order(Begin(h.now_us()))
    while len(book.of(h.Asked)) < count:
        await asyncio.sleep(0)
    await made.order(Settle())


@pytest.mark.parametrize(("pieces", "surplus"), [((ONE,), False), ((ONE + ONE,), True)])
def test_more_than_one_answer_is_noted(pieces: tuple[bytes, ...], surplus: bool) -> None:
    async def run() -> None:
        book = Book()
        async with clients(Agent(*pieces), book) as made:
            await play(made, book)
            assert len(book.of(h.Answered)) == 3
            assert bool(book.of(h.Surplus)) is surplus

    asyncio.run(run())


def test_an_answer_that_comes_while_the_connection_rests_is_noted() -> None:
    async def run() -> None:
        book = Book()
        async with clients(Agent(ONE, ONE), book, count=1) as made:
            await play(made, book, count=1)
            rested = list(made._spare)
            while not (book.of(h.Surplus) or any(conn.surplus for conn in rested)):
                await asyncio.sleep(0)
            await made._connection()
            (noted,) = book.of(h.Surplus)
            assert noted.rid == book.of(h.Answered)[0].rid

    asyncio.run(run())


@pytest.mark.parametrize(("how", "end"), [("close", "fin"), ("half_close", "fin"), ("reset", "reset")])
def test_clients_leave_as_they_are_told(how: Any, end: str) -> None:
    async def run() -> None:
        book, agent = Book(), Agent()
        async with clients(agent, book, count=1) as made:
            await made.order(
                Habit(0, faults.Restless(at_s=0.0, part=1.0, how=how, when="waiting", within_ms=1.0))
            )
            await play(made, book, count=1)
            (left,) = book.of(h.Departed)
            assert left.how == how and not book.of(h.Answered)
            assert await agent.ends.get() == end

    asyncio.run(run())
