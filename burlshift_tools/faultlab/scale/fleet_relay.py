"""The way of a region's readers to the list service, which can be cut: the rig's relay, in its own process.

`python -m burlshift_tools.faultlab.scale.fleet_relay` is that process, led over its pipes.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncIterator

import msgspec

from burlshift_tools.faultlab.child_processes import Child, PartChild
from burlshift_tools.faultlab.faults_schema import Link
from burlshift_tools.faultlab.history import Event
from burlshift_tools.faultlab.parts.relay import Clear, Relay, RelayPart, Route, Shape

from .fleet_lab import Lab

CUT = 1  # the fault's number


class Cut(msgspec.Struct, tag_field="order", tag="cut"):
    """Nothing passes from now on, or everything does again."""

    cut: bool


class Unwritten:
    """The relay has no history here."""

    def write(self, event: Event) -> None:
        pass


class Relayed(PartChild):
    """The relay's process."""

    def __init__(self, child: Child, at: str) -> None:
        super().__init__(child)
        self.at = at  # where readers reach the list service through it


@contextlib.asynccontextmanager
async def relayed(lab: Lab) -> AsyncIterator[Relayed]:
    b = lab.block
    child = await lab.child(
        "relay", [sys.executable, "-m", "burlshift_tools.faultlab.scale.fleet_relay"], orders=True
    )
    try:
        made = Relayed(child, b.asks(0, 0))
        route = Route(path="discovery", at=made.at, to=b.discovery(0), source=b.caller(0))
        await made.ready(RelayPart(name="relay", history="", routes=[route], seed=1))
        yield made
    finally:
        child.kill()
        await child.process.wait()


async def serve(plan: RelayPart) -> None:
    """Until standard input ends."""
    relay = Relay(plan, Unwritten())
    await relay.start()
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("{}", flush=True)
    while line := await reader.readline():
        cut = msgspec.json.decode(line, type=Cut).cut
        await relay.order(Shape(CUT, Link(at_s=0.0, path="discovery", cut=True), []) if cut else Clear(CUT))
        print("{}", flush=True)
    await relay.stop()


def main() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the parent's to hear
    asyncio.run(serve(msgspec.json.decode(sys.stdin.buffer.readline(), type=RelayPart)))


if __name__ == "__main__":
    main()
