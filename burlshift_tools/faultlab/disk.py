"""Faults of what a process keeps on disk. Each is undone by what `spoil` returns, where it can be."""

from __future__ import annotations

import array
import contextlib
import fcntl
import os
import resource
import shutil
import stat
from collections.abc import Callable
from pathlib import Path

import numpy as np

FS_IOC_GETFLAGS, FS_IOC_SETFLAGS, FS_IMMUTABLE_FL = 0x80086601, 0x40086602, 0x10  # linux/fs.h


class DiskFault(Exception):
    """The fault cannot be made here; the text is one line that says why."""


def files(folder: Path) -> list[Path]:
    """The regular files that are kept, in an order of their own; no sockets."""
    return sorted(p for p in folder.rglob("*") if stat.S_ISREG(p.lstat().st_mode))


def keep_copy(folder: Path, to: Path) -> None:
    """What `older` puts back later."""
    shutil.rmtree(to, ignore_errors=True)
    to.mkdir(parents=True)
    for path in files(folder):
        copy = to / path.relative_to(folder)
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(path, copy)


def put_back(folder: Path, copy: Path) -> None:
    for path in files(folder):
        path.unlink()
    for path in files(copy):
        to = folder / path.relative_to(copy)
        to.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(path, to)


def change_byte(folder: Path, rng: np.random.Generator) -> str | None:
    """One bit of one byte of one file; says which. None where nothing is kept."""
    path = _any(folder, rng)
    if path is None:
        return None
    data = bytearray(path.read_bytes())
    at = int(rng.integers(len(data)))
    data[at] ^= 1 << int(rng.integers(8))
    path.write_bytes(data)
    return f"{path.name}:{at}"


def cut(folder: Path, rng: np.random.Generator) -> str | None:
    """One file ends earlier, at any byte; says where."""
    path = _any(folder, rng)
    if path is None:
        return None
    at = int(rng.integers(path.stat().st_size))
    os.truncate(path, at)
    return f"{path.name}:{at}"


def _any(folder: Path, rng: np.random.Generator) -> Path | None:
    kept = [p for p in files(folder) if p.stat().st_size]
    return kept[int(rng.integers(len(kept)))] if kept else None


def fill(pid: int) -> Callable[[], None]:
    """No file of the process can grow: by RLIMIT_FSIZE a write fails, with EFBIG for ENOSPC."""
    before = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, before[1]))

    def undo() -> None:
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(pid, resource.RLIMIT_FSIZE, before)

    return undo


def make_read_only(folder: Path) -> Callable[[], None]:
    """Nothing in the folder can be written; returns what makes it writable again. Raises DiskFault."""
    if os.geteuid() != 0:
        mode = folder.stat().st_mode
        folder.chmod(0o500)
        return lambda: folder.chmod(mode)
    # Permission bits do not bind root; the immutable flag does.
    flags = _flags(folder)
    _set_flags(folder, flags | FS_IMMUTABLE_FL)
    return lambda: _set_flags(folder, flags)


def _flags(folder: Path) -> int:
    value = array.array("L", [0])
    fd = os.open(folder, os.O_RDONLY)
    try:
        fcntl.ioctl(fd, FS_IOC_GETFLAGS, value)
    except OSError as e:
        raise DiskFault(f"{folder}: {e.strerror}; run the rig as an ordinary user") from None
    finally:
        os.close(fd)
    return int(value[0])


def _set_flags(folder: Path, flags: int) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        fcntl.ioctl(fd, FS_IOC_SETFLAGS, array.array("L", [flags]))
    except OSError as e:
        raise DiskFault(f"{folder}: {e.strerror}; run the rig as an ordinary user") from None
    finally:
        os.close(fd)
