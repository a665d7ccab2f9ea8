"""The file format: checksummed frames, the first of which is a header that identifies the owner."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Literal

import google_crc32c
import msgspec

FORMAT, VERSION = "burlshift-durable", 1
# Payload length, type, version, CRC-32C (RFC 3720, B.4) of these and the payload.
FRAME_HEADER = Struct(">IBBI")
HEADER, SNAPSHOT, RECORD = 0, 1, 2
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024  # per payload; a greater length is corruption and must not be allocated


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """The header of a file, encoded as JSON.

    `kind` is "snapshot" or "journal", `generation` counts from 1, and `first` is the number of records
    committed before those in this file.
    """

    format: str = FORMAT
    version: int = VERSION
    kind: Literal["snapshot", "journal"]
    fleet: str
    name: str
    generation: int
    first: int


class CorruptFrameError(Exception):
    """A frame is corrupt; the message gives the offset and the problem."""


def frame(kind: int, payload: bytes) -> bytes:
    """Encode one frame. Raises ValueError if the payload is too long."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"{len(payload)} bytes in one record; {MAX_PAYLOAD_BYTES} at most")
    return FRAME_HEADER.pack(len(payload), kind, VERSION, _checksum(kind, payload)) + payload


def frames(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Decode frames as (offset, type, payload).

    Raises CorruptFrameError at the first incomplete or corrupt one.
    """
    offset = 0
    while offset < len(data):
        if offset + FRAME_HEADER.size > len(data):
            raise CorruptFrameError(f"offset {offset}: truncated frame")
        length, kind, version, checksum = FRAME_HEADER.unpack_from(data, offset)
        end = offset + FRAME_HEADER.size + length
        if version != VERSION or length > MAX_PAYLOAD_BYTES:
            raise CorruptFrameError(f"offset {offset}: not a frame")
        if end > len(data):
            raise CorruptFrameError(f"offset {offset}: truncated frame")
        payload = data[offset + FRAME_HEADER.size : end]
        if _checksum(kind, payload) != checksum:
            raise CorruptFrameError(f"offset {offset}: checksum does not match the data")
        yield offset, kind, payload
        offset = end


def _checksum(kind: int, payload: bytes) -> int:
    return int(google_crc32c.value(FRAME_HEADER.pack(len(payload), kind, VERSION, 0) + payload))
