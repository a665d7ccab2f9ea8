"""HTTP/1.1 server of the catalog: reads follow the discovery protocol, writes are JSON.

h11 parses the requests; each answer is written as one block of bytes.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec

from burlshift.agent.connection import Connection, Fields, fields_of, header
from burlshift.agent.discovery_call import PATH as MEMBERS_PATH
from burlshift.agent.listing import Address

from .service import RETRY_AFTER_S, Service, WatchableList
from .state_machine import Answer, Delete, Name, Phase, Put, SetPhase, Start, Write
from .store import Command

log = logging.getLogger(__name__)

BATCH_PATH, STATUS_PATH, HEALTH_PATH = "/catalog/batch", "/catalog/status", "/_health"
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_WAIT_MS = 60_000
MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 75.0  # longer than MAX_WAIT_MS
WRITE_TIMEOUT_S = 20.0  # a reader that has not received its answer by then is disconnected
# Unsent bytes of all readers together; above it the reader that is due an answer is disconnected.
MAX_UNSENT_BYTES = 64 * 1024 * 1024
MAX_KEY_LENGTH = 200  # characters of an Idempotency-Key
NO_LIST_ERROR = "there is no list here yet; ask another"
BEHIND_ERROR = "the list here is behind yours; ask another"
BACKLOG = 2048
NUMBER_LENGTH_LIMIT = 17  # a number in a query has fewer digits
MAX_EVENT_BYTES = 32 * 1024  # of the head of a request
REASON_PHRASES = {
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
    """Request body: a member in the form of the discovery protocol, and the fields for writers only.

    The id comes from the path and may be repeated here.
    """

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


class _HttpError(Exception):
    """A request that is refused: the HTTP status and a message of one line."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


def put_command(name: str, doc: PutBody) -> Put:
    """Convert a request body to a command. Raises msgspec.ValidationError for an invalid member."""
    if doc.id not in (None, name):
        raise _HttpError(400, f"id: is {doc.id}, the path says {name}; make them one")
    fields = {
        field: getattr(doc, field)
        for field in ("host_port", "locality", "flavor", "cell", "phase", "size", "up_since_ms")
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
    """Listens for connections and accounts for the unsent bytes of all readers."""

    def __init__(self, service: WatchableList) -> None:
        self.service = service
        self.connections: set[_CatalogConnection] = set()
        self.lagging: set[_CatalogConnection] = set()  # those with unsent bytes of an answer
        self.tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Start to listen; returns the port, which the system chooses if that of the address is 0."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: _CatalogConnection(self), address.host, address.port, backlog=BACKLOG
        )
        return int(self._listener.sockets[0].getsockname()[1])

    def is_listening(self) -> bool:
        return self._listener is not None and self._listener.is_serving()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.drop()

    def unsent_bytes(self) -> int:
        return sum(connection.unsent_bytes() for connection in self.lagging)


