"""Hot restart: the serving process hands its state and listening socket over to a new process beside it.

The serving process listens on a Unix socket. A new process connects to it, sends a greeting, and receives
one line of state together with the listening socket for clients. Connections in the socket's accept queue
are not lost when the serving process closes its own copy. The Unix connection is kept as a link, over which
each process passes on the commands of its admin interface.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
import struct
import time
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from .listener import SHORTAGE_RETRY_S
from .listing import Address
from .socket_errors import HANDOVER_SHORTAGE_ERRNOS, retrying

log = logging.getLogger(__name__)

VERSION = 1  # of the handover's protocol
HANDOVER_TIMEOUT_S = 2.0  # after that the new process starts without its predecessor's state
CONFIRM_TIMEOUT_S = 0.7  # a client of the admin interface waits 1 s for its reply
MAX_STATE_BYTES = 16 * 1024 * 1024
MAX_LINE_BYTES = 64 * 1024  # of a message on a link
MAX_GREETING_BYTES = 1024
RECEIVE_BYTES = 65536  # of one receive call
HANDOVER_RETRY_S = 0.02  # wait after a shortage of descriptors, buffers or memory
DEFAULT_TEMPORARY_FOLDER = "/tmp"  # without TMPDIR
MAX_SOCKET_PATH_BYTES = 107  # of a Unix socket's address
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid

Command = dict[str, str]  # an admin command as a message: `act`, and `backend` where it names one


class Unconfirmed(Exception):
    """The process beside this one has not confirmed in time that the command is in force there."""


class _HandoverError(Exception):
    """The process at the other end cannot hand over or take over; the text says why."""


@dataclass(slots=True)
class InheritedState:
    """The state inherited from the predecessor."""

    listener: socket.socket
    state: dict[str, Any]
    link: socket.socket
    excess: bytes  # received on the link after the line of state


def path_for(listen: Address) -> Path | None:
    """Path of the Unix socket of the process that serves this address; None without a temporary directory."""
    folder = Path(os.environ.get("TMPDIR") or DEFAULT_TEMPORARY_FOLDER)
    if not folder.is_dir():
        log.warning("no other process can take over: %s is no folder", folder)
        return None
    return folder / f"lilacsill-{listen.host}-{listen.port}.sock"


@contextlib.contextmanager
def _socket_address(path: Path) -> Iterator[str]:
    """The path, or a shorter name for it where it does not fit a Unix socket's address."""
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    folder_fd = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder_fd}/{path.name}"
    finally:
        os.close(folder_fd)


def _is_same_user(sock: socket.socket) -> bool:
    """Whether the process at the other end belongs to the same user."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    return int(CREDENTIALS.unpack(credentials)[1]) == os.getuid()


def take_over_state(path: Path) -> InheritedState | None:
    """Take over the state of the serving process; blocks for about HANDOVER_TIMEOUT_S at most.

    Returns None if no process has a socket at the path, and also, with a log line, if the handover fails.
    """
    deadline, had_shortage = time.monotonic() + HANDOVER_TIMEOUT_S, False
    while os.path.exists(path):  # also false if the path cannot be read
        try:
            return _inherit(path, deadline)
        except (OSError, ValueError, KeyError, TypeError, IndexError, _HandoverError) as error:
            # A temporary shortage is retried; the other process may still be undoing the failed handover.
            had_shortage = had_shortage or (
                isinstance(error, OSError) and error.errno in HANDOVER_SHORTAGE_ERRNOS
            )
            if not had_shortage or time.monotonic() >= deadline:
                log.warning("starts without the process at %s: %s", path, str(error) or type(error).__name__)
                return None
        time.sleep(HANDOVER_RETRY_S)
    return None


def _inherit(path: Path, deadline: float) -> InheritedState:
    """Make one attempt at the handover; raises the error that prevented it."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    fds: list[int] = []
    try:
        state, excess = _request_state(sock, path, fds, deadline)
        return InheritedState(socket.socket(fileno=fds.pop()), state, sock, excess)
    except BaseException:
        sock.close()
        raise
    finally:
        for fd in fds:
            os.close(fd)


