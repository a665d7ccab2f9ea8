"""Policies side by side: paired over seeds, with confidence intervals."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np

from .scoring import histogram

RESAMPLES = 10_000
CONFIDENCE = 0.95


class CompareError(Exception):
    """The rows cannot be compared; the text is one line."""


def label(row: dict[str, Any], several_decisions: bool) -> str:
    """How a row's policy is named in a table."""
    text = str(row["policy"])
    if row["settings"]:
        text += f" {row['settings']}"
    if several_decisions and text.startswith("ours"):
        text += f" @{row['decisions']}"
    return text


def paired(a: list[float], b: list[float]) -> tuple[float, float, float]:
    """Mean of the differences a - b, and the bounds of its bootstrap interval.

    Percentile bootstrap over pairs (Efron and Tibshirani, An Introduction to the Bootstrap, 1993,
    chapter 13).
    """
    differences = np.asarray(a) - np.asarray(b)
    rng = np.random.default_rng(len(differences))
    picks = rng.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[picks].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return float(differences.mean()), float(low), float(high)


def table(rows: list[dict[str, Any]], base: str | None = None, figure: str = "goal") -> list[list[str]]:
    """One line for each scenario and policy; the first line holds the heads. Raises CompareError."""
    if not rows:
        raise CompareError("no rows to compare; name a file that `sweep -o` wrote")
    several = len({row["decisions"] for row in rows}) > 1
    groups: dict[tuple[str, str], dict[int, dict[str, Any]]] = defaultdict(dict)
    for row in rows:
        if figure not in row or not isinstance(row[figure], int | float):
            names = sorted(k for k, v in row.items() if isinstance(v, int | float))
            raise CompareError(f"--figure {figure}: no such figure in the rows; there are {', '.join(names)}")
        groups[row["scenario"], label(row, several)][row["seed"]] = row
    labels = list(dict.fromkeys(name for _, name in groups))
    base = base if base is not None else labels[0]
    if base not in labels:
        raise CompareError(f"--base {base}: not among the rows; there are {', '.join(labels)}")
    lines = [
        [
            "scenario",
            "policy",
            "seeds",
            figure,
            f"against {base}",
            "95% interval",
            "served",
            "refused",
            "late",
            "failed",
            "p50 ms",
            "p99 ms",
            "broken",
        ]
    ]
    for (scenario, name), mine in groups.items():
        theirs = groups.get((scenario, base), {})
        common = sorted(set(mine) & set(theirs))
        against = interval = "-"
        if name != base and common:
            mean, low, high = paired([mine[s][figure] for s in common], [theirs[s][figure] for s in common])
            against, interval = f"{mean:+.3f}", f"{low:+.3f} to {high:+.3f}"
        all_of = list(mine.values())
        latency = histogram()
        for row in all_of:
            for column, value in row.items():
                if column.startswith("latency_"):
                    latency.decode_and_add(value)
        lines.append(
            [
                scenario,
                name,
                str(len(mine)),
                f"{_mean(all_of, figure):.3f}",
                against,
                interval,
                f"{_mean(all_of, 'whole'):.3f}",
                f"{_mean(all_of, 'refused'):.1%}",
                f"{_mean(all_of, 'late'):.1%}",
                f"{_mean(all_of, 'failed'):.1%}",
                f"{latency.get_value_at_percentile(50) / 1000:.0f}",
                f"{latency.get_value_at_percentile(99) / 1000:.0f}",
                str(sum(row["rules_broken"] > 0 for row in all_of) or "-"),
            ]
        )
    return lines


def _mean(rows: list[dict[str, Any]], figure: str) -> float:
    return float(np.mean([row[figure] for row in rows]))
