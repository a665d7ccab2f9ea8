"""What is held for all peers together is bounded, and freed as soon as it is not needed."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from burlshift.agent.connection import READ_BYTES, SMALL_READ_BYTES
from burlshift.agent.memory_budget import MIB_BYTES, STREAMING_SHARE, MemoryBudget
from tests.loopback import AgentHarness, Message, RawClient, StreamConnection, post, running_agent

BODY_BYTES = 60_000
LIMIT_BYTES = 5 * BODY_BYTES
SOCKET_BUFFER_BYTES = 4096


def limited_budget(limit_bytes: int = LIMIT_BYTES) -> MemoryBudget:
    budget = MemoryBudget.of_running_loop()
    budget.limit_bytes = limit_bytes
    return budget


async def free(harness: AgentHarness, budget: MemoryBudget) -> None:
    """Close all clients, and check that nothing is held in the end."""
    for client in harness.clients:
        client.close()
    while harness.server.connections:
        await asyncio.sleep(0)
    while budget.held_bytes:
        await asyncio.sleep(0)


def test_requests_are_refused_while_too_much_is_held(tmp_path: Path) -> None:
    # Guards against whole bodies that wait for their answers, each within its bound, beyond the memory.
    async def run() -> None:
        async with running_agent(tmp_path, backends=3) as harness:
            budget, body = limited_budget(), b"x" * BODY_BYTES
            accepted = []
            for n in range(LIMIT_BYTES // BODY_BYTES):
                client = await harness.send_request(post(body=body, Request_Id=str(n)))
                accepted.append((client, await harness.request()))
            for _ in range(5):
                refused = await (await harness.send_request(post(body=body))).read()
                assert refused.status == 503 and "retry-after" in refused.headers
                assert budget.held_bytes <= LIMIT_BYTES + READ_BYTES
            for client, message in accepted:
                await message.answer()
                assert (await client.read()).status == 200
            client = await harness.send_request(post(body=body))
            await (await harness.request()).answer()
            assert (await client.read()).status == 200
            await free(harness, budget)

    asyncio.run(run())


def test_unfinished_requests_go_before_whole_ones(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            budget = limited_budget()
            unfinished = [await harness.raw_client() for _ in range(8)]
            for client in unfinished:
                await client.send(post(body=b"x" * BODY_BYTES)[:-1])
            assert (await unfinished[0].read_to_end()).startswith(b"HTTP/1.1 503")
            whole = await harness.send_request(post(body=b"x" * BODY_BYTES, Request_Id="whole"))
            received = await harness.request()
            assert received.headers["request-id"] == "whole"
            await received.answer()
            assert (await whole.read()).status == 200
            for client in unfinished:
                client.close()
            await free(harness, budget)

    asyncio.run(run())


Exchanges = list[tuple[StreamConnection, Message]]


async def begin_responses(harness: AgentHarness, count: int, body: bytes) -> Exchanges:
    """Send requests, and answer each with this response but for its last byte."""
    exchanges = []
    for n in range(count):
        client = await harness.send_request(post(Request_Id=str(n)))
        exchanges.append((client, await harness.request()))
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    for _, message in exchanges:
        await message.connection.write(head + body[:-1])
    return exchanges


def test_responses_are_passed_on_while_too_much_is_held(tmp_path: Path) -> None:
    # Guards against answers that never end, each buffered within its bound, beyond the memory. Answers to
    # requests that were accepted before still reach their clients whole.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            budget, body = limited_budget(), bytes(range(256)) * (BODY_BYTES // 256)
            exchanges = await begin_responses(harness, 12, body)
            late = await harness.send_request(post(Request_Id="late"))
            assert (await late.read()).status == 503
            bound = LIMIT_BYTES * STREAMING_SHARE + READ_BYTES + len(exchanges) * SMALL_READ_BYTES
            while not any(p.response_stream is not None for p in harness.agent._pending.values()):
                await asyncio.sleep(0)
                assert budget.held_bytes <= bound
            for _ in range(500):
                await asyncio.sleep(0)
                assert budget.held_bytes <= bound
            for _, message in exchanges:
                await message.connection.write(body[-1:])
            for client, _ in exchanges:
                answer = await client.read()
                assert (answer.status, answer.body) == (200, body)
            await free(harness, budget)

    asyncio.run(run())


def test_long_responses_to_slow_clients_hold_little(tmp_path: Path) -> None:
    # Guards against clients that read long answers slowly, and against requests' bodies kept beside them.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            budget, body = limited_budget(), b"x" * (4 * MIB_BYTES)
            assert harness.server.listener is not None
            harness.server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
            writing, clients = [], []
            for n in range(12):
                clients.append(RawClient())
                clients[-1].socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                await clients[-1].connect(harness.port)
                await clients[-1].send(post(body=b"x" * BODY_BYTES, Request_Id=str(n)))
                message = await harness.request()
                writing.append(asyncio.create_task(message.answer(200, body)))
                assert await clients[-1].receive(1)
                for _ in range(100):
                    await asyncio.sleep(0)
            assert budget.held_bytes <= LIMIT_BYTES / 2 + READ_BYTES + len(clients) * 2 * SMALL_READ_BYTES
            for task in writing:
                task.cancel()
            for client in clients:
                client.reset()
            await free(harness, budget)

    asyncio.run(run())


def test_input_ahead_is_dropped_while_too_much_is_held(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            budget = limited_budget(100)
            client = await harness.send_request(post())
            received = await harness.request()
            budget.limit_bytes = 0
            await client.write(post(body=b"x" * 1_000, Request_Id="ahead"))
            while not any(c._pipeline_overflowed for c in harness.server.connections):
                await asyncio.sleep(0)
            assert budget.held_bytes < 1_000
            await received.answer()
            answer = await client.read()
            assert answer.status == 200 and answer.headers["connection"] == "close"
            assert harness.no_request_sent()
            await free(harness, budget)

    asyncio.run(run())


def test_limit_leaves_room_for_the_process_itself() -> None:
    async def run() -> None:
        budget = MemoryBudget.of_running_loop()
        for memory_mib, processes, limit_mib in [
            (32, 1, 4),
            (64, 1, 12),
            (64, 2, 4),
            (192, 1, 44),
            (8, 1, 1),
        ]:
            budget.limit_by_memory(memory_mib * MIB_BYTES)
            budget.divide(processes)
            assert budget.limit_bytes == limit_mib * MIB_BYTES

    asyncio.run(run())