def _request_state(
    sock: socket.socket, path: Path, received_fds: list[int], deadline: float
) -> tuple[dict[str, Any], bytes]:
    sock.settimeout(max(HANDOVER_RETRY_S, deadline - time.monotonic()))
    with _socket_address(path) as name:
        sock.connect(name)
    if not _is_same_user(sock):
        raise _HandoverError("it belongs to another user")
    sock.sendall(_encode_line({"lilacsill": VERSION}))
    data, new_fds, _flags, _address = socket.recv_fds(sock, RECEIVE_BYTES, 1)
    received_fds += new_fds
    received = bytearray(data)
    while data and b"\n" not in data:
        left_s = deadline - time.monotonic()
        if left_s <= 0 or len(received) > MAX_STATE_BYTES:
            raise _HandoverError("its state is too long or arrives too late")
        sock.settimeout(left_s)
        data = sock.recv(RECEIVE_BYTES)
        received += data
    line, end, excess = received.partition(b"\n")
    if not end:
        raise _HandoverError("it closed the connection")
    doc = json.loads(line)
    if doc["lilacsill"] != VERSION:
        raise _HandoverError(f"it speaks version {doc['lilacsill']!r}")
    if not received_fds:
        raise _HandoverError("it handed over no listening socket")
    state = doc["state"]
    if not isinstance(state, dict):
        raise _HandoverError("its state is not an object")
    return state, bytes(excess)


def _encode_line(doc: dict[str, Any]) -> bytes:
    return json.dumps(doc, separators=(",", ":")).encode() + b"\n"


async def _send_descriptor(sock: socket.socket, data: bytes, shared: socket.socket) -> int:
    """Send the socket `shared` with the data, retrying after a shortage; returns how many bytes were sent."""
    while True:
        try:
            return socket.send_fds(sock, [data], [shared.fileno()])
        except OSError as error:
            if error.errno not in HANDOVER_SHORTAGE_ERRNOS:
                raise
        await asyncio.sleep(HANDOVER_RETRY_S)


