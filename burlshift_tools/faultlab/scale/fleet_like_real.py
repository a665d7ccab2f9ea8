"""Whether hollow agents are like real ones: as many of each at one service, side by side, read the same way.

Between each agent and the service stands a tap, in the parent. An agent takes a change in before it asks for
the next, by that change's revision; so the moment at which that call passes the tap is read from outside, for
a process of `python -m burlshift.agent` as for a hollow agent. It is late by the agent's turn from taking in
to asking (tens of microseconds) and by the tap's own turn, which `tap_busy_ms` bounds: the same for both.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import statistics
import sys
import time

from burlshift_tools.faultlab import admin_client
from burlshift_tools.faultlab.addresses import split
from burlshift_tools.faultlab.child_processes import Failed

from .fleet_lab import Lab
from .fleet_orders import Seen, Start
from .fleet_steps import LIMIT_S
from .fleet_times import Times
from .fleet_turns import LATE_MS
from .slopes import Figure, Run

READY_S, LOOK_S = 30.0, 0.02
MOST_PROCESSES = 6  # of hollow agents
INDEX = b"?index="


class Tap:
    """Where agents of one kind reach the service; counts bytes to them and notes what they ask by."""

    def __init__(self, at: str, to: str) -> None:
        self.at, self._to = at, to
        self.received = 0
        self.asked: dict[int, dict[object, int]] = {}  # by revision: when each connection's agent asked by it
        self._listener: asyncio.Server | None = None
        self._come = asyncio.Event()

    async def open(self) -> None:
        self._listener = await asyncio.get_running_loop().create_server(lambda: _Near(self), *split(self.at))

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()

    def ask(self, near: object, data: bytes) -> None:
        _, found, rest = data.partition(INDEX)
        if found:
            self.asked.setdefault(int(rest.partition(b"&")[0]), {}).setdefault(near, time.monotonic_ns())
            self._come.set()

    async def all(self, revision: int, count: int) -> list[int]:
        """When each of as many agents asked by this revision."""
        async with asyncio.timeout(LIMIT_S):
            while len(self.asked.get(revision, ())) < count:
                self._come.clear()
                await self._come.wait()
        return sorted(self.asked[revision].values())

    async def reach(self, near: _Near) -> asyncio.Transport:
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(lambda: _Far(near), *split(self._to)))[0]


class _Near(asyncio.Protocol):
    """An agent's connection."""

    def __init__(self, tap: Tap) -> None:
        self.tap, self._ahead = tap, b""
        self.transport: asyncio.Transport | None = None
        self._far: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._task = asyncio.get_running_loop().create_task(self._reach())

    async def _reach(self) -> None:
        try:
            self._far = await self.tap.reach(self)
        except OSError:
            if self.transport is not None:
                self.transport.abort()
            return
        self._far.write(self._ahead)

    def data_received(self, data: bytes) -> None:
        self.tap.ask(self, data)
        if self._far is None:
            self._ahead += data
        else:
            self._far.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._far is not None:
            self._far.abort()


class _Far(asyncio.Protocol):
    """The service's side of it."""

    def __init__(self, near: _Near) -> None:
        self._near = near

    def data_received(self, data: bytes) -> None:
        self._near.tap.received += len(data)
        assert self._near.transport is not None
        self._near.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._near.transport is not None:
            self._near.transport.abort()


