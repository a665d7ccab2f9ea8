"""A snapshot and the journal after it, generation by generation.

A generation is `snapshot-N`, written aside, synced and renamed, and `journal-N`, to which records are
appended. The snapshot holds all that was committed before it; the one before stays with its journal, so that
a damaged one costs no more than reading the older and both journals. A start never writes on in an old file:
it recovers, and begins a generation of its own. So a journal that a cut has torn is never appended to, and an
fsync that failed is never tried again on the same file: of its pages nothing may be assumed after that
(PostgreSQL, 2018).
"""
from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

import msgspec

from .files import Files, Refused
from .frames import FORMAT, HEAD, RECORD, SNAPSHOT, VERSION, Damage, Head, frame, frames

ASIDE = "writing"


class NotWritten(Exception):
    """The disk did not take it: whether it holds after a cut is not known. The text is one line."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """A snapshot, the records after it in their order, and lines on what was not as it should be."""

    snapshot: bytes | None = None
    records: tuple[bytes, ...] = ()
    notes: tuple[str, ...] = ()


@dataclass(slots=True)
class _File:
    head: Head
    payloads: list[bytes] = field(default_factory=list)
    damage: str = ""  # where reading ended, if not at the end


class Store:
    """One owner's state in one folder; all calls come from one thread at a time.

    Open it, take what `recovered` has, `begin` with a snapshot of that, then `append` and `commit`.
    """

    def __init__(self, files: Files, fleet: str, name: str) -> None:
        """Raises Refused where the folder holds another owner's state, or that of another version, or where
        it cannot be read.
        """
        self._files, self._fleet, self._name = files, fleet, name
        self._generation = 0  # the highest number that is there
        self._good = 0  # the latest generation whose snapshot is known to hold
        self._taken = 0  # records since the first generation
        self._journal = ""  # the file that is appended to; empty: none
        self._waiting: list[bytes] = []  # frames
        self.journal_bytes = 0
        self.recovered = self._recover()

    def begin(self, snapshot: bytes) -> None:
        """A new generation that starts from this; what is older than the one before it goes.

        Raises NotWritten, and then what was there is there still.
        """
        generation = self._generation + 1
        name, journal = f"snapshot-{generation}", f"journal-{generation}"
        data = self._head("snapshot", generation) + frame(SNAPSHOT, snapshot)
        head = self._head("journal", generation)
        self._end_journal()  # if this fails, whether the new snapshot holds is not known
        self._generation = generation
        try:
            self._write_new(ASIDE, data)
            self._write_new(journal, head)
            self._files.finish(ASIDE)
            self._files.rename(ASIDE, name)
            self._files.sync_folder()
        except OSError as e:
            self._discard(ASIDE, journal, name)
            raise NotWritten(f"{name}: {e.strerror}") from None
        before, self._good = self._good, generation
        self._journal, self.journal_bytes = journal, len(head)
        self._waiting.clear()
        with contextlib.suppress(OSError):  # what is left over goes with a later generation
            self._remove_below(before)

    def _write_new(self, name: str, data: bytes) -> None:
        self._files.create(name)
        self._files.append(name, data)
        self._files.sync(name)

    def _discard(self, *names: str) -> None:
        """Give up the files of a generation that could not be written, so that retries do not fill the disk.

        All that was committed is in the generations before it.
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
        """It goes to disk with the next commit. Raises ValueError on one that is too long."""
        self._waiting.append(frame(RECORD, record))

    def commit(self) -> None:
        """All that was appended is on disk when this returns, by one fsync.

        Raises NotWritten; after that only `begin` writes again.
        """
        if not self._waiting:
            return
        if not self._journal:
            raise NotWritten(f"journal-{self._generation}: could not be written; begin a new generation")
        data = b"".join(self._waiting)
        try:
            self._files.append(self._journal, data)
            self._files.sync(self._journal)
        except OSError as e:
            name = self._journal
            self._end_journal()
            raise NotWritten(f"{name}: {e.strerror}") from None
        self._taken += len(self._waiting)
        self.journal_bytes += len(data)
        self._waiting.clear()

    def close(self) -> None:
        self._files.close()

    # Recovery

    def _recover(self) -> Recovered:
        notes: list[str] = []
        found = {name: self._read(name, notes) for name in self._names()
                 if name.startswith(("snapshot-", "journal-"))}
        numbers = sorted({n for name in found if (n := _number(name)) is not None}, reverse=True)
        self._generation = max(numbers, default=0)
        for n in numbers:
            snapshot = found.get(f"snapshot-{n}")
            if snapshot is None:
                continue
            if snapshot.damage or len(snapshot.payloads) != 1:
                notes.append(f"snapshot-{n}: is not whole; the one before it is used")
                continue
            journals = [found[name] for m in reversed(numbers)
                        if m >= n and (name := f"journal-{m}") in found]
            records = _joined(snapshot.head.first, journals, notes)
            self._good, self._taken = n, snapshot.head.first + len(records)
            return Recovered(snapshot.payloads[0], tuple(records), tuple(notes))
        return Recovered(notes=tuple(notes))

    def _names(self) -> list[str]:
        try:
            return self._files.names()
        except OSError as e:
            where = e.filename or "the folder"
            raise Refused(f"{where}: {e.strerror}; mend the disk and try again") from None

    def _read(self, name: str, notes: list[str]) -> _File | None:
        """None: nothing of it can be used. Raises Refused.

        An error of reading may pass, and the file be whole: without it a new generation would be begun from
        less than was committed.
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
            raise Refused(f"{name}: is {head.format} {head.version}, this program's is {FORMAT} {VERSION}; "
                          "use the program that wrote it, or another folder")
        if (head.fleet, head.name) != (self._fleet, self._name):
            raise Refused(f"{name}: belongs to {head.name} of {head.fleet}, not to {self._name} of "
                          f"{self._fleet}; give each its own folder")
        return head

    def _head(self, kind: str, generation: int) -> bytes:
        doc = {"format": FORMAT, "version": VERSION, "kind": kind, "fleet": self._fleet, "name": self._name,
               "generation": generation, "first": self._taken}
        return frame(HEAD, msgspec.json.encode(doc))

    def _remove_below(self, generation: int) -> None:
        for name in self._files.names():
            number = _number(name)
            if number is not None and number < generation:
                self._files.remove(name)


def _joined(taken: int, journals: list[_File | None], notes: list[str]) -> list[bytes]:
    """The records of these journals, each of which must go on where the one before it ended.

    Records behind that place are of a commit that was refused, before the next generation was begun.
    """
    records: list[bytes] = []
    for journal in journals:
        if journal is None:
            continue
        if taken <= journal.head.first < taken + len(records):
            notes.append(f"journal-{journal.head.generation}: goes on from record {journal.head.first}; what "
                         "stands behind that in the one before was refused, and is left out")
            del records[journal.head.first - taken:]
        if journal.head.first != taken + len(records):
            notes.append(f"journal-{journal.head.generation}: goes on from record {journal.head.first}, but "
                         f"{taken + len(records)} are there; it is left out")
            break
        records += journal.payloads
    return records


def _number(name: str) -> int | None:
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("snapshot", "journal") and digits.isdigit() else None
