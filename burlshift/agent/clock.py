"""The one clock: monotonic, in integer microseconds. Wall-clock times enter here, and nowhere else."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time, and wall-clock times put on it."""

    def __init__(self) -> None:
        # Fixed at start: were it taken anew, a step of the wall clock would make one time look like two.
        self._offset = _offset_us()

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def from_unix_ms(self, ms: int) -> int:
        """The same value always gives the same time; 0 (long ago) stays 0, and nothing else becomes 0."""
        return (ms * 1000 + self._offset or 1) if ms else 0

    def to_unix_ms(self, us: int) -> int:
        """The value that from_unix_ms makes this time of, in this process."""
        return (us - self._offset) // 1000 if us else 0

    def latest_from_unix_ms(self, ms: int) -> int:
        """The later of what the wall clock says now and of what it said at the start: which of the two is
        right, if any, is not known. Not the same after a step of the wall clock."""
        return max(self.from_unix_ms(ms), ms * 1000 + _offset_us() or 1) if ms else 0


def _offset_us() -> int:
    """From wall-clock time to monotonic time. A pause between the two readings makes times later."""
    wall_us = time.time_ns() // 1000
    return time.monotonic_ns() // 1000 - wall_us
