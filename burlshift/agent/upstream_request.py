"""A request to a backend, the interfaces for streamed bodies, and the result of its exchange."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from burlshift.balancing.interface import Outcome

from .connection import Headers

MAX_REPORT_VALUE = 1e9  # a load report with a value from here on is invalid


class ExchangeResult(NamedTuple):
    """How an exchange ended. latency_us is the time to the end, or to the start of a streamed response."""

    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()  # the load report, see parse_report
    body: bytes = b""  # of a buffered response
    content_type: bytes | None = None
    streamed: bool = False  # the response was streamed


class BodyReceiver(Protocol):
    """Receives a streamed request body: the exchange that sends it to a backend."""

    def receive_data(self, data: bytes) -> None:
        """The next part of the body."""

    def end_body(self) -> None:
        """The body is complete."""


class StreamedBody(Protocol):
    """A large request body that is being received from a client."""

    length: int | None  # in bytes; None: chunked
    complete: bool  # the last byte has been received

    def buffered(self) -> bytes:
        """The bytes received so far, as long as none of them has been passed on."""

    def stream_to(self, receiver: BodyReceiver) -> None:
        """Pass further data to receiver.receive_data, and call receiver.end_body at the end."""

    def stop(self, receiver: BodyReceiver) -> None:
        """Pass nothing more to this receiver; stream_to may set another one."""

    def pause(self) -> None:
        """Stop reading from the client until resume."""

    def resume(self) -> None:
        """Read from the client again."""


class ResponseStream(Protocol):
    """A streamed response: the interface of its exchange to the reader."""

    @property
    def latency_us(self) -> int:
        """The time until the response began to be streamed."""

    def report(self) -> tuple[float, ...]:
        """The load report in the response; () without one."""

    def pause(self) -> None:
        """Stop reading from the backend until resume."""

    def resume(self) -> None:
        """Read from the backend again."""

    def cancel(self) -> None:
        """End the exchange: the response is not needed any more."""


class ResponseReader(Protocol):
    """Receives a streamed response."""

    def response_started(
        self, exchange: ResponseStream, content_type: bytes | None, length: int | None
    ) -> None:
        """The response starts; length None: it ends with the connection or its last chunk. Cancels the
        exchange if the response is not needed any more."""

    def receive_data(self, exchange: ResponseStream, data: bytes) -> None:
        """The next part of the response."""


class UpstreamRequest(NamedTuple):
    """A request to send to a backend, and the conditions for sending it."""

    method: str
    target: str
    headers: Headers  # as h11 has parsed them
    body: bytes | StreamedBody = b""
    reader: ResponseReader | None = None  # None: a probe
    wanted: Callable[[], bool] = lambda: True  # called right before it is sent: it may have waited
    # The client's remaining time in us at a clock time in us; None: there is no client.
    left_us: Callable[[int], int] | None = None


def parse_report(text: str | None, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report such as "a=1,b=2" in the order of fields; () if missing or invalid."""
    if not text or not fields:
        return ()
    try:
        values = dict(part.split("=", 1) for part in text.strip().split(","))
        report = tuple(float(values[f]) for f in fields)
    except (KeyError, ValueError):
        return ()
    # A negative or non-finite value would corrupt every mean that includes it.
    return report if all(0.0 <= value < MAX_REPORT_VALUE for value in report) else ()
