"""How long the iterations ("turns") of the event loop take, and whose input the long ones were spent on."""

from __future__ import annotations

import logging
from bisect import bisect_left
from time import monotonic
from typing import Protocol

log = logging.getLogger(__name__)

BUCKET_LIMITS_MS = (1, 2, 5, 10, 20, 50, 100)  # of the histogram; a last bucket holds longer turns
LONG_TURN_S = 0.05  # a longer turn is logged
LOG_INTERVAL_S = 1.0  # between two log lines


class Peer(Protocol):
    """Whoever sent the input that is being processed."""

    @property
    def kind(self) -> str:
        """What it is to the agent: client, server, discovery or admin."""

    def address(self) -> str:
        """Its address, for the log."""


class TurnTimes:
    """Durations of the event loop's turns, and in each the input that took longest. All times in seconds."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKET_LIMITS_MS) + 1)
        self._longest_s_by_kind: dict[str, float] = {}
        self._longest_turn_s = 0.0
        # Of the current turn: the input that has taken longest so far.
        self._work_s = 0.0
        self._work_peer: Peer | None = None
        self._work_name = ""
        self._next_log_at = 0.0

    def record_work(self, peer: Peer, name: str, duration_s: float) -> None:
        """Record that input of this peer took so long; `name` says what was done."""
        if duration_s > self._work_s:
            self._work_s, self._work_peer, self._work_name = duration_s, peer, name

    def end_turn(self, duration_s: float) -> None:
        """Record the duration of the turn that ends now, without its wait for input."""
        self._counts[bisect_left(BUCKET_LIMITS_MS, duration_s * 1000)] += 1
        self._longest_turn_s = max(self._longest_turn_s, duration_s)
        peer = self._work_peer
        if peer is None:
            return self._log_if_long(duration_s)
        self._longest_s_by_kind[peer.kind] = max(self._longest_s_by_kind.get(peer.kind, 0.0), self._work_s)
        self._log_if_long(duration_s)
        self._work_s, self._work_peer = 0.0, None

    def _log_if_long(self, duration_s: float) -> None:
        if duration_s <= LONG_TURN_S or monotonic() < self._next_log_at:
            return
        self._next_log_at = monotonic() + LOG_INTERVAL_S
        peer = self._work_peer
        cause = (
            "no input"
            if peer is None
            else f"{self._work_s * 1000:.0f} ms for {self._work_name} of {peer.kind} {peer.address()}"
        )
        log.warning("a turn of the event loop took %.0f ms: %s", duration_s * 1000, cause)

    def metrics(self) -> dict[str, tuple[int, str]]:
        """By name: value, and `c` for a counter or `g`. The counters hold the turns up to each limit."""
        values: dict[str, tuple[int, str]] = {}
        total = 0
        for limit_ms, count in zip((*BUCKET_LIMITS_MS, None), self._counts, strict=True):
            total += count
            suffix = "" if limit_ms is None else f".le_{limit_ms}_ms"
            values[f"loop_turns{suffix}"] = (total, "c")
        values["loop_turn_longest_ms"] = (round(self._longest_turn_s * 1000), "g")
        for kind, longest_s in sorted(self._longest_s_by_kind.items()):
            values[f"loop_input_longest_ms.{kind}"] = (round(longest_s * 1000), "g")
        return values
