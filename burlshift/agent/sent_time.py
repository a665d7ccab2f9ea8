"""Estimates when a client wrote what has been read from it."""

from __future__ import annotations

import asyncio

from .connection import READ_BYTES
from .loop_lag import unread_since


class SentTime:
    """When a client may have written its latest bytes, at the earliest. A request's time runs from then, not
    from when they were read."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.earliest = 0.0
        self._accepted = unread_since(loop)
        self.unread_since: float | None = None  # set where reading has paused, until all that came is read

    def came_with_connection(self) -> None:
        """Something could be read as soon as the connection was up: it has waited for all turns since it was
        accepted."""
        self.unread_since = self._accepted

    def pause(self, last: float) -> None:
        """Nothing is read for now; `last` is when something was."""
        self.unread_since = last

    def on_read(self, length: int) -> None:
        """So many bytes have been read. Fewer than are read at once: they are all that had come."""
        since = unread_since(self._loop)
        self.earliest = since if self.unread_since is None else min(since, self.unread_since)
        if length < READ_BYTES:
            self.unread_since = None

    def next_request(self) -> None:
        """What was not read in time concerned the request before."""
        self.unread_since = None
