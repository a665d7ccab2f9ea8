"""Limits the time that a client may take to send a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# A client that stops sending must get its error within 3 s. A well-behaved client may take 2 s for the head
# and sends its body at a mean of 64 kB per second, in pieces of any size and spacing.
# Both times count from the connect, or from the first byte of a later request. No body expires before
# MINIMUM_TIME_S.
HEAD_TIMEOUT_S, MINIMUM_TIME_S = 2.5, 2.7
# The longest silence in a body: until MINIMUM_TIME_S, and for a body that is still arriving after that.
STALL_S, LATE_STALL_S = 0.4, 5.0
# The mean rate that a body must keep, counted from the end of a grace period after the head.
MIN_BODY_BYTES_PER_S, BODY_RATE_GRACE_S = 32_000, 0.5

OnExpired = Callable[[], None]


class RequestDeadline:
    """The deadline by which the client must send more of its request, so that a client that sends nothing, or
    stops midway, does not hold a descriptor forever.

    Only the timer refers to the expiry callback, so that a connection and its deadline refer to each other no
    longer than the timer runs."""

    __slots__ = (
        "timer",
        "started_at",
        "last_read_at",
        "received",
        "_loop",
        "_in_body",
        "_body_started_at",
    )

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None  # set while waiting for a request
        self.started_at = 0.0  # time of the connect, or of the first byte of a later request
        self.last_read_at = 0.0
        self.received = 0  # bytes of the body
        self._in_body = False  # the head is complete
        self._body_started_at = 0.0

    @property
    def minimum_time_over(self) -> bool:
        """Whether MINIMUM_TIME_S, which every request is given, has passed."""
        return self._loop.time() >= self.started_at + MINIMUM_TIME_S

    def start(self, on_expired: OnExpired) -> None:
        """Start waiting for a request, unless the timer is running already."""
        if self.timer is None:
            self.started_at = self.last_read_at = self._loop.time()
            self.timer = self._loop.call_later(HEAD_TIMEOUT_S, self._check, on_expired)

    def stop(self) -> None:
        """Stop the timer: the request is complete, or the client need not send anything now."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def resume(self, on_expired: OnExpired) -> None:
        """Restart the timer as the body is read again; the time during which reading was paused does not
        count."""
        now = self._loop.time()
        self._body_started_at += now - self.last_read_at
        self.last_read_at = now
        self.timer = self._loop.call_later(max(0.0, self._due_at() - now), self._check, on_expired)

    def check_after(self, wait_s: float, on_expired: OnExpired) -> None:
        """Check again after `wait_s` seconds: the time is over, but unread bytes have just arrived."""
        self.timer = self._loop.call_later(wait_s, self._check, on_expired)

    def on_bytes(self) -> None:
        """Record that bytes have been read now."""
        self.last_read_at = self._loop.time()

    def begin_body(self) -> None:
        """Start the limits of the body: the head is complete."""
        self._in_body, self._body_started_at, self.received = True, self._loop.time(), 0

    def end_request(self) -> None:
        """Go back to the limit of a head: the request has been answered."""
        self._in_body = False

    def _check(self, on_expired: OnExpired) -> None:
        """Report the expiry, or wait until the deadline, which has moved."""
        left_s = self._due_at() - self._loop.time()
        if left_s <= 0:
            on_expired()
        else:
            self.timer = self._loop.call_later(left_s, self._check, on_expired)

    def _due_at(self) -> float:
        """The time by which more of the request must have been read."""
        if not self._in_body:
            return self.started_at + HEAD_TIMEOUT_S
        earliest = self.started_at + MINIMUM_TIME_S
        stalled = self.last_read_at + (LATE_STALL_S if self.last_read_at + STALL_S > earliest else STALL_S)
        return max(
            earliest,
            min(stalled, self._body_started_at + BODY_RATE_GRACE_S + self.received / MIN_BODY_BYTES_PER_S),
        )
