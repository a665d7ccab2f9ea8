"""Meter servers: processor sharing among slots, a waiting room, cold starts, key caches, load reports.

A server of c cores and speed v that works on n jobs gives each v * min(1, c / n) of a core, times what
crowding, coldness, neighbours and a full connection table leave. Egalitarian processor sharing is kept in
virtual work (as in weighted fair queueing's virtual time; Parekh and Gallager 1993): `given` is the work each
job has had since the server began, and a job ends when `given` reaches its mark.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, Protocol

from .random_streams import Stream

if TYPE_CHECKING:
    from .scenario import Scenario, ServerPlan

COLD_STEP_US = 250_000  # a cold server's speed is looked at this often
FALL_SLACK = 8.0  # mean requests of work that a cold server stands beyond its budget, for chance


class Timeline(Protocol):
    """The clock that a server lives by: the emulator's engine, or one that follows the real time."""

    @property
    def now(self) -> int:
        """us"""

    def at(self, time: int, call: Callable[..., None], *args: Any) -> None: ...


class Job(Protocol):
    """What a server works on: an attempt, or a deep probe."""

    work: float  # us on a core of speed 1; what it really takes is set when the server takes it
    key: int
    mark: float  # of `given`, at which it ends
    place: int  # WAITING, WORKING or OVER

    def served(self, server: Server, error: bool) -> None: ...

    def lost(self, server: Server) -> None:
        """The server died or fell over with it."""


NOWHERE, WAITING, WORKING, OVER = range(4)


