"""One real agent as `run` starts it, in a process of its own, and what /proc says of it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from collections.abc import AsyncIterator, Coroutine, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, TypeVar

from .. import admin_client, agent_config
from ..child_processes import HOME, Child, Failed, Starter, tethered
from ..scenario import LabScenario, load, settle

SCENARIO = "steady"  # whose classes, limits and windows the agents are told
SEED = 1
MEMORY_MB, SOCKETS = 192, 1024
READY_S, LOOK_S = 20.0, 0.01
T = TypeVar("T")


class Proc:
    """A process as /proc shows it; raises FileNotFoundError once it is gone."""

    def __init__(self, pid: int) -> None:
        self._home = Path(f"/proc/{pid}")

    def cpu_ns(self) -> int:
        """Processor time of all its threads, by schedstat: ticks of 10 ms are too coarse."""
        return sum(int((t / "schedstat").read_text().split()[0]) for t in (self._home / "task").iterdir())

    def resident_mb(self) -> float:
        return int((self._home / "statm").read_text().split()[1]) * resource.getpagesize() / 1e6


class Agent:
    """One of them, from `started`."""

    def __init__(self, child: Child, address: str) -> None:
        self.child, self.address, self.proc = child, address, Proc(child.pid)


def deployment() -> LabScenario:
    """What the shipped scenario states; the same each time."""
    return settle(load(SCENARIO), SEED)[1]


def document(s: LabScenario, listen: str, discovery: str, known: dict[str, Any], mode: str = "push") -> Any:
    """RELAY_CONFIG of one agent among as many as there are members (the plan has an agent for each)."""
    settings = {
        **agent_config.settings(s, 0, 0),
        "siblings": max(1, len(known["members"])),
        "registryMode": mode,
    }
    return {
        "name": "scale",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{SEED:x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": known,
        "settings": settings,
    }


@asynccontextmanager
async def started(starter: Starter, folder: Path, name: str, doc: Any) -> AsyncIterator[Agent]:
    """It serves within the block and is gone after it. Raises Failed."""
    home = folder / name
    home.mkdir()
    (home / "config.json").write_text(json.dumps(doc))
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    env |= {"RELAY_CONFIG": str(home / "config.json"), "TMPDIR": str(home)}
    command = tethered([sys.executable, "-m", "burlshift.agent"])
    child = await starter.start(name, 0, command, home / "log", env, HOME)
    try:
        await _ready(child, doc["listen"])
        yield Agent(child, doc["listen"])
    finally:
        await ended(child)


async def _ready(child: Child, address: str) -> None:
    try:
        async with asyncio.timeout(READY_S):
            while not await admin_client.healthy(address):
                if not child.alive:
                    raise Failed(f"{child.name}: ended ({child.last_words()})")
                await asyncio.sleep(LOOK_S)
    except TimeoutError:
        raise Failed(f"{child.name}: was not ready within {READY_S:g} s; see {child.log}") from None


async def ended(child: Child) -> None:
    """Whatever it does, it is gone."""
    child.kill()
    await child.process.wait()


async def together(works: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """All at once, as each takes long to start. The first failure ends them all, and is what is raised."""
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(work) for work in works]
    except BaseExceptionGroup as e:
        raise e.exceptions[0] from None
    return [task.result() for task in tasks]
