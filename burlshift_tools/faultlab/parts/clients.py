"""The clients of one agent: open loop, patient for so long, with retries that belong to their first try."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from dataclasses import dataclass
from typing import Any, TypeVar

import h11
import msgspec

from burlshift.agent.connection import Connection, Headers, fields_of, header
from burlshift_tools.emulator.scenario import Class, Clients

from .. import faults_schema as faults
from ..addresses import split
from ..history import Answered, Asked, Departed, Health, Resent, Surplus, Unanswered, digest, now_us
from .part import Plan, Writes, main
from .wire import request_id

GRACE_S = 0.7  # a client waits so long beyond its time: who answers then is late, who never does has lost it
IDLE_S = 3.0  # a connection idle for longer is closed
CONNECT_S = 1.0
HEALTH_S = 0.1
SETTLE_S = 0.05
REFUSED = (429, 503)
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
LEAVINGS, MOMENTS = ("close", "half_close", "reset"), ("waiting", "uploading", "ahead")
UPLOADS = (3_000, 60_000, 200_000)  # bytes of a body that its client does not send to its end
AHEAD = (b"GET /api HTTP/1.1\r\nHos", b"x" * 30_000, b"x" * 300_000)
BAD = (
    b"\x16\x03\x01 no HTTP\r\n\r\n",
    b"GET /api HTTP/1.1\r\nHos",
    b"POST /api HTTP/1.1\r\n\r\n",
    b"\r\n",
    b"GET /api HTTP/1.1\r\nHost: origin.svc\r\n\r\n",
    b"x" * 200_000,
)
BAD_STAYS_S = 4.0

HabitT = TypeVar("HabitT", bound=faults.Habit)


class Arrival(msgspec.Struct, array_like=True):
    """A request of the schedule."""

    at_us: int  # from the start
    cls: int
    key: int
    work_us: int


class ClientsPart(Plan, kw_only=True):
    """Configuration of the client processes."""

    agent: str
    address: str
    classes: list[Class]
    clients: Clients
    arrivals: list[Arrival]
    max_retry_after_ms: float
    front: bool  # asks for health ten times a second, and opens nothing after a no
    seed: int


class Begin(msgspec.Struct, tag_field="order", tag="begin"):
    """Order: start the schedule."""

    start_us: int


class Front(msgspec.Struct, tag_field="order", tag="front"):
    """Whether the front heeds what `/_health` says."""

    deaf: bool


class Habit(msgspec.Struct, tag_field="order", tag="habit"):
    """What these clients do from now on beside asking properly; None: the fault of this number is over."""

    number: int
    fault: faults.Habit | None


class Settle(msgspec.Struct, tag_field="order", tag="settle"):
    """Done once every request that was begun has come to its end."""


@dataclass(slots=True)
class First:
    """What a client wants; all its tries count as one."""

    name: str
    arrival: Arrival
    due: int  # us
    until: int  # us; the deadline of the whole
    heeds: bool
    tries: int = 0


@dataclass(slots=True, frozen=True)
class Reply:
    """How one exchange on a connection ended; status 0 with `how` where there is no whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    how: str = ""


