"""What a scale test of the list service runs: the service as its own process, hollow agents, a writer."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any, TypeVar
from zlib import crc32

import msgspec

from burlshift.balancing.interface import Discovery as PushOrAsk
from burlshift_tools.faultlab import agent_config
from burlshift_tools.faultlab.addresses import Block, split, take_block
from burlshift_tools.faultlab.child_processes import HOME, Child, Failed, PartChild, Starter, tethered
from burlshift_tools.faultlab.scenario import LabScenario, load, settle

from .fleet_orders import Clear, Order, Plan, Seen
from .fleet_turns import Turns

DAY = "steady"  # the shipped scenario whose settings the agents have
TICKS = os.sysconf("SC_CLK_TCK")
UP_S, LOOK_S, CALL_S, PING_S = 30.0, 0.005, 60.0, 0.02
SETTLED, SETTLE_S, SETTLE_LOOK_S = 0.99, 30.0, 0.03
ZONES = 12

A = TypeVar("A", bound=msgspec.Struct)


def processor_s(pid: int) -> float:
    """Processor time of a process's threads so far, in ns where the system counts it so (Documentation/
    scheduler/sched-stats.rst), else to 10 ms (proc(5), stat)."""
    try:
        return sum(
            int(task.read_text().split()[0]) for task in Path(f"/proc/{pid}/task").glob("*/schedstat")
        ) / 1e9 or _ticks_s(pid)
    except OSError:  # a thread ended meanwhile
        return _ticks_s(pid)


def _ticks_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize() / 1e6


def member(n: int, phase: str = "SERVING") -> dict[str, Any]:
    """One of the fleet; nobody connects to its address."""
    return {
        "id": f"meter-{n:05d}",
        "host_port": f"10.{n // 250 % 250}.{n % 250}.17:9000",
        "locality": f"zone-{n % ZONES}",
        "flavor": "standard",
        "cell": n // 16,
        "phase": phase,
        "up_since_ms": 1_700_000_000_000 + n,
    }


class Caller:
    """A connection to the list service on which one call follows the other."""

    def __init__(self, at: str) -> None:
        self._at = at
        self._open: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, method: str, path: str, doc: object = None) -> dict[str, Any]:
        """Raises Failed on anything but a 200, OSError where the service is not there."""
        body = msgspec.json.encode(doc) if doc is not None else b""
        try:
            async with asyncio.timeout(CALL_S):
                if self._open is None:
                    self._open = await asyncio.open_connection(*split(self._at), limit=2**26)
                reader, writer = self._open
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(head.lower().partition("content-length: ")[2].split("\r\n")[0])
                answer = await reader.readexactly(length)
        except (OSError, EOFError):
            self.close()
            raise OSError(f"the list service at {self._at} gives no answer") from None
        if head.split(" ")[1] != "200":
            raise Failed(f"list service: {method} {path}: {head.splitlines()[0]} {answer[:200]!r}")
        return msgspec.json.decode(answer, type=dict[str, Any])

    def close(self) -> None:
        if self._open is not None:
            self._open[1].close()
            self._open = None


class Crowds(PartChild):
    """One process of hollow agents."""

    async def ask(self, order: Order, kind: type[A], limit_s: float = CALL_S) -> A:
        return msgspec.convert(await self._say(msgspec.json.encode(order), limit_s), kind)


class Lab:
    """Everything that one size of the fleet runs; `async with lab(...)` ends it whatever happens."""

    def __init__(self, folder: Path, block: Block, size: int) -> None:
        self.folder, self.block, self.size = folder, block, size
        self.at = block.discovery(0)
        self.starter, self.children = Starter(), list[Child]()
        self.crowds: list[Crowds] = []  # the first has a region's worth of agents
        self.deciding: Crowds | None = None
        self.writer = Caller(self.at)
        self.turns = Turns()
        self.longest_ms = 0.0  # that a call which asks for nothing has waited, of those made since look
        self._looked_from = 0.0
        self._looking = asyncio.Event()  # those calls cost the service something too
        self._tasks: list[asyncio.Task[None]] = []
        self.service: Child | None = None

    # Processes

    async def child(
        self, name: str, command: Sequence[str], env: dict[str, str] | None = None, orders: bool = False
    ) -> Child:
        made = await self.starter.start(
            name,
            0,
            tethered(command),
            self.folder / f"{name}.log",
            {**os.environ, **(env or {})},
            HOME,
            orders=orders,
        )
        self.children.append(made)
        return made

    async def serve(self) -> None:
        """Start the service, on the data that is there; returns once it answers."""
        self.service = await self.child(
            "catalog",
            [
                sys.executable,
                "-m",
                "burlshift.catalog",
                "serve",
                "--listen",
                self.at,
                "--data",
                str(self.folder / "data"),
            ],
        )
        until = time.monotonic() + UP_S
        while time.monotonic() < until and self.service.alive:
            with contextlib.suppress(OSError):
                await self.writer.call("GET", "/_health")
                return
            await asyncio.sleep(LOOK_S)
        raise Failed(f"catalog: does not serve ({self.service.last_words()})")

    async def kill(self) -> None:
        assert self.service is not None
        self.service.kill()
        await self.service.process.wait()
        self.writer.close()

    @property
    def pid(self) -> int:
        assert self.service is not None
        return self.service.pid

    def config(self, name: str, discovery: str, agent: int = 0, siblings: int = 1) -> Path:
        """RELAY_CONFIG for an agent, which knows no member yet."""
        day, s = settle(load(DAY), 1)
        s = msgspec.structs.replace(s, fleet=msgspec.structs.replace(s.fleet, agents=max(1, siblings)))
        assert isinstance(s, LabScenario) and s.discovery.mode == PushOrAsk.PUSH.value
        known = {"revision": 0, "complete": True, "members": []}
        doc = agent_config.document(s, self.block, agent, day.agents[0].zone, agent + 1, 0, known)
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode({**doc, "name": name, "discovery": discovery}))
        return path

    async def crowd(self, name: str, agents: int, deciding: bool = False, at: str = "") -> Crowds:
        config = self.config(name, at or self.at)
        child = await self.child(
            name, [sys.executable, "-m", "burlshift_tools.faultlab.scale.hollow_agents"], orders=True
        )
        made = Crowds(child)
        await made.ready(
            Plan(config=str(config), name=name, agents=agents, deciding=deciding, seed=crc32(name.encode()))
        )
        return made

    async def populate(self, shares: Sequence[int], deciding: int) -> None:
        """Processes with so many followers each, and one with agents that also decide."""
        *self.crowds, self.deciding = await asyncio.gather(
            *(self.crowd(f"crowd{n}", share) for n, share in enumerate(shares)),
            self.crowd("deciding", deciding, deciding=True),
        )

    def tool_mb(self) -> float:
        """Memory of all processes of the test. Raises Failed where that is over half of the machine's."""
        used = resident_mb(os.getpid()) + sum(resident_mb(c.pid) for c in self.children if c.alive)
        half = os.sysconf("SC_PHYS_PAGES") * resource.getpagesize() / 2e6
        if used > half:
            raise Failed(f"the scale test has {used:.0f} MB, over half of the machine's; lower --sizes")
        return used

    @property
    def everyone(self) -> list[Crowds]:
        return self.crowds + ([self.deciding] if self.deciding is not None else [])

    # The list

    async def fill(self, count: int, ttl_ms: int = 0) -> int:
        """As many members, in one batch; returns the revision."""
        writes = [{"do": "put", "member": member(n), "ttl_ms": ttl_ms} for n in range(count)]
        return int((await self.writer.call("POST", "/catalog/batch", {"writes": writes}))["revision"])

    async def phase(self, numbers: Sequence[int], phase: str) -> int:
        """Change these in one batch; returns the revision."""
        writes = [{"do": "phase", "id": member(n)["id"], "phase": phase} for n in numbers]
        return int((await self.writer.call("POST", "/catalog/batch", {"writes": writes}))["revision"])

    async def settled(self) -> None:
        """All watch again: a change after it finds the service at rest. Of many, some are always between one
        wait and the next."""
        until = time.monotonic() + SETTLE_S
        while (await self.writer.call("GET", "/catalog/status"))["watchers"] < int(SETTLED * self.size):
            if time.monotonic() > until:
                raise Failed(f"catalog: fewer than {SETTLED:.0%} of {self.size} watch after {SETTLE_S:g} s")
            await asyncio.sleep(SETTLE_LOOK_S)

    # The tool's own turns

    async def clear(self) -> None:
        """A measurement begins."""
        self.turns.clear()
        self._looking.clear()
        await asyncio.gather(*(c.ask(Clear(), Seen) for c in self.everyone))

    def look(self) -> None:
        """Note the service's longest turn from now until clear."""
        self.longest_ms, self._looked_from = 0.0, time.monotonic()
        self._looking.set()

    async def _ping(self) -> None:
        """How long the service's loop keeps a caller waiting, while it is up."""
        caller = Caller(self.at)
        try:
            while await self._looking.wait():
                began = time.monotonic()
                with contextlib.suppress(OSError):
                    await caller.call("GET", "/_health")
                    if began >= self._looked_from:
                        self.longest_ms = max(self.longest_ms, (time.monotonic() - began) * 1000)
                await asyncio.sleep(PING_S)
        finally:
            caller.close()

    def watch(self) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self.turns.watch()), loop.create_task(self._ping())]

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.writer.close()
        for child in self.children:
            child.kill()
        await asyncio.gather(*(c.process.wait() for c in self.children), return_exceptions=True)


@contextlib.asynccontextmanager
async def lab(size: int) -> AsyncIterator[Lab]:
    """A service with as many members, and nobody who watches yet."""
    block, held = take_block()
    try:
        with tempfile.TemporaryDirectory(prefix="scale-fleet-") as folder:
            made = Lab(Path(folder), block, size)
            try:
                await made.serve()
                await made.fill(size)
                made.watch()
                yield made
            finally:
                await made.end()
    finally:
        held.close()
