"""A request as it was received from the application, and the interfaces for handling and answering it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .connection import Headers
from .upload import Upload


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """One request of the application, checked, and the way to answer it."""

    method: str
    target: str
    headers: Headers  # those that go on to a backend
    body: bytes | Upload
    request_class: int
    tenant: int
    patience_us: int
    key: int
    cost_us: int
    is_retry: bool
    client: ResponseWriter
    sent_us: int  # monotonic: when its client may have written its latest byte, at the earliest
    number: int = 0  # given by whoever takes it

    def left_us(self, now: int) -> int:
        """What its client still waits, counted from the latest byte; 0 or less: no longer."""
        return self.sent_us + self.patience_us - now


class ResponseWriter(Protocol):
    """Where a call came from, and its one answer goes to: whole, or begun, passed on and finished."""

    @property
    def sent_us(self) -> int:
        """When what has come last may have been written, at the earliest."""

    def waits(self, call: DownstreamRequest) -> bool:
        """Whether the client is still there for its answer; one that is not has left by then."""

    def answer(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        """The whole answer at once."""

    def begin(self, call: DownstreamRequest, headers: Headers, length: int | None, source: Source) -> None:
        """A served answer that comes in pieces; length None: told by its end."""

    def more(self, call: DownstreamRequest, data: bytes) -> None:
        """The next piece of an answer that has begun."""

    def finish(self, call: DownstreamRequest, whole: bool) -> None:
        """One that is not whole is broken off, so that the client can tell."""

    def fail(self, call: DownstreamRequest) -> None:
        """The end of one whose answer could not be written: a failure, or a break if a part of it is out.
        Never raises, and does nothing for a call that has been answered."""


class Source(Protocol):
    """Where the pieces of an answer come from."""

    def pause(self) -> None:
        """Send no more pieces until resume."""

    def resume(self) -> None:
        """Send pieces again."""


class RequestHandler(Protocol):
    """Who takes the calls."""

    def ready(self) -> bool:
        """Whether calls may come."""

    def take(self, call: DownstreamRequest) -> None:
        """See the call through to its one answer."""

    def client_left(self, call: DownstreamRequest) -> None:
        """The client has gone."""

    def fail_all_pending(self) -> None:
        """Answer at once whatever is held."""

    def count_rejected(self, request_class: int, status: int) -> None:
        """A request that cannot be taken has got its answer."""


class Rejected(Exception):
    """A request that cannot be taken; it never reaches the balancer."""

    def __init__(self, status: int, why: str, headers: Headers | None = None) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers or []


def retry_after(after_us: int) -> Headers:
    """Advice to a client that is refused; none where there is nothing to say."""
    return [(b"Retry-After", b"%.6f" % (after_us / 1e6))] if after_us else []
