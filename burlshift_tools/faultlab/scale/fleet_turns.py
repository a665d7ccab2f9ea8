"""Whether a process of the tool had its turns in time, and what kept it from them."""

from __future__ import annotations

import asyncio
import time

LOOK_S = 0.005
LATE_MS = 20.0  # without a processor for longer than this, a process of the tool spoils the run


class Turns:
    """Looks every few milliseconds. A turn that is late has two causes, told apart by the processor time that
    the process itself used meanwhile: its own work (`busy_ms`), which with many agents to a process stands
    for that of as many machines; and the lack of a processor (`lost_ms`), which is the tool's own lateness.
    """

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        self.lost_ms = self.busy_ms = 0.0
        self._cpu = time.process_time_ns()

    @property
    def cpu_s(self) -> float:
        """Processor time since clear."""
        return (time.process_time_ns() - self._cpu) / 1e9

    async def watch(self) -> None:
        while True:
            began, cpu = time.monotonic_ns(), time.process_time_ns()
            await asyncio.sleep(LOOK_S)
            span_ms = (time.monotonic_ns() - began) / 1e6
            own_ms = (time.process_time_ns() - cpu) / 1e6
            self.busy_ms = max(self.busy_ms, own_ms)
            self.lost_ms = max(self.lost_ms, span_ms - own_ms - LOOK_S * 1000)
