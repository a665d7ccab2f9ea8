"""The timeout that an attempt sends to its backend is at most the time that the client has
left when the attempt is sent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from burlshift.agent import exchange as exchange_module
from burlshift.agent.clock import Clock
from burlshift.agent.connection import Connection
from burlshift.agent.connection_pool import UpstreamConnectionPool
from tests.loopback import KEYED, UNSAFE, AgentHarness, Message, hold_connects, post, running_agent

MS, SECOND = 1_000, 1_000_000
PATIENCE_MS = 30_000
SMALL, LARGE = b"job", b"x" * 1_000_000


class SteppedClock(Clock):
    """The monotonic clock plus simulated delays of the process."""

    simulated_delay_us = 0

    def now(self) -> int:
        return super().now() + self.simulated_delay_us


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> type[SteppedClock]:
    monkeypatch.setattr(SteppedClock, "simulated_delay_us", 0)
    monkeypatch.setattr("tests.loopback.Clock", SteppedClock)
    return SteppedClock


def timeout_sent_ms(received: Message) -> int:
    return int(received.headers["request-timeout-ms"])


async def wait_until_connected(harness: AgentHarness, before: int = 0) -> None:
    """Wait until a connection to a backend is up in the kernel, with the agent's connect still pending."""
    while sum(b.connections for b in harness.backends) <= before:
        await asyncio.sleep(0)


@pytest.mark.parametrize("body", [SMALL, LARGE])
def test_timeout_sent_excludes_the_wait_for_a_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, clock: type[SteppedClock], body: bytes
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            connects_allowed = hold_connects(monkeypatch)
            client.writer.write(post(body=body))  # its last byte may be unread in the kernel
            await wait_until_connected(harness)
            clock.simulated_delay_us = SECOND
            connects_allowed.set()
            assert timeout_sent_ms(await harness.request()) <= PATIENCE_MS - 1000

    asyncio.run(run())


def test_timeout_sent_excludes_a_delay_between_decision_and_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, clock: type[SteppedClock]
) -> None:
    original = UpstreamConnectionPool.exchange

    def exchange(self: UpstreamConnectionPool, *args: Any) -> Any:
        clock.simulated_delay_us += 150 * MS
        return original(self, *args)

    monkeypatch.setattr(UpstreamConnectionPool, "exchange", exchange)

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            await harness.send_request(post())
            assert timeout_sent_ms(await harness.request()) <= PATIENCE_MS - 150

    asyncio.run(run())


def test_timeout_sent_with_a_retry_excludes_the_first_attempt(
    tmp_path: Path, clock: type[SteppedClock]
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=2) as harness:
            await harness.send_request(post(KEYED))
            first = await harness.request()
            clock.simulated_delay_us = SECOND
            first.connection.reset()
            assert timeout_sent_ms(await harness.request()) <= PATIENCE_MS - 1000

    asyncio.run(run())


@pytest.mark.parametrize("left_us", [999, 0, -SECOND])
@pytest.mark.parametrize("cls", [KEYED, UNSAFE])
def test_no_time_left_sends_no_attempt_and_answers_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, clock: type[SteppedClock], cls: str, left_us: int
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            connects_allowed = hold_connects(monkeypatch)
            await client.write(post(cls))
            await wait_until_connected(harness)
            clock.simulated_delay_us = PATIENCE_MS * MS - left_us
            connects_allowed.set()
            answer, sent = asyncio.create_task(client.read()), asyncio.create_task(harness.request())
            await asyncio.wait([answer, sent], return_when=asyncio.FIRST_COMPLETED)
            assert not sent.done() and sent.cancel()
            assert answer.result().status == 503
            assert not harness.agent._pending and not harness.agent._open_exchanges

    asyncio.run(run())


def test_timeout_of_a_pipelined_request_counts_from_its_arrival(
    tmp_path: Path, clock: type[SteppedClock]
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            await harness.send_request(post() + post(Request_Id="ahead"))
            first = await harness.request()
            clock.simulated_delay_us = SECOND
            await first.answer()
            assert timeout_sent_ms(await harness.request()) <= PATIENCE_MS - 1000

    asyncio.run(run())


class _UnreadingBackend:
    """A backend whose kernel accepts connections, and which reads nothing."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.port = int(self.listener.getsockname()[1])


def test_body_that_a_backend_does_not_read_fails_within_the_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The client may have written the whole body while the agent's reading is paused, so the timeout runs.
    monkeypatch.setattr(exchange_module, "STALL_TIMEOUT_S", 3600.0)

    async def run() -> None:
        unreading = _UnreadingBackend()
        async with running_agent(tmp_path) as harness:
            await redirect_backend(harness, unreading.port)
            client = await harness.client()
            client.writer.write(post(UNSAFE, body=b"x" * 16_000_000, timeout_ms="100"))
            assert (await client.read()).status >= 500
            assert not harness.agent._pending and not harness.agent._open_exchanges
        unreading.listener.close()

    asyncio.run(asyncio.wait_for(run(), 20))


async def redirect_backend(harness: AgentHarness, port: int) -> None:
    """Change the backend's address to this port."""
    from dataclasses import replace

    members: dict[Any, Any] = harness.agent._connection_pool._members
    for name, member in members.items():
        members[name] = replace(member, address=replace(member.address, port=port))


def test_timeout_of_an_unread_body_counts_from_the_pause_in_reading(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, clock: type[SteppedClock]
) -> None:
    timers: list[float] = []

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            connects_allowed = hold_connects(monkeypatch)
            client.writer.write(post(body=LARGE))
            await wait_until_connected(harness)
            original = exchange_module.Exchange.end_body

            def end_body(self: exchange_module.Exchange) -> None:
                original(self)
                timers.append(self._timer.when() - asyncio.get_running_loop().time())

            monkeypatch.setattr(exchange_module.Exchange, "end_body", end_body)
            clock.simulated_delay_us = SECOND
            connects_allowed.set()
            await harness.request()
            assert len(timers) == 1 and timers[0] <= PATIENCE_MS / 1000 - 1

    asyncio.run(run())


def test_request_behind_a_large_one_has_its_own_sent_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # No read shows that all waiting input was read.
    every_read = property(lambda _connection: True, lambda _connection, _filled: None)
    monkeypatch.setattr(Connection, "read_filled_buffer", every_read, raising=False)

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post(body=LARGE))
            await (await harness.request()).answer()
            assert (await client.read()).status == 200
            (connection,) = harness.server.connections
            before = connection.sent_us
            await client.write(post())
            await harness.request()
            assert connection.sent_us > before

    asyncio.run(run())


@pytest.mark.usefixtures("clock")
def test_timeout_of_a_slow_client_counts_from_its_last_byte(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client, request = await harness.client(), post(body=LARGE)
            await client.write(request[:-1])
            pending: Callable[[], Any] = lambda: next(iter(harness.agent._pending.values()))  # noqa: E731
            while (
                not harness.agent._pending or pending().call.body.complete or not pending().call.body.consumed
            ):
                await asyncio.sleep(0)
            (exchange,) = harness.agent._open_exchanges.values()
            # The body took longer to arrive than the timeout of the response.
            exchange._started_us -= 2 * PATIENCE_MS * MS
            await client.write(request[-1:])
            received = await harness.request()
            assert PATIENCE_MS / 2 < pending().call.left_us(Clock().now()) / MS <= PATIENCE_MS
            await received.answer()
            assert (await client.read()).status == 200

    asyncio.run(run())
