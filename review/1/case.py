"""Bad clients that send empty lines and nothing else, beside the application's clients."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

BAD_CLIENTS = 64
CALLS_S = 8.0  # how long the application sends requests
TROUBLE_AT_S = 2.0
CLIENTS = 6
CLASSES = (("reconnect-order", 800), ("reading-view", 1600))  # with the time-outs of a client's try
# A process of its own, so that its work does not delay the application's clients. Each bad client has 60 MB
# to send, and goes when the agent ends its connection, or after 10 s.
BAD_CLIENT = """
import socket, sys, threading, time
port, count = int(sys.argv[1]), int(sys.argv[2])
lines = b"\\r\\n" * 32768
def bad_client(number):
    connected, sent = time.monotonic(), 0
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(10.0)
    try:
        while sent < 60_000_000:
            sent += sock.send(lines)
    except OSError:
        pass
    lasted = time.monotonic() - connected
    sys.stdout.write(f"bad client {number}: {sent} bytes, ended {lasted:.1f} s after connecting\\n")
threads = [threading.Thread(target=bad_client, args=(n,), daemon=True) for n in range(count)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(12.0)
"""


async def application(
    number: int, record: rig.Record, port: int, until: float, replies: list[rig.Reply], lost: list[str]
) -> None:
    """One client: a request every 0.2 s on a connection that it keeps. A request is lost if it has no whole
    answer half a second after its time, plus 50 ms."""
    client, count = rig.Client(record, port), 0
    while record.now() < until:
        request_class, timeout_ms = CLASSES[count % 2]
        identity = f"{number:02d}{count:04d}"
        limit_s = timeout_ms / 1000 + rig.ANSWER_LIMIT_S + rig.SLACK_S
        count += 1
        try:
            reply = await client.call(identity, request_class, timeout_ms, limit_s)
        except OSError:  # the connection was closed between requests: the next one goes out on a new one
            client.close()
            continue
        replies.append(reply)
        if not reply.status and reply.ended - reply.sent >= limit_s:
            record.note(f"LOST {identity}")
            lost.append(identity)
        await asyncio.sleep(0.2)


async def case(record: rig.Record, folder: Path, trouble: bool) -> int:
    servers = await rig.fleet(record)
    discovery = rig.Discovery(record)
    discovery.load([server.listed() for server in servers])
    await discovery.start()
    agent = rig.Agent(record, folder, discovery.whole(), discovery.port)
    bad_clients = None
    replies: list[rig.Reply] = []
    lost: list[str] = []
    try:
        agent.start()
        await agent.ready()
        until = record.now() + CALLS_S
        tasks = [
            asyncio.create_task(application(n, record, agent.port, until, replies, lost))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(TROUBLE_AT_S)
        if trouble:
            record.note(f"{BAD_CLIENTS} bad clients connect, each with 60 MB of empty lines to send")
            bad_clients = subprocess.Popen(
                [sys.executable, "-u", "-c", BAD_CLIENT, str(agent.port), str(BAD_CLIENTS)],
                stdout=subprocess.PIPE,
            )
        await asyncio.gather(*tasks)
        if agent.crashed():
            raise rig.CannotRun("the agent has ended")
    finally:
        if bad_clients is not None:
            bad_clients.kill()
            for line in bad_clients.communicate()[0].decode().splitlines():
                record.note(line)
        agent.end()
        agent.copy_logs()
    served = sum(reply.status == 200 for reply in replies)
    longest = max(reply.ended - reply.sent for reply in replies)
    record.verdict(
        f"{len(replies)} requests, {served} served, {len(lost)} lost, longest wait {longest:.2f} s"
    )
    return rig.BROKEN if lost else rig.HELD


rig.play(case, __file__)
