"""The datagram channel to the other agents: limits what is sent, checks what is received, runs `Membership`.

Client requests take precedence: the datagrams read per event are bounded, those over the budget are not sent,
and nothing is queued. The protocol's timer waits while the budget is overdrawn, so that a probe held back
counts as a pause of this process and raises no suspicion of others.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

from burlshift.membership.messages import Action, AliveEstimate, Send, StatusChanged
from burlshift.membership.record import Status
from burlshift.membership.swim import Membership
from burlshift.membership.wire import MAX_DATAGRAM_BYTES, DecodeError, Wire

from .clock import Clock
from .listing import Address
from .peers_config import PeersConfig

log = logging.getLogger(__name__)

# Share of the goal that datagrams may cost, at the settings' price of 256 bytes a request.
MAX_GOAL_SHARE = 0.002
IDLE_BYTES_PER_S = 256.0  # allowed without requests too, as an agent that sends nothing is declared dead
BURST_BYTES = 8192.0  # the most that can be saved; also the initial balance, when no peer is known
MAX_DEBT_BYTES = 2048.0  # limit of the overdraft; replies may use it, so that this agent is not suspected
MAX_DATAGRAMS_PER_READ = 32  # per readable event
MAX_DATAGRAMS_PER_PEER_S = 40  # accepted from one peer per second
US_PER_MS = 1000
SECOND_US = 1_000_000
BIND_RETRY_S = 0.5  # the previous process may still hold the address
STATUS_LOG_DELAY_S = 1.0  # status changes within this time are logged in one line
MAX_LOGGED_MEMBERS = 20  # per status in one line
DATAGRAM_PRICE_BYTES = 256  # per request, the unit of the price in the settings


class Budget:
    """Bytes that may be sent: a number for each request, and a constant rate."""

    def __init__(self, price: float, now: int) -> None:
        self._bytes_per_request = (
            min(BURST_BYTES, MAX_GOAL_SHARE * DATAGRAM_PRICE_BYTES / price) if price else BURST_BYTES
        )
        self._balance, self._updated_at = BURST_BYTES, now

    def request(self) -> None:
        """Add the bytes that one request allows."""
        self._balance = min(BURST_BYTES, self._balance + self._bytes_per_request)

    def level(self, now: int) -> float:
        """The balance in bytes at the time `now`; negative if overdrawn."""
        accrued_bytes = (now - self._updated_at) / SECOND_US * IDLE_BYTES_PER_S
        self._balance, self._updated_at = min(BURST_BYTES, self._balance + accrued_bytes), now
        return self._balance

    def spend(self, byte_count: int) -> None:
        """Subtract what was sent."""
        self._balance -= byte_count


class Peers:
    """This agent as a member of the fleet, from `start` to `stop`."""

    def __init__(self, config: PeersConfig, clock: Clock, random: Callable[[], float]) -> None:
        self._config, self._clock = config, clock
        self._wire = Wire(config.fleet, len(config.peers), config.key)
        start = clock.to_unix_ms(clock.now())
        self.membership = Membership(config.me, len(config.peers), start, random)
        self._budget = Budget(config.price, clock.now())
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._received_per_second: dict[int, tuple[int, int]] = {}  # by peer: second, datagrams in it
        self._unlogged_changes: list[StatusChanged] = []
        # sent, sent_bytes, received, held_back, unsendable, binds_failed, dropped_<reason>
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Bind the address, and retry while that fails, as when another process holds it."""
        try:
            sock = self._open_socket()
        except OSError as error:
            if not self.counts["binds_failed"]:
                log.warning(
                    "cannot bind the address for peers %s:%d, will retry: %s",
                    self._config.listen.host,
                    self._config.listen.port,
                    error.strerror,
                )
            self.counts["binds_failed"] += 1
            self._timer = self._loop.call_later(BIND_RETRY_S, self.start)
            return
        self._socket = sock
        self._loop.add_reader(sock, self._on_readable)
        self._apply(self.membership.begin(self._clock.now()))
        self._set_timer()

    def _open_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind((self._config.listen.host, self._config.listen.port))
        except BaseException:
            sock.close()
            raise
        return sock

    def stop(self, leave: bool) -> None:
        """Close the socket. `leave`: no other process takes over, and peers are notified."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is None:
            return
        if leave:
            self._apply(self.membership.leave(self._clock.now()))
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def request(self) -> None:
        """Count a client request towards the budget."""
        self._budget.request()

    def alive_estimate(self) -> AliveEstimate:
        """Bounds on the number of agents alive."""
        return self.membership.alive_estimate(self._clock.now())

    def levels(self) -> dict[str, tuple[int, str]]:
        """Metrics by name, each with its type: counter (`c`) or gauge (`g`)."""
        estimate, counts = self.alive_estimate(), self.counts
        dropped = sum(n for name, n in counts.items() if name.startswith("dropped"))
        return {
            "agents_alive": (estimate.low, "g"),
            "agents_possible": (estimate.high, "g"),
            "agents_heard_age_ms": (estimate.age_us // US_PER_MS, "g"),
            "agents_local_health": (self.membership.local_health, "g"),
            "peers_sent": (counts["sent"], "c"),
            "peers_sent_bytes": (counts["sent_bytes"], "c"),
            "peers_received": (counts["received"], "c"),
            "peers_dropped": (dropped, "c"),
            "peers_held_back": (counts["held_back"], "c"),
        }

    # Timer

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait_us = max(0, self.membership.next_tick_at - self._clock.now())
        missing_bytes = -self._budget.level(self._clock.now())
        if missing_bytes > 0:
            wait_us = max(wait_us, int(missing_bytes / IDLE_BYTES_PER_S * SECOND_US))
        if not self.membership.inactive:
            self._timer = self._loop.call_later(wait_us / SECOND_US, self._on_timer)

    def _on_timer(self) -> None:
        if self._budget.level(self._clock.now()) >= 0:
            self._apply(self.membership.tick(self._clock.now()))
        self._set_timer()

    # Receiving

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                break  # nothing to read, or the error of an earlier datagram that was not delivered
            self._receive(data, Address(source[0], source[1]))
        self._set_timer()

    def _receive(self, data: bytes, source: Address) -> None:
        now = self._clock.now()
        try:
            message = self._wire.unpack(data)
        except DecodeError as error:
            self.counts[f"dropped_{error}"] += 1
            return
        if self._config.peers[message.sender] != source:
            self.counts["dropped_source"] += 1
            return
        second, count = self._received_per_second.get(message.sender, (0, 0))
        count = count + 1 if second == now // SECOND_US else 1
        self._received_per_second[message.sender] = (now // SECOND_US, count)
        if count > MAX_DATAGRAMS_PER_PEER_S:
            self.counts["dropped_too_many"] += 1
            return
        self.counts["received"] += 1
        self._apply(self.membership.receive(now, message))

    # Sending

    def _apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            else:
                self._record_change(action)

    def _send(self, action: Send) -> None:
        if self._socket is None or self._budget.level(self._clock.now()) < -MAX_DEBT_BYTES:
            self.counts["held_back"] += 1
            return
        data, to = self._wire.pack(action.message), self._config.peers[action.to]
        self._budget.spend(len(data))
        try:
            self._socket.sendto(data, (to.host, to.port))
        except OSError:
            self.counts["unsendable"] += 1  # lost, as any datagram may be
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def _record_change(self, change: StatusChanged) -> None:
        if not self._unlogged_changes:
            self._loop.call_later(STATUS_LOG_DELAY_S, self._log_changes)
        self._unlogged_changes.append(change)

    def _log_changes(self) -> None:
        changes, self._unlogged_changes = self._unlogged_changes, []
        latest = {change.member: change.status for change in changes}
        by_status = {status: sorted(m for m, s in latest.items() if s is status) for status in Status}
        text = "; ".join(
            f"{s.name.lower()}: {_format_members(members)}" for s, members in by_status.items() if members
        )
        estimate = self.alive_estimate()
        log.info(
            "agents: %d to %d of %d alive; %s", estimate.low, estimate.high, len(self._config.peers), text
        )


def _format_members(members: list[int]) -> str:
    return " ".join(map(str, members[:MAX_LOGGED_MEMBERS])) + (
        " ..." if len(members) > MAX_LOGGED_MEMBERS else ""
    )
