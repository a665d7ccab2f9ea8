"""Fewer and shorter faults that still break a rule: delta debugging (Zeller and Hildebrandt 2002)."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from burlshift_tools.emulator.scenario import Span

from . import play, verdict
from .rig import RunFile
from .scenario import LabScenario

BEST = "shrunk.json"
SHORTEST_S = 0.2


class ShrinkError(Exception):
    """There is nothing to shrink; the text is one line."""


@dataclass(frozen=True, slots=True)
class Step:
    """One attempt to leave a fault out."""

    number: int
    what: str
    rule: str
    kept: bool


def seed_of(folder: Path) -> int:
    run, _ = verdict.read(folder)
    return run.seed


def shrink(folder: Path, tree: Path, tries: int) -> Iterator[Step]:
    """Each try; the best so far is written down after each that still broke the rule."""
    run, case = verdict.read(folder)
    breaches = verdict.judge(case).breaches
    if not breaches:
        raise ShrinkError(f"{folder}: no rule broke in it; shrink a run that broke one")
    rule, path = breaches[0].rule, folder / BEST
    best = run.scenario
    if path.exists():
        best = msgspec.json.decode(path.read_bytes(), type=RunFile).scenario
    _keep(path, run, best)
    number = 0
    while number < tries:
        better = None
        for what, candidate in smaller(best):
            if number >= tries:
                return
            number += 1
            kept = _breaks(candidate, run.seed, rule, tree)
            yield Step(number, what, rule, kept)
            if kept:
                better = candidate
                break
        if better is None:
            return
        best = better
        _keep(path, run, best)


def smaller(s: LabScenario) -> Iterator[tuple[str, LabScenario]]:
    for i, fault in enumerate(s.fault):
        tag = fault.__struct_config__.tag
        yield (
            f"without {tag} at {fault.at_s:g} s",
            msgspec.structs.replace(s, fault=s.fault[:i] + s.fault[i + 1 :]),
        )
    for i, trouble in enumerate(s.trouble):
        tag = trouble.__struct_config__.tag
        yield (
            f"without {tag} at {trouble.at_s:g} s",
            msgspec.structs.replace(s, trouble=s.trouble[:i] + s.trouble[i + 1 :]),
        )
    for i, fault in enumerate(s.fault):
        if fault.len_s >= 2 * SHORTEST_S:
            shorter = msgspec.structs.replace(fault, len_s=fault.len_s / 2)
            yield (
                f"{fault.__struct_config__.tag} at {fault.at_s:g} s for {shorter.len_s:.2f} s",
                msgspec.structs.replace(s, fault=s.fault[:i] + [shorter] + s.fault[i + 1 :]),
            )


def _breaks(s: LabScenario, seed: int, rule: str, tree: Path) -> bool:
    into = Path(tempfile.mkdtemp(prefix="faultlab-shrink-"))
    try:
        played = play.play("shrink", Span(s, s), seed, into / "run", tree)
        return played.verdict.counts and any(b.rule == rule for b in played.verdict.breaches)
    finally:
        shutil.rmtree(into, ignore_errors=True)


def _keep(path: Path, run: RunFile, s: LabScenario) -> None:
    """A run.json, so that it can be played."""
    made = msgspec.structs.replace(run, scenario=s, name="shrunk", schedule=[])
    new = path.with_suffix(".new")
    new.write_bytes(msgspec.json.format(msgspec.json.encode(made)))
    new.replace(path)
