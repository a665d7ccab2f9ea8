"""The relay of the rig: what a fault does to a connection, and what does not pass it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from burlshift.membership.messages import Kind, Message
from burlshift.membership.record import Status
from burlshift.membership.wire import Wire
from burlshift_tools.faultlab.addresses import Block
from burlshift_tools.faultlab.agent_config import FLEET, KEY
from burlshift_tools.faultlab.faults_schema import Link
from burlshift_tools.faultlab.parts import datagrams
from burlshift_tools.faultlab.parts.relay import Break, Clear, Relay, RelayPart, Route, Shape, Up


class Nothing:
    """A book that nobody reads."""

    name = ""

    def write(self, event: Any) -> None: ...


class Far:
    """The server at the other end: keeps what comes, and can be asked to send or end."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []  # of both ends, closed when the relay stops

    async def start(self) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            self.came.put_nowait((reader, writer))

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])


def free_port() -> int:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


@contextlib.asynccontextmanager
async def relay() -> AsyncIterator[tuple[Relay, Far, int]]:
    far = Far()
    to, at = await far.start(), free_port()
    route = Route(path="servers", server="s0", at=f"127.0.0.1:{at}", to=f"127.0.0.1:{to}", source="127.0.0.1")
    made = Relay(RelayPart(name="r0", history="", routes=[route], seed=1), Nothing())
    await made.start()
    try:
        async with asyncio.timeout(30):  # a hang fails the test; nothing is timed by this
            yield made, far, at
    finally:
        await made.stop()
        far.server.close()
        for writer in far.writers:
            writer.close()


async def pair(
    far: Far, at: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamReader, asyncio.StreamWriter]:
    near = await asyncio.open_connection("127.0.0.1", at)
    far.writers.append(near[1])
    return *near, *await far.came.get()


def shape(**fault: Any) -> Shape:
    return Shape(1, Link(at_s=0.0, **fault), ["s0"])


@pytest.mark.parametrize("close_first", ["near", "far"])
def test_bytes_and_ends_pass_either_way(close_first: str) -> None:
    async def run() -> None:
        async with relay() as (_, far, at):
            near_in, near_out, far_in, far_out = await pair(far, at)
            near_out.write(b"question")
            assert await far_in.readexactly(8) == b"question"
            far_out.write(b"answer")
            assert await near_in.readexactly(6) == b"answer"
            first, other = (near_out, far_in) if close_first == "near" else (far_out, near_in)
            first.write_eof()
            assert await other.read() == b""

    asyncio.run(run())


def test_a_cut_holds_what_is_under_way_and_new_connections_never_come_up() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            _, near_out, far_in, _ = await pair(far, at)
            await r.order(shape(cut=True))
            near_out.write(b"late")
            loop = asyncio.get_running_loop()
            with socket.socket() as s:
                s.setblocking(False)
                coming = loop.create_task(loop.sock_connect(s, ("127.0.0.1", at)))
                # Something that does pass takes its turns, and neither of the two has moved meanwhile.
                for _ in range(20):
                    await asyncio.sleep(0)
                assert not coming.done() and far.came.empty()
                await r.order(Clear(1))
                assert await far_in.readexactly(4) == b"late"
                await coming  # the kernel asks again

    asyncio.run(run())


def test_a_cut_one_way_lets_the_other_pass() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            near_in, near_out, far_in, far_out = await pair(far, at)
            await r.order(shape(cut=True, direction="from"))
            near_out.write(b"there")
            assert await far_in.readexactly(5) == b"there"
            far_out.write(b"back")
            near_out.write(b"again")
            assert await far_in.readexactly(5) == b"again"
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await near_in.read(1)
            await r.order(Clear(1))
            assert await near_in.readexactly(4) == b"back"

    asyncio.run(run())


def test_a_reset_after_the_last_byte_reaches_the_server_first() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            near_in, near_out, far_in, _ = await pair(far, at)
            await r.order(Break(1, "servers", [], "after"))
            near_out.write(b"request")
            assert await far_in.readexactly(7) == b"request"
            with pytest.raises(ConnectionResetError):
                await near_in.read()

    asyncio.run(run())


def test_a_reset_before_the_last_byte_keeps_it_from_the_server() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            near_in, near_out, far_in, _ = await pair(far, at)
            await r.order(Break(1, "servers", [], "before"))
            near_out.write(b"request")
            with pytest.raises(ConnectionResetError):
                await near_in.read()
            with pytest.raises(ConnectionResetError):
                assert await far_in.read() == b""

    asyncio.run(run())


def test_a_half_open_connection_says_nothing_until_it_is_over() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            near_in, near_out, far_in, _ = await pair(far, at)
            await r.order(Break(1, "servers", [], "half"))
            with pytest.raises(ConnectionResetError):
                await far_in.read()
            near_out.write(b"anyone")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await near_in.read(1)
            other_in, other_out, far_in, _ = await pair(far, at)  # a new one comes up
            other_out.write(b"x")
            assert await far_in.readexactly(1) == b"x"
            await r.order(Clear(1))
            with pytest.raises(ConnectionResetError):
                await near_in.read()

    asyncio.run(run())


