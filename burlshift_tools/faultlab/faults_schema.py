"""The faults of a scenario beyond the emulator's troubles: one struct for each kind, told apart by `what`.

`at_s` and `len_s` are seconds of the run's clock. `agents` and `servers` are shares; which ones are struck
follows from scenario and seed. A share of 0 strikes none, any other at least one.
"""

from __future__ import annotations

from typing import Annotated, Literal, get_args

from msgspec import Meta, Struct

from burlshift_tools.emulator.units import Count, NonNegative, Share

Path = Literal["clients", "servers", "discovery", "peers", "leader"]  # leader: from followers to it
Direction = Literal["both", "to", "from"]  # to: as requests go; from: as answers do


class Fault(Struct, forbid_unknown_fields=True, kw_only=True, tag_field="what"):
    """What all faults have in common: time, length and share of the agents."""

    at_s: NonNegative
    len_s: NonNegative = 0.0
    agents: Share = 1.0


class Link(Fault, kw_only=True, tag="link"):
    """What passes between two parts is late, scarce, spoilt or does not pass."""

    path: Path = "servers"
    direction: Direction = "both"
    servers: Share = 1.0
    cut: bool = False  # nothing passes and nothing is said; new connections never come up
    delay_ms: NonNegative = 0.0
    spread_ms: NonNegative = 0.0  # mean of an exponential beyond the delay
    loss: Share = 0.0  # of the pieces; over TCP such a piece comes a retransmission later
    bytes_per_s: NonNegative = 0.0  # 0: no limit
    corrupt: Share = 0.0  # of the pieces have a byte changed
    duplicate: Share = 0.0  # of the datagrams come twice
    reorder: Share = 0.0  # of the datagrams come after the next one
    split: bool = False  # of datagrams: only between those that are struck and the others


class Reset(Fault, kw_only=True, tag="reset"):
    """Connections are reset: all open ones now, or each as its next message passes."""

    path: Path = "servers"
    servers: Share = 1.0
    when: Literal["now", "before", "after"] = "now"  # before, after: the next piece sent by the agent


class HalfOpen(Fault, kw_only=True, tag="half_open"):
    """One side of each open connection has gone, and the other never hears of it."""

    path: Path = "servers"
    servers: Share = 1.0


class HoldUp(Fault, kw_only=True, tag="hold_up"):
    """SIGSTOP for a moment, again and again: an agent that is not given the processor."""

    longest_ms: Annotated[float, Meta(gt=0, le=150)] = 130.0
    every_ms: Annotated[float, Meta(ge=400)] = 700.0


class Pause(Fault, kw_only=True, tag="pause"):
    """SIGSTOP, and SIGCONT when the time is up."""

    of: Literal["agents", "servers", "discovery", "followers"] = "agents"
    servers: Share = 1.0
    follower: Annotated[int, Meta(ge=0)] = 0  # which of them


class Kill(Fault, kw_only=True, tag="kill"):
    """The process ends, and is started again when the time is up."""

    of: Literal["agents", "servers", "discovery", "followers"] = "agents"
    servers: Share = 1.0
    follower: Annotated[int, Meta(ge=0)] = 0
    signal: Literal["KILL", "TERM"] = "KILL"
    keep: bool = False  # what it kept in $TMPDIR is there again


class Descriptors(Fault, kw_only=True, tag="descriptors"):
    """The agent can open no more descriptors than it has, and a few."""

    spare: Annotated[int, Meta(ge=0)] = 0


class Busy(Fault, kw_only=True, tag="busy"):
    """Another program takes a share of the one core that the agent runs on."""

    share: Share = 0.5


class UnixTime(Fault, kw_only=True, tag="unix_time"):
    """The wall clock of the agents' machines jumps; their monotonic clocks run on."""

    jump_s: float = 3600.0


class Disk(Fault, kw_only=True, tag="disk"):
    """What the agent keeps in $TMPDIR is spoilt, or cannot be written."""

    how: Literal["full", "read_only", "byte", "cut", "older"] = "byte"


class Lists(Fault, kw_only=True, tag="lists"):
    """Discovery says nothing, half of it, late, or what it said some revisions ago."""

    how: Literal["silent", "partial", "late", "older"] = "silent"
    late_s: NonNegative = 2.0
    back: Count = 2  # revisions


