"""Stand-ins for the platform of one agent: clients, meter servers, discovery, and a record of all of it.

Everything runs on loopback addresses with free ports and on the real clock. The agent is a process of its
own, started with the command `run` of deploy/balancer.toml. Standard library only.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SLACK_S = 0.05  # PROTOCOL: every time limit is longer by 50 ms on sockets
ANSWER_LIMIT_S = 0.5  # STANDING: up to half a second after its time an answer only earns nothing
LATE_LIMIT_S = 0.25  # stand-ins that were later than this make the case unfair: it could not run
MEMORY_MB = 96  # TERMS: 32 to 192 MB, set by language and day
ZONES = ("vancouver", "kamloops", "prince-george")
CLASSES = {  # bc-meter-head: method, aim, deadline
    "reading-view": ("GET", 1500, 3000),
    "bill-estimate": ("GET", 2500, 6000),
    "reconnect-order": ("POST", 800, 1500),
    "credit-topup": ("POST", 500, 2500),
}


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """What was sent, answered and run: lines with the seconds since the start, in record.txt of the case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.late_s = 0.0  # the longest time by which this process itself was late
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    async def watch_own_lag(self) -> None:
        """Measure whether the stand-ins themselves are late, which would make the case unfair."""
        while True:
            due = time.monotonic() + 0.01
            await asyncio.sleep(0.01)
            self.late_s = max(self.late_s, time.monotonic() - due)

    def verdict(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


def settings() -> dict[str, Any]:
    """The settings of bc-meter-head for one agent of three, with the figures of the site file and WIRE."""
    profiles = [
        {
            "name": name,
            "aimUs": aim * 1000,
            "deadlineUs": deadline * 1000,
            "repeat": {"reconnect-order": "fragile", "credit-topup": "dedup"}.get(name, "retryable"),
            "dedupScope": "zone" if name == "credit-topup" else "all",
            "memorySpanUs": 12_000_000 if name == "credit-topup" else 5_000_000,
            "streamed": False,
            "value": {"reading-view": 1.0, "bill-estimate": 5.0}.get(name, 3.0),
            "lateWorth": 0.2 if name == "credit-topup" else 0.25,
        }
        for name, (_, aim, deadline) in CLASSES.items()
    ]
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 50_000,
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 2_000_000,
            "multiplex": 1,
            "peers": True,
            "probes": False,
            "retryAfter": True,
            "secondCopies": True,
        },
        "clients": {"marksRetry": True},
        "countedBy": "request",
        "familyInfo": {"warmKeys": True},
        "goal": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
        "kindOfService": "mesh",
        "localities": list(ZONES),
        "me": 0,
        "overShareWorth": 0.1,
        "prices": {"crossZone": 0.03, "lateFail": 0.05, "peer": 0.01, "probe": 0.007, "waste": 0.04},
        "profiles": profiles,
        "quantumUs": 5000,
        "registryMode": "push",
        "report": {"columns": ["util", "inflight"], "source": "inline"},
        "rules": {
            "askWithinUs": 10_000_000,
            "drainGraceUs": 1_000_000,
            "fallMultiple": 2.5,
            "graceToAnswerUs": 20_000,
            "startCapacity": 0.13,
            "tipAfterUs": 1_500_000,
            "warmUpUs": 23_000_000,
        },
        "siblings": 3,
        "skus": ["std-2", "slow-2"],
        "tenants": [],
        "tier": 0,
        "tiers": ["meter-api"],
        "weightKind": "off",
        "zone": 0,
    }


@dataclass
class Request:
    """A request as a meter server or the stand-in of discovery has read it, to its last byte."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """The next request on a connection; None once the other side has ended it between requests."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)}
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


Answer = Callable[["MeterServer", Request, asyncio.StreamWriter], Awaitable[None]]


