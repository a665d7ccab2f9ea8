"""Stands between agents that tell one another things by datagrams (PROTOCOL, Between agents)."""

from __future__ import annotations

import asyncio
import random
import socket
from functools import partial

import msgspec

from burlshift.membership.messages import Kind, MemberUpdate, Message
from burlshift.membership.record import Record, Status
from burlshift.membership.swim import MAX_UPDATES
from burlshift.membership.wire import DecodeError, Wire

from ..addresses import Block, split
from ..agent_config import FLEET, KEY
from ..faults_schema import Link
from .part import Plan, Writes, main

DATAGRAM_BYTES = 256
READ_AT_ONCE = 64


class DatagramsPart(Plan, kw_only=True):
    """Configuration of the datagram relay."""

    block: Block
    agents: int
    seed: int


class Shape(msgspec.Struct, tag_field="order", tag="shape"):
    """A fault begins between these agents and all others."""

    number: int
    link: Link
    agents: list[int]


class Liars(msgspec.Struct, tag_field="order", tag="liars"):
    """These agents lie from now on, and no others."""

    agents: list[int]


class Clear(msgspec.Struct, tag_field="order", tag="clear"):
    """Order: end a fault."""

    number: int


class Datagrams:
    """A socket for each ordered pair: what agent a sends to b's address goes on from a's address to b."""

    def __init__(self, plan: DatagramsPart, book: Writes) -> None:
        self.plan, self.random = plan, random.Random(plan.seed)
        self.faults: dict[int, Shape] = {}
        self.dropped_long = 0
        self.liars: frozenset[int] = frozenset()
        self._wire = Wire(FLEET, plan.agents, KEY.encode())
        self._spoke: dict[int, Record] = {}  # what each agent said of itself last
        self._lies = 0
        self._sockets: dict[tuple[int, int], socket.socket] = {}
        self._kept: dict[tuple[int, int], bytes] = {}  # to come after the next one

    async def start(self) -> None:
        self._loop = asyncio.get_running_loop()
        for a in range(self.plan.agents):
            for b in range(self.plan.agents):
                if a != b:
                    sock = self._sockets[a, b] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    sock.setblocking(False)
                    sock.bind(split(self.plan.block.peer(a, b)))
                    self._loop.add_reader(sock, partial(self._come, a, b))

    async def order(self, order: Shape | Clear | Liars) -> None:
        if isinstance(order, Liars):
            self.liars = frozenset(order.agents)
        elif isinstance(order, Shape):
            self.faults[order.number] = order
        else:
            self.faults.pop(order.number, None)

    async def stop(self) -> None:
        for sock in self._sockets.values():
            self._loop.remove_reader(sock)
            sock.close()

    def _links(self, a: int, b: int) -> list[Link]:
        """A direction is as seen from the agents struck: to them, or from them."""
        found = []
        for fault in self.faults.values():
            to, from_ = b in fault.agents, a in fault.agents
            way = fault.link.direction
            if fault.link.split and to == from_:
                continue
            if (to and way in ("both", "to")) or (from_ and way in ("both", "from")):
                found.append(fault.link)
        return found

    def _come(self, a: int, b: int) -> None:
        for _ in range(READ_AT_ONCE):
            try:
                data = self._sockets[a, b].recv(65536)
            except OSError:
                return
            self._pass(a, b, data)

    def _pass(self, a: int, b: int, data: bytes) -> None:
        if len(data) > DATAGRAM_BYTES:
            self.dropped_long += 1
            return
        if self.liars:
            data = self._heard(a, data)
        late_s, copies, chance = 0.0, 1, self.random
        links = self._links(a, b)
        for link in links:
            if link.cut or (link.loss and chance.random() < link.loss):
                return
            late_s += link.delay_ms / 1000
            late_s += chance.expovariate(1000 / link.spread_ms) if link.spread_ms else 0.0
            copies += bool(link.duplicate and chance.random() < link.duplicate)
            if data and link.corrupt and chance.random() < link.corrupt:
                at = chance.randrange(len(data))
                data = data[:at] + bytes([data[at] ^ (1 << chance.randrange(8))]) + data[at + 1 :]
        earlier = self._kept.pop((a, b), None)
        if earlier is None and any(link.reorder and chance.random() < link.reorder for link in links):
            self._kept[a, b] = data
            return
        for piece in [data] * copies + ([earlier] if earlier is not None else []):
            if late_s:
                self._loop.call_later(late_s, self._send, a, b, piece)
            else:
                self._send(a, b, piece)

    def _heard(self, a: int, data: bytes) -> bytes:
        """What goes on in the place of what an agent said."""
        try:
            m = self._wire.unpack(data)
        except DecodeError:
            return data
        self._spoke[a] = Record(m.start, m.incarnation, Status.ALIVE)
        if a not in self.liars:
            return data
        self._lies += 1
        huge = 2**32 - 1
        facts = [
            MemberUpdate(
                other,
                r._replace(status=Status.DEAD, incarnation=huge if self._lies % 3 == 0 else r.incarnation),
            )
            for other, r in self._spoke.items()
            if other != a
        ]
        seq = (m.seq + 2**31) % 2**32 if m.kind is Kind.PING else m.seq
        return self._wire.pack(
            Message(m.kind, m.sender, m.start, huge, seq, m.about, m.digest, tuple(facts[:MAX_UPDATES]))
        )

    def _send(self, a: int, b: int, data: bytes) -> None:
        try:
            self._sockets[b, a].sendto(data, split(self.plan.block.hears(b)))
        except OSError:
            return  # nobody hears there now: a datagram is lost


if __name__ == "__main__":
    main(DatagramsPart, Datagrams, Shape | Clear | Liars)
