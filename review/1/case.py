"""Bad clients that send much at once beside the application: empty lines, then improper requests."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig

BAD_CLIENTS = 64
STAY_S = 10.0  # then a bad client goes, if the agent has not ended its connection before
# What a bad client sends again and again, up to 60 MB.
KINDS = {"empty lines": "\r\n", "requests for another path": "GET / HTTP/1.1\r\nHost: a\r\n\r\n"}
QUIET_S = 2.0  # before the first bad clients, between the kinds, and after the last
CLIENTS = 6
CLASSES = (("reconnect-order", 800), ("reading-view", 1600))  # with the time-outs of a client's try
# A process of its own, so that its work does not delay the application's clients.
BAD_CLIENT = """
import socket, sys, threading, time
port, count, stay_s, text = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4].encode()
block = text * (65536 // len(text))
def read_answers(sock):
    try:
        while sock.recv(65536):
            pass
    except OSError:
        pass
def bad_client(number):
    connected, sent = time.monotonic(), 0
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(stay_s)
    threading.Thread(target=read_answers, args=(sock,), daemon=True).start()
    try:
        while sent < 60_000_000 and time.monotonic() < connected + stay_s:
            sent += sock.send(block)
    except OSError:
        pass
    lasted = time.monotonic() - connected
    sock.close()
    sys.stdout.write(f"bad client {number}: {sent} bytes, gone {lasted:.1f} s after connecting\\n")
threads = [threading.Thread(target=bad_client, args=(n,), daemon=True) for n in range(count)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join(2 * stay_s)
"""


class Application:
    """The clients of the application, and what became of their requests."""

    def __init__(self, record: rig.Record, port: int) -> None:
        self._record, self._port = record, port
        self.replies: list[rig.Reply] = []
        self.lost: list[rig.Reply] = []
        self.stopping = False

    async def client(self, number: int) -> None:
        """A request every 0.2 s on a connection that is kept. A request is lost if it has no whole answer
        half a second after its time, plus 50 ms."""
        client, count = rig.Client(self._record, self._port), 0
        while not self.stopping:
            request_class, timeout_ms = CLASSES[count % 2]
            identity = f"{number:02d}{count:04d}"
            limit_s = timeout_ms / 1000 + rig.ANSWER_LIMIT_S + rig.SLACK_S
            count += 1
            try:
                reply = await client.call(identity, request_class, timeout_ms, limit_s)
            except OSError:  # closed between requests: the next one goes out on a new connection
                client.close()
                continue
            self.replies.append(reply)
            if not reply.status and reply.ended - reply.sent >= limit_s:
                self._record.note(f"LOST {identity}")
                self.lost.append(reply)
            await asyncio.sleep(0.2)


async def send_much(record: rig.Record, port: int, kind: str) -> None:
    """Play the bad clients of one kind until all have gone."""
    record.note(f"{BAD_CLIENTS} bad clients connect, each with 60 MB of {kind} to send")
    bad_clients = subprocess.Popen(
        [sys.executable, "-u", "-c", BAD_CLIENT, str(port), str(BAD_CLIENTS), str(STAY_S), KINDS[kind]],
        stdout=subprocess.PIPE,
    )
    try:
        output, _ = await asyncio.to_thread(bad_clients.communicate, timeout=3 * STAY_S)
        for line in output.decode().splitlines():
            record.note(line)
    finally:
        bad_clients.kill()
        bad_clients.wait()


async def watch_memory(record: rig.Record, agent: rig.Agent, peak_mb: list[float]) -> None:
    """Keep the agent's peak memory; noted for each 10 MB that it grows."""
    noted_mb = 0.0
    while True:
        peak_mb[0] = max(peak_mb[0], agent.memory_mb())
        if peak_mb[0] > noted_mb + 10.0:
            noted_mb = peak_mb[0]
            record.note(f"the agent has {noted_mb:.0f} MB of its {rig.MEMORY_MB} MB")
        await asyncio.sleep(0.05)


async def case(record: rig.Record, folder: Path, trouble: bool) -> int:
    servers = await rig.fleet(record)
    agent = rig.Agent(record, folder, await rig.discovery_of(record, servers))
    application = Application(record, agent.port)
    lost_by_kind, peak_mb = {}, [0.0]
    try:
        agent.start()
        await agent.ready()
        memory = asyncio.create_task(watch_memory(record, agent, peak_mb))
        clients = [asyncio.create_task(application.client(n)) for n in range(CLIENTS)]
        await asyncio.sleep(QUIET_S)
        for kind in KINDS:
            lost_before = len(application.lost)
            if trouble:
                await send_much(record, agent.port, kind)
            else:
                await asyncio.sleep(STAY_S)
            await asyncio.sleep(QUIET_S)
            lost_by_kind[kind] = len(application.lost) - lost_before
        application.stopping = True
        await asyncio.gather(*clients)
        memory.cancel()
        if agent.crashed():
            raise rig.CannotRun("the agent has ended")
    finally:
        agent.end()
        agent.copy_logs()
    replies = application.replies
    served = sum(reply.status == 200 for reply in replies)
    lost = ", ".join(f"{count} beside {kind}" for kind, count in lost_by_kind.items())
    longest = max(reply.ended - reply.sent for reply in replies)
    record.verdict(
        f"{len(replies)} requests, {served} served, lost {lost}; longest wait {longest:.2f} s, "
        f"memory {peak_mb[0]:.0f} MB of {rig.MEMORY_MB} MB"
    )
    return rig.BROKEN if application.lost else rig.HELD


rig.play(case, __file__)