class Reload(Fault, kw_only=True, tag="reload"):
    """SIGHUP after the file has been given the other address of discovery, or has been spoilt."""

    lacks: Share = 0.0  # of the servers are missing from the list there
    spoilt: bool = False
    times: Count = 1  # one after the other, each to the other address
    gap_ms: NonNegative = 100.0


class Upgrade(Fault, kw_only=True, tag="upgrade"):
    """A second process is started beside the agent's; `len_s` is how long one that is struck stays so."""

    strike: Literal["none", "pause_old", "kill_old", "cut_off", "kill_new", "pause_new"] = "none"
    after_ms: NonNegative = 100.0  # from the start of the new process to the strike
    detach_first: Annotated[int, Meta(ge=0)] = 0  # servers taken out at the door before


class LameDuck(Fault, kw_only=True, tag="lame_duck"):
    """LAMEDUCK at the door, REJOIN when the time is up. A front that is deaf sends clients all the same."""

    deaf_front: bool = False


class Detach(Fault, kw_only=True, tag="detach"):
    """Servers are taken out at the door, restarted, and put back when the time is up."""

    servers: Share = 0.1
    restart: bool = True


class Spoilt(Fault, kw_only=True, tag="spoilt"):
    """Some servers answer with what is no answer."""

    servers: Share = 0.2
    how: Literal[
        "cut_off",
        "garbage",
        "two_lengths",
        "endless",
        "second",
        "reset",
        "half_reset",
        "half_hang",
        "no_length",
        "no_length_reset",
    ] = "cut_off"
    part: Share = 0.3  # of their answers


class ShortIdle(Fault, kw_only=True, tag="short_idle"):
    """Servers close connections that have been idle for so long, just as a request may go out."""

    servers: Share = 0.5
    idle_ms: NonNegative = 50.0


class SlowAccept(Fault, kw_only=True, tag="slow_accept"):
    """Servers do not come to their new connections: these are up, and nothing reads from them."""

    servers: Share = 0.5


class Restless(Fault, kw_only=True, tag="restless"):
    """Clients leave before their answer, and some send a new request at once."""

    part: Share = 0.3  # of the tries
    how: Literal["any", "close", "half_close", "reset"] = "any"
    when: Literal["any", "waiting", "uploading", "ahead"] = "any"  # ahead: behind bytes beyond the request
    within_ms: NonNegative = 300.0
    again: bool = False


class ShortTime(Fault, kw_only=True, tag="short_time"):
    """Clients have little time left for some of their tries."""

    part: Share = 0.5
    time_ms: Annotated[float, Meta(ge=1)] = 50.0


class BadClients(Fault, kw_only=True, tag="bad_clients"):
    """Peers that send what is no request, or half of one, or much, and go or stay."""

    per_s: Annotated[float, Meta(gt=0, le=100)] = 10.0


CrowdKind = Literal[
    "stopped_body",
    "stopped_small_body",
    "stopped_chunks",
    "stopped_fields",
    "slow_writer",
    "slow_reader",
    "ahead",
    "whole",
    "idle",
    "mixed",
]
CROWD_KINDS: tuple[CrowdKind, ...] = tuple(kind for kind in get_args(CrowdKind) if kind != "mixed")


class Hostile(Fault, kw_only=True, tag="hostile"):
    """Clients that come all at once, hold what they can of the agent, and come back when they are closed."""

    kind: CrowdKind = "mixed"
    clients: Annotated[int, Meta(ge=1, le=2000)] = 465


class Lie(Fault, kw_only=True, tag="lie"):
    """What these agents tell their peers is no longer true.

    All others are dead, by the numbers that they have and now and then by huge ones; the teller's own
    incarnation is huge, its sequence from the future.
    """


AnyFault = (
    Link
    | Reset
    | HalfOpen
    | Pause
    | Kill
    | Descriptors
    | Busy
    | UnixTime
    | Disk
    | Lists
    | Reload
    | Upgrade
    | LameDuck
    | Detach
    | Spoilt
    | Lie
    | HoldUp
    | ShortIdle
    | SlowAccept
    | Restless
    | ShortTime
    | BadClients
    | Hostile
)
HABITS = (Restless, ShortTime, BadClients)  # of clients
Habit = Restless | ShortTime | BadClients
