"""Adapter to the simulator: binary frames on standard input and output, many balancers in one process.

Run as ``python -m burlshift.balancing.simulator_adapter``. Invalid input gives one line on standard error and
exit status 2. A frame is a header, records of EVENT_SIZE bytes, and a tail of variable-length data that
records refer to by offset and length.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from . import interface
from .logic import Balancer
from .settings import SettingsError, settings_from

HEADER = struct.Struct(">QII")  # clock, frame length, number of records
REPLY_HEADER = struct.Struct(">II")  # reply length, number of records
EVENT_SIZE, ENTRY_SIZE = 48, 24  # bytes of an event record and of a list entry
ENTRY = struct.Struct(">6sHBHBfQ")
INSTANCE = struct.Struct(">H")
SPAWN = struct.Struct(">HQII")
DISCOVERY = struct.Struct(">HQBB")
REQUEST = struct.Struct(">HQIIQHBI")
STREAM = struct.Struct(">HQH6sI")
ENDED = struct.Struct(">HQBHI6sHB4f")
CLIENT_GONE = struct.Struct(">HQ")
PROBED = struct.Struct(">H6sHIB4f")
PEER = struct.Struct(">HHII")
DEFINE_LIST = struct.Struct(">BII")

SEND = struct.Struct(">BHQI6s3x")
REFUSE = struct.Struct(">BHQI9x")
FAIL = struct.Struct(">BHQ13x")
CANCEL = struct.Struct(">BHQH11x")
TIMER = struct.Struct(">BHIQ9x")
PROBE = struct.Struct(">BH6s15x")
TELL = struct.Struct(">BHHII11x")
TEXT = struct.Struct(">BHII13x")
WATCH = struct.Struct(">BHB20x")
FETCH = struct.Struct(">BH21x")

SPAWN_CODE, DISCOVERY_CODE, PEER_CODE, CRASH_CODE, LIST_CODE, EXCEPTION_CODE = 10, 20, 90, 100, 110, 100

OUTCOMES = {
    0: interface.Outcome.OK,
    255: interface.Outcome.ERROR,
    254: interface.Outcome.REJECTED,
    253: interface.Outcome.TIMEOUT,
    252: interface.Outcome.CONNECT_FAILED,
    251: interface.Outcome.RESET,
    250: interface.Outcome.CANCELLED,
    249: interface.Outcome.NOT_SENT,
}
STATES = {0: interface.State.GONE, 1: interface.State.READY, 2: interface.State.DRAINING}
LIST_KINDS = {
    0: interface.ListKind.CACHED,
    1: interface.ListKind.DELTA,
    2: interface.ListKind.FULL,
    4: interface.ListKind.FAILED,
}
COST_FLAG, RETRY_FLAG = 1, 2  # of a request record: the cost field is valid; the request is a retry
U32_MAX = 0xFFFFFFFF


class WireError(Exception):
    """The input violates the protocol; the message says what is wrong and where."""


class BalancerHost:
    """All balancers of this process by instance number, and the backend lists that events refer to."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[interface.Backend]] = {}

    def process_frame(self, frame: bytes) -> bytes:
        """Return the reply to one complete frame. Raises WireError."""
        now, _, count = HEADER.unpack_from(frame)
        tail_start = HEADER.size + count * EVENT_SIZE
        if tail_start > len(frame):
            raise WireError(f"frame at clock {now}: {count} records do not fit its {len(frame)} bytes")
        replies: list[bytes] = []
        texts = bytearray()
        for position in range(HEADER.size, tail_start, EVENT_SIZE):
            code = frame[position]
            try:
                if code == LIST_CODE:
                    self.define_list(frame, position, tail_start)
                    continue
                (instance,) = INSTANCE.unpack_from(frame, position + 1)
                if code == SPAWN_CODE:
                    self.spawn(frame, position, tail_start)
                    continue
                balancer = self.balancers.get(instance)
                if balancer is None:
                    raise WireError(f"event {code} for instance {instance}, which is not running")
                if code == CRASH_CODE:
                    del self.balancers[instance]
                    continue
                if code == DISCOVERY_CODE:
                    event: interface.Event = self.discovery(frame, position)
                elif code == PEER_CODE:
                    event = self.peer(frame, position, tail_start)
                elif code in DECODERS:
                    event = DECODERS[code](frame, position + 1)
                else:
                    raise WireError(f"unknown event code {code}")
            except WireError as error:
                raise WireError(f"frame at clock {now}, byte {position}: {error}") from None
            except (KeyError, ValueError) as error:
                raise WireError(f"frame at clock {now}, byte {position}: bad value {error}") from None
            try:
                actions = balancer.handle(now, event)
            except Exception as error:  # reported to the simulator
                actions = []
                text = f"{type(error).__name__}: {error}".encode()
                replies.append(TEXT.pack(EXCEPTION_CODE, instance, len(texts), len(text)))
                texts += text
            for action in actions:
                replies.append(ENCODERS[type(action)](instance, action, texts))
        body = b"".join(replies)
        return REPLY_HEADER.pack(REPLY_HEADER.size + len(body) + len(texts), len(replies)) + body + texts

    def tail_position(self, frame: bytes, tail_start: int, offset: int, size: int) -> int:
        """Position in the frame of `size` bytes at `offset` of the tail. Raises WireError if out of range."""
        if tail_start + offset + size > len(frame):
            raise WireError(f"offset {offset} and length {size} lie beyond the tail")
        return tail_start + offset

    def spawn(self, frame: bytes, position: int, tail_start: int) -> None:
        """Start a balancer with the settings in the tail. Raises WireError if they are invalid."""
        instance, seed, offset, size = SPAWN.unpack_from(frame, position + 1)
        start = self.tail_position(frame, tail_start, offset, size)
        try:
            document = json.loads(frame[start : start + size])
        except ValueError as error:
            raise WireError(f"settings: not JSON: {error}") from None
        if not isinstance(document, dict):
            raise WireError("settings: not an object")
        try:
            self.balancers[instance] = Balancer(settings_from(document), seed)
        except SettingsError as error:
            raise WireError(str(error)) from None

    def define_list(self, frame: bytes, position: int, tail_start: int) -> None:
        """Store the list in the tail under its number. Raises WireError, or KeyError for an unknown state."""
        number, offset, entries = DEFINE_LIST.unpack_from(frame, position + 1)
        start = self.tail_position(frame, tail_start, offset, entries * ENTRY_SIZE)
        self.lists[number] = [
            interface.Backend(backend_id, STATES[state], zone, cell, kind, hint, started)
            for backend_id, zone, kind, cell, state, hint, started in ENTRY.iter_unpack(
                frame[start : start + entries * ENTRY_SIZE]
            )
        ]

    def peer(self, frame: bytes, position: int, tail_start: int) -> interface.PeerMessage:
        """Decode a peer message, whose payload is in the tail. Raises WireError."""
        _, sender, offset, size = PEER.unpack_from(frame, position + 1)
        start = self.tail_position(frame, tail_start, offset, size)
        return interface.PeerMessage(sender, frame[start : start + size])

    def discovery(self, frame: bytes, position: int) -> interface.BackendsChanged:
        """Decode a list change. Raises WireError for an undefined list, KeyError for an unknown kind."""
        _, _, number, kind_code = DISCOVERY.unpack_from(frame, position + 1)
        kind = LIST_KINDS[kind_code]
        if kind is interface.ListKind.FAILED:
            return interface.BackendsChanged(kind, [])
        if number not in self.lists:
            raise WireError(f"list {number} was never defined")
        return interface.BackendsChanged(kind, self.lists[number])