class Conn(Connection):
    """A connection to the agent; one request at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.number = self.port = 0
        self.used = False
        self.answered = ""  # the request that had its answer here last
        self.opened = now_us()
        self.idle: asyncio.TimerHandle | None = None
        self._reply: asyncio.Future[Reply] | None = None
        self._status, self._body = 0, bytearray()
        self._headers: dict[bytes, bytes] = {}
        self._begun = False  # something of the answer has come
        self.surplus = 0  # bytes beyond the answers that were asked for

    def ask(self, method: str, target: str, headers: Headers, body: bytes) -> asyncio.Future[Reply]:
        self._status, self._headers, self._body, self._begun = 0, {}, bytearray(), False
        self._reply = asyncio.get_running_loop().create_future()
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            events.append(h11.Data(data=body))
        self.send(*events, h11.EndOfMessage())
        return self._reply

    def data_received(self, data: bytes) -> None:
        if self._reply is None or self._reply.done():
            self.surplus += len(data)
            return self.drop()
        self._begun = True
        super().data_received(data)

    def begin(self, method: str, target: str, headers: Headers, part: bytes) -> None:
        """Send a request that will not be whole."""
        self.send(h11.Request(method=method, target=target, headers=headers), h11.Data(data=part))

    def ahead(self, data: bytes) -> None:
        """Send something behind the request."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def depart(self, how: str) -> None:
        """Leave, in the kernel at once."""
        if self.transport is None or self.transport.is_closing():
            return
        sock: Any = self.transport.get_extra_info("socket")
        if how == "half_close":
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.discards_input = self.closed = True
            return self.transport.abort()
        self.drop()

    def on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._status, self._headers = event.status_code, fields_of(event.headers)
        elif isinstance(event, h11.Data):
            self._body += event.data
        elif isinstance(event, h11.EndOfMessage):
            self.surplus += len(self.http.trailing_data[0])
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
            else:
                self.closed = True
            self._end(Reply(self._status, self._headers, bytes(self._body)))

    def on_broken(self, error: Exception) -> None:
        self.closed = True  # an end before an answer is no HTTP either
        self._end(Reply(0, {}, b"", "cut" if self._begun else "closed"))

    def on_end(self) -> None:
        self.closed = True
        self._end(Reply(0, {}, b"", "cut" if self._begun else "closed"))
        if self.transport is not None:
            self.transport.close()

    @property
    def begun(self) -> bool:
        return self._begun

    def _end(self, reply: Reply) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reply)


