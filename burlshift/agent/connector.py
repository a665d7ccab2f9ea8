"""Opens connections to backends."""

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
    """Open a connection. Raises ResourceExhaustedError or another OSError.

    The timeout covers the TCP handshake alone. When it fires, the socket's state decides: if the handshake is
    complete, only this agent's loop was late, and the connection is used.
    """
    loop, address = asyncio.get_running_loop(), member.address
    sock = connecting()
    try:
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(sock, (address.host, address.port))
        except TimeoutError as error:
            if error.errno == errno.ETIMEDOUT or not _is_connected(sock):  # ETIMEDOUT comes from the kernel
                raise
        _, connection = await loop.create_connection(lambda: PooledConnection(member, discard), sock=sock)
    except BaseException:
        sock.close()
        raise
    return connection


def _is_connected(sock: socket.socket) -> bool:
    """Whether the socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
