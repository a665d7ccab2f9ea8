"""No attempt starts for a client that has left while its request was waiting."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from burlshift.agent.downstream_connection import PIPELINE_LIMIT_BYTES
from burlshift.balancing.interface import ListKind, Send
from tests.loopback import AgentHarness, RawClient, ScriptedServer, hold_connects, member, post, running_agent

# With the first two inputs reading is paused, by the agent or by the test, so that the connection does not
# show that the client has closed it.
INPUTS = {
    "a large body, paused": post(body=b"x" * 150_000),
    "pipelined input over the limit": post() + b"x" * (2 * PIPELINE_LIMIT_BYTES),
    "a request alone": post(),
    "a pipelined request": post() + post(),
}
PAUSED_INPUTS = list(INPUTS)[:2]
DEPARTURES: dict[str, Callable[[RawClient], None]] = {"FIN": RawClient.close, "RST": RawClient.reset}
each_departure = pytest.mark.parametrize("departure", DEPARTURES)


async def wait_until_paused(harness: AgentHarness) -> None:
    """Wait until the agent has the input, and pause reading on the only connection. During a large body the
    agent has paused already."""
    (connection,) = harness.server.connections
    while connection._upload is None and not connection._pipeline_overflowed:
        await asyncio.sleep(0)
    assert connection.transport is not None
    connection.transport.pause_reading()


async def assert_only_next_client_is_served(harness: AgentHarness) -> None:
    """Check that the backends get the request of another client next, and none of the departed client."""
    while harness.agent._pending:
        await asyncio.sleep(0)
    await harness.send_request(post(Request_Id="next"))
    assert (await harness.request()).headers["request-id"] == "next"
    assert harness.no_request_sent()


@each_departure
@pytest.mark.parametrize("sent", INPUTS)
def test_client_leaving_during_the_connect_causes_no_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent: str, departure: str
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            connects_allowed = hold_connects(monkeypatch)
            await client.send(INPUTS[sent])
            while not harness.backends[0].connections:
                await asyncio.sleep(0)
            if sent in PAUSED_INPUTS:
                await wait_until_paused(harness)
            DEPARTURES[departure](client)
            connects_allowed.set()  # without a turn of the loop since the client left
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


@each_departure
@pytest.mark.parametrize("sent", INPUTS)
def test_client_leaving_while_its_request_is_held_causes_no_attempt(
    tmp_path: Path, sent: str, departure: str
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=0) as harness:
            client, late = await harness.raw_client(), await ScriptedServer().start()
            harness.backends.append(late)
            await client.send(INPUTS[sent])
            while not harness.agent._pending:
                await asyncio.sleep(0)
            if sent in PAUSED_INPUTS:
                await wait_until_paused(harness)
            DEPARTURES[departure](client)
            document = {"revision": 42, "complete": True, "members": [member("late", late.port)]}
            list_keeper = harness.agent._list
            list_keeper._publish(
                ListKind.FULL, list_keeper.backend_list.update(list_keeper.discovery.parser.parse(document))
            )
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


@each_departure
def test_client_leaving_before_a_retry_causes_no_retry(tmp_path: Path, departure: str) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=2) as harness:
            client = await harness.raw_client()
            await client.send(INPUTS["pipelined input over the limit"])
            first = await harness.request()
            await wait_until_paused(harness)
            DEPARTURES[departure](client)
            first.connection.reset()
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


@each_departure
def test_client_leaving_before_a_hedge_causes_no_hedge(tmp_path: Path, departure: str) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=2, secondCopies=True) as harness:
            client = await harness.raw_client()
            await client.send(INPUTS["pipelined input over the limit"])
            first = await harness.request()
            await wait_until_paused(harness)
            DEPARTURES[departure](client)
            (number,) = harness.agent._pending
            busy = next(f"s{i}" for i, b in enumerate(harness.backends) if b.connections)
            other = {"s0": "s1", "s1": "s0"}[busy]
            harness.agent._send(Send(number, other, 10_000_000))  # as the decision module orders a hedge
            await first.connection.wait_closed()  # the running attempt is cancelled too
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


def test_unread_input_does_not_keep_the_connection_of_a_departed_client(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, backends=0) as harness:
            client, late = await harness.raw_client(), await ScriptedServer().start()
            await client.send(INPUTS["pipelined input over the limit"])
            while not harness.agent._pending:
                await asyncio.sleep(0)
            await wait_until_paused(harness)
            client.close()
            document = {"revision": 42, "complete": True, "members": [member("late", late.port)]}
            list_keeper = harness.agent._list
            list_keeper._publish(
                ListKind.FULL, list_keeper.backend_list.update(list_keeper.discovery.parser.parse(document))
            )
            while harness.server.connections:
                await asyncio.sleep(0)
            await late.stop()

    asyncio.run(run())


def test_client_that_stays_is_served(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            connects_allowed = hold_connects(monkeypatch)
            await client.send(INPUTS["pipelined input over the limit"])
            while not harness.backends[0].connections:
                await asyncio.sleep(0)
            await wait_until_paused(harness)
            connects_allowed.set()
            await (await harness.request()).answer()
            assert b"HTTP/1.1 200" in await asyncio.get_running_loop().sock_recv(client.socket, 65536)
            client.close()

    asyncio.run(run())


async def keep_idle_connection(harness: AgentHarness) -> None:
    """Leave an idle backend connection, so that the next attempt needs no connect and no turn of the loop."""
    client = await harness.send_request(post(Request_Id="first"))
    await (await harness.request()).answer()
    await client.read()
    while not harness.agent._connection_pool._idle:
        await asyncio.sleep(0)


@each_departure
@pytest.mark.parametrize("accepted", [True, False])
@pytest.mark.parametrize("body", [b"job", b"x" * 100_000])
def test_client_leaving_before_its_request_is_read_causes_no_attempt(
    tmp_path: Path, departure: str, accepted: bool, body: bytes
) -> None:
    # A delayed agent reads the request and the close in one turn of the loop. An agent that did not ask the
    # kernel about the close sent the request to a backend.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            await keep_idle_connection(harness)
            client = await harness.raw_client()
            while accepted and len(harness.server.connections) < 2:
                await asyncio.sleep(0)
            assert client.socket.send(post(body=body)) > len(body)
            DEPARTURES[departure](client)  # without a turn of the loop in between
            while (
                len(harness.server.connections) > 1
                or harness.server._being_accepted
                or not harness.server._accepting
            ):
                await asyncio.sleep(0)
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


@pytest.mark.parametrize("behind", [post(), b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", b"x"])
def test_client_leaving_behind_much_unread_input_causes_no_attempt(tmp_path: Path, behind: bytes) -> None:
    # Guards against requests that are sent on after their client has closed with much unread: its end reaches
    # the agent's kernel only once that has been read.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            while not harness.server.connections:
                await asyncio.sleep(0)
            client.socket.send(post())
            with contextlib.suppress(BlockingIOError):
                for _ in range(100):
                    client.socket.send(behind * (1_000_000 // len(behind)))
            client.close()
            while harness.server.connections:
                await asyncio.sleep(0)
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


def test_request_before_endless_input_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    connection = "burlshift.agent.downstream_connection"
    monkeypatch.setattr(f"{connection}.INPUT_WAIT_S", 0.0)
    monkeypatch.setattr(f"{connection}.MUCH_INPUT_BYTES", 1)
    monkeypatch.setattr(f"{connection}.DownstreamConnection.has_no_input", lambda _: False)

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(post())
            answer = await client.read_to_end()
            assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
            assert harness.no_request_sent() and not harness.agent._pending
            client.close()

    asyncio.run(run())


@each_departure
def test_client_leaving_before_its_pipelined_request_is_read_causes_no_attempt(
    tmp_path: Path, departure: str
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            await keep_idle_connection(harness)
            client = await harness.raw_client()
            await client.send(post() + post())
            first = await harness.request()
            connection = next(c for c in harness.server.connections if c._downstream_request is not None)
            assert connection.transport is not None
            connection.transport.pause_reading()  # the response arrives before the close is read
            DEPARTURES[departure](client)
            await first.answer()
            while connection in harness.server.connections:
                await asyncio.sleep(0)
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


@each_departure
@pytest.mark.parametrize("status", [500, 503])
def test_client_leaving_before_a_retry_on_an_idle_connection_causes_no_retry(
    tmp_path: Path, status: int, departure: str
) -> None:
    # A retry on an idle connection needs no connect. After a 503 with Not-Started the request has not run, so
    # it would be retried.
    async def run() -> None:
        async with running_agent(tmp_path, backends=2) as harness:
            while len(harness.agent._connection_pool._idle) < 2:
                await keep_idle_connection(harness)
            client = await harness.raw_client()
            await client.send(INPUTS["pipelined input over the limit"])
            first = await harness.request()
            connection = next(c for c in harness.server.connections if c._downstream_request is not None)
            while not connection._pipeline_overflowed:
                await asyncio.sleep(0)
            assert connection.transport is not None
            connection.transport.pause_reading()
            DEPARTURES[departure](client)
            await first.answer(status, b"", Not_Started="1")
            await assert_only_next_client_is_served(harness)

    asyncio.run(run())


def test_half_close_counts_as_departure_and_gets_a_failure(tmp_path: Path) -> None:
    # The agent cannot tell a half-close from a close, but a client that keeps reading must get a response.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(INPUTS["a request alone"])
            received = await harness.request()
            client.socket.shutdown(socket.SHUT_WR)
            await received.connection.wait_closed()
            await assert_only_next_client_is_served(harness)
            assert_one_failure(await client.read_to_end())
            client.close()

    asyncio.run(run())


def assert_one_failure(answer: bytes) -> None:
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 ") and body == b"failed\n" and answer.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize("upload", [False, True], ids=["buffered", "streamed"])
def test_half_close_right_behind_the_request_gets_one_failure(tmp_path: Path, upload: bool) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(post(body=b"x" * 100_000) if upload else INPUTS["a request alone"])
            client.socket.shutdown(socket.SHUT_WR)
            assert_one_failure(await client.read_to_end())
            assert harness.no_request_sent()
            client.close()

    asyncio.run(run())


LAST_REQUESTS = {"says close": post(Connection="close"), "1.0": post().replace(b"HTTP/1.1", b"HTTP/1.0")}


@pytest.mark.parametrize("last", LAST_REQUESTS)
def test_half_close_behind_a_blank_line_after_the_last_request_gets_one_failure(
    tmp_path: Path, last: str
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(LAST_REQUESTS[last] + b"\r\n")
            received = await harness.request()
            client.socket.shutdown(socket.SHUT_WR)
            assert_one_failure(await client.read_to_end())
            await received.connection.wait_closed()
            client.close()

    asyncio.run(run())


@pytest.mark.parametrize("behind", [b"", b"\r\n"])
@pytest.mark.parametrize("http", ["1.0", "1.1"])
def test_half_close_during_a_streamed_response_resets_the_connection(
    tmp_path: Path, http: str, behind: bytes
) -> None:
    # The client would take a plain close for the end of a response without a length.
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(post().replace(b"HTTP/1.1", f"HTTP/{http}".encode()) + behind)
            received = await harness.request()
            await received.connection.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 100_000)
            assert await asyncio.get_running_loop().sock_recv(client.socket, 1)
            client.socket.shutdown(socket.SHUT_WR)
            with pytest.raises(ConnectionResetError):
                await client.read_to_end()
            client.close()

    asyncio.run(run())