class Load:
    """Sends what is due when it is due, whatever became of what came before."""

    def __init__(self, plan: ClientsPart, book: Writes) -> None:
        self.plan, self.book = plan, book
        self.random = random.Random(plan.seed)
        self.host, self.port = split(plan.address)
        self.well = True  # what the front thinks of the agent
        self.deaf = False
        self.open = 0
        self._spare: list[Conn] = []
        self._counted = self._numbered = 0
        self._habits: dict[int, faults.Habit] = {}  # by the number of their fault
        self._tasks: set[asyncio.Task[None]] = set()
        self._methods = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}

    async def start(self) -> None:
        self._loop = asyncio.get_running_loop()

    async def order(self, order: Begin | Front | Habit | Settle) -> None:
        if isinstance(order, Habit):
            self._habits.pop(order.number, None)
            if order.fault is not None:
                self._habits[order.number] = order.fault
            if isinstance(order.fault, faults.BadClients):
                self._spawn(self._come_badly(order.number, order.fault))
            return
        if isinstance(order, Front):
            self.deaf = order.deaf
            return
        if isinstance(order, Settle):
            while self.open:
                await asyncio.sleep(SETTLE_S)
            return
        self._begin_us = order.start_us
        self._coming = iter(self.plan.arrivals)
        self._next()
        if self.plan.front:
            self._spawn(self._watch_health())

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for conn in self._spare:
            conn.drop()

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _next(self) -> None:
        arrival = next(self._coming, None)
        if arrival is not None:
            due = self._begin_us + arrival.at_us
            self._loop.call_later(max(0, due - now_us()) / 1e6, self._come, arrival, due)

    def _come(self, arrival: Arrival, due: int) -> None:
        self._counted += 1
        c = self.plan.classes[arrival.cls]
        first = First(
            f"{self.plan.name}-{self._counted}",
            arrival,
            due,
            due + int(c.deadline_ms * 1000),
            self.random.random() < self.plan.clients.honour,
        )
        self.open += 1
        self._spawn(self._serve(first))
        self._next()

    async def _serve(self, first: First) -> None:
        """All tries of one request."""
        c, clients = self.plan.classes[first.arrival.cls], self.plan.clients
        try:
            while True:
                patience = min(int(clients.try_share * c.deadline_ms * 1000), first.until - now_us())
                if patience < 1000:
                    return
                first.tries += 1
                reply = await self._try(first, self._shortened(patience // 1000 * 1000))
                if reply.how == "left":
                    restless = self._habit(faults.Restless)
                    if restless is None or not restless.again or first.tries > clients.retries:
                        return
                    continue
                refused = reply.status in REFUSED
                harmless = (
                    refused
                    or reply.how == "unreachable"
                    or c.effect == "safe"
                    or (c.effect == "keyed" and c.group == "all")
                )
                if reply.status == 200 or first.tries > clients.retries or not harmless:
                    return
                wait_s = clients.backoff_ms / 1000 if clients.backoff == "fixed" or not refused else 0.0
                if refused and first.heeds:
                    wait_s = max(wait_s, min(_retry_after(reply), self.plan.max_retry_after_ms / 1000))
                await asyncio.sleep(min(wait_s, max(0.0, (first.until - now_us()) / 1e6)))
        finally:
            self.open -= 1

    async def _try(self, first: First, patience_us: int) -> Reply:
        c, arrival = self.plan.classes[first.arrival.cls], first.arrival
        rid = request_id(first.name, first.tries, arrival.work_us, arrival.key)
        method = self._methods[c.effect]
        body = b"x" * (64 + arrival.work_us % 1024) if method == "POST" else b""
        headers = [
            (b"Host", b"origin.svc"),
            (b"Request-Id", rid.encode()),
            (b"Request-Class", c.name.encode()),
            (b"Request-Timeout-Ms", b"%d" % (patience_us // 1000)),
        ]
        if first.tries > 1:
            headers.append((b"Client-Retry", b"1"))
        if c.effect == "keyed":
            headers.append((b"Idempotency-Key", first.name.encode()))
        if body:
            headers.append((b"Content-Length", b"%d" % len(body)))
        target = f"/api?obj={arrival.key:x}"
        restless = self._habit(faults.Restless)
        if restless is not None and self.random.random() < restless.part:
            return await self._leave_early(first, rid, method, target, headers, body, patience_us, restless)
        again = False
        while True:
            conn = await self._connection(fresh=again)
            if conn is None:
                self.book.write(Unanswered(t=now_us(), who=self.plan.name, rid=rid, how="unreachable"))
                return Reply(0, {}, b"", "unreachable")
            fresh, conn.used = not conn.used, True
            waiting = conn.ask(method, target, headers, body)
            self._note_asked(first, rid, patience_us, conn, fresh)
            try:
                async with asyncio.timeout(patience_us / 1e6 + GRACE_S):
                    reply = await waiting
            except TimeoutError:
                reply = Reply(0, {}, b"", "cut" if conn.begun else "waited")
                self._depart(conn, rid, "close", "gave_up")
            if reply.how != "closed" or fresh:
                break
            self.book.write(Resent(t=now_us(), who=self.plan.name, rid=rid))
            again = True
        self._keep(conn)
        if reply.status:
            self.book.write(
                Answered(
                    t=now_us(),
                    who=self.plan.name,
                    rid=rid,
                    status=reply.status,
                    digest=digest(reply.body),
                    bytes=len(reply.body),
                )
            )
        else:
            self.book.write(Unanswered(t=now_us(), who=self.plan.name, rid=rid, how=reply.how))
        self._note_surplus(conn, rid)
        return reply

    def _note_asked(self, first: First, rid: str, patience_us: int, conn: Conn, fresh: bool) -> None:
        self.book.write(
            Asked(
                t=now_us(),
                who=self.plan.name,
                rid=rid,
                first=first.name,
                cls=first.arrival.cls,
                agent=self.plan.agent,
                due=first.due,
                patience_us=patience_us,
                conn=conn.number,
                opened=conn.opened,
                fresh=fresh,
                port=conn.port,
            )
        )

    def _note_surplus(self, conn: Conn, rid: str) -> None:
        conn.answered = rid
        if conn.surplus:
            self.book.write(Surplus(t=now_us(), who=self.plan.name, rid=rid, bytes=conn.surplus))
            conn.surplus = 0

    def _depart(self, conn: Conn, rid: str, how: str, told: str = "") -> None:
        self.book.write(Departed(t=now_us(), who=self.plan.name, rid=rid, how=told or how))
        conn.depart(how)

    # Clients that are not patient, or no clients

    def _habit(self, kind: type[HabitT]) -> HabitT | None:
        return next((habit for habit in self._habits.values() if isinstance(habit, kind)), None)

    def _shortened(self, patience_us: int) -> int:
        short = self._habit(faults.ShortTime)
        if short is None or self.random.random() >= short.part:
            return patience_us
        return min(patience_us, max(1000, int(short.time_ms) * 1000))

    async def _leave_early(
        self,
        first: First,
        rid: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        patience_us: int,
        habit: faults.Restless,
    ) -> Reply:
        """A try whose client goes before its answer; what comes in spite of that is not read."""
        when = habit.when if habit.when != "any" else self.random.choice(MOMENTS)
        how = told = habit.how if habit.how != "any" else self.random.choice(LEAVINGS)
        conn = await self._connection(fresh=self.random.random() < 0.5)
        if conn is None:
            return Reply(0, {}, b"", "unreachable")
        fresh, conn.used = not conn.used, True
        if when == "uploading" and method == "POST":
            size = self.random.choice(UPLOADS)
            fields = [(k, v) for k, v in headers if k != b"Content-Length"]
            part = b"x" * self.random.randrange(size)
            told = f"upload_{how}"
            conn.begin(method, target, [*fields, (b"Content-Length", b"%d" % size)], part)
        else:
            conn.ask(method, target, headers, body)
            if when == "ahead":
                conn.ahead(self.random.choice(AHEAD))
        self._note_asked(first, rid, patience_us, conn, fresh)
        await asyncio.sleep(self.random.uniform(0, habit.within_ms / 1000))
        self._depart(conn, rid, how, told)
        if how == "half_close":
            await asyncio.sleep(self.random.uniform(0, habit.within_ms / 1000))
            conn.drop()
        return Reply(0, {}, b"", "left")

    async def _come_badly(self, number: int, habit: faults.BadClients) -> None:
        while number in self._habits:
            await asyncio.sleep(self.random.expovariate(habit.per_s))
            self._spawn(self._one_bad())

    async def _one_bad(self) -> None:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            return
        writer.write(self.random.choice(BAD))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(self.random.choice((0.0, 0.05, BAD_STAYS_S))):
                await reader.read()
        writer.transport.abort()

    async def _connection(self, fresh: bool = False) -> Conn | None:
        while self._spare and not fresh:
            conn = self._spare.pop()
            if conn.idle is not None:
                conn.idle.cancel()
            self._note_late_surplus(conn)
            if not conn.closed:
                return conn
        if not (self.well or self.deaf):
            return None
        try:
            async with asyncio.timeout(CONNECT_S):
                _, conn = await self._loop.create_connection(Conn, self.host, self.port)
        except (OSError, TimeoutError):
            return None
        self._numbered += 1
        conn.number, conn.opened = self._numbered, now_us()
        if conn.transport is not None:
            conn.port = int(conn.transport.get_extra_info("sockname")[1])
        return conn

    def _note_late_surplus(self, conn: Conn) -> None:
        """Of a connection that rested after its answer."""
        if conn.surplus and conn.answered:
            self._note_surplus(conn, conn.answered)

    def _keep(self, conn: Conn) -> None:
        if conn.closed:
            if conn.transport is not None:
                conn.transport.close()
            return
        conn.idle = self._loop.call_later(IDLE_S, conn.drop)
        for gone in (c for c in self._spare if c.closed):
            self._note_late_surplus(gone)
        self._spare = [c for c in self._spare if not c.closed]
        self._spare.append(conn)

    async def _watch_health(self) -> None:
        """The front asks ten times a second on a connection of its own; no answer is a no."""
        conn: Conn | None = None
        while True:
            status = 0
            try:
                async with asyncio.timeout(1.0):
                    if conn is None or conn.closed:
                        _, conn = await self._loop.create_connection(Conn, self.host, self.port)
                    status = (await conn.ask("GET", "/_health", [(b"Host", b"origin.svc")], b"")).status
            except (OSError, TimeoutError):
                if conn is not None:
                    conn.drop()
                conn = None
            if self.well != (status == 200):
                self.well = status == 200
                self.book.write(Health(t=now_us(), who=self.plan.agent, status=status))
            await asyncio.sleep(HEALTH_S)


def _retry_after(reply: Reply) -> float:
    try:
        return max(0.0, float(header(reply.headers, b"retry-after") or "0"))
    except ValueError:
        return 0.0


if __name__ == "__main__":
    main(ClientsPart, Load, Begin | Front | Habit | Settle)
