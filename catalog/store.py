"""The list on disk: SQLite with one writer, a commit for all commands that wait, and a digest over the state.

WAL with synchronous=FULL: a commit has been synced when it returns (https://sqlite.org/wal.html, 3).
"""
from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
import shutil
import sqlite3
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from .core import Answer, Change, Entry, History, State, Write

FORMAT = 1
FILE, LOCK = "catalog.sqlite3", "lock"
ASIDE = "before-"  # begins the name of a directory with a list that a restore has replaced
SHIFT = 20  # a list changes less than 2**20 times a second over its life
MOST_CHANGES, MOST_BYTES = 10_000, 32 * 1024 * 1024
TABLES = """
create table meta (key text primary key, value text not null) without rowid;
create table entries (id text primary key, doc blob not null) without rowid;
create table history (revision integer primary key, doc blob not null);
create table answers (place integer primary key, key text not null unique, doc blob not null);
create table fences (place integer primary key, id text not null unique, start integer not null);
"""


class Damaged(Exception):
    """The data cannot be trusted or used; the text is one line that names place and mend."""


class NotWritten(Exception):
    """The disk did not take it: nothing of it holds. The text is one line."""


@dataclass(frozen=True, slots=True)
class Command:
    """Writes that hold together or not at all."""

    writes: tuple[Write, ...]
    key: str | None = None


def first_revision(unix_s: float, above: int = 0) -> int:
    """Above all that a list born earlier, or restored from, can have given."""
    return max(int(unix_s) << SHIFT, above + (1 << SHIFT))