class ProcessLink(asyncio.Protocol):
    """A connection to the process before or after this one; carries commands, each of which is confirmed.

    successor: whether the process at the other end is the successor of this one, not its predecessor.
    """

    def __init__(self, hot_restart: HotRestart, successor: bool) -> None:
        self._hot_restart, self.successor = hot_restart, successor
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []  # written once the connection is up
        self._buffer = bytearray()
        self._sent = 0
        self._unconfirmed: dict[int, asyncio.Future[None]] = {}

    @property
    def is_up(self) -> bool:
        """Whether the whole state has been handed over."""
        return self._transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        unsent, self._unsent = self._unsent, []
        for line in unsent:
            transport.write(line)

    def connection_lost(self, exc: Exception | None) -> None:
        # A process that has ended sends no more requests, so commands sent to it count as in force.
        for confirmation in self._unconfirmed.values():
            if not confirmation.done():
                confirmation.set_result(None)
        self._hot_restart.on_link_lost(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        try:
            if len(rest) > MAX_LINE_BYTES:
                raise ValueError("line too long")
            for line in lines:
                self._handle_message(json.loads(line))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.error("invalid message from the process beside this one: %s", error)
            self.close()

    def _handle_message(self, doc: dict[str, Any]) -> None:
        if "done" in doc:
            confirmation = self._unconfirmed.pop(int(doc["done"]), None)
            if confirmation is not None and not confirmation.done():
                confirmation.set_result(None)
            return
        number, command = int(doc["n"]), {str(k): str(v) for k, v in doc["act"].items()}
        self._hot_restart.on_command(self, number, command)

    def confirm(self, number: int) -> None:
        """Confirm to the other process that its command of this number is in force here."""
        self._write({"done": number})

    def send_command(self, command: Command) -> asyncio.Future[None]:
        """Send a command; the future is done once the other process has confirmed it or has ended."""
        self._sent += 1
        confirmation = self._unconfirmed[self._sent] = asyncio.get_running_loop().create_future()
        self._write({"n": self._sent, "act": command})
        return confirmation

    def _write(self, doc: dict[str, Any]) -> None:
        if self._transport is None:
            self._unsent.append(_encode_line(doc))
        else:
            self._transport.write(_encode_line(doc))

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class RestartOwner(Protocol):
    """Owns the state that is handed over, and carries out the commands of the other process."""

    def listener(self) -> socket.socket:
        """The listening socket for clients; ValueError if the process does not listen."""

    def state(self) -> dict[str, Any]:
        """The state for the successor, as a JSON object."""

    def apply(self, command: Command) -> None:
        """Carry out a command of the other process; an unknown backend is logged and raises nothing."""

    def set_process_count(self, processes: int) -> None:
        """Set how many processes form the agent now and share its limits."""


class HotRestart:
    """Links this process with its predecessor and its successor; the processes together form one agent."""

    def __init__(self, path: Path, owner: RestartOwner) -> None:
        self._path, self._owner = path, owner
        self._socket: socket.socket | None = None
        self._inode = 0
        self._serving: asyncio.Task[None] | None = None
        self._links: list[ProcessLink] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_successor(self) -> bool:
        """Whether another process has received the whole state."""
        return any(link.successor and link.is_up for link in self._links)

    async def keep_link(self, inherited: InheritedState) -> None:
        """Keep the link to the predecessor."""
        link = ProcessLink(self, successor=False)
        self._add_link(link)
        inherited.link.setblocking(False)
        await asyncio.get_running_loop().create_unix_connection(lambda: link, sock=inherited.link)
        link.data_received(inherited.excess)

    def open(self) -> None:
        """Listen for the next process, replacing whatever is at the path; a failure is logged, not raised."""
        self.close()
        # Created under another name and renamed, so that the path exists at every moment.
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        new = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            new.unlink(missing_ok=True)
            with _socket_address(new) as name:
                sock.bind(name)
            new.chmod(0o600)
            sock.listen(1)
            sock.setblocking(False)
            self._inode = new.stat().st_ino
            new.replace(self._path)
        except OSError as error:
            log.warning("no other process can take over: %s", error)
            sock.close()
            return
        self._socket = sock
        self._serving = asyncio.get_running_loop().create_task(self._serve(sock))

    def close(self) -> None:
        """Stop listening for the next process; removes the path unless another process has replaced it."""
        if self._serving is not None:
            self._serving.cancel()
            self._serving = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            with contextlib.suppress(OSError):
                if self._path.stat().st_ino == self._inode:
                    self._path.unlink()

    async def broadcast(self, command: Command, origin: ProcessLink | None = None) -> None:
        """Send the command to each linked process but `origin`; Unconfirmed after CONFIRM_TIMEOUT_S."""
        confirmations = [link.send_command(command) for link in self._links if link is not origin]
        if confirmations:
            _, unconfirmed = await asyncio.wait(confirmations, timeout=CONFIRM_TIMEOUT_S)
            if unconfirmed:
                raise Unconfirmed

    def on_command(self, link: ProcessLink, number: int, command: Command) -> None:
        """Carry out a command of a linked process, pass it on to the others, and confirm it."""
        self._owner.apply(command)
        self._start_task(self._broadcast_and_confirm(link, number, command))

    async def _broadcast_and_confirm(self, link: ProcessLink, number: int, command: Command) -> None:
        with contextlib.suppress(Unconfirmed):  # then the command is not confirmed to its sender either
            await self.broadcast(command, origin=link)
            link.confirm(number)

    def on_link_lost(self, link: ProcessLink) -> None:
        """Forget a process that has ended; if it was the successor, listen for the next one again."""
        self._remove_link(link)
        if link.successor and self._socket is not None:
            log.info("the process that took over has ended")
            self.open()  # that process had replaced the socket at the path

    def _remove_link(self, link: ProcessLink) -> None:
        if link in self._links:
            self._links.remove(link)
            self._owner.set_process_count(1 + len(self._links))

    def _add_link(self, link: ProcessLink) -> None:
        self._links.append(link)
        self._owner.set_process_count(1 + len(self._links))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _address = await loop.sock_accept(listener)
            except OSError as error:  # of this connection, or a shortage: later ones must still be accepted
                log.warning("cannot accept another process for now: %s", error.strerror)
                await asyncio.sleep(SHORTAGE_RETRY_S)
                continue
            sock = retrying(accepted)
            try:
                async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                    await self._hand_over(sock)
            except (OSError, ValueError, KeyError, TypeError, _HandoverError) as error:
                log.warning("nothing handed over: %s", str(error) or type(error).__name__)
                sock.close()

    async def _hand_over(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        if not _is_same_user(sock):
            raise _HandoverError("the new process belongs to another user")
        greeting = bytearray()
        while not greeting.endswith(b"\n"):
            data = await loop.sock_recv(sock, MAX_GREETING_BYTES)
            greeting += data
            if not data or len(greeting) > MAX_GREETING_BYTES:
                raise _HandoverError("no greeting")
        their_version = json.loads(greeting)["lilacsill"]
        if their_version != VERSION:
            await loop.sock_sendall(sock, _encode_line({"lilacsill": VERSION}))
            raise _HandoverError(f"the new process speaks version {their_version!r}")
        # Admin commands are sent over the link from here on, after the state.
        link = ProcessLink(self, successor=True)
        state = _encode_line({"lilacsill": VERSION, "state": self._owner.state()})
        self._add_link(link)
        try:
            sent = await _send_descriptor(sock, state[:1], self._owner.listener())
            await loop.sock_sendall(sock, state[sent:])
            await loop.create_unix_connection(lambda: link, sock=sock)
        except BaseException:
            # Nothing was taken over, and the path is left as it is: it still belongs to this process, or to
            # the new one if that has started without the state.
            self._remove_link(link)
            sock.close()
            raise
        self._owner.set_process_count(1 + len(self._links))
        log.info("handed over to another process")
