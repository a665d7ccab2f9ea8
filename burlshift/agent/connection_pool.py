"""The listed backends and the pool of connections to them: limits, reuse, and the queue of exchanges."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import h11

from burlshift.balancing.interface import Backend, BackendId, Outcome, State

from .buffered_input import buffered_length
from .clock import Clock
from .connector import connect
from .exchange import Exchange
from .listing import Listing, Member
from .memory_budget import MemoryBudget
from .quiet_period import DEFAULT_QUIET_US, QuietPeriods
from .socket_errors import ResourceExhaustedError
from .upstream_connection import PooledConnection, next_idle
from .upstream_request import ExchangeResult, UpstreamRequest

log = logging.getLogger(__name__)

# A load report that arrives later is of no use to the requests that caused the probe.
PROBE_TIMEOUT_US = 50_000
# Share of the backends' idle timeout after which an idle connection is closed here, before the backend does.
IDLE_TIMEOUT_SHARE = 0.7


class UpstreamConnectionPool:
    """The listed backends, and the connections to them."""

    def __init__(
        self,
        clock: Clock,
        report_fields: tuple[str, ...],
        connect_timeout_us: int,
        conn_idle_us: int,
        max_connections: int,
        on_request_sent: Callable[[], None],
    ) -> None:
        self.clock, self.report_fields = clock, report_fields
        # Called when the last byte of a request has been written; not for probes.
        self.on_request_sent = on_request_sent
        self._connect_s = connect_timeout_us / 1e6
        self._idle_us = int(conn_idle_us * IDLE_TIMEOUT_SHARE)
        self._max_connections = max_connections  # low enough to leave descriptors for clients
        self._members: dict[BackendId, Member] = {}
        self._counted_members = 0  # in the budget
        self._budget = MemoryBudget.of_running_loop()
        self._idle: dict[BackendId, list[PooledConnection]] = {}
        self._open: set[PooledConnection] = set()
        self._connecting: dict[BackendId, int] = {}  # connections being established
        # Exchanges that wait for a connection, in order of arrival.
        self._waiters: dict[BackendId, dict[Exchange, None]] = {}
        self._quiet_periods = QuietPeriods()
        self._quiet_timers: dict[BackendId, asyncio.TimerHandle] = {}  # set while exchanges wait
        self.tasks: set[asyncio.Task[None]] = set()  # one for each connection being established

    def update_members(self, listing: Listing) -> list[Backend]:
        """Apply a listing from discovery; return its entries as the balancing policy's backends."""
        for member in listing.members:
            backend = member.backend
            previous = self._members.pop(backend.id, None)
            if backend.state is not State.GONE:
                self._members[backend.id] = member
            if previous is not None and not (previous.same_process(member) and backend.state is State.READY):
                self._discard_idle(backend.id)
        if listing.complete:
            listed_ids = {m.backend.id for m in listing.members}
            for gone in [i for i in self._members if i not in listed_ids]:
                del self._members[gone]
                self._discard_idle(gone)
        self._count_members()
        return [m.backend for m in listing.members]

    def _count_members(self) -> None:
        """Report a change of the list's length to the budget of all that is held."""
        change = len(self._members) - self._counted_members
        if change:
            self._counted_members += change
            self._budget.count_members(change)

    def ready_member(self, backend: BackendId) -> Member | None:
        """The backend's entry in the list, or None unless it is there in state READY."""
        member = self._members.get(backend)
        return member if member is not None and member.backend.state is State.READY else None

    def exchange(
        self,
        backend: BackendId,
        request: UpstreamRequest,
        timeout_us: int,
        done: Callable[[ExchangeResult], None],
    ) -> Exchange:
        """Start an attempt; done is called with its result once, possibly before this returns."""
        exchange = Exchange(self, backend, request, timeout_us, done)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, done: Callable[[ExchangeResult], None]) -> None:
        """Request a backend's load report, or, if there are no report fields, check that it responds."""
        target = "/_load" if self.report_fields else "/ping"
        self.exchange(backend, UpstreamRequest("GET", target, []), PROBE_TIMEOUT_US, done)

    # Connections

    def connect_for(self, member: Member, exchange: Exchange) -> None:
        """Open a connection; the exchange is sent on the first connection to this backend that is free."""
        self._waiters.setdefault(member.backend.id, {})[exchange] = None
        self._start_connecting(member)
        self._schedule_quiet_timer(member.backend.id)

    def _start_connecting(self, member: Member) -> None:
        backend = member.backend.id
        self._connecting[backend] = self._connecting.get(backend, 0) + 1
        task = asyncio.get_running_loop().create_task(self._connect(member))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, member: Member) -> None:
        """Establish a connection and offer it to the exchanges that wait.

        Continues if the exchange that caused it ends first. Dropping connections with their exchanges would
        leave the agent short of them just while its loop is late, and so keep it late.
        """
        backend, connection, outcome = member.backend.id, None, Outcome.NOT_SENT
        try:
            connection = await connect(member, self._connect_s, self._discard)
            self._open.add(connection)
        except ResourceExhaustedError:
            log.debug("no resources to open a connection", exc_info=True)
        except OSError:
            outcome = Outcome.CONNECT_FAILED
        except Exception:
            log.exception("could not open a connection")
        self._connecting[backend] -= 1
        if not self._connecting[backend]:
            del self._connecting[backend]
        if connection is not None and connection.closed:
            outcome = Outcome.CONNECT_FAILED
        elif connection is not None and member.same_process(self.ready_member(backend)):
            # The outcome of an exchange that is left without a connection below: this connection was closed
            # before the exchange could use it.
            outcome = Outcome.CONNECT_FAILED
            self._mark_idle(connection, self.clock.now())
        elif connection is not None:
            self._discard(connection)
        # Each waiting exchange needs a connection that is being established or soon reusable: end the excess.
        waiters = self._waiters.get(backend, {})
        while len(waiters) > self._connecting.get(backend, 0) + self._reusable_soon(backend):
            next(iter(waiters)).connection_unavailable(outcome)

    def remove_waiter(self, backend: BackendId, exchange: Exchange) -> None:
        """Remove an exchange from those that wait for a connection."""
        waiters = self._waiters.get(backend)
        if waiters is not None:
            waiters.pop(exchange, None)
            if not waiters:
                del self._waiters[backend]

    def _mark_idle(self, connection: PooledConnection, now: int) -> None:
        """Mark a connection as idle from now on and offer it to the exchanges that wait."""
        connection.idle_since = now
        self.assign_or_keep(connection, now)

    def assign_or_keep(self, connection: PooledConnection, now: int) -> None:
        """Give a connection to the longest waiting exchange that may still be sent, or keep it idle."""
        backend = connection.member.backend.id
        free_at = connection.reusable_at(self._quiet_periods.period_us(backend))
        if free_at <= now and self._assign_to_waiter(connection):
            return
        if connection.retire_timer is None:
            self._schedule_retirement(connection, now)
        self._idle.setdefault(backend, []).append(connection)
        self._schedule_quiet_timer(backend)

    def _schedule_retirement(self, connection: PooledConnection, now: int) -> None:
        left_us = connection.idle_since + self._idle_us - now
        connection.retire_timer = asyncio.get_running_loop().call_later(
            max(0, left_us) / 1e6, self._on_retire_timer, connection
        )

    def _assign_to_waiter(self, connection: PooledConnection) -> bool:
        """Offer a connection to the exchanges that wait; True if it is now in use, or has been closed."""
        backend = connection.member.backend.id
        while waiters := self._waiters.get(backend):
            # Unread data behind a response would be taken for the response to the next request.
            if not connection.usable():
                self._discard(connection)
                return True
            exchange = next(iter(waiters))
            self.remove_waiter(backend, exchange)
            if exchange.may_be_sent() and exchange.send_on(connection):
                return True
        return False

    def _reusable_soon(self, backend: BackendId) -> int:
        """How many idle connections are reusable within the default quiet period from now."""
        soon, quiet_us = self.clock.now() + DEFAULT_QUIET_US, self._quiet_periods.period_us(backend)
        return sum(c.reusable_at(quiet_us) <= soon for c in self._idle.get(backend, ()))

    def _schedule_quiet_timer(self, backend: BackendId) -> None:
        """If exchanges wait, set a timer for the time at which the first idle connection is reusable."""
        idle = self._idle.get(backend)
        if idle and backend in self._waiters and backend not in self._quiet_timers:
            quiet_us = self._quiet_periods.period_us(backend)
            left_us = max(0, min(c.reusable_at(quiet_us) for c in idle) - self.clock.now())
            self._quiet_timers[backend] = asyncio.get_running_loop().call_later(
                left_us / 1e6, self._on_quiet_timer, backend
            )

    def _on_quiet_timer(self, backend: BackendId) -> None:
        """Assign the connections whose quiet period is over; connect for the exchanges that get none."""
        self._quiet_timers.pop(backend, None)
        member = self.ready_member(backend)
        while waiters := self._waiters.get(backend):
            exchange = next(iter(waiters))
            if not exchange.may_wait() or member is None:
                continue
            connection = self.take_idle(member)
            if connection is None:
                self._connect_for_waiters(member)
                break
            self.remove_waiter(backend, exchange)
            if not exchange.send_on(connection):
                self.assign_or_keep(connection, self.clock.now())
        self._schedule_quiet_timer(backend)

    def _connect_for_waiters(self, member: Member) -> None:
        """Replace connections that waiting exchanges relied on and that have been closed since."""
        backend = member.backend.id
        waiters = self._waiters.get(backend, {})
        while len(waiters) > self._connecting.get(backend, 0) + self._reusable_soon(backend):
            if self.make_room():
                self._start_connecting(member)
            else:
                next(iter(waiters)).connection_unavailable(Outcome.NOT_SENT)

    def limit_connections(self, max_connections: int) -> None:
        """Set the maximum number of connections. Those in use beyond it are not closed."""
        self._max_connections = max_connections

    def make_room(self) -> bool:
        """Whether one more connection may be opened; at the limit the longest idle one is closed for it."""
        max_open = self._max_connections - sum(self._connecting.values())
        self._open = {c for c in self._open if not c.closed} if len(self._open) >= max_open else self._open
        if len(self._open) < max_open:
            return True
        idle = [c for kept in self._idle.values() for c in kept]
        if not idle:
            return False
        self._discard(min(idle, key=lambda c: c.idle_since))
        return True

    def take_idle(self, member: Member) -> PooledConnection | None:
        """Take an idle connection that is safe to reuse out of the pool, or return None."""
        idle, now = self._idle.get(member.backend.id, []), self.clock.now()
        quiet_us = self._quiet_periods.period_us(member.backend.id)
        while (connection := next_idle(idle, now, quiet_us)) is not None:
            idle.remove(connection)
            within_idle_limit = now - connection.idle_since < self._idle_us
            if within_idle_limit and member.same_process(connection.member) and connection.usable():
                return connection
            self._discard(connection)
        return None

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection for reuse if its exchange is complete; close it otherwise."""
        http = connection.http
        complete = http.our_state is h11.DONE and http.their_state is h11.DONE
        member = connection.member
        listed = member.same_process(self.ready_member(member.backend.id))
        if listed and complete and buffered_length(http):  # a duplicate response, without delay
            self._quiet_periods.record_unsolicited(member.backend.id, 0)
        if connection.closed or not complete or not connection.written or buffered_length(http) or not listed:
            return self._discard(connection)
        http.start_next_cycle()
        connection.answered = True
        self._mark_idle(connection, self.clock.now())

    def _on_retire_timer(self, connection: PooledConnection) -> None:
        """Close an idle connection when it is due. The timer is not reset on each use, so the connection may
        have been used since it was set; then it is set again."""
        connection.retire_timer = None
        if connection not in self._idle.get(connection.member.backend.id, ()):
            return  # in use; a new timer is set when it becomes idle
        now = self.clock.now()
        if now < connection.idle_since + self._idle_us:
            self._schedule_retirement(connection, now)
        else:
            self._discard(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle.values()):
            for connection in list(idle):
                self._discard(connection)

    def _discard_idle(self, backend: BackendId) -> None:
        """Close a backend's idle connections and forget its duplicate responses."""
        self._quiet_periods.forget(backend)
        for connection in self._idle.pop(backend, []):
            self._discard(connection)

    def _discard(self, connection: PooledConnection) -> None:
        if connection.retire_timer is not None:
            connection.retire_timer.cancel()
        backend = connection.member.backend.id
        idle = self._idle.get(backend)
        if idle and connection in idle:
            idle.remove(connection)
        if connection.unsolicited:
            connection.unsolicited = False
            self._quiet_periods.record_unsolicited(backend, self.clock.now() - connection.idle_since)
        self._open.discard(connection)
        connection.drop()
