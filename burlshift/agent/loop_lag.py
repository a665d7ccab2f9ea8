"""An event loop that knows how long what it has just read may have waited for it.

A turn that takes long, as one in which a large list is read, leaves requests unread in the kernel, while
their clients' time runs.
"""

from __future__ import annotations

import asyncio
from selectors import SelectorKey
from time import monotonic

from .retrying_selector import RetryingSelector

BLOCKED_S = 0.005  # a call of the selector that lasted longer has waited, and nothing was ready before


class LagTrackingSelector(RetryingSelector):
    """Selects as usual, and notes since when what it reports may have been ready."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_since = self._returned = monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        called = monotonic()
        ready = super().select(timeout)
        returned = monotonic()
        self.unread_since = returned if returned - called > BLOCKED_S else self._returned
        self._returned = returned
        return ready


class LagTrackingEventLoop(asyncio.SelectorEventLoop):
    """The agent's event loop: the usual one on such a selector."""

    def __init__(self) -> None:
        self.turns = LagTrackingSelector()
        super().__init__(self.turns)


def unread_since(loop: asyncio.AbstractEventLoop) -> float:
    """When what is being read may have come, at the earliest; now, on a loop that does not know."""
    return loop.turns.unread_since if isinstance(loop, LagTrackingEventLoop) else loop.time()
