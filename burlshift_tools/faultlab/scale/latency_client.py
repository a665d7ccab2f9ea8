"""An open-loop client: what is due is sent when it is due, whatever became of what came before.

`python -m burlshift_tools.faultlab.scale.latency_client`: a process of its own, without an event loop, whose
timers would be of whole milliseconds (select(2) waits in microseconds). Each order is a block of arrivals
drawn ahead, and latency counts from the intended moment: nothing is omitted while an answer is awaited
(Tene's coordinated omission). Ends with its standard input.
"""

from __future__ import annotations

import gc
import select
import socket
import sys
import time

import msgspec

from burlshift_tools.faultlab.scale.latency_standin import Place, say, whole_message

LATE_NS = 1_000_000  # sent so long after it was due, the client itself was late
LEAD_NS = 20_000_000  # from an order to the first moment that can be due
GRACE_S = 5.0  # for answers after the last was sent
SELECTABLE = 1000  # select(2) takes no descriptor from 1,024 on


class Arrival(msgspec.Struct, array_like=True):
    """A request of the schedule."""

    at_us: int  # from the block's start
    target: int


class Target(msgspec.Struct, kw_only=True):
    """One way to be measured."""

    places: list[Place]  # called in turn
    request: str  # with {rid} for its id
    name: str  # its ids begin with it


class Block(msgspec.Struct, kw_only=True):
    """An order."""

    targets: list[Target]
    arrivals: list[Arrival]  # by time


class Taken(msgspec.Struct, kw_only=True):
    """What came of the calls of one target."""

    us: list[int] = msgspec.field(default_factory=list)  # of answers 200, from when each was due
    late: int = 0  # sent too late by the client itself; not among the others
    failed: int = 0  # another status, or no answer


class Conn:
    """A connection; one call at a time."""

    def __init__(self, place: Place) -> None:
        self.place = place
        self.socket = socket.create_connection(place, timeout=GRACE_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.got = bytearray()
        self.due = 0
        self.late = False
        self.taken = Taken()

    def gone(self) -> bool:
        """Whether the other side has closed it, as far as the kernel knows."""
        return bool(select.select([self.socket], [], [], 0)[0])


class Client:
    """The connections of all targets; kept from block to block."""

    def __init__(self) -> None:
        self._spare: dict[Place, list[Conn]] = {}
        self._turn = self._sent = 0

    def run(self, block: Block) -> list[Taken]:
        """Returns once all is answered, or GRACE_S after the last was sent."""
        taken = [Taken() for _ in block.targets]
        busy: dict[socket.socket, Conn] = {}
        start = time.monotonic_ns() + LEAD_NS
        coming = iter(block.arrivals)
        arrival = next(coming, None)
        until = 0
        while arrival is not None or busy:
            now = time.monotonic_ns()
            if arrival is not None:
                due = start + arrival.at_us * 1000
                if due <= now:
                    conn = self._send(block.targets[arrival.target], taken[arrival.target], due)
                    if conn is not None:
                        busy[conn.socket] = conn
                    arrival = next(coming, None)
                    until = time.monotonic_ns() + int(GRACE_S * 1e9)
                    continue
            else:
                due = until
                if now >= until:
                    break
            for ready in select.select(list(busy), [], [], (due - now) / 1e9)[0]:
                self._read(busy, busy[ready])
        for conn in busy.values():
            conn.taken.failed += 1
            conn.socket.close()
        return taken

    def _send(self, target: Target, taken: Taken, due: int) -> Conn | None:
        self._turn += 1
        self._sent += 1
        place = target.places[self._turn % len(target.places)]
        late = time.monotonic_ns() - due > LATE_NS
        try:
            conn = self._connection(place)
            conn.due, conn.late, conn.taken = due, late, taken
            conn.socket.sendall(target.request.format(rid=f"{target.name}-{self._sent}").encode())
        except OSError:
            taken.failed += 1
            return None
        return conn

    def _connection(self, place: Place) -> Conn:
        spare = self._spare.setdefault(place, [])
        while spare:
            conn = spare.pop()
            if not conn.gone():
                return conn
            conn.socket.close()
        conn = Conn(place)
        if conn.socket.fileno() >= SELECTABLE:
            conn.socket.close()
            raise OSError("too many connections at once")
        return conn

    def _read(self, busy: dict[socket.socket, Conn], conn: Conn) -> None:
        try:
            data = conn.socket.recv(65536)
        except OSError:
            data = b""
        now = time.monotonic_ns()
        conn.got += data
        message = whole_message(conn.got)
        if data and message is None:
            return
        del busy[conn.socket]
        if message is None or not message[0].startswith(b"HTTP/1.1 200"):
            conn.taken.failed += 1
        elif conn.late:
            conn.taken.late += 1
        else:
            conn.taken.us.append((now - conn.due) // 1000)
        if message is None:
            conn.socket.close()
            return
        del conn.got[: message[1]]
        self._spare[conn.place].append(conn)


def main() -> None:
    client, decoder = Client(), msgspec.json.Decoder(Block)
    for line in sys.stdin.buffer:
        block = decoder.decode(line)
        gc.collect()
        gc.freeze()
        say(msgspec.json.encode({"taken": client.run(block)}))


if __name__ == "__main__":
    main()