def _request_arrived(frame: bytes, position: int) -> interface.Event:
    _, request, tenant, patience, key, request_class, flags, cost_field = REQUEST.unpack_from(frame, position)
    cost = cost_field if flags & COST_FLAG else 0
    return interface.RequestArrived(
        request, request_class, patience, tenant, key, cost, bool(flags & RETRY_FLAG)
    )


def _attempt_ended(frame: bytes, position: int) -> interface.Event:
    (
        _,
        request,
        finished,
        attempt,
        latency_us,
        backend,
        outcome_code,
        report_size,
        report_1,
        report_2,
        report_3,
        report_4,
    ) = ENDED.unpack_from(frame, position)
    return interface.AttemptEnded(
        request,
        attempt,
        backend,
        OUTCOMES[outcome_code],
        latency_us,
        finished != 0,
        (report_1, report_2, report_3, report_4)[:report_size],
    )


def _stream_started(frame: bytes, position: int) -> interface.Event:
    _, request, attempt, _backend, latency_us = STREAM.unpack_from(frame, position)
    return interface.StreamStarted(request, attempt, latency_us)


def _client_gone(frame: bytes, position: int) -> interface.Event:
    return interface.ClientGone(CLIENT_GONE.unpack_from(frame, position)[1])


def _timer_fired(frame: bytes, position: int) -> interface.Event:
    return interface.TimerFired(CLIENT_GONE.unpack_from(frame, position)[1])


