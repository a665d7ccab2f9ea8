"""An event loop that knows how long the input it reads may have waited in the kernel.

During a long turn of the loop, such as one that parses a large list, requests stay unread in the kernel while
their timeouts run.
"""

from __future__ import annotations

import asyncio
from selectors import SelectorKey
from time import monotonic

from .retrying_selector import RetryingSelector
from .turn_times import TurnTimes

BLOCKING_CALL_S = 0.005  # a select() call that lasted longer had no ready descriptor at its start


class LagTrackingSelector(RetryingSelector):
    """A selector that also records since when the reported descriptors may have been ready, and how long the
    turns between its calls take."""

    def __init__(self) -> None:
        super().__init__()
        self.turn_times = TurnTimes()
        self.unread_since = self._returned = monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        called = monotonic()
        self.turn_times.end_turn(called - self._returned)
        ready = super().select(timeout)
        returned = monotonic()
        self.unread_since = returned if returned - called > BLOCKING_CALL_S else self._returned
        self._returned = returned
        return ready


class LagTrackingEventLoop(asyncio.SelectorEventLoop):
    """The agent's event loop: asyncio's selector loop on a LagTrackingSelector."""

    def __init__(self) -> None:
        self.lag_selector = LagTrackingSelector()
        super().__init__(self.lag_selector)


def unread_since(loop: asyncio.AbstractEventLoop) -> float:
    """The earliest time at which the input that is being read may have arrived; the current time on a loop of
    another class."""
    return loop.lag_selector.unread_since if isinstance(loop, LagTrackingEventLoop) else loop.time()


def turn_times(loop: asyncio.AbstractEventLoop) -> TurnTimes:
    """The durations of this loop's turns; those of a loop of another class are not recorded."""
    return loop.lag_selector.turn_times if isinstance(loop, LagTrackingEventLoop) else TurnTimes()


def loop_metrics(loop: asyncio.AbstractEventLoop) -> dict[str, tuple[int, str]] | None:
    """The metrics of this loop's turns, see TurnTimes.metrics; None for a loop of another class."""
    return loop.lag_selector.turn_times.metrics() if isinstance(loop, LagTrackingEventLoop) else None