async def compare(lab: Lab, times: Times, run: Run) -> list[Figure]:
    """Raises Failed where an agent does not come up, TimeoutError where one hears nothing."""
    count, block = times.real, lab.block
    taps = {"real": Tap(block.asks(0, 1), lab.at), "hollow": Tap(block.asks(0, 2), lab.at)}
    for tap in taps.values():
        await tap.open()
    try:
        await _start_real(lab, taps["real"].at, count)
        processes = min(MOST_PROCESSES, count)
        crowds = await asyncio.gather(
            *(
                lab.crowd(f"like{n}", count // processes + (n < count % processes), True, taps["hollow"].at)
                for n in range(processes)
            )
        )
        await asyncio.gather(*(crowd.ask(Start(0.1), Seen) for crowd in crowds))
        return await _measure(lab, taps, times, run)
    finally:
        for tap in taps.values():
            tap.close()


async def _start_real(lab: Lab, discovery: str, count: int) -> None:
    async def one(i: int) -> None:
        config = lab.config(f"real{i}", discovery, i, count)
        kept = lab.folder / f"tmp{i}"
        kept.mkdir()
        at = lab.block.agent(i)
        child = await lab.child(
            f"real{i}",
            [sys.executable, "-m", "burlshift.agent"],
            {
                "RELAY_CONFIG": str(config),
                "RELAY_LISTEN": at,
                "RELAY_DISCOVERY": discovery,
                "RELAY_NAME": f"real{i}",
                "RELAY_CONTROL": lab.block.door(i, 0),
                "TMPDIR": str(kept),
            },
        )
        until = time.monotonic() + READY_S
        while not await admin_client.healthy(at):
            if not child.alive or time.monotonic() > until:
                raise Failed(f"real{i}: not ready ({child.last_words()})")
            await asyncio.sleep(LOOK_S)

    await asyncio.gather(*(one(i) for i in range(count)))


async def _measure(lab: Lab, taps: dict[str, Tap], times: Times, run: Run) -> list[Figure]:
    count, last = times.real, lab.size - 1
    each: dict[str, list[float]] = {kind: [] for kind in taps}
    lasts: dict[str, list[float]] = {kind: [] for kind in taps}
    sizes: dict[str, list[float]] = {kind: [] for kind in taps}
    restarts: dict[str, float] = {}

    async def change(phase: str) -> dict[str, list[float]]:
        began = time.monotonic_ns()
        for tap in taps.values():
            tap.received = 0
        revision = await lab.phase([last], phase)
        return {
            kind: [(at - began) / 1e6 for at in await tap.all(revision, count)] for kind, tap in taps.items()
        }

    await change("DRAINING")
    await change("SERVING")
    lab.turns.clear()
    for n in range(2 * times.changes):
        for kind, took in (await change(("DRAINING", "SERVING")[n % 2])).items():
            each[kind] += took
            lasts[kind].append(took[-1])
            sizes[kind].append(taps[kind].received / count)
    if lab.turns.lost_ms > LATE_MS:
        run.late.append(f"like real: the taps were without a processor for {lab.turns.lost_ms:.0f} ms")
    busy_ms = lab.turns.busy_ms
    await lab.kill()
    await lab.serve()
    for kind, took in (await change("DRAINING")).items():
        restarts[kind] = took[-1]
    with contextlib.suppress(ProcessLookupError):
        for child in lab.children:
            if child.name.startswith("real"):
                child.signal(signal.SIGTERM)
    made = []
    for what, unit, of in (
        ("change_ms", "ms", {k: statistics.median(v) for k, v in each.items()}),
        ("change_last_ms", "ms", {k: statistics.median(v) for k, v in lasts.items()}),
        ("change_bytes", "bytes", {k: statistics.median(v) for k, v in sizes.items()}),
        ("restart_ms", "ms", restarts),
    ):
        note = f"{count} real {of['real']:.4g} {unit}, {count} hollow {of['hollow']:.4g} {unit}"
        made += [
            Figure(name=f"hollow.like_real.{what}.{kind}", unit=unit, value=of[kind], note=note)
            for kind in ("real", "hollow")
        ]
        made.append(
            Figure(
                name=f"hollow.like_real.{what}.ratio",
                unit="hollow / real",
                value=of["hollow"] / max(1e-9, of["real"]),
                note=note,
            )
        )
    made.append(
        Figure(
            name="hollow.like_real.tap_busy_ms",
            unit="ms",
            value=busy_ms,
            note="the longest turn of the taps' process: by at most this a moment was read late",
        )
    )
    return made
