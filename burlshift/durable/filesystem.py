"""File system access for durable state, as an interface that tests can replace, and its implementation."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK_NAME = "lock"


class FolderError(Exception):
    """The folder or a file in it cannot be used, and nothing was changed.

    The message is one line that names the path, the problem and what to do about it.
    """


class Files(Protocol):
    """The files of one folder, by name. Every method may raise OSError."""

    def names(self) -> list[str]:
        """The names of the files, sorted, without the lock file."""
        ...

    def read(self, name: str) -> bytes:
        """The whole content of a file."""
        ...

    def create(self, name: str) -> None:
        """Create an empty file as a new inode, replacing any file of that name."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that `create` made. On an error, part of the data may have been written."""

    def sync(self, name: str) -> None:
        """Flush appended data to disk (fsync(2)). The directory entry is flushed by `sync_folder`."""

    def finish(self, name: str) -> None:
        """Close the file's descriptor: nothing more will be appended."""

    def rename(self, name: str, to: str) -> None:
        """Rename a file, replacing any file of the new name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a file, which may be open for appending."""
        ...

    def sync_folder(self) -> None:
        """Flush the directory entries to disk."""

    def close(self) -> None:
        """Close all files and release the folder for other processes."""
        ...


def sync_folder(path: Path) -> None:
    """Flush the entries of a directory to disk. Raises OSError."""
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def make_folder(path: Path) -> None:
    """Create a directory and its missing parents, and flush each new entry to disk. Raises OSError."""
    if path.is_dir():
        return
    make_folder(path.parent)
    path.mkdir(exist_ok=True)
    try:
        sync_folder(path.parent)
    except OSError:
        with contextlib.suppress(OSError):
            path.rmdir()  # so that a retry creates and flushes it again
        raise


class Folder:
    """`Files` on a real directory, which a lock file reserves for one process at a time."""

    def __init__(self, path: Path) -> None:
        """Create the directory if it is missing, and lock it. Raises FolderError."""
        self.path = path
        self._open: dict[str, int] = {}
        try:
            make_folder(path)
            self._lock = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise FolderError(f"{path}: {error.strerror}; give a folder that can be written") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            if isinstance(error, BlockingIOError):
                raise FolderError(
                    f"{path}: another process has it; end that or give another folder"
                ) from None
            raise FolderError(f"{path}: {error.strerror}; give a folder that can be locked") from None

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != LOCK_NAME)

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
            view = view[os.write(self._open[name], view) :]

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
