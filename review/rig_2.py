"""Stand-ins and a platform for the cases 6 to 10: an agent started by the deploy file's `run`, and around it
meter servers, discovery and clients that follow the operators' pages. Standard library and loopback only."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_S = 30.0  # an agent that takes longer has not started
CONNECT_S = 10.0  # a client that gets no connection within this sends nothing
ANSWER_SLACK_S = 0.05  # every time limit on sockets is longer by this
EARNS_NOTHING_S = 0.5  # an answer up to this late earns nothing; a later one is lost
DRAIN_GRACE_S = 1.0
BROKEN_STATUS = 10  # Python itself exits with 1 on an error of the script
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

CLASSES: dict[str, tuple[str, int, int]] = {  # name: effect, aim and deadline in ms
    "reading-view": ("retryable", 1500, 3000),
    "bill-estimate": ("retryable", 2500, 6000),
    "reconnect-order": ("fragile", 800, 1500),
    "credit-topup": ("dedup", 500, 2500),
}


class CouldNotRunError(Exception):
    """The case could not be played: exit status 2."""


class Record:
    """What was sent, answered and run, with times in seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f}  {text}\n")
        self._file.flush()


def settings(siblings: int = 1, **allowed: Any) -> dict[str, Any]:
    """Settings in the form of the wire page, with the figures of a small deployment."""
    return {
        "allowed": {
            "cancel": True,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 250_000,
            "maxAttempts": 6,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 2_000_000,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
            **allowed,
        },
        "profiles": [
            {
                "name": name,
                "aimUs": aim_ms * 1000,
                "deadlineUs": deadline_ms * 1000,
                "repeat": effect,
                "dedupScope": "zone" if effect == "dedup" else "all",
                "memorySpanUs": 12_000_000,
                "lateWorth": 0.25,
                "value": 1.0,
            }
            for name, (effect, aim_ms, deadline_ms) in CLASSES.items()
        ],
        "report": {"columns": ["util", "inflight"], "source": "inline"},
        "rules": {
            "drainGraceUs": int(DRAIN_GRACE_S * 1e6),
            "fallMultiple": 2.5,
            "graceToAnswerUs": 20_000,
            "startCapacity": 0.13,
            "tipAfterUs": 1_500_000,
            "warmUpUs": 23_000_000,
        },
        "prices": {"crossZone": 0.03, "lateFail": 0.05, "peer": 0.01, "probe": 0.007, "waste": 0.04},
        "localities": ["a", "b", "c"],
        "skus": ["m1", "m2"],
        "siblings": siblings,
        "me": 0,
        "quantumUs": 5000,
        "registryMode": "push",
        "tenants": [],
        "weightKind": "off",
        "zone": 0,
    }


# HTTP/1.1 on asyncio's streams, as much of it as the stand-ins need


@dataclass
class Message:
    """A request or an answer: its first line, its headers by lower-case name, its body."""

    line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """The head of a message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (f.partition(":") for f in fields)
    return Message(line, {name.lower(): value.strip() for name, _, value in pairs})


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return bytes(body)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """A whole message with a length or in chunks; None if the connection ends before its end."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            message.body = await read_chunks(reader)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def answer_bytes(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """A stand-in that listens on a free loopback port and serves each connection by `serve`."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._accepted, HOST, port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


@dataclass
class Run:
    """A request that a meter server has got to its last byte."""

    server: str
    request_id: str
    at: float  # monotonic time of its last byte


