"""Creates listening sockets and accepts from them, both with retries after transient errors."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum, auto

from .listing import Address
from .socket_errors import LISTEN_SHORTAGE_ERRNOS, ResourceExhaustedError, accept

log = logging.getLogger(__name__)

ACCEPTS_PER_TURN = 32  # in one turn of the event loop
SHORTAGE_RETRY_S = 0.1  # until the next try when descriptors or memory are short
LISTEN_TIMEOUT_S, LISTEN_RETRY_S = 5.0, 0.1  # the start fails after the timeout


async def listening(address: Address, backlog: int, shared: bool = False) -> socket.socket:
    """Create a listening socket, with retries for LISTEN_TIMEOUT_S. With `shared`, another process can listen
    on the same address. Raises OSError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + LISTEN_TIMEOUT_S
    while True:
        try:
            return socket.create_server((address.host, address.port), backlog=backlog, reuse_port=shared)
        except OSError as error:
            if error.errno not in LISTEN_SHORTAGE_ERRNOS or loop.time() >= deadline:
                raise
            # If all retries fail, the caller reports the error in one line.
            log.debug("cannot listen on %s:%d yet: %s", address.host, address.port, error.strerror)
        await asyncio.sleep(LISTEN_RETRY_S)


class AcceptResult(Enum):
    """Whether connections are left waiting after a round of accepts."""

    ALL_ACCEPTED = auto()
    MORE_MAY_WAIT = auto()
    NOT_ADMITTED = auto()


def accept_waiting(
    listener: socket.socket,
    admit: Callable[[socket.socket], None],
    limit: int = ACCEPTS_PER_TURN,
    may_admit: Callable[[], bool] = lambda: True,
) -> AcceptResult:
    """Accept up to `limit` waiting connections as long as `may_admit` allows another, and pass each to
    `admit`. Raises ResourceExhaustedError."""
    for _ in range(limit):
        if not may_admit():
            return AcceptResult.NOT_ADMITTED
        try:
            sock = accept(listener)
        except BlockingIOError:
            return AcceptResult.ALL_ACCEPTED
        except ConnectionAbortedError:
            continue
        admit(sock)
    return AcceptResult.MORE_MAY_WAIT


class Acceptor:
    """Accepts every connection to a listening socket, with a new protocol object for each."""

    def __init__(self, listener: socket.socket, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self._listener, self._protocol = listener, protocol
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[object]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None  # set while accepting is paused
        listener.setblocking(False)
        self._start()

    def close(self) -> None:
        """Stop accepting and close the listening socket."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)
            self._listener.close()

    def _start(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        try:
            accept_waiting(self._listener, self._admit)
        except ResourceExhaustedError as error:
            log.warning("cannot accept for now: %s", error.strerror)
            self._loop.remove_reader(self._listener)
            self._retry_timer = self._loop.call_later(SHORTAGE_RETRY_S, self._start)

    def _admit(self, sock: socket.socket) -> None:
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(self._protocol, sock)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
