"""Estimates when a client wrote the bytes that have been read from it."""

from __future__ import annotations

import asyncio

from .loop_lag import unread_since


class SentTime:
    """The earliest time at which a client may have written its latest bytes. The timeout of a request counts
    from then, not from the time at which the bytes were read. All times are the loop's, in seconds."""

    __slots__ = ("earliest", "unread_since", "_loop", "_accepted_unread_since")

    def __init__(self, loop: asyncio.AbstractEventLoop, waiting_since: float | None) -> None:
        """waiting_since: since when the client may have waited to be accepted; None if it has not."""
        self._loop = loop
        self.earliest = 0.0
        self._accepted_unread_since = unread_since(loop) if waiting_since is None else waiting_since
        # Set when reading is paused, until all waiting input has been read.
        self.unread_since: float | None = None

    def note_unread_at_accept(self) -> None:
        """Input was waiting as soon as the connection was set up: it may have waited since the accept."""
        self.unread_since = self._accepted_unread_since

    def pause(self, last_read_at: float) -> None:
        """Reading is paused; the previous read was at `last_read_at`."""
        self.unread_since = last_read_at

    def on_read(self, filled_buffer: bool) -> None:
        """Note that bytes have been read. If they did not fill the read buffer, no input was left waiting."""
        since = unread_since(self._loop)
        self.earliest = since if self.unread_since is None else min(since, self.unread_since)
        if not filled_buffer:
            self.unread_since = None

    def next_request(self) -> None:
        """Forget the pause in reading, which concerned the previous request."""
        self.unread_since = None
