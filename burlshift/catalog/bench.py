"""Benchmark of the catalog service against bare baselines: ratios and percentiles, all in one run."""

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
LIFETIME_CHANGES = 1_000_000  # in the run that measures memory and the start after them
FIRST_MEMORY_CHANGES = 100_000  # after which memory is measured first
COMMANDS_PER_COMMIT = 100
WAIT_MS = 60_000
MAX_LATENCY_US = 60_000_000


def run(say: Callable[[str], None]) -> None:
    """Run all benchmarks, in some minutes, on a temporary directory; `say` gets each line of the report."""
    with tempfile.TemporaryDirectory(prefix="catalog-bench-") as folder:
        root = Path(folder)
        for line in asyncio.run(_fan_out(root / "fan")):
            say(line)
        for line in asyncio.run(_writes(root / "writes")):
            say(line)
        for line in _lifetime(root / "life"):
            say(line)


def _put(name: str, cell: int = 0) -> Put:
    return Put(member=Member(id=name, host_port="10.0.0.1:9000", locality="a", flavor="m", cell=cell))


def _filled(folder: Path) -> Store:
    store = Store(folder)
    state, _, changes = store.commit([Command(tuple(_put(f"s-{i:08x}") for i in range(MEMBERS)))])
    store.adopt(state, changes)
    return store


class _Watcher(asyncio.Protocol):
    """A watcher that calls back once it has received an answer in full."""

    def __init__(self, on_answer: Callable[[], None]) -> None:
        self._on_answer, self._received, self._due = on_answer, bytearray(), 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def ask(self, revision: int) -> None:
        target = f"{PATH}?index={revision}&wait={WAIT_MS}"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if end:
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            if len(body) >= length:
                self._received.clear()
                self._on_answer()


class _Countdown:
    """Sets `done` each time that `count` calls of `one` have been made."""

    def __init__(self, count: int) -> None:
        self._count, self._left = count, count
        self.done = asyncio.Event()

    def one(self) -> None:
        self._left -= 1
        if not self._left:
            self._left = self._count
            self.done.set()


