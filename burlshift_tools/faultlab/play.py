"""Runs as commands use them: into a directory that appears only when it is whole, with its verdict."""

from __future__ import annotations

import asyncio
import os
import shutil
import stat
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from burlshift_tools.emulator.scenario import Span

from . import verdict
from .checkers.case import Case
from .rig import Order, Rig

HELD, BROKE, WRONG_USE, DOES_NOT_COUNT = 0, 1, 2, 3


@dataclass(frozen=True, slots=True)
class Played:
    """A run that has ended: its folder, its history and the verdict."""

    folder: Path
    case: Case
    verdict: verdict.Verdict

    @property
    def status(self) -> int:
        """The exit status that goes with it; a late rig has measured itself, not the agent."""
        if not self.verdict.counts:
            return DOES_NOT_COUNT
        return BROKE if self.verdict.breaches else HELD


# A disk that others make busy keeps a part from its turn for a tenth of a second a write.
MEMORY = Path("/dev/shm")


class Occupied(Exception):
    """The directory for a run is there already; the text is one line."""


def schedule_lines(span: Span, seed: int, length_s: float | None, folder: Path, tree: Path) -> list[str]:
    return [
        act.line() for act in Rig(Order("", span, seed, length_s, folder, tree), lambda _share: None).acts
    ]


def place() -> Path:
    """Where a run is written while it goes on."""
    return MEMORY if os.access(MEMORY, os.W_OK) else Path(tempfile.gettempdir())


def _sockets(folder: str, names: list[str]) -> list[str]:
    """What a killed agent leaves behind and nobody can copy."""
    return [name for name in names if stat.S_ISSOCK((Path(folder) / name).lstat().st_mode)]


def play(
    name: str,
    span: Span,
    seed: int,
    folder: Path | None,
    tree: Path,
    length_s: float | None = None,
    progress: Callable[[float], None] = lambda _share: None,
) -> Played:
    """One run and its verdict. Without a folder it goes to a temporary one, which is the caller's to remove.

    Raises Occupied, children.Failed, addresses.NoRoom; on these, and on Ctrl-C, nothing is left of it.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise Occupied(f"{folder}: holds something already; name an empty directory or remove it")
    into = folder.absolute() if folder is not None else Path(tempfile.mkdtemp(prefix=f"faultlab-{name}-"))
    made = Path(tempfile.mkdtemp(prefix=f"faultlab-{name}-", dir=place()))
    part = into.with_name(f"{into.name}.{os.getpid()}.part")
    try:
        asyncio.run(Rig(Order(name, span, seed, length_s, made, tree.absolute()), progress).run())
        into.parent.mkdir(parents=True, exist_ok=True)
        shutil.copytree(made, part, ignore=_sockets)
        if into.exists():
            into.rmdir()
        part.rename(into)
    except BaseException:
        shutil.rmtree(part, ignore_errors=True)
        if folder is None:
            shutil.rmtree(into, ignore_errors=True)
        raise
    finally:
        shutil.rmtree(made, ignore_errors=True)
    _, case = verdict.read(into)
    return Played(into, case, verdict.judge(case))
