"""The list on disk: SQLite with one writer, group commit, and a digest over the state.

WAL with synchronous=FULL: a commit has been synced when it returns (https://sqlite.org/wal.html, 3).
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import secrets
import shutil
import sqlite3
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from burlshift.durable.filesystem import make_folder, sync_folder

from .state_machine import Answer, Change, Entry, History, State, Write

FORMAT_VERSION = 1
DATABASE_FILE, LOCK_FILE = "catalog.sqlite3", "lock"
RESTORED_FILE = "restored.sqlite3"  # a complete list that a restore puts in the place of DATABASE_FILE
REPLACED_PREFIX = "before-"  # of the name of a directory with a list that a restore has replaced
REVISION_SHIFT = 20  # valid while a list changes less than 2**20 times a second on average
MAX_HISTORY_CHANGES, MAX_HISTORY_BYTES = 10_000, 32 * 1024 * 1024
TABLES = """
create table meta (key text primary key, value text not null) without rowid;
create table entries (id text primary key, doc blob not null) without rowid;
create table history (revision integer primary key, doc blob not null);
create table answers (place integer primary key, key text not null unique, doc blob not null);
create table fences (place integer primary key, id text not null unique, start integer not null);
"""


class CatalogDataError(Exception):
    """The data is corrupt or unusable. The message is one line that names the file and the remedy."""


class StorageUnavailableError(CatalogDataError):
    """The disk fails or another process holds the data; nothing indicates that the data is damaged."""


class CommitError(Exception):
    """The disk failed and the transaction is rolled back. The message is one line.

    After a crash it may still be found committed, unless `Store.settle` has returned before.
    """


PRIMARY_CODE_MASK = 0xFF  # mask of the primary code in SQLite's extended result codes
# Result codes that do not indicate damaged data (https://sqlite.org/rescode.html).
TRANSIENT_CODES = frozenset(
    {
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_NOMEM,
        sqlite3.SQLITE_PROTOCOL,
    }
)


def _is_transient(error: sqlite3.Error) -> bool:
    """Whether an error comes from the disk or another process rather than from damaged data."""
    return getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK in TRANSIENT_CODES


@dataclass(frozen=True, slots=True)
class Command:
    """Writes that are applied together or not at all, with the Idempotency-Key if there is one."""

    writes: tuple[Write, ...]
    key: str | None = None


def first_revision(unix_s: float, above: int = 0) -> int:
    """A first revision above all that a list created earlier, or the restored one, can have had."""
    return max(int(unix_s) << REVISION_SHIFT, above + (1 << REVISION_SHIFT))


class Store:
    """The database and its state. Only one thread at a time may use it, except for `identity`."""

    def __init__(self, folder: Path, connect: Any = sqlite3.connect) -> None:
        """Open the list, or create it if there is none. Raises CatalogDataError."""
        self.path = folder / DATABASE_FILE
        self._lock = _acquire_lock(folder)
        self._db: sqlite3.Connection | None = None
        self.in_doubt = False  # a failed commit may be complete in the log, and a restart would recover it
        try:
            self._open(connect)
        except BaseException:
            self.close()
            raise

    def _open(self, connect: Any) -> None:
        try:
            finish_restore(self.path.parent)
        except OSError as error:
            raise StorageUnavailableError(
                f"{self.path}: {error.strerror}; mend the disk and start again"
            ) from None
        is_new = not self.path.exists()
        try:
            self._db = connect(str(self.path), isolation_level=None, check_same_thread=False)
            mode = self._db.execute("pragma journal_mode=wal").fetchone()[0]
            if mode != "wal":  # SQLite keeps the old mode without an error
                raise StorageUnavailableError(
                    f"{self.path}: the write-ahead log cannot be made ({mode} stays); "
                    "mend the disk and start again"
                )
            self._db.execute("pragma synchronous=full")
            if is_new or not self._db.execute("select count(*) from sqlite_master").fetchone()[0]:
                self._create()
            self._load()
            # SQLite ignores errors of the directory sync when it creates its files.
            sync_folder(self.path.parent)
        except sqlite3.DatabaseError as error:
            if _is_transient(error):
                raise StorageUnavailableError(
                    f"{self.path}: {error}; mend the disk and start again"
                ) from None
            raise CatalogDataError(f"{self.path}: {error}; restore a backup") from None
        except OSError as error:
            raise StorageUnavailableError(
                f"{self.path}: {error.strerror}; mend the disk and start again"
            ) from None

    def _create(self) -> None:
        db = self.db
        revision = first_revision(time.time())
        db.execute("begin immediate")
        for statement in TABLES.split(";"):
            db.execute(statement)
        db.executemany(
            "insert into meta values (?, ?)",
            [
                ("format", str(FORMAT_VERSION)),
                ("list", secrets.token_hex(8)),
                ("revision", str(revision)),
                ("digest", f"{0:032x}"),
            ],
        )
        db.execute("commit")

    @property
    def db(self) -> sqlite3.Connection:
        assert self._db is not None
        return self._db

    def _load(self) -> None:
        """Load the state and verify its digest, after SQLite's own check. Raises CatalogDataError."""
        db = self.db
        _check_integrity(db, "quick_check(1)", self.path)
        meta = dict(db.execute("select key, value from meta"))
        if meta.get("format") != str(FORMAT_VERSION):
            raise CatalogDataError(
                f"{self.path}: is of format {meta.get('format')}, this program's is {FORMAT_VERSION}; "
                "use the program that wrote it"
            )
        try:
            entries = {
                name: msgspec.msgpack.decode(doc, type=Entry)
                for name, doc in db.execute("select id, doc from entries")
            }
            answers = {
                key: msgspec.msgpack.decode(doc, type=Answer)
                for key, doc in db.execute("select key, doc from answers order by place")
            }
            fences = dict(db.execute("select id, start from fences order by place"))
            self.state = State(int(meta["revision"]), entries, answers, fences)
            self.identity, digest = meta["list"], int(meta["digest"], 16)
            self.history, self._history_dropped_to = History(MAX_HISTORY_CHANGES, MAX_HISTORY_BYTES), 0
            for _, doc in db.execute("select revision, doc from history order by revision"):
                dropped = self.history.add(msgspec.msgpack.decode(doc, type=Change), len(doc))
                self._history_dropped_to = max(self._history_dropped_to, dropped)
        except (KeyError, ValueError, msgspec.DecodeError) as error:
            raise CatalogDataError(f"{self.path}: {error}; restore a backup") from None
        if any(name != entry.member.id for name, entry in entries.items()) or self.state.digest != digest:
            raise CatalogDataError(f"{self.path}: the list is not the one that was written; restore a backup")

    def commit(self, commands: Sequence[Command]) -> tuple[State, list[Answer], list[Change]]:
        """Apply the commands in order in one transaction, which is on disk when this returns.

        The caller passes the returned state to `adopt`. Raises CommitError if the transaction is rolled back;
        `settle` ensures that no restart recovers it.
        """
        state = self.state.copy()
        answers, changes = [], []
        fences = dict(state.fences)
        new_answers: list[tuple[str, Answer]] = []
        for command in commands:
            repeated = command.key is not None and command.key in state.answers
            answer, change = state.apply(command.writes, command.key)
            answers.append(answer)
            if change is not None:
                changes.append(change)
            if command.key is not None and not repeated and command.key in state.answers:
                new_answers.append((command.key, answer))
        if changes or new_answers:
            self._write(state, changes, new_answers, fences)
        return state, answers, changes

    def _write(
        self,
        state: State,
        changes: Sequence[Change],
        new_answers: Sequence[tuple[str, Answer]],
        fences: dict[str, int],
    ) -> None:
        db, encode = self.db, msgspec.msgpack.encode
        try:
            db.execute("begin immediate")
            for change in changes:
                db.executemany(
                    "insert or replace into entries values (?, ?)",
                    [(entry.member.id, encode(entry)) for entry in change.put],
                )
                db.executemany(
                    "delete from entries where id = ?", [(entry.member.id,) for entry in change.gone]
                )
                db.execute("insert into history values (?, ?)", (change.revision, encode(change)))
            for key, answer in new_answers:
                db.execute("insert into answers (key, doc) values (?, ?)", (key, encode(answer)))
            if len(state.answers) < len(self.state.answers) + len(new_answers):
                db.execute(
                    "delete from answers where place not in "
                    "(select place from answers order by place desc limit ?)",
                    (len(state.answers),),
                )
            if state.fences != fences:
                self._write_fences(state)
            db.executemany(
                "update meta set value = ? where key = ?",
                [(str(state.revision), "revision"), (f"{state.digest:032x}", "digest")],
            )
            if self._history_dropped_to:
                db.execute("delete from history where revision <= ?", (self._history_dropped_to,))
            db.execute("commit")
        except sqlite3.Error as error:
            self.in_doubt = True
            with contextlib.suppress(sqlite3.Error):
                if db.in_transaction:
                    db.execute("rollback")
            raise CommitError(f"{self.path}: {error}") from None
        self.in_doubt = False

    def settle(self) -> None:
        """Overwrite what a failed commit left in the write-ahead log. Raises CommitError.

        If only its sync failed, the transaction is complete there, and a restart would recover it.
        """
        if not self.in_doubt:
            return
        try:
            version = self.db.execute("pragma user_version").fetchone()[0]
            self.db.execute(f"pragma user_version={int(version == 0)}")  # any change overwrites the log
        except sqlite3.Error as error:
            raise CommitError(f"{self.path}: {error}") from None
        self.in_doubt = False

    def _write_fences(self, state: State) -> None:
        old = self.state.fences
        self.db.executemany(
            "delete from fences where id = ?",
            [(name,) for name, start in old.items() if state.fences.get(name) != start],
        )
        self.db.executemany(
            "insert into fences (id, start) values (?, ?)",
            [(name, start) for name, start in state.fences.items() if old.get(name) != start],
        )

    def adopt(self, state: State, changes: Sequence[Change]) -> None:
        """Make the state that `commit` returned the current one, which readers see.

        The next commit deletes from the file what the history has dropped.
        """
        self.state = state
        for change in changes:
            dropped = self.history.add(change, len(msgspec.msgpack.encode(change)))
            self._history_dropped_to = max(self._history_dropped_to, dropped)

    def close(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None
        os.close(self._lock)


def _acquire_lock(folder: Path) -> int:
    """Lock a directory for the life of the process, as two writers would overwrite each other's changes.

    Returns the descriptor that holds the lock. Raises StorageUnavailableError.
    """
    try:
        make_folder(folder)
        fd = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        raise StorageUnavailableError(
            f"{folder}: {error.strerror}; give a directory that can be written"
        ) from None
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(fd)
        raise StorageUnavailableError(
            f"{folder}: another process has it open; end that or give another directory"
        ) from None
    except OSError as error:
        os.close(fd)
        raise StorageUnavailableError(
            f"{folder}: {error.strerror}; give a directory that can be locked"
        ) from None
    return fd


def _holds_list(folder: Path) -> bool:
    return (folder / DATABASE_FILE).exists() or (folder / RESTORED_FILE).exists()


def check(folder: Path) -> list[str]:
    """Run every check on a directory and return lines on its content. Raises CatalogDataError."""
    if not _holds_list(folder):
        raise CatalogDataError(f"{folder}: holds no list; give the directory of `serve --data`")
    store = Store(folder)
    try:
        _check_integrity(store.db, "integrity_check", store.path)
        state = store.state
        return [
            f"list {store.identity}, revision {state.revision}, {len(state.entries)} members, "
            f"{len(store.history)} changes kept, digest {state.digest:032x}"
        ]
    except sqlite3.Error as error:
        raise StorageUnavailableError(f"{store.path}: {error}; mend the disk and try again") from None
    finally:
        store.close()


def _check_integrity(db: sqlite3.Connection, check: str, path: Path) -> None:
    """Run SQLite's own check, which reports read errors like corruption.

    Raises CatalogDataError or StorageUnavailableError.
    """
    found = [row[0] for row in db.execute(f"pragma {check}")]
    if found == ["ok"]:
        return
    text = " ".join(found[0].split())
    codes = [int(code) for code in re.findall(r"error code=(\d+)", text)]
    if any(code & PRIMARY_CODE_MASK in TRANSIENT_CODES for code in codes):
        raise StorageUnavailableError(f"{path}: {text}; mend the disk and try again")
    raise CatalogDataError(f"{path}: {text}; restore a backup")


def backup(folder: Path, to: Path) -> str:
    """Copy the list into one file, also while the service runs; returns the revision of the copy.

    Raises CatalogDataError, and then leaves no such file.
    """
    source = folder / DATABASE_FILE
    if not source.exists():
        raise CatalogDataError(f"{folder}: holds no list; give the directory of `serve --data`")
    if to.exists():
        raise CatalogDataError(f"{to}: is there already; name another file")
    new = to.with_name(f"{to.name}.{os.getpid()}")
    try:
        with _copy_database(source, new) as copy:
            revision = copy.execute("select value from meta where key = 'revision'").fetchone()[0]
        _sync_file(new)
        os.replace(new, to)
        _sync_rename(to)
    except OSError as error:
        raise StorageUnavailableError(f"{to}: {error.strerror}; mend the disk or name another file") from None
    except sqlite3.Error as error:
        if _is_transient(error):
            raise StorageUnavailableError(
                f"{source} to {to}: {error}; mend the disk or name another file"
            ) from None
        raise CatalogDataError(f"{source}: {error}; check the directory") from None
    except TypeError:
        raise CatalogDataError(f"{source}: has no revision; check the directory") from None
    finally:
        _remove(new)
    return str(revision)


@contextlib.contextmanager
def _copy_database(source: Path, to: Path) -> Iterator[sqlite3.Connection]:
    """Copy a list into a single file, open for changes until the context ends."""
    with (
        contextlib.closing(sqlite3.connect(f"file:{source}?mode=ro", uri=True)) as db,
        contextlib.closing(sqlite3.connect(to)) as copy,
    ):
        db.backup(copy)
        mode = copy.execute("pragma journal_mode=delete").fetchone()[0]
        if mode != "delete":  # a part of the list would stay in another file
            raise StorageUnavailableError(
                f"{to}: its write-ahead log cannot be ended ({mode} stays); mend the disk"
            )
        yield copy


def _sync_rename(path: Path) -> None:
    """Flush the entry of a file that was just renamed, and remove the file if that fails. Raises OSError."""
    try:
        sync_folder(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(path)
        raise


def _remove(path: Path) -> None:
    """Remove a database with its journal, log and shared memory."""
    for suffix in ("", "-journal", "-wal", "-shm"):
        with contextlib.suppress(OSError):
            os.unlink(f"{path}{suffix}")


def restore(folder: Path, source: Path, unix_s: float | None = None) -> str:
    """Restore a backup under a new identity and above every earlier revision; returns a line on its content.

    What was in the directory is moved to a directory beside it. Raises CatalogDataError; then either nothing
    has changed or, if the message says so, the next start has the restored list.
    """
    if not source.exists():
        raise CatalogDataError(f"{source}: is not there; give the file that `backup` wrote")
    lock = _acquire_lock(folder)
    try:
        summary = _prepare_restore(folder, source, unix_s)
        try:
            finish_restore(folder)
        except OSError as error:
            raise StorageUnavailableError(
                f"{folder}: {error.strerror}; mend the disk, and the next start finishes the restore"
            ) from None
        return summary
    except OSError as error:
        raise StorageUnavailableError(f"{folder}: {error.strerror}; mend the disk and try again") from None
    finally:
        os.close(lock)


def _prepare_restore(folder: Path, source: Path, unix_s: float | None) -> str:
    """Create RESTORED_FILE from a backup and check it; returns a line on its content."""
    staging = folder / "restoring"
    try:
        shutil.rmtree(staging, ignore_errors=True)
        staging.mkdir()
        with _copy_database(source, staging / DATABASE_FILE) as copy:
            meta = dict(copy.execute("select key, value from meta"))
            above = max(int(meta["revision"]), _highest_revision(folder))
            revision = first_revision(time.time() if unix_s is None else unix_s, above)
            with copy:
                copy.execute("delete from history")  # that of the other list; its watchers get the full list
                copy.executemany(
                    "update meta set value = ? where key = ?",
                    [(str(revision), "revision"), (secrets.token_hex(8), "list")],
                )
        summary = check(staging)[0]
        if (staging / f"{DATABASE_FILE}-wal").exists():  # the final checkpoint failed
            raise StorageUnavailableError(
                f"{staging}: the write-ahead log stays; mend the disk and try again"
            )
        _sync_file(staging / DATABASE_FILE)
        os.replace(staging / DATABASE_FILE, folder / RESTORED_FILE)
        _sync_rename(folder / RESTORED_FILE)
        return summary
    except sqlite3.Error as error:
        if _is_transient(error):
            raise StorageUnavailableError(
                f"{source} to {folder}: {error}; mend the disk and try again"
            ) from None
        raise CatalogDataError(f"{source}: is no backup of a list ({error}); give another file") from None
    except (KeyError, ValueError) as error:
        raise CatalogDataError(f"{source}: is no backup of a list ({error}); give another file") from None
    except StorageUnavailableError:
        raise
    except CatalogDataError as error:
        raise CatalogDataError(f"{source}: holds no list that can be trusted ({error})") from None
    finally:
        shutil.rmtree(staging, ignore_errors=True)


def _highest_revision(folder: Path) -> int:
    """The highest revision of the readable lists in a directory, those moved aside included; 0 if none.

    It is needed as the wall clock may be behind them, and a backup is older than the writes after it.
    """
    highest = 0
    for path in (folder / DATABASE_FILE, *folder.glob(f"{REPLACED_PREFIX}*/{DATABASE_FILE}")):
        with (
            contextlib.suppress(sqlite3.Error, TypeError, ValueError),
            contextlib.closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as db,
        ):
            row = db.execute("select value from meta where key = 'revision'").fetchone()
            highest = max(highest, int(row[0]))
    return highest


def finish_restore(folder: Path) -> None:
    """Replace the list by RESTORED_FILE, if there is one, and move the old files to a directory beside it.

    Idempotent, and run at each start too: a restore interrupted by a crash or a disk error would otherwise
    leave no list, and the start would create an empty one. Raises OSError.
    """
    restored = folder / RESTORED_FILE
    if not restored.exists():
        return
    old_files = [folder / f"{DATABASE_FILE}{suffix}" for suffix in ("", "-wal", "-shm")]
    if any(path.exists() for path in old_files):
        aside = folder / f"{REPLACED_PREFIX}{restored.stat().st_mtime_ns}"  # the same at each attempt
        aside.mkdir(exist_ok=True)
        for path in old_files:
            if path.exists():
                os.replace(path, aside / path.name)
        sync_folder(aside)
        sync_folder(folder)  # an old log beside the new file would be applied to it
    os.replace(restored, folder / DATABASE_FILE)
    sync_folder(folder)


def _sync_file(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
