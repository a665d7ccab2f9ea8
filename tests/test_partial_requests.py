"""What is held for partly received requests is bounded for all clients together."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from burlshift.agent.memory_budget import MemoryBudget
from tests.loopback import AgentHarness, RawClient, post, running_agent

HELD_BYTES = 20_000
LIMIT_BYTES = 10 * HELD_BYTES
PARTIAL = {
    "body": post(body=b"x" * (HELD_BYTES + 1))[:-1],
    "head": post().replace(b"\r\n\r\n", b"\r\nX: " + b"x" * HELD_BYTES)[:-3],
}


def held(harness: AgentHarness) -> int:
    return sum(connection.held_bytes() for connection in harness.server.connections)


async def wait_until_read(harness: AgentHarness, count: int) -> None:
    """Wait until this many connections hold a partly received request."""
    while sum(c.held_bytes() >= HELD_BYTES for c in harness.server.connections) < count:
        await asyncio.sleep(0)


@pytest.mark.parametrize("what", PARTIAL)
def test_longest_silent_partial_requests_are_refused_at_the_limit(tmp_path: Path, what: str) -> None:
    # Guards against clients that stop before the end of a body of 64 KiB each, beyond the agent's memory.
    async def run() -> None:
        async with running_agent(tmp_path, retryAfter=True) as harness:
            budget = MemoryBudget.of_running_loop()
            budget.limit_bytes = LIMIT_BYTES
            silent: list[RawClient] = []
            for count in range(1, 10):
                silent.append(await harness.raw_client())
                await silent[-1].send(PARTIAL[what])
                await wait_until_read(harness, count)
            latest = [await harness.raw_client() for _ in range(3)]
            for client in latest:
                await client.send(PARTIAL[what])
            answer = await silent[0].read_to_end()
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
            while held(harness) > LIMIT_BYTES:
                await asyncio.sleep(0)
            assert budget.held_bytes == held(harness)
            assert not (await silent[1].read_to_end()).startswith(b"HTTP/1.1 2")
            for client in (*silent, *latest):
                client.close()
            while harness.server.connections:
                await asyncio.sleep(0)
            assert not budget.held_bytes

    asyncio.run(run())


def test_whole_requests_are_counted_until_they_are_answered(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            budget, body = MemoryBudget.of_running_loop(), b"x" * HELD_BYTES
            client = await harness.client()
            for _ in range(3):
                await client.write(post(body=body))
                received = await harness.request()
                assert budget.held_bytes == HELD_BYTES
                await received.answer()
                assert (await client.read()).status == 200
                assert not budget.held_bytes

    asyncio.run(run())
