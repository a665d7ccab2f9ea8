"""The agents of a run: their processes and lives, their doors, and what they hold at the end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from . import admin_client, agent_config, memory
from .child_processes import Child, Failed, tethered
from .history import Begun, Door, Logged, Memory, Open, Ready, Stop, Usage, now_us
from .parts import relay
from .parts.clients import IDLE_S
from .parts.discovery import FIRST_REVISION, member_json
from .parts.skewed_agent import SKEW_FILE

if TYPE_CHECKING:
    from .rig import Rig

READY_S = 30.0
LOOK_S = 0.05
POLL_S = 0.5  # from one look at the figures to the next
KILL_S = 0.7  # SIGKILL comes so long after SIGTERM and the longest deadline
LONGEST_S = 3.0
MEMORY_LOOK_S = 0.02  # from one look at the agents' memory to the next
MEMORY_STEP_BYTES = 256 * 1024  # by which a peak has risen when it is written down
MIB_BYTES = 1024 * 1024
TICKS = os.sysconf("SC_CLK_TCK")


class Agents:
    """All of them; agent i may be two processes during an upgrade."""

    def __init__(self, rig: Rig, command: Sequence[str]) -> None:
        self._rig, self._command = rig, command
        self.up: list[list[Child]] = [[] for _ in rig.day.agents]  # of each agent, the oldest first
        self.discovery = [0] * len(rig.day.agents)  # the address that its file names
        self._cpu: dict[int, int] = {}  # ticks by pid
        deadline = max(c.deadline_ms for c in rig.s.cls) / 1000
        self.stop_s = min(LONGEST_S, deadline) + KILL_S

    def folder(self, i: int) -> Path:
        return self._rig.folder / "agents" / f"a{i}"

    def kept(self, i: int) -> Path:
        """Its $TMPDIR."""
        return self.folder(i) / "tmp"

    def skew_file(self, i: int) -> Path:
        return self.folder(i) / "skew"

    def newest(self, i: int) -> Child | None:
        return self.up[i][-1] if self.up[i] else None

    def write_config(self, i: int) -> None:
        rig = self._rig
        members = [member_json(e, rig.block, i) for e in rig.entries.values() if e.phase != "DELETED"]
        if rig.list_service is not None:  # it gives all agents the same addresses
            members = [{**m, "host_port": rig.block.server(int(str(m["id"])[1:]))} for m in members]
        known = {"revision": FIRST_REVISION, "complete": True, "members": members}
        seed = int(rig.rng.integers(1, 2**52))
        doc = agent_config.document(
            rig.s, rig.block, i, rig.day.agents[i].zone, seed, self.discovery[i], known
        )
        self.folder(i).mkdir(parents=True, exist_ok=True)
        new = self.folder(i) / "config.new"
        new.write_bytes(msgspec.json.format(msgspec.json.encode(doc)))
        new.replace(self.folder(i) / "config.json")

    def spoil_config(self, i: int) -> None:
        path = self.folder(i) / "config.json"
        path.write_bytes(path.read_bytes()[:-40])

    async def launch(self, i: int, keep: bool = True) -> Child:
        """One more process; returns at once."""
        rig, name = self._rig, f"a{i}"
        if not keep:
            shutil.rmtree(self.kept(i), ignore_errors=True)
        self.kept(i).mkdir(parents=True, exist_ok=True)
        if not self.skew_file(i).exists():
            self.skew_file(i).write_text("0")
        life = rig.life(name)
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env |= {
            "RELAY_NAME": name,
            "RELAY_LISTEN": rig.block.agent(i),
            "RELAY_DISCOVERY": rig.block.asks(i, self.discovery[i]),
            "RELAY_CONFIG": str(self.folder(i) / "config.json"),
            "RELAY_CONTROL": rig.block.door(i, life),
            "TMPDIR": str(self.kept(i)),
            SKEW_FILE: str(self.skew_file(i)),
        }
        words = rig.folder / "logs" / f"{name}.log"
        child = await rig.starter.start(name, life, tethered(self._command), words, env, rig.order.tree)
        rig.children.append(child)
        rig.write(Begun(t=now_us(), who=name, life=life, pid=child.pid))
        self.up[i].append(child)

        async def ended(_status: int) -> None:
            with contextlib.suppress(ValueError):
                self.up[i].remove(child)
            if not self.up[i] and i < len(rig.relays):
                await rig.relays[i].order(relay.Up("clients", [], False))

        rig.watch(child, ended)
        return child

    async def start(self, i: int, keep: bool = False) -> None:
        """A process of its own, once it says that it is ready. Raises Failed if the first never is."""
        self.write_config(i)
        began = now_us()
        child = await self.launch(i, keep)
        while not await admin_client.healthy(self._rig.block.agent(i)):
            if not child.alive:
                if child.life == 0:
                    raise Failed(
                        f"a{i}: ended with {child.process.returncode} before it was ready "
                        f"({child.last_words()}); see {child.log}"
                    )
                return  # the checkers will say so
            if now_us() - began > READY_S * 1e6:
                raise Failed(f"a{i}: not ready after {READY_S:g} s; see {child.log}")
            await asyncio.sleep(LOOK_S)
        await self._rig.relays[i].order(relay.Up("clients", [], True))
        self._rig.write(Ready(t=now_us(), who=f"a{i}", life=child.life, took_us=now_us() - began))
        self._count(child, "ready")

    async def stop(self, child: Child) -> None:
        """SIGTERM, and SIGKILL when PROTOCOL lets it come. An end by SIGKILL here is the agent's fault."""
        child.asked = True
        if child.alive:
            self._rig.write(Stop(t=now_us(), who=child.name, life=child.life, kill_us=int(self.stop_s * 1e6)))
        child.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.stop_s):
                await child.process.wait()
                return
        child.kill()

    async def call(self, i: int, line: str, child: Child | None = None) -> str:
        """At the door of that process, or the newest; what was said goes into the history."""
        child = child or self.newest(i)
        if child is None:
            return ""
        asked = now_us()
        answer = await admin_client.call(self._rig.block.door(i, child.life), line)
        self._rig.write(Door(t=now_us(), who=f"a{i}", life=child.life, call=line, answer=answer, asked=asked))
        return answer

    async def poll(self) -> None:
        """Fetch the figures of all, all day."""
        while True:
            due = time.monotonic() + POLL_S
            await asyncio.gather(
                *(self.call(i, "INFO", child) for i, up in enumerate(self.up) for child in up)
            )
            self._look_at_processors()
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def finish(self) -> None:
        """After the last request: idle connections have had their time, what is still held is counted."""
        await asyncio.sleep(max(self._rig.s.connections.idle_s, IDLE_S) + 1.0)
        for i, up in enumerate(self.up):
            for child in list(up):
                await self.call(i, "INFO", child)
                self._count(child, "end")
            self._read_log(i)
        self._look_at_processors()
        for pid, ticks in self._cpu.items():
            name = next(c.name for c in self._rig.children if c.pid == pid)
            self._rig.write(Usage(t=now_us(), who=name, cpu_us=ticks * 1_000_000 // TICKS))
        await asyncio.gather(*(self.stop(child) for up in self.up for child in list(up)))

    async def limit_memory(self) -> None:
        """Kill the processes of an agent that hold more than its limit together, as the platform does."""
        limit = self._rig.s.memory_mb * MIB_BYTES
        nothing = Memory(t=0, who="", anonymous=0, resident=0, limit=limit, processes=0)
        peaks = [nothing] * len(self.up)
        while True:
            for i, up in enumerate(self.up):
                peaks[i] = self._note_peak(i, [memory.of_process(child.pid) for child in up], peaks[i])
                if peaks[i].anonymous > limit:
                    for child in up:
                        child.kill(asked=False)
            await asyncio.sleep(MEMORY_LOOK_S)

    def _note_peak(self, i: int, taken: list[memory.Taken], peak: Memory) -> Memory:
        kept = memory.of_folder(self.kept(i))
        now = Memory(
            t=now_us(),
            who=f"a{i}",
            anonymous=kept + sum(t.anonymous for t in taken),
            resident=kept + sum(t.resident for t in taken),
            limit=peak.limit,
            processes=len(taken),
        )
        rise = max(now.anonymous - peak.anonymous, now.resident - peak.resident)
        if rise < MEMORY_STEP_BYTES and now.anonymous <= peak.limit:
            return peak
        self._rig.write(now)
        return now

    def _count(self, child: Child, when: str) -> None:
        with contextlib.suppress(OSError):
            count = len(os.listdir(f"/proc/{child.pid}/fd"))
            self._rig.write(Open(t=now_us(), who=child.name, life=child.life, count=count, when=when))

    def _read_log(self, i: int) -> None:
        """A traceback is a fault of the agent's, whatever came of it."""
        lines = (self._rig.folder / "logs" / f"a{i}.log").read_text(errors="replace").splitlines()
        starts = [n for n, line in enumerate(lines) if line.startswith("Traceback")]
        first = next((line for n in starts[:1] for line in lines[n + 1 :] if not line.startswith(" ")), "")
        self._rig.write(Logged(t=now_us(), who=f"a{i}", tracebacks=len(starts), first=first))

    def _look_at_processors(self) -> None:
        for up in self.up:
            for child in up:
                with contextlib.suppress(OSError, IndexError):
                    fields = Path(f"/proc/{child.pid}/stat").read_text().rpartition(")")[2].split()
                    self._cpu[child.pid] = int(fields[11]) + int(fields[12])
