"""What the matrix of failing system calls has in common: requests told apart by their bodies, answered by
servers that say them back, and the descriptors of this process counted before and after."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import os
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from burlshift.agent.loop_lag import LagTrackingEventLoop
from tests.fault_injection import Faults, injected
from tests.loopback import KEYED, Message, Peer, Raw, World, post

WHILE = 3  # calls that fail in a row, where one fails "for a while"


def name_of(value: object) -> str:
    """Of an errno, for the names of tests."""
    return errno.errorcode.get(value, str(value)) if isinstance(value, int) else str(value)


def descriptors() -> int:
    gc.collect()
    return len(os.listdir("/proc/self/fd"))


def unhandled() -> list[dict[str, Any]]:
    """What nobody caught in this loop from now on."""
    found: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: found.append(context))
    return found


def play(story: Callable[[Faults], Awaitable[None]]) -> None:
    """One story on the agent's own event loop; it leaves no descriptor behind."""
    before = descriptors()
    with injected() as faults, asyncio.Runner(loop_factory=LagTrackingEventLoop) as runner:
        runner.run(_awaited(story, faults))
    assert descriptors() == before


async def _awaited(story: Callable[[Faults], Awaitable[None]], faults: Faults) -> None:
    await story(faults)


@dataclass
class Echo:
    """Servers that answer each request with its own body, and what has reached them."""

    seen: Counter[bytes] = field(default_factory=Counter)

    async def answer(self, message: Message) -> None:
        self.seen[message.body] += 1
        with contextlib.suppress(ConnectionError):
            await message.answer(200, message.body)


@contextlib.asynccontextmanager
async def echoing(w: World) -> AsyncIterator[Echo]:
    """All backends of this world say back what they get."""
    echo = Echo()

    async def serve(backend: Peer) -> None:
        while True:
            await echo.answer(await backend.requests.get())

    tasks = [asyncio.create_task(serve(backend)) for backend in w.backends]
    try:
        yield echo
    finally:
        for task in tasks:
            task.cancel()


async def asking(w: World, *names: bytes, cls: str = KEYED, clients: list[Raw] | None = None) -> list[Raw]:
    """A client for each request, which has sent it whole; those given, or new ones."""
    clients = clients or [await w.raw() for _ in names]
    for client, name in zip(clients, names, strict=True):
        await client.send(post(cls, body=name, Connection="close"))
    return clients


async def statuses(clients: list[Raw]) -> list[tuple[int, bytes]]:
    """Status and body of the one whole answer that each client gets before its connection ends."""
    answers = [one_answer(await client.read_to_end()) for client in clients]
    for client in clients:
        client.close()
    return answers


def one_answer(data: bytes) -> tuple[int, bytes]:
    """The answer that these bytes are, whole and nothing more; AssertionError where they are not."""
    head, end, body = data.partition(b"\r\n\r\n")
    assert end, f"no answer: {data!r}"
    length = next(line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:"))
    assert int(length.partition(b":")[2]) == len(body), f"not one whole answer: {data!r}"
    return int(head.split()[1]), body


async def serves(w: World, name: bytes = b"after") -> None:
    """A new client is served."""
    assert await statuses(await asking(w, name)) == [(200, name)]
