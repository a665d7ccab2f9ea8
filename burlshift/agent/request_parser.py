"""Checks a received request head and turns it into a DownstreamRequest."""

from __future__ import annotations

import re
from urllib.parse import unquote_plus
from zlib import crc32

import h11

from burlshift.balancing.interface import Effect, RequestClass, Tenant

from .connection import Fields, header
from .downstream_request import DownstreamRequest, Rejected, ResponseWriter
from .upload import Upload

TIMEOUT_LIMIT_MS = 24 * 3600 * 1000
HEAD_END = re.compile(rb"\n\r?\n")
OBJECT = re.compile(r"[?&]obj=([^&#]+)")
FORWARDED = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")


class RequestParser:
    """Turns a request's head and body into a DownstreamRequest, or says what is wrong with it."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name: (i, c.effect) for i, c in enumerate(classes)}
        self._tenants = {t.name: i for i, t in enumerate(tenants)}

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """Raises Rejected where the request cannot be taken."""
        index, effect = self._class(fields)
        method = request.method.decode("ascii")
        if method != ("GET" if effect is Effect.SAFE else "POST"):
            raise Rejected(400, "method does not fit the class")
        if not fields.get(b"request-id"):
            raise Rejected(400, "Request-Id is missing")
        # Without its key no backend could tell a repeat from a new request.
        if (effect is Effect.KEYED) != bool(fields.get(b"idempotency-key")):
            raise Rejected(400, "Idempotency-Key does not fit the class")
        target = origin_form(request.target)
        return DownstreamRequest(
            method,
            target,
            [(k, fields[k]) for k in FORWARDED if k in fields],
            body,
            index,
            self._tenant(fields),
            self._patience_us(fields),
            _key(target),
            _work_hint(header(fields, b"work-hint")),
            fields.get(b"client-retry") == b"1",
            client,
            client.sent_us,
        )

    def class_of(self, fields: Fields) -> int | None:
        """The class that a request names, whatever else is wrong with it."""
        found = self._classes.get(header(fields, b"request-class") or "")
        return None if found is None else found[0]

    def _class(self, fields: Fields) -> tuple[int, Effect]:
        found = self._classes.get(header(fields, b"request-class") or "")
        if found is None:
            raise Rejected(400, "unknown Request-Class")
        return found

    def _tenant(self, fields: Fields) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(header(fields, b"tenant") or "")
        if index is None:
            raise Rejected(400, "unknown Tenant")
        return index

    def _patience_us(self, fields: Fields) -> int:
        text = header(fields, b"request-timeout-ms") or ""
        if not (text.isascii() and text.isdigit() and len(text) < 10):
            raise Rejected(400, "bad Request-Timeout-Ms")
        ms = int(text)
        if not 0 < ms <= TIMEOUT_LIMIT_MS:
            raise Rejected(400, "bad Request-Timeout-Ms")
        return ms * 1000


def origin_form(target: bytes) -> str:
    """Path and query; a client may name the whole URL."""
    text = target.decode("ascii")
    if text[:7].lower() != "http://":
        return text
    _, slash, rest = text[7:].partition("/")
    return slash + rest


def _key(target: str) -> int:
    """Equal objects give equal keys; 0 is none."""
    obj = OBJECT.search(target)
    return (crc32(unquote_plus(obj[1]).encode()) or 1) if obj else 0


def _work_hint(text: str | None) -> int:
    """A hint is a help only: a bad one is none."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < 10 else 0


def has_ambiguous_head(data: bytes) -> bool:
    """Whether a whole head has come, and a line of it ends in a bare line feed, or is folded. Counted, which
    takes a third of the time of a search by a pattern."""
    end = HEAD_END.search(data)
    if end is None:
        return False
    head = data[: end.end()]
    return head.count(b"\n") != head.count(b"\r\n") or b"\n " in head or b"\n\t" in head


def without_blank_lines(data: bytes) -> tuple[bytes, bytes]:
    """What follows the empty lines, which are to be passed over before a request; and half of one more,
    where it ends in that."""
    while data.startswith(b"\r\n"):
        data = data[2:]
    return (b"", data) if data == b"\r" else (data, b"")
