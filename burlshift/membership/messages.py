"""Messages between members, and the actions of the protocol. `wire.py` has the encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .record import Record, Status


class Kind(IntEnum):
    """The kinds of datagrams, as numbered on the wire."""

    PING = 1  # the receiver replies with ACK
    ACK = 2  # reply with the sequence number of a PING, or of an ASK whose PING was acknowledged
    ASK = 3  # request to ping `about` for the sender (SWIM, ping-req)
    NACK = 4  # reply to an ASK: the member has not acknowledged yet, the helper is alive (Lifeguard, 4.1)
    LEAVE = 5  # the sender is about to end, and must not be suspected


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The sender's record of a member, piggybacked on a message."""

    member: int
    record: Record


@dataclass(frozen=True, slots=True)
class Message:
    """A datagram, decoded.

    `start` and `incarnation` are the sender's own: each message is evidence that the sender is alive.
    """

    kind: Kind
    sender: int
    start: int
    incarnation: int
    seq: int
    about: int = 0  # the member that an ASK, and the ACK or NACK to it, is about
    digest: int = 0  # 16 bits over all records of the sender
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message to a member."""

    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class StatusChanged:
    """Action: the status of a member has changed here."""

    member: int
    status: Status
    previous: Status


Action = Send | StatusChanged


@dataclass(frozen=True, slots=True)
class AliveEstimate:
    """Bounds on the number of members alive, this one included.

    `low` counts the members known to be alive, `high` all that are not known to be dead or to have left.
    `age_us` is the age in microseconds of the last message from a member that `low` counts: the largest of
    these ages, without members known only through others.
    """

    low: int
    high: int
    age_us: int
