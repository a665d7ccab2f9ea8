"""One run: the processes of a scenario, the faults when they are due, and an end that leaves none."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import socket
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import msgspec

from burlshift_tools.emulator.random_streams import streams_for
from burlshift_tools.emulator.scenario import Span

from . import schedule
from .addresses import Block, take_block
from .agents import Agents
from .catalog_processes import ListService
from .child_processes import HOME, Child, Failed, PartChild, Starter, part_command
from .fault_actions import FaultActs
from .history import Begun, Ended, Event, Ready, Writer, now_us
from .parts import crowd, datagrams, discovery, relay, server
from .parts.clients import Arrival, Begin, ClientsPart, Settle
from .parts.part import punctual
from .parts.server import unix_ms
from .scenario import LabScenario, settle
from .watchers import Watchers

LEAD_S = 0.3  # from the last readiness to the first request
END_S = 5.0  # a part that has not ended by then is killed
# A part uses a fleet's random numbers, not linear algebra: the threads that numpy starts for that cost more.
PART_ENV = {"OPENBLAS_NUM_THREADS": "1", "OMP_NUM_THREADS": "1"}
OTHER_REVISION = 7  # of discovery's second address: its own count


class RunFile(msgspec.Struct, kw_only=True):
    """run.json: what the checkers need to know of the scenario besides the history."""

    name: str
    seed: int
    block: int
    begin_us: int  # of the clients' time
    end_us: int  # of it
    scenario: LabScenario
    servers: dict[str, tuple[str, int]]  # zone and cell
    schedule: list[str]


@dataclass(frozen=True, slots=True)
class Order:
    """What to run."""

    name: str
    span: Span
    seed: int
    length_s: float | None
    folder: Path
    tree: Path


def run_command(tree: Path, skewed: bool) -> list[str]:
    """What starts one agent, by the tree's deploy file. Raises Failed."""
    path = tree / "deploy" / "balancer.toml"
    try:
        command = str(tomllib.loads(path.read_text())["run"])
    except (OSError, tomllib.TOMLDecodeError, KeyError) as e:
        raise Failed(f"{path}: names no `run` ({e}); give the root of a checkout") from None
    if not (tree / ".venv" / "bin" / "python").exists():
        raise Failed(f"{tree}/.venv: is not there; carry out `build` of {path}")
    if skewed:
        own = command.replace("-m burlshift.agent", "-m burlshift_tools.faultlab.parts.skewed_agent")
        if own == command:
            raise Failed(f"{path}: `run` does not start the agent; faults of Unix time need that")
        command = own
    return ["/bin/sh", "-c", command]


