"""Streaming of large request and response bodies in every framing of HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from burlshift.agent import downstream_connection, request_deadline
from burlshift.agent.exchange import Exchange
from tests.loopback import KEYED, UNSAFE, AgentHarness, Message, StreamConnection, post, running_agent
from tests.test_admin_commands import read_metrics

MB = 1024 * 1024
LARGE = bytes(range(256)) * 4096  # 1 MiB


def chunked(body: bytes, size: int = 50_000, trailer: bytes = b"") -> bytes:
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b'%x;ext="1"\r\n%b\r\n' % (len(p), p) for p in pieces) + b"0\r\n" + trailer + b"\r\n"


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return bytes(body)


async def read_head(connection: StreamConnection) -> dict[str, str]:
    lines = (await connection.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return {"": lines[0]} | {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}


@asynccontextmanager
async def raw_backend(
    serve: Callable[[StreamConnection], Awaitable[None]], folder: Path
) -> AsyncIterator[AgentHarness]:
    """An agent whose only backend runs serve on each connection."""
    async with running_agent(folder) as harness:

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with (
                contextlib.closing(writer),
                contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
            ):
                await serve(StreamConnection(reader, writer))

        harness.backends[0].serve = handle  # type: ignore[method-assign]
        harness.backends[0].server.close()
        harness.backends[0].server = await asyncio.start_server(handle, "127.0.0.1", harness.backends[0].port)
        yield harness


async def serve_response(
    harness: AgentHarness, request: bytes, answer: bytes, then_close: bool = False
) -> tuple[StreamConnection, Message]:
    """Send a request and let its backend write the bytes of a response."""
    client = await harness.send_request(request)
    upstream_request = await harness.request()
    await upstream_request.connection.write(answer)
    if then_close:
        upstream_request.connection.close()
    return client, upstream_request


ANSWERS = {
    "length": (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE, False),
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(LARGE, trailer=b"Server-Note: x\r\n"),
        False,
    ),
    "close": (b"HTTP/1.1 200 OK\r\n\r\n" + LARGE, True),
    "length after 1xx": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE,
        False,
    ),
}


@pytest.mark.parametrize("framing", ANSWERS)
def test_large_response_is_complete_in_every_framing(tmp_path: Path, framing: str) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            answer, then_close = ANSWERS[framing]
            client, _ = await serve_response(harness, post(), answer, then_close)
            head = await read_head(client)
            assert head[""].startswith("HTTP/1.1 200 ")
            if "content-length" in head:
                assert await client.reader.readexactly(int(head["content-length"])) == LARGE
            else:
                assert await read_chunks(client.reader) == LARGE
            # The client's connection serves the next request.
            await client.write(post(body=b"again"))
            upstream_request = await harness.request()
            assert upstream_request.body == b"again"
            await upstream_request.answer()
            assert (await client.read()).status == 200
            counts = await read_metrics(harness)
            assert counts[f"agent.completed.{KEYED}"] == 2 and counts["agent.pending"] == 0

    asyncio.run(run())


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_small_chunked_response_in_pieces_is_complete(tmp_path: Path, size: int) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post())
            upstream_request = await harness.request()
            answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + chunked(
                b"steel" * 40, size=13, trailer=b"T: 1\r\n"
            )
            for i in range(0, len(answer), size):
                await upstream_request.connection.write(answer[i : i + size])
            message = await client.read()
            assert (message.status, message.body) == (200, b"steel" * 40)

    asyncio.run(run())


def test_large_response_is_streamed_beyond_request_timeout(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            # The timeout passes long before the response ends.
            client = await harness.send_request(post(timeout_ms="300"))
            upstream_request = await harness.request()
            await upstream_request.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
            assert "200" in (await read_head(client))[""]
            assert await client.reader.readexactly(5) == b"first"
            (pending,) = harness.agent._pending.values()
            assert pending.deadline_timer is not None and pending.deadline_timer.cancelled()
            assert (await read_metrics(harness))["agent.pending"] == 1
            await upstream_request.connection.write(b"x" * 99_995)
            assert await client.reader.readexactly(99_995) == b"x" * 99_995

    asyncio.run(run())


def test_response_of_unknown_length_is_streamed_above_buffer_limit(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post())
            upstream_request = await harness.request()
            await upstream_request.connection.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + b"x" * 70_000 + b"\r\n"
            )
            assert "200" in (await read_head(client))[""]
            (pending,) = harness.agent._pending.values()
            assert pending.response_stream is not None
            await upstream_request.connection.write(b"4\r\nrest\r\n0\r\n\r\n")
            assert (await read_chunks(client.reader)).endswith(b"rest")

    asyncio.run(run())


@pytest.mark.parametrize(
    "head, piece",
    [
        (b"Content-Length: 1000000\r\n", b"x" * 100_000),
        (b"Transfer-Encoding: chunked\r\n", b"186a0\r\n" + b"x" * 100_000 + b"\r\n"),
    ],
)
def test_truncated_response_is_recognisable(tmp_path: Path, head: bytes, piece: bytes) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=2) as harness:
            client, upstream_request = await serve_response(
                harness, post(), b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + piece
            )
            assert "200" in (await read_head(client))[""]
            upstream_request.connection.reset()
            received = b""
            with contextlib.suppress(ConnectionError):
                while data := await client.reader.read(65536):
                    received += data
            assert len(received) < 200_000 and not received.endswith(b"0\r\n\r\n")
            assert harness.no_request_sent()  # no retry once streaming has started
            assert (await read_metrics(harness))[f"agent.failed.{KEYED}"] == 1

    asyncio.run(run())


def test_client_not_reading_uses_bounded_buffer(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post())
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            upstream_request = await harness.request()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * MB) + bytes(32 * MB)
            upstream_request.connection.writer.write(answer)
            (pending,) = harness.agent._pending.values()
            while not isinstance(exchange := pending.response_stream, Exchange) or not exchange._paused:
                await asyncio.sleep(0.001)
            (connection,) = harness.server.connections
            assert connection.transport is not None and exchange._connection is not None
            assert connection.transport.get_write_buffer_size() < 200_000
            assert len(exchange._connection.http.trailing_data[0]) + len(exchange._body) < 200_000
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert "200" in (await read_head(client))[""]
            assert await client.reader.readexactly(32 * MB) == bytes(32 * MB)

    asyncio.run(run())


def upload(framing: str, class_name: str = KEYED) -> bytes:
    if framing == "length":
        return post(class_name, body=LARGE)
    return post(class_name, body=b"", drop=("Content-Length",), Transfer_Encoding="chunked") + chunked(LARGE)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_large_request_is_streamed(tmp_path: Path, framing: str) -> None:
    received: asyncio.Queue[tuple[dict[str, str], bytes]] = asyncio.Queue()
    first_part_received = asyncio.Event()

    async def serve(connection: StreamConnection) -> None:
        head = await read_head(connection)
        if framing == "length":
            start = await connection.reader.readexactly(60_000)
            first_part_received.set()
            body = start + await connection.reader.readexactly(int(head["content-length"]) - 60_000)
        else:
            first_part_received.set()
            body = await read_chunks(connection.reader)
        received.put_nowait((head, body))
        await connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await connection.wait_closed()

    async def run() -> None:
        async with raw_backend(serve, tmp_path) as harness:
            request = upload(framing)
            client = await harness.send_request(request[:-500_000])
            await first_part_received.wait()  # before the whole request was written
            assert (await read_metrics(harness))["agent.pending"] == 0  # counted from its last byte
            await client.write(request[-500_000:])
            head, body = await received.get()
            assert body == LARGE and head["request-id"] == "9b1f" and head["idempotency-key"] == "5c0f"
            assert int(head["request-timeout-ms"]) <= 30_000
            assert (await client.read()).status == 200
            counts = await read_metrics(harness)
            assert counts[f"agent.completed.{KEYED}"] == 1 and counts["agent.upstream_requests"] == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    "class_name, sent, status",
    [
        (KEYED, 0, 503),  # reset before the last byte: it never ran
        (UNSAFE, 0, 503),
        (UNSAFE, 1, 502),  # reset after the last byte: it may have run
    ],
)
def test_streamed_request_is_not_retried(tmp_path: Path, class_name: str, sent: int, status: int) -> None:
    attempts = 0

    async def serve(connection: StreamConnection) -> None:
        nonlocal attempts
        await read_head(connection)
        attempts += 1
        await connection.reader.readexactly(len(LARGE) if sent else 300_000)
        connection.reset()

    async def run() -> None:
        async with raw_backend(serve, tmp_path) as harness:
            client = await harness.send_request(post(class_name, body=LARGE))
            assert (await client.read()).status == status
            assert attempts == 1

    asyncio.run(run())


def test_large_request_with_refused_connect_is_retried(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=2) as harness:
            await harness.backends[0].stop()  # refuses connections from now on
            for _ in range(4):
                client = await harness.send_request(post(UNSAFE, body=LARGE))
                upstream_request = await harness.backends[1].requests.get()
                assert upstream_request.body == LARGE
                await upstream_request.answer()
                assert (await client.read()).status == 200

    asyncio.run(run())


def test_large_request_rejected_early_is_answered_at_once(tmp_path: Path) -> None:
    async def serve(connection: StreamConnection) -> None:
        await read_head(connection)
        await connection.reader.readexactly(200_000)
        await connection.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        await connection.wait_closed()

    async def run() -> None:
        async with raw_backend(serve, tmp_path) as harness:
            client = await harness.send_request(post(UNSAFE, body=LARGE)[:-1])
            answer = await client.read()
            assert answer.status == 503 and answer.headers["connection"] == "close"

    asyncio.run(run())


def test_body_beyond_limit_is_answered_413(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream_connection, "BODY_LIMIT_BYTES", 500_000)
    broken: asyncio.Queue[bool] = asyncio.Queue()

    async def serve(connection: StreamConnection) -> None:
        await read_head(connection)
        try:
            await read_chunks(connection.reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            broken.put_nowait(True)

    async def run() -> None:
        async with raw_backend(serve, tmp_path) as harness:
            client = await harness.send_request(upload("chunks"))
            assert (await client.read()).status == 413
            assert await broken.get()

    asyncio.run(run())


async def expect_truncated_body(connection: StreamConnection) -> None:
    head = await read_head(connection)
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
        if "content-length" in head:
            await connection.reader.readexactly(int(head["content-length"]))
        else:
            await read_chunks(connection.reader)


@pytest.mark.parametrize("sent", [post(body=LARGE)[:-1], upload("chunks")[:-3], post()[:-1]])
def test_stalled_body_is_answered_408(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent: bytes) -> None:
    monkeypatch.setattr(request_deadline, "MINIMUM_TIME_S", 0.2)
    monkeypatch.setattr(request_deadline, "STALL_S", 0.1)
    monkeypatch.setattr(request_deadline, "LATE_STALL_S", 0.3)

    async def run() -> None:
        async with raw_backend(expect_truncated_body, tmp_path) as harness:
            client = await harness.send_request(sent)
            assert (await client.read()).status == 408
            await client.wait_closed()
            counts = await read_metrics(harness)
            assert counts[f"agent.failed.{KEYED}"] == 1 and counts["agent.upstream_requests"] == 0

    asyncio.run(run())


def test_slow_body_limit_is_a_mean_rate() -> None:
    limits = request_deadline
    assert limits.HEAD_TIMEOUT_S < limits.MINIMUM_TIME_S < 3.0
    # A body at 64 kB a second after the slowest allowed head is always ahead of the limit.
    for tenths in range(10, 3000):
        now = tenths / 10
        assert limits.BODY_RATE_GRACE_S + 64_000 * now / limits.MIN_BODY_BYTES_PER_S > now


@pytest.mark.parametrize(
    "request_",
    [
        post().replace(b"POST /api", b"POST http://origin.svc:80/api"),
        b"\r\n\r\n" + post(),
    ],
)
def test_request_with_absolute_target_or_leading_blank_line_is_served(
    tmp_path: Path, request_: bytes
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            for i in range(len(request_)):
                await client.write(request_[i : i + 1])
            upstream_request = await harness.request()
            assert (
                upstream_request.start_line == "POST /api?obj=7f3a HTTP/1.1"
                and upstream_request.body == b"job"
            )
            await upstream_request.answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


def test_large_request_with_expect_continue_is_served(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            request = post(body=LARGE, Expect="100-continue")
            head, _, body = request.partition(b"\r\n\r\n")
            client = await harness.send_request(head + b"\r\n\r\n")
            assert "100" in (await read_head(client))[""]
            await client.write(body)
            upstream_request = await harness.request()
            assert upstream_request.body == LARGE
            await upstream_request.answer()
            assert (await client.read()).status == 200

    asyncio.run(run())
