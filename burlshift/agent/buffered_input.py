"""What h11 has received and not parsed yet, without a copy of it.

h11's trailing_data copies all of that input at each use. These functions read the buffer of h11, whose
version is pinned.
"""

from __future__ import annotations

import h11


def buffered_length(http: h11.Connection) -> int:
    """The number of bytes received and not parsed."""
    return len(http._receive_buffer)


def buffered_bytes(http: h11.Connection) -> bytearray:
    """The bytes received and not parsed. They must not be changed, or kept until h11 goes on."""
    return http._receive_buffer._data


def discard_buffered(http: h11.Connection) -> None:
    """Free the bytes received and not parsed, on a connection whose further input is ignored."""
    http._receive_buffer._data.clear()
