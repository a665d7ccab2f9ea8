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

from .filesystem import Files, FolderError
from .framing import FORMAT, HEADER, RECORD, SNAPSHOT, VERSION, CorruptFrameError, Header, frame, frames

TEMPORARY_NAME = "writing"


class WriteError(Exception):
    """The disk failed: whether the data survives a crash is unknown. The message is one line."""


@dataclass(frozen=True, slots=True)
class Recovered:
    """The snapshot, the records committed after it, and one line for each problem that was found."""

    snapshot: bytes | None = None
    records: tuple[bytes, ...] = ()
    problems: tuple[str, ...] = ()


@dataclass(slots=True)
class _File:
    header: Header
    payloads: list[bytes] = field(default_factory=list)
    corruption: str = ""  # why decoding ended early; empty if it did not


class Store:
    """One owner's state in one folder. Not thread-safe.

    Restore the state from `recovered`, call `begin` with a snapshot of it, then `append` and `commit`.
    """

    def __init__(self, files: Files, fleet: str, name: str) -> None:
        """Recover what the folder holds.

        Raises FolderError if it belongs to another owner or format version, or cannot be read.
        """
        self._files, self._fleet, self._name = files, fleet, name
        self._generation = 0  # the highest number in use
        self._last_written_generation = 0  # the latest whose snapshot is known to be on disk
        self._committed_count = 0  # records committed since the first generation
        self._journal = ""  # the file being appended to, if any
        self._pending: list[bytes] = []  # frames to be written by the next commit
        self.journal_bytes = 0
        self.recovered = self._recover()

    def begin(self, snapshot: bytes) -> None:
        """Start a new generation from a snapshot, and remove all but the previous generation.

        Raises WriteError if the disk fails; everything committed so far is still on disk then. Raises
        ValueError if the snapshot is too long.
        """
        generation = self._generation + 1
        name, journal = f"snapshot-{generation}", f"journal-{generation}"
        data = self._encode_header("snapshot", generation) + frame(SNAPSHOT, snapshot)
        header = self._encode_header("journal", generation)
        self._end_journal()  # if a call below fails, it is unknown which generation is the latest on disk
        self._generation = generation
        try:
            self._write_new(TEMPORARY_NAME, data)
            self._write_new(journal, header)
            self._files.finish(TEMPORARY_NAME)
            self._files.rename(TEMPORARY_NAME, name)
            self._files.sync_folder()
        except OSError as error:
            self._discard(TEMPORARY_NAME, journal, name)
            raise WriteError(f"{name}: {error.strerror}") from None
        previous, self._last_written_generation = self._last_written_generation, generation
        self._journal, self.journal_bytes = journal, len(header)
        self._pending.clear()
        with contextlib.suppress(OSError):  # a later generation removes what is left
            self._remove_below(previous)

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

        Raises WriteError if the disk fails; after that, `begin` must succeed before the next commit.
        """
        if not self._pending:
            return
        if not self._journal:
            raise WriteError(f"journal-{self._generation}: could not be written; begin a new generation")
        data = b"".join(self._pending)
        try:
            self._files.append(self._journal, data)
            self._files.sync(self._journal)
        except OSError as error:
            name = self._journal
            self._end_journal()
            raise WriteError(f"{name}: {error.strerror}") from None
        self._committed_count += len(self._pending)
        self.journal_bytes += len(data)
        self._pending.clear()

    def close(self) -> None:
        """Close the files and release the folder. Records that are not committed are lost."""
        self._files.close()

    # Recovery

    def _recover(self) -> Recovered:
        problems: list[str] = []
        files = {
            name: self._read(name, problems)
            for name in self._names()
            if name.startswith(("snapshot-", "journal-"))
        }
        generations = sorted(
            {generation for name in files if (generation := _generation_of(name)) is not None}, reverse=True
        )
        self._generation = max(generations, default=0)
        for generation in generations:
            snapshot = files.get(f"snapshot-{generation}")
            if snapshot is None:
                continue
            if snapshot.corruption or len(snapshot.payloads) != 1:
                problems.append(f"snapshot-{generation}: is incomplete; the previous snapshot is used")
                continue
            journals = [
                files[name]
                for later in reversed(generations)
                if later >= generation and (name := f"journal-{later}") in files
            ]
            records = _concatenate(snapshot.header.first, journals, problems)
            self._last_written_generation, self._committed_count = (
                generation,
                snapshot.header.first + len(records),
            )
            return Recovered(snapshot.payloads[0], tuple(records), tuple(problems))
        return Recovered(problems=tuple(problems))

    def _names(self) -> list[str]:
        try:
            return self._files.names()
        except OSError as error:
            where = error.filename or "the folder"
            raise FolderError(f"{where}: {error.strerror}; mend the disk and try again") from None

    def _read(self, name: str, problems: list[str]) -> _File | None:
        """Decode a file, or return None if nothing of it is usable.

        Raises FolderError on a read error: it may be transient and the file intact, and starting a generation
        without it would lose committed records.
        """
        try:
            data = self._files.read(name)
        except OSError as error:
            raise FolderError(
                f"{name}: {error.strerror}; mend the disk and try again, or move it away"
            ) from None
        file: _File | None = None
        try:
            for offset, kind, payload in frames(data):
                if file is None:
                    file = _File(self._check_header(name, kind, payload))
                elif kind == (SNAPSHOT if file.header.kind == "snapshot" else RECORD):
                    file.payloads.append(payload)
                else:
                    raise CorruptFrameError(f"offset {offset}: unexpected frame of type {kind}")
        except CorruptFrameError as error:
            if file is not None:
                file.corruption = str(error)
            problems.append(
                f"{name}: {error}; {'the file' if file is None else 'the rest of the file'} is left out"
            )
        return file

    def _check_header(self, name: str, kind: int, payload: bytes) -> Header:
        try:
            header = msgspec.json.decode(payload, type=Header)
        except msgspec.DecodeError as error:
            raise CorruptFrameError(f"offset 0: invalid header ({error})") from None
        if kind != HEADER or f"{header.kind}-{header.generation}" != name:
            raise CorruptFrameError("offset 0: the header belongs to another file")
        if (header.format, header.version) != (FORMAT, VERSION):
            raise FolderError(
                f"{name}: has format {header.format} {header.version}, this program has {FORMAT} {VERSION}; "
                "use the program that wrote it, or another folder"
            )
        if (header.fleet, header.name) != (self._fleet, self._name):
            raise FolderError(
                f"{name}: belongs to {header.name} of {header.fleet}, not to {self._name} of "
                f"{self._fleet}; give each its own folder"
            )
        return header

    def _encode_header(self, kind: str, generation: int) -> bytes:
        fields = {
            "format": FORMAT,
            "version": VERSION,
            "kind": kind,
            "fleet": self._fleet,
            "name": self._name,
            "generation": generation,
            "first": self._committed_count,
        }
        return frame(HEADER, msgspec.json.encode(fields))

    def _remove_below(self, generation: int) -> None:
        for name in self._files.names():
            file_generation = _generation_of(name)
            if file_generation is not None and file_generation < generation:
                self._files.remove(name)


def _concatenate(first_record: int, journals: list[_File | None], problems: list[str]) -> list[bytes]:
    """Concatenate the records of successive journals.

    Each journal's header says how many records were committed before it. Records beyond that number belong to
    a commit that failed before the next generation began, and are dropped; a gap ends the recovery.
    """
    records: list[bytes] = []
    for journal in journals:
        if journal is None:
            continue
        if first_record <= journal.header.first < first_record + len(records):
            problems.append(
                f"journal-{journal.header.generation}: starts at record {journal.header.first}; later "
                "records in the previous journal were not committed and are left out"
            )
            del records[journal.header.first - first_record :]
        if journal.header.first != first_record + len(records):
            problems.append(
                f"journal-{journal.header.generation}: starts at record {journal.header.first}, but "
                f"{first_record + len(records)} records precede it; it is left out"
            )
            break
        records += journal.payloads
    return records


def _generation_of(name: str) -> int | None:
    kind, _, digits = name.partition("-")
    return int(digits) if kind in ("snapshot", "journal") and digits.isdigit() else None