async def plain_answer(server: MeterServer, request: Request, writer: asyncio.StreamWriter) -> None:
    """A 200 answer after the server's time of work, with a load report; the body names request and server."""
    server.held += 1
    try:
        await asyncio.sleep(server.work_s)
    finally:
        server.held -= 1
    body = f"{request.headers['request-id']} {server.name}".encode()
    report = f"util={min(1.0, server.held / 8):.2f},inflight={server.held}"
    writer.write(
        f"HTTP/1.1 200 OK\r\nServer-Load: {report}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    )
    await writer.drain()


@dataclass
class MeterServer:
    """A meter server: serves one request at a time on each connection, and counts what it was sent."""

    name: str
    zone: str
    record: Record
    work_s: float = 0.05
    answer: Answer = plain_answer
    held: int = 0
    port: int = 0
    runs: list[tuple[float, str]] = field(default_factory=list)  # when each request's last byte had come

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not request.target.startswith("/api"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                identity = request.headers.get("request-id", "")
                self.runs.append((self.record.now(), identity))
                self.record.note(f"server {self.name} got {identity} {request.headers.get('request-class')}")
                await self.answer(self, request, writer)
                self.record.note(f"server {self.name} answered {identity}")
        except ConnectionError:
            self.record.note(f"server {self.name}: the agent closed the connection")
        except asyncio.CancelledError:  # the case is over
            pass
        finally:
            writer.close()

    def listed(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": "std-2",
            "cell": ZONES.index(self.zone) + 1,
            "phase": "SERVING",
            "size": 1.0,
            "up_since_ms": 0,
        }


class Discovery:
    """Discovery by PROTOCOL, for a list that does not change: the whole list, and watches that wait."""

    def __init__(self, record: Record, servers: list[MeterServer]) -> None:
        self.record, self.port = record, 0
        rows = [server.listed() for server in servers]
        self.whole: dict[str, Any] = {"revision": 41, "complete": True, "members": rows}

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self.record.note(f"discovery is asked {request.target}")
                query = dict(p.split("=", 1) for p in request.target.partition("?")[2].split("&") if p)
                answer = self.whole
                if "index" in query:
                    await asyncio.sleep(min(60.0, int(query.get("wait", "0")) / 1000))
                    answer = {"revision": 41, "complete": False, "members": []}
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
                writer.write(head.encode() + b"\r\n\r\n" + body)
                await writer.drain()
                self.record.note(f"discovery answered with {len(answer['members'])} members")
        except ConnectionError:
            self.record.note("discovery: the agent closed the connection")
        except asyncio.CancelledError:  # the case is over
            pass
        finally:
            writer.close()


@dataclass
class Reply:
    """How a request ended for its client: status 0 where no whole answer came."""

    status: int
    body: bytes
    sent: float  # when the last byte was written, on the record's clock
    ended: float
    close: bool = False  # the answer said that the connection closes


def request_bytes(identity: str, request_class: str, timeout_ms: int, query: str = "") -> bytes:
    """A request by PROTOCOL."""
    method = CLASSES[request_class][0]
    lines = [
        f"{method} /api{query} HTTP/1.1",
        "Host: origin.svc",
        f"Request-Id: {identity}",
        f"Request-Class: {request_class}",
        f"Request-Timeout-Ms: {timeout_ms}",
    ]
    body = b""
    if method == "POST":
        body = b"order " + identity.encode()
        lines.append(f"Content-Length: {len(body)}")
    if request_class == "credit-topup":
        lines.append(f"Idempotency-Key: key-{identity}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One connection of the application to its agent; it sends one request at a time."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self._port = record, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port, limit=2**24)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, data: bytes) -> float:
        if self.writer is None:
            await self.connect()
        assert self.writer is not None
        self.writer.write(data)
        await self.writer.drain()
        return self.record.now()

    async def receive(self, sent: float) -> Reply:
        """Read one answer to its end, however long that takes."""
        assert self.reader is not None
        status, body, close = 0, b"", False
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
            close = headers.get("connection", "").lower() == "close"
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while size := int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16):
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readuntil(b"\r\n")
            elif "content-length" in headers:
                body = await self.reader.readexactly(int(headers["content-length"]))
            else:
                body, close = await self.reader.read(-1), True
            status = int(head[0].split()[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            close = True
        if close:
            self.close()
        return Reply(status, body, sent, self.record.now(), close)

    async def call(self, identity: str, request_class: str, timeout_ms: int, limit_s: float) -> Reply:
        """Send a request and wait up to `limit_s` for its answer; the client then goes away."""
        sent = await self.send(request_bytes(identity, request_class, timeout_ms))
        self.record.note(f"client sent {identity} {request_class}, timeout {timeout_ms} ms")
        try:
            async with asyncio.timeout(limit_s):
                reply = await self.receive(sent)
        except TimeoutError:
            self.close()
            reply = Reply(0, b"", sent, self.record.now(), True)
        took = reply.ended - sent
        self.record.note(f"client got {reply.status or 'no whole answer'} for {identity} after {took:.3f} s")
        return reply


class Agent:
    """One agent, started with the deploy file's `run` in a temporary folder of its own."""

    def __init__(self, record: Record, folder: Path, discovery: Discovery) -> None:
        self.record, self.folder = record, folder
        self.port, self.control = free_port(), free_port()
        self.config = folder / "config.json"
        self.doc = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "control": f"127.0.0.1:{self.control}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
            "known": discovery.whole,
            "settings": settings(),
        }
        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> subprocess.Popen[bytes]:
        self.config.write_text(json.dumps(self.doc))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        env = {"PATH": os.environ["PATH"], "TMPDIR": str(temporary), "RELAY_CONFIG": str(self.config)}
        log = (self.folder / f"agent-{len(self.processes)}.log").open("wb")
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        self.record.note(f"agent started, process {process.pid}")
        return process

    async def ready(self, limit_s: float = 10.0) -> None:
        """Wait until GET /_health answers 200."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            client = Client(self.record, self.port)
            try:
                reply = await self._health(client)
            except OSError:
                reply = None
            client.close()
            if reply is not None and reply.status == 200:
                self.record.note("agent is ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRun("the agent is not ready")

    async def _health(self, client: Client) -> Reply:
        sent = await client.send(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
        return await client.receive(sent)

    def signal(self, number: signal.Signals) -> None:
        process = self.processes[-1]
        self.record.note(f"{number.name} to process {process.pid}")
        process.send_signal(number)

    def memory_mb(self) -> float:
        """The memory that the process has to itself, without files: 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.processes[-1].pid}/status").read_text()
        except OSError:
            return 0.0
        kilobytes = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(kilobytes[0]) / 1024 if kilobytes else 0.0

    def end(self) -> None:
        """End all processes of the agent."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def crashed(self) -> bool:
        return any(process.poll() is not None for process in self.processes)

    def copy_logs(self) -> None:
        """Append the agents' logs to the record."""
        for log in sorted(self.folder.glob("agent-*.log")):
            for line in log.read_text(errors="replace").splitlines()[-60:]:
                self.record.note(f"{log.stem} log: {line}")


