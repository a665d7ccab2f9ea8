"""How long a connection to a backend has to stay quiet after an answer before it carries the next request.

HTTP/1.1 names no request in an answer: a second answer to one request that arrives once the next one has gone
out on the connection cannot be told from that one's own. It can be told as long as nothing has been asked.
"""

from __future__ import annotations

from burlshift.balancing.interface import BackendId

# Second answers come some milliseconds late. What the period costs in connections: docs/design.md.
QUIET_US = 50_000
# Beyond it bytes that nobody asked for are no second answer, but for instance the notice of an idle time-out.
LATENESS_MOST_US = 100_000
# Of a backend that was seen to answer twice, however soon, and of the others, which may run the same program.
SEEN_US, OTHERS_US = 2 * LATENESS_MOST_US, LATENESS_MOST_US


class QuietPeriods:
    """The quiet period of each backend, by the second answers that have come from it and from others."""

    def __init__(self) -> None:
        self._seen: set[BackendId] = set()

    def of(self, backend: BackendId) -> int:
        """In microseconds."""
        if not self._seen:
            return QUIET_US
        return SEEN_US if backend in self._seen else OTHERS_US

    def unasked(self, backend: BackendId, lateness_us: int) -> None:
        """Bytes have come from a backend so long after the answer before them."""
        if lateness_us <= LATENESS_MOST_US:
            self._seen.add(backend)

    def forget(self, backend: BackendId) -> None:
        """Its process has ended."""
        self._seen.discard(backend)
