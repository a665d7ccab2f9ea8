"""Runs as commands use them: into a directory that appears only when it is whole, with its verdict."""
from __future__ import annotations

import asyncio
import os
import shutil
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from fleetsim.scenario import Span

from . import verdict
from .checkers.case import Case
from .rig import Order, Rig

HELD, BROKE, WRONG_USE, DOES_NOT_COUNT = 0, 1, 2, 3


@dataclass(frozen=True, slots=True)
class Played:
    folder: Path
    case: Case
    verdict: verdict.Verdict

    @property
    def status(self) -> int:
        """The exit status that goes with it; a late rig has measured itself, not the agent."""
        if not self.verdict.counts:
            return DOES_NOT_COUNT
        return BROKE if self.verdict.breaches else HELD


class Occupied(Exception):
    """The directory for a run is there already; the text is one line."""


def schedule_lines(span: Span, seed: int, length_s: float | None, folder: Path, tree: Path) -> list[str]:
    return [act.line() for act in Rig(Order("", span, seed, length_s, folder, tree), lambda share: None).acts]


def play(name: str, span: Span, seed: int, folder: Path | None, tree: Path, length_s: float | None = None,
         progress: Callable[[float], None] = lambda share: None) -> Played:
    """One run and its verdict. Without a folder it goes to a temporary one, which is the caller's to remove.

    Raises Occupied, children.Failed, addresses.NoRoom; on these, and on Ctrl-C, nothing is left of it.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise Occupied(f"{folder}: holds something already; name an empty directory or remove it")
    into = folder.absolute() if folder is not None else Path(tempfile.mkdtemp(prefix=f"faultlab-{name}-"))
    part = into.with_name(f"{into.name}.{os.getpid()}.part")
    part.mkdir(parents=True)
    try:
        asyncio.run(Rig(Order(name, span, seed, length_s, part, tree.absolute()), progress).run())
        if into.exists():
            into.rmdir()
        part.rename(into)
    except BaseException:
        shutil.rmtree(part, ignore_errors=True)
        if folder is None:
            shutil.rmtree(into, ignore_errors=True)
        raise
    _, case = verdict.read(into)
    return Played(into, case, verdict.judge(case))
