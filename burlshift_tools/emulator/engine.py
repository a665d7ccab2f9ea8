"""The clock of the emulator: calls in the order of their time, and of their making where times are equal."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Engine:
    """Virtual time in integer microseconds; nothing here waits."""

    __slots__ = ("now", "events", "_heap", "_made")

    def __init__(self, start: int) -> None:
        self.now = start
        self.events = 0  # calls carried out so far
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0

    def at(self, time: int, call: Callable[..., None], *args: Any) -> None:
        """Have call(*args) carried out at this time, or now if it is past."""
        self._made += 1
        heappush(self._heap, (time if time > self.now else self.now, self._made, call, args))

    def run(self, until: int) -> None:
        """Carry out all calls up to and including this time."""
        heap = self._heap
        count = 0
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            count += 1
            call(*args)
        self.events += count
        self.now = max(self.now, until)
