"""What the list service costs, beside the least that could be: ratios and percentiles, all in one run."""

from __future__ import annotations

import asyncio
import resource
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from burlshift.agent.discovery_call import PATH
from burlshift.agent.listing import Address

from .server import CatalogServer
from .service import Service
from .state_machine import Member, Put, SetPhase
from .store import Command, Store

WATCHERS, MEMBERS, CHANGES = 1_000, 10_000, 60
WRITES, WRITERS = 600, 50
LIFE = 1_000_000  # changes of the run that looks at memory and at the start after them
FIRST = 100_000  # of them, when memory is looked at first
WAIT_MS = 60_000


def run(say: Callable[[str], None]) -> None:
    """Some minutes; what it makes on disk is gone with it."""
    with tempfile.TemporaryDirectory(prefix="catalog-bench-") as folder:
        root = Path(folder)
        for line in asyncio.run(_fan_out(root / "fan")):
            say(line)
        for line in asyncio.run(_writes(root / "writes")):
            say(line)
        for line in _life(root / "life"):
            say(line)


def _put(name: str, cell: int = 0) -> Put:
    return Put(member=Member(id=name, host_port="10.0.0.1:9000", locality="a", flavor="m", cell=cell))


def _filled(folder: Path) -> Store:
    store = Store(folder)
    state, _, changes = store.commit([Command(tuple(_put(f"s-{i:08x}") for i in range(MEMBERS)))])
    store.adopt(state, changes)
    return store


class _Watcher(asyncio.Protocol):
    """Counts an answer as told once its last byte is there."""

    def __init__(self, told: Callable[[], None]) -> None:
        self._told, self._got, self._due = told, bytearray(), 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, revision: int) -> None:
        target = f"{PATH}?index={revision}&wait={WAIT_MS}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self._got += data
        head, end, body = self._got.partition(b"\r\n\r\n")
        if end:
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(body) >= length:
                self._got.clear()
                self._told()


class _All:
    """Done once as many have been told as there are."""

    def __init__(self, count: int) -> None:
        self._count, self._left = count, count
        self.over = asyncio.Event()

    def one(self) -> None:
        self._left -= 1
        if not self._left:
            self._left = self._count
            self.over.set()


