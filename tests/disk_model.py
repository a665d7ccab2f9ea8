"""A disk as it may be found after a cut: what was synced, and any part, order and tear of what was not.

After Pillai et al., "All File Systems Are Not Created Equal" (OSDI 2014): appended bytes and names go to disk
on their own and in any order, until a sync of the file, or of the folder, puts them there.
"""

from __future__ import annotations

import errno
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random


@dataclass
class Inode:
    """A file of the model: synced content, and writes that are not synced."""

    synced: bytes = b""
    pending: list[bytes] = field(default_factory=list)

    def now(self) -> bytes:
        return self.synced + b"".join(self.pending)

    def may_be(self, tears: Callable[[bytes], list[int]]) -> list[bytes]:
        """Each piece that was not synced is there, missing (then zeros stand before a later one), or torn."""
        found = {self.synced}
        for present in itertools.product((False, True), repeat=len(self.pending)):
            pieces = [
                piece if there else bytes(len(piece))
                for piece, there in zip(self.pending, present, strict=True)
            ]
            last = max((i for i, there in enumerate(present) if there), default=-1)
            before = self.synced + b"".join(pieces[: max(0, last)])
            if last >= 0:
                found |= {before + pieces[last][:cut] for cut in tears(pieces[last])}
        return sorted(found)


class ModelDisk:
    """Files in memory; `cut` gives every disk that a power cut now could leave."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.inodes = {name: Inode(data) for name, data in (files or {}).items()}
        self.synced_names = dict(self.inodes)
        self.pending_names: list[tuple[str, Inode | None, str | None]] = []  # name, what it is, and what goes
        self.calls = 0
        self.before: Callable[[int, str], None] = lambda _n, _what: None  # may raise, or look

    def _call(self, what: str) -> None:
        self.calls += 1
        self.before(self.calls, what)

    def names(self) -> list[str]:
        return sorted(self.inodes)

    def read(self, name: str) -> bytes:
        if name not in self.inodes:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory")
        return self.inodes[name].now()

    def create(self, name: str) -> None:
        self._call("create")
        self.inodes[name] = Inode()
        self.pending_names.append((name, self.inodes[name], None))

    def append(self, name: str, data: bytes) -> None:
        self._call("append")
        self.inodes[name].pending.append(data)

    def sync(self, name: str) -> None:
        self._call("sync")
        inode = self.inodes[name]
        inode.synced, inode.pending = inode.now(), []

    def finish(self, name: str) -> None:
        return

    def rename(self, name: str, to: str) -> None:
        self._call("rename")
        self.inodes[to] = self.inodes.pop(name)
        self.pending_names.append((to, self.inodes[to], name))

    def remove(self, name: str) -> None:
        self._call("remove")
        if name not in self.inodes:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory")
        del self.inodes[name]
        self.pending_names.append((name, None, None))

    def sync_folder(self) -> None:
        self._call("sync_folder")
        self.synced_names, self.pending_names = dict(self.inodes), []

    def close(self) -> None:
        return

    # After a cut

    def cut(self, tears: Callable[[bytes], list[int]]) -> Iterator[dict[str, bytes]]:
        """All of them; their number grows with what is not synced."""
        for kept in itertools.product((False, True), repeat=len(self.pending_names)):
            names = self._names(kept)
            choices = [inode.may_be(tears) for inode in names.values()]
            for contents in itertools.product(*choices):
                yield dict(zip(names, contents, strict=True))

    def drawn(self, chance: Random) -> dict[str, bytes]:
        """One of them."""
        names = self._names(tuple(chance.random() < 0.5 for _ in self.pending_names))
        return {
            name: chance.choice(inode.may_be(lambda piece: [chance.randint(0, len(piece)), len(piece)]))
            for name, inode in names.items()
        }

    def _names(self, kept: tuple[bool, ...]) -> dict[str, Inode]:
        names = dict(self.synced_names)
        for (name, inode, gone), there in zip(self.pending_names, kept, strict=True):
            if there and inode is None:
                names.pop(name, None)
            elif there and inode is not None:
                names[name] = inode
                if gone is not None:
                    names.pop(gone, None)
        return names


def anywhere(piece: bytes) -> list[int]:
    """A piece may be torn after any byte."""
    return list(range(len(piece) + 1))
