"""Answers from a trace: the story of one request, why requests were refused, how good predictions were."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from .requests import TRIES
from .trace import VERSION


class TraceError(Exception):
    """A file is no trace that this version reads; the text is one line."""


def read(path: Path) -> tuple[dict[str, Any], Iterator[dict[str, Any]]]:
    """The header of a trace and its events, one by one. Raises TraceError."""
    decode = msgspec.json.Decoder(dict[str, Any]).decode
    try:
        file = path.open("rb")
        header = decode(file.readline())
    except OSError as e:
        raise TraceError(
            f"{path}: cannot be read ({e.strerror}); name a file that `run --trace` wrote"
        ) from None
    except msgspec.DecodeError:
        raise TraceError(f"{path}: line 1: is no trace; name a file that `run --trace` wrote") from None
    if header.get("fleetsim_trace") != VERSION:
        raise TraceError(
            f"{path}: line 1: a trace of version {header.get('fleetsim_trace')}, this program "
            f"reads {VERSION}; record the run again"
        )

    def events() -> Iterator[dict[str, Any]]:
        with file:
            for number, line in enumerate(file, 2):
                try:
                    yield decode(line)
                except msgspec.DecodeError:
                    raise TraceError(
                        f"{path}: line {number}: cut off or damaged; record the run again"
                    ) from None

    return header, events()


def one_request(path: Path, number: int) -> list[str]:
    """The whole story of a client's request, all its tries, in words."""
    header, events = read(path)
    lines = []
    for e in events:
        if e["request"] // TRIES != number or e["event"] == "log":
            continue
        lines.append(f"{e['t'] / 1e6:9.3f} s  agent {e['agent']}  {_words(header, e)}")
        lines += [f"{'':14}{_server(s)}" for s in e.get("looked", ())]
    if not lines:
        raise TraceError(f"{path}: no request {number} in it; `why` without a number lists those refused")
    return lines


def _words(header: dict[str, Any], e: dict[str, Any]) -> str:
    if e["event"] == "arrived":
        return (
            f"try {e['try_']} of {header['classes'][e['cls']]}, {e['work_ms']:.0f} ms of work, "
            f"patience {e['patience_ms']:.0f} ms, key {e['key']}"
        )
    if e["event"] == "ended":
        return f"attempt {e['attempt']} at {e['server']}: {e['outcome']} after {e['took_ms']:.0f} ms"
    if e["event"] == "concluded":
        return f"{e['how']}, {e['since_first_ms']:.0f} ms after the first try came"
    if e["act"] == "send":
        return (
            f"sent to {e['server']} (attempt {e['attempt']}), predicted {e['predicted_ms']:.0f} ms, "
            f"{_ms(e['true_ms'])} as things stood; {e['left_ms']:.0f} ms to the aim"
        )
    if e["act"] in ("refuse", "fail"):
        return (
            f"{e['act'].removesuffix('e')}ed: {because(e)}; the best server would have taken "
            f"{_ms(e['best_true_ms'])}, {e['left_ms']:.0f} ms to the aim"
        )
    return f"{e['act']}: {e['ready']} servers ready, {e['left_ms']:.0f} ms to the aim"


def _ms(value: float | None) -> str:
    return "no answer" if value is None else f"{value:.0f} ms"


def _server(s: dict[str, Any]) -> str:
    text = (
        f"{s['server']:>5}: {s['verdict']:7} saw {s['own']:g} own + {s['others']:g} others, "
        f"{'never heard' if s['age_ms'] is None else str(s['age_ms']) + ' ms old'}; "
        f"true {s['true_held']}; predicted {s['predicted_ms']:.0f} ms at {s['pace_ms']:.0f} ms each"
    )
    if s.get("limit_ms") is not None:
        text += f", limit {s['limit_ms']:.0f} ms"
    if "band" in s:
        text += f"; band {s['band']} (rank {s['rank_ms']:.0f} ms)"
    return f"{text}; truly {_ms(s['true_ms'])}"


def because(e: dict[str, Any]) -> str:
    """Why a try was given up, in a few words that can be counted."""
    if e["sends"]:
        return "an attempt failed" + (", no retry budget" if e["budget"] < 1 else ", nobody fit for another")
    verdicts = Counter(s["verdict"] for s in e["looked"])
    verdicts.pop("fit", None)
    if not e["ready"]:
        return "no server listed"
    if not verdicts:
        return "its time was over"
    return " and ".join(
        f"{'most' if 2 * n > sum(verdicts.values()) else 'some'} {verdict}"
        for verdict, n in verdicts.most_common(2)
    )


def summary(path: Path, from_s: float = 0.0, to_s: float = float("inf")) -> dict[str, list[list[str]]]:
    """Tables: why tries were given up, by class; and how long answers took against what was predicted."""
    header, events = read(path)
    reasons: Counter[tuple[str, str, str]] = Counter()
    feasible: Counter[tuple[str, str, str]] = Counter()
    examples: dict[tuple[str, str, str], int] = {}
    predicted: dict[tuple[int, int], float] = {}
    ratios: dict[str, list[float]] = defaultdict(list)
    tries: Counter[str] = Counter()
    for e in events:
        if not from_s <= e["t"] / 1e6 < to_s:
            continue
        if e["event"] == "arrived":
            tries[header["classes"][e["cls"]]] += 1
        elif e["event"] == "decided" and e["act"] in ("refuse", "fail"):
            place = (header["classes"][e["cls"]], "retry" if e["retry"] else "first try", because(e))
            reasons[place] += 1
            feasible[place] += e["best_true_ms"] is not None and e["best_true_ms"] < e["left_ms"]
            examples.setdefault(place, e["request"] // TRIES)
        elif e["event"] == "decided" and e["act"] == "send":
            predicted[e["request"], e["attempt"]] = e["predicted_ms"]
        elif e["event"] == "ended" and e["outcome"] == "ok":
            said = predicted.pop((e["request"], e["attempt"]), 0.0)
            if said > 0:
                ratios[header["classes"][e["cls"]]].append(said / max(0.1, e["took_ms"]))
    given_up = [
        [
            cls,
            of,
            why,
            str(n),
            f"{n / max(1, tries[cls]):.1%}",
            f"{feasible[cls, of, why] / n:.0%}",
            str(examples[cls, of, why]),
        ]
        for (cls, of, why), n in reasons.most_common()
    ]
    shown = []
    for cls, values in sorted(ratios.items()):
        values.sort()
        n = len(values)
        marks = values[n // 10], median(values), values[n * 9 // 10]
        shown.append([cls, str(n), *(f"{mark:.2f}" for mark in marks)])
    return {"given_up": given_up, "prediction": shown}
