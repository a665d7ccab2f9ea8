"""What a run comes to: requests by their end, worth, and time counted from when each was due."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from . import history as h
from .checkers.case import Case

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3


@dataclass(frozen=True, slots=True)
class Figures:
    """ends: first tries and retries as one request; worth: the share of it that was earned."""

    requests: int
    ends: dict[str, int]  # served, refused, failed
    worth: float
    latency_us: dict[str, int]  # of what was served, from when it was due: p50, p90, p99, max
    attempts: int


def histogram() -> Any:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def percentiles(times: Any) -> dict[str, int]:
    return {
        "p50": times.get_value_at_percentile(50),
        "p90": times.get_value_at_percentile(90),
        "p99": times.get_value_at_percentile(99),
        "max": times.get_max_value(),
    }


def figures(case: Case) -> Figures:
    ends: dict[str, str] = {}
    earned: dict[str, float] = {}
    possible: dict[str, float] = {}
    times = histogram()
    for x in case.exchanges.values():
        c, first = case.cls(x), x.asked.first
        possible[first] = c.worth
        if isinstance(x.end, h.Answered) and x.end.status == 200:
            took = x.end.t - x.asked.due
            ends[first] = "served"
            late = c.late_worth if took <= c.deadline_ms * 1000 else 0.0
            earned[first] = c.worth * (1.0 if took <= c.aim_ms * 1000 else late)
            times.record_value(min(HIGHEST_US, max(LOWEST_US, took)))
        else:
            refused = isinstance(x.end, h.Answered) and x.end.status in (429, 503)
            if ends.get(first) != "served":
                ends[first] = "refused" if refused else "failed"
    counted = Counter(ends.values())
    total = sum(possible.values())
    return Figures(
        len(possible),
        {name: counted[name] for name in ("served", "refused", "failed")},
        sum(earned.values()) / total if total else 0.0,
        percentiles(times),
        sum(len(some) for some in case.got.values()),
    )