def test_who_does_not_listen_refuses() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            await r.order(Up("servers", ["s0"], False))
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", at)
            await r.order(Up("servers", ["s0"], True))
            await pair(far, at)

    asyncio.run(run())


def test_faults_on_pieces_keep_their_order_and_a_changed_byte_is_one_byte() -> None:
    async def run() -> None:
        async with relay() as (r, far, at):
            _, near_out, far_in, _ = await pair(far, at)
            await r.order(shape(delay_ms=5.0, spread_ms=5.0, loss=0.3, bytes_per_s=20_000.0))
            sent = b"".join(b"%04d" % i for i in range(500))
            for i in range(0, len(sent), 100):
                near_out.write(sent[i : i + 100])
                await near_out.drain()
            assert await far_in.readexactly(len(sent)) == sent
            await r.order(Clear(1))
            await r.order(shape(corrupt=1.0))
            near_out.write(b"\0" * 64)
            got = await far_in.readexactly(64)
            assert sum(bin(byte).count("1") for byte in got) == 1

    asyncio.run(run())


def test_datagrams_are_cut_doubled_and_put_out_of_order() -> None:
    async def run(**fault: Any) -> list[bytes]:
        loop, block = asyncio.get_running_loop(), Block(60, free_port())
        part = datagrams.Datagrams(
            datagrams.DatagramsPart(name="u0", history="", block=block, agents=2, seed=1), Nothing()
        )
        await part.start()
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as hears,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sends,
        ):
            hears.setblocking(False)
            hears.bind((f"127.{block.block}.1.2", block.port))
            sends.bind((f"127.{block.block}.1.1", block.port))
            await part.order(datagrams.Shape(1, Link(at_s=0.0, path="peers", **fault), [1]))
            for i in range(4):
                sends.sendto(b"%d" % i, (f"127.{block.block}.101.1", block.port))
            sends.sendto(b"x" * 257, (f"127.{block.block}.101.1", block.port))
            while part.dropped_long == 0:  # the last one sent has come
                await asyncio.sleep(0)
            await part.order(datagrams.Clear(1))
            sends.sendto(b"end", (f"127.{block.block}.101.1", block.port))
            got = []
            async with asyncio.timeout(30):
                while (data := await loop.sock_recv(hears, 512)) != b"end":
                    got.append(data)
        await part.stop()
        return got

    assert asyncio.run(run()) == [b"0", b"1", b"2", b"3"]
    assert asyncio.run(run(cut=True)) == []
    assert asyncio.run(run(cut=True, direction="from")) == [b"0", b"1", b"2", b"3"]
    assert asyncio.run(run(cut=True, split=True)) == []
    assert asyncio.run(run(duplicate=1.0)) == [b"0", b"0", b"1", b"1", b"2", b"2", b"3", b"3"]
    assert asyncio.run(run(reorder=1.0)) == [b"1", b"0", b"3", b"2"]


def test_a_split_cuts_only_between_those_struck_and_the_others() -> None:
    part = datagrams.Datagrams(
        datagrams.DatagramsPart(name="u0", history="", block=Block(64, 20_000), agents=4, seed=1), Nothing()
    )
    link = Link(at_s=0.0, path="peers", cut=True, split=True)
    part.faults[1] = datagrams.Shape(1, link, [0, 1])
    cut = {(a, b) for a in range(4) for b in range(4) if a != b and part._links(a, b)}
    assert cut == {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}


def test_a_liar_says_that_the_others_are_dead_and_nobody_else_does() -> None:
    part = datagrams.Datagrams(
        datagrams.DatagramsPart(name="u0", history="", block=Block(64, 20_000), agents=3, seed=1), Nothing()
    )
    wire = Wire(FLEET, 3, KEY.encode())
    truth = [wire.pack(Message(Kind.PING, i, 100 + i, i, 7)) for i in range(3)]
    assert [part._heard(i, data) for i, data in enumerate(truth)] == truth
    part.liars = frozenset({0})
    assert part._heard(1, truth[1]) == truth[1] and part._heard(0, b"none of ours") == b"none of ours"
    lies = [wire.unpack(part._heard(0, truth[0])) for _ in range(3)]
    assert {fact.member for fact in lies[0].updates} == {1, 2}
    assert all(fact.record.status is Status.DEAD for lie in lies for fact in lie.updates)
    assert {fact.record.incarnation for fact in lies[0].updates} == {1, 2}
    assert {fact.record.incarnation for fact in lies[2].updates} == {2**32 - 1}
    assert lies[0].incarnation == 2**32 - 1 and lies[0].seq == 7 + 2**31
