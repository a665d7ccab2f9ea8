"""One HTML file of a run that opens without a network: lanes of processes, faults, rates and times."""

from __future__ import annotations

import base64
import html
import io
import os
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import numpy as np

from . import history as h
from . import verdict
from .checkers.case import END_OF_TIME, Case, Window
from .rig import RunFile

if TYPE_CHECKING:
    from matplotlib.axes import Axes

BIN_S = 0.5
LASTING = ("drain", "add", "stop", "start")  # what the lanes of the servers show by themselves
FAULT, LIFE, BREACH = "#c0504d", "#b8cce4", "#7030a0"
STYLE = """body{font:14px sans-serif;margin:2em;max-width:1100px}img{max-width:100%}
table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left;vertical-align:top}
pre{background:#f4f4f4;padding:8px}"""


class ReportError(Exception):
    """The report cannot be made; the text is one line."""


def write(folder: Path, to: Path) -> Path:
    """Raises ReportError, HistoryError."""
    try:
        import matplotlib
    except ImportError:
        raise ReportError("report: matplotlib is not installed; install the extra `tools`") from None
    matplotlib.use("Agg")
    run, case = verdict.read(folder)
    v = verdict.judge(case)
    text = _page(run, case, v, _picture(case, v))
    new = to.with_name(f"{to.name}.{os.getpid()}")
    new.write_text(text, encoding="utf-8")
    new.replace(to)
    return to


def _picture(case: Case, v: verdict.Verdict) -> str:
    from matplotlib.figure import Figure

    lanes = sorted((who for who in case.lives if who[0] in "ads"), key=lambda who: (who[0], int(who[1:])))
    figure = Figure(figsize=(11, 6 + 0.22 * len(lanes)), layout="constrained")
    lane, rate, times = figure.subplots(3, 1, sharex=True, height_ratios=[1 + 0.12 * len(lanes), 1, 1])
    _lanes(lane, case, v, lanes)
    _rates(rate, case)
    _times(times, case)
    times.set_xlabel("s")
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=90)
    return base64.b64encode(data.getvalue()).decode()


def _lanes(ax: Axes, case: Case, v: verdict.Verdict, lanes: Sequence[str]) -> None:
    place = {who: i for i, who in enumerate(lanes)}
    for who in lanes:
        for life in case.lives[who]:
            begin = case.seconds(life.ready if life.ready < END_OF_TIME else life.begun)
            end = case.seconds(min(life.ended, case.end))
            ax.broken_barh([(begin, end - begin)], (place[who] - 0.4, 0.8), facecolors=LIFE)
    for window, agents, servers, path in case.windows:
        if window.kind in LASTING:
            continue
        begin, end = case.seconds(window.begin), case.seconds(min(window.end, case.end))
        struck = agents or servers or frozenset({"d0"})
        for who in struck & place.keys():
            ax.broken_barh([(begin, max(0.05, end - begin))], (place[who] - 0.25, 0.5), facecolors=FAULT)
        if struck & place.keys():
            top = min(place[who] for who in struck if who in place) - 0.45
            ax.annotate(_named(window, path), (begin, top), fontsize=6, color=FAULT)
    for b in v.breaches[:200]:
        if b.who in place:
            ax.plot([case.seconds(b.t)], [place[b.who]], marker="x", color=BREACH)
    ax.set_yticks(range(len(lanes)), lanes, fontsize=7)
    ax.invert_yaxis()


def _named(window: Window, path: str) -> str:
    told = window.detail.get("how") or window.detail.get("strike") or ""
    how = "cut" if window.detail.get("cut") else str(told)
    return " ".join(word for word in (window.kind, path, how) if word and word != "none")


def _bins(case: Case, times: Sequence[int]) -> tuple[Any, Any]:
    edges = np.arange(0.0, max(BIN_S, case.seconds(case.end)) + BIN_S, BIN_S)
    counted, _ = np.histogram([case.seconds(t) for t in times], edges)
    return edges[:-1], counted / BIN_S


def _rates(ax: Axes, case: Case) -> None:
    by_end: dict[str, list[int]] = {"asked": [], "served": [], "refused": []}
    for x in case.exchanges.values():
        by_end["asked"].append(x.asked.t)
        if isinstance(x.end, h.Answered) and x.end.status in (200, 429, 503):
            by_end["served" if x.end.status == 200 else "refused"].append(x.asked.t)
    for label, times in by_end.items():
        ax.step(*_bins(case, times), where="post", label=label)
    ax.set_ylabel("tries a second")
    ax.legend(fontsize=7)


def _times(ax: Axes, case: Case) -> None:
    points = [
        (case.seconds(x.asked.t), (x.end.t - x.asked.due) / 1000)
        for x in case.exchanges.values()
        if isinstance(x.end, h.Answered) and x.end.status == 200
    ]
    ax.plot([t for t, _ in points], [ms for _, ms in points], ".", markersize=2)
    ax.set_yscale("log")
    ax.set_ylabel("ms from when due")


def _page(run: RunFile, case: Case, v: verdict.Verdict, picture: str) -> str:
    def safe(text: object) -> str:
        return html.escape(str(text))

    rows = "".join(
        f"<tr><td>{safe(b.rule)}</td><td>{case.seconds(b.t):.3f}</td><td>{safe(b.who)}</td>"
        f"<td>{safe(b.what)}</td></tr>"
        for b in v.breaches[:100]
    )
    broken = f"<table><tr><th>rule</th><th>s</th><th>at</th><th>seen</th></tr>{rows}</table>" if rows else ""
    f = v.figures
    figures = "".join(
        f"<tr><td>{safe(name)}</td><td>{safe(value)}</td></tr>"
        for name, value in [
            ("requests", f.requests),
            *f.ends.items(),
            ("worth", f"{f.worth:.3f}"),
            ("attempts", f.attempts),
            *((f"{name}, ms from when due", f"{us / 1000:.1f}") for name, us in f.latency_us.items()),
            *((f"processor s, {who}", f"{s:.1f}") for who, s in v.usage_s.items()),
        ]
    )
    verdict_lines = "".join(f"<p>{safe(line)}</p>" for line in [*v.lines(case), v.lateness])
    schedule = safe("\n".join(run.schedule) or "no fault")
    title = f"{safe(run.name)}, seed {run.seed}"
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{title}</title>"
        f"<style>{STYLE}</style><h1>{title}</h1><p>{safe(run.scenario.about)}</p>"
        f"{verdict_lines}<img alt='lanes, rates and times' src='data:image/png;base64,{picture}'>"
        f"<h2>Figures</h2><table>{figures}</table><h2>Schedule</h2><pre>{schedule}</pre>"
        f"{'<h2>Breaches</h2>' if broken else ''}{broken}</html>\n"
    )
