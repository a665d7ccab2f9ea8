"""Calls a discovery that may be slow, or silent on one connection only."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .discovery_call import DiscoveryCall
from .listing import Listing

FIRST_ANSWER_S = 2.0  # after that the call goes on, and a second one is made beside it
SLOW_ANSWER_S = 4.5  # of both calls, from the start of the first; the next ones follow within the page's 6 s


class Answer(NamedTuple):
    """An answer of discovery, and the connection it came on, which can be used again."""

    call: DiscoveryCall
    listing: Listing


class CallTimes(NamedTuple):
    """The time limits of two overlapping calls, in seconds."""

    second_after_s: float  # from the start of the first call until the second one is made
    first_limit_s: float
    second_limit_s: float  # from its own start


def full_list_times() -> CallTimes:
    """The limits of calls for the full list."""
    return CallTimes(FIRST_ANSWER_S, SLOW_ANSWER_S, SLOW_ANSWER_S - FIRST_ANSWER_S)


def watch_times(limit_s: float) -> CallTimes:
    """The limits of calls that discovery may hold; `limit_s`: of a call if discovery is not slow."""
    return CallTimes(limit_s, limit_s + SLOW_ANSWER_S, limit_s)


class OverlappingCalls:
    """One request to discovery, in up to two overlapping calls; the first answer is used.

    A discovery that is slow is heard by the first call. One that does not know that call, for instance
    because its machine was replaced meanwhile, is heard by the second.

    open_call: opens another connection to discovery. Raises OSError.
    request: makes the call on a connection within a time limit in seconds, and returns its answer. Raises an
    exception if there is none.
    """

    def __init__(
        self,
        open_call: Callable[[], Awaitable[DiscoveryCall]],
        request: Callable[[DiscoveryCall, float], Awaitable[Listing]],
        times: CallTimes,
    ) -> None:
        self._open_call, self._request, self._times = open_call, request, times
        self._calls: dict[asyncio.Task[Listing], DiscoveryCall] = {}

    async def run(self, call: DiscoveryCall) -> Answer:
        """Return the first answer, with `call` as the first connection. Raises the exception of the call that
        failed last. Connections other than that of the answer are closed."""
        winner: DiscoveryCall | None = None
        try:
            self._start(call, self._times.first_limit_s)
            if not await self._first_ended(self._times.second_after_s):
                await self._start_second()
            answer = await self._first_answer()
            winner = answer.call
            return answer
        finally:
            self._close_except(winner)

    def _start(self, call: DiscoveryCall, limit_s: float) -> None:
        task = asyncio.ensure_future(self._request(call, limit_s))
        self._calls[task] = call

    async def _start_second(self) -> None:
        try:
            self._start(await self._open_call(), self._times.second_limit_s)
        except OSError:
            return  # the first call may still be answered

    async def _first_ended(self, limit_s: float) -> bool:
        done, _ = await asyncio.wait(self._calls, timeout=limit_s)
        return bool(done)

    async def _first_answer(self) -> Answer:
        pending = set(self._calls)
        while True:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if task.exception() is None:
                    return Answer(self._calls[task], task.result())
            if not pending:
                return Answer(self._calls[task], task.result())  # raises

    def _close_except(self, kept: DiscoveryCall | None) -> None:
        for task, call in self._calls.items():
            if call is kept:
                continue
            call.drop()
            if not task.cancel() and not task.cancelled():
                task.exception()  # retrieved, so that it is not logged as lost