class Store:
    """The file, and the state that is in it. Every method but `identity` belongs to one thread at a time."""

    def __init__(self, folder: Path, connect: Any = sqlite3.connect) -> None:
        """Open, or make where there is none. Raises Damaged."""
        self.path = folder / FILE
        self._lock = _locked(folder)
        self._db: sqlite3.Connection | None = None
        try:
            self._open(connect)
        except BaseException:
            self.close()
            raise

    def _open(self, connect: Any) -> None:
        fresh = not self.path.exists()
        try:
            self._db = connect(str(self.path), isolation_level=None, check_same_thread=False)
            self._db.execute("pragma journal_mode=wal")
            self._db.execute("pragma synchronous=full")
            if fresh or not self._db.execute("select count(*) from sqlite_master").fetchone()[0]:
                self._make()
            self._read()
        except sqlite3.DatabaseError as e:
            raise Damaged(f"{self.path}: {e}; restore a backup") from None

    def _make(self) -> None:
        db = self.db
        revision = first_revision(time.time())
        db.execute("begin immediate")
        for statement in TABLES.split(";"):
            db.execute(statement)
        db.executemany("insert into meta values (?, ?)", [
            ("format", str(FORMAT)), ("list", secrets.token_hex(8)), ("revision", str(revision)),
            ("digest", f"{0:032x}")])
        db.execute("commit")

    @property
    def db(self) -> sqlite3.Connection:
        assert self._db is not None
        return self._db

    def _read(self) -> None:
        """The state, checked against its digest and SQLite's own check."""
        db = self.db
        found = [row[0] for row in db.execute("pragma quick_check(1)")]
        if found != ["ok"]:
            raise Damaged(f"{self.path}: {found[0]}; restore a backup")
        meta = dict(db.execute("select key, value from meta"))
        if meta.get("format") != str(FORMAT):
            raise Damaged(f"{self.path}: is of format {meta.get('format')}, this program's is {FORMAT}; "
                          "use the program that wrote it")
        try:
            entries = {name: msgspec.msgpack.decode(doc, type=Entry)
                       for name, doc in db.execute("select id, doc from entries")}
            answers = {key: msgspec.msgpack.decode(doc, type=Answer)
                       for key, doc in db.execute("select key, doc from answers order by place")}
            fences = dict(db.execute("select id, start from fences order by place"))
            self.state = State(int(meta["revision"]), entries, answers, fences)
            self.identity, digest = meta["list"], int(meta["digest"], 16)
            self.history, self._drop_to = History(MOST_CHANGES, MOST_BYTES), 0
            for _, doc in db.execute("select revision, doc from history order by revision"):
                dropped = self.history.add(msgspec.msgpack.decode(doc, type=Change), len(doc))
                self._drop_to = max(self._drop_to, dropped)
        except (KeyError, ValueError, msgspec.DecodeError) as e:
            raise Damaged(f"{self.path}: {e}; restore a backup") from None
        if any(name != entry.member.id for name, entry in entries.items()) or self.state.digest != digest:
            raise Damaged(f"{self.path}: the list is not the one that was written; restore a backup")

    def commit(self, commands: Sequence[Command]) -> tuple[State, list[Answer], list[Change]]:
        """All commands, one after the other, in one transaction: on disk when this returns.

        The state that it returns is to be given to `adopt`. Raises NotWritten, and then nothing holds.
        """
        state = self.state.copy()
        answers, changes = [], []
        fences = dict(state.fences)
        given: list[tuple[str, Answer]] = []
        for command in commands:
            known = command.key is not None and command.key in state.answers
            answer, change = state.apply(command.writes, command.key)
            answers.append(answer)
            if change is not None:
                changes.append(change)
            if command.key is not None and not known and command.key in state.answers:
                given.append((command.key, answer))
        if changes or given:
            self._write(state, changes, given, fences)
        return state, answers, changes

    def _write(self, state: State, changes: Sequence[Change], given: Sequence[tuple[str, Answer]],
               fences: dict[str, int]) -> None:
        db, encode = self.db, msgspec.msgpack.encode
        try:
            db.execute("begin immediate")
            for change in changes:
                db.executemany("insert or replace into entries values (?, ?)",
                               [(e.member.id, encode(e)) for e in change.put])
                db.executemany("delete from entries where id = ?", [(e.member.id,) for e in change.gone])
                db.execute("insert into history values (?, ?)", (change.revision, encode(change)))
            for key, answer in given:
                db.execute("insert into answers (key, doc) values (?, ?)", (key, encode(answer)))
            if len(state.answers) < len(self.state.answers) + len(given):
                db.execute("delete from answers where place not in "
                           "(select place from answers order by place desc limit ?)", (len(state.answers),))
            if state.fences != fences:
                self._write_fences(state)
            db.executemany("update meta set value = ? where key = ?", [
                (str(state.revision), "revision"), (f"{state.digest:032x}", "digest")])
            if self._drop_to:
                db.execute("delete from history where revision <= ?", (self._drop_to,))
            db.execute("commit")
        except sqlite3.Error as e:
            with contextlib.suppress(sqlite3.Error):
                if db.in_transaction:
                    db.execute("rollback")
            raise NotWritten(f"{self.path}: {e}") from None

    def _write_fences(self, state: State) -> None:
        old = self.state.fences
        self.db.executemany("delete from fences where id = ?",
                            [(name,) for name, start in old.items() if state.fences.get(name) != start])
        self.db.executemany("insert into fences (id, start) values (?, ?)",
                            [(name, start) for name, start in state.fences.items() if old.get(name) != start])

    def adopt(self, state: State, changes: Sequence[Change]) -> None:
        """What commit returned is what readers see from now on.

        What the history then keeps no longer leaves the file with the next commit.
        """
        self.state = state
        for change in changes:
            dropped = self.history.add(change, len(msgspec.msgpack.encode(change)))
            self._drop_to = max(self._drop_to, dropped)

    def close(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None
        os.close(self._lock)


def _locked(folder: Path) -> int:
    """Held as long as the process lives: two that write to one file would each undo the other."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        fd = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as e:
        raise Damaged(f"{folder}: {e.strerror}; give a directory that can be written") from None
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        raise Damaged(f"{folder}: another process has it open; end that or give another directory") from None
    return fd


def check(folder: Path) -> list[str]:
    """What is in a directory, after every check there is; raises Damaged."""
    if not (folder / FILE).exists():
        raise Damaged(f"{folder}: holds no list; give the directory of `serve --data`")
    store = Store(folder)
    try:
        found = [row[0] for row in store.db.execute("pragma integrity_check")]
        if found != ["ok"]:
            raise Damaged(f"{store.path}: {found[0]}; restore a backup")
        state = store.state
        return [f"list {store.identity}, revision {state.revision}, {len(state.entries)} members, "
                f"{len(store.history)} changes kept, digest {state.digest:032x}"]
    finally:
        store.close()


def backup(folder: Path, to: Path) -> str:
    """A copy of the list as it is in one file, taken while the service runs or not; returns what it holds."""
    source = folder / FILE
    if not source.exists():
        raise Damaged(f"{folder}: holds no list; give the directory of `serve --data`")
    if to.exists():
        raise Damaged(f"{to}: is there already; name another file")
    new = to.with_name(f"{to.name}.{os.getpid()}")
    try:
        with contextlib.closing(sqlite3.connect(f"file:{source}?mode=ro", uri=True)) as db, \
                contextlib.closing(sqlite3.connect(new)) as copy:
            db.backup(copy)
            copy.execute("pragma journal_mode=delete")
            revision = copy.execute("select value from meta where key = 'revision'").fetchone()[0]
        _sync(new)
        new.rename(to)
        _sync(to.parent)
    except (sqlite3.Error, TypeError) as e:
        new.unlink(missing_ok=True)
        raise Damaged(f"{source}: {e}; check the directory") from None
    return str(revision)


def restore(folder: Path, source: Path, unix_s: float | None = None) -> str:
    """The list of a backup under a new identity and above every revision ever given; returns what it holds.

    What was in the directory is moved aside, not lost. Raises Damaged, and then nothing has changed.
    """
    if not source.exists():
        raise Damaged(f"{source}: is not there; give the file that `backup` wrote")
    lock = _locked(folder)
    made = folder / "restoring"
    try:
        shutil.rmtree(made, ignore_errors=True)
        made.mkdir()
        with contextlib.closing(sqlite3.connect(f"file:{source}?mode=ro", uri=True)) as db, \
                contextlib.closing(sqlite3.connect(made / FILE)) as copy:
            db.backup(copy)
            meta = dict(copy.execute("select key, value from meta"))
            above = max(int(meta["revision"]), _highest_revision(folder))
            revision = first_revision(time.time() if unix_s is None else unix_s, above)
            with copy:
                copy.execute("delete from history")  # of the other list: who watched that one starts anew
                copy.executemany("update meta set value = ? where key = ?", [
                    (str(revision), "revision"), (secrets.token_hex(8), "list")])
        said = check(made)[0]
        _put_in_place(folder, made / FILE)
        return said
    except (sqlite3.Error, KeyError, ValueError) as e:
        raise Damaged(f"{source}: is no backup of a list ({e}); give another file") from None
    except Damaged as e:
        raise Damaged(f"{source}: holds no list that can be trusted ({e})") from None
    finally:
        shutil.rmtree(made, ignore_errors=True)
        os.close(lock)


def _highest_revision(folder: Path) -> int:
    """Of the lists in a directory, one that is put aside included, as far as they can be read. The clock may
    be behind them, and a backup is older than what was given after it."""
    highest = 0
    for path in (folder / FILE, *folder.glob(f"{ASIDE}*/{FILE}")):
        with contextlib.suppress(sqlite3.Error, TypeError, ValueError), \
                contextlib.closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as db:
            row = db.execute("select value from meta where key = 'revision'").fetchone()
            highest = max(highest, int(row[0]))
    return highest


def _put_in_place(folder: Path, new: Path) -> None:
    _sync(new)
    aside = folder / f"{ASIDE}{time.time_ns()}"
    for name in (FILE, f"{FILE}-wal", f"{FILE}-shm"):
        if (folder / name).exists():
            aside.mkdir(exist_ok=True)
            (folder / name).rename(aside / name)
    new.rename(folder / FILE)
    _sync(folder)


def _sync(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
