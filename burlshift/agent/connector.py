"""Opening of connections to backends."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from .listing import Member
from .socket_errors import connecting
from .upstream_connection import PooledConnection


async def connect(
    member: Member, timeout_s: float, discard: Callable[[PooledConnection], None]
) -> PooledConnection:
    """A connection that is up. Only the handshake is timed, and by what the kernel says of it: an agent
    whose loop is late must not take its own lateness for the backend's."""
    loop, address = asyncio.get_running_loop(), member.address
    sock = connecting()
    try:
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(sock, (address.host, address.port))
        except TimeoutError as e:
            if e.errno == errno.ETIMEDOUT or not _is_up(sock):  # the former is the kernel's own word
                raise
        _, connection = await loop.create_connection(lambda: PooledConnection(member, discard), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


def _is_up(sock: socket.socket) -> bool:
    """Whether it has come to be connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