def free_port() -> int:
    """A TCP port of 127.0.0.1 that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def discovery_of(record: Record, servers: list[MeterServer]) -> Discovery:
    """Discovery that lists these servers."""
    discovery = Discovery(record, servers)
    await discovery.start()
    return discovery


async def fleet(record: Record, count: int = 9, work_s: float = 0.05) -> list[MeterServer]:
    """Meter servers in three zones."""
    servers = [MeterServer(f"s-{i:08x}", ZONES[i % 3], record, work_s) for i in range(count)]
    for server in servers:
        await server.start()
    return servers


def play(
    case: Callable[[Record, Path, bool], Awaitable[int]], case_file: str, limit_s: float = 110.0
) -> None:
    """Run a case and exit with its verdict: 0 held, 1 broken, 2 could not run."""
    record = Record(Path(case_file).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(trouble)}")
    code = COULD_NOT_RUN

    async def limited(folder: Path) -> int:
        lag = asyncio.create_task(record.watch_own_lag())
        async with asyncio.timeout(limit_s):
            result = await case(record, folder, trouble)
        lag.cancel()
        record.note(f"stand-ins late by {record.late_s:.3f} s at most")
        if record.late_s > LATE_LIMIT_S:
            raise CannotRun(f"the stand-ins were late by {record.late_s:.3f} s")
        return result

    # An end from outside is taken like Ctrl-C, so that the processes of the case are ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(limited(Path(folder)))
        except (CannotRun, OSError, TimeoutError) as error:
            record.verdict(f"could not run: {type(error).__name__} {error}")
    record.note(f"exit {code}")
    sys.exit(code)