def _probe_ended(frame: bytes, position: int) -> interface.Event:
    _, backend, outcome_code, latency_us, report_size, report_1, report_2, report_3, report_4 = (
        PROBED.unpack_from(frame, position)
    )
    return interface.ProbeEnded(
        backend, OUTCOMES[outcome_code], latency_us, (report_1, report_2, report_3, report_4)[:report_size]
    )


DECODERS: dict[int, Callable[[bytes, int], interface.Event]] = {
    30: _request_arrived,
    40: _stream_started,
    50: _attempt_ended,
    60: _client_gone,
    70: _timer_fired,
    80: _probe_ended,
}


def _text(code: int, instance: int, text: str, texts: bytearray) -> bytes:
    encoded = text.encode()
    texts += encoded
    return TEXT.pack(code, instance, len(texts) - len(encoded), len(encoded))


def _tell(instance: int, action: interface.Tell, texts: bytearray) -> bytes:
    texts += action.payload
    return TELL.pack(80, instance, action.peer, len(texts) - len(action.payload), len(action.payload))


ENCODERS: dict[type, Callable[[int, Any, bytearray], bytes]] = {
    interface.Send: lambda i, a, _t: SEND.pack(10, i, a.request, min(a.timeout_us, U32_MAX), a.backend),
    interface.Refuse: lambda i, a, _t: REFUSE.pack(20, i, a.request, min(a.retry_after_us, U32_MAX)),
    interface.Fail: lambda i, a, _t: FAIL.pack(30, i, a.request),
    interface.Cancel: lambda i, a, _t: CANCEL.pack(40, i, a.request, a.attempt),
    interface.SetTimer: lambda i, a, _t: TIMER.pack(50, i, min(a.delay_us, U32_MAX), a.token),
    interface.Probe: lambda i, a, _t: PROBE.pack(60, i, a.backend),
    interface.Tell: _tell,
    interface.Log: lambda i, a, t: _text(90, i, a.text, t),
    interface.Watch: lambda i, _a, _t: WATCH.pack(110, i, 1),
    interface.Fetch: lambda i, _a, _t: FETCH.pack(120, i),
}


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to frames until the input ends, flushing each reply. Raises WireError."""
    host = BalancerHost()
    while True:
        header = source.read(HEADER.size)
        if not header:
            return
        if len(header) < HEADER.size:
            raise WireError(f"input ends inside a frame header, {len(header)} of {HEADER.size} bytes")
        now, size, _ = HEADER.unpack(header)
        if size < HEADER.size:
            raise WireError(f"frame at clock {now}: length {size} is less than its header")
        body = source.read(size - HEADER.size)
        if len(body) < size - HEADER.size:
            raise WireError(f"frame at clock {now}: input ends {size - HEADER.size - len(body)} bytes early")
        sink.write(host.process_frame(header + body))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit status, 2 for invalid input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"burlshift: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
