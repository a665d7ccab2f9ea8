"""Carries out the schedule: each kind of fault, how it begins and how it ends."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from . import disk
from . import faults_schema as faults
from .child_processes import HOME, Child, part_command, tethered
from .history import Fault, Ready, now_us
from .parts import clients, crowd, datagrams, discovery, relay, server
from .schedule import Act

if TYPE_CHECKING:
    from .rig import Rig

PING_S = 6.0  # a new process must say yes by then
LOOK_S = 0.05


class FaultActs:
    """Knows what is in force, so that all of it can be undone."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._undo: dict[tuple[int, str], Callable[[], None]] = {}
        self._underway: set[asyncio.Task[None]] = set()
        self._kinds: dict[type, Callable[[Act, Any], Coroutine[Any, Any, None]]] = {
            faults.Link: self._link,
            faults.Reset: self._reset,
            faults.HalfOpen: self._half_open,
            faults.Pause: self._pause,
            faults.Kill: self._kill,
            faults.Descriptors: self._descriptors,
            faults.Busy: self._busy,
            faults.UnixTime: self._unix_time,
            faults.Disk: self._disk,
            faults.Lists: self._lists,
            faults.Reload: self._reload,
            faults.Upgrade: self._upgrade,
            faults.LameDuck: self._lame_duck,
            faults.Detach: self._detach,
            faults.Spoilt: self._spoilt,
            faults.Lie: self._lie,
            faults.HoldUp: self._hold_up,
            faults.ShortIdle: self._short_idle,
            faults.SlowAccept: self._slow_accept,
            faults.Hostile: self._hostile,
            **dict.fromkeys(faults.HABITS, self._habit),
        }

    async def carry_out(self, act: Act) -> None:
        """What takes its time goes on beside the schedule."""
        if act.fault is None:
            self._note(act)
            return await self._on_servers(act)
        kind = self._kinds[type(act.fault)]

        async def whole() -> None:
            if act.on:
                self._note(act)
            await kind(act, act.fault)
            if not act.on or not act.fault or not act.fault.len_s:
                self._note(act, on=False)

        task = asyncio.get_running_loop().create_task(whole())
        self._underway.add(task)
        task.add_done_callback(self._underway.discard)
        self._rig.spawn(_join(task))

    async def settled(self) -> None:
        """All that was begun has come to its end."""
        if self._underway:
            await asyncio.wait(self._underway)

    def undo_all(self) -> None:
        for undo in list(self._undo.values()):
            with contextlib.suppress(OSError):
                undo()
        self._undo.clear()

    def choose_lacking(self) -> None:
        """Which servers the other address of discovery never names."""
        reloads = [a.fault for a in self._rig.acts if isinstance(a.fault, faults.Reload)]
        share = max((fault.lacks for fault in reloads), default=0.0)
        n = len(self._rig.day.servers)
        order = self._rig.rng.permutation(n).tolist()
        self._rig.lacking = set(order[: round(share * n)])

    def _note(self, act: Act, on: bool | None = None) -> None:
        detail = msgspec.to_builtins(act.fault) if act.fault is not None else dict(act.values)
        self._rig.write(
            Fault(
                t=now_us(),
                who="rig",
                kind=act.what,
                on=act.on if on is None else on,
                number=act.number,
                agents=[f"a{i}" for i in act.agents],
                servers=[f"s{j}" for j in act.servers],
                path=str(getattr(act.fault, "path", "")),
                detail=detail,
            )
        )

    # Servers, as the emulator's troubles have them

    async def _on_servers(self, act: Act) -> None:
        rig, told = self._rig, self._rig.s.discovery
        for j in act.servers:
            if act.what == "set":
                if j in rig.servers:
                    await rig.servers[j].order(msgspec.convert(act.values, server.Set))
            elif act.what == "drain":
                if j in rig.servers:  # another fault may have it down
                    await rig.servers[j].order(server.Set(draining=True))
                rig.later(told.add_s, partial(rig.list_server, j, "DRAINING"))
            elif act.what == "stop":
                await rig.stop_server(j)
                rig.later(told.notice_s, partial(self._gone, j))
            else:
                await rig.start_server(j, cold=True)
                rig.later(told.add_s, partial(rig.list_server, j, "SERVING"))

    async def _gone(self, j: int) -> None:
        if j not in self._rig.servers:  # it may have come back before anyone noticed
            await self._rig.list_server(j, "DELETED")

    # The network

    async def _link(self, act: Act, fault: faults.Link) -> None:
        rig = self._rig
        if fault.path == "peers":
            if rig.datagrams is not None:
                await rig.datagrams.order(
                    datagrams.Shape(act.number, fault, list(act.agents))
                    if act.on
                    else datagrams.Clear(act.number)
                )
            return
        names = [f"s{j}" for j in act.servers]
        order = relay.Shape(act.number, fault, names) if act.on else relay.Clear(act.number)
        if fault.path == "leader":
            assert rig.leader_relay is not None  # the scenario was checked for it
            return await rig.leader_relay.order(order)
        await self._at_relays(act, order)

    async def _lie(self, act: Act, fault: faults.Lie) -> None:
        assert self._rig.datagrams is not None  # the scenario was checked for it
        await self._rig.datagrams.order(datagrams.Liars(list(act.agents) if act.on else []))

    async def _at_relays(self, act: Act, order: msgspec.Struct) -> None:
        await asyncio.gather(*(self._rig.relays[i].order(order) for i in act.agents))

    async def _reset(self, act: Act, fault: faults.Reset) -> None:
        names = [f"s{j}" for j in act.servers]
        await self._at_relays(
            act, relay.Break(act.number, fault.path, names, fault.when) if act.on else relay.Clear(act.number)
        )

    async def _half_open(self, act: Act, fault: faults.HalfOpen) -> None:
        names = [f"s{j}" for j in act.servers]
        await self._at_relays(
            act, relay.Break(act.number, fault.path, names, "half") if act.on else relay.Clear(act.number)
        )

    # Processes

    def _struck(self, act: Act, of: str) -> list[Child]:
        rig = self._rig
        if of == "followers":
            assert isinstance(act.fault, faults.Pause | faults.Kill) and rig.list_service is not None
            return [rig.list_service.followers[act.fault.follower]]
        if of == "agents":
            return [child for i in act.agents for child in rig.agents.up[i]]
        if of == "servers":
            return [rig.servers[j].child for j in act.servers if j in rig.servers]
        return [self._discovery()]

    def _discovery(self) -> Child:
        rig = self._rig
        if rig.list_service is None:
            return rig.discoveries[0].child
        assert rig.list_service.child is not None
        return rig.list_service.child

    async def _pause(self, act: Act, fault: faults.Pause) -> None:
        for child in self._struck(act, fault.of):
            child.signal(signal.SIGSTOP if act.on else signal.SIGCONT)

    async def _hold_up(self, act: Act, fault: faults.HoldUp) -> None:
        """Each time for another share of the longest, and all of these agents at once."""
        if not act.on:
            return
        rig, loop = self._rig, asyncio.get_running_loop()
        until = loop.time() + fault.len_s
        struck = [f"a{i}" for i in act.agents]
        while loop.time() < until:
            stopped = self._struck(act, "agents")
            for on, number, wait_s in (
                (True, signal.SIGSTOP, fault.longest_ms / 1000 * rig.rng.uniform(0.2, 1.0)),
                (False, signal.SIGCONT, fault.every_ms / 1000),
            ):
                rig.write(
                    Fault(
                        t=now_us(),
                        who="rig",
                        kind="pause",
                        on=on,
                        number=act.number,
                        agents=struck,
                        detail={"of": "agents"},
                    )
                )
                for child in stopped:
                    child.signal(number)
                await asyncio.sleep(wait_s)

    async def _kill(self, act: Act, fault: faults.Kill) -> None:
        rig = self._rig
        if fault.of == "agents":
            if not act.on:
                await asyncio.gather(*(rig.agents.start(i, fault.keep) for i in act.agents))
            elif fault.signal == "TERM":
                await asyncio.gather(*(rig.agents.stop(c) for c in self._struck(act, "agents")))
            else:
                for child in self._struck(act, "agents"):
                    child.kill()
        elif fault.of == "servers":
            for j in act.servers:
                if not act.on:
                    await rig.start_server(j, cold=True)
                    rig.later(rig.s.discovery.add_s, partial(rig.list_server, j, "SERVING"))
                else:
                    await rig.stop_server(j)
                    rig.later(rig.s.discovery.silent_notice_s, partial(self._gone, j))
        elif act.on:
            self._struck(act, fault.of)[0].kill()
            await self._discovery_up(fault, False)
        else:
            if rig.list_service is None:
                await rig.start_discovery(0)
            else:
                await (
                    rig.list_service.start_follower(fault.follower)
                    if fault.of == "followers"
                    else rig.list_service.start()
                )
            await self._discovery_up(fault, True)

    async def _discovery_up(self, fault: faults.Kill, up: bool) -> None:
        """Connections to it are refused from now on, or not any more."""
        rig = self._rig
        name = f"d{1 + fault.follower}" if fault.of == "followers" else "d0"
        orders = [r.order(relay.Up("discovery", [name], up)) for r in rig.relays]
        if rig.leader_relay is not None and fault.of == "discovery":
            orders.append(rig.leader_relay.order(relay.Up("leader", [], up)))
        await asyncio.gather(*orders)

    async def _descriptors(self, act: Act, fault: faults.Descriptors) -> None:
        for child in self._struck(act, "agents"):
            key = (act.number, child.name)
            if not act.on:
                self._undo.pop(key, _nothing)()
                continue
            before = resource.prlimit(child.pid, resource.RLIMIT_NOFILE)
            # The limit is on the number of a descriptor, and a free one below it can still be had.
            highest = max(int(fd) for fd in os.listdir(f"/proc/{child.pid}/fd"))
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (highest + 1 + fault.spare, before[1]))
            self._undo[key] = _restorer(child, before)

    async def _busy(self, act: Act, fault: faults.Busy) -> None:
        rig = self._rig
        for child in self._struck(act, "agents"):
            key = (act.number, child.name)
            if not act.on:
                self._undo.pop(key, _nothing)()
                continue
            cores = sorted(os.sched_getaffinity(child.pid))
            core = cores[int(child.name[1:]) % len(cores)]
            os.sched_setaffinity(child.pid, {core})
            command = tethered(part_command("cpu_load", str(core), str(fault.share)))
            words = rig.folder / "logs" / "burner.log"
            burner = await rig.starter.start(f"b{child.name[1:]}", 0, command, words, os.environ, HOME)
            rig.children.append(burner)

            def undo(child: Child = child, burner: Child = burner, cores: list[int] = cores) -> None:
                burner.kill()
                if child.alive:
                    os.sched_setaffinity(child.pid, cores)

            self._undo[key] = undo

    async def _unix_time(self, act: Act, fault: faults.UnixTime) -> None:
        for i in act.agents:
            self._rig.agents.skew_file(i).write_text(f"{fault.jump_s if act.on else 0.0}")

    async def _disk(self, act: Act, fault: faults.Disk) -> None:
        agents = self._rig.agents
        for i in act.agents:
            kept, key = agents.kept(i), (act.number, f"a{i}")
            copy = agents.folder(i) / "older"
            if fault.how == "older":
                # What stood there when the fault began is put back when it ends.
                if act.on:
                    disk.keep_copy(kept, copy)
                else:
                    disk.put_back(kept, copy)
            elif not act.on:
                self._undo.pop(key, _nothing)()
            elif fault.how == "byte":
                disk.change_byte(kept, self._rig.rng)
            elif fault.how == "cut":
                disk.cut(kept, self._rig.rng)
            elif fault.how == "read_only":
                self._undo[key] = disk.make_read_only(kept)
            else:
                child = agents.newest(i)
                if child is not None:
                    self._undo[key] = disk.fill(child.pid)

    # Discovery and operators

    async def _lists(self, act: Act, fault: faults.Lists) -> None:
        mode = discovery.Mode(fault.how, fault.late_s, fault.back) if act.on else discovery.Mode("well")
        await self._rig.discoveries[0].order(mode)

    async def _reload(self, act: Act, fault: faults.Reload) -> None:
        agents = self._rig.agents
        for i in act.agents:
            if fault.spoilt and act.on:
                agents.spoil_config(i)
            else:
                if not fault.spoilt:
                    agents.discovery[i] = 1 - agents.discovery[i]
                agents.write_config(i)
            for child in agents.up[i]:
                child.signal(signal.SIGHUP)
        if fault.times > 1 and act.on:
            await asyncio.sleep(fault.gap_ms / 1000)
            await self._reload(act, msgspec.structs.replace(fault, times=fault.times - 1))

    async def _lame_duck(self, act: Act, fault: faults.LameDuck) -> None:
        for i in act.agents:
            await self._rig.clients[i].order(clients.Front(fault.deaf_front and act.on))
        await asyncio.gather(
            *(self._rig.agents.call(i, "LAMEDUCK" if act.on else "REJOIN") for i in act.agents)
        )

    async def _detach(self, act: Act, fault: faults.Detach) -> None:
        rig = self._rig
        for j in act.servers:
            if act.on:
                await asyncio.gather(*(rig.agents.call(i, f"DETACH s{j}") for i in act.agents))
        if act.on and fault.restart:
            await asyncio.sleep(fault.len_s / 3)
            for j in act.servers:
                await rig.stop_server(j)
            await asyncio.sleep(fault.len_s / 10)
            for j in act.servers:
                await rig.start_server(j, cold=True)
                rig.later(rig.s.discovery.add_s, partial(rig.list_server, j, "SERVING"))
        if not act.on:
            for j in act.servers:
                await asyncio.gather(*(rig.agents.call(i, f"ATTACH s{j}") for i in act.agents))

    async def _habit(self, act: Act, fault: faults.Habit) -> None:
        order = clients.Habit(act.number, fault if act.on else None)
        await asyncio.gather(*(self._rig.clients[i].order(order) for i in act.agents))

    async def _hostile(self, act: Act, fault: faults.Hostile) -> None:
        order = crowd.Gather(act.number, fault.kind, fault.clients if act.on else 0)
        await asyncio.gather(*(self._rig.crowds[i].order(order) for i in act.agents))

    async def _short_idle(self, act: Act, fault: faults.ShortIdle) -> None:
        await self._at_servers(act, server.Idle(fault.idle_ms / 1000 if act.on else None))

    async def _slow_accept(self, act: Act, fault: faults.SlowAccept) -> None:
        await self._at_servers(act, server.Accept(not act.on))

    async def _at_servers(self, act: Act, order: msgspec.Struct) -> None:
        for j in act.servers:
            if j in self._rig.servers:
                await self._rig.servers[j].order(order)

    async def _spoilt(self, act: Act, fault: faults.Spoilt) -> None:
        order = server.Spoil(fault.how, fault.part if act.on else 0.0)
        await self._at_servers(act, order)

    # Upgrades

    async def _upgrade(self, act: Act, fault: faults.Upgrade) -> None:
        if act.on:
            await asyncio.gather(*(self._upgrade_one(i, fault) for i in act.agents))

    async def _upgrade_one(self, i: int, fault: faults.Upgrade) -> None:
        """As DAYS has it: the old process gets SIGTERM at the new one's yes."""
        rig, agents = self._rig, self._rig.agents
        for j in range(fault.detach_first):
            await agents.call(i, f"DETACH s{j}")
        old = list(agents.up[i])
        began = now_us()
        new = await agents.launch(i)
        if fault.strike != "none":
            rig.spawn(self._strike(i, fault, old, new))
        while now_us() - began < PING_S * 1e6 + fault.len_s * 1e6 and new.alive:
            if (await agents.call(i, "PING", new)).startswith("OK"):
                rig.write(Ready(t=now_us(), who=new.name, life=new.life, took_us=now_us() - began))
                await asyncio.gather(*(agents.stop(child) for child in old))
                return
            await asyncio.sleep(LOOK_S)

    async def _strike(self, i: int, fault: faults.Upgrade, old: list[Child], new: Child) -> None:
        await asyncio.sleep(fault.after_ms / 1000)
        if fault.strike in ("pause_old", "pause_new"):
            struck = old if fault.strike == "pause_old" else [new]
            for child in struck:
                child.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.len_s)
            for child in struck:
                child.signal(signal.SIGCONT)
        elif fault.strike == "cut_off":
            for path in self._rig.agents.kept(i).glob("*.sock*"):
                path.unlink(missing_ok=True)
        else:
            for child in old if fault.strike == "kill_old" else [new]:
                child.kill()


def _nothing() -> None:
    """What there is to undo where nothing was done."""


async def _join(task: asyncio.Task[None]) -> None:
    await task


def _restorer(child: Child, before: tuple[int, int]) -> Callable[[], None]:
    def undo() -> None:
        if child.alive:
            with contextlib.suppress(ProcessLookupError):
                resource.prlimit(child.pid, resource.RLIMIT_NOFILE, before)

    return undo
