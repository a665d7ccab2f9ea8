"""The backends' side: connections kept for reuse, attempts and probes, and how each of them ended."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

import h11

from burlshift.balancing.interface import Backend, BackendId, Outcome, State

from .clock import Clock
from .connection import Fields, checked_request, fields_of, header
from .discovery import Listing, Member
from .quiet_period import QUIET_US, QuietPeriods
from .socket_errors import Lacking, connecting
from .upstream_connection import PooledConnection, next_idle
from .upstream_request import ExchangeResult, UpstreamRequest, parse_report

log = logging.getLogger(__name__)

# Ends that the agent makes itself: nothing of the request that the backend has not got may reach it later.
GIVEN_UP = (Outcome.CANCELLED, Outcome.TIMEOUT)
HOST = b"origin.svc"
PROBE_US = 50_000  # a load told later than this is of no use to the requests that asked for it
IDLE_SHARE = 0.7  # of the time after which a backend closes an idle connection; then it is retired here
ANSWER_BYTES = 64 * 1024  # an answer up to this is taken whole, a larger one passed on as it comes
LEAST_TOLD_US = 1_000  # backends are told whole milliseconds: with less than one left nothing is sent
STALL_S = 5.0  # a backend that takes or gives nothing for so long, while it could, has stopped


def _is_up(sock: socket.socket) -> bool:
    """Whether it has come to be connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Exchange:
    """One attempt or probe. Ends exactly once, with a Result."""

    def __init__(
        self,
        backends: Backends,
        backend: BackendId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> None:
        self._backends, self._backend, self._ask, self._done = backends, backend, ask, done
        self._loop = asyncio.get_running_loop()
        self._timeout_us = timeout_us
        self._began = backends.clock.now()
        self._connection: PooledConnection | None = None
        self._sending = False  # a large body is on its way out
        self._status = 0
        self._headers: Fields = {}
        self._length: int | None = None
        self._body = bytearray()
        self._begun_us = -1  # when the answer began to be passed on, from the start; -1: not yet
        self._paused = False  # its reader is slower
        self._moved = 0.0  # when anything last came or went, by the loop's clock
        self.ended = False
        self._timer = self._loop.call_later(timeout_us / 1e6, self._timed_out)

    def start(self) -> None:
        try:
            self._find_connection()
        except Exception:
            log.exception("attempt failed before it was sent")
            self._end(Outcome.NOT_SENT)

    def _find_connection(self) -> None:
        member = self._backends.ready(self._backend)
        if member is None:
            return self._end(Outcome.NOT_SENT)
        connection = self._backends.take(member)
        if connection is not None:
            if not self.carry(connection):
                self._backends.hand_on(connection, self._backends.clock.now())
            return
        if not self.may_go():
            return
        if not self._backends.has_room():
            return self._end(Outcome.NOT_SENT)
        self._backends.dial(member, self)

    def cancel(self) -> None:
        self._end(Outcome.CANCELLED)

    def unconnected(self, outcome: Outcome) -> None:
        """No connection came up for it."""
        self._end(outcome)

    def may_go(self) -> bool:
        """Whether it may still wait for a connection; ends it where not. Its time or that of repeats may have
        run out, its client have left, the list have changed.
        """
        if self.in_time() and not self._wanted():
            self._end(Outcome.NOT_SENT)
        return not self.ended

    def in_time(self) -> bool:
        """The same but for its client, which is asked behind this, as the attempt is about to go out."""
        if not self.ended and (
            self._backends.ready(self._backend) is None or self._left_us() < LEAST_TOLD_US
        ):
            self._end(Outcome.NOT_SENT)
        return not self.ended

    def _wanted(self) -> bool:
        try:
            return self._ask.wanted()
        except Exception:  # those that wait behind it must not miss their connection
            log.exception("cannot tell whether an attempt is still wanted")
            return False

    def carry(self, connection: PooledConnection) -> bool:
        """Go out on this connection, or end; whether that has used it, or it is as good as before."""
        try:
            return self._put(connection)
        except Exception:
            if self._connection is None:  # nothing has gone out on it; it is not to be used again
                connection.drop()
            self._failed()
            return True

    def _failed(self) -> None:
        """For an exception in hand: whatever it is, the attempt must end, or its request gets no answer."""
        log.exception("attempt failed")
        self._end(self._lost())

    def _left_us(self) -> int:
        """The time that the attempt still has: its own, and no more than its client's."""
        now, body = self._backends.clock.now(), self._ask.body
        own_us = self._timeout_us
        if isinstance(body, bytes) or body.whole:  # one still on its way has all its own time after that
            own_us -= now - self._began
        return own_us if self._ask.left_us is None else min(own_us, self._ask.left_us(now))

    def _put(self, connection: PooledConnection) -> bool:
        ask, body, headers = self._ask, self._ask.body, [(b"Host", HOST), *self._ask.headers]
        if ask.reader is not None:
            left_us = self._left_us()  # read anew: what runs between the check and here takes time too
            if left_us < LEAST_TOLD_US:
                self._end(Outcome.NOT_SENT)
                return False
            headers.append((b"Request-Timeout-Ms", b"%d" % (left_us // 1000)))
        start = body if isinstance(body, bytes) else body.held()
        length = len(start) if isinstance(body, bytes) else body.length
        if length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif length or ask.method == "POST":
            headers.append((b"Content-Length", b"%d" % length))
        events: list[h11.Event] = [checked_request(ask.method, ask.target, headers)]
        if start:
            events.append(h11.Data(data=start))
        if not self._wanted():  # asked behind the last look at the clock: the agent may be held up there
            self._end(Outcome.NOT_SENT)
            return False
        self._connection, connection.exchange = connection, self
        if isinstance(body, bytes) or body.whole:
            connection.send(*events, h11.EndOfMessage())
            if connection.written:
                self.on_written()
            return True
        self._sending = True
        self._timer.cancel()
        self._watch_progress()
        connection.send(*events)
        if connection.written:
            body.flow(self)
        return True

    # A large body

    def more(self, data: bytes) -> None:
        """The next piece of the body."""
        if self.ended or self._connection is None:
            return
        assert not isinstance(self._ask.body, bytes)
        self._moved = self._loop.time()
        try:
            self._connection.send(h11.Data(data=data))
            if not self._connection.written:
                self._ask.body.halt()
        except Exception:  # it is no fault of the client, which is at work here
            self._failed()

    def all_sent(self) -> None:
        """The body is whole: now its time runs."""
        if self.ended or self._connection is None:
            return
        self._sending = False
        self._timer.cancel()
        self._began = self._backends.clock.now()
        self._timer = self._loop.call_later(max(0, self._left_us()) / 1e6, self._timed_out)
        try:
            self._connection.send(h11.EndOfMessage())
        except Exception:
            return self._failed()
        if self._connection.written:
            self.on_written()

    def _watch_progress(self) -> None:
        """A body or an answer under way has no other limit than that it goes on."""
        self._moved = self._loop.time()
        self._timer.cancel()
        self._timer = self._loop.call_later(STALL_S, self._check_progress)

    def _check_progress(self) -> None:
        # A client that is slower than the backend is its own connection's to watch.
        waits_for_client = self._paused or (self._sending and self._sent())
        if waits_for_client:
            return self._watch_progress()
        left_s = self._moved + STALL_S - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check_progress)
        else:
            self._timed_out()

    def on_written(self) -> None:
        """The kernel has taken all there is so far."""
        if self._sending:
            assert not isinstance(self._ask.body, bytes)
            self._moved = self._loop.time()
            try:
                self._ask.body.flow(self)
            except Exception:
                self._failed()
        elif self._ask.reader is not None:
            self._backends.written()

    # What comes back

    def on_event(self, event: h11.Event) -> None:
        kind = type(event)
        if kind is h11.Response:
            assert isinstance(event, h11.Response)
            self._status, self._headers = event.status_code, fields_of(event.headers)
            # Two lengths: which of them the backend meant, and so what its answer is, cannot be told.
            if b"content-length" in self._headers and b"transfer-encoding" in self._headers:
                return self._end(Outcome.ERROR)
            # A backend begins with the last byte: it was made for another request, or says no to this one.
            if not self._whole_sent():
                return self._end(self._answered())
            length = header(self._headers, b"content-length")
            self._length = int(length) if length is not None else None
            if self._length is not None and self._length > ANSWER_BYTES:
                self._too_large_to_hold()
        elif kind is h11.Data:
            assert isinstance(event, h11.Data)
            self._body += event.data
        elif kind is h11.EndOfMessage:
            self.on_read()
            self._end(self._answered())

    def on_read(self) -> None:
        if self.ended:
            return
        if self._begun_us < 0 and len(self._body) > ANSWER_BYTES:
            self._too_large_to_hold()
        if self._begun_us >= 0 and self._body and not self.ended:
            data, self._body = bytes(self._body), bytearray()
            self._moved = self._loop.time()
            assert self._ask.reader is not None
            self._ask.reader.more(self, data)

    def _too_large_to_hold(self) -> None:
        """Only an answer that counts is passed on; of any other the status says enough. A smaller one is held
        until it is whole, however long its server takes: once begun, it could break off."""
        reader = self._ask.reader
        if self._status != 200 or reader is None:
            return self._end(self._answered())
        self._begun_us = self._backends.clock.now() - self._began
        self._watch_progress()
        reader.begin(self, self._headers.get(b"content-type"), self._length)

    def pause(self) -> None:
        """Whoever reads the answer is slower than the backend."""
        if self._connection is not None and not self._paused:
            self._paused = True
            self._connection.pause()

    def resume(self) -> None:
        if self._connection is not None and self._paused:
            self._paused = False
            self._moved = self._loop.time()
            self._connection.resume()

    @property
    def latency_us(self) -> int:
        """Until the answer began to be passed on, or else until now."""
        return self._begun_us if self._begun_us >= 0 else self._backends.clock.now() - self._began

    def report(self) -> tuple[float, ...]:
        fields = self._backends.report_fields
        told = parse_report(header(self._headers, b"server-load"), fields)
        if not told and self._ask.target == "/_load":
            told = parse_report(self._body.decode("latin-1"), fields)
        return told

    def on_broken(self) -> None:
        """An answer that cannot be read is a failed attempt. The process behind it lives: it is no reset, for
        which the module would leave the server out at once."""
        self._end(Outcome.ERROR if self._whole_sent() else Outcome.CONNECT_FAILED)

    def on_end(self) -> None:
        self._end(self._lost())

    def _answered(self) -> Outcome:
        if self._status == 200:
            # Served before it was asked in full, or a probe's answer without end, is no answer.
            counts = self._whole_sent() and len(self._body) <= ANSWER_BYTES
            return Outcome.OK if counts else Outcome.ERROR
        if self._status in (503, 504) and header(self._headers, b"not-started") == "1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def _lost(self) -> Outcome:
        """What a break means: before the last byte was written, the backend surely did not begin."""
        return Outcome.RESET if self._whole_sent() else Outcome.CONNECT_FAILED

    def _sent(self) -> bool:
        """Whether the kernel has taken all of the request there is so far."""
        return self._connection is not None and self._connection.written

    def _whole_sent(self) -> bool:
        return self._sent() and not self._sending

    def _timed_out(self) -> None:
        self._end(Outcome.TIMEOUT if self._whole_sent() else Outcome.CONNECT_FAILED)

    def _end(self, outcome: Outcome) -> None:
        if self.ended:
            return
        self.ended = True
        try:
            self._release(outcome)
        except Exception:
            log.exception("an attempt did not end in good order")
            if self._connection is not None:
                self._connection.drop()
        self._done(
            ExchangeResult(
                outcome,
                self.latency_us,
                self.report(),
                bytes(self._body),
                self._headers.get(b"content-type"),
                self._begun_us >= 0,
            )
        )

    def _release(self, outcome: Outcome) -> None:
        """Let go of its timers, its place among those that wait, its body and its connection."""
        self._timer.cancel()
        self._backends.waits_no_more(self._backend, self)
        if self._sending:
            assert not isinstance(self._ask.body, bytes)
            self._ask.body.stop(self)
        if self._connection is not None:
            self.resume()
            if outcome in GIVEN_UP:
                self._connection.reset_on_close()
            self._connection.exchange = None
            self._backends.release(self._connection)


class Backends:
    """The backends of the list, and the idle connections to them."""

    def __init__(
        self,
        clock: Clock,
        report_fields: tuple[str, ...],
        connect_timeout_us: int,
        conn_idle_us: int,
        most: int,
        written: Callable[[], None],
    ) -> None:
        self.clock, self.report_fields = clock, report_fields
        self.written = written  # to be told of each request, not probe, of which the last byte has gone out
        self._connect_s = connect_timeout_us / 1e6
        self._idle_us = int(conn_idle_us * IDLE_SHARE)
        self._most = most  # connections at once, so that descriptors are left for clients
        self._members: dict[BackendId, Member] = {}
        self._idle: dict[BackendId, list[PooledConnection]] = {}
        self._open: set[PooledConnection] = set()
        self._dials: dict[BackendId, int] = {}  # connections on their way up
        self._waiting: dict[BackendId, dict[Exchange, None]] = {}  # for a connection, the first come first
        self._quiet_periods = QuietPeriods()
        self._quiet_timers: dict[BackendId, asyncio.TimerHandle] = {}  # of those that are waited for
        self.tasks: set[asyncio.Task[None]] = set()

    def update_members(self, listing: Listing) -> list[Backend]:
        """Take in what discovery says; return the entries in the module's form."""
        for member in listing.members:
            backend = member.backend
            old = self._members.pop(backend.id, None)
            if backend.state is not State.GONE:
                self._members[backend.id] = member
            if old is not None and not (old.same_process(member) and backend.state is State.READY):
                self._forget(backend.id)
        if listing.complete:
            named = {m.backend.id for m in listing.members}
            for gone in [i for i in self._members if i not in named]:
                del self._members[gone]
                self._forget(gone)
        return [m.backend for m in listing.members]

    def ready(self, backend: BackendId) -> Member | None:
        member = self._members.get(backend)
        return member if member is not None and member.backend.state is State.READY else None

    def exchange(
        self,
        backend: BackendId,
        ask: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> Exchange:
        exchange = Exchange(self, backend, ask, timeout_us, done)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, done: Callable[[ExchangeResult], None]) -> None:
        target = "/_load" if self.report_fields else "/ping"
        self.exchange(backend, UpstreamRequest("GET", target, []), PROBE_US, done)

    # Connections

    def dial(self, member: Member, exchange: Exchange) -> None:
        """Open a connection; the exchange goes out on the first one to this backend that is free."""
        self._waiting.setdefault(member.backend.id, {})[exchange] = None
        self._dial_one_more(member)
        self._await_quiet(member.backend.id)

    def _dial_one_more(self, member: Member) -> None:
        backend = member.backend.id
        self._dials[backend] = self._dials.get(backend, 0) + 1
        task = asyncio.get_running_loop().create_task(self._dial(member))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, member: Member) -> None:
        """Outlives the exchange that asked for it: thrown away with their exchanges, connections were lacking
        just while this agent was late, and kept it late."""
        backend, connection, outcome = member.backend.id, None, Outcome.NOT_SENT
        try:
            connection = await self._connected(member)
        except Lacking:
            log.debug("nothing to connect with", exc_info=True)
        except OSError:
            outcome = Outcome.CONNECT_FAILED
        except Exception:
            log.exception("attempt failed before it was sent")
        self._dials[backend] -= 1
        if not self._dials[backend]:
            del self._dials[backend]
        if connection is not None and connection.closed:
            outcome = Outcome.CONNECT_FAILED
        elif connection is not None and member.same_process(self.ready(backend)):
            outcome = Outcome.CONNECT_FAILED  # of one that is left: this connection was closed as it came up
            self._offer(connection, self.clock.now())
        elif connection is not None:
            self._discard(connection)
        # One that is left without a connection on its way has nothing more to wait for.
        waiting = self._waiting.get(backend, {})
        while len(waiting) > self._dials.get(backend, 0) + self._free_soon(backend):
            next(iter(waiting)).unconnected(outcome)

    async def _connected(self, member: Member) -> PooledConnection:
        """A connection that is up. Only the handshake is timed, and by what the kernel says of it: an agent
        whose loop is late must not take its own lateness for the backend's."""
        loop, address = asyncio.get_running_loop(), member.address
        sock = connecting()
        try:
            try:
                async with asyncio.timeout(self._connect_s):
                    await loop.sock_connect(sock, (address.host, address.port))
            except TimeoutError as e:
                if e.errno == errno.ETIMEDOUT or not _is_up(sock):  # the former is the kernel's own word
                    raise
            _, connection = await loop.create_connection(
                lambda: PooledConnection(member, self._discard), sock=sock
            )
        except BaseException:
            sock.close()
            raise
        self._open.add(connection)
        return connection

    def waits_no_more(self, backend: BackendId, exchange: Exchange) -> None:
        waiting = self._waiting.get(backend)
        if waiting is not None:
            waiting.pop(exchange, None)
            if not waiting:
                del self._waiting[backend]

    def _offer(self, connection: PooledConnection, now: int) -> None:
        """It is free from now on."""
        connection.idle_since = now
        self.hand_on(connection, now)

    def hand_on(self, connection: PooledConnection, now: int) -> None:
        """To the exchange that has waited longest and may still go out, else kept."""
        backend = connection.member.backend.id
        free_at = connection.reusable_at(self._quiet_periods.of(backend))
        if free_at <= now and self._hand_over(connection):
            return
        if connection.retire is None:
            self._retire_in_time(connection, now)
        self._idle.setdefault(backend, []).append(connection)
        self._await_quiet(backend)

    def _retire_in_time(self, connection: PooledConnection, now: int) -> None:
        left_us = connection.idle_since + self._idle_us - now
        connection.retire = asyncio.get_running_loop().call_later(
            max(0, left_us) / 1e6, self._retired, connection
        )

    def _hand_over(self, connection: PooledConnection) -> bool:
        """Whether it is in use now, or of no use any more."""
        backend = connection.member.backend.id
        while waiting := self._waiting.get(backend):
            # What came behind an answer is not read yet: it would pass for the answer to the next request.
            if not connection.usable():
                self._discard(connection)
                return True
            exchange = next(iter(waiting))
            self.waits_no_more(backend, exchange)
            if exchange.in_time() and exchange.carry(connection):
                return True
        return False

    def _free_soon(self, backend: BackendId) -> int:
        """How many idle connections may be used again within the usual quiet period."""
        soon, quiet_us = self.clock.now() + QUIET_US, self._quiet_periods.of(backend)
        return sum(c.reusable_at(quiet_us) <= soon for c in self._idle.get(backend, ()))

    def _await_quiet(self, backend: BackendId) -> None:
        """Look again when the next idle connection is quiet for long enough, if one is waited for."""
        kept = self._idle.get(backend)
        if kept and backend in self._waiting and backend not in self._quiet_timers:
            quiet_us = self._quiet_periods.of(backend)
            left_us = max(0, min(c.reusable_at(quiet_us) for c in kept) - self.clock.now())
            self._quiet_timers[backend] = asyncio.get_running_loop().call_later(
                left_us / 1e6, self._quiet_enough, backend
            )

    def _quiet_enough(self, backend: BackendId) -> None:
        """Hand out what is quiet for long enough by now; connect for those whom that leaves without any."""
        self._quiet_timers.pop(backend, None)
        member = self.ready(backend)
        while waiting := self._waiting.get(backend):
            exchange = next(iter(waiting))
            if not exchange.may_go() or member is None:
                continue
            connection = self.take(member)
            if connection is None:
                self._connect_if_short(member)
                break
            self.waits_no_more(backend, exchange)
            if not exchange.carry(connection):
                self.hand_on(connection, self.clock.now())
        self._await_quiet(backend)

    def _connect_if_short(self, member: Member) -> None:
        """Connect for those who counted on a connection that has been closed since."""
        backend = member.backend.id
        waiting = self._waiting.get(backend, {})
        while len(waiting) > self._dials.get(backend, 0) + self._free_soon(backend):
            if self.has_room():
                self._dial_one_more(member)
            else:
                next(iter(waiting)).unconnected(Outcome.NOT_SENT)

    def limit(self, most: int) -> None:
        """So many connections at once from now on; those in use beyond it end in their own time."""
        self._most = most

    def has_room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes way."""
        most = self._most - sum(self._dials.values())
        self._open = {c for c in self._open if not c.closed} if len(self._open) >= most else self._open
        if len(self._open) < most:
            return True
        idle = [c for kept in self._idle.values() for c in kept]
        if not idle:
            return False
        self._discard(min(idle, key=lambda c: c.idle_since))
        return True

    def take(self, member: Member) -> PooledConnection | None:
        """An idle connection that can be trusted, if there is one."""
        kept, now = self._idle.get(member.backend.id, []), self.clock.now()
        quiet_us = self._quiet_periods.of(member.backend.id)
        while (connection := next_idle(kept, now, quiet_us)) is not None:
            kept.remove(connection)
            young = now - connection.idle_since < self._idle_us
            if young and member.same_process(connection.member) and connection.usable():
                return connection
            self._discard(connection)
        return None

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection whose exchange is over in good order; close any other."""
        http = connection.http
        over = http.our_state is h11.DONE and http.their_state is h11.DONE
        member = connection.member
        listed = member.same_process(self.ready(member.backend.id))
        if listed and over and http.trailing_data[0]:
            self._quiet_periods.unasked(member.backend.id, 0)
        if connection.closed or not over or not connection.written or http.trailing_data[0] or not listed:
            return self._discard(connection)
        http.start_next_cycle()
        connection.answered = True
        self._offer(connection, self.clock.now())

    def _retired(self, connection: PooledConnection) -> None:
        """One timer outlasts many uses: what has been used since it was set is not due yet."""
        connection.retire = None
        if connection not in self._idle.get(connection.member.backend.id, ()):
            return  # in use; a new one is set as it comes to rest
        now = self.clock.now()
        if now < connection.idle_since + self._idle_us:
            self._retire_in_time(connection, now)
        else:
            self._discard(connection)

    def _forget(self, backend: BackendId) -> None:
        self._quiet_periods.forget(backend)
        for connection in self._idle.pop(backend, []):
            self._discard(connection)

    def _discard(self, connection: PooledConnection) -> None:
        if connection.retire is not None:
            connection.retire.cancel()
        backend = connection.member.backend.id
        kept = self._idle.get(backend)
        if kept and connection in kept:
            kept.remove(connection)
        if connection.unasked:
            connection.unasked = False
            self._quiet_periods.unasked(backend, self.clock.now() - connection.idle_since)
        self._open.discard(connection)
        connection.drop()
