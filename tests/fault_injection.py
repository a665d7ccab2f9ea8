"""System calls that fail as a test says, for the agent in this process or in one of its own.

In the process, around everything that makes sockets or event loops:

    with injected() as faults:
        asyncio.run(run(faults))

and in `run`, at the moment that matters:

    fault = faults.fail("accept", errno.ENFILE, port=w.port, times=None)  # each one, until released
    await fault.reached(2)  # it has been met twice
    fault.release()

    faults.fail("send", errno.ENOBUFS, side=Side.CONNECTED, port=backend.port)  # the next one only
    faults.short("recv", 1, side=Side.ACCEPTED, port=w.port, times=None)  # a byte at a time

Of several faults for one call, those given first are met first. A socket is told from the test's own by its
side and its port: that of its listener where it was accepted, that it connects to where it connects. One that
has just been made has neither, so that faults of "socket" meet whoever comes next.

A process of its own gets the faults in its environment, see `in_environment`, and is started by
`python -m tests.fault_injection` in place of `python -m burlshift.agent`. There the test has no object to
release: a fault may be bound to a file, and is met only while that exists. Each fault that is met is a line
on stderr.

An error is raised in place of the call, but for EINTR and EINPROGRESS of connect, after which the kernel goes
on connecting. A transfer that is cut short is real, as far as it goes. Python itself calls again after EINTR
(PEP 475); it is raised here all the same, as the harder case.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import select
import selectors
import socket
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any
from weakref import WeakValueDictionary

ENVIRONMENT = "TEST_FAULTS"
CALLS = frozenset(
    {
        "socket",
        "bind",
        "listen",
        "accept",
        "connect",
        "recv",
        "send",
        "recvfrom",
        "sendto",
        "shutdown",
        "setsockopt",
        "getsockopt",
        "getsockname",
        "getpeername",
        "so_error",  # what a connect under way ends with
        "poll",  # of a select.poll object
        "epoll_ctl",  # a descriptor added to the event loop's selector, or changed there
        "epoll_wait",
    }
)
# The kernel connects on, and the caller is to wait for it.
CONNECT_GOES_ON = (errno.EINTR, errno.EINPROGRESS)


class Side(StrEnum):
    """How a socket came to be what it is."""

    NEW = "new"
    LISTENING = "listening"
    ACCEPTED = "accepted"
    CONNECTED = "connected"  # by its own connect, also while that is under way


@dataclass
class Fault:
    """What one call meets, on which sockets, and how often."""

    call: str
    error: int = 0  # 0: a short transfer
    size: int = 0  # bytes of a transfer, at most
    side: Side | None = None  # None: any
    port: int | None = None
    times: int | None = 1  # None: until released
    skip: int = 0  # so many that match go well before
    while_exists: str | None = None  # a file
    hits: int = 0

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"no such call: {self.call}")

    def release(self) -> None:
        """No call meets it any more."""
        self.times = self.hits

    @property
    def spent(self) -> bool:
        return self.times is not None and self.hits >= self.times

    async def reached(self, hits: int = 1) -> None:
        """Wait until it has been met so often."""
        while self.hits < hits:
            await asyncio.sleep(0.001)

    def meets(self, call: str, sock: FaultySocket | None) -> bool:
        """Whether this call meets it; counts it if so."""
        if self.call != call or self.spent or not self._concerns(sock):
            return False
        if self.while_exists is not None and not os.path.exists(self.while_exists):
            return False
        if self.skip:
            self.skip -= 1
            return False
        self.hits += 1
        return True

    def _concerns(self, sock: FaultySocket | None) -> bool:
        if sock is None:
            return self.side is None and self.port is None
        return self.side in (None, sock.side) and self.port in (None, sock.port)


class Faults:
    """The script: what is still to be met, in order."""

    def __init__(self, tell: bool = False) -> None:
        self._script: list[Fault] = []
        self._tell = tell  # a line on stderr for each fault that is met

    def add(self, fault: Fault) -> Fault:
        self._script.append(fault)
        return fault

    def fail(self, call: str, error: int, **which: Any) -> Fault:
        """The call fails with this errno. `which`: the further fields of Fault."""
        return self.add(Fault(call, error, **which))

    def short(self, call: str, size: int, **which: Any) -> Fault:
        """A "recv" or "send" moves so many bytes at most."""
        return self.add(Fault(call, size=size, **which))

    def release(self) -> None:
        """All calls go well from now on."""
        self._script.clear()

    def met(self, call: str, sock: FaultySocket | None = None) -> Fault | None:
        """The fault that this call meets, if any."""
        for fault in self._script:
            if fault.meets(call, sock):
                if self._tell:
                    name = errno.errorcode.get(fault.error, "short")
                    print(f"FAULT {call} {name} {fault.hits}", file=sys.stderr, flush=True)
                return fault
        return None

    def check(self, call: str, sock: FaultySocket | None = None) -> int | None:
        """Raise what this call meets, or return how many bytes it may move; None: any number."""
        fault = self.met(call, sock)
        if fault is None:
            return None
        if fault.error:
            raise OSError(fault.error, os.strerror(fault.error))
        return fault.size


_faults: Faults | None = None  # those in force
_sockets: WeakValueDictionary[int, FaultySocket] = WeakValueDictionary()  # by their descriptors


def _check(call: str, sock: FaultySocket | None = None) -> int | None:
    return None if _faults is None else _faults.check(call, sock)


class FaultySocket(socket.socket):
    """A real socket whose calls meet the faults in force."""

    side = Side.NEW
    port: int | None = None

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            _check("socket")
        super().__init__(family, type, proto, fileno)
        _sockets[self.fileno()] = self
        if fileno is not None and super().getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self._listens()

    def _listens(self) -> None:
        self.side = Side.LISTENING
        address = super().getsockname()
        self.port = address[1] if isinstance(address, tuple) else None

    def bind(self, address: Any, /) -> None:
        _check("bind", self)
        super().bind(address)

    def listen(self, *backlog: int) -> None:
        _check("listen", self)
        super().listen(*backlog)
        self._listens()

    def accept(self) -> tuple[socket.socket, Any]:
        _check("accept", self)
        accepted, address = super().accept()
        if isinstance(accepted, FaultySocket):
            accepted.side, accepted.port = Side.ACCEPTED, self.port
        return accepted, address

    def connect(self, address: Any, /) -> None:
        self.side = Side.CONNECTED
        self.port = address[1] if isinstance(address, tuple) else None
        try:
            _check("connect", self)
        except OSError as e:
            if e.errno in CONNECT_GOES_ON:
                super().connect_ex(address)
            raise
        super().connect(address)

    def recv(self, bufsize: int, *flags: int) -> bytes:
        size = _check("recv", self)
        return super().recv(bufsize if size is None else min(size, bufsize), *flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        size = _check("recv", self)
        most = nbytes or len(buffer)
        return super().recv_into(buffer, most if size is None else min(size, most), flags)

    def recvmsg(self, *args: Any) -> Any:
        _check("recv", self)
        return super().recvmsg(*args)

    def recvfrom(self, *args: Any) -> Any:
        _check("recvfrom", self)
        return super().recvfrom(*args)

    def send(self, data: Any, *flags: int) -> int:
        size = _check("send", self)
        return super().send(data if size is None else memoryview(data)[:size], *flags)

    def sendall(self, data: Any, *flags: int) -> None:
        _check("send", self)
        super().sendall(data, *flags)

    def sendmsg(self, *args: Any) -> int:
        _check("send", self)
        return super().sendmsg(*args)

    def sendto(self, *args: Any) -> int:
        _check("sendto", self)
        return super().sendto(*args)

    def shutdown(self, how: int, /) -> None:
        _check("shutdown", self)
        super().shutdown(how)

    def setsockopt(self, *args: Any) -> None:
        _check("setsockopt", self)
        super().setsockopt(*args)

    def getsockopt(self, *args: Any) -> Any:
        _check("getsockopt", self)
        if args[:2] == (socket.SOL_SOCKET, socket.SO_ERROR) and _faults is not None:
            fault = _faults.met("so_error", self)
            if fault is not None:
                return fault.error
        return super().getsockopt(*args)

    def getsockname(self) -> Any:
        _check("getsockname", self)
        return super().getsockname()

    def getpeername(self) -> Any:
        _check("getpeername", self)
        return super().getpeername()


class _FaultyPoll:
    """A select.poll object."""

    def __init__(self) -> None:
        self._poll = _poll()
        self._last: int | None = None

    def register(self, fd: Any, *events: int) -> None:
        self._last = fd if isinstance(fd, int) else fd.fileno()
        self._poll.register(fd, *events)

    def unregister(self, fd: Any) -> None:
        self._poll.unregister(fd)

    def poll(self, *timeout: float | None) -> list[tuple[int, int]]:
        _check("poll", None if self._last is None else _sockets.get(self._last))
        return self._poll.poll(*timeout)


class _FaultyEpoll:
    """What the event loop's selector waits on."""

    def __init__(self) -> None:
        self._epoll = _epoll()

    def register(self, fd: int, *events: int) -> None:
        _check("epoll_ctl", _sockets.get(fd))
        self._epoll.register(fd, *events)

    def modify(self, fd: int, events: int) -> None:
        _check("epoll_ctl", _sockets.get(fd))
        self._epoll.modify(fd, events)

    def unregister(self, fd: int) -> None:
        self._epoll.unregister(fd)

    def poll(self, *args: Any) -> list[tuple[int, int]]:
        _check("epoll_wait")
        return self._epoll.poll(*args)

    def fileno(self) -> int:
        return self._epoll.fileno()

    def close(self) -> None:
        self._epoll.close()


