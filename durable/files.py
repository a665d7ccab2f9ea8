"""The seam to the file system: every call that durable state makes of it. A model of a disk fits here too."""
from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK = "lock"


class Refused(Exception):
    """What is there cannot be used, and was not changed; the text is one line with place and mend."""


class Files(Protocol):
    """The files of one folder, by name. Everything but a name given wrongly raises OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> None:
        """A new empty file; one of that name is gone, and none of its pages are used again."""

    def append(self, name: str, data: bytes) -> None:
        """To a file that was created here. One that raises may have written a part."""

    def sync(self, name: str) -> None:
        """What was appended is on disk when this returns (fsync(2)); the name need not be."""

    def finish(self, name: str) -> None:
        """Nothing more is appended to it; its descriptor is closed."""

    def rename(self, name: str, to: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Names are on disk as they are now."""

    def close(self) -> None: ...


def sync_folder(path: Path) -> None:
    """The names in a folder are on disk when this returns."""
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def make_folder(path: Path) -> None:
    """With those above it that are missing, each of which is on disk by its name when this returns."""
    if path.is_dir():
        return
    make_folder(path.parent)
    path.mkdir(exist_ok=True)
    try:
        sync_folder(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            path.rmdir()  # the next try makes and syncs it anew
        raise


class Folder:
    """The files of a folder on the system's disk, held by one process at a time."""

    def __init__(self, path: Path) -> None:
        """Raises Refused."""
        self.path = path
        self._open: dict[str, int] = {}
        try:
            make_folder(path)
            self._lock = os.open(path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise Refused(f"{path}: {e.strerror}; give a folder that can be written") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as e:
            os.close(self._lock)
            if isinstance(e, BlockingIOError):
                raise Refused(f"{path}: another process has it; end that or give another folder") from None
            raise Refused(f"{path}: {e.strerror}; give a folder that can be locked") from None

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != LOCK)

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def create(self, name: str) -> None:
        self.finish(name)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path / name)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._open[name] = os.open(self.path / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._open[name], view):]

    def sync(self, name: str) -> None:
        os.fsync(self._open[name])

    def finish(self, name: str) -> None:
        fd = self._open.pop(name, None)
        if fd is not None:
            with contextlib.suppress(OSError):
                os.close(fd)

    def rename(self, name: str, to: str) -> None:
        os.replace(self.path / name, self.path / to)
        self.finish(to)
        if name in self._open:
            self._open[to] = self._open.pop(name)

    def remove(self, name: str) -> None:
        self.finish(name)
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        sync_folder(self.path)

    def close(self) -> None:
        for name in list(self._open):
            self.finish(name)
        os.close(self._lock)