class _CatalogConnection(Connection):
    """Connection of a reader or writer; handles one request at a time."""

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
        if len(self._server.connections) >= MAX_CONNECTIONS:
            self.drop()
            return
        self._server.connections.add(self)
        self._set_timer(IDLE_TIMEOUT_S, self.drop)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._release()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._server.lagging.discard(self)

    def _release(self) -> None:
        self._server.connections.discard(self)
        self._server.lagging.discard(self)
        self._service.unwatch(self.on_revision)
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, seconds: float, callback: Any) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, callback)

    def unsent_bytes(self) -> int:
        """Bytes of the answer that are still in the write buffer."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def on_end(self) -> None:
        self._release()
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
            if len(self._body) > MAX_BODY_BYTES:
                self.discards_input = True
                self._write_error(_HttpError(413, f"the body is over {MAX_BODY_BYTES} bytes"))
                if self.transport is not None:
                    self.transport.close()
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    # Requests

    def _dispatch(self) -> None:
        assert self._request is not None
        url = urlsplit(self._request.target.decode("latin-1"))
        method = self._request.method.decode("ascii")
        try:
            self._route(method, url.path, parse_qs(url.query))
        except _HttpError as error:
            self._write_error(error)
        except msgspec.ValidationError as error:
            self._write_error(_HttpError(400, str(error)))
        except msgspec.DecodeError as error:
            self._write_error(_HttpError(400, f"the body is no JSON: {error}"))

    def _route(self, method: str, path: str, query: dict[str, list[str]]) -> None:
        if method == "GET" and path in (MEMBERS_PATH, STATUS_PATH, HEALTH_PATH):
            if path == MEMBERS_PATH:
                return self._read_list(query)
            if path == HEALTH_PATH and self._service.identity is None:
                raise _HttpError(503, NO_LIST_ERROR)
            return self._write(
                200, msgspec.json.encode(self._service.status()) if path == STATUS_PATH else b"{}"
            )
        service = self._writable_service()
        if method == "POST" and path == BATCH_PATH:
            body = msgspec.json.decode(self._body, type=BatchBody)
            return self._submit(tuple(body.writes))
        before, _, rest = path.partition(f"{MEMBERS_PATH}/")
        name, _, action = rest.partition("/")
        if before or not name or action not in ("", "renew", "phase"):
            raise _HttpError(404, "no such path")
        name = msgspec.convert(unquote(name), Name)
        if method == "PUT" and not action:
            return self._submit((put_command(name, msgspec.json.decode(self._body, type=PutBody)),))
        if method == "PUT" and action == "phase":
            doc = msgspec.json.decode(self._body, type=PhaseBody)
            return self._submit(
                (SetPhase(id=name, phase=doc.phase, start=doc.start, if_revision=doc.if_revision),)
            )
        if method == "DELETE" and not action:
            return self._submit(
                (
                    Delete(
                        id=name,
                        start=_integer_parameter(query, "start"),
                        if_revision=_integer_parameter(query, "if_revision"),
                    ),
                )
            )
        if method == "POST" and action == "renew":
            renewal = msgspec.json.decode(self._body or b"{}", type=RenewBody)
            return self._spawn(service.renew(name, renewal.start))
        raise _HttpError(405, f"{method} is not for this path")

    def _writable_service(self) -> Service:
        """The service, which takes writes; raises _HttpError 421 on a follower."""
        if isinstance(self._service, Service):
            return self._service
        raise _HttpError(
            421, f"this is a follower and takes no writes; write to {self._service.write_address()}"
        )

    def _submit(self, writes: tuple[Write, ...]) -> None:
        key = header(self._fields, b"idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            raise _HttpError(400, f"Idempotency-Key: give 1 to {MAX_KEY_LENGTH} characters")
        self._spawn(self._writable_service().submit(Command(writes, key)))

    def _spawn(self, work: Coroutine[Any, Any, Answer]) -> None:
        async def write_answer() -> None:
            result = await work
            doc: dict[str, object] = {"revision": result.revision}
            if result.said:
                doc["error"] = result.said
            self._write(result.status, msgspec.json.encode(doc))

        self._answering = True
        task = self._loop.create_task(write_answer())
        self._server.tasks.add(task)
        task.add_done_callback(self._server.tasks.discard)

    # Reads

    def _read_list(self, query: dict[str, list[str]]) -> None:
        index, wait_ms = (
            _integer_parameter(query, "index"),
            min(MAX_WAIT_MS, _integer_parameter(query, "wait") or 0),
        )
        self._watch = index, query.get("list", [None])[0]
        if wait_ms and not self._service.has_update(*self._watch):
            self._service.watch(self.on_revision)
            self._set_timer(wait_ms / 1000, self._answer_watch)
        else:
            self._answer_watch()

    def on_revision(self) -> None:
        """Answer the watch at a new revision, which on a follower may still be below the reader's."""
        if self._watch is not None and self._service.has_update(*self._watch):
            self._answer_watch()

    def _answer_watch(self) -> None:
        assert self._watch is not None
        self._service.unwatch(self.on_revision)
        watch, self._watch = self._watch, None
        if self._service.reader_is_ahead(*watch):
            self._write_error(
                _HttpError(503, NO_LIST_ERROR if self._service.identity is None else BEHIND_ERROR)
            )
            return
        body = self._service.answer(*watch)
        if self._server.unsent_bytes() + len(body) > MAX_UNSENT_BYTES:
            log.warning("disconnecting a reader: more than %d bytes of answers are unsent", MAX_UNSENT_BYTES)
            self.drop()
            return
        age = self._service.age_s()
        self._write(200, body, "" if age is None else f"Age: {age}\r\n")

    # Answers

    def _write_error(self, error: _HttpError) -> None:
        self._write(error.status, msgspec.json.encode({"error": str(error)}))

    def _write(self, status: int, body: bytes, extra_fields: str = "") -> None:
        """Write an answer as one block; `extra_fields` are header lines that each end in CRLF."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return
        requested = header(self._fields, b"connection") or ""
        keep_alive = "close" not in requested.lower() and self.http.their_state is h11.DONE
        retry_after = f"Retry-After: {RETRY_AFTER_S}\r\n" if status == 503 else ""
        connection_field = "" if keep_alive else "Connection: close\r\n"
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Error')}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{extra_fields}{retry_after}{connection_field}\r\n"
        )
        self.transport.write(head.encode() + body)
        self.written = self.transport.get_write_buffer_size() == 0
        if not self.written:
            self._server.lagging.add(self)
        self._answering = False
        if not keep_alive:
            self.transport.close()
            return
        self._set_timer(IDLE_TIMEOUT_S if self.written else WRITE_TIMEOUT_S, self._on_timeout)
        # A new h11 parser for the next request costs less than passing the answer through h11.
        pipelined = self.http.trailing_data[0]
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES)
        if pipelined:
            self._loop.call_soon(self._feed, pipelined)

    def _on_timeout(self) -> None:
        """Disconnect a client that sends no further request or does not receive its answer."""
        if not self._answering and self._watch is None:
            self.drop()


def _integer_parameter(query: dict[str, list[str]], name: str) -> int | None:
    """A parameter of the query, None if absent. Raises _HttpError if it is no whole number."""
    text = query.get(name, [None])[0]
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < NUMBER_LENGTH_LIMIT):
        raise _HttpError(400, f"{name}: is no whole number")
    return int(text)
