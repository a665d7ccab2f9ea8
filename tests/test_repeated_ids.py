"""A request whose id comes again."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.loopback import UNSAFE, post, running_agent


def test_id_that_comes_again_after_its_client_has_left_runs_once(tmp_path: Path) -> None:
    # Guards against an order that is carried out twice when its id comes again after its client has left.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post(UNSAFE, Request_Id="same"))
            received = await harness.request()
            client.close()
            await received.connection.wait_closed()
            again = await harness.send_request(post(UNSAFE, Request_Id="same"))
            answering = asyncio.create_task(again.read())
            running = asyncio.create_task(harness.request())
            await asyncio.wait((answering, running), return_when=asyncio.FIRST_COMPLETED)
            ran_again = running.done()
            for task in (answering, running):
                task.cancel()
            assert not ran_again

    asyncio.run(run())
