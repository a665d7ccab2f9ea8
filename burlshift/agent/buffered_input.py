"""What h11 has received and not parsed yet: its length and bytes without a copy, and a bound on a head.

h11's trailing_data copies all of that input at each use, and h11 bounds only a head whose end has not come.
This module reads and replaces the buffer of h11, whose version is pinned.
"""

from __future__ import annotations

import h11
from h11._receivebuffer import ReceiveBuffer, blank_line_regex

HEADER_LIMIT = 32 * 1024  # bytes of request or status line and headers
MAX_HEADER_FIELDS = 100  # of a head or a trailer; h11 takes as long for a short field as for a long one
MAX_HEAD_LINES = MAX_HEADER_FIELDS + 2  # with the request or status line and the empty line


class HeadLimitedBuffer(ReceiveBuffer):
    """A receive buffer that rejects a head or a trailer that is too large before it is parsed."""

    def maybe_extract_lines(self) -> list[bytearray] | None:
        """The lines up to the next empty line, or None if that has not come. Raises RemoteProtocolError."""
        # What has been received may be more than the head, but most often is not.
        if len(self._data) > HEADER_LIMIT or self._data.count(b"\n") > MAX_HEAD_LINES:
            self._check_head()
        return super().maybe_extract_lines()

    def _check_head(self) -> None:
        end = blank_line_regex.search(self._data)
        length = len(self._data) if end is None else end.end()
        if length > HEADER_LIMIT:
            raise h11.RemoteProtocolError("head too large")
        if self._data.count(b"\n", 0, length) > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError("too many header fields")


def http_connection(role: type[h11.CLIENT] | type[h11.SERVER]) -> h11.Connection:
    """An h11 connection for this side's role, whose peer's heads and trailers are bounded."""
    http = h11.Connection(role, max_incomplete_event_size=HEADER_LIMIT)
    http._receive_buffer = HeadLimitedBuffer()
    return http


def buffered_length(http: h11.Connection) -> int:
    """The number of bytes received and not parsed."""
    return len(http._receive_buffer)


def buffered_bytes(http: h11.Connection) -> bytearray:
    """The bytes received and not parsed. They must not be changed, or kept until h11 goes on."""
    return http._receive_buffer._data


def discard_buffered(http: h11.Connection) -> None:
    """Free the bytes received and not parsed, on a connection whose further input is ignored."""
    http._receive_buffer._data.clear()
