"""The measurements at one size of the fleet, one after the other, each against the same service."""

from __future__ import annotations

import asyncio
import signal
import statistics
import time
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any

import msgspec
import numpy as np

from burlshift.agent.discovery_call import PATH

from .fleet_lab import Caller, Lab, processor_s, resident_mb
from .fleet_orders import Move, Renew, Renewed, Seen, Start, Until
from .fleet_relay import Cut, relayed
from .fleet_times import Times
from .fleet_turns import LATE_MS
from .slopes import Run

ZONE, REGION = 12, 5  # a zone has one of so many members, a region one of so many
LIMIT_S = 50.0  # whoever is not current by then never will be


class Saw(msgspec.Struct, kw_only=True):
    """What all processes saw of one thing, times in ms from when it began."""

    arrived: list[float]  # of the followers
    decided: list[float]  # of those that decide: taken in
    bytes: float  # an agent
    total: float
    wholes: int
    changes: int
    failed: int
    busy_ms: float

    @property
    def last(self) -> float:
        return max(self.arrived)


class Steps:
    """Of one Lab; `values` are its figures by name."""

    def __init__(self, lab: Lab, times: Times, run: Run) -> None:
        self.lab, self.times, self.run = lab, times, run
        self.values: dict[str, float] = {}
        self._cpu = 0.0
        self._late: dict[str, list[tuple[float, str]]] = {}  # by what was measured

    def _note_late(self, what: str, lost: Sequence[tuple[float, str]]) -> None:
        worst = max([*lost, (self.lab.turns.lost_ms, "the parent")])
        if worst[0] > LATE_MS:
            self._late.setdefault(what, []).append(worst)

    def late(self) -> list[str]:
        """Why the figures do not count, a line for each of what was measured."""
        return [
            f"{self.lab.size} agents, {what}: {max(times)[1]} was without a processor for "
            f"{max(times)[0]:.0f} ms" + (f", and {len(times) - 1} times more" if len(times) > 1 else "")
            for what, times in self._late.items()
        ]

    async def _begin(self) -> int:
        await self.lab.clear()
        self._cpu = processor_s(self.lab.pid)
        return time.monotonic_ns()

    async def _service_ms(self) -> float:
        """Processor time of the service since _begin, until all watch again."""
        await self.lab.settled()
        return (processor_s(self.lab.pid) - self._cpu) * 1000

    async def _until(self, what: str, began_ns: int, revision: int, whole: bool = False) -> Saw:
        lab, order = self.lab, Until(revision, LIMIT_S, whole)
        seen = await asyncio.gather(*(c.ask(order, Seen, LIMIT_S + 10) for c in lab.everyone))
        crowds = seen[: len(lab.crowds)]
        arrived = [at for s in crowds for at in s.arrived]
        missing = sum(at == 0 for s in seen for at in s.arrived)
        if missing:
            self.run.late.append(f"{lab.size} agents, {what}: {missing} had not heard after {LIMIT_S:g} s")
        lost = [(s.lost_ms, c.child.name) for c, s in zip(lab.everyone, seen, strict=True)]
        self._note_late(what, lost)
        return Saw(
            arrived=[(at - began_ns) / 1e6 for at in arrived if at] or [LIMIT_S * 1000],
            decided=[(at - began_ns) / 1e6 for s in seen[len(crowds) :] for at in s.taken if at],
            bytes=sum(b for s in seen for b in s.received) / lab.size,
            total=sum(b for s in seen for b in s.received),
            wholes=sum(s.wholes for s in seen),
            changes=sum(s.changes for s in seen),
            failed=sum(s.failed for s in seen),
            busy_ms=max(s.busy_ms for s in crowds),
        )

    # The steps

    async def all(self, longest: bool) -> dict[str, float]:
        lab, t = self.lab, self.times
        steps: list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]] = [
            ("all connect", self.connect),
            ("at rest", self.rest),
            ("one member", self.one),
            ("zone and region", self.many),
            ("zone, one by one", self.one_by_one),
            ("whole lists", self.storm),
            ("restart", self.restart),
            *([(f"paused {t.pause_s:g} s", self.pause)] if longest else []),
            ("region cut off", partial(self.cut, t.longest_cut_s if longest else t.cut_s)),
            ("leases", self.leases),
        ]
        for name, work in steps:
            began = time.monotonic()
            await work()
            self.run.say(f"  {lab.size} agents: {name}: {time.monotonic() - began:.1f} s")
        self.run.late += self.late()
        self.values["tool_mb"] = lab.tool_mb()
        return self.values

    async def connect(self) -> None:
        """Paced by the tool: nobody's figure."""
        self.values["service_mb_bare"] = resident_mb(self.lab.pid)
        order = Start(self.lab.size / self.times.connects)
        await asyncio.gather(*(c.ask(order, Seen) for c in self.lab.everyone))
        await self._told_of_one("connected")
        self.lab.tool_mb()

    async def _told_of_one(self, what: str) -> None:
        """One change that all are to have: they all watch, and are current."""
        began = await self._begin()
        await self._until(what, began, await self._set(0, "DRAINING"))
        await self._until(what, began, await self._set(0, "SERVING"))
        await self.lab.settled()

    async def _set(self, number: int, phase: str) -> int:
        return await self.lab.phase([number], phase)

    async def rest(self) -> None:
        began = await self._begin()
        cpu = processor_s(self.lab.pid)
        await asyncio.sleep(self.times.idle_s)
        span_s = (time.monotonic_ns() - began) / 1e9
        used_s = processor_s(self.lab.pid) - cpu
        seen = await asyncio.gather(*(c.ask(Until(0, 0.0), Seen) for c in self.lab.everyone))
        v = self.values
        v["rest_service_cores"] = used_s / span_s
        v["rest_bytes"] = sum(b for s in seen for b in s.received) / self.lab.size / span_s
        v["service_mb"] = resident_mb(self.lab.pid)

    async def one(self) -> None:
        lasts, decided, everyone, sizes, cpu, busy = [], [], list[float](), [], [], []
        for n in range(self.times.changes):
            began = await self._begin()
            number, phase = n // 2 % self.lab.size, ("DRAINING", "SERVING")[n % 2]
            saw = await self._until("one member", began, await self._set(number, phase))
            lasts.append(saw.last)
            decided.append(max(saw.decided, default=0.0))
            everyone += saw.arrived
            sizes.append(saw.bytes)
            cpu.append(await self._service_ms())
            busy.append(saw.busy_ms)
        self.values |= {
            "one_last_ms": statistics.median(lasts),
            "one_last_worst_ms": max(lasts),
            "one_p99_ms": float(np.percentile(everyone, 99)),
            "one_bytes": statistics.median(sizes),
            "one_service_ms": statistics.mean(cpu),
            "one_decided_ms": statistics.median(decided),
            "one_readers_busy_ms": statistics.median(busy),
        }

    async def many(self) -> None:
        """A zone's and a region's worth of members, in one batch."""
        for name, share in (("zone", ZONE), ("region", REGION)):
            numbers = range(max(1, self.lab.size // share))
            saws, cpu = [], []
            for n in range(self.times.batches):
                began = await self._begin()
                revision = await self.lab.phase(numbers, ("DRAINING", "SERVING")[n % 2])
                saws.append(await self._until(name, began, revision))
                cpu.append(await self._service_ms())
            self.values |= {
                f"{name}_last_ms": statistics.median(s.last for s in saws),
                f"{name}_bytes": statistics.median(s.bytes for s in saws),
                f"{name}_service_ms": statistics.mean(cpu),
            }

    async def one_by_one(self) -> None:
        """As leases run out: each a revision, the next as soon as the one before is on disk."""
        numbers = range(max(1, self.lab.size // ZONE))
        began, revision = await self._begin(), 0
        for number in numbers:
            revision = await self._set(number, "DRAINING")
        said_ms = (time.monotonic_ns() - began) / 1e6
        saw = await self._until("zone, one by one", began, revision)
        self.values |= {
            "zone_single_last_ms": saw.last,
            "zone_single_said_ms": said_ms,
            "zone_single_bytes": saw.bytes,
            "zone_single_service_ms": await self._service_ms(),
            "zone_single_answers": saw.changes / self.lab.size,
        }
        revision = await self.lab.phase(numbers, "SERVING")
        await self._until("zone back", began, revision)
        await self.lab.settled()

    async def storm(self) -> None:
        """All ask for the whole list at once, over new connections."""
        doc = Caller(self.lab.at)
        listed = await doc.call("GET", PATH)
        doc.close()
        self.values["whole_bytes"] = len(msgspec.json.encode(listed))
        saws, cpu = [], []
        for _ in range(self.times.storms):
            began = await self._begin()
            await asyncio.gather(*(c.ask(Move(self.lab.at, 0.0), Seen) for c in self.lab.everyone))
            saws.append(await self._until("whole lists", began, 1, whole=True))
            cpu.append(await self._service_ms())
            await self._told_of_one("whole lists")
        self.values |= {
            "storm_last_ms": statistics.median(s.last for s in saws),
            "storm_total_mb": statistics.median(s.total / 1e6 for s in saws),
            "storm_service_ms": statistics.mean(cpu),
            "storm_failed": statistics.mean(s.failed for s in saws),
        }

    async def restart(self) -> None:
        """Killed and started on the same data, under all who watch; a change as soon as it answers."""
        lab = self.lab
        began = await self._begin()
        await lab.kill()
        await lab.serve()
        up_ms = (time.monotonic_ns() - began) / 1e6
        lab.look()
        self._cpu = 0.0
        saw = await self._until("restart", began, await self._set(1, "DRAINING"))
        self.values |= {
            "restart_up_ms": up_ms,
            "restart_last_ms": saw.last - up_ms,
            "restart_bytes": saw.bytes,
            "restart_wholes": saw.wholes,
            "restart_service_ms": await self._service_ms(),
            "restart_longest_turn_ms": lab.longest_ms,
        }
        await self._set(1, "SERVING")
        await lab.settled()

    async def pause(self) -> None:
        """Stopped with SIGSTOP, a change just before and one just after."""
        lab = self.lab
        began = await self._begin()
        await self._set(2, "DRAINING")
        assert lab.service is not None
        lab.service.signal(signal.SIGSTOP)
        await asyncio.sleep(self.times.pause_s)
        lab.look()
        began = time.monotonic_ns()
        lab.service.signal(signal.SIGCONT)
        saw = await self._until("paused", began, await self._set(2, "SERVING"))
        self.values |= {
            "pause_last_ms": saw.last,
            "pause_bytes": saw.bytes,
            "pause_wholes": saw.wholes,
            "pause_failed": saw.failed,
            "pause_service_ms": await self._service_ms(),
            "pause_longest_turn_ms": lab.longest_ms,
        }

    async def cut(self, span_s: float) -> None:
        """Nothing passes between the service and a fifth of its readers, and nothing says so."""
        lab, crowd = self.lab, self.lab.crowds[0]
        async with relayed(lab) as relay:
            count = max(1, lab.size // REGION)
            await crowd.ask(Move(relay.at, count / self.times.connects), Seen)
            await self._told_of_one("relayed")
            await self._begin()
            await relay.order(Cut(True))
            steps = self.times.cut_changes
            for n in range(steps):
                await self._set(n // 2 % lab.size, ("DRAINING", "SERVING")[n % 2])
                await asyncio.sleep(span_s / steps)
            began = time.monotonic_ns()
            cpu = processor_s(lab.pid)
            await relay.order(Cut(False))
            revision = await self._set(3, "DRAINING")
            order = Until(revision, LIMIT_S)
            seen = await crowd.ask(order, Seen, LIMIT_S + 10)
            await self._until("region joined", began, revision)
            joined = [(at - began) / 1e6 for at in seen.arrived if at] or [LIMIT_S * 1000]
            self.values |= {
                "joined_last_ms": max(joined),
                "joined_p50_ms": statistics.median(joined),
                "joined_bytes": sum(seen.received) / count,
                "joined_wholes": seen.wholes,
                "joined_service_ms": (processor_s(lab.pid) - cpu) * 1000,
            }
            await self._set(3, "SERVING")
            await crowd.ask(Move(lab.at, count / self.times.connects), Seen)
            await self._told_of_one("region back")

    async def leases(self) -> None:
        """As many leases as members, renewed each third of their time, over a connection each."""
        lab, t = self.lab, self.times
        began = await self._begin()
        saw = await self._until("all members", began, await lab.fill(lab.size, int(t.ttl_s * 1000)))
        await self._begin()
        began = time.monotonic_ns()
        n = len(lab.crowds)
        names = [f"meter-{i:05d}" for i in range(lab.size)]
        orders = [Renew(at=lab.at, ids=names[i::n], every_s=t.ttl_s / 3, for_s=t.renew_s) for i in range(n)]
        made = await asyncio.gather(*(c.ask(o, Renewed) for c, o in zip(lab.crowds, orders, strict=True)))
        span_s, cpu = (time.monotonic_ns() - began) / 1e9, processor_s(lab.pid) - self._cpu
        took = [ms for m in made for ms in m.took_ms] or [0.0]
        self._note_late("leases", [(m.lost_ms, c.child.name) for c, m in zip(lab.crowds, made, strict=True)])
        self.values |= {
            "all_last_ms": saw.last,
            "all_bytes": saw.bytes,
            "leases_service_cores": cpu / span_s,
            "leases_answers": len(took) / span_s,
            "leases_p50_ms": float(np.percentile(took, 50)),
            "leases_p99_ms": float(np.percentile(took, 99)),
            "leases_refused": float(sum(m.refused + m.unanswered for m in made)),
        }


def shares(size: int, processes: int, deciding: int) -> Sequence[int]:
    """Agents of each process of followers: the first has a region's worth of the fleet."""
    region = max(1, size // REGION)
    left, others = size - deciding - region, max(1, processes - 1)
    return [region, *(left // others + (i < left % others) for i in range(others))]