class MeterServer(Listener):
    """A meter server: works on a request for `work_s` and answers 200 with its name and the request's id."""

    def __init__(self, name: str, record: Record, work_s: float = 0.02, zone: str = "a") -> None:
        super().__init__()
        self.name, self.record, self.work_s, self.zone = name, record, work_s, zone
        self.runs: list[Run] = []
        self.in_flight = 0
        self.phase = "SERVING"
        self.up_since_ms = 0

    def member(self, phase: str | None = None) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "m1",
            "cell": 1,
            "phase": phase or self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            if request.line.split()[1] in ("/_load", "/ping"):
                load = f"util=0.2,inflight={self.in_flight}"
                writer.write(answer_bytes(200, load.encode(), {"Server-Load": load}))
                continue
            await self.run(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("request-id", "?")
        self.runs.append(Run(self.name, request_id, time.monotonic()))
        self.record.note(f"server {self.name} runs {request_id}")
        self.in_flight += 1
        try:
            await self.answer(request, writer)
        finally:
            self.in_flight -= 1

    def body_for(self, request_id: str) -> bytes:
        return f"{self.name} served {request_id}\n".encode()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_s)
        load = {"Server-Load": f"util=0.2,inflight={self.in_flight}"}
        writer.write(answer_bytes(200, self.body_for(request.headers.get("request-id", "?")), load))
        await writer.drain()


class Discovery(Listener):
    """Discovery: the whole list, and watches that are held until the list changes or their wait is over.

    answer_delay_s: by how much each answer is written later than it is due.
    """

    def __init__(self, record: Record, servers: list[MeterServer], answer_delay_s: float = 0.0) -> None:
        super().__init__()
        self.record, self.servers, self.answer_delay_s = record, servers, answer_delay_s
        self.revision = 100
        self.last_watch_at = 0.0  # monotonic time at which a watch was last called for
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def change(self, servers: list[MeterServer], phase: str) -> float:
        """Change some servers' phase; returns the time from which discovery has the change."""
        self.revision += 1
        for server in servers:
            server.phase = phase
            self._changes.append((self.revision, server.member()))
            self.record.note(f"discovery has revision {self.revision}: {server.name} is {phase}")
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    def document(self, index: int | None) -> dict[str, Any]:
        if index is None:
            members = [s.member() for s in self.servers if s.phase != "DELETED"]
        else:
            members = [member for revision, member in self._changes if revision > index]
        return {"revision": self.revision, "complete": index is None, "members": members}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            query = dict(q.split("=", 1) for q in request.line.split()[1].partition("?")[2].split("&") if q)
            index = int(query["index"]) if "index" in query else None
            self.record.note(f"discovery is asked {request.line.split()[1]}")
            if index == self.revision:
                self.last_watch_at = time.monotonic()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait(), min(60.0, int(query.get("wait", "0")) / 1000)
                    )
            await asyncio.sleep(self.answer_delay_s)
            document = self.document(index)
            writer.write(answer_bytes(200, json.dumps(document).encode()))
            await writer.drain()
            self.record.note(
                f"discovery answers index={index}: revision {document['revision']}, "
                f"{len(document['members'])} entries"
            )


# Clients


@dataclass
class Asked:
    """A request of a client, and how it ended."""

    request_id: str
    class_name: str
    timeout_s: float
    sent_at: float = 0.0  # monotonic time of its last byte; 0: not sent whole
    ended_at: float = 0.0
    status: int = 0  # 0: none
    body: bytes = b""
    end: str = ""  # how it ended without a status

    def late_s(self) -> float:
        """By how much its answer came after its time."""
        return self.ended_at - self.sent_at - self.timeout_s


_request_ids = itertools.count(1)


def request_bytes(asked: Asked, body: bytes = b"") -> bytes:
    effect = CLASSES[asked.class_name][0]
    fields = [
        f"{'GET' if effect == 'retryable' else 'POST'} /api?obj=7f3a HTTP/1.1",
        "Host: origin.svc",
        f"Request-Id: {asked.request_id}",
        f"Request-Class: {asked.class_name}",
        f"Request-Timeout-Ms: {int(asked.timeout_s * 1000)}",
    ]
    if effect == "dedup":
        fields.append(f"Idempotency-Key: key-{asked.request_id}")
    if effect != "retryable" or body:
        fields.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*fields, "", ""]).encode() + body


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """How much of what was sent the other machine has not acknowledged: nothing of an accepted request."""
    sock = writer.get_extra_info("socket")
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))[0])


