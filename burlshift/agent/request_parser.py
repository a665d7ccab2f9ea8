"""Checks the head of a received request and builds a DownstreamRequest from it."""

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
NUMBER_LENGTH_LIMIT = 10  # digits; a longer number, or one of this length, is invalid
HEAD_END_PATTERN = re.compile(rb"\n\r?\n")
OBJECT_PATTERN = re.compile(r"[?&]obj=([^&#]+)")
FORWARDED_HEADERS = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")


class RequestParser:
    """Builds a DownstreamRequest from a request's head and body, or raises Rejected with the reason."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name: (i, c.effect) for i, c in enumerate(classes)}
        self._tenants = {t.name: i for i, t in enumerate(tenants)}

    def check(
        self, request: h11.Request, fields: Fields, body: bytes | Upload, client: ResponseWriter
    ) -> DownstreamRequest:
        """Check the request and build it. Raises Rejected if it cannot be accepted."""
        index, effect = self._class(fields)
        method = request.method.decode("ascii")
        if method != ("GET" if effect is Effect.SAFE else "POST"):
            raise Rejected(400, "method does not fit the class")
        if not fields.get(b"request-id"):
            raise Rejected(400, "Request-Id is missing")
        # Without the key a backend could not tell a retry from a new request.
        if (effect is Effect.KEYED) != bool(fields.get(b"idempotency-key")):
            raise Rejected(400, "Idempotency-Key does not fit the class")
        target = origin_form(request.target)
        return DownstreamRequest(
            method,
            target,
            [(k, fields[k]) for k in FORWARDED_HEADERS if k in fields],
            body,
            index,
            self._tenant(fields),
            self._patience_us(fields),
            _object_key(target),
            _work_hint(header(fields, b"work-hint")),
            fields.get(b"client-retry") == b"1",
            client,
            client.sent_us,
        )

    def class_of(self, fields: Fields) -> int | None:
        """The index of the class that the request names, even if the request is invalid otherwise; None if
        the class is unknown."""
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
        if not (text.isascii() and text.isdigit() and len(text) < NUMBER_LENGTH_LIMIT):
            raise Rejected(400, "bad Request-Timeout-Ms")
        timeout_ms = int(text)
        if not 0 < timeout_ms <= TIMEOUT_LIMIT_MS:
            raise Rejected(400, "bad Request-Timeout-Ms")
        return timeout_ms * 1000


def origin_form(target: bytes) -> str:
    """Path and query of a request target, which may be an absolute http:// URL."""
    text = target.decode("ascii")
    if text[:7].lower() != "http://":
        return text
    _, slash, rest = text[7:].partition("/")
    return slash + rest


def _object_key(target: str) -> int:
    """A hash of the request's `obj` parameter, equal for equal objects; 0 if there is none."""
    match = OBJECT_PATTERN.search(target)
    return (crc32(unquote_plus(match[1]).encode()) or 1) if match else 0


def _work_hint(text: str | None) -> int:
    """The value of the Work-Hint header. It is optional, so an invalid value counts as none, 0."""
    return int(text) if text and text.isascii() and text.isdigit() and len(text) < NUMBER_LENGTH_LIMIT else 0


def has_ambiguous_head(data: bytes | bytearray) -> bool:
    """Whether the data holds a complete head in which a line ends in a bare line feed, or is folded. Counting
    the line ends takes a third of the time of a regular expression."""
    end = HEAD_END_PATTERN.search(data)
    if end is None:
        return False
    head = data[: end.end()]
    return head.count(b"\n") != head.count(b"\r\n") or b"\n " in head or b"\n\t" in head
