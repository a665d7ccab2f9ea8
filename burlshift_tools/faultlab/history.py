"""The history of a run: who, what, when. One JSON object a line; `e` names the kind of event.

All parts append to one file, each event by one write, so that lines of several processes never mix (POSIX,
write with O_APPEND). Times are microseconds of CLOCK_MONOTONIC, which is one for all processes of a machine.
"""

from __future__ import annotations

import os
import time
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct


def now_us() -> int:
    return time.monotonic_ns() // 1000


def digest(body: bytes) -> str:
    return blake2b(body, digest_size=8).hexdigest()


class Event(Struct, tag_field="e", kw_only=True, omit_defaults=True):
    """What all events of the history have in common: time and process."""

    t: int  # us
    who: str


class Begun(Event, kw_only=True, tag="begun"):
    """A process has been started; `life` counts the processes of one name from 0."""

    life: int
    pid: int
    unix_ms: int = 0  # of servers: what they give for their start; 0: long ago


class Ready(Event, kw_only=True, tag="ready"):
    """A process has passed its first health check."""

    life: int
    took_us: int


class Ended(Event, kw_only=True, tag="ended"):
    """A process has exited."""

    life: int
    status: int  # as of waitpid: below 0 the signal
    asked: bool  # the rig ended it, or had it end


class Stop(Event, kw_only=True, tag="stop"):
    """SIGTERM has gone to a process; SIGKILL comes `kill_us` later."""

    life: int
    kill_us: int


class Fault(Event, kw_only=True, tag="fault"):
    """A fault begins or ends at one part or path."""

    kind: str
    on: bool
    number: int  # of the fault in the scenario
    agents: list[str] = []
    servers: list[str] = []
    path: str = ""
    detail: dict[str, Any] = {}


class Asked(Event, kw_only=True, tag="asked"):
    """A client has written a request's last byte; t is when."""

    rid: str
    first: str  # the request whose try this is
    cls: int
    agent: str
    due: int  # when the client wanted to send the first try
    patience_us: int
    conn: int  # of this client, counted
    opened: int  # when that connection was up
    fresh: bool  # the first request on it
    port: int = 0  # the client's own


class Answered(Event, kw_only=True, tag="answered"):
    """A whole answer has come; t is its last byte."""

    rid: str
    status: int
    digest: str
    bytes: int


class Unanswered(Event, kw_only=True, tag="unanswered"):
    """No whole answer: `unreachable`, `closed`, `cut` (within the answer), `waited`."""

    rid: str
    how: str


class Departed(Event, kw_only=True, tag="departed"):
    """The client has gone before its answer: `close`, `half_close`, `reset`, or `gave_up` after its time;
    `upload_close` and so on: before its request's last byte."""

    rid: str
    how: str


class Surplus(Event, kw_only=True, tag="surplus"):
    """More than its one answer has come for a request."""

    rid: str
    bytes: int


class Sent(Event, kw_only=True, tag="sent"):
    """The head of an attempt has come from the agent to the relay next to it, whatever befalls it after."""

    rid: str
    agent: str
    server: str
    timeout_ms: int


class Unreached(Event, kw_only=True, tag="unreached"):
    """The relay accepted a client's connection and the agent did not: `port` is the client's."""

    agent: str
    port: int


class Reached(Event, kw_only=True, tag="reached"):
    """The agent's machine accepted a client's connection long after its relay did: `port` is the client's."""

    agent: str
    port: int


class Resent(Event, kw_only=True, tag="resent"):
    """The agent closed a used connection across a request; the client sends that once more (PROTOCOL)."""

    rid: str


class Got(Event, kw_only=True, tag="got"):
    """A request's last byte has come to a server, and so the attempt counts; `began` is its first byte."""

    rid: str
    life: int
    agent: str
    began: int
    conn: int


class Turned(Event, kw_only=True, tag="turned"):
    """A server has turned an attempt away: it never ran."""

    rid: str
    life: int