class Rig:
    """Everything that runs."""

    def __init__(self, order: Order, progress: Callable[[float], None]) -> None:
        self.order, self.progress = order, progress
        self.day, self.s = settle(order.span, order.seed, order.length_s)
        self.acts = schedule.make(self.day, self.s, order.seed)
        self.plans = schedule.servers_in_all(self.day, self.acts)
        self.folder = order.folder
        self.starter = Starter()
        self.block: Block
        self.children: list[Child] = []
        self.discoveries: list[PartChild] = []
        self.list_service: ListService | None = None
        self.relays: list[PartChild] = []
        self.leader_relay: PartChild | None = None  # where the list service has followers
        self.watchers: Watchers | None = None
        self.datagrams: PartChild | None = None
        self.clients: list[PartChild] = []
        self.crowds: dict[int, PartChild] = {}  # by agent
        self.servers: dict[int, PartChild] = {}
        self.entries: dict[int, discovery.Entry] = {}
        self.lacking: set[int] = set()  # servers that the other address of discovery never names
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiters: set[asyncio.Task[None]] = set()
        self._lives: dict[str, int] = {}
        self._ending = False
        self._trouble: asyncio.Future[None]
        self.rng = streams_for(self.s.about, order.seed)("acts").rng

    # What parts and acts use

    def write(self, event: Event) -> None:
        self._writer.write(event)

    def life(self, name: str) -> int:
        """The number of the next process of that name."""
        self._lives[name] = self._lives.get(name, -1) + 1
        return self._lives[name]

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Something that goes on beside the schedule; if it fails, so does the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self._trouble.done():
            self._trouble.set_exception(cast(BaseException, task.exception()))

    def watch(self, child: Child, then: Callable[[int], Coroutine[Any, Any, None]] | None = None) -> None:
        """Write down the end of a process; a part of the rig that ends by itself ends the run."""

        async def wait() -> None:
            status = await child.process.wait()
            self.write(Ended(t=now_us(), who=child.name, life=child.life, status=status, asked=child.asked))
            if then is not None:
                await then(status)
            elif not child.asked and not self._ending and not self._trouble.done():
                self._trouble.set_exception(Failed(f"{child.name}: ended ({child.last_words()})"))

        task = asyncio.get_running_loop().create_task(wait())
        self._waiters.add(task)
        task.add_done_callback(self._waiters.discard)

    async def part(
        self, name: str, module: str, make: Callable[[int], msgspec.Struct], unix: int = 0
    ) -> PartChild:
        """A process of burlshift_tools.faultlab.parts, once it serves."""
        life = self.life(name)
        words = self.folder / "logs" / f"{name}.log"
        child = await self.starter.start(
            name, life, part_command(module), words, {**os.environ, **PART_ENV}, HOME, orders=True
        )
        self.children.append(child)
        began = now_us()
        self.write(Begun(t=began, who=name, life=life, pid=child.pid, unix_ms=unix))
        part = PartChild(child)
        await part.ready(make(life))
        self.write(Ready(t=now_us(), who=name, life=life, took_us=now_us() - began))
        self.watch(child)
        return part

    def common(self, name: str) -> dict[str, Any]:
        return {"name": name, "history": str(self.folder / "history.jsonl")}

    def callers(self) -> dict[str, tuple[str, int]]:
        return {self.block.caller(i): (f"a{i}", i) for i in range(len(self.day.agents))}

    async def start_server(self, j: int, cold: bool) -> None:
        """The process, and what discovery will say of it; not yet that it says so. One that is up stays."""
        if j in self.servers:
            return
        started = unix_ms() if cold else 0
        plan = self.plans[j]

        def make(life: int) -> server.ServerPart:
            return server.ServerPart(
                **self.common(f"s{j}"),
                listen=self.block.server(j),
                life=life,
                cold=cold,
                seed=self.order.seed,
                scenario=self.s,
                plan=plan,
                mean_work=self.day.mean_work,
                callers={ip: name for ip, (name, _) in self.callers().items()},
            )

        self.servers[j] = await self.part(f"s{j}", "server", make, unix=started)
        self.entries[j] = discovery.Entry(
            id=f"s{j}",
            number=j,
            locality=self.s.fleet.zones[plan.zone],
            flavor=plan.kind.name,
            cell=plan.cell,
            up_since_ms=started,
        )
        await self._reachable(j, True)

    async def stop_server(self, j: int) -> None:
        part = self.servers.pop(j, None)
        if part is not None:
            part.child.kill()
            await self._reachable(j, False)

    async def _reachable(self, j: int, up: bool) -> None:
        await asyncio.gather(*(r.order(relay.Up("servers", [f"s{j}"], up)) for r in self.relays))

    async def list_server(self, j: int, phase: str) -> None:
        """Discovery has noticed. What is gone does not drain any more."""
        if self.entries[j].phase == "DELETED" and phase == "DRAINING":
            return
        entry = self.entries[j] = msgspec.structs.replace(self.entries[j], phase=phase)
        if self.list_service is not None:
            return await self.list_service.set(j, phase)
        await asyncio.gather(
            *(
                d.order(discovery.Change([entry]))
                for k, d in enumerate(self.discoveries)
                if k == 0 or j not in self.lacking
            )
        )

    def later(self, seconds: float, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            await work()

        self.spawn(wait())

    async def start_discovery(self, k: int) -> None:
        """The first address has the whole list; the other may lack some of it, and counts by itself."""

        def make(life: int) -> discovery.DiscoveryPart:
            entries = [
                e
                for j, e in sorted(self.entries.items())
                if e.phase != "DELETED" and (k == 0 or j not in self.lacking)
            ]
            first = discovery.FIRST_REVISION if k == 0 else OTHER_REVISION
            return discovery.DiscoveryPart(
                **self.common(f"d{k}"),
                listen=self.block.discovery(k),
                block=self.block,
                callers=self.callers(),
                members=entries,
                revision=first + 100 * life,
            )

        part = await self.part(f"d{k}", "discovery", make)
        if k < len(self.discoveries):
            self.discoveries[k] = part
        else:
            self.discoveries.append(part)

    # The run

    async def run(self) -> None:
        """Play it. Whatever ends it, nothing that it started is left."""
        self._trouble = asyncio.get_running_loop().create_future()
        for sub in ("logs", "agents"):
            (self.folder / sub).mkdir(parents=True, exist_ok=True)
        self._writer = Writer(self.folder / "history.jsonl")
        held: socket.socket | None = None
        try:
            self.block, held = take_block()
            played = asyncio.get_running_loop().create_task(self._play())
            done, _ = await asyncio.wait({played, self._trouble}, return_when=asyncio.FIRST_COMPLETED)
            if self._trouble in done:
                played.cancel()
                await asyncio.wait({played})
                self._trouble.result()
            played.result()
        finally:
            self._ending = True
            with contextlib.suppress(UnboundLocalError):
                played.cancel()
            await asyncio.shield(self._end_all())
            if held is not None:
                held.close()
            self._writer.close()

    async def _play(self) -> None:
        agents = range(len(self.day.agents))
        skewed = any(act.what == "unix_time" for act in self.acts)
        self.agents = Agents(self, run_command(self.order.tree, skewed))
        self.faults = FaultActs(self)
        await asyncio.gather(*(self._relay(i) for i in agents))
        first = range(len(self.day.servers))
        await asyncio.gather(*(self.start_server(j, cold=False) for j in first))
        self.faults.choose_lacking()
        if self.s.list_service:
            self.list_service = ListService(self)
            await self.list_service.start()
            await self.list_service.put_all()
            self.spawn(self.list_service.renew_all())
            if self.s.followers:
                await self._leader_relay()
                await asyncio.gather(*(self.list_service.start_follower(k) for k in range(self.s.followers)))
                self.watchers = Watchers(self)
                self.watchers.start()
        else:
            await self.start_discovery(0)
        if any(act.what == "reload" for act in self.acts):
            await self.start_discovery(1)
        if self.s.allow.peers:
            self.datagrams = await self.part(
                "u0",
                "datagrams",
                lambda _life: datagrams.DatagramsPart(
                    **self.common("u0"), block=self.block, agents=len(agents), seed=self.order.seed
                ),
            )
        self.clients = list(await asyncio.gather(*(self._clients(i) for i in agents)))
        hostile = {i for act in self.acts if act.what == "hostile" for i in act.agents}
        self.crowds = {i: await self._crowd(i) for i in sorted(hostile)}
        await asyncio.gather(*(self.agents.start(i) for i in agents))
        self.spawn(self.agents.limit_memory())
        gc.collect()
        gc.freeze()  # a collection over all that the start has made would take the rig's turn
        self.spawn(punctual("rig", self))
        begin = now_us() + int(LEAD_S * 1e6)
        length = int(self.s.run.length_s * 1e6)
        self._describe(begin, begin + length)
        await asyncio.gather(*(c.order(Begin(begin)) for c in self.clients))
        self.spawn(self.agents.poll())
        self.spawn(self._show(begin, length))
        for act in self.acts:
            await asyncio.sleep(max(0.0, (begin + act.at_us - now_us()) / 1e6))
            await self.faults.carry_out(act)
        await asyncio.sleep(max(0.0, (begin + length - now_us()) / 1e6))
        await asyncio.gather(*(c.order(Settle()) for c in self.clients))
        await self.faults.settled()
        if self.list_service is not None:
            await self.list_service.note_what_is_kept()
        await self.agents.finish()
        self._ending = True

    async def _relay(self, i: int) -> None:
        b = self.block
        routes = [relay.Route(path="clients", at=b.front(i), to=b.agent(i), source=b.caller(i))]
        routes += [
            relay.Route(
                path="discovery", server=f"d{k}", at=b.asks(i, k), to=b.discovery(k), source=b.caller(i)
            )
            for k in range(max(2, 1 + self.s.followers))
        ]
        routes += [
            relay.Route(path="servers", server=f"s{j}", at=b.sees(i, j), to=b.server(j), source=b.caller(i))
            for j in range(len(self.plans))
        ]
        part = await self.part(
            f"r{i}",
            "relay",
            lambda _life: relay.RelayPart(
                **self.common(f"r{i}"), agent=f"a{i}", routes=routes, seed=self.order.seed * 1000 + i
            ),
        )
        self.relays.append(part)
        self.relays.sort(key=lambda p: int(p.child.name[1:]))
        late = [f"s{j}" for j in range(len(self.day.servers), len(self.plans))]
        if late:
            await part.order(relay.Up("servers", late, False))

    async def _leader_relay(self) -> None:
        """Between the list service and its followers."""
        b = self.block
        routes = [
            relay.Route(path="leader", at=b.leader(k), to=b.discovery(0), source=b.follower(k))
            for k in range(self.s.followers)
        ]
        self.leader_relay = await self.part(
            "q0",
            "relay",
            lambda _life: relay.RelayPart(**self.common("q0"), routes=routes, seed=self.order.seed),
        )

    async def _clients(self, i: int) -> PartChild:
        a = self.day.arrivals
        mine = (a.agent == i).nonzero()[0].tolist()
        arrivals = [Arrival(int(a.at[n]), int(a.cls[n]), int(a.key[n]), int(a.work[n])) for n in mine]
        return await self.part(
            f"c{i}",
            "clients",
            lambda _life: ClientsPart(
                **self.common(f"c{i}"),
                agent=f"a{i}",
                address=self.block.front(i),
                classes=list(self.s.cls),
                clients=self.s.clients,
                arrivals=arrivals,
                seed=self.order.seed * 1000 + i,
                front=any(act.what == "lame_duck" for act in self.acts),
                max_retry_after_ms=self.s.allow.max_retry_after_ms,
            ),
        )

    async def _crowd(self, i: int) -> PartChild:
        return await self.part(
            f"h{i}",
            "crowd",
            lambda _life: crowd.CrowdPart(
                **self.common(f"h{i}"),
                address=self.block.agent(i),
                classes=list(self.s.cls),
                seed=self.order.seed * 1000 + i,
            ),
        )

    def _describe(self, begin: int, end: int) -> None:
        servers = {f"s{j}": (self.s.fleet.zones[p.zone], p.cell) for j, p in enumerate(self.plans)}
        made = RunFile(
            name=self.order.name,
            seed=self.order.seed,
            block=self.block.block,
            begin_us=begin,
            end_us=end,
            scenario=self.s,
            servers=servers,
            schedule=[a.line() for a in self.acts],
        )
        (self.folder / "run.json").write_bytes(msgspec.json.format(msgspec.json.encode(made)))

    async def _show(self, begin: int, length: int) -> None:
        while True:
            self.progress(min(1.0, max(0.0, (now_us() - begin) / length)))
            await asyncio.sleep(0.2)

    async def _end_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.watchers is not None:
            self.watchers.stop()
        if hasattr(self, "faults"):
            self.faults.undo_all()
        parts = [
            *self.clients,
            *self.crowds.values(),
            *self.relays,
            *self.servers.values(),
            *self.discoveries,
        ]
        for part in [*parts, *(one for one in (self.datagrams, self.leader_relay) if one is not None)]:
            part.child.signal(signal.SIGCONT)
            part.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                await asyncio.gather(*(p.child.process.wait() for p in parts))
        for child in self.children:
            if child.alive:
                child.kill()
        await asyncio.gather(*(child.process.wait() for child in self.children))
        if self._waiters:
            await asyncio.wait(self._waiters, timeout=1.0)
