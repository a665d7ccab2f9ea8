"""Delays between zones, and which zones cannot hear one another."""

from __future__ import annotations

import math

from .random_streams import Stream
from .scenario import Network


class Links:
    """One-way delays in us; a cut is between one zone and all others."""

    def __init__(self, settings: Network, stream: Stream) -> None:
        self.same, self.cross = settings.same_ms * 1000, settings.cross_ms * 1000
        variance = math.log1p(settings.jitter**2)
        self._sigma, self._shift = math.sqrt(variance), variance / 2
        self.loss, self.reset = settings.loss, settings.reset
        self.stream = stream
        self.cut_off: set[int] = set()  # zones that are cut off now

    def delay(self, a: int, b: int) -> int:
        mean = self.same if a == b else self.cross
        return int(mean * math.exp(self._sigma * self.stream.normal() - self._shift)) + 1

    def cut(self, a: int, b: int) -> bool:
        return bool(self.cut_off) and a != b and (a in self.cut_off or b in self.cut_off)
