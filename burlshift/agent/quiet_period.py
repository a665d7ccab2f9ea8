"""The quiet period: how long a connection to a backend must be idle after a response before it is reused.

A response in HTTP/1.1 does not name its request. Some backends send a second response to a request.
After the next request has been sent on the connection, it would be taken for that request's response; while
the connection is idle it is recognised as unsolicited.
"""

from __future__ import annotations

from burlshift.balancing.interface import BackendId

# While no backend is known to send duplicates. Those come some milliseconds after the first response.
# docs/design.md has the cost in connections.
DEFAULT_QUIET_US = 50_000
# Unsolicited bytes that come later are no duplicate response, but for instance the notice of an idle timeout.
MAX_DUPLICATE_DELAY_US = 100_000
# Once a backend has sent a duplicate: for that backend, however soon the duplicate came, and for the others,
# which may run the same program.
DUPLICATES_SEEN_QUIET_US, OTHER_BACKENDS_QUIET_US = 2 * MAX_DUPLICATE_DELAY_US, MAX_DUPLICATE_DELAY_US


class QuietPeriods:
    """The quiet period of each backend, by the duplicate responses from it and from others."""

    def __init__(self) -> None:
        self._sent_duplicates: set[BackendId] = set()

    def period_us(self, backend: BackendId) -> int:
        """The quiet period of a backend in microseconds."""
        if not self._sent_duplicates:
            return DEFAULT_QUIET_US
        return DUPLICATES_SEEN_QUIET_US if backend in self._sent_duplicates else OTHER_BACKENDS_QUIET_US

    def record_unsolicited(self, backend: BackendId, delay_after_us: int) -> None:
        """Record unsolicited bytes from a backend, this long after its response before them."""
        if delay_after_us <= MAX_DUPLICATE_DELAY_US:
            self._sent_duplicates.add(backend)

    def forget(self, backend: BackendId) -> None:
        """Drop what is known of a backend whose process has ended or been replaced."""
        self._sent_duplicates.discard(backend)
