"""Where everything in a rig is to be found: one block 127.B.0.0/16 of loopback, held by one rig at a time."""

from __future__ import annotations

import errno
import socket
from dataclasses import dataclass

FIRST_BLOCK, BLOCKS = 64, 48
FIRST_PORT, PORTS, STEP = 20_000, 40, 100


class NoRoom(Exception):
    """No block or port is to be had; the text is one line."""


@dataclass(frozen=True, slots=True)
class Block:
    """Addresses by what they are for; `i` counts agents from 0, `j` servers, `k` discovery's addresses."""

    block: int
    port: int

    def _ip(self, third: int, fourth: int) -> str:
        return f"127.{self.block}.{third}.{fourth + 1}"

    def agent(self, i: int) -> str:
        return f"{self._ip(1, i)}:{self.port}"

    def door(self, i: int, life: int) -> str:
        """Each process has a door of its own: two are up during an upgrade."""
        return f"{self._ip(1, i)}:{self.port + 1 + life % (STEP - 3)}"

    def hears(self, i: int) -> str:
        """Where an agent's datagrams come in."""
        return f"{self._ip(1, i)}:{self.port}"

    def server(self, j: int) -> str:
        return f"{self._ip(2, j)}:{self.port}"

    def discovery(self, k: int) -> str:
        return f"{self._ip(3, k)}:{self.port}"

    def leader(self, k: int) -> str:
        """Where a follower of the list service reaches it: a relay."""
        return f"{self._ip(7, k)}:{self.port}"

    def follower(self, k: int) -> str:
        """What that relay calls from."""
        return self._ip(8, k)

    def front(self, i: int) -> str:
        """Where clients reach an agent: its relay."""
        return f"{self._ip(4, i)}:{self.port}"

    def asks(self, i: int, k: int) -> str:
        """Where an agent reaches discovery: its relay."""
        return f"{self._ip(5, i)}:{self.port + k}"

    def caller(self, i: int) -> str:
        """What an agent's relay calls from: servers and discovery know the agent by it."""
        return self._ip(6, i)

    def sees(self, i: int, j: int) -> str:
        """Where an agent reaches a server: its relay."""
        return f"{self._ip(10 + j, i)}:{self.port}"

    def peer(self, i: int, other: int) -> str:
        """Where an agent reaches another by datagrams, and whence the other's come to it."""
        return f"{self._ip(100 + other, i)}:{self.port}"


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def take_block() -> tuple[Block, socket.socket]:
    """A block that no other rig holds, and a port that is free all over it; the socket is what holds it.

    A program that listens on all addresses holds its port here too: then another port is taken.
    """
    for n in range(BLOCKS):
        block = FIRST_BLOCK + n
        held = socket.socket()
        try:
            held.bind((f"127.{block}.255.254", FIRST_PORT - 1))
            held.listen(1)
        except OSError as e:
            held.close()
            if e.errno == errno.EADDRINUSE:
                continue
            raise NoRoom(f"127.{block}.255.254: {e.strerror}; loopback must be 127.0.0.0/8") from None
        for step in range(PORTS):
            port = FIRST_PORT + step * STEP
            if all(_free(block, port + extra) for extra in range(4)):
                return Block(block, port), held
        held.close()
        last = FIRST_PORT + PORTS * STEP
        raise NoRoom(f"no port from {FIRST_PORT} to {last} is free; end what listens there")
    raise NoRoom(f"all {BLOCKS} blocks of loopback are held by other rigs; end one of them")


def _free(block: int, port: int) -> bool:
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((f"127.{block}.1.1", port))
            s.listen(1)
        except OSError:
            return False
    return True