class Client:
    """An application's connections to its agent: one request at a time on each, more are opened when all are
    busy. A request that crosses the agent's close, unread, is sent one more time on a new connection."""

    def __init__(self, address: str, record: Record) -> None:
        self._host, port = address.split(":")
        self._port = int(port)
        self.record = record
        self._free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.asked: list[Asked] = []

    async def ask(
        self, class_name: str, timeout_s: float, body: bytes = b"", patience_s: float = 8.0
    ) -> Asked:
        """Send a request, and wait for its answer for its time and `patience_s` more."""
        asked = Asked(f"{next(_request_ids):08x}", class_name, timeout_s)
        self.asked.append(asked)
        for again in (False, True):
            reused = bool(self._free) and not again
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = (
                        self._free.pop() if reused else await asyncio.open_connection(self._host, self._port)
                    )
            except OSError as error:
                asked.end, asked.ended_at = f"no connection: {error}", time.monotonic()
                break
            message, asked.end = await self._exchange(asked, body, reader, writer, patience_s)
            asked.ended_at = time.monotonic()
            if message is not None:
                asked.status, asked.body, asked.end = message.status, message.body, ""
                if "close" in message.headers.get("connection", ""):
                    writer.close()
                else:
                    self._free.append((reader, writer))
                break
            writer.close()
            if not (reused and asked.end == "closed"):
                break
        self.record.note(
            f"client: {asked.request_id} {class_name} sent, {asked.status or asked.end} after "
            f"{asked.ended_at - asked.sent_at:.3f} s of {timeout_s:.3f} s"
        )
        return asked

    async def _exchange(
        self,
        asked: Asked,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        patience_s: float,
    ) -> tuple[Message | None, str]:
        try:
            writer.write(request_bytes(asked, body))
            await writer.drain()
            asked.sent_at = time.monotonic()
            async with asyncio.timeout(asked.timeout_s + patience_s):
                message = await read_message(reader)
            return message, "closed"
        except TimeoutError:
            if unacknowledged_bytes(writer):
                asked.sent_at = 0.0
                return None, "not accepted by the agent's machine"
            return None, "no answer"
        except OSError as error:
            return None, f"closed: {error}"

    async def close(self) -> None:
        for _, writer in self._free:
            writer.close()


# The platform