class Gave(Event, kw_only=True, tag="gave"):
    """A server has written an answer; `whole` is false where it was made to spoil it."""

    rid: str
    life: int
    status: int
    digest: str
    whole: bool = True
    bytes: int = 0


class Left(Event, kw_only=True, tag="left"):
    """The connection of an attempt ended before its answer."""

    rid: str
    life: int


class Fell(Event, kw_only=True, tag="fell"):
    """A cold server fell over; `pressure` is what came within the window: agent, when, work in us."""

    life: int
    pressure: list[tuple[str, int, float]]


class Listed(Event, kw_only=True, tag="listed"):
    """Discovery's own list has changed: id, phase, start in Unix ms of each changed entry."""

    revision: int
    members: list[tuple[str, str, int]]


class Called(Event, kw_only=True, tag="called"):
    """An agent has called discovery; index None: for the whole list."""

    agent: str
    index: int | None = None
    wait_ms: int = 0


class Told(Event, kw_only=True, tag="told"):
    """Discovery has written an answer to an agent."""

    agent: str
    revision: int
    complete: bool
    members: list[tuple[str, str, int]]
    whole: bool = True


class Heard(Event, kw_only=True, tag="heard"):
    """A reader of the list service and its followers was told this: id and phase of each member."""

    revision: int
    identity: str
    complete: bool
    members: list[tuple[str, str]]


class Kept(Event, kw_only=True, tag="kept"):
    """The whole list of the list service at the end: id and phase."""

    revision: int
    members: list[tuple[str, str]]


class Door(Event, kw_only=True, tag="door"):
    """A call at an agent's door; `asked` is when it was sent; an answer that never came is empty."""

    life: int
    call: str
    answer: str
    asked: int


class Health(Event, kw_only=True, tag="health"):
    """What `/_health` said to the front; status 0: no answer."""

    status: int


class Open(Event, kw_only=True, tag="open"):
    """Descriptors that a process held."""

    life: int
    count: int
    when: str  # ready, end


class Memory(Event, kw_only=True, tag="memory"):
    """The most that the processes of an agent have held together so far, in bytes; over the limit they are
    killed."""

    anonymous: int  # memory of their own, with what $TMPDIR holds
    resident: int  # with the program's files, counted once for each process
    limit: int
    processes: int


class Logged(Event, kw_only=True, tag="logged"):
    """Tracebacks that an agent's processes left in their log, and the first one's last line."""

    tracebacks: int
    first: str


class Late(Event, kw_only=True, tag="late"):
    """A part of the rig had its processor this much too late."""

    late_us: int


class Usage(Event, kw_only=True, tag="usage"):
    """Processor time that a process has used in all."""

    cpu_us: int


AnyEvent = (
    Begun
    | Ready
    | Ended
    | Stop
    | Fault
    | Asked
    | Answered
    | Unanswered
    | Departed
    | Surplus
    | Sent
    | Unreached
    | Reached
    | Resent
    | Got
    | Turned
    | Gave
    | Left
    | Fell
    | Listed
    | Called
    | Told
    | Heard
    | Kept
    | Door
    | Health
    | Open
    | Memory
    | Logged
    | Late
    | Usage
)


class HistoryError(Exception):
    """A history cannot be read; the text is one line."""


class Writer:
    """Appends events for one part."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._encoder = msgspec.json.Encoder()

    def write(self, event: Event) -> None:
        os.write(self._file, self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        os.close(self._file)


def read(path: Path) -> list[AnyEvent]:
    """All events in the order of their times; a last line that is not whole, of a rig that was killed, is
    left out. Raises HistoryError."""
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as e:
        raise HistoryError(f"{path}: {e.strerror}; name a directory that `run -o` wrote") from None
    decoder = msgspec.json.Decoder(AnyEvent)
    events = []
    for number, line in enumerate(lines[:-1], 1):
        try:
            events.append(decoder.decode(line))
        except msgspec.DecodeError as e:
            raise HistoryError(f"{path}:{number}: {e}; play the run again") from None
    events.sort(key=lambda event: event.t)
    return events