class Server:
    """One process on one machine; a new process under the same id is the same object, started again."""

    def __init__(
        self, id: str, plan: ServerPlan, day: Scenario, engine: Timeline, stream: Stream, mean_work: float
    ) -> None:
        self.id, self.plan, self.kind, self.zone, self.cell = id, plan, plan.kind, plan.zone, plan.cell
        self.engine, self.stream, self.day = engine, stream, day
        self.cores = plan.kind.cores
        self.slots = max(1, round(plan.kind.slots_per_core * self.cores))
        self.room = round(plan.kind.queue_per_core * self.cores)
        self.knee = plan.kind.thrash_at * self.cores
        self.max_connections = round(day.connections.cap_per_core * self.cores)
        self.max_probes = max(1, round(day.probing.cap_per_core * self.cores))
        self.mean_work = mean_work
        self.up = True
        self.draining = False
        self.fallen = False
        self.started_at = 0  # 0: long past
        self.taken, self.slower, self.errors, self.silent = 0.0, 1.0, 0.0, False  # by troubles
        self.paused = False
        self.connections = 0
        self.probes = 0
        self.working: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        self.gone_waiting = 0  # of those that wait, withdrawn
        self.in_slots = 0
        self.held = 0
        self.given = 0.0
        self.last = engine.now
        self.done_since_start = 0.0  # us of work
        self.rate = 0.0  # of `given`, us a us
        self.next_end = math.inf
        self._order = 0
        self.keys: OrderedDict[int, int] = OrderedDict()
        self.pressure: deque[tuple[int, float, bool]] = deque()
        self.pressure_sum = 0.0
        self.fell_by: float | None = None  # share of the pressure that came from agents who knew
        period = int(day.report.period_ms * 1000)
        self.period = period
        self.sample_at = engine.now + int(stream.uniform() * period)
        self.samples: deque[tuple[int, float, float]] = deque(maxlen=4)
        self.busy = 0.0  # core-us since the last sample
        self.report: tuple[float, ...] = tuple(0.0 for _ in day.report.fields)
        self.rerate()
        if plan.kind.pause_ms > 0:
            engine.at(engine.now + int(stream.exponential(plan.kind.pause_every_s * 1e6)), self._pause)

    # Speed

    def warmth(self) -> float:
        """Share of its capacity that it has now, by its own ramp."""
        if not self.started_at:
            return 1.0
        age = self.engine.now - self.started_at
        progress = age / (self.day.rules.warm_s * 1e6)
        if self.kind.warm_by == "time":
            progress = max(progress, age / (self.kind.cold_s * 1e6))
        else:
            # Kept busy all the while it is warm after cold_s.
            needed = self.kind.cold_s * 1e6 * self.cores * self.plan.speed * (1 + self.kind.cold_from) / 2
            progress = max(progress, self.done_since_start / needed)
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * progress)

    def capacity(self) -> float:
        """us of work it can do in a us now, crowding left out."""
        full = self.connections / self.max_connections
        left = 1.0 - self.day.connections.full_tax * min(1.0, full)
        return self.cores * self.plan.speed * (1 - self.taken) / self.slower * self.warmth() * left

    def rerate(self) -> None:
        """Work out anew how fast each job goes, after the work so far has been booked."""
        n = self.in_slots
        if self.paused or not self.up or self.fallen or not n:
            self.rate = 0.0
            return
        crowd = 1.0
        if self.held > self.knee:
            crowd = (1.0 - self.kind.thrash) ** math.log2(self.held / self.knee)
        self.rate = self.capacity() / self.cores * crowd * min(1.0, self.cores / n)

    def book(self) -> None:
        """Bring `given`, reports and the work done up to now."""
        now = self.engine.now
        while self.sample_at <= now:
            at = self.sample_at
            self.busy += min(self.in_slots, self.cores) * (at - max(self.last, at - self.period))
            util = min(1.0, self.busy / (self.cores * self.period)) if not self.paused else 1.0
            self.samples.append((at, util, float(self.held)))
            self.busy = 0.0
            self.sample_at += self.period
            if self.sample_at + 8 * self.period < now:  # long unasked: nothing changed meanwhile
                self.sample_at += (now - self.sample_at) // self.period * self.period
        spent = now - self.last
        if spent:
            step = self.rate * spent
            self.given += step
            self.done_since_start += step * self.in_slots
            since = min(spent, now - (self.sample_at - self.period))
            self.busy += min(self.in_slots, self.cores) * since
            self.last = now

    def load_report(self) -> tuple[float, ...]:
        """What an answer tells now: refreshed now and then, late, and a little noisy."""
        self.book()
        delay = int(self.day.report.delay_ms * 1000)
        while self.samples and self.samples[0][0] + delay <= self.engine.now:
            _, util, held = self.samples.popleft()
            noise = self.day.report.noise
            values = {
                "util": util * (1 + noise * self.stream.normal()),
                "inflight": held * (1 + noise * self.stream.normal()),
                "eps": 0.0,
            }  # errors are rare here, and the decisions do not look at their rate
            self.report = tuple(max(0.0, values[f]) for f in self.day.report.fields)
        return self.report

    # Work

    def take(self, job: Job, informed: bool) -> bool:
        """Take a job into a slot or the waiting room; False if it is turned away unseen."""
        self.book()
        if self.started_at:
            self._press(job.work, informed)
        if not self.up or self.fallen:
            return False
        full = self.in_slots >= self.slots and len(self.waiting) - self.gone_waiting >= self.room
        if self.draining or full:
            return False
        self.held += 1
        if self.in_slots < self.slots:
            self._begin(job)
        else:
            job.place = WAITING
            self.waiting.append(job)
        self.rerate()
        self._aim()
        return True

    def _begin(self, job: Job) -> None:
        if job.key:
            job.work *= 1 - self._known(job.key)
        job.mark = self.given + job.work
        job.place = WORKING
        self.in_slots += 1
        self._order += 1
        heappush(self.working, (job.mark, self._order, job))

    def _known(self, key: int) -> float:
        """Share of the work saved, and remember the key."""
        cache, now = self.day.cache, self.engine.now
        if cache.gain <= 0:
            return 0.0
        met = self.keys.pop(key, None)
        self.keys[key] = now
        if len(self.keys) > cache.keys_per_core * self.cores:
            self.keys.popitem(last=False)
        return cache.gain if met is not None and now - met <= cache.seconds * 1e6 else 0.0

    def _aim(self) -> None:
        """Have the next end looked at when it is due; one call that comes too early only looks again."""
        while self.working and self.working[0][2].place == OVER:
            heappop(self.working)
        if not self.working or not self.rate:
            return
        due = self.engine.now + max(0.0, (self.working[0][0] - self.given) / self.rate)
        if due < self.next_end:
            self.next_end = due
            self.engine.at(math.ceil(due), self._end)

    def _end(self) -> None:
        now = self.engine.now
        if now < self.next_end:
            return  # a later call stands for this one
        self.next_end = math.inf
        self.book()
        over: list[Job] = []
        # What is left is under the clock's grain.
        while self.working and self.working[0][0] <= self.given + 1e-6 + self.rate:
            job = heappop(self.working)[2]
            if job.place == WORKING:
                job.place = OVER
                self.in_slots -= 1
                self.held -= 1
                over.append(job)
        self._fill()
        self.rerate()
        self._aim()
        for job in over:
            rate = min(1.0, self.kind.error_rate + self.errors)
            job.served(self, rate > 0 and self.stream.uniform() < rate)

    def _fill(self) -> None:
        while self.in_slots < self.slots and self.waiting:
            job = self.waiting.popleft()
            if job.place == OVER:
                self.gone_waiting -= 1
            else:
                self._begin(job)

    def withdraw(self, job: Job) -> float:
        """A client no longer waits: waiting work goes, running work where the kind stops it.

        Returns the share of the job's work that was done or will be, 0 to 1.
        """
        self.book()
        if job.place == WAITING and self.kind.cancel != "none":
            job.place = OVER
            self.gone_waiting += 1
            self.held -= 1
            return 0.0
        if job.place == WORKING and self.kind.cancel == "all":
            job.place = OVER
            self.in_slots -= 1
            self.held -= 1
            share = 1 - max(0.0, job.mark - self.given) / max(job.work, 1e-9)
            self._fill()
            self.rerate()
            self._aim()
            return share
        return 1.0

    # Life

    def _press(self, work: float, informed: bool) -> None:
        """A cold server falls over when more comes within the window than the multiple of what it can do."""
        if self.warmth() >= 1.0 or self.fallen:
            return
        now, rules = self.engine.now, self.day.rules
        window = int(rules.fall_ms * 1000)
        self.pressure.append((now, work, informed))
        self.pressure_sum += work
        while self.pressure[0][0] <= now - window:
            self.pressure_sum -= self.pressure.popleft()[1]
        budget = rules.fall_multiple * self.capacity() * window + FALL_SLACK * self.mean_work
        if self.pressure_sum > budget:
            known = sum(w for _, w, i in self.pressure if i)
            self.fell_by = known / self.pressure_sum
            self.fallen = True
            self._lose_all()

    def _lose_all(self) -> None:
        jobs = [j for _, _, j in self.working if j.place == WORKING]
        jobs += [j for j in self.waiting if j.place == WAITING]
        self.working.clear()
        self.waiting.clear()
        self.in_slots = self.held = self.gone_waiting = self.connections = 0
        self.rerate()
        for job in jobs:
            job.place = OVER
            job.lost(self)

    def stop(self) -> None:
        self.book()
        self.up = False
        self._lose_all()

    def start(self) -> None:
        """A new process: cold, with nothing remembered."""
        self.book()
        self.up, self.draining, self.fallen = True, False, False
        self.started_at = self.engine.now
        self.done_since_start = 0.0
        self.keys.clear()
        self.pressure.clear()
        self.pressure_sum = 0.0
        self._warm()

    def _warm(self) -> None:
        if self.up and self.started_at:
            self.change()
            if self.warmth() < 1.0:
                self.engine.at(self.engine.now + COLD_STEP_US, self._warm)

    def change(self) -> None:
        """Something outside changed its speed."""
        self.book()
        self.rerate()
        self._aim()

    def _pause(self) -> None:
        """A stop of the whole process, longer the fuller it is."""
        now, kind = self.engine.now, self.kind
        if self.up:
            crowd = 1 + kind.pause_grow * min(1.0, self.in_slots / self.slots)
            self.book()
            self.paused = True
            self.change()
            self.engine.at(now + int(kind.pause_ms * 1000 * crowd), self._resume)
        self.engine.at(now + int(self.stream.exponential(kind.pause_every_s * 1e6)), self._pause)

    def _resume(self) -> None:
        self.book()
        self.paused = False
        self.change()
