"""The list as a deterministic state machine: takes commands, returns answers and changes.

It uses no clock, socket, disk or random source: the same commands in the same order give the same state and
the same answers on every replica (Schneider 1990, state machine approach), so that it can be replicated and
simulated.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

MAX_MEMBERS = 20_000
MAX_BATCH_WRITES = 10_000
MAX_ANSWERS = 10_000  # the latest answers to writes with an Idempotency-Key
MAX_FENCES = 20_000  # of the ids removed last
Name = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]
Ttl = Annotated[int, Meta(ge=100, le=86_400_000)]
Start = Annotated[int, Meta(ge=0, lt=2**53)]
Phase = Literal["SERVING", "DRAINING"]


class Member(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A member in the form of the discovery protocol; `up_since_ms` is Unix time, 0 means long ago."""

    id: Name
    host_port: Annotated[str, Meta(min_length=3, max_length=260, pattern=r"^[^\s:]+:[0-9]{1,5}$")]
    locality: Annotated[str, Meta(max_length=64)] = ""
    flavor: Annotated[str, Meta(max_length=64)] = ""
    cell: Annotated[int, Meta(ge=0, lt=2**31)] = 0
    phase: Phase = "SERVING"
    size: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    up_since_ms: Annotated[int, Meta(ge=0, lt=2**53)] = 0


class Entry(Struct, frozen=True, kw_only=True):
    """A member with the fields for writers only: the length of its lease in ms (0: none), its fencing token
    (`start`), and whether it drains because its lease has expired.
    """

    member: Member
    ttl_ms: int = 0
    start: int = 0
    lapsed: bool = False


class Put(Struct, frozen=True, kw_only=True, tag_field="do", tag="put"):
    """Command: add a member or replace it."""

    member: Member
    ttl_ms: Annotated[int, Meta(ge=0, le=86_400_000)] = 0
    start: Start = 0  # fencing token: a lower one than listed is refused, as from an older process
    if_revision: int | None = None  # the write is refused unless the list is at this revision


class SetPhase(Struct, frozen=True, kw_only=True, tag_field="do", tag="phase"):
    """Command: change the phase of a member."""

    id: Name
    phase: Phase
    start: Start | None = None
    if_revision: int | None = None
    lapsed: bool = False  # set by the expiry of the lease, not by an operator


class Delete(Struct, frozen=True, kw_only=True, tag_field="do", tag="delete"):
    """Command: remove a member."""

    id: Name
    start: Start | None = None
    if_revision: int | None = None


Write = Put | SetPhase | Delete


class Answer(Struct, frozen=True, kw_only=True):
    """Answer to a write: HTTP status, revision of the state that has or refused it, error text (`said`)."""

    status: int
    revision: int
    said: str = ""


class Change(Struct, frozen=True, kw_only=True):
    """What one revision changed: the new entries, and the removed entries as they were (`gone`)."""

    revision: int
    put: tuple[Entry, ...] = ()
    gone: tuple[Entry, ...] = ()


class State:
    """The list at one revision. Copying is cheap, so that readers do not see a state before it is on disk."""

    __slots__ = ("revision", "entries", "answers", "fences", "digest")

    def __init__(
        self,
        revision: int,
        entries: Mapping[str, Entry] | None = None,
        answers: Mapping[str, Answer] | None = None,
        fences: Mapping[str, int] | None = None,
    ) -> None:
        self.revision = revision
        self.entries = dict(entries or {})
        self.answers = dict(answers or {})  # by Idempotency-Key, oldest first
        self.fences = dict(fences or {})  # start numbers of removed ids, oldest first
        self.digest = 0
        for entry in self.entries.values():
            self.digest ^= entry_digest(entry)

    def copy(self) -> State:
        copied = State(self.revision, None, self.answers, self.fences)
        copied.entries, copied.digest = dict(self.entries), self.digest
        return copied

    def apply(self, writes: tuple[Write, ...], key: str | None = None) -> tuple[Answer, Change | None]:
        """Apply all of the writes or none, as one revision; the change is None if nothing has changed.

        A key that was used before gets its first answer again, whatever the writes are now.
        """
        if key is not None and key in self.answers:
            return self.answers[key], None
        answer, change = self._apply(writes)
        if key is not None and answer.status < 500:
            self.answers[key] = answer
            while len(self.answers) > MAX_ANSWERS:
                del self.answers[next(iter(self.answers))]
        return answer, change

    def _apply(self, writes: tuple[Write, ...]) -> tuple[Answer, Change | None]:
        if len(writes) > MAX_BATCH_WRITES:
            return Answer(status=413, revision=self.revision, said=f"over {MAX_BATCH_WRITES} writes"), None
        staged: dict[str, Entry | None] = {}
        for index, write in enumerate(writes):
            refused = self._stage_write(write, staged)
            if refused is not None:
                where = f"entry {index}: " if len(writes) > 1 else ""
                return Answer(status=refused[0], revision=self.revision, said=where + refused[1]), None
        added = sum(entry is not None and name not in self.entries for name, entry in staged.items())
        if len(self.entries) + added > MAX_MEMBERS:
            return Answer(status=507, revision=self.revision, said=f"over {MAX_MEMBERS} members"), None
        put = tuple(new for name, new in staged.items() if new is not None and new != self.entries.get(name))
        gone = tuple(
            self.entries[name] for name, new in staged.items() if new is None and name in self.entries
        )
        if not put and not gone:
            return Answer(status=200, revision=self.revision), None
        self.revision += 1
        change = Change(revision=self.revision, put=put, gone=gone)
        self.apply_change(change)
        return Answer(status=200, revision=self.revision), change

    def apply_change(self, change: Change) -> None:
        """Advance to the revision of a change that was accepted."""
        self.revision = change.revision
        for entry in change.put:
            replaced = self.entries.get(entry.member.id)
            if replaced is not None:
                self.digest ^= entry_digest(replaced)
            self.entries[entry.member.id] = entry
            self.digest ^= entry_digest(entry)
        for entry in change.gone:
            name = entry.member.id
            self.digest ^= entry_digest(self.entries.pop(name))
            self.fences.pop(name, None)
            if entry.start:
                self.fences[name] = entry.start
        while len(self.fences) > MAX_FENCES:
            del self.fences[next(iter(self.fences))]

    def _stage_write(self, write: Write, staged: dict[str, Entry | None]) -> tuple[int, str] | None:
        """Apply a write after those before it in its batch; returns status and error text if refused."""
        if write.if_revision is not None and write.if_revision != self.revision:
            return 412, f"the list is at revision {self.revision}"
        name = write.member.id if isinstance(write, Put) else write.id
        current = staged[name] if name in staged else self.entries.get(name)
        if isinstance(write, Put):
            fence = current.start if current is not None else self.fences.get(name, 0)
            if write.start < fence:
                return 409, f"{name}: start {write.start} is older than {fence}"
            staged[name] = Entry(member=write.member, ttl_ms=write.ttl_ms, start=write.start)
            return None
        if current is None:
            return 404, f"{name}: not listed"
        if write.start is not None and write.start < current.start:
            return 409, f"{name}: start {write.start} is older than {current.start}"
        if isinstance(write, Delete):
            staged[name] = None
        else:
            member = msgspec.structs.replace(current.member, phase=write.phase)
            staged[name] = msgspec.structs.replace(current, member=member, lapsed=write.lapsed)
        return None


