"""A connection that rests keeps nothing of its answered requests."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc
from pathlib import Path

import pytest

from burlshift.agent.buffered_input import HEADER_LIMIT, MAX_HEADER_FIELDS
from tests.loopback import AgentHarness, post, running_agent

HEALTH = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n"
NO_CLASS = b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n"
CONNECTIONS = 20


def large_fields() -> bytes:
    """Nearly as many bytes of fields as a head may have."""
    value = b"x" * (HEADER_LIMIT // MAX_HEADER_FIELDS)
    return b"".join(b"X-%d: %s\r\n" % (n, value) for n in range(MAX_HEADER_FIELDS * 3 // 4))


def with_fields(request: bytes, fields: bytes) -> bytes:
    line, _, rest = request.partition(b"\r\n")
    return line + b"\r\n" + fields + rest


async def exchange(harness: AgentHarness, request: bytes, status: int) -> None:
    """Send the request on a new connection, which stays open, and read the response."""
    client = await harness.send_request(request)
    if request.startswith(b"POST"):
        await (await harness.request()).answer()
    assert (await client.read()).status == status


def traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


RESTING = {"proper": (post(), 200), "no class": (NO_CLASS, 400), "health check": (HEALTH, 200)}


@pytest.mark.parametrize("kind", RESTING)
def test_head_is_not_kept_while_its_connection_rests(tmp_path: Path, kind: str) -> None:
    # Guards against clients that send a large head each and rest: what was kept of them exceeded the memory.
    request_bytes, status = RESTING[kind]
    large = with_fields(request_bytes, large_fields())

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            await exchange(harness, large, status)
            await exchange(harness, request_bytes, status)
            tracemalloc.start()
            try:
                for _ in range(CONNECTIONS):
                    await exchange(harness, request_bytes, status)
                small_total = traced_bytes()
                for _ in range(CONNECTIONS):
                    await exchange(harness, large, status)
                kept = traced_bytes() - 2 * small_total
            finally:
                tracemalloc.stop()
            assert kept < CONNECTIONS * len(large) // 8

    asyncio.run(run())