async def _fan_out(folder: Path) -> list[str]:
    """Time from a change on disk to the last watcher notified; baseline: the same bytes written directly."""
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
    all_watchers = _Countdown(WATCHERS)
    watchers = [
        (await loop.create_connection(lambda: _Watcher(all_watchers.one), "127.0.0.1", port))[1]
        for _ in range(WATCHERS)
    ]
    bare: list[asyncio.Transport] = []

    class Bare(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            assert isinstance(transport, asyncio.Transport)
            bare.append(transport)

    baseline_server = await loop.create_server(Bare, "127.0.0.1", 0, backlog=2048)
    all_bare = _Countdown(WATCHERS)
    baseline_port = baseline_server.sockets[0].getsockname()[1]
    for _ in range(WATCHERS):
        await loop.create_connection(lambda: _Watcher(all_bare.one), "127.0.0.1", baseline_port)
    measured, baseline = HdrHistogram(1, MAX_LATENCY_US, 3), HdrHistogram(1, MAX_LATENCY_US, 3)
    for n in range(CHANGES):
        for watcher in watchers:
            watcher.ask(service.revision)
        while service.watchers < WATCHERS:
            await asyncio.sleep(0.001)
        before = service.revision
        all_watchers.done.clear()
        await service.submit(Command((SetPhase(id=f"s-{n:08x}", phase="DRAINING"),)))
        await all_watchers.done.wait()
        measured.record_value(int((time.perf_counter() - on_disk[0]) * 1e6))
        body = service.answer(before, None)
        data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        all_bare.done.clear()
        began = time.perf_counter()
        for transport in bare:
            transport.write(data)
        await all_bare.done.wait()
        baseline.record_value(int((time.perf_counter() - began) * 1e6))
    server.close()
    baseline_server.close()
    await service.stop()
    return [
        f"{WATCHERS} watchers, {MEMBERS} members, from on disk to the last one told, ms: "
        + " ".join(f"p{p} {measured.get_value_at_percentile(p) / 1000:.1f}" for p in (50, 99)),
        "  bare connections, the same bytes: "
        + " ".join(f"p{p} {baseline.get_value_at_percentile(p) / 1000:.1f}" for p in (50, 99))
        + f"; ratio of the medians {_ratio(measured, baseline):.2f}",
    ]


def _ratio(measured: Any, baseline: Any) -> float:
    """Ratio of the medians of two histograms."""
    return float(measured.get_value_at_percentile(50) / max(1, baseline.get_value_at_percentile(50)))


async def _writes(folder: Path) -> list[str]:
    """Writes a second of many concurrent writers, which share commits, and of a single one."""
    rates: dict[int, list[tuple[float, float, Any]]] = {}
    for writers in (WRITERS, 1, WRITERS, 1):
        service = Service(_filled(folder / f"{writers}-{time.monotonic_ns()}"))
        service.start()
        numbers: Iterator[int] = iter(range(WRITES if writers > 1 else WRITES // 4))
        began, latencies = time.perf_counter(), HdrHistogram(1, MAX_LATENCY_US, 3)

        async def write(
            numbers: Iterator[int] = numbers, service: Service = service, latencies: Any = latencies
        ) -> None:
            for n in numbers:
                asked = time.perf_counter()
                await service.submit(Command((_put(f"s-{n:08x}", cell=1),)))
                latencies.record_value(int((time.perf_counter() - asked) * 1e6))

        await asyncio.gather(*(write() for _ in range(writers)))
        rate = service.committed_commands / (time.perf_counter() - began)
        rates.setdefault(writers, []).append((rate, service.commits / service.committed_commands, latencies))
        await service.stop()
    shared, single = (max(rates[n], key=lambda row: row[0]) for n in (WRITERS, 1))
    return [
        f"{WRITERS} writers: {shared[0]:.0f} writes a second, {shared[1]:.2f} commits a write, "
        f"p99 {shared[2].get_value_at_percentile(99) / 1000:.1f} ms",
        f"  one writer, a commit each: {single[0]:.0f} a second; ratio {shared[0] / single[0]:.1f}",
    ]


def _lifetime(folder: Path) -> list[str]:
    """Memory over many changes, and the duration of a start after them."""
    store, memory_mb = _filled(folder), []
    for n in range(LIFETIME_CHANGES // COMMANDS_PER_COMMIT):
        commands = [
            Command((_put(f"s-{(n * COMMANDS_PER_COMMIT + i) % MEMBERS:08x}", cell=n + 1),))
            for i in range(COMMANDS_PER_COMMIT)
        ]
        state, _, changes = store.commit(commands)
        store.adopt(state, changes)
        if n in (
            FIRST_MEMORY_CHANGES // COMMANDS_PER_COMMIT - 1,
            LIFETIME_CHANGES // COMMANDS_PER_COMMIT - 1,
        ):
            memory_mb.append(_resident_mb())
    revision = store.state.revision
    store.close()
    size = sum(path.stat().st_size for path in folder.iterdir()) / 1e6
    began = time.perf_counter()
    reopened = Store(folder)
    took = time.perf_counter() - began
    assert reopened.state.revision == revision
    reopened.close()
    json_began = time.perf_counter()
    msgspec.json.decode(msgspec.json.encode([_put(f"s-{i:08x}") for i in range(MEMBERS)]))
    json_took = time.perf_counter() - json_began
    return [
        f"{LIFETIME_CHANGES} changes: {memory_mb[0]:.0f} MB after {FIRST_MEMORY_CHANGES}, "
        f"{memory_mb[1]:.0f} MB after all (ratio {memory_mb[1] / memory_mb[0]:.2f}), {size:.1f} MB on disk",
        f"  a start after them, {MEMBERS} members: {took:.2f} s, {took / json_took:.0f} times what reading "
        "them from JSON takes",
    ]


def _resident_mb() -> float:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / 1e6