def entry_digest(entry: Entry) -> int:
    """128-bit digest; the list's is the XOR of all of them, so that an update costs only the changed ones."""
    return int.from_bytes(blake2b(msgspec.msgpack.encode(entry), digest_size=16).digest(), "big")


class Range(Struct, frozen=True):
    """All that changed after one revision, up to the revision of the change.

    On a leader each range is one revision. On a follower it holds the changes of one answer: for a reader at
    a revision within the range they are a superset, which does no harm. If the change is the difference of
    two full lists (`exact`), it lacks members that were added and removed in between, so that a reader at a
    revision within the range cannot use it.
    """

    after: int
    change: Change
    size: int  # bytes
    exact: bool = False


class History:
    """The latest changes, bounded by count and bytes, and the changes since any revision in it.

    Through any sequence of answers a client sees only states that were in force, and never one older than a
    state it saw before: an answer is either the full state at a revision, or all that changed from the
    client's revision up to that one, with each entry as it is there; and the revision of an answer is never
    below the client's, unless the list has another identity (docs/catalog.md).
    """

    def __init__(self, max_changes: int, max_bytes: int) -> None:
        self.max_changes, self.max_bytes = max_changes, max_bytes
        self._ranges: dict[int, Range] = {}  # by the last revision of each, oldest first
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._ranges)

    def add(self, change: Change, size: int, after: int | None = None, exact: bool = False) -> int:
        """Append a change that follows the revision `after` (None: the one before its own).

        Returns the latest revision dropped from the history, 0 if none was.
        """
        before = change.revision - 1 if after is None else after
        self._ranges[change.revision] = Range(before, change, size, exact)
        self._bytes += size
        dropped = 0
        while len(self._ranges) > self.max_changes or (self._bytes > self.max_bytes and self._ranges):
            dropped = next(iter(self._ranges))
            self._bytes -= self._ranges.pop(dropped).size
        return dropped

    def changes_since(self, index: int, revision: int) -> Change | None:
        """All changes after `index` up to `revision`, merged into one; None if the full list is needed."""
        if index == revision:
            return Change(revision=revision)
        if index > revision or not self._ranges or index < next(iter(self._ranges.values())).after:
            return None
        changes: list[Change] = []
        at = revision
        while at > index:
            covering = self._ranges.get(at)
            if covering is None or (covering.exact and covering.after < index):
                return None
            changes.append(covering.change)
            at = covering.after
        put: dict[str, Entry] = {}
        gone: dict[str, Entry] = {}
        for change in reversed(changes):
            for entry in change.put:
                gone.pop(entry.member.id, None)
                put[entry.member.id] = entry
            for entry in change.gone:
                put.pop(entry.member.id, None)
                gone[entry.member.id] = entry
        return Change(revision=revision, put=tuple(put.values()), gone=tuple(gone.values()))


def member_document(member: Member) -> dict[str, object]:
    """A member in the JSON form of answers to readers."""
    return msgspec.to_builtins(member)  # type: ignore[no-any-return]


def changes_document(change: Change) -> dict[str, object]:
    """The changed entries in the form of the discovery protocol; `complete` is false."""
    return {"revision": change.revision, "complete": False, "members": list(_changed(change))}


def _changed(change: Change) -> Iterator[dict[str, object]]:
    for entry in change.put:
        yield member_document(entry.member)
    for entry in change.gone:
        yield {**member_document(entry.member), "phase": "DELETED"}


def full_document(state: State) -> dict[str, object]:
    """The full list in the form of the discovery protocol; `complete` is true."""
    return full_document_of(state.revision, state.entries)


def full_document_of(revision: int, entries: Mapping[str, Entry]) -> dict[str, object]:
    """The same of entries by id."""
    return {
        "revision": revision,
        "complete": True,
        "members": [member_document(entry.member) for entry in entries.values()],
    }
