"""Requests whose head takes 2 s, across a planned end (SIGTERM) and across LAMEDUCK."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

CLIENTS = 3
REQUEST_CLASS, TIMEOUT_MS = "bill-estimate", 3600  # 0.6 of the class's 6 s, as a client's try has
HEAD_S = 1.9  # DAYS: a client may take 2 s for a head
# PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline (counted as 3 s if it is longer)
# plus 0.7 s. A request that came up to 0.7 s after SIGTERM and is unanswered at SIGKILL is excused.
KILL_S, EXCUSED_S = 3.7, 0.7
# DAYS: 4 s after LAMEDUCK no client's connection is held with a request from the last 2 s.
LAMEDUCK_S, RECENT_S = 4.0, 2.0
LONG_ANSWER, PIECE, LONG_ANSWER_S = 1_000_000, 10_000, 6.0


async def long_answer(server: rig.MeterServer, request: rig.Request, writer: asyncio.StreamWriter) -> None:
    """A long answer from the first moment on, written at an even pace; a short one for a short question."""
    if "long" not in request.target:
        return await rig.plain_answer(server, request, writer)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER)
    for _ in range(0, LONG_ANSWER, PIECE):
        writer.write(b"x" * PIECE)
        await writer.drain()
        await asyncio.sleep(LONG_ANSWER_S * PIECE / LONG_ANSWER)


async def slow_answer(server: rig.MeterServer, request: rig.Request, writer: asyncio.StreamWriter) -> None:
    """An answer after 2 s of work; one of the usual kind for a short question."""
    await asyncio.sleep(2.0 if "long" in request.target else 0.0)
    await rig.plain_answer(server, request, writer)


async def connected_clients(record: rig.Record, agent: rig.Agent) -> list[rig.Client]:
    """Clients with a connection that has served a request, as the application keeps them."""
    clients = [rig.Client(record, agent.port) for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        reply = await client.call(f"first-{number}", REQUEST_CLASS, TIMEOUT_MS, 4.0)
        if reply.status != 200 or reply.close:
            raise rig.CannotRun("no kept connection")
    return clients


async def slow_head(record: rig.Record, client: rig.Client, identity: str) -> float:
    """Send a request whose head takes HEAD_S; returns when its last byte was sent."""
    data = rig.request_bytes(identity, REQUEST_CLASS, TIMEOUT_MS, "?obj=long")
    part = len(data) // 4
    await client.send(data[:part])
    record.note(f"client began {identity}")
    await asyncio.sleep(HEAD_S / 2)
    await client.send(data[part : 2 * part])
    await asyncio.sleep(HEAD_S / 2)
    sent = await client.send(data[2 * part :])
    record.note(f"client sent the last byte of {identity}")
    return sent


async def planned_end(record: rig.Record, folder: Path, servers: list[rig.MeterServer], trouble: bool) -> int:
    """SIGTERM just after the heads have begun, SIGKILL when it may come; returns how many are lost."""
    for server in servers:
        server.answer = long_answer
    agent = await start_agent(record, folder, servers)
    process = agent.processes[-1]
    lost = 0
    try:
        clients = await connected_clients(record, agent)
        heads = [asyncio.create_task(slow_head(record, c, f"end-{n}")) for n, c in enumerate(clients)]
        await asyncio.sleep(0.1)
        ended_at = record.now()
        if trouble:
            agent.signal(signal.SIGTERM)

        async def request(number: int, client: rig.Client) -> tuple[float, rig.Reply]:
            try:
                sent = await heads[number]
                return sent, await client.receive(sent)
            except OSError:  # closed before the request was whole
                return record.now(), rig.Reply(503, b"", record.now(), record.now())

        requests = [asyncio.create_task(request(n, c)) for n, c in enumerate(clients)]
        if trouble:
            await asyncio.sleep(max(0.0, ended_at + KILL_S - record.now()))
            if process.poll() is None:
                agent.signal(signal.SIGKILL)
            else:
                record.note("the agent has ended by itself")
        for number, (sent, reply) in enumerate(await asyncio.gather(*requests)):
            after = sent - ended_at
            record.note(f"end-{number}: status {reply.status}, last byte {after:.2f} s after SIGTERM")
            if trouble and not reply.status and after > EXCUSED_S + rig.SLACK_S:
                record.note(f"LOST end-{number}")
                lost += 1
            elif not trouble and reply.status != 200:
                raise rig.CannotRun(f"status {reply.status} without the disruption")
    finally:
        agent.end()
        agent.copy_logs()
    return lost


async def lameduck(record: rig.Record, folder: Path, servers: list[rig.MeterServer], trouble: bool) -> int:
    """LAMEDUCK, and heads that begin on open connections 0.8 s later; returns how many are held too long."""
    for server in servers:
        server.answer = slow_answer
    agent = await start_agent(record, folder, servers)
    held = 0
    try:
        clients = await connected_clients(record, agent)
        if trouble:
            reader, writer = await asyncio.open_connection("127.0.0.1", agent.control)
            writer.write(b"LAMEDUCK\n")
            reply = await reader.read()
            writer.close()
            record.note(f"LAMEDUCK: {reply.decode().strip()}")
            if reply != b"OK\n":
                raise rig.CannotRun("LAMEDUCK was not carried out")
        called_at = record.now()
        await asyncio.sleep(0.8)

        async def request(number: int, client: rig.Client) -> None:
            nonlocal held
            try:
                sent = await slow_head(record, client, f"duck-{number}")
            except OSError:
                return record.note(f"duck-{number}: the connection was closed before the request was whole")
            answer = asyncio.create_task(client.receive(sent))
            look_at = called_at + LAMEDUCK_S + rig.SLACK_S
            await asyncio.wait([answer], timeout=look_at - record.now())
            recent = record.now() - sent < RECENT_S - rig.SLACK_S
            if trouble and not answer.done() and recent:
                record.note(f"LOST duck-{number}: held {record.now() - called_at:.2f} s after LAMEDUCK")
                held += 1
            status = (await answer).status
            record.note(f"duck-{number}: status {status}, last byte {sent - called_at:.2f} s after LAMEDUCK")
            if not trouble and status != 200:
                raise rig.CannotRun(f"status {status} without the disruption")

        await asyncio.gather(*(request(n, c) for n, c in enumerate(clients)))
    finally:
        agent.end()
        agent.copy_logs()
    return held


async def start_agent(record: rig.Record, folder: Path, servers: list[rig.MeterServer]) -> rig.Agent:
    folder.mkdir()
    agent = rig.Agent(record, folder, await rig.discovery_of(record, servers))
    agent.start()
    await agent.ready()
    return agent


async def case(record: rig.Record, folder: Path, trouble: bool) -> int:
    servers = await rig.fleet(record)
    lost = await planned_end(record, folder / "end", servers, trouble)
    held = await lameduck(record, folder / "lameduck", servers, trouble)
    record.verdict(
        f"{CLIENTS} requests across SIGTERM, {lost} lost; {CLIENTS} across LAMEDUCK, {held} held too long"
    )
    return rig.BROKEN if lost or held else rig.HELD


rig.play(case, __file__)
