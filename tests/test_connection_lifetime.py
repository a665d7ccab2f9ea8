"""A connection that has ended is freed at once."""

from __future__ import annotations

import asyncio
import gc
import weakref
from pathlib import Path

import pytest

from burlshift.agent.downstream_connection import DownstreamConnection
from burlshift.agent.loop_lag import LagTrackingEventLoop
from tests.loopback import post, running_agent

ENDS = {
    "connected": b"",
    "health check": b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
    "malformed": b"GET x\r\n\r\n",
    "partial head": b"GET /api HTTP/1.1\r\nHost: a",
    "partial body": post(body=b"x" * 30_000)[:-1],
    "partial upload": post(body=b"x" * 300_000)[:-1],
    "pending": post(),
}


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("what", ENDS)
def test_ended_connection_is_freed_without_the_garbage_collector(tmp_path: Path, what: str, how: str) -> None:
    # Guards against clients that come back at once: what their ended connections held stayed until the next
    # collection, or until a timer was over.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            while not harness.server.connections:
                await asyncio.sleep(0)
            (connection,) = harness.server.connections
            ended: weakref.ref[DownstreamConnection] = weakref.ref(connection)
            await client.send(ENDS[what])
            for _ in range(50):  # iterations in which it is read
                await asyncio.sleep(0)
            del connection
            getattr(client, how)()
            while harness.server.connections:
                await asyncio.sleep(0)
            for _ in range(20):
                await asyncio.sleep(0)
            assert ended() is None

    gc.collect()
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=LagTrackingEventLoop) as runner:
            runner.run(run())
    finally:
        gc.enable()
