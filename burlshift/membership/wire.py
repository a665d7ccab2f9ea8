"""Messages as datagrams of at most 256 bytes (PROTOCOL, Between agents).

Big-endian: version, fleet's tag, kind, sender, start, incarnation, sequence number, about, digest, number of
updates, then 13 bytes for each update (member, start, incarnation, status), then 8 bytes of BLAKE2b (RFC
7693) over all preceding bytes, keyed if the fleet has a key. Without a key the hash still detects corruption.
A datagram that does not match this format in full is rejected as a whole.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from struct import Struct
from zlib import crc32

from .messages import Kind, MemberUpdate, Message
from .record import Record, Status
from .swim import MAX_UPDATES

MAX_DATAGRAM_BYTES = 256
VERSION = 1
HEADER_FORMAT = Struct(">BIBHHIIIHHB")
UPDATE_FORMAT = Struct(">HHIIB")
MAC_BYTES, MAX_KEY_BYTES = 8, 64
KINDS, STATUSES = {int(k): k for k in Kind}, {int(s): s for s in Status}


class DecodeError(Exception):
    """A datagram that is not valid in this fleet. The message is one word, used in the names of counters."""


class Wire:
    """Encodes and decodes the messages of one fleet, whose members are numbered from 0 to size - 1."""

    def __init__(self, fleet: str, size: int, key: bytes = b"") -> None:
        """Raises ValueError for a key over 64 bytes."""
        if len(key) > MAX_KEY_BYTES:
            raise ValueError(f"a key of {len(key)} bytes: {MAX_KEY_BYTES} at most")
        self._tag, self._size, self._key = crc32(fleet.encode()), size, key

    def pack(self, message: Message) -> bytes:
        """Encode a message in at most 256 bytes; updates that do not fit are left out."""
        updates = message.updates[:MAX_UPDATES]
        data = HEADER_FORMAT.pack(
            VERSION,
            self._tag,
            message.kind,
            message.sender,
            message.start >> 32,
            message.start & 0xFFFFFFFF,
            message.incarnation,
            message.seq,
            message.about,
            message.digest,
            len(updates),
        )
        for update in updates:
            record = update.record
            data += UPDATE_FORMAT.pack(
                update.member,
                record.start >> 32,
                record.start & 0xFFFFFFFF,
                record.incarnation,
                record.status,
            )
        return data + self._mac(data)

    def unpack(self, data: bytes) -> Message:
        """Decode a datagram. Raises DecodeError."""
        if not HEADER_FORMAT.size + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            raise DecodeError("length")
        version, tag, kind, sender, high, low, incarnation, seq, about, digest, count = (
            HEADER_FORMAT.unpack_from(data)
        )
        if version != VERSION:
            raise DecodeError("version")
        if tag != self._tag:
            raise DecodeError("fleet")
        end = HEADER_FORMAT.size + count * UPDATE_FORMAT.size
        if len(data) != end + MAC_BYTES:
            raise DecodeError("length")
        if not compare_digest(self._mac(data[:end]), data[end:]):
            raise DecodeError("digest")
        start = high << 32 | low
        if kind not in KINDS or sender >= self._size or about >= self._size or not start:
            raise DecodeError("value")
        updates = []
        for member, record_high, record_low, record_incarnation, status in UPDATE_FORMAT.iter_unpack(
            data[HEADER_FORMAT.size : end]
        ):
            if member >= self._size or status not in STATUSES:
                raise DecodeError("value")
            updates.append(
                MemberUpdate(
                    member, Record(record_high << 32 | record_low, record_incarnation, STATUSES[status])
                )
            )
        return Message(KINDS[kind], sender, start, incarnation, seq, about, digest, tuple(updates))

    def _mac(self, data: bytes) -> bytes:
        return blake2b(data, digest_size=MAC_BYTES, key=self._key, person=b"burlshift-peers1").digest()


assert HEADER_FORMAT.size + MAX_UPDATES * UPDATE_FORMAT.size + MAC_BYTES <= MAX_DATAGRAM_BYTES
