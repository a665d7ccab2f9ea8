"""One real agent as `run` starts it, in a process of its own, and what /proc says of it."""
from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from .. import agent_config, door
from ..addresses import split
from ..children import HOME, Child, Failed, Starter, tethered
from ..scenario import LabScenario, load, settle

SCENARIO = "steady"  # whose classes, limits and windows the agents are told
SEED = 1
READY_S, LOOK_S = 20.0, 0.01
END_S = 5.0


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
    settings = {**agent_config.settings(s, 0, 0), "siblings": max(1, len(known["members"])),
                "registryMode": mode}
    return {"name": "scale", "listen": listen, "discovery": discovery, "seed": f"{SEED:x}",
            "limits": {"cores": 1.0, "memory_mb": agent_config.MEMORY_MB, "sockets": agent_config.SOCKETS},
            "known": known, "settings": settings}


@asynccontextmanager
async def started(starter: Starter, folder: Path, name: str, doc: Any,
                  profile: Path | None = None) -> AsyncIterator[Agent]:
    """It serves within the block and is gone after it. With a profile, its functions are timed (cProfile) and
    it is ended in order, or they would not be written down. Raises Failed.
    """
    home = folder / name
    home.mkdir()
    (home / "config.json").write_text(json.dumps(doc))
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    env |= {"RELAY_CONFIG": str(home / "config.json"), "TMPDIR": str(home)}
    watched = ["-m", "cProfile", "-o", str(profile)] if profile is not None else []
    child = await starter.start(name, 0, tethered([sys.executable, *watched, "-m", "lilacsill"]),
                                home / "log", env, HOME)
    try:
        await _ready(child, doc["listen"])
        yield Agent(child, doc["listen"])
    finally:
        if profile is not None:
            child.asked = True
            child.process.terminate()
            async with asyncio.timeout(END_S):
                await child.process.wait()
        await ended(child)


async def _ready(child: Child, address: str) -> None:
    try:
        async with asyncio.timeout(READY_S):
            while not await door.healthy(address):
                if not child.alive:
                    raise Failed(f"{child.name}: ended ({child.last_words()})")
                await asyncio.sleep(LOOK_S)
    except TimeoutError:
        raise Failed(f"{child.name}: was not ready within {READY_S:g} s; see {child.log}") from None


async def ended(child: Child) -> None:
    """Whatever it does, it is gone."""
    child.kill()
    await child.process.wait()


def host_and_port(address: str) -> list[Any]:
    """In JSON's terms, for the plans of parts."""
    return list(split(address))
