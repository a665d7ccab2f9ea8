"""What is known of one member, as a lattice: merging is commutative, associative and idempotent.

A record is ordered by start, then incarnation, then status (Das, Gupta, Motivala 2002, 4.2, with starts
before incarnations: a new process of a member supersedes all records of the previous one). Merging takes the
larger; the order is total, so that any order of arrival, repeats included, ends in the same record.

A start or incarnation that a member sends of itself takes effect at once. A claim by another member takes
effect only as far as a second claimant supports it: the two largest claims of distinct claimants are kept,
and the record that both support counts. A single faulty or lying member therefore changes nothing, whatever
numbers it claims; two such members could.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class Status(IntEnum):
    """The status of a member, in order of precedence within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # the member announced its end


class Record(NamedTuple):
    """What is known of one process of a member.

    `start` is the start time of the process in Unix ms, as that process read it; 0 if the member is unknown.
    `incarnation` is raised by the member alone.
    """

    start: int
    incarnation: int
    status: Status

    def same_incarnation(self, other: Record) -> bool:
        """Whether both are of one process in one incarnation; their statuses may differ."""
        return self.start == other.start and self.incarnation == other.incarnation


NO_RECORD = Record(0, 0, Status.ALIVE)  # of a member from which and about which nothing was received


def merge(left: Record, right: Record) -> Record:
    """The larger of two records."""
    return left if left >= right else right


class Claims:
    """The two largest records that distinct claimants have sent of one member.

    Two are enough: a claim that is dropped is below both, and its claimant is added again once it claims a
    larger record.
    """

    __slots__ = ("first", "second")

    def __init__(self) -> None:
        self.first: tuple[Record, int] | None = None  # record and claimant
        self.second: tuple[Record, int] | None = None

    def add(self, claimant: int, record: Record) -> None:
        """Merge a claim into the two that are kept."""
        for kept in (self.first, self.second):
            if kept is not None and kept[1] == claimant:
                record = merge(record, kept[0])
        others = [kept for kept in (self.first, self.second) if kept is not None and kept[1] != claimant]
        ranked = sorted([*others, (record, claimant)], key=_rank, reverse=True)
        self.first, self.second = ranked[0], ranked[1] if len(ranked) > 1 else None

    def merged(self, other: Claims) -> Claims:
        """The claims of both, as a new object."""
        result = Claims()
        for kept in (self.first, self.second, other.first, other.second):
            if kept is not None:
                result.add(kept[1], kept[0])
        return result

    def corroborated(self) -> Record:
        """The largest record that two claimants support; NO_RECORD if there are fewer than two.

        A claim of a later incarnation supports that the earlier one existed, but not that it was suspected.
        Taking the second largest record as it is would let one liar, together with the first claimant of a
        refutation, have a live member declared dead.
        """
        if self.first is None or self.second is None:
            return NO_RECORD
        record = self.second[0]
        return record if record.same_incarnation(self.first[0]) else record._replace(status=Status.ALIVE)

    def clear(self) -> None:
        """Remove all claims."""
        self.first = self.second = None


def _rank(kept: tuple[Record, int]) -> tuple[Record, int]:
    """Sort key of a record and its claimant; of equal records, that of the lower number is larger."""
    return kept[0], -kept[1]
