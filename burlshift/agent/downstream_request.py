"""A request as it was received from the application, and the interfaces for handling and answering it."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from .connection import Headers
from .upload import Upload


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """One request of the application after its checks, with the writer for its response."""

    method: str
    target: str
    headers: Headers  # those that are forwarded to a backend
    body: bytes | Upload
    request_class: int  # index among the classes of the settings
    tenant: int  # index among the tenants of the settings; 0 if there are none
    patience_us: int  # the timeout of the client, which counts from its latest byte
    key: int  # hash of the requested object; 0 if none is named
    cost_us: int  # the work that the client expects; 0 if unknown
    is_retry: bool  # the client has marked the request as a retry of its own
    client: ResponseWriter
    sent_us: int  # monotonic: the earliest time at which the client may have written its latest byte
    number: int = 0  # assigned by the handler

    @property
    def held_body_length(self) -> int:
        """The bytes of the body that are held: of a streamed one those that have not been passed on."""
        return len(self.body) if isinstance(self.body, bytes) else self.body.buffered_length

    def release_body(self) -> None:
        """Free the body: no attempt is sent any more."""
        if isinstance(self.body, bytes):
            self.body = b""
        else:
            self.body.release()

    def left_us(self, now: int) -> int:
        """How long the client still waits, counted from its latest byte; 0 or less if its time is over."""
        return self.sent_us + self.patience_us - now


class ResponseWriter(Protocol):
    """Writes the one response to a request, either at once (`answer`) or as a stream (`start_response`,
    `write_part`, `finish`)."""

    @property
    def sent_us(self) -> int:
        """The earliest time at which the client may have written the latest bytes, in us of the loop's
        clock."""

    @property
    def last_read_at(self) -> float:
        """The loop's time in seconds at which the latest bytes were read."""

    @property
    def has_sent_request(self) -> bool:
        """Whether a proper request has been received from the client before."""

    def is_waiting(self, call: DownstreamRequest) -> bool:
        """Whether the client still waits for the response; if it is found to have left, its request ends
        here."""

    def answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""

    def start_response(
        self, call: DownstreamRequest, headers: Headers, length: int | None, source: Source
    ) -> None:
        """Start a streamed response with status 200; `length` is None if unknown in advance."""

    def write_part(self, call: DownstreamRequest, data: bytes) -> None:
        """Write the next piece of a streamed response."""

    def finish(self, call: DownstreamRequest, complete: bool) -> None:
        """End a streamed response. An incomplete one is broken off in a way that the client can detect."""

    def fail(self, call: DownstreamRequest) -> None:
        """Answer a request whose response could not be written: with a failure, or by breaking the connection
        off if a part of the response has been written. Never raises; does nothing for an answered request."""


class Source(Protocol):
    """The origin of the pieces of a streamed response."""

    def pause(self) -> None:
        """Send no more pieces until resume."""

    def resume(self) -> None:
        """Send pieces again."""


class RequestHandler(Protocol):
    """Handles the requests of the application."""

    def is_ready(self) -> bool:
        """Whether requests can be served."""

    def accept_request(self, call: DownstreamRequest) -> None:
        """Accept a request; it gets exactly one response through `call.client`."""

    def client_left(self, call: DownstreamRequest) -> None:
        """End a request whose client has left."""

    def refuse(self, call: DownstreamRequest, refusal: Rejected) -> None:
        """Answer an accepted request whose body is still being received with this error, and withdraw it."""

    def fail_all_pending(self) -> None:
        """Answer every pending request with a failure now."""

    def close_idle_connections(self) -> None:
        """Close the connections to backends that are kept for later requests."""

    def count_rejected(self, request_class: int, status: int) -> None:
        """Count a request that was rejected with this status."""


class Rejected(Exception):
    """A request cannot be accepted, and is answered with `status`; it never reaches the balancer."""

    def __init__(self, status: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.status, self.headers = status, headers or []

    def response(self) -> bytes:
        """The response, as the last one of a connection."""
        body = f"{self}\n".encode()
        fields = [*self.headers, (b"Content-Length", b"%d" % len(body)), (b"Connection", b"close")]
        head = b"".join(b"%s: %s\r\n" % field for field in fields)
        return b"HTTP/1.1 %d %s\r\n%s\r\n%s" % (
            self.status,
            HTTPStatus(self.status).phrase.encode(),
            head,
            body,
        )


def retry_after(delay_us: int) -> Headers:
    """The Retry-After header of a refusal, in seconds; no header if the delay is 0."""
    return [(b"Retry-After", b"%.6f" % (delay_us / 1e6))] if delay_us else []
