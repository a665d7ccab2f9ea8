"""The verdict on a run, from its directory alone."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec

from . import history as h
from .checkers import answers, attempts, copies, effects, lists, memory, presence, processes
from .checkers.case import Breach, Case
from .metrics import Figures, figures
from .rig import RunFile

CROWD = "h"  # names of crowds begin so; nothing is measured by their clocks
CHECKERS = (
    answers.check,
    attempts.check,
    effects.check,
    copies.check,
    lists.check,
    memory.check,
    presence.check,
    processes.check,
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """counts: whether the rig was on time, so that the run tells something."""

    breaches: list[Breach]
    late_us: int
    late_who: str
    figures: Figures
    usage_s: dict[str, float]  # processor time of agents, and of the rig's parts

    @property
    def counts(self) -> bool:
        return self.late_us == 0

    @property
    def lateness(self) -> str:
        """What to say of a rig that was late; empty if it was not."""
        if self.counts:
            return ""
        return f"the rig was late by {self.late_us / 1000:.0f} ms ({self.late_who}): this run does not count"

    def lines(self, case: Case) -> list[str]:
        """As a person reads it: each rule once, with the first request and time that broke it."""
        if not self.breaches:
            return ["all rules held"]
        counted = Counter(b.rule for b in self.breaches)
        firsts = {b.rule: b for b in reversed(self.breaches)}  # they are in the order of their times
        return [
            f"rule broken: {rule}, {n} times; first at {case.seconds(firsts[rule].t):.3f} s, "
            f"{firsts[rule].who}: {firsts[rule].what}"
            for rule, n in counted.items()
        ]


def read(folder: Path) -> tuple[RunFile, Case]:
    """Raises HistoryError."""
    path = folder / "run.json"
    try:
        run = msgspec.json.decode(path.read_bytes(), type=RunFile)
    except OSError as e:
        raise h.HistoryError(f"{path}: {e.strerror}; name a directory that `run -o` wrote") from None
    except msgspec.DecodeError as e:
        raise h.HistoryError(f"{path}: {e}; play the run again") from None
    return run, Case(run.scenario, run.servers, run.begin_us, h.read(folder / "history.jsonl"))


def judge(case: Case) -> Verdict:
    breaches = [b for check in CHECKERS for b in check(case)]
    late = max((e for e in _late(case)), key=lambda e: e.late_us, default=None)
    usage = {"agents": 0.0, "rig": 0.0}
    for e in case.events:
        if isinstance(e, h.Usage):
            usage["agents" if e.who.startswith("a") else "rig"] += e.cpu_us / 1e6
    return Verdict(
        sorted(breaches, key=lambda b: b.t),
        late.late_us if late else 0,
        late.who if late else "",
        figures(case),
        usage,
    )


def _late(case: Case) -> list[h.Late]:
    """While clients were served; a part that was paused or killed on purpose was not late."""

    def paused(e: h.Late) -> bool:
        return any(
            w.kind == "pause"
            and (e.who in servers or (e.who.startswith("d") and w.detail.get("of") == "discovery"))
            and w.meets(e.t - e.late_us, e.t)
            for w, _, servers, _ in case.windows
        )

    def judged(e: h.Late) -> bool:
        return not e.who.startswith(CROWD)

    return [
        e for e in case.events if isinstance(e, h.Late) and e.t >= case.begin and judged(e) and not paused(e)
    ]
