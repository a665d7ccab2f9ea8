"""Clients that send many requests at once, which the agent answers itself, take a bounded part of it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from burlshift.agent.connection import READ_BYTES
from burlshift.agent.downstream_connection import PIPELINE_LIMIT_BYTES, DownstreamConnection
from burlshift.agent.input_backlog import TURNS_PER_ITERATION
from tests.loopback import AgentHarness, RawClient, post, running_agent

HEAD = "HTTP/1.1\r\nHost: a\r\n"
FLOODS = {
    "another path": f"GET / {HEAD}\r\n".encode(),
    "health check": f"GET /_health {HEAD}\r\n".encode(),
    "no class": f"GET /api {HEAD}\r\n".encode(),
}
FLOOD_BYTES = 2_000_000
SOCKET_BUFFER_BYTES = 4096
CLIENTS = 3 * TURNS_PER_ITERATION


def count_requests(monkeypatch: pytest.MonkeyPatch) -> Callable[[], int]:
    """Returns a function that gives the number of requests completed since its last call."""
    completed, complete = 0, DownstreamConnection._complete_request

    def counted(connection: DownstreamConnection) -> None:
        nonlocal completed
        completed += 1
        complete(connection)

    def taken() -> int:
        nonlocal completed
        count, completed = completed, 0
        return count

    monkeypatch.setattr(DownstreamConnection, "_complete_request", counted)
    return taken


async def drain_responses(client: RawClient) -> None:
    """Read and drop what the agent answers."""
    while await asyncio.get_running_loop().sock_recv(client.socket, 65536):
        pass


def buffered_bytes(harness: AgentHarness) -> list[int]:
    return [len(connection.http.trailing_data[0]) for connection in harness.server.connections]


def unwritten_bytes(harness: AgentHarness) -> list[int]:
    return [
        connection.transport.get_write_buffer_size()
        for connection in harness.server.connections
        if connection.transport is not None
    ]


@pytest.mark.parametrize("kind", FLOODS)
def test_pipelined_requests_of_many_clients_get_bounded_turns_and_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    # Guards against bad clients whose input grew without a limit, and was copied for each of their requests.
    async def run() -> None:
        requests_completed = count_requests(monkeypatch)
        async with running_agent(tmp_path) as harness:
            clients = [await harness.raw_client() for _ in range(CLIENTS)]
            flood = FLOODS[kind] * (FLOOD_BYTES // len(FLOODS[kind]))
            sending = [asyncio.create_task(client.send(flood)) for client in clients]
            reading = [asyncio.create_task(drain_responses(client)) for client in clients]
            while len(buffered_bytes(harness)) < CLIENTS or min(buffered_bytes(harness)) < READ_BYTES // 2:
                await asyncio.sleep(0)
            application = await harness.send_request(post())
            serving = asyncio.create_task(harness.request())
            requests_completed()
            while not serving.done():
                await asyncio.sleep(0)
                assert requests_completed() <= TURNS_PER_ITERATION + 1  # and the application's
                assert max(buffered_bytes(harness)) <= PIPELINE_LIMIT_BYTES + READ_BYTES
            await serving.result().answer()
            assert (await application.read()).status == 200
            for task in (*sending, *reading):
                task.cancel()
            for client in clients:
                client.reset()

    asyncio.run(run())


def test_client_that_reads_no_responses_gets_no_more_of_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against responses that pile up in the agent's memory for a client that only sends.
    async def run() -> None:
        requests_completed = count_requests(monkeypatch)
        async with running_agent(tmp_path) as harness:
            assert harness.server.listener is not None
            harness.server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            client = RawClient()
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
            await client.connect(harness.port)
            request = FLOODS["another path"]
            sending = asyncio.create_task(client.send(request * (FLOOD_BYTES // len(request))))
            while not any(unwritten_bytes(harness)):
                await asyncio.sleep(0)
            for _ in range(1_000):
                await asyncio.sleep(0)
                assert max(unwritten_bytes(harness)) < 1_000
            requests_completed()
            reading = asyncio.create_task(drain_responses(client))
            while not requests_completed():  # it reads again, and so its requests are processed again
                await asyncio.sleep(0)
            for task in (sending, reading):
                task.cancel()
            client.reset()

    asyncio.run(run())


def test_requests_in_the_backlog_are_answered_in_order(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            await client.write(FLOODS["another path"] * 20 + post() + FLOODS["health check"] * 20)
            assert [(await client.read()).status for _ in range(20)] == [404] * 20
            await (await harness.request()).answer(200, b"done")
            assert (await client.read()).body == b"done"
            assert [(await client.read()).status for _ in range(20)] == [200] * 20

    asyncio.run(run())
