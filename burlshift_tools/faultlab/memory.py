"""What a process takes of its platform's memory."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from pathlib import Path

KIB_BYTES = 1024


@dataclass(frozen=True, slots=True)
class Taken:
    """The memory of one process, in bytes."""

    anonymous: int  # RssAnon of proc(5): its own, without files
    resident: int  # VmRSS: with the files that it has mapped, shared ones included


def of_process(pid: int) -> Taken:
    """Nothing for a process that has ended."""
    fields: dict[str, int] = {}
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("RssAnon", "VmRSS"):
                fields[name] = int(value.split()[0]) * KIB_BYTES
    return Taken(fields.get("RssAnon", 0), fields.get("VmRSS", 0))


def of_folder(folder: Path) -> int:
    """The length of the files in a folder, in bytes."""
    total = 0
    with contextlib.suppress(OSError):
        for path in folder.iterdir():
            with contextlib.suppress(OSError):
                total += path.stat().st_size if path.is_file() else 0
    return total
