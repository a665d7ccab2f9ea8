"""The clock of the agent: monotonic, in integer microseconds. Wall-clock times are converted here only."""

from __future__ import annotations

import time

NS_PER_US = 1000
US_PER_MS = 1000


class Clock:
    """Monotonic time, and conversion of Unix times to and from it."""

    def __init__(self) -> None:
        # Fixed at the start, as otherwise one Unix time would convert to two times after a step of the clock.
        self._offset = _offset_us()

    def now(self) -> int:
        """Monotonic time in microseconds."""
        return time.monotonic_ns() // NS_PER_US

    def from_unix_ms(self, unix_ms: int) -> int:
        """Convert a Unix time, always to the same result; 0 (long ago) stays 0, nothing else becomes 0."""
        return (unix_ms * US_PER_MS + self._offset or 1) if unix_ms else 0

    def to_unix_ms(self, monotonic_us: int) -> int:
        """The Unix time that from_unix_ms of this process converts to this time."""
        return (monotonic_us - self._offset) // US_PER_MS if monotonic_us else 0

    def latest_from_unix_ms(self, unix_ms: int) -> int:
        """Convert a Unix time by the present wall clock and by that at the start; return the later result.

        Which of the two is right, if any, is unknown. The result changes after a step of the wall clock.
        """
        return max(self.from_unix_ms(unix_ms), unix_ms * US_PER_MS + _offset_us() or 1) if unix_ms else 0


def _offset_us() -> int:
    """Monotonic time minus wall-clock time. A pause between the two readings makes converted times later."""
    wall_us = time.time_ns() // NS_PER_US
    return time.monotonic_ns() // NS_PER_US - wall_us
