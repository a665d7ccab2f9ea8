"""Heads and trailers are bounded before they are parsed."""

from __future__ import annotations

import asyncio
import itertools
import string
from pathlib import Path

import h11
import pytest

from burlshift.agent.buffered_input import HEADER_LIMIT, MAX_HEADER_FIELDS, http_connection
from tests.loopback import post, running_agent

FIELDS_BYTES = HEADER_LIMIT - 1_000
NO_CLASS = b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n"


def many_short_fields(size: int) -> bytes:
    """Fields of different names and without a value."""
    names = itertools.product(string.ascii_lowercase + string.digits, repeat=3)
    return b"".join("".join(name).encode() + b":\r\n" for name in itertools.islice(names, size // 6))


def with_fields(request: bytes, fields: bytes) -> bytes:
    line, _, rest = request.partition(b"\r\n")
    return line + b"\r\n" + fields + rest


def count_parsed_lines(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """A list whose only entry is the number of lines that h11 has parsed since."""
    count, validate = [0], h11._util.validate

    def counted(*arguments: object) -> object:
        count[0] += 1
        return validate(*arguments)  # type: ignore[arg-type]

    monkeypatch.setattr("h11._readers.validate", counted)
    return count


FIELDS = many_short_fields(FIELDS_BYTES)
CHUNKED = post(drop=("Content-Length",), Transfer_Encoding="chunked").removesuffix(b"job")
CLIENT_INPUTS = {
    "head": with_fields(NO_CLASS, FIELDS),
    "head of a proper request": with_fields(post(), FIELDS),
    "head without an end": with_fields(NO_CLASS, FIELDS)[:-2],
    "trailer": CHUNKED + b"0\r\n" + FIELDS + b"\r\n",
}


@pytest.mark.parametrize("piece_bytes", [HEADER_LIMIT, 1_000])
@pytest.mark.parametrize("kind", CLIENT_INPUTS)
def test_fields_of_clients_beyond_the_limit_are_not_parsed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str, piece_bytes: int
) -> None:
    # Guards against heads of many short fields that held the event loop up, so that requests were lost.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            parsed_lines = count_parsed_lines(monkeypatch)
            client = await harness.raw_client()
            for start in range(0, len(CLIENT_INPUTS[kind]), piece_bytes):
                await client.send(CLIENT_INPUTS[kind][start : start + piece_bytes])
                await asyncio.sleep(0)
            assert (await client.read_to_end()).startswith(b"HTTP/1.1 400")
            assert parsed_lines[0] <= MAX_HEADER_FIELDS + 2
            assert harness.no_request_sent()

    asyncio.run(run())


SERVER_INPUTS = {
    "head": b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 0\r\n\r\n",
    "informational": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + FIELDS + b"\r\n",
    "trailer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + FIELDS + b"\r\n",
}


@pytest.mark.parametrize("kind", SERVER_INPUTS)
def test_fields_of_servers_beyond_the_limit_are_not_parsed(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Server connections and calls to discovery have the same bound as those of clients.
    parsed_lines = count_parsed_lines(monkeypatch)
    http = http_connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    http.send(h11.EndOfMessage())
    http.receive_data(SERVER_INPUTS[kind])
    with pytest.raises(h11.RemoteProtocolError):
        while http.next_event() is not h11.NEED_DATA:
            pass
    assert parsed_lines[0] <= MAX_HEADER_FIELDS + 2


def test_head_within_the_limit_is_parsed() -> None:
    http = http_connection(h11.SERVER)
    http.receive_data(with_fields(NO_CLASS, many_short_fields((MAX_HEADER_FIELDS - 1) * 6)))
    request = http.next_event()
    assert isinstance(request, h11.Request) and len(request.headers) == MAX_HEADER_FIELDS


def test_head_beyond_the_limit_is_rejected_also_if_it_comes_whole() -> None:
    http = http_connection(h11.SERVER)
    http.receive_data(with_fields(NO_CLASS, b"X: " + b"x" * HEADER_LIMIT + b"\r\n"))
    with pytest.raises(h11.RemoteProtocolError):
        http.next_event()
