"""Removes the empty lines that a client may send in front of a request (RFC 9112, section 2.2)."""

from __future__ import annotations

import re

import h11

from .buffered_input import HEADER_LIMIT

BLANK_LINES_PATTERN = re.compile(rb"(?:\r\n)*")


class BlankLines:
    """Removes the empty lines in front of each request of a connection, in time linear in their bytes."""

    __slots__ = ("_partial", "_removed_bytes")

    def __init__(self) -> None:
        self._partial = b""  # b"\r" if the input so far ends in the first half of an empty line
        self._removed_bytes = 0  # in front of the current request

    def strip(self, data: bytes) -> bytes:
        """The data behind the empty lines in front. Raises RemoteProtocolError if there are more bytes of
        them than the head of a request may have."""
        data = self._partial + data
        match = BLANK_LINES_PATTERN.match(data)
        assert match is not None  # the pattern matches an empty string too
        self._removed_bytes += match.end()
        if self._removed_bytes > HEADER_LIMIT:
            raise h11.RemoteProtocolError("too many empty lines in front of a request")
        rest = data[match.end() :]
        self._partial = rest if rest == b"\r" else b""
        return b"" if self._partial else rest

    def next_request(self) -> None:
        """Begin to count anew: the request behind the empty lines has been answered."""
        self._removed_bytes = 0
