"""What the rig's processes have in common: a plan, orders, a place in the history, and punctuality."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol, TypeVar

import msgspec

from burlshift_tools.faultlab.history import Event, Late, Usage, Writer, now_us

LOOK_S = 0.01
LATE_US = 20_000  # a part that had its turn later than this spoils the run

P = TypeVar("P", bound="Plan")


class Plan(msgspec.Struct, kw_only=True):
    """Configuration common to all processes of the lab."""

    name: str
    history: str


class Part(Protocol):
    """One process of the rig."""

    async def start(self) -> None:
        """Returns once it serves."""

    async def order(self, order: Any) -> None: ...

    async def stop(self) -> None: ...


class Writes(Protocol):
    """Where a part's events go."""

    def write(self, event: Event) -> None: ...


class Book:
    """The history as one part writes it."""

    def __init__(self, plan: Plan) -> None:
        self.name = plan.name
        self._writer = Writer(Path(plan.history))

    def write(self, event: Event) -> None:
        self._writer.write(event)


def main(schema: type[P], make: Callable[[P, Book], Part], orders: Any) -> None:
    """The process of a part: its plan from standard input, then its service."""
    plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=schema)
    book = Book(plan)
    run(make(plan, book), book, orders)


def run(part: Part, book: Book, orders: Any) -> None:
    """Serve until standard input ends: a part never outlives its rig."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # Ctrl-C is the rig's to hear
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        asyncio.run(_serve(part, book, orders))
    except OSError as e:
        print(msgspec.json.encode({"error": f"{e.strerror or e}"}).decode(), flush=True)
        sys.exit(1)


async def _serve(part: Part, book: Book, orders: Any) -> None:
    await part.start()
    gc.collect()
    gc.freeze()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=2**26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print(msgspec.json.encode({"ready": os.getpid()}).decode(), flush=True)
    watch = loop.create_task(punctual(book.name, book))
    decoder = msgspec.json.Decoder(orders)
    while line := await reader.readline():
        await part.order(decoder.decode(line))
        print("{}", flush=True)  # the order is in force
    watch.cancel()
    await part.stop()
    used = resource.getrusage(resource.RUSAGE_SELF)
    book.write(Usage(t=now_us(), who=book.name, cpu_us=int((used.ru_utime + used.ru_stime) * 1e6)))


async def punctual(name: str, book: Writes) -> None:
    """Note each time that this process had its turn too late: what it measured then is not the agent's."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LOOK_S
        await asyncio.sleep(LOOK_S)
        late_us = int((loop.time() - due) * 1e6)
        if late_us > LATE_US:
            book.write(Late(t=now_us(), who=name, late_us=late_us))