_poll, _epoll = select.poll, select.epoll


@contextmanager
def injected(faults: Faults | None = None) -> Iterator[Faults]:
    """Sockets and event loops that are made in here meet these faults."""
    global _faults
    assert _faults is None, "not one in another"
    before, selector = socket.socket, vars(selectors)["EpollSelector"]
    _faults = faults or Faults()
    try:
        vars(socket)["socket"], vars(select)["poll"] = FaultySocket, _FaultyPoll
        vars(select)["epoll"] = selector._selector_cls = _FaultyEpoll
        yield _faults
    finally:
        vars(socket)["socket"], vars(select)["poll"] = before, _poll
        vars(select)["epoll"] = selector._selector_cls = _epoll
        _faults = None


# A process of its own


def in_environment(*faults: Fault) -> dict[str, str]:
    """What to add to the environment of an agent that is to meet them."""
    root = str(Path(__file__).resolve().parents[1])
    return {ENVIRONMENT: json.dumps([asdict(f) for f in faults]), "PYTHONPATH": root}


def main() -> int:
    """Run the agent under the faults that its environment names."""
    from burlshift.agent.__main__ import main as run_agent

    script = Faults(tell=True)
    for fields in json.loads(os.environ[ENVIRONMENT]):
        script.add(Fault(**{**fields, "side": fields["side"] and Side(fields["side"])}))
    with injected(script):
        return run_agent()


if __name__ == "__main__":
    # Under its own name, or the faults in force would be those of another copy of this module.
    from tests.fault_injection import main as run

    sys.exit(run())
