"""The rig's processes: started, asked for their readiness, told what to do, and never left behind."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

READY_S = 30.0
ORDER_S = 10.0
HOME = Path(__file__).resolve().parents[2]  # where parts find their packages


class Failed(Exception):
    """A process of the rig did not do what it is there for; the text is one line."""


class Child:
    """A process in a session of its own: Ctrl-C reaches the rig alone."""

    def __init__(self, name: str, life: int, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.life, self.process, self.log = name, life, process, log
        self.asked = False  # the rig has ended it, or had it end
        self.paused = False

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def alive(self) -> bool:
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        if self.alive:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
                self.paused = number == signal.SIGSTOP or (self.paused and number != signal.SIGCONT)

    def kill(self, asked: bool = True) -> None:
        """Whatever it runs, and in whatever state it is. Not `asked`: for what it did itself."""
        self.asked = self.asked or asked
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.pid, signal.SIGKILL)

    def last_words(self) -> str:
        with contextlib.suppress(OSError):
            lines = self.log.read_text(errors="replace").strip().splitlines()
            if lines:
                return lines[-1]
        return "no word of it"


class Starter:
    """Starts processes, one in a turn of the loop: several at once would keep the rig from its turn."""

    def __init__(self) -> None:
        self._turn = asyncio.Lock()

    async def start(
        self,
        name: str,
        life: int,
        command: Sequence[str],
        log: Path,
        env: Mapping[str, str],
        folder: Path,
        orders: bool = False,
    ) -> Child:
        """A process that writes to a file; with orders, its standard input and output are the rig's.

        No function runs between fork and exec, which would need a fork instead of vfork(2).
        """
        pipe = asyncio.subprocess.PIPE if orders else asyncio.subprocess.DEVNULL
        async with self._turn:
            with log.open("ab") as words:
                process = await asyncio.create_subprocess_exec(
                    *command,
                    stdin=pipe,
                    stdout=pipe if orders else words,
                    stderr=words,
                    env=dict(env),
                    cwd=folder,
                    start_new_session=True,
                    limit=2**20,
                )
            await asyncio.sleep(0)
        return Child(name, life, process, log)


class PartChild:
    """A process of `burlshift_tools.faultlab.parts`: its plan in, its readiness out, then orders."""

    def __init__(self, child: Child) -> None:
        self.child = child
        self._turn = asyncio.Lock()

    async def order(self, order: msgspec.Struct) -> None:
        """Returns once the order is in force. A part that is gone or paused hears nothing."""
        async with self._turn:
            if not self.child.alive or self.child.paused:
                return
            try:
                await self._say(msgspec.json.encode(order), ORDER_S)
            except Failed:
                if not self.child.asked:  # killed meanwhile, it owes nothing
                    raise

    async def _say(self, line: bytes, limit_s: float) -> dict[str, Any]:
        stdin, stdout = self.child.process.stdin, self.child.process.stdout
        assert stdin is not None and stdout is not None
        with contextlib.suppress(ConnectionError):
            stdin.write(line + b"\n")
            await stdin.drain()
        try:
            async with asyncio.timeout(limit_s):
                answer = await stdout.readline()
        except TimeoutError:
            raise Failed(f"{self.child.name}: said nothing for {limit_s:g} s; see {self.child.log}") from None
        if not answer:
            raise Failed(f"{self.child.name}: ended ({self.child.last_words()})")
        said: dict[str, Any] = msgspec.json.decode(answer)
        if "error" in said:
            raise Failed(f"{self.child.name}: {said['error']}")
        return said

    async def ready(self, plan: msgspec.Struct) -> None:
        await self._say(msgspec.json.encode(plan), READY_S)

    def close(self) -> None:
        """Let it write what it has to write, and end."""
        if self.child.process.stdin is not None:
            self.child.asked = True
            self.child.process.stdin.close()


def tethered(command: Sequence[str]) -> list[str]:
    """A command whose process dies with the rig; parts do so by themselves, when their orders end."""
    return [
        sys.executable,
        str(HOME / "burlshift_tools" / "faultlab" / "parts" / "die_with_parent.py"),
        *command,
    ]


def part_command(module: str, *args: str) -> list[str]:
    return [sys.executable, "-m", f"burlshift_tools.faultlab.parts.{module}", *args]
