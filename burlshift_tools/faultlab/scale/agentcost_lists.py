"""The real list service in the tool's own process, with so many members, and what its one reader had."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from burlshift.agent.listing import parse_address
from burlshift.catalog.server import CatalogServer
from burlshift.catalog.service import Service
from burlshift.catalog.state_machine import Member, Put, SetPhase, full_document
from burlshift.catalog.store import Command, Store

from ..child_processes import Failed

HEARD_S = 20.0  # a reader that has not asked again by then will not
LOOK_S = 0.001
TCP_INFO_BYTES, ACKED_AT = 232, 120  # of struct tcp_info (linux/tcp.h): tcpi_bytes_acked, tcpi_bytes_received


def name(i: int) -> str:
    return f"s-{i:08x}"


class Traffic(msgspec.Struct, frozen=True):
    """Bytes of HTTP that a reader has received and sent on its present connection, as TCP counted them."""

    received: int
    sent: int


class ListHost:
    """A list with one reader: what changes, and when the reader has taken it in."""

    def __init__(self, service: Service, server: CatalogServer, address: str, count: int) -> None:
        self.service, self.address, self.count = service, address, count
        self._server = server

    def known(self) -> dict[str, Any]:
        """The whole list as an agent's configuration has it."""
        state = self.service.store.state
        return {"revision": state.revision, **full_document(state)}

    def whole_answer(self) -> bytes:
        return self.service.answer(None, None)

    async def heard(self) -> None:
        """The reader waits for what comes next: all before it has been taken in. Raises Failed."""
        try:
            async with asyncio.timeout(HEARD_S):
                while not self.service.watchers:
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise Failed(f"{self.address}: the agent did not ask again within {HEARD_S:g} s") from None

    async def change(self, numbers: range, phase: Any) -> None:
        """Members change their phase, all told in one answer; done once the reader has taken them in."""
        writes = tuple(SetPhase(id=name(i), phase=phase) for i in numbers)
        answer = await self.service.submit(Command(writes))
        if answer.status != 200:
            raise Failed(f"{self.address}: the list took no change: {answer.said}")
        await self.heard()

    async def tell_whole(self, phase: Any) -> None:
        """One member changes, and the reader is told all: its revision is outside the history."""
        history = self.service.store.history
        kept, history.max_changes = history.max_changes, 0
        try:
            await self.change(range(1), phase)
        finally:
            history.max_changes = kept

    def traffic(self) -> Traffic:
        """Of the one reader that waits now."""
        conns = [c for c in self._server.connections if c.transport is not None]
        if len(conns) != 1 or conns[0].transport is None:
            raise Failed(f"{self.address}: {len(conns)} readers are connected where one should be")
        own: socket.socket = conns[0].transport.get_extra_info("socket")
        info = own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return Traffic(*struct.unpack_from("=QQ", info, ACKED_AT))


@asynccontextmanager
async def listed(
    folder: Path, address: str, count: int, place: Callable[[int], str], zones: tuple[str, ...], kind: str
) -> AsyncIterator[ListHost]:
    """A list of so many members at the addresses that `place` gives, spread over the zones."""
    service = Service(Store(folder))
    server = CatalogServer(service)
    service.start()
    try:
        puts = tuple(
            Put(
                member=Member(
                    id=name(i), host_port=place(i), locality=zones[i % len(zones)], flavor=kind, cell=i % 4
                )
            )
            for i in range(count)
        )
        answer = await service.submit(Command(puts))
        if answer.status != 200:
            raise Failed(f"{address}: the list was not taken: {answer.said}")
        await server.listen(parse_address(address))
        yield ListHost(service, server, address, count)
    finally:
        server.close()
        await service.stop()
