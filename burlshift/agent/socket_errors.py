"""Transient errors of socket calls: which errnos they are, and how each is handled.

The manual pages of Linux name two kinds of such errors. A lack of memory, buffers, descriptors or ports
concerns this machine and passes, so the call is retried; the tables below list the errnos for each call. And
accept(2) reports errors of a connection that failed before it was accepted: that connection is lost, but the
next one may be usable.
"""

from __future__ import annotations

import errno
import socket
from contextlib import suppress
from typing import Any, cast

# connect(2), errors of the call itself: ports, routes and memory concern this machine. As the result of a
# connect in progress, the same errno is what the network reports about the server.
CONNECT_SHORTAGE_ERRNOS = frozenset(
    {
        errno.EAGAIN,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    }
)
# accept(2): errors of the one connection that was to be accepted; the others are not affected.
ABORTED_CONNECTION_ERRNOS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
        errno.EINTR,
    }
)
# send(2), recv(2), on a connection that is still usable.
TRANSFER_SHORTAGE_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
# epoll_ctl(2): ENOSPC is the limit of watches.
WATCH_SHORTAGE_ERRNOS = frozenset({errno.ENOMEM, errno.ENOSPC})
# bind(2), socket(2): another process is about to release the address, the machine is booting, or resources
# are short.
LISTEN_SHORTAGE_ERRNOS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.EINTR,
    }
)
# unix(7), sendmsg(2): the calls of a hot restart.
HANDOVER_SHORTAGE_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.ETOOMANYREFS,
    }
)


class ResourceExhaustedError(OSError):
    """This machine lacks the resources to make or accept a connection now; it says nothing about the peer."""


class RetryingSocket:
    """A stream socket that reports a shortage of memory as EAGAIN, so that the transfer is retried.

    asyncio takes any other error of a send or receive for the end of the connection.
    """

    __slots__ = ("_socket", "__weakref__")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def connect(self, address: tuple[str, int]) -> None:
        """Raises ResourceExhaustedError if this machine lacks the resources to connect."""
        try:
            self._socket.connect(address)
        except OSError as error:
            # asyncio would take EAGAIN, which means a lack of ports here, for a connect in progress.
            if error.errno in CONNECT_SHORTAGE_ERRNOS:
                raise ResourceExhaustedError(error.errno, error.strerror) from None
            raise

    def send(self, data: bytes) -> int:
        try:
            return self._socket.send(data)
        except OSError as error:
            raise _as_blocking_error(error) from None

    def recv(self, size: int) -> bytes:
        try:
            return self._socket.recv(size)
        except OSError as error:
            raise _as_blocking_error(error) from None

    def recv_into(self, buffer: bytearray) -> int:
        try:
            return self._socket.recv_into(buffer)
        except OSError as error:
            raise _as_blocking_error(error) from None

    def shutdown(self, how: int) -> None:
        """Ignores errors: a peer that does not get the end of the stream now gets it when the connection is
        closed."""
        with suppress(OSError):
            self._socket.shutdown(how)

    def setsockopt(self, *args: Any) -> None:
        """Ignores errors: the options used make a connection faster or its end clearer, and none of them is
        worth losing the connection."""
        with suppress(OSError):
            self._socket.setsockopt(*args)


def _as_blocking_error(error: OSError) -> OSError:
    if error.errno in TRANSFER_SHORTAGE_ERRNOS:
        return BlockingIOError(errno.EAGAIN, error.strerror)
    return error


def connecting() -> socket.socket:
    """A non-blocking TCP socket for an outgoing connection, to be used with a transport of asyncio. Raises
    ResourceExhaustedError."""
    try:
        # asyncio sets TCP_NODELAY only on a socket that was made with the protocol number of TCP.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    except OSError as error:
        raise ResourceExhaustedError(error.errno, error.strerror) from None
    sock.setblocking(False)
    return retrying(sock)


def retrying(sock: socket.socket) -> socket.socket:
    """Wrap a socket as a RetryingSocket, for a transport of asyncio."""
    return cast(socket.socket, RetryingSocket(sock))


def accept(listener: socket.socket) -> socket.socket:
    """Accept the connection that has waited longest, for a transport of asyncio.

    Raises BlockingIOError if no connection waits, ConnectionAbortedError if the connection was lost before
    the accept (another may wait), and ResourceExhaustedError if descriptors or memory are short.
    """
    try:
        sock, _address = listener.accept()
    except BlockingIOError:
        raise
    except OSError as error:
        if error.errno in ABORTED_CONNECTION_ERRNOS:
            raise ConnectionAbortedError(error.errno, error.strerror) from None
        raise ResourceExhaustedError(error.errno, error.strerror) from None
    sock.setblocking(False)
    return retrying(sock)