async def _fan_out(folder: Path) -> list[str]:
    """Time from when a change is on disk to the last watcher told, beside the same bytes written bare."""
    loop, store = asyncio.get_running_loop(), _filled(folder)
    on_disk = [0.0]

    def adopt(*args: Any, real: Callable[..., None] = store.adopt) -> None:
        on_disk[0] = time.perf_counter()
        real(*args)

    vars(store)["adopt"] = adopt
    service = Service(store)
    server = CatalogServer(service)
    service.start()
    port = await server.listen(Address("127.0.0.1", 0))
    everyone = _All(WATCHERS)
    watchers = [
        (await loop.create_connection(lambda: _Watcher(everyone.one), "127.0.0.1", port))[1]
        for _ in range(WATCHERS)
    ]
    bare: list[asyncio.Transport] = []

    class Bare(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            assert isinstance(transport, asyncio.Transport)
            bare.append(transport)

    beside = await loop.create_server(Bare, "127.0.0.1", 0, backlog=2048)
    bare_all = _All(WATCHERS)
    at = beside.sockets[0].getsockname()[1]
    for _ in range(WATCHERS):
        await loop.create_connection(lambda: _Watcher(bare_all.one), "127.0.0.1", at)
    ours, least = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    for n in range(CHANGES):
        for watcher in watchers:
            watcher.ask(service.revision)
        while service.watchers < WATCHERS:
            await asyncio.sleep(0.001)
        before = service.revision
        everyone.over.clear()
        await service.do(Command((SetPhase(id=f"s-{n:08x}", phase="DRAINING"),)))
        await everyone.over.wait()
        ours.record_value(int((time.perf_counter() - on_disk[0]) * 1e6))
        body = service.answer(before, None)
        data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        bare_all.over.clear()
        began = time.perf_counter()
        for transport in bare:
            transport.write(data)
        await bare_all.over.wait()
        least.record_value(int((time.perf_counter() - began) * 1e6))
    server.close()
    beside.close()
    await service.stop()
    return [
        f"{WATCHERS} watchers, {MEMBERS} members, from on disk to the last one told, ms: "
        + " ".join(f"p{p} {ours.get_value_at_percentile(p) / 1000:.1f}" for p in (50, 99)),
        "  bare connections, the same bytes: "
        + " ".join(f"p{p} {least.get_value_at_percentile(p) / 1000:.1f}" for p in (50, 99))
        + f"; ratio of the medians {_ratio(ours, least):.2f}",
    ]


def _ratio(a: Any, b: Any) -> float:
    return float(a.get_value_at_percentile(50) / max(1, b.get_value_at_percentile(50)))


async def _writes(folder: Path) -> list[str]:
    """Writes a second by many writers, with commits that they share, and one after the other."""
    rates: dict[int, list[tuple[float, float, Any]]] = {}
    for writers in (WRITERS, 1, WRITERS, 1):
        service = Service(_filled(folder / f"{writers}-{time.monotonic_ns()}"))
        service.start()
        todo: Iterator[int] = iter(range(WRITES if writers > 1 else WRITES // 4))
        began, took = time.perf_counter(), HdrHistogram(1, 60_000_000, 3)

        async def write(todo: Iterator[int] = todo, service: Service = service, took: Any = took) -> None:
            for n in todo:
                asked = time.perf_counter()
                await service.do(Command((_put(f"s-{n:08x}", cell=1),)))
                took.record_value(int((time.perf_counter() - asked) * 1e6))

        await asyncio.gather(*(write() for _ in range(writers)))
        rate = service.committed / (time.perf_counter() - began)
        rates.setdefault(writers, []).append((rate, service.commits / service.committed, took))
        await service.stop()
    shared, single = (max(rates[n], key=lambda r: r[0]) for n in (WRITERS, 1))
    return [
        f"{WRITERS} writers: {shared[0]:.0f} writes a second, {shared[1]:.2f} commits a write, "
        f"p99 {shared[2].get_value_at_percentile(99) / 1000:.1f} ms",
        f"  one writer, a commit each: {single[0]:.0f} a second; ratio {shared[0] / single[0]:.1f}",
    ]


def _life(folder: Path) -> list[str]:
    """Memory over many changes, and how long a start takes after them."""
    store, marks = _filled(folder), []
    for n in range(LIFE // 100):
        commands = [Command((_put(f"s-{(n * 100 + i) % MEMBERS:08x}", cell=n + 1),)) for i in range(100)]
        state, _, changes = store.commit(commands)
        store.adopt(state, changes)
        if n in (FIRST // 100 - 1, LIFE // 100 - 1):
            marks.append(_resident_mb())
    revision = store.state.revision
    store.close()
    size = sum(p.stat().st_size for p in folder.iterdir()) / 1e6
    began = time.perf_counter()
    again = Store(folder)
    took = time.perf_counter() - began
    assert again.state.revision == revision
    again.close()
    least = time.perf_counter()
    msgspec.json.decode(msgspec.json.encode([_put(f"s-{i:08x}") for i in range(MEMBERS)]))
    least = time.perf_counter() - least
    return [
        f"{LIFE} changes: {marks[0]:.0f} MB after {FIRST}, {marks[1]:.0f} MB after all (ratio "
        f"{marks[1] / marks[0]:.2f}), {size:.1f} MB on disk",
        f"  a start after them, {MEMBERS} members: {took:.2f} s, {took / least:.0f} times what reading "
        "them from JSON takes",
    ]


def _resident_mb() -> float:
    with open("/proc/self/statm") as f:
        return int(f.read().split()[1]) * resource.getpagesize() / 1e6
