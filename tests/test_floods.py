"""Many clients that send much input and leave, or send nothing, use bounded resources and block no other
client."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from burlshift.agent.downstream_connection import PIPELINE_LIMIT_BYTES
from tests.loopback import AgentHarness, StreamConnection, post, running_agent

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE_INPUTS = {
    "a request and much pipelined input": post() + b"x" * (8 * PIPELINE_LIMIT_BYTES),
    "many pipelined requests": post() * 2_000,
    "half a large body": post(body=b"x" * 1_000_000)[:-1],
}


async def assert_served(harness: AgentHarness, client: StreamConnection) -> None:
    await client.write(post(Request_Id="regular"))
    while (received := await harness.request()).headers["request-id"] != "regular":
        pass
    await received.answer(200, b"done")
    assert (await client.read()).body == b"done"


@pytest.mark.parametrize("flood_input", LARGE_INPUTS)
def test_clients_that_send_much_and_leave_free_their_connections(tmp_path: Path, flood_input: str) -> None:
    # Connections whose reading was paused to limit memory did not show that their clients had left. They kept
    # their descriptors until a response came, and well-behaved clients waited in the backlog.
    async def run() -> None:
        async with running_agent(tmp_path, most=64 + 2 * 20) as harness:  # twenty connections of clients
            regular = await harness.client()
            await assert_served(harness, regular)
            for _ in range(3):
                flood = [await harness.raw_client() for _ in range(19)]
                sending = [asyncio.create_task(c.send(LARGE_INPUTS[flood_input])) for c in flood]
                while len(harness.server.connections) < 20:
                    await asyncio.sleep(0)
                await asyncio.wait(sending, timeout=0.05)
                assert all(
                    len(c.http.trailing_data[0]) <= PIPELINE_LIMIT_BYTES + len(post())
                    for c in harness.server.connections
                )
                for task, client in zip(sending, flood, strict=True):
                    task.cancel()
                    client.reset()
                while len(harness.server.connections) > 1:
                    await asyncio.sleep(0)
                assert not harness.agent._pending
            await assert_served(harness, regular)

    asyncio.run(run())


def test_client_over_the_pipeline_limit_gets_its_complete_response_only(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            sending = asyncio.create_task(client.send(post() + post() * 4_000))
            received = await harness.request()
            (connection,) = harness.server.connections
            while not connection._pipeline_overflowed:
                await asyncio.sleep(0)
            await received.answer(200, b"whole")
            answer = await client.read_to_end()  # without a reset, although much input is unread
            assert answer.endswith(b"whole") and b"Connection: close" in answer
            sending.cancel()
            client.close()
            while harness.server.connections:
                await asyncio.sleep(0)
            assert harness.no_request_sent() and harness.agent._request_count == 1

    asyncio.run(run())


def test_longest_idle_connection_is_evicted_and_new_ones_are_not(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, most=64 + 2 * 3) as harness:  # three connections of clients
            idle = []
            for _ in range(2):
                idle.append(await harness.send_request(HEALTH))
                assert (await idle[-1].read()).status == 200
            first, second = idle
            await assert_served(harness, first)  # the second is then the one that is idle longest
            new = await harness.client()
            # An eviction without a waiting client closed the second one here.
            while len(harness.server.connections) < 3:
                await asyncio.sleep(0)
            newest = await harness.client()
            await assert_served(harness, newest)
            await second.wait_closed()
            await assert_served(harness, first)
            await assert_served(harness, new)

    asyncio.run(run())


def test_silent_connections_do_not_block_others(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # No client was accepted until the first silent connection expired, and then the next silent one was.
    monkeypatch.setattr("burlshift.agent.server.EXTRA_CONNECTIONS", 0)
    monkeypatch.setattr("burlshift.agent.downstream_connection.FIRST_REQUEST_S", 0.01)
    monkeypatch.setattr("burlshift.agent.request_deadline.HEAD_TIMEOUT_S", 3600.0)

    async def run() -> None:
        async with running_agent(tmp_path, most=64 + 2 * 4) as harness:
            for _ in range(40):
                await harness.client()
            regular = await harness.client()
            await assert_served(harness, regular)

    asyncio.run(run())


def test_clients_beyond_the_limit_cause_no_busy_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("burlshift.agent.server.EXTRA_CONNECTIONS", 0)
    monkeypatch.setattr("burlshift.agent.client_admission.BACKLOG_WAIT_S", 3600.0)

    async def run() -> None:
        async with running_agent(tmp_path, most=64 + 2 * 2) as harness:
            busy = [await harness.send_request(post()) for _ in range(2)]
            received = [await harness.request() for _ in busy]
            waiting = await harness.send_request(post(Request_Id="regular"))
            accepts, accept = 0, harness.server._accept

            def counted(limit: int = 1) -> None:
                nonlocal accepts
                accepts += 1
                accept(limit)

            monkeypatch.setattr(harness.server, "_accept", counted)
            while harness.server._accepting:
                await asyncio.sleep(0)
            for _ in range(2_000):  # turns of the loop, none of which may try to accept
                await asyncio.sleep(0)
            assert accepts <= 2 and len(harness.server.connections) == 2
            for message in received:
                await message.answer()
            await (await harness.request()).answer()
            assert (await waiting.read()).status == 200

    asyncio.run(run())
