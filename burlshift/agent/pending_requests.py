"""A request that has no final response yet, and the attempts that are made for it."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Protocol

from burlshift.balancing.interface import AttemptEnded, BackendId, Outcome, RequestArrived

from .downstream_request import DownstreamRequest
from .exchange import Exchange
from .upstream_request import ExchangeResult, ResponseStream

log = logging.getLogger(__name__)

# The result of an attempt that failed inside the agent: it may have run, and says nothing about its backend.
INTERNAL_FAILURE = ExchangeResult(Outcome.CANCELLED, 0)


class AttemptOwner(Protocol):
    """Receives the events of an attempt."""

    def response_started(
        self, attempt: Attempt, exchange: ResponseStream, content_type: bytes | None, length: int | None
    ) -> None:
        """A streamed response has started; `length` is None if unknown in advance."""

    def response_continued(self, attempt: Attempt, exchange: ResponseStream, data: bytes) -> None:
        """The next piece of a streamed response."""

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """The attempt has ended; called once for each attempt."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet, with its attempts and the timer of its deadline."""

    call: DownstreamRequest
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: list[Attempt] = field(default_factory=list)
    response_stream: ResponseStream | None = None  # the exchange whose response is passed on to the client

    def arrival(self, left_us: int) -> RequestArrived:
        """The event that reports the request to the balancing policy."""
        call = self.call
        return RequestArrived(
            call.number,
            call.request_class,
            left_us,
            call.tenant,
            call.key,
            call.cost_us,
            call.is_retry,
            streamed=not isinstance(call.body, bytes),
        )

    @property
    def body_complete(self) -> bool:
        """Whether the last byte of the body has been received."""
        return isinstance(self.call.body, bytes) or self.call.body.complete

    @property
    def body_consumed(self) -> bool:
        """Whether a part of the body has been sent and dropped, so that no other attempt can send it."""
        return not isinstance(self.call.body, bytes) and self.call.body.consumed

    def upload_left_us(self, now: int) -> int:
        """The time after which to check again while the body is being received; 0 once it is complete."""
        call, body = self.call, self.call.body
        if isinstance(body, bytes) or body.complete:
            return 0
        # While reading is paused, the client may have written the whole body, so its time runs.
        return call.left_us(now) if body.paused else call.patience_us

    def stream_arriving_response(self) -> bool:
        """Stream a large response that is being buffered; returns whether there is one."""
        exchanges = [attempt.exchange for attempt in self.attempts if attempt.exchange is not None]
        return any(exchange.stream_if_arriving() for exchange in exchanges)

    def cancel_deadline_timer(self) -> None:
        """Cancel the time limit of the response."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request. Passes a streamed response on to its owner, and reports its end once."""

    owner: AttemptOwner
    number: int  # of the request
    index: int  # among the request's attempts
    backend: BackendId
    exchange: Exchange | None = None
    has_ended: bool = False

    def response_started(
        self, exchange: ResponseStream, content_type: bytes | None, length: int | None
    ) -> None:
        """A streamed response has started."""
        self.owner.response_started(self, exchange, content_type, length)

    def receive_data(self, exchange: ResponseStream, data: bytes) -> None:
        """The next piece of a streamed response."""
        self.owner.response_continued(self, exchange, data)

    def cancel(self) -> None:
        """Cancel the exchange. Never raises, because the caller still has a response to write."""
        try:
            if self.exchange is not None:
                self.exchange.cancel()
        except Exception:
            log.exception("request %d: an attempt could not be cancelled", self.number)
            self.end(INTERNAL_FAILURE)

    def end(self, result: ExchangeResult) -> None:
        """Report the end to the owner, once."""
        if not self.has_ended:
            self.has_ended, self.exchange = True, None  # breaks the reference cycle with the exchange
            self.owner.attempt_ended(self, result)

    def ended_event(self, result: ExchangeResult, answered: bool, body_consumed: bool) -> AttemptEnded:
        """The event that reports the end of the attempt to the balancing policy."""
        return AttemptEnded(
            self.number,
            self.index,
            self.backend,
            result.outcome,
            result.latency_us,
            answered,
            result.report,
            body_consumed,
        )
