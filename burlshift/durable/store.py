"""A snapshot and the journal that follows it, in numbered generations.

Generation N is `snapshot-N`, written to a temporary file, synced and renamed, and `journal-N`, to which
records are appended. A snapshot contains everything committed before it. The previous generation is kept, so
that a corrupt snapshot can be replaced by the older one and both journals. Existing files are never appended
to: a start recovers and begins a new generation. So a journal torn by a crash is never continued, and a
failed fsync is never retried on the same file: its pages are in an unknown state then (PostgreSQL, 2018).
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import msgspec

from .filesystem import Files, Refused
from .framing import FORMAT, HEAD, RECORD, SNAPSHOT, VERSION, Damage, Head, frame, frames

TEMPORARY = "writing"


class NotWritten(Exception):
    """The disk failed: whether the data survives a crash is unknown. The message is one line."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """The snapshot, the records committed after it, and one line for each problem that was found."""

    snapshot: bytes | None = None
    records: tuple[bytes, ...] = ()
    notes: tuple[str, ...] = ()


@dataclass(slots=True)
class _File:
    head: Head
    payloads: list[bytes] = field(default_factory=list)
    damage: str = ""  # why reading ended before the end of the file


class Store:
    """One owner's state in one folder. Not thread-safe.

    Restore the state from `recovered`, call `begin` with a snapshot of it, then `append` and `commit`.
    """

    def __init__(self, files: Files, fleet: str, name: str) -> None:
        """Recover what the folder holds.

        Raises Refused if it belongs to another owner or format version, or cannot be read.
        """
        self._files, self._fleet, self._name = files, fleet, name
        self._generation = 0  # the highest number in use
        self._last_good = 0  # the latest generation whose snapshot is known to be on disk
        self._record_count = 0  # committed since the first generation
        self._journal = ""  # the file being appended to, if any
        self._pending: list[bytes] = []  # frames to be written by the next commit
        self.journal_bytes = 0
        self.recovered = self._recover()

    def begin(self, snapshot: bytes) -> None:
        """Start a new generation from a snapshot, and remove all but the previous generation.

        Raises NotWritten if the disk fails; everything committed so far is still on disk then.
        """
        generation = self._generation + 1
        name, journal = f"snapshot-{generation}", f"journal-{generation}"
        data = self._head("snapshot", generation) + frame(SNAPSHOT, snapshot)
        head = self._head("journal", generation)
        self._end_journal()  # a failure leaves it unknown which generation is the latest on disk
        self._generation = generation
        try:
            self._write_new(TEMPORARY, data)
            self._write_new(journal, head)
            self._files.finish(TEMPORARY)
            self._files.rename(TEMPORARY, name)
            self._files.sync_folder()
        except OSError as e:
            self._discard(TEMPORARY, journal, name)
            raise NotWritten(f"{name}: {e.strerror}") from None
        before, self._last_good = self._last_good, generation
        self._journal, self.journal_bytes = journal, len(head)
        self._pending.clear()
        with contextlib.suppress(OSError):  # a later generation removes what is left
            self._remove_below(before)

    def _write_new(self, name: str, data: bytes) -> None:
        self._files.create(name)
        self._files.append(name, data)
        self._files.sync(name)

    def _discard(self, *names: str) -> None:
        """Remove the files of a generation that could not be written, so that retries do not fill the disk.

        Everything committed is in earlier generations.
        """
        for name in names:
            self._files.finish(name)
            with contextlib.suppress(OSError):
                self._files.remove(name)

    def _end_journal(self) -> None:
        if self._journal:
            self._files.finish(self._journal)
            self._journal = ""

    def append(self, record: bytes) -> None:
        """Add a record to the next commit. Raises ValueError if it is too long."""
        self._pending.append(frame(RECORD, record))

    def commit(self) -> None:
        """Write the appended records to disk, with one fsync.

        Raises NotWritten if the disk fails; after that, `begin` must succeed before the next commit.
        """
        if not self._pending:
            return
        if not self._journal:
            raise NotWritten(f"journal-{self._generation}: could not be written; begin a new generation")
        data = b"".join(self._pending)
        try:
            self._files.append(self._journal, data)
            self._files.sync(self._journal)
        except OSError as e:
            name = self._journal
            self._end_journal()
            raise NotWritten(f"{name}: {e.strerror}") from None
        self._record_count += len(self._pending)
        self.journal_bytes += len(data)
        self._pending.clear()

    def close(self) -> None:
        self._files.close()

    # Recovery

    def _recover(self) -> Recovered:
        notes: list[str] = []
        found = {
            name: self._read(name, notes)
            for name in self._names()
            if name.startswith(("snapshot-", "journal-"))
        }
        numbers = sorted({n for name in found if (n := _number(name)) is not None}, reverse=True)
        self._generation = max(numbers, default=0)
        for n in numbers:
            snapshot = found.get(f"snapshot-{n}")
            if snapshot is None:
                continue
            if snapshot.damage or len(snapshot.payloads) != 1:
                notes.append(f"snapshot-{n}: is not whole; the one before it is used")
                continue
            journals = [
                found[name] for m in reversed(numbers) if m >= n and (name := f"journal-{m}") in found
            ]
            records = _concatenate(snapshot.head.first, journals, notes)
            self._last_good, self._record_count = n, snapshot.head.first + len(records)
            return Recovered(snapshot.payloads[0], tuple(records), tuple(notes))
        return Recovered(notes=tuple(notes))

    def _names(self) -> list[str]:
        try:
            return self._files.names()
        except OSError as e:
            where = e.filename or "the folder"
            raise Refused(f"{where}: {e.strerror}; mend the disk and try again") from None

    def _read(self, name: str, notes: list[str]) -> _File | None:
        """Decode a file, or return None if nothing of it is usable.

        Raises Refused on a read error: it may be transient and the file intact, and starting a generation
        without it would lose committed records.
        """
        try:
            data = self._files.read(name)
        except OSError as e:
            raise Refused(f"{name}: {e.strerror}; mend the disk and try again, or move it away") from None
        made: _File | None = None
        try:
            for at, kind, payload in frames(data):
                if made is None:
                    made = _File(self._owned(name, kind, payload))
                elif kind == (SNAPSHOT if made.head.kind == "snapshot" else RECORD):
                    made.payloads.append(payload)
                else:
                    raise Damage(f"offset {at}: a frame of type {kind}")
        except Damage as e:
            if made is not None:
                made.damage = str(e)
            notes.append(f"{name}: {e}; {'it' if made is None else 'what follows'} is left out")
        return made

    def _owned(self, name: str, kind: int, payload: bytes) -> Head:
        try:
            head = msgspec.json.decode(payload, type=Head)
        except msgspec.DecodeError as e:
            raise Damage(f"offset 0: no head ({e})") from None
        if kind != HEAD or f"{head.kind}-{head.generation}" != name:
            raise Damage("offset 0: is another file's head")
        if (head.format, head.version) != (FORMAT, VERSION):
            raise Refused(
                f"{name}: is {head.format} {head.version}, this program's is {FORMAT} {VERSION}; "
                "use the program that wrote it, or another folder"
            )
        if (head.fleet, head.name) != (self._fleet, self._name):
            raise Refused(
                f"{name}: belongs to {head.name} of {head.fleet}, not to {self._name} of "
                f"{self._fleet}; give each its own folder"
            )
        return head

    def _head(self, kind: str, generation: int) -> bytes:
        doc = {
            "format": FORMAT,
            "version": VERSION,
            "kind": kind,
            "fleet": self._fleet,
            "name": self._name,
            "generation": generation,
            "first": self._record_count,
        }
        return frame(HEAD, msgspec.json.encode(doc))

    def _remove_below(self, generation: int) -> None:
        for name in self._files.names():
            number = _number(name)
            if number is not None and number < generation:
                self._files.remove(name)


def _concatenate(count: int, journals: list[_File | None], notes: list[str]) -> list[bytes]:
    """Concatenate the records of successive journals.

    Each journal's header says how many records were committed before it. Records beyond that number belong to
    a commit that failed before the next generation began, and are dropped; a gap ends the recovery.
    """
    records: list[bytes] = []
    for journal in journals:
        if journal is None:
            continue
        if count <= journal.head.first < count + len(records):
            notes.append(
                f"journal-{journal.head.generation}: goes on from record {journal.head.first}; what "
                "stands behind that in the one before was refused, and is left out"
            )
            del records[journal.head.first - count :]
        if journal.head.first != count + len(records):
            notes.append(
                f"journal-{journal.head.generation}: goes on from record {journal.head.first}, but "
                f"{count + len(records)} are there; it is left out"
            )
            break
        records += journal.payloads
    return records


def _number(name: str) -> int | None:
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("snapshot", "journal") and digits.isdigit() else None
