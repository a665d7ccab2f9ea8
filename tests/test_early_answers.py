"""Responses before the last byte of the request has been written, and outcomes of a break at that point."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from burlshift.agent.connection_pool import UpstreamConnectionPool
from burlshift.agent.exchange import MAX_BUFFERED_BYTES, Exchange
from burlshift.agent.upstream_connection import PooledConnection
from burlshift.agent.upstream_request import BodyReceiver, ExchangeResult, ResponseStream, UpstreamRequest
from burlshift.balancing.interface import Outcome
from tests.test_attempts_close import FakeTransport
from tests.test_backends import REQUEST, connection_pool, listing_of

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
NOT_STARTED = b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


class RecordingReader:
    """A response reader that counts the responses that start."""

    def __init__(self) -> None:
        self.started_count = 0

    def response_started(
        self, exchange: ResponseStream, content_type: bytes | None, length: int | None
    ) -> None:
        self.started_count += 1

    def receive_data(self, exchange: ResponseStream, data: bytes) -> None: ...


class ManualBody:
    """A request body of known length whose parts the test passes to the exchange."""

    def __init__(self, length: int) -> None:
        self.length: int | None = length
        self.complete = False

    def buffered(self) -> bytes:
        return b""

    def stream_to(self, receiver: BodyReceiver) -> None: ...

    def stop(self, receiver: BodyReceiver) -> None: ...

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class ConnectionHarness:
    """A connection pool with one connection to a backend, over a fake transport."""

    def __init__(self, pool: UpstreamConnectionPool, transport: FakeTransport) -> None:
        self.pool, self.transport = pool, transport
        self.connection = PooledConnection(listing_of(1).members[0], pool._discard)
        self.connection.connection_made(transport)
        pool._mark_idle(self.connection, pool.clock.now())
        self.ends: list[ExchangeResult] = []

    def start_exchange(self, request: UpstreamRequest = REQUEST) -> Exchange:
        return self.pool.exchange("s", request, 60_000_000, self.ends.append)

    def idle(self) -> list[PooledConnection]:
        return self.pool._idle.get("s", [])

    def outcome(self) -> Outcome:
        (end,) = self.ends
        return end.outcome


@contextmanager
def fake_connection() -> Iterator[ConnectionHarness]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ConnectionHarness(connection_pool(1), FakeTransport(ours))


@pytest.mark.parametrize(
    "answer, outcome",
    [
        (OK, Outcome.ERROR),  # cannot be the response to this request
        (NOT_STARTED, Outcome.REJECTED),
        (ERROR, Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BUFFERED_BYTES + 1), Outcome.ERROR),
        (b"what?\r\n\r\n", Outcome.CONNECT_FAILED),
    ],
)
def test_response_before_last_byte_outcome(answer: bytes, outcome: Outcome) -> None:
    async def run() -> None:
        with fake_connection() as harness:
            harness.transport.unwritten_bytes = 1  # after a short write
            reader = RecordingReader()
            harness.start_exchange(REQUEST._replace(reader=reader))
            harness.connection.data_received(answer)
            assert harness.outcome() is outcome
            assert harness.transport.closing and not harness.idle() and not reader.started_count

    asyncio.run(run())


@pytest.mark.parametrize("cut", [len(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"), len(OK) - 1])
def test_response_head_before_last_byte_and_body_after_is_error(cut: int) -> None:
    async def run() -> None:
        with fake_connection() as harness:
            harness.transport.unwritten_bytes = 1
            harness.start_exchange()
            harness.connection.data_received(OK[:cut])
            harness.transport.unwritten_bytes = 0
            harness.connection.resume_writing()
            harness.connection.data_received(OK[cut:])
            assert harness.outcome() is Outcome.ERROR
            assert harness.transport.closing and not harness.idle()

    asyncio.run(run())


def test_response_head_during_streamed_body_is_error() -> None:
    async def run() -> None:
        with fake_connection() as harness:
            exchange = harness.start_exchange(REQUEST._replace(body=ManualBody(8)))
            exchange.receive_data(b"half")
            harness.connection.data_received(OK[:-1])
            exchange.receive_data(b"half")
            exchange.end_body()
            harness.connection.data_received(OK[-1:])
            assert harness.outcome() is Outcome.ERROR
            assert harness.transport.closing and not harness.idle()

    asyncio.run(run())


def test_informational_response_before_last_byte_is_ignored() -> None:
    async def run() -> None:
        with fake_connection() as harness:
            harness.transport.unwritten_bytes = 1
            harness.start_exchange()
            harness.connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n")
            harness.transport.unwritten_bytes = 0
            harness.connection.resume_writing()
            harness.connection.data_received(OK)
            assert harness.outcome() is Outcome.OK
            assert harness.idle() == [harness.connection]

    asyncio.run(run())


@pytest.mark.parametrize(
    "last_byte_written, outcome", [(True, Outcome.RESET), (False, Outcome.CONNECT_FAILED)]
)
def test_reset_at_end_of_streamed_body_outcome_by_last_byte(
    last_byte_written: bool, outcome: Outcome
) -> None:
    async def run() -> None:
        with fake_connection() as harness:
            exchange = harness.start_exchange(REQUEST._replace(body=ManualBody(4)))
            harness.transport.closing = not last_byte_written
            exchange.receive_data(b"last")
            # The reset has been read; connection_lost follows in the next iteration of the loop.
            harness.transport.closing = True
            exchange.end_body()
            harness.connection.connection_lost(ConnectionResetError())
            assert harness.outcome() is outcome

    asyncio.run(run())


def test_response_to_partial_request_over_real_connection_is_error() -> None:
    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.closing(writer):
                await reader.readexactly(10)
                writer.write(OK)
                while await reader.read(65536):
                    pass

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        pool = connection_pool(server.sockets[0].getsockname()[1])
        end: asyncio.Future[ExchangeResult] = asyncio.get_running_loop().create_future()
        # More than the socket buffers on both sides hold.
        large_request = UpstreamRequest("POST", "/api", [(b"Request-Id", b"1")], b"x" * 64 * 1024 * 1024)
        exchange = pool.exchange("s", large_request, 60_000_000, end.set_result)
        while (connection := exchange._connection) is None:
            await asyncio.sleep(0)
        connection.transport.pause_reading()  # type: ignore[union-attr]
        while exchange._flushed():
            await asyncio.sleep(0)
        connection.transport.resume_reading()  # type: ignore[union-attr]
        assert (await end).outcome is Outcome.ERROR
        assert not pool._idle.get("s") and connection.closed
        server.close()

    asyncio.run(asyncio.wait_for(run(), 60))