def deploy_command(name: str) -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@dataclass
class Agent:
    """An agent: its configuration and its process, started by `run` of the deploy file."""

    record: Record
    folder: Path
    config: dict[str, Any]
    name: str = "n1"
    process: subprocess.Popen[bytes] | None = None
    environment: dict[str, str] = field(default_factory=dict)

    @property
    def address(self) -> str:
        return str(self.config["listen"])

    @property
    def config_path(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def log_path(self) -> Path:
        return self.folder / f"{self.name}.log"

    def write_config(self) -> None:
        """Write its file anew, whole at every moment."""
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config))
        new_path.replace(self.config_path)

    def start(self) -> None:
        self.write_config()
        tmpdir = self.folder / f"tmp-{self.name}"
        tmpdir.mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(tmpdir),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.address,
            "RELAY_DISCOVERY": str(self.config["discovery"]),
            "RELAY_CONFIG": str(self.config_path),
            **self.environment,
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"platform: starts {self.name}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.record.note(f"platform: {number.name} to {self.name}")

    def exit_status(self) -> int | None:
        assert self.process is not None
        return self.process.poll()

    def memory_bytes(self) -> int:
        """The memory that it alone takes, without files and what it shares; 0 once it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def ready(self) -> None:
        """Wait until its health check says yes. Raises CouldNotRunError."""
        deadline = time.monotonic() + READY_S
        host, port = self.address.split(":")
        while time.monotonic() < deadline:
            if self.exit_status() is not None:
                raise CouldNotRunError(f"{self.name} ended at its start, status {self.exit_status()}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and message.status == 200:
                    self.record.note(f"platform: {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready after {READY_S:.0f} s")

    def end(self) -> None:
        """End the process, if it has not ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def agent_config(discovery: str, known: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """A configuration in the form of the deployment page."""
    return {
        "name": "n1",
        "listen": f"{HOST}:{free_port()}",
        "discovery": discovery,
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings(),
        **changes,
    }


async def send_steadily(
    per_s: float, length_s: float, ask: Callable[[int], Coroutine[Any, Any, Asked]]
) -> list[Asked]:
    """Requests at even times, each on its own, whatever becomes of those before it."""
    tasks, started = [], time.monotonic()
    for number in range(int(per_s * length_s)):
        await asyncio.sleep(max(0.0, started + number / per_s - time.monotonic()))
        tasks.append(asyncio.create_task(ask(number)))
    return list(await asyncio.gather(*tasks))


def lost_requests(asked: list[Asked]) -> list[Asked]:
    """Requests sent whole that got no answer, or got it later than half a second after their time."""
    bound_s = EARNS_NOTHING_S + ANSWER_SLACK_S
    return [a for a in asked if a.sent_at and (not a.status or a.late_s() > bound_s)]


@dataclass
class Memory:
    """What the platform has seen of an agent's memory."""

    peak_bytes: int = 0
    killed: bool = False  # it was over its limit


class Stage:
    """One play of a case: its record, its temporary folder, and all that it has started."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.agents: list[Agent] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        self._listeners: list[Listener] = []

    async def open(self, *listeners: Listener) -> None:
        """Let stand-ins listen."""
        for listener in listeners:
            await listener.listen()
            self._listeners.append(listener)

    async def start_agent(self, config: dict[str, Any], name: str = "n1", ready: bool = True) -> Agent:
        """Start an agent, and wait until it is ready."""
        agent = Agent(self.record, self.folder, {**config, "name": name}, name)
        self.agents.append(agent)
        agent.start()
        if ready:
            await agent.ready()
        return agent

    def start_process(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a stand-in of this folder as a process of its own."""
        process = subprocess.Popen([sys.executable, *arguments], stdin=subprocess.DEVNULL)
        self._processes.append(process)
        return process

    async def limit_memory(self, agent: Agent, memory: Memory) -> None:
        """Kill the agent once it takes more than its `memory_mb`, as the platform does."""
        limit_bytes, noted_s = agent.config["limits"]["memory_mb"] * 1024 * 1024, 0.0
        while agent.exit_status() is None:
            taken = agent.memory_bytes()
            memory.peak_bytes = max(memory.peak_bytes, taken)
            if time.monotonic() > noted_s + 1.0:
                noted_s = time.monotonic()
                self.record.note(f"platform: {agent.name} takes {taken / 2**20:.1f} MB")
            if taken > limit_bytes:
                memory.killed = True
                self.record.note(f"platform: {agent.name} takes {taken / 2**20:.1f} MB and is killed")
                agent.end()
                return
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """End all that was started."""
        for agent in self.agents:
            agent.end()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for listener in self._listeners:
            await listener.close()


def play(case_file: str, case: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Run a case: `case` returns what broke the rule. Exits with BROKEN_STATUS if anything did, 0 if not, and
    otherwise if it could not be played; run.sh makes 1, 0 and 2 of that."""
    signal.signal(signal.SIGTERM, _end_on_signal)
    record = Record(Path(case_file).resolve().parent / "record.txt")
    record.note(f"the case begins, TROUBLE={int(TROUBLE)}")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        broken = asyncio.run(_staged(Stage(record, folder), case))
    except Exception as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record.note(f"BROKEN: {line}")
    record.note("the rule was broken" if broken else "the rule held")
    print("\n".join([*broken[:5], f"{'broken' if broken else 'held'} (TROUBLE={int(TROUBLE)})"]))
    sys.exit(BROKEN_STATUS if broken else 0)


def _end_on_signal(number: int, _frame: object) -> None:
    """Leave the event loop, which ends all that was started on its way out."""
    sys.unraisablehook = lambda _: None  # of streams that are still open as the loop is closed
    sys.exit(f"ended by {signal.Signals(number).name}")


async def _staged(stage: Stage, case: Callable[[Stage], Awaitable[list[str]]]) -> list[str]:
    try:
        async with asyncio.timeout(110):
            return await case(stage)
    finally:
        await stage.close()
