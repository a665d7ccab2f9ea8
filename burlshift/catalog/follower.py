"""A read replica of a list as a state machine: takes its source's answers, returns answers for readers.

It uses no clock, socket, disk or random source. Revision and identity are those of the source; a follower
creates none. Its state was in force at the leader and never goes back while the identity of the list is the
same, so that the guarantees for readers (docs/catalog.md) hold through any chain of followers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from burlshift.agent.clock import Clock
from burlshift.agent.listing import Listing, ListingParser

from .state_machine import Change, Entry, History, Member, full_document_of

MEMBER_FIELDS = frozenset(field.name for field in msgspec.structs.fields(Member))


@dataclass(slots=True, frozen=True)
class SourceAnswer(Listing):
    """An answer of a source, with the entries in the form of the catalog."""

    put: tuple[Entry, ...] = ()
    gone: tuple[Entry, ...] = ()


class SourceAnswerParser(ListingParser):
    """Parses answers and keeps all fields of a member; ValueError if it is no answer of a catalog service."""

    def __init__(self) -> None:
        """Zones and kinds stay names and start times stay Unix times; readers convert them."""
        super().__init__(Clock(), (), ())

    def parse(self, doc: Any) -> SourceAnswer:
        try:
            identity = doc["list"]
            if not isinstance(identity, str) or not identity:
                raise ValueError("the source's list has no identity; it must be of `serve` or `follow`")
            entries = [(row["phase"] == "DELETED", _entry(row)) for row in doc["members"]]
            return SourceAnswer(
                int(doc["revision"]),
                bool(doc["complete"]),
                (),
                identity,
                tuple(entry for gone, entry in entries if not gone),
                tuple(entry for gone, entry in entries if gone),
            )
        except (KeyError, TypeError, AttributeError, OverflowError, msgspec.ValidationError) as error:
            raise ValueError(f"list of members: {type(error).__name__} {error}") from None


def _entry(row: dict[str, Any]) -> Entry:
    """Parse a member. Unknown fields of a later version are dropped; DELETED is not a phase of an entry."""
    known = {name: value for name, value in row.items() if name in MEMBER_FIELDS}
    if known["phase"] == "DELETED":
        known["phase"] = "SERVING"
    return Entry(member=msgspec.convert(known, Member))


class Follower:
    """The list as of the source's latest answer, and the latest ranges of changes."""

    def __init__(self, max_changes: int, max_bytes: int) -> None:
        self._history_bounds = max_changes, max_bytes
        self.identity: str | None = None  # None until the first answer
        self.revision = -1
        self.entries: dict[str, Entry] = {}
        self.history = History(*self._history_bounds)

    def conflicts(self, answer: SourceAnswer) -> bool:
        """Whether an answer about the same list is older than this state, or differs at the same revision."""
        if answer.identity != self.identity:
            return False
        return answer.revision < self.revision or (
            answer.complete and answer.revision == self.revision and _by_id(answer) != self.entries
        )

    def apply(self, answer: SourceAnswer) -> bool:
        """Apply an answer; returns whether the state is a new one.

        A partial answer must be to a request with this revision and identity. Raises ValueError, with nothing
        changed, if the answer conflicts with this state or is partial and about another list.
        """
        if self.conflicts(answer) or not (answer.complete or answer.identity == self.identity):
            raise ValueError(f"revision {answer.revision} does not go on from {self.revision}")
        if answer.identity != self.identity:
            self.identity, self.revision, self.entries = answer.identity, answer.revision, _by_id(answer)
            self.history = History(*self._history_bounds)
            return True
        if answer.revision == self.revision:
            return False
        change = Change(revision=answer.revision, put=answer.put, gone=answer.gone)
        if answer.complete:
            change = self._difference(answer)
            self.entries = _by_id(answer)
        else:
            for entry in change.gone:
                self.entries.pop(entry.member.id, None)
            for entry in change.put:
                self.entries[entry.member.id] = entry
        size = len(msgspec.msgpack.encode(change))
        self.history.add(change, size, after=self.revision, exact=answer.complete)
        self.revision = answer.revision
        return True

    def _difference(self, answer: SourceAnswer) -> Change:
        """The change from this state to a full list."""
        listed = _by_id(answer)
        put = tuple(entry for name, entry in listed.items() if entry != self.entries.get(name))
        gone = tuple(entry for name, entry in self.entries.items() if name not in listed)
        return Change(revision=answer.revision, put=put, gone=gone)

    # Readers

    def reader_is_ahead(self, index: int | None, identity: str | None) -> bool:
        """Whether a reader has a later revision of this list, as far as its request tells."""
        if self.identity is None:
            return True
        return index is not None and index > self.revision and identity in (None, self.identity)

    def changes_since(self, index: int) -> Change | None:
        """The changes after a revision; None if the full list is needed."""
        return self.history.changes_since(index, self.revision)

    def full_document(self) -> dict[str, object]:
        return full_document_of(self.revision, self.entries)


def _by_id(answer: SourceAnswer) -> dict[str, Entry]:
    return {entry.member.id: entry for entry in answer.put}


class Age:
    """Time since the list was last known to be the leader's, through chains and loops of followers.

    It is rounded up: if it were rounded down, two followers that have only each other as sources would lose
    the rounded part at each exchange, and their age would never grow.
    """

    def __init__(self) -> None:
        self._confirmed_s: float | None = None  # monotonic time at which the leader had this list

    def confirm(self, confirmed_s: float, same_list: bool) -> None:
        """Record that the source had this list at confirmed_s, at the earliest.

        That is the time of the request, plus the time for which the source held it, less the age that the
        answer gives. The arrival of the answer proves nothing: it may have waited unread while this process
        was paused.
        """
        if not same_list or self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def at(self, now_s: float) -> int:
        """The age in whole seconds, for the Age header (RFC 9111, 5.1)."""
        return 0 if self._confirmed_s is None else max(0, math.ceil(now_s - self._confirmed_s))
