"""A discovery that answers slowly is heard; one that is silent on a connection is called on another."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from burlshift.agent import discovery, overlapping_calls, response_arrival
from burlshift.agent.clock import Clock
from burlshift.agent.discovery import Discovery
from burlshift.agent.listing import Address, Listing, ListingParser
from burlshift.agent.overlapping_calls import CallTimes
from tests.loopback import Message, ScriptedServer, member

MANY_MEMBERS = 400  # a list above the size of one read


@dataclass
class Watch:
    """A watch of one discovery, which the test answers."""

    discovery: Discovery
    server: ScriptedServer
    listings: asyncio.Queue[Listing | None]

    async def revision(self) -> int | None:
        listing = await self.listings.get()
        return None if listing is None else listing.revision


@asynccontextmanager
async def watching(addresses: int = 1) -> AsyncIterator[Watch]:
    """Watch a discovery without knowing a list, so that the first call is for the full list."""
    server = await ScriptedServer().start()
    parser = ListingParser(Clock(), ("a",), ("m",))
    all_addresses = (Address("127.0.0.1", server.port), Address("127.0.0.2", 9))[:addresses]
    watch = Watch(Discovery(all_addresses, parser, None, 0.5, 4_000), server, asyncio.Queue())
    watch.discovery.watch(watch.listings.put_nowait)
    try:
        async with asyncio.timeout(30):  # only a guard against hangs
            yield watch
    finally:
        watch.discovery.stop()
        await server.stop()


def body(revision: int, members: int = 1) -> bytes:
    doc = {
        "revision": revision,
        "complete": True,
        "members": [member(f"s{i}", i + 1) for i in range(members)],
    }
    return json.dumps(doc).encode()


async def two_calls(watch: Watch) -> tuple[Message, Message]:
    first, second = await watch.server.requests.get(), await watch.server.requests.get()
    assert first.start_line == second.start_line == "GET /catalog/members HTTP/1.1"
    assert first.connection is not second.connection
    return first, second


@pytest.fixture(autouse=True)
def second_call_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overlapping_calls, "FIRST_ANSWER_S", 0.0)


@pytest.mark.parametrize("answered", [0, 1])
def test_either_of_two_overlapping_calls_is_heard(answered: int) -> None:
    # Guards against a discovery that is slower than a call may take, was called anew, and never heard.
    async def run() -> None:
        async with watching() as watch:
            calls = await two_calls(watch)
            await calls[answered].answer(200, body(7))
            assert await watch.revision() == 7
            await calls[1 - answered].connection.wait_closed()
            poll = await watch.server.requests.get()
            assert "index=7&" in poll.start_line and poll.connection is calls[answered].connection
            await poll.answer(200, body(8))
            assert await watch.revision() == 8

    asyncio.run(run())


def test_second_call_is_heard_if_the_first_fails() -> None:
    async def run() -> None:
        async with watching() as watch:
            first, second = await two_calls(watch)
            first.connection.reset()
            await second.answer(200, body(7))
            assert await watch.revision() == 7

    asyncio.run(run())


def test_watch_fails_once_if_both_calls_fail() -> None:
    async def run() -> None:
        async with watching() as watch:
            first, second = await two_calls(watch)
            first.connection.reset()
            await second.answer(500, b"")
            assert await watch.revision() is None
            assert watch.listings.empty() and not watch.discovery.timed_out

    asyncio.run(run())


@pytest.mark.parametrize("answered", [0, 1])
def test_watch_that_is_answered_late_is_heard(answered: int, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a discovery whose answers to watches come later than the wait and a second: each watch
    # was given up before its answer, and draining servers kept getting requests.
    monkeypatch.setattr(discovery, "watch_times", lambda _: CallTimes(0.0, 30.0, 30.0))

    async def run() -> None:
        async with watching() as watch:
            first, second = await two_calls(watch)
            await first.answer(200, body(7))
            assert await watch.revision() == 7
            await second.connection.wait_closed()
            polls = [await watch.server.requests.get() for _ in range(2)]
            assert all("index=7&" in poll.start_line for poll in polls)
            assert polls[0].connection is not polls[1].connection
            await polls[answered].answer(200, body(8))
            assert await watch.revision() == 8
            await polls[1 - answered].connection.wait_closed()

    asyncio.run(run())


def test_watch_that_is_never_answered_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "LONG_POLL_MARGIN_S", -3.95)
    monkeypatch.setattr(overlapping_calls, "SLOW_ANSWER_S", 0.05)
    monkeypatch.setattr(overlapping_calls, "FIRST_ANSWER_S", 0.05)

    async def run() -> None:
        async with watching() as watch:
            await (await watch.server.requests.get()).answer(200, body(7))
            assert await watch.revision() == 7
            polls: list[Message] = []
            while len(polls) < 2:
                request = await watch.server.requests.get()
                if "index=7&" in request.start_line:
                    polls.append(request)
            assert await watch.revision() is None and watch.discovery.timed_out
            for poll in polls:
                await poll.connection.wait_closed()

    asyncio.run(run())


def test_silent_discovery_is_left_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overlapping_calls, "SLOW_ANSWER_S", 0.05)

    async def run() -> None:
        async with watching() as watch:
            calls = await two_calls(watch)
            assert await watch.revision() is None and watch.discovery.timed_out
            for call in calls:
                await call.connection.wait_closed()

    asyncio.run(run())


def test_move_ends_both_calls() -> None:
    async def run() -> None:
        async with watching() as watch:
            calls = await two_calls(watch)
            other = await ScriptedServer().start()
            watch.discovery.move((Address("127.0.0.1", other.port),))
            for call in calls:
                await call.connection.wait_closed()
            await (await other.requests.get()).answer(200, body(3))
            assert await watch.revision() == 3
            await other.stop()

    asyncio.run(run())


def test_fetch_hears_a_slow_discovery() -> None:
    async def run() -> None:
        async with watching() as watch:
            await (await watch.server.requests.get()).answer(200, body(7))
            assert await watch.revision() == 7
            while "wait=" not in (await watch.server.requests.get()).start_line:
                pass
            watch.discovery.fetch(watch.listings.put_nowait)
            first, _ = await two_calls(watch)
            await first.answer(200, body(9))
            assert await watch.revision() == 9

    asyncio.run(run())


def test_call_whose_list_still_arrives_is_not_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overlapping_calls, "SLOW_ANSWER_S", 0.2)
    monkeypatch.setattr(response_arrival, "MIN_BYTES_PER_S", 1)

    async def run() -> None:
        async with watching() as watch:
            first, _ = await two_calls(watch)
            answer = body(7, MANY_MEMBERS)
            await first.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer))
            begun, loop = asyncio.get_running_loop().time(), asyncio.get_running_loop()
            pieces = 10
            for start in range(0, len(answer), len(answer) // pieces + 1):
                await first.connection.write(answer[start : start + len(answer) // pieces + 1])
                await asyncio.sleep(0.05)
            assert loop.time() > begun + 0.2  # longer than a silent call may take
            assert await watch.revision() == 7

    asyncio.run(run())


def test_one_of_several_addresses_is_left_after_the_first_time_out() -> None:
    async def run() -> None:
        async with watching(addresses=2) as watch:
            first = await watch.server.requests.get()
            await first.connection.wait_closed()
            while watch.discovery.address.host == "127.0.0.1":
                await asyncio.sleep(0)

    asyncio.run(run())
