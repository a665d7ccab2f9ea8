"""The time that a client has for sending its request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# From connecting, or from a request's first byte. Whoever stops is owed an error within 3 s, while an honest
# client may take 2 s for a head, and 64 kB a second are its body's mean: single pieces come as they may.
HEAD_S, DECIDED_S = 2.5, 2.7
STOPPED_S, SILENT_S = 0.4, 5.0  # of silence in a body: once DECIDED_S are over, and of who went on past that
BODY_RATE, BODY_START_S = 32_000, 0.5  # bytes a second at least, counted from so long after the head

TooSlow = Callable[[], None]  # called when the time is over


class RequestDeadline:
    """When the request that is being received must have come further: a client that says nothing, or stops in
    the middle, must not hold a descriptor for good.

    What is called when it is over is known to the timer alone, so that a connection and its deadline do not
    refer to each other for longer than the timer runs."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None  # set while a request is waited for
        self.began = 0.0  # the request; before its first byte, the connection
        self.last = 0.0  # when the latest bytes were read
        self.received = 0  # bytes of the body
        self._in_body = False  # the head is whole
        self._body_began = 0.0

    @property
    def decided(self) -> bool:
        """Whether the time is over that every request is given."""
        return self._loop.time() >= self.began + DECIDED_S

    def start(self, on_too_slow: TooSlow) -> None:
        """A request is waited for from now on, if it is not yet."""
        if self.timer is None:
            self.began = self.last = self._loop.time()
            self.timer = self._loop.call_later(HEAD_S, self._look, on_too_slow)

    def stop(self) -> None:
        """The request has come, or the client need not send anything."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def resume(self, on_too_slow: TooSlow) -> None:
        """The body is read again: the time while it was not does not count."""
        now = self._loop.time()
        self._body_began += now - self.last
        self.last = now
        self.timer = self._loop.call_later(max(0.0, self._due() - now), self._look, on_too_slow)

    def look_after(self, wait_s: float, on_too_slow: TooSlow) -> None:
        """Look again then, where the time is over but something has just come."""
        self.timer = self._loop.call_later(wait_s, self._look, on_too_slow)

    def on_bytes(self) -> None:
        """Something has been read just now."""
        self.last = self._loop.time()

    def begin_body(self) -> None:
        """The head is whole."""
        self._in_body, self._body_began, self.received = True, self._loop.time(), 0

    def end_request(self) -> None:
        """The request has been answered: what comes next is a head."""
        self._in_body = False

    def _look(self, on_too_slow: TooSlow) -> None:
        """Whether the request still comes along."""
        left_s = self._due() - self._loop.time()
        if left_s <= 0:
            on_too_slow()
        else:
            self.timer = self._loop.call_later(left_s, self._look, on_too_slow)

    def _due(self) -> float:
        """When the request must have come further."""
        if not self._in_body:
            return self.began + HEAD_S
        decided = self.began + DECIDED_S
        silent = self.last + (SILENT_S if self.last + STOPPED_S > decided else STOPPED_S)
        return max(decided, min(silent, self._body_began + BODY_START_S + self.received / BODY_RATE))
