"""What a run was worth: the goal, the worst window, the worst class and the prices, as BRIEF counts them."""

from __future__ import annotations

from array import array
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .requests import First
from .sampling import Day

HIGHEST_US = 3_600_000_000  # the histograms hold 1 us to an hour, to three digits


def histogram() -> HdrHistogram:
    """An empty one; all of them can be added up."""
    return HdrHistogram(1, HIGHEST_US, 3)


class Account:
    """Books every request at the second of its first try; the first `warm_s` count for nothing."""

    def __init__(self, day: Day, start: int) -> None:
        s = day.scenario
        self.scenario, self.start = s, start
        seconds = int(s.run.length_s) + 2
        self.asked, self.got = [0.0] * seconds, [0.0] * seconds
        self.refusals, self.firsts_at = [0] * seconds, [0] * seconds
        self.class_asked, self.class_got = [0.0] * len(s.cls), [0.0] * len(s.cls)
        self.warm = int(s.run.warm_s * 1e6)
        self.latencies = [array("q") for _ in s.cls]
        self.firsts = self.tries = self.attempts = self.crossings = self.probes = self.peer_bytes = 0
        self.in_time = self.late = self.refused = self.failed = 0
        self.late_fail = self.offered_work = self.wasted_work = 0.0
        self.outcomes: Counter[str] = Counter()
        self.restarts = 0

    def came(self, first: First) -> None:
        since = first.at - self.start
        self.firsts += 1
        self.offered_work += first.work
        if since < self.warm:
            return
        worth = self.scenario.cls[first.cls].worth
        self.asked[since // 1_000_000] += worth
        self.firsts_at[since // 1_000_000] += 1
        self.class_asked[first.cls] += worth

    def ended(self, first: First, now: int, served: bool) -> None:
        c = self.scenario.cls[first.cls]
        took, since = now - first.at, first.at - self.start
        in_time = took <= c.aim_ms * 1000
        if served:
            self.latencies[first.cls].append(took)
            self.in_time += in_time
            self.late += not in_time
        else:
            self.refused += first.refused
            self.failed += not first.refused
        if since < self.warm:
            return
        if served:
            worth = c.worth if in_time else c.worth * c.late_worth
            self.got[since // 1_000_000] += worth
            self.class_got[first.cls] += worth
        else:
            self.refusals[since // 1_000_000] += first.refused
            if not in_time:
                self.late_fail += c.worth

    def _windows(self) -> list[tuple[float, float, int]]:
        """Share served, refused share and first second of every window."""
        n = max(1, int(self.scenario.goal.window_s))
        last = int(self.scenario.run.length_s)
        result = []
        for i in range(max(1, last - n + 1)):
            asked, firsts = sum(self.asked[i : i + n]), sum(self.firsts_at[i : i + n])
            if asked > 0:
                served, refused = sum(self.got[i : i + n]) / asked, sum(self.refusals[i : i + n])
                result.append((served, refused / max(1, firsts), i))
        return result

    def row(self) -> dict[str, Any]:
        """The figures of the run, flat, ready for a table."""
        s, firsts = self.scenario, max(1, self.firsts)
        asked = sum(self.asked)
        whole = sum(self.got) / asked if asked else 0.0
        window, window_refused, window_at = min(self._windows(), default=(0.0, 0.0, 0))
        classes = [
            got / asked if asked else 1.0 for got, asked in zip(self.class_got, self.class_asked, strict=True)
        ]
        prices = {
            "price_cross_zone": s.prices.cross_zone * self.crossings / firsts,
            "price_waste": s.prices.waste * self.wasted_work / max(1.0, self.offered_work),
            "price_late_fail": s.prices.late_fail * self.late_fail / max(1e-9, asked),
            "price_probe": s.prices.probe * self.probes / firsts,
            "price_peer": s.prices.peer * self.peer_bytes / 256 / firsts,
        }
        goal = s.goal.whole * whole + s.goal.worst_window * window + s.goal.worst_class * min(classes)
        row: dict[str, Any] = {
            "goal": round(goal - sum(prices.values()), 6),
            "whole": round(whole, 6),
            "worst_window": round(window, 6),
            "worst_window_at_s": window_at,
            "worst_window_refused": round(window_refused, 6),
            "worst_class": round(min(classes), 6),
            "first_tries": self.firsts,
            "tries": self.tries,
            "attempts": self.attempts,
            "in_time": round(self.in_time / firsts, 6),
            "late": round(self.late / firsts, 6),
            "refused": round(self.refused / firsts, 6),
            "failed": round(self.failed / firsts, 6),
            **{name: round(value, 6) for name, value in prices.items()},
        }
        for c, share in zip(s.cls, classes, strict=True):
            row[f"served_{c.name}"] = round(share, 6)
        row |= {f"attempts_{o}": n for o, n in sorted(self.outcomes.items())}
        everything = histogram()
        for c, taken in zip(s.cls, self.latencies, strict=True):
            mine = histogram()
            for value, count in sorted(Counter(taken).items()):
                mine.record_value(value, count)
            everything.add(mine)
            row[f"latency_{c.name}"] = mine.encode().decode()
        for percentile in (50, 99, 99.9):
            row[f"p{percentile}_ms"] = everything.get_value_at_percentile(percentile) / 1000
        return row
