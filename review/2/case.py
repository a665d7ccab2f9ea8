"""Answers of 256 KiB in chunks, written slowly, to orders that must not run twice."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

REQUESTS = 6
REQUEST_CLASS, TIMEOUT_MS = "reconnect-order", 900  # 0.6 of the class's 1.5 s, as a client's try has
ANSWER = bytes(range(256)) * 1024
PIECE = 8192
BYTES_PER_S = 64_000  # the slowest pace that the pages name
FIRST_BYTES_S = 0.1  # from a request's last byte to its answer's head


class LongAnswers:
    """Writes long answers in chunks and knows which of them were cut off by the agent."""

    def __init__(self, bytes_per_s: float) -> None:
        self._pause_s = PIECE / bytes_per_s
        self.whole: list[str] = []
        self.cut_off: list[str] = []

    async def __call__(
        self, server: rig.MeterServer, request: rig.Request, writer: asyncio.StreamWriter
    ) -> None:
        identity, record = request.headers["request-id"], server.record
        await asyncio.sleep(FIRST_BYTES_S)
        writer.write(
            b"HTTP/1.1 200 OK\r\nServer-Load: util=0.10,inflight=1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        record.note(f"server {server.name} begins the answer to {identity}")
        given = 0
        try:
            for start in range(0, len(ANSWER), PIECE):
                writer.write(b"%x\r\n" % PIECE + ANSWER[start : start + PIECE] + b"\r\n")
                await writer.drain()
                given += PIECE
                if self._pause_s >= 0.01:
                    await asyncio.sleep(self._pause_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except ConnectionError:
            record.note(f"server {server.name}: the agent cut {identity} off after {given} bytes")
            self.cut_off.append(identity)
            raise
        self.whole.append(identity)


async def case(record: rig.Record, folder: Path, trouble: bool) -> int:
    servers = await rig.fleet(record)
    answers = LongAnswers(BYTES_PER_S if trouble else 100_000_000)
    for server in servers:
        server.answer = answers
    agent = rig.Agent(record, folder, await rig.discovery_of(record, servers))
    served = lost = 0
    try:
        agent.start()
        await agent.ready()
        for number in range(REQUESTS):
            client = rig.Client(record, agent.port)
            identity = f"order-{number}"
            reply = await client.call(identity, REQUEST_CLASS, TIMEOUT_MS, 15.0)
            client.close()
            await asyncio.sleep(0.5)  # the server notices the end with its next piece
            if reply.status == 200:
                if reply.body != ANSWER:
                    record.note(f"{identity} got another body")
                    return rig.BROKEN
                served += 1
            elif identity in answers.cut_off:
                record.note(f"LOST {identity}: the server ran it and was still giving its answer")
                lost += 1
        if agent.crashed():
            raise rig.CannotRun("the agent has ended")
    finally:
        agent.end()
        agent.copy_logs()
    record.verdict(f"{REQUESTS} orders, {served} answers passed on, {lost} cut off as the server gave them")
    # Of answers with no length half at least are to be forwarded. A chunked answer has a detectable end, but
    # is counted by this milder rule too.
    return rig.BROKEN if lost > REQUESTS / 2 else rig.HELD


rig.play(case, __file__)
