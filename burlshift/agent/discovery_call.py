"""HTTP client connection to discovery: one GET at a time."""

from __future__ import annotations

import asyncio

import h11

from .connection import Connection, fields_of, header
from .response_arrival import STALL_S, ResponseArrival

PATH = "/catalog/members"
ANSWER_BYTES = 4 * 1024 * 1024  # longest body that is accepted
AGE_LENGTH_LIMIT = 11  # characters; an Age header of this length or longer is ignored


class DiscoveryCall(Connection):
    """A connection to discovery that carries one call at a time, and several in succession."""

    kind = "discovery"

    def __init__(self) -> None:
        super().__init__()
        self._answer: asyncio.Future[bytes] | None = None
        self._status = 0
        self.age_s = 0  # from the Age header of the latest response; 0 if it has none
        self._body = bytearray()
        self._arrival: ResponseArrival | None = None  # once the head has been read
        self._timeout: asyncio.Timeout | None = None

    async def get(self, target: str, timeout: asyncio.Timeout | None = None) -> bytes:
        """Return the body of a 200 response.

        timeout: is put off while the body arrives at the pace of a large response.

        Raises ConnectionError for any other status, for a body longer than ANSWER_BYTES or if the connection
        ends first, and h11.RemoteProtocolError if the response is not valid HTTP.
        """
        self._status, self._body, self._arrival = 0, bytearray(), None
        self._timeout = timeout
        self._answer = asyncio.get_running_loop().create_future()
        request = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
        self.send(request, h11.EndOfMessage())
        return await self._answer

    def held_bytes(self) -> int:
        """What is held for discovery, with what has been received of a list."""
        return super().held_bytes() + len(self._body)

    def on_event(self, event: h11.Event) -> None:
        """Process one event of the response."""
        if isinstance(event, h11.Response):
            self._status = event.status_code
            self._arrival = ResponseArrival(asyncio.get_running_loop().time())
            age = header(fields_of(event.headers), b"age") or ""
            self.age_s = int(age) if age.isascii() and age.isdigit() and len(age) < AGE_LENGTH_LIMIT else 0
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > ANSWER_BYTES:
                self._end(ConnectionError("answer too long"))
        elif isinstance(event, h11.EndOfMessage):
            reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
            if reusable:
                self.http.start_next_cycle()
            else:
                self.closed = True
            self._end(None if self._status == 200 else ConnectionError(f"status {self._status}"))

    def on_read(self) -> None:
        """Put the time-out off if the body is long and still arrives."""
        now = asyncio.get_running_loop().time()
        if self._arrival is None or self._timeout is None or self._answer is None:
            return
        self._arrival.record(len(self._body), now)
        due = self._timeout.when()
        if due is not None and due < now + STALL_S and self._arrival.keeps_pace(now):
            self._timeout.reschedule(now + STALL_S)

    def on_broken(self, error: Exception) -> None:
        """Fail the call with this error: the response is not valid HTTP, or its processing failed."""
        self._end(error)

    def on_end(self) -> None:
        """Fail the call if it has no answer yet: the connection has ended."""
        self.closed = True
        self._end(ConnectionError("connection ended"))

    def _end(self, error: Exception | None) -> None:
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            return
        body, self._body = bytes(self._body), bytearray()
        if error is None:
            answer.set_result(body)
        else:
            answer.set_exception(error)
