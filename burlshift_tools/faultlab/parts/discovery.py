"""A stand-in for discovery: the whole list, watches, and wrong answers (PROTOCOL, Discovery)."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec

from burlshift.agent.connection import Connection, Headers

from ..addresses import Block, split
from ..history import Called, Listed, Told, now_us
from .part import Book, Plan, main

MOST_WAIT_MS = 60_000
FIRST_REVISION = 41


class Entry(msgspec.Struct, kw_only=True):
    """A member; `number` is the server's in the rig, which gives its address for each agent."""

    id: str
    number: int
    locality: str
    flavor: str
    cell: int
    phase: str = "SERVING"
    up_since_ms: int = 0


class DiscoveryPart(Plan, kw_only=True):
    """Configuration of the stand-in for discovery."""

    listen: str
    block: Block
    callers: dict[str, tuple[str, int]]  # agents' names and numbers by the address that they call from
    members: list[Entry]
    revision: int = FIRST_REVISION


class Change(msgspec.Struct, tag_field="order", tag="change"):
    """Order: add, change or remove members."""

    members: list[Entry]


class Mode(msgspec.Struct, tag_field="order", tag="mode"):
    """How it answers: well, silent, partial, late or older."""

    how: str
    late_s: float = 0.0
    back: int = 0


def member_json(entry: Entry, block: Block, agent: int) -> dict[str, object]:
    """A member in PROTOCOL's form, as this agent sees it."""
    return {
        "id": entry.id,
        "host_port": block.sees(agent, entry.number),
        "locality": entry.locality,
        "flavor": entry.flavor,
        "cell": entry.cell,
        "phase": entry.phase,
        "size": 1.0,
        "up_since_ms": entry.up_since_ms,
    }


class Discovery:
    """The list with all its revisions, and those who wait for the next."""

    def __init__(self, plan: DiscoveryPart, book: Book) -> None:
        self.plan, self.book = plan, book
        self.lists = [{e.id: e for e in plan.members}]  # by revision, from the first
        self.changes: list[list[Entry]] = [[]]
        self.mode = Mode("well")
        self.conns: set[Conn] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        host, port = split(self.plan.listen)
        self._listener = await asyncio.get_running_loop().create_server(lambda: Conn(self), host, port)
        self._listed(self.plan.members)

    async def order(self, order: Change | Mode) -> None:
        if isinstance(order, Change):
            now = dict(self.lists[-1])
            for entry in order.members:
                now[entry.id] = entry
                if entry.phase == "DELETED":
                    del now[entry.id]
            self.lists.append(now)
            self.changes.append(order.members)
            self._listed(order.members)
        else:
            steps_back = "older" in (order.how, self.mode.how)
            self.mode = order
            if steps_back:  # as a service that was restarted
                for conn in list(self.conns):
                    conn.drop()
        for conn in list(self.conns):
            conn.look()

    async def stop(self) -> None:
        if self._listener is not None:
            self._listener.close()

    def _listed(self, entries: list[Entry]) -> None:
        self.book.write(
            Listed(
                t=now_us(),
                who=self.plan.name,
                revision=self.revision,
                members=[(e.id, e.phase, e.up_since_ms) for e in entries],
            )
        )

    @property
    def revision(self) -> int:
        return self.plan.revision + len(self.lists) - 1

    def view(self) -> int:
        """The revision that it answers with."""
        back = self.mode.back if self.mode.how == "older" else 0
        return max(self.plan.revision, self.revision - back)

    def since(self, index: int | None) -> tuple[bool, list[Entry]] | None:
        """The answer to who has that revision: whole or not, and entries; None: nothing new."""
        view = self.view()
        if index == view:
            return None
        if index is None or not self.plan.revision <= index < view:
            return True, list(self.lists[view - self.plan.revision].values())
        latest: dict[str, Entry] = {}
        for step in self.changes[index + 1 - self.plan.revision : view + 1 - self.plan.revision]:
            latest.update((e.id, e) for e in step)
        return False, list(latest.values())


class Conn(Connection):
    """An agent's connection; one call at a time."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__(h11.SERVER)
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._index: int | None = None
        self._waits = False  # a call without its answer
        self._until = 0.0
        self._target = ""
        self._end: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._discovery.conns.add(self)
        caller = transport.get_extra_info("peername")[0]
        self._agent, self._number = self._discovery.plan.callers.get(caller, ("", 0))

    def on_broken(self, error: Exception) -> None:
        self.drop()

    def on_end(self) -> None:
        self._discovery.conns.discard(self)
        self._waits = False
        if self.transport is not None:
            self.transport.close()

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._target = event.target.decode("latin-1")
        elif isinstance(event, h11.EndOfMessage):
            self._call()

    def _call(self) -> None:
        url = urlsplit(self._target)
        if url.path != "/catalog/members":
            return self._write(404, b"no such path\n")
        query = parse_qs(url.query)
        try:
            self._index = int(query["index"][0]) if "index" in query else None
            wait_ms = min(MOST_WAIT_MS, int(query.get("wait", ["0"])[0]))
        except ValueError:
            return self._write(400, b"index and wait are whole numbers\n")
        d = self._discovery
        d.book.write(
            Called(t=now_us(), who=d.plan.name, agent=self._agent, index=self._index, wait_ms=wait_ms)
        )
        self._waits, self._until = True, self._loop.time() + wait_ms / 1000
        self._end = self._loop.call_later(wait_ms / 1000, self.look)
        self.look()

    def look(self) -> None:
        """Answer if there is something to tell, or nothing more to wait for."""
        d = self._discovery
        if not self._waits or d.mode.how == "silent":
            return
        told = d.since(self._index)
        if told is None and self._loop.time() < self._until:
            return
        self._waits = False
        complete, entries = told if told is not None else (False, [])
        late_s = d.mode.late_s if d.mode.how == "late" else 0.0
        self._loop.call_later(late_s, self._tell, d.view(), complete, entries)

    def _tell(self, revision: int, complete: bool, entries: list[Entry]) -> None:
        d = self._discovery
        if self.closed:
            return
        body = msgspec.json.encode(
            {
                "revision": revision,
                "complete": complete,
                "members": [member_json(e, d.plan.block, self._number) for e in entries],
            }
        )
        whole = d.mode.how != "partial"
        d.book.write(
            Told(
                t=now_us(),
                who=d.plan.name,
                agent=self._agent,
                revision=revision,
                complete=complete,
                whole=whole,
                members=[(e.id, e.phase, e.up_since_ms) for e in entries],
            )
        )
        if whole:
            return self._write(200, body)
        assert self.transport is not None
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.transport.write(head + body[: len(body) // 2])
        self.transport.close()

    def _write(self, status: int, body: bytes) -> None:
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        headers: Headers = [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))]
        self.send(h11.Response(status_code=status, headers=headers), h11.Data(data=body), h11.EndOfMessage())
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            if self.http.trailing_data[0]:
                self.defer_input()
        else:
            self.transport.close()


if __name__ == "__main__":
    main(DiscoveryPart, Discovery, Change | Mode)
