"""Tells whether a response that is being buffered may be a large one that still arrives."""

from __future__ import annotations

# A response of unknown length of which so much has come may be a large one between two of its pieces, however
# long it pauses. One that fails after it has been passed on in part has failed; one that is cut off is lost.
LARGE_PIECE_BYTES = 4 * 1024
# Of less than that, the pace below which not even a response without pauses counts as a large one.
MIN_STEADY_BYTES_PER_S = 8_000
# Half of the slowest pace at which a large response is written.
MIN_BYTES_PER_S = 32_000
MIN_PERIOD_S = 0.1  # for the pace, so that a few bytes right after the head are none
STALL_S = 0.4  # a longer silence is a pause
MAX_BUFFERING_S = 1.0  # from the head on; then a response that still arrives is streamed


class ResponseArrival:
    """How much of a response's body has arrived, and since when. All times are the loop's, in seconds."""

    def __init__(self, head_at: float) -> None:
        self._head_at = self._last_read_at = head_at
        self._received_bytes = 0

    def record(self, received_bytes: int, now: float) -> None:
        """Record that `received_bytes` of the body have been read in all, the last of them now."""
        self._received_bytes, self._last_read_at = received_bytes, now

    def keeps_pace(self, now: float) -> bool:
        """Whether the body has come at the pace of a large response so far, pauses included."""
        return self._received_bytes >= MIN_BYTES_PER_S * self._period_s(now)

    def is_in_progress(self, now: float) -> bool:
        """Whether a large body may still arrive: much of it has come, or little without a pause."""
        if self._received_bytes >= LARGE_PIECE_BYTES:
            return True
        is_paused = now - self._last_read_at > STALL_S
        return not is_paused and self._received_bytes >= MIN_STEADY_BYTES_PER_S * self._period_s(now)

    def is_overdue(self, now: float) -> bool:
        """Whether it still arrives and has been buffered for as long as a large response may be."""
        return now - self._head_at >= MAX_BUFFERING_S and self.is_in_progress(now)

    def _period_s(self, now: float) -> float:
        return max(MIN_PERIOD_S, now - self._head_at)
