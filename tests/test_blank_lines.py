"""Empty lines between requests are ignored, wherever they arrive."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import SupportsIndex

import pytest

from burlshift.agent.blank_lines import BlankLines
from burlshift.agent.buffered_input import HEADER_LIMIT
from tests.loopback import post, running_agent

BLANK_LINES = {"one": b"\r\n", "two": b"\r\n\r\n", "half of one": b"\r"}


@pytest.mark.parametrize("blank", BLANK_LINES)
@pytest.mark.parametrize("size", [3, 100_000])
def test_blank_lines_behind_a_pending_request_are_ignored(tmp_path: Path, blank: str, size: int) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            await client.write(post(body=b"x" * size) + BLANK_LINES[blank])
            await (await harness.request()).answer(200, b"1st")
            assert (await client.read()).body == b"1st"
            rest = b"\n" if blank == "half of one" else b""
            await client.write(rest + post(Request_Id="two"))
            second = await harness.request()
            assert second.headers["request-id"] == "two"
            await second.answer(200, b"2nd")
            assert (await client.read()).body == b"2nd"
            assert len(harness.server.connections) == 1

    asyncio.run(run())


def test_blank_line_between_pipelined_requests_is_ignored(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            await client.write(post(Request_Id="one") + b"\r\n" + post(Request_Id="two"))
            for name in ("one", "two"):
                received = await harness.request()
                assert received.headers["request-id"] == name
                await received.answer(200, name.encode())
                assert (await client.read()).body == name.encode()

    asyncio.run(run())


def test_incomplete_blank_line_is_malformed(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            await client.write(post() + b"\r\rPOST")
            await (await harness.request()).answer()
            assert [(await client.read()).status for _ in range(2)] == [200, 400]
            await client.wait_closed()

    asyncio.run(run())


class CountedBytes(bytes):
    """Bytes that count how many of them have been copied by slicing."""

    copied = 0

    def __radd__(self, other: bytes) -> CountedBytes:
        return CountedBytes(other + bytes(self))

    def __getitem__(self, key: SupportsIndex | slice) -> CountedBytes:  # type: ignore[override]
        assert isinstance(key, slice)
        part = CountedBytes(super().__getitem__(key))
        CountedBytes.copied += len(part)
        return part


def test_cost_of_blank_lines_is_linear_in_their_bytes() -> None:
    # Guards against bad clients that held the event loop up: each empty line copied the rest of the read.
    copied = []
    for length in (HEADER_LIMIT // 2, HEADER_LIMIT):
        CountedBytes.copied = 0
        assert BlankLines().strip(CountedBytes(b"\r\n" * (length // 2) + b"x" * length)) == b"x" * length
        copied.append(CountedBytes.copied)
    assert 0 < copied[1] <= 2 * copied[0] <= 2 * HEADER_LIMIT


@pytest.mark.parametrize("behind_a_request", [False, True])
def test_endless_blank_lines_are_malformed(tmp_path: Path, behind_a_request: bool) -> None:
    # Guards against bad clients that keep the agent busy with empty lines, for as long as they like.
    blank_lines = b"\r\n" * (HEADER_LIMIT * 3 // 4)  # more than a head may have, less than is kept

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            if behind_a_request:
                await client.send(post() + blank_lines)
                await (await harness.request()).answer()
            else:
                await client.send(blank_lines)
            answers = await client.read_to_end()
            assert answers.count(b"HTTP/1.1 ") == 1 + behind_a_request
            assert b"HTTP/1.1 400" in answers and b"Connection: close" in answers
            client.close()

    asyncio.run(run())


def test_blank_lines_are_counted_for_each_request(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.client()
            for name in ("one", "two", "three"):
                await client.write(b"\r\n" * (HEADER_LIMIT // 2) + post(Request_Id=name))
                received = await harness.request()
                assert received.headers["request-id"] == name
                await received.answer()
                assert (await client.read()).status == 200

    asyncio.run(run())
