"""The list over HTTP/1.1: reads as PROTOCOL has them, writes in JSON. h11 reads; answers go out whole."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec

from burlshift.agent.connection import Connection, Fields, fields_of, header
from burlshift.agent.discovery_call import PATH
from burlshift.agent.listing import Address

from .service import AGAIN_S, Readers, Service
from .state_machine import Answer, Delete, Name, Phase, Put, SetPhase, Start, Write
from .store import Command

log = logging.getLogger(__name__)

BATCH, STATUS, HEALTH = "/catalog/batch", "/catalog/status", "/_health"
BODY_LIMIT = 8 * 1024 * 1024
MOST_WAIT_MS = 60_000
MOST_CONNECTIONS = 4096
IDLE_S = 75.0  # longer than a watch may wait
TAKE_S = 20.0  # a reader that has not taken its answer by then is cut off
UNREAD_BYTES = 64 * 1024 * 1024  # of answers not taken by all readers together; then the latest is cut off
KEY_LIMIT = 200
NO_LIST = "there is no list here yet; ask another"
BEHIND = "the list here is behind yours; ask another"
BACKLOG = 2048
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    412: "Precondition Failed",
    413: "Content Too Large",
    421: "Misdirected Request",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}


class PutBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A member as PROTOCOL words it, but for its id, which the path has; and what only writers say."""

    host_port: str
    id: str | None = None
    locality: str = ""
    flavor: str = ""
    cell: int = 0
    phase: Phase = "SERVING"
    size: float = 1.0
    up_since_ms: int = 0
    ttl_ms: int = 0
    start: int = 0
    if_revision: int | None = None


class PhaseBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request body: set the phase of a member."""

    phase: Phase
    start: Start | None = None
    if_revision: int | None = None


class RenewBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request body: renew the lease of a member."""

    start: Start = 0


class BatchBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request body: several writes in one call."""

    writes: list[Write]


class _Wrong(Exception):
    """A call that cannot be carried out; status and one line."""

    def __init__(self, status: int, said: str) -> None:
        super().__init__(said)
        self.status = status


def put_of(name: str, doc: PutBody) -> Put:
    """Raises msgspec.ValidationError on what no member can be."""
    if doc.id not in (None, name):
        raise _Wrong(400, f"id: is {doc.id}, the path says {name}; make them one")
    fields = {
        f: getattr(doc, f)
        for f in ("host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms")
    }
    return msgspec.convert(
        {
            "do": "put",
            "member": {"id": name, **fields},
            "ttl_ms": doc.ttl_ms,
            "start": doc.start,
            "if_revision": doc.if_revision,
        },
        Put,
    )


class CatalogServer:
    """Listens, and knows what its readers have not taken yet."""

    def __init__(self, service: Readers) -> None:
        self.service = service
        self.conns: set[_Conn] = set()
        self.behind: set[_Conn] = set()  # those that have not taken all of their answer
        self.tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Returns the port, for an address whose port is 0."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _Conn(self), address.host, address.port, backlog=BACKLOG
        )
        return int(self._listener.sockets[0].getsockname()[1])

    def listens(self) -> bool:
        return self._listener is not None and self._listener.is_serving()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for conn in list(self.conns):
            conn.drop()

    def unread(self) -> int:
        return sum(conn.unread() for conn in self.behind)


class _Conn(Connection):
    """A reader's or writer's connection; one call at a time."""

    def __init__(self, server: CatalogServer) -> None:
        super().__init__(h11.SERVER)
        self._server, self._service = server, server.service
        self._loop = asyncio.get_running_loop()
        self._request: h11.Request | None = None
        self._fields: Fields = {}
        self._body = bytearray()
        self._watch: tuple[int | None, str | None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._answering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self._server.conns) >= MOST_CONNECTIONS:
            self.drop()
            return
        self._server.conns.add(self)
        self._after(IDLE_S, self.drop)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._forget()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._server.behind.discard(self)

    def _forget(self) -> None:
        self._server.conns.discard(self)
        self._server.behind.discard(self)
        self._service.unwatch(self.look)
        if self._timer is not None:
            self._timer.cancel()

    def _after(self, seconds: float, call: Any) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, call)

    def unread(self) -> int:
        """Bytes of its answer that the reader has not taken."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def on_end(self) -> None:
        self._forget()
        if self.transport is not None:
            self.transport.close()

    def on_broken(self, error: Exception) -> None:
        status = 400 if isinstance(error, h11.RemoteProtocolError) else 500
        self._write(status, b'{"error":"malformed request"}')
        if self.transport is not None:
            self.transport.close()

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._request, self._fields, self._body = event, fields_of(event.headers), bytearray()
            if self.http.they_are_waiting_for_100_continue:
                self.send(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > BODY_LIMIT:
                self.discards_input = True
                self._say(_Wrong(413, f"the body is over {BODY_LIMIT} bytes"))
                if self.transport is not None:
                    self.transport.close()
        elif isinstance(event, h11.EndOfMessage):
            self._call()

    # Calls

    def _call(self) -> None:
        assert self._request is not None
        url = urlsplit(self._request.target.decode("latin-1"))
        method = self._request.method.decode("ascii")
        try:
            self._route(method, url.path, parse_qs(url.query))
        except _Wrong as e:
            self._say(e)
        except msgspec.ValidationError as e:
            self._say(_Wrong(400, str(e)))
        except msgspec.DecodeError as e:
            self._say(_Wrong(400, f"the body is no JSON: {e}"))

    def _route(self, method: str, path: str, query: dict[str, list[str]]) -> None:
        if method == "GET" and path in (PATH, STATUS, HEALTH):
            if path == PATH:
                return self._read_list(query)
            if path == HEALTH and self._service.identity is None:
                raise _Wrong(503, NO_LIST)
            return self._write(200, msgspec.json.encode(self._service.status()) if path == STATUS else b"{}")
        service = self._writing()
        if method == "POST" and path == BATCH:
            body = msgspec.json.decode(self._body, type=BatchBody)
            return self._do(tuple(body.writes))
        start, _, rest = path.partition(f"{PATH}/")
        name, _, act = rest.partition("/")
        if start or not name or act not in ("", "renew", "phase"):
            raise _Wrong(404, "no such path")
        name = msgspec.convert(unquote(name), Name)
        if method == "PUT" and not act:
            return self._do((put_of(name, msgspec.json.decode(self._body, type=PutBody)),))
        if method == "PUT" and act == "phase":
            doc = msgspec.json.decode(self._body, type=PhaseBody)
            return self._do(
                (SetPhase(id=name, phase=doc.phase, start=doc.start, if_revision=doc.if_revision),)
            )
        if method == "DELETE" and not act:
            return self._do(
                (Delete(id=name, start=_number(query, "start"), if_revision=_number(query, "if_revision")),)
            )
        if method == "POST" and act == "renew":
            renewal = msgspec.json.decode(self._body or b"{}", type=RenewBody)
            return self._spawn(service.renew(name, renewal.start))
        raise _Wrong(405, f"{method} is not for this path")

    def _writing(self) -> Service:
        """Who takes writes here."""
        if isinstance(self._service, Service):
            return self._service
        raise _Wrong(421, f"this is a follower and takes no writes; write to {self._service.write_at()}")

    def _do(self, writes: tuple[Write, ...]) -> None:
        key = header(self._fields, b"idempotency-key")
        if key is not None and not 0 < len(key) <= KEY_LIMIT:
            raise _Wrong(400, f"Idempotency-Key: give 1 to {KEY_LIMIT} characters")
        self._spawn(self._writing().do(Command(writes, key)))

    def _spawn(self, work: Coroutine[Any, Any, Answer]) -> None:
        async def answer() -> None:
            given = await work
            doc: dict[str, object] = {"revision": given.revision}
            if given.said:
                doc["error"] = given.said
            self._write(given.status, msgspec.json.encode(doc))

        self._answering = True
        task = self._loop.create_task(answer())
        self._server.tasks.add(task)
        task.add_done_callback(self._server.tasks.discard)

    # Reads

    def _read_list(self, query: dict[str, list[str]]) -> None:
        index, wait_ms = _number(query, "index"), min(MOST_WAIT_MS, _number(query, "wait") or 0)
        self._watch = index, query.get("list", [None])[0]
        if wait_ms and not self._service.news(*self._watch):
            self._service.watch(self.look)
            self._after(wait_ms / 1000, self._tell)
        else:
            self._tell()

    def look(self) -> None:
        """There is a new revision; it may still be below the one that a follower's reader has."""
        if self._watch is not None and self._service.news(*self._watch):
            self._tell()

    def _tell(self) -> None:
        assert self._watch is not None
        self._service.unwatch(self.look)
        watch, self._watch = self._watch, None
        if self._service.ahead(*watch):
            self._say(_Wrong(503, NO_LIST if self._service.identity is None else BEHIND))
            return
        body = self._service.answer(*watch)
        if self._server.unread() + len(body) > UNREAD_BYTES:
            log.warning("a reader is cut off: over %d bytes wait to be taken", UNREAD_BYTES)
            self.drop()
            return
        age = self._service.age_s()
        self._write(200, body, "" if age is None else f"Age: {age}\r\n")

    # Answers

    def _say(self, wrong: _Wrong) -> None:
        self._write(wrong.status, msgspec.json.encode({"error": str(wrong)}))

    def _write(self, status: int, body: bytes, more: str = "") -> None:
        """The answer as it goes out: made once for all, where its body is."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        last = header(self._fields, b"connection") or ""
        keep = "close" not in last.lower() and self.http.their_state is h11.DONE
        again = f"Retry-After: {AGAIN_S}\r\n" if status == 503 else ""
        ending = "" if keep else "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{more}{again}{ending}\r\n"
        )
        self.transport.write(head.encode() + body)
        self.written = self.transport.get_write_buffer_size() == 0
        if not self.written:
            self._server.behind.add(self)
        self._answering = False
        if not keep:
            self.transport.close()
            return
        self._after(IDLE_S if self.written else TAKE_S, self._overdue)
        # What h11 would have to be told of the answer costs more than a reader of its own for the next call.
        ahead = self.http.trailing_data[0]
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=32 * 1024)
        if ahead:
            self._loop.call_soon(self._feed, ahead)

    def _overdue(self) -> None:
        """Nothing is asked any more, or the answer is not taken."""
        if not self._answering and self._watch is None:
            self.drop()


def _number(query: dict[str, list[str]], name: str) -> int | None:
    text = query.get(name, [None])[0]
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 17):
        raise _Wrong(400, f"{name}: is no whole number")
    return int(text)
