"""What is known of one member, as a lattice: merging is commutative, associative and idempotent.

A record is ordered by start, then incarnation, then status (Das, Gupta, Motivala 2002, 4.2, with starts
before incarnations: a new process of a name is above all that was said of the one before). Merging takes
the larger; the order is total, so that any order of arrival, repeats included, ends in the same record.

Only a member's own word raises its start or incarnation at once. What others say of it counts once two have
said it: of the two largest claims of distinct tellers, what both bear out. One liar therefore moves nothing
by itself, whatever numbers it names; two could.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Status(IntEnum):
    """In the order in which a later word on one incarnation goes before an earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # on purpose


class Record(NamedTuple):
    """start: of the process, in Unix ms as that read it; 0: never heard of. Only the member raises the
    incarnation."""

    start: int
    incarnation: int
    status: Status

    def same_life(self, other: Record) -> bool:
        return self.start == other.start and self.incarnation == other.incarnation


NEVER = Record(0, 0, Status.ALIVE)


def merge(a: Record, b: Record) -> Record:
    return a if a >= b else b


class Claims:
    """The two largest records that distinct tellers have claimed of one member.

    Nothing is lost by that bound: a teller that is not kept is below both, and comes back by claiming more.
    """

    __slots__ = ("first", "second")

    def __init__(self) -> None:
        self.first: tuple[Record, int] | None = None  # record and teller
        self.second: tuple[Record, int] | None = None

    def add(self, teller: int, record: Record) -> None:
        for kept in (self.first, self.second):
            if kept is not None and kept[1] == teller:
                record = merge(record, kept[0])
        others = [kept for kept in (self.first, self.second) if kept is not None and kept[1] != teller]
        ranked = sorted([*others, (record, teller)], key=_rank, reverse=True)
        self.first, self.second = ranked[0], ranked[1] if len(ranked) > 1 else None

    def merged(self, other: Claims) -> Claims:
        made = Claims()
        for kept in (self.first, self.second, other.first, other.second):
            if kept is not None:
                made.add(kept[1], kept[0])
        return made

    def witnessed(self) -> Record:
        """What two tellers bear out; NEVER if there are no two.

        Who claims a later life bears out that there was the earlier one, and not that it was suspected:
        read as the second largest record, one liar and the first teller of a refutation together killed the
        living.
        """
        if self.first is None or self.second is None:
            return NEVER
        record = self.second[0]
        return record if record.same_life(self.first[0]) else record._replace(status=Status.ALIVE)

    def clear(self) -> None:
        self.first = self.second = None


def _rank(kept: tuple[Record, int]) -> tuple[Record, int]:
    return kept[0], -kept[1]
