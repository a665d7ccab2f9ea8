"""Shutdown: requests received before the end are answered, and no request is forwarded that could not be
answered."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import sys
from pathlib import Path

import pytest

from burlshift.agent import admin_commands
from burlshift.agent.drain import DrainTimes, LameDuckTimes
from tests.loopback import (
    KEYED,
    UNSAFE,
    Message,
    RawClient,
    ScriptedServer,
    StreamConnection,
    agent_environment,
    config_doc,
    member,
    post,
    running_agent,
    start_agent,
)

IMMEDIATE = DrainTimes(close_s=0.0, idle_s=0.0, serve_s=0.0, end_s=0.0)


def test_request_while_large_responses_finish_is_refused_and_not_forwarded(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path, retryAfter=True) as harness:
            large, pending = await harness.raw_client(), await harness.client()
            await large.send(post())
            received = await harness.request()
            sending = asyncio.create_task(received.answer(200, b"y" * 8_000_000))
            first_bytes = await asyncio.get_running_loop().sock_recv(large.socket, 65536)
            await pending.write(
                post()
            )  # pending when all requests are failed, so its connection is still open
            unanswered = await harness.request()
            draining = asyncio.create_task(harness.server.drain.run(IMMEDIATE))
            while not harness.server.drain.refusing:
                await asyncio.sleep(0)
            assert (await pending.read()).status == 500
            for body in (b"job", b"x" * 200_000):
                late = await harness.send_request(post(body=body))
                answer = await late.read()
                assert answer.status == 503 and answer.headers["connection"] == "close"
                assert float(answer.headers["retry-after"]) == 0.5
            assert harness.no_request_sent()
            response = first_bytes + await large.read_to_end()
            assert response.endswith(b"\r\n\r\n" + b"y" * 8_000_000)
            large.close()
            for client in harness.clients:
                client.close()
            await asyncio.gather(sending, draining)
            await unanswered.connection.wait_closed()

    asyncio.run(run())


@pytest.mark.parametrize("cls", [KEYED, UNSAFE])
def test_clients_in_the_backlog_at_the_end_are_answered(tmp_path: Path, cls: str) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            assert harness.server.listener is not None
            # So that the loop does not accept them.
            asyncio.get_running_loop().remove_reader(harness.server.listener)
            clients = [await harness.raw_client() for _ in range(40)]
            for client in clients:
                await client.send(post(cls))
            draining = asyncio.create_task(harness.server.drain.run(IMMEDIATE))
            for client in clients:
                assert (await client.read_to_end()).startswith(b"HTTP/1.1 503")
                client.close()
            await draining
            assert harness.no_request_sent() and not harness.server.connections

    asyncio.run(run())


def test_stop_during_lame_duck_serves_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Late requests are refused in lame-duck mode, so that mode must not be near that stage on a slow machine.
    monkeypatch.setattr(admin_commands, "LAME_DUCK_TIMES", LameDuckTimes(close_s=0.5, idle_s=1.0))

    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            await client.send(post())
            received = await harness.request()
            assert await harness.admin_command("LAMEDUCK") == "OK\n"
            draining = asyncio.create_task(
                harness.server.drain.run(DrainTimes(close_s=0.0, idle_s=0.0, serve_s=0.0, end_s=30.0))
            )
            late = await harness.send_request(post(UNSAFE))
            await (await harness.request()).answer(200, b"late")
            assert (await late.read()).status == 200
            late.close()
            await received.answer(200, b"done")
            assert (await client.read_to_end()).endswith(b"done")
            client.close()
            await draining
            assert harness.server.drain.in_lame_duck and not harness.server.connections

    asyncio.run(run())


@pytest.mark.parametrize("read", [True, False])
def test_unread_request_on_an_accepted_connection_is_served_by_the_predecessor(
    tmp_path: Path, read: bool
) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.raw_client()
            while not harness.server.connections:
                await asyncio.sleep(0)
            if read:
                await client.send(post())
            draining = asyncio.create_task(
                harness.server.drain.run(
                    DrainTimes(close_s=0.0, idle_s=0.0, serve_s=0.0, end_s=30.0), has_successor=True
                )
            )
            while harness.server.listener is not None:
                await asyncio.sleep(0)
            if not read:  # it arrives on an open connection that is too new to count as idle
                await client.send(post())
            received = await harness.request()
            await received.answer(200, b"done")
            assert (await client.read_to_end()).endswith(b"done")
            client.close()
            await draining

    asyncio.run(run())


async def keep_sending(port: int, answered: set[str], name: str) -> None:
    """Send one request after the other, on a new connection whenever one is closed, until a connect fails."""
    number = 0
    while True:
        client = RawClient()
        try:
            await client.connect(port)
        except ConnectionError:
            return client.close()
        with contextlib.suppress(ConnectionError):
            while True:
                number += 1
                await client.send(post(Request_Id=f"{name}-{number}"))
                answer = b""
                while b"\r\n\r\n" not in answer or not answer.endswith(b"\n"):
                    piece = await asyncio.get_running_loop().sock_recv(client.socket, 65536)
                    if not piece:
                        break
                    answer += piece
                if not answer:
                    break
                answered.add(f"{name}-{number}")
                if b"Connection: close" in answer:
                    break
        client.close()


@pytest.mark.parametrize("deadline_ms", [200, 30_000])  # shorter and longer than the stages of a stop
def test_reconnecting_clients_lose_nothing_during_a_stop(tmp_path: Path, deadline_ms: int) -> None:
    async def run() -> None:
        discovery, backend = await ScriptedServer().start(), await ScriptedServer().start()
        document = config_doc(discovery.port, [member("s", backend.port)])
        for profile in document["settings"]["profiles"]:
            profile["aimUs"] = profile["deadlineUs"] = deadline_ms * 1000
        process, port = await start_agent(tmp_path, document)
        forwarded: list[str] = []

        async def serve() -> None:
            while True:
                message: Message = await backend.requests.get()
                forwarded.append(message.headers["request-id"])
                with contextlib.suppress(ConnectionError):
                    await message.answer(200, b"done\n")

        serving, answered = asyncio.create_task(serve()), set[str]()
        clients = [asyncio.create_task(keep_sending(port, answered, f"c{i}")) for i in range(12)]
        while len(answered) < 100:
            await asyncio.sleep(0)
        process.send_signal(signal.SIGTERM)
        await asyncio.gather(*clients)
        assert await process.wait() == 0
        serving.cancel()
        assert not set(forwarded) - answered and len(forwarded) == len(set(forwarded))
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_repeated_sigterm_and_sighup_stop_once(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, backend = await ScriptedServer().start(), await ScriptedServer().start()
        process, port = await start_agent(tmp_path, config_doc(discovery.port, [member("s", backend.port)]))
        client = StreamConnection(*await asyncio.open_connection("127.0.0.1", port))
        await client.write(post())
        received = await backend.requests.get()
        for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            process.send_signal(signal_number)
        assert process.stderr is not None
        while b"discovery is at" not in await process.stderr.readline():
            pass
        await received.answer()
        answer = await client.read()
        assert answer.status == 200 and answer.headers["connection"] == "close"
        client.close()
        assert await process.wait() == 0
        assert b"Traceback" not in await process.stderr.read()
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_after_the_last_loop_turn_does_not_crash(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    # The end of the loop restored the default signal handlers before the interpreter had ended.
    code = (
        "import atexit, os, signal, sys\nfrom burlshift.agent.__main__ import main\n"
        f"atexit.register(os.kill, os.getpid(), {int(signal_number)})\nsys.exit(main())"
    )
    (tmp_path / "config.json").write_text(json.dumps(config_doc(1, [])))

    async def run() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, stderr=asyncio.subprocess.PIPE, env=agent_environment(tmp_path)
        )
        assert process.stderr is not None
        while b"listens on" not in await process.stderr.readline():
            pass
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    asyncio.run(asyncio.wait_for(run(), 60))


def test_stop_before_the_start_is_complete_exits_cleanly(tmp_path: Path) -> None:
    async def run() -> None:
        with socket.socket(socket.AF_UNIX) as silent, socket.socket() as port_holder:
            port_holder.bind(("127.0.0.1", 0))
            document = config_doc(1, []) | {
                "listen": "127.0.0.1:1234",
                "control": f"127.0.0.1:{port_holder.getsockname()[1]}",
            }
            port_holder.close()
            (tmp_path / "config.json").write_text(json.dumps(document))
            silent.bind(str(tmp_path / "lilacsill-127.0.0.1-1234.sock"))
            silent.listen()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burlshift.agent",
                stderr=asyncio.subprocess.PIPE,
                env=agent_environment(tmp_path),
            )
            assert process.stderr is not None
            while b"takes calls" not in await process.stderr.readline():
                pass
            # The agent waits for the state and does not listen for clients yet.
            await asyncio.to_thread(silent.accept)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
            assert b"Traceback" not in await process.stderr.read()

    asyncio.run(asyncio.wait_for(run(), 60))
