"""The form of files: frames of length, type, version and checksum, of which the first says whose it is."""
from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Literal

import google_crc32c
import msgspec

FORMAT, VERSION = "burlshift-durable", 1
FRAME = Struct(">IBBI")  # bytes of payload, type, version, CRC-32C (RFC 3720, B.4) over these and the payload
HEAD, SNAPSHOT, RECORD = 0, 1, 2
MOST_BYTES = 64 * 1024 * 1024  # of one payload: a length beyond it is damage, and not to be allocated


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """generation counts from 1; first: how many records the store had taken before those of this file."""

    format: str = FORMAT
    version: int = VERSION
    kind: Literal["snapshot", "journal"]
    fleet: str
    name: str
    generation: int
    first: int


class Damage(Exception):
    """A frame is not as it was written; the text says at which offset and what is wrong."""


def frame(kind: int, payload: bytes) -> bytes:
    if len(payload) > MOST_BYTES:
        raise ValueError(f"{len(payload)} bytes in one record; {MOST_BYTES} at most")
    return FRAME.pack(len(payload), kind, VERSION, _checksum(kind, payload)) + payload


def frames(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """Offset, type and payload of each; raises Damage where one is not whole, also where the data ends."""
    at = 0
    while at < len(data):
        if at + FRAME.size > len(data):
            raise Damage(f"offset {at}: half a frame")
        length, kind, version, checksum = FRAME.unpack_from(data, at)
        end = at + FRAME.size + length
        if version != VERSION or length > MOST_BYTES:
            raise Damage(f"offset {at}: no frame begins here")
        if end > len(data):
            raise Damage(f"offset {at}: half a frame")
        payload = data[at + FRAME.size:end]
        if _checksum(kind, payload) != checksum:
            raise Damage(f"offset {at}: checksum is not that of the data")
        yield at, kind, payload
        at = end


def _checksum(kind: int, payload: bytes) -> int:
    return int(google_crc32c.value(FRAME.pack(len(payload), kind, VERSION, 0) + payload))
