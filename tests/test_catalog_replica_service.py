"""Tests of followers over loopback, with sources that restart, pause, go back and disagree."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from burlshift.agent.clock import Clock
from burlshift.agent.discovery import Discovery
from burlshift.agent.listing import Address, Listing, ListingParser
from burlshift.catalog.replica import Replica
from burlshift.catalog.server import CatalogServer
from tests.loopback import Message, ScriptedServer, member
from tests.test_catalog_service import MEMBERS, Client, body, running_catalog


@pytest.fixture(autouse=True)
def no_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """No delay between requests; test_discovery tests the delay."""
    monkeypatch.setattr("burlshift.agent.discovery.MIN_CALL_INTERVAL_S", 0.0)
    monkeypatch.setattr("burlshift.agent.address_rotation.FIRST_BACKOFF_S", 0.0)


class Reader(Client):
    """A client that reads whole answers."""

    async def whole_answer(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}
        return int(head[0].split()[1]), fields, await self.reader.readexactly(int(fields["content-length"]))

    async def read(self, query: str = "") -> tuple[int, dict[str, str], Any]:
        self.ask("GET", MEMBERS + query)
        status, fields, data = await self.whole_answer()
        return status, fields, json.loads(data)


async def reader(port: int) -> Reader:
    return Reader(*await asyncio.open_connection("127.0.0.1", port, limit=2**24))


class ReplicaHarness:
    """A read replica and its server."""

    def __init__(self, node: Replica, server: CatalogServer, port: int) -> None:
        self.node, self.server, self.port = node, server, port

    async def until_revision(self, revision: int) -> None:
        """Wait until the replica has that revision."""
        while self.node.revision != revision:
            await asyncio.sleep(0)

    async def until_watched(self, count: int) -> None:
        while self.node.watchers < count:
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def follower(*sources: int, port: int = 0, start: bool = True) -> AsyncIterator[ReplicaHarness]:
    node = Replica(tuple(Address("127.0.0.1", source) for source in sources))
    server = CatalogServer(node)
    harness = ReplicaHarness(node, server, await server.listen(Address("127.0.0.1", port)))
    if start:
        node.start()
    try:
        async with asyncio.timeout(60):  # only against a hang
            yield harness
    finally:
        node.stop()
        server.close()


def answer(revision: int, *names: str, complete: bool = True, identity: str = "x") -> bytes:
    return json.dumps(
        {
            "revision": revision,
            "list": identity,
            "complete": complete,
            "members": [member(name, 80) for name in names],
        }
    ).encode()


async def next_request(peer: ScriptedServer) -> tuple[Message, str]:
    call = await peer.requests.get()
    return call, call.start_line.split()[1].removeprefix(MEMBERS)


def test_follower_serves_the_leaders_answers_with_age(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            running_catalog(tmp_path) as catalog,
            follower(catalog.port) as one,
            follower(one.port) as two,
        ):
            client = await catalog.client()
            await client.call("PUT", f"{MEMBERS}/s1", body(locality="a", flavor="m", cell=3))
            _, first = await client.call("GET", MEMBERS)
            revision = first["revision"]
            await two.until_revision(revision)
            near, at_leader = await reader(two.port), await reader(catalog.port)
            watch = f"{MEMBERS}?index={revision}&wait=50000&list={first['list']}"
            near.ask("GET", watch)
            at_leader.ask("GET", watch)
            await two.until_watched(1)
            await client.call("PUT", f"{MEMBERS}/s1/phase", {"phase": "DRAINING"})
            status, fields, data = await near.whole_answer()
            _, leaders, same = await at_leader.whole_answer()
            assert status == 200 and data == same and re.fullmatch(r"\d+", fields["age"])
            assert "age" not in leaders
            near.ask("GET", "/catalog/status")
            _, fields, data = await near.whole_answer()
            answered = json.loads(data)
            assert "age" not in fields and answered["age_s"] >= 0 and answered["list"] == first["list"]
            assert (answered["role"], answered["source"], answered["revision"], answered["members"]) == (
                "follower",
                f"127.0.0.1:{one.port}",
                revision + 1,
                1,
            )
            for method, path, doc in (
                ("PUT", f"{MEMBERS}/s2", body()),
                ("POST", "/catalog/batch", {}),
                ("DELETE", f"{MEMBERS}/s1", None),
            ):
                status, error = await near.call(method, path, doc)
                assert status == 421 and error["error"].endswith(f"write to 127.0.0.1:{one.port}")

    asyncio.run(run())


def test_follower_without_a_list_answers_503_until_it_has_one() -> None:
    async def run() -> None:
        source = await ScriptedServer().start()
        async with follower(source.port) as replica:
            late, client_reader = await reader(replica.port), await reader(replica.port)
            late.ask("GET", f"{MEMBERS}?index=48&wait=50000&list=x")  # its list is from another follower
            await replica.until_watched(1)
            for path in (MEMBERS, "/_health", f"{MEMBERS}?index=48&list=x"):
                client_reader.ask("GET", path)
                status, fields, data = await client_reader.whole_answer()
                assert status == 503 and fields["retry-after"] and "no list here" in json.loads(data)["error"]
                assert "age" not in fields
            client_reader.ask("GET", "/catalog/status")
            _, _, data = await client_reader.whole_answer()
            assert (json.loads(data)["list"], json.loads(data)["revision"]) == (None, None)
            call, query = await next_request(source)
            assert query == ""
            await call.answer(503)  # its source has no list either
            call, query = await next_request(source)
            assert query == ""
            await call.answer(200, answer(47, "a"))  # the source is behind the reader
            call, query = await next_request(source)
            assert query == "?index=47&wait=2000&list=x" and replica.node.watchers == 1
            await call.answer(200, answer(49, "b", complete=False))
            status, _, data = await late.whole_answer()
            answered = json.loads(data)  # its revision is within one range: it gets all of that range
            assert (status, answered["complete"], [m["id"] for m in answered["members"]]) == (
                200,
                False,
                ["b"],
            )
            assert (await client_reader.call("GET", "/_health"))[0] == 200
        await source.stop()

    asyncio.run(run())


def test_reader_ahead_waits_for_the_follower_and_gets_503_at_timeout() -> None:
    async def run() -> None:
        source = await ScriptedServer().start()
        async with follower(source.port) as replica:
            await (await next_request(source))[0].answer(200, answer(47, "a"))
            call, _ = await next_request(source)
            old, new, hasty = [await reader(replica.port) for _ in range(3)]
            old.ask("GET", f"{MEMBERS}?index=48&wait=50000")  # an agent of an old version sends no identity
            new.ask("GET", f"{MEMBERS}?index=49&wait=50000&list=x")
            await replica.until_watched(2)
            for query in ("?index=48&wait=1&list=x", "?index=48&wait=1"):
                status, fields, error = await hasty.read(query)
                assert status == 503 and fields["retry-after"] and "is behind yours" in error["error"]
            await call.answer(200, answer(48, "b", complete=False))
            call, _ = await next_request(source)
            assert replica.node.watchers == 2  # still not newer than what the readers have
            await call.answer(200, answer(49, "c", complete=False))
            status, _, data = await old.whole_answer()
            assert (status, json.loads(data)["revision"]) == (200, 49)
            await replica.until_watched(1)
            call, _ = await next_request(source)
            await call.answer(200, answer(50, "d", complete=False))
            status, _, data = await new.whole_answer()
            assert status == 200 and [m["id"] for m in json.loads(data)["members"]] == ["d"]
        await source.stop()

    asyncio.run(run())


def times_went_back(caplog: pytest.LogCaptureFixture) -> int:
    return sum("went back and is not followed" in record.message for record in caplog.records)


def test_source_that_went_back_is_ignored_until_newer_or_another_list(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def run() -> None:
        source = await ScriptedServer().start()
        async with follower(source.port) as replica:
            await (await next_request(source))[0].answer(200, answer(47, "a"))
            call, _ = await next_request(source)
            loop = asyncio.get_running_loop()
            now = loop.time
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(loop, "time", lambda: now() + 30.0)  # the source is away for half a minute
                call.connection.reset()
                client_reader = await reader(replica.port)
                for older in (answer(47, "old"), answer(40, "old"), answer(46, "old")):
                    call, query = await next_request(source)
                    await call.answer(200, older)
                    status, fields, answered = await client_reader.read()
                    assert (status, answered["revision"], answered["members"][0]["id"]) == (200, 47, "a")
                    assert int(fields["age"]) >= 30
                    while not times_went_back(caplog):
                        await asyncio.sleep(0)
                    assert times_went_back(caplog) == 1
                call, query = await next_request(source)  # made once the answers before it have been handled
                assert times_went_back(caplog) == 1
                assert query == ""  # the full list, as the source went back before
                await call.answer(200, answer(48, "old", "b"))
                await replica.until_revision(48)
                _, fields, answered = await client_reader.read("?index=47&list=x")
                assert {m["id"]: m["phase"] for m in answered["members"]} == {
                    "a": "DELETED",
                    "old": "SERVING",
                    "b": "SERVING",
                }
                assert int(fields["age"]) < 30
                call, _ = await next_request(source)
                await call.answer(200, answer(3, "new", identity="y"))  # a restored list
                await replica.until_revision(3)
                _, _, answered = await client_reader.read("?index=48&list=x&wait=50000")
                assert (answered["list"], answered["complete"], answered["members"][0]["id"]) == (
                    "y",
                    True,
                    "new",
                )
        await source.stop()

    asyncio.run(run())


def test_follower_leaves_a_source_that_is_behind() -> None:
    async def run() -> None:
        ahead, behind = await ScriptedServer().start(), await ScriptedServer().start()
        async with follower(ahead.port, behind.port) as replica:
            await (await next_request(ahead))[0].answer(200, answer(50, "a"))
            call, _ = await next_request(ahead)
            call.connection.reset()
            call, query = await next_request(behind)
            assert query == "?index=50&wait=2000&list=x"
            await call.answer(200, answer(49, "b"))
            call, query = await next_request(ahead)
            assert query == ""
            await call.answer(200, answer(50, "a"))
            call, query = await next_request(ahead)
            assert query == "?index=50&wait=2000&list=x"
            await call.answer(200, answer(51, "c", complete=False))
            await replica.until_revision(51)
            assert set(replica.node.copy.entries) == {"a", "c"}
        await ahead.stop()
        await behind.stop()

    asyncio.run(run())


def test_paused_follower_includes_the_pause_in_its_first_age() -> None:
    """The source's answer and a reader's request arrive during the pause and wait unread."""

    async def run() -> None:
        source = await ScriptedServer().start()
        async with follower(source.port) as replica:
            await (await next_request(source))[0].answer(200, answer(47, "a"))
            call, _ = await next_request(source)
            client_reader = await reader(replica.port)
            await client_reader.read()
            loop = asyncio.get_running_loop()
            now = loop.time
            with pytest.MonkeyPatch.context() as patch:
                await call.answer(200, answer(48, "b", complete=False))
                # Within the timeout of the request: after a longer pause it fails whatever has arrived.
                patch.setattr(loop, "time", lambda: now() + 2.5)
                await replica.until_revision(48)
                _, fields, _ = await client_reader.read()
                assert int(fields["age"]) >= 3
                call, _ = await next_request(source)
                client_reader.ask("GET", MEMBERS)
                patch.setattr(loop, "time", lambda: now() + 40.0)
                _, fields, _ = await client_reader.whole_answer()
                assert int(fields["age"]) >= 38
                call, _ = await next_request(source)
                await call.answer(200, answer(49, "c", complete=False))  # to a request after the pause
                await replica.until_revision(49)
                _, fields, _ = await client_reader.read()
                assert int(fields["age"]) < 38
        await source.stop()

    asyncio.run(run())


def test_source_without_list_identity_is_refused(caplog: pytest.LogCaptureFixture) -> None:
    async def run() -> None:
        source = await ScriptedServer().start()
        async with follower(source.port) as replica:
            nameless = {"revision": 1, "complete": True, "members": []}
            await (await next_request(source))[0].answer(200, json.dumps(nameless).encode())
            await next_request(source)
            assert replica.node.identity is None
        await source.stop()

    asyncio.run(run())
    assert any("list of members: KeyError 'list'" in record.message for record in caplog.records)


def test_restarted_leader_gets_connections_of_followers_only(tmp_path: Path) -> None:
    async def run() -> None:
        readers = 300
        async with running_catalog(tmp_path) as catalog:
            leader_port = catalog.port
            await (await catalog.client()).call("PUT", f"{MEMBERS}/s0", body())
            revision = catalog.service.revision
            async with follower(leader_port) as one, follower(leader_port) as two:
                await one.until_revision(revision)
                await two.until_revision(revision)
                watching = [await reader((one, two)[n % 2].port) for n in range(readers)]
                for client_reader in watching:
                    client_reader.ask(
                        "GET", f"{MEMBERS}?index={revision}&wait=50000&list={catalog.service.identity}"
                    )
                await one.until_watched(readers // 2)
                await two.until_watched(readers // 2)
                catalog.server.close()  # the process ends, and another one starts
                restarted = CatalogServer(catalog.service)
                connected: set[object] = set()
                await restarted.listen(Address("127.0.0.1", leader_port))
                writer = await reader(leader_port)
                assert (await writer.call("PUT", f"{MEMBERS}/s1", body()))[0] == 200
                for client_reader in watching:
                    status, _, data = await client_reader.whole_answer()
                    assert status == 200 and [m["id"] for m in json.loads(data)["members"]] == ["s1"]
                    connected |= restarted.connections
                assert len(connected) <= 3  # two followers and the writer
                for client_reader in (*watching, writer):
                    client_reader.writer.close()
                restarted.close()

    asyncio.run(run())


def agent(listings: asyncio.Queue[Listing | None], *ports: int) -> Discovery:
    discovery = Discovery(
        tuple(Address("127.0.0.1", port) for port in ports),
        ListingParser(Clock(), ("a",), ("m",)),
        None,
        1.0,
        20_000,
    )
    discovery.watch(listings.put_nowait)
    return discovery


def test_agent_at_followers_continues_while_the_leader_is_down(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            running_catalog(tmp_path) as catalog,
            follower(catalog.port) as one,
            follower(catalog.port) as two,
        ):
            client = await catalog.client()
            await client.call("PUT", f"{MEMBERS}/s1", body(locality="a", flavor="m"))
            await one.until_revision(catalog.service.revision)
            await two.until_revision(catalog.service.revision)
            listings: asyncio.Queue[Listing | None] = asyncio.Queue()
            discovery = agent(listings, one.port, two.port)
            first = await listings.get()
            assert first is not None and first.complete
            await one.until_watched(1)
            catalog.server.close()
            one.server.close()  # one follower ends as well
            await two.until_watched(1)
            restarted = CatalogServer(catalog.service)
            await restarted.listen(Address("127.0.0.1", catalog.port))
            writer = await reader(catalog.port)
            await writer.call("PUT", f"{MEMBERS}/s2", body(81))
            second = await listings.get()
            assert second is not None and not second.complete
            assert [str(m.backend.id) for m in second.members] == ["s2"] and listings.empty()
            assert discovery._watching is not None
            discovery._watching.cancel()
            writer.writer.close()
            restarted.close()

    asyncio.run(run())
