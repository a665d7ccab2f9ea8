"""Durable state: after a cut anywhere every yes is there, damage is found, and others' files are refused."""

from __future__ import annotations

import errno
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from burlshift.durable import store as storing
from burlshift.durable.filesystem import Files, Folder, Refused
from burlshift.durable.framing import Damage, frame, frames
from burlshift.durable.store import NotWritten, Recovered, Store
from tests.disk_model import ModelDisk, anywhere

DRAWN, CUTS = 2_000, 10  # cuts in all, and of one history


def opened(files: Files, fleet: str = "f", name: str = "a0") -> Store:
    return Store(files, fleet, name)


def state_of(r: Recovered) -> list[bytes]:
    """These tests keep a list of words: a snapshot joins them, a record is one more."""
    words = r.snapshot.split(b",") if r.snapshot else []
    return words + list(r.records)


def begin(s: Store) -> list[bytes]:
    words = state_of(s.recovered)
    s.begin(b",".join(words))
    return words


class Life:
    """Words said yes to, and words that may be there."""

    def __init__(self, files: ModelDisk) -> None:
        self.files, self.said, self.maybe = files, list[bytes](), list[bytes]()

    def run(self, commits: list[list[bytes]], rotate: frozenset[int] = frozenset()) -> None:
        s = opened(self.files)
        words = begin(s)
        self.said = list(words)
        for n, group in enumerate(commits):
            self.maybe = group
            for word in group:
                s.append(word)
            s.commit()
            words += group
            self.said, self.maybe = list(words), []
            if n in rotate:
                s.begin(b",".join(words))

    def check(self, disk: dict[str, bytes]) -> ModelDisk:
        """Recovery ends; every yes is there, in order, and nothing that was never written."""
        found = ModelDisk(disk)
        words = state_of(opened(found).recovered)
        assert words[: len(self.said)] == self.said
        assert words[len(self.said) :] == self.maybe[: len(words) - len(self.said)]
        return found


HISTORY = [[b"one"], [b"two", b"three"], [b"four"]]


def at_each_call(life: Callable[[ModelDisk], Life], look: Callable[[Life, ModelDisk], None]) -> int:
    """Run a life again and again, with a look at the disk before each of its calls."""
    total = ModelDisk()
    life(total).run(HISTORY, frozenset({1}))
    for stop in range(1, total.calls + 1):
        disk = ModelDisk()
        one = life(disk)

        def before(n: int, _: str, stop: int = stop, one: Life = one, disk: ModelDisk = disk) -> None:
            if n == stop:
                look(one, disk)

        disk.before = before
        one.run(HISTORY, frozenset({1}))
    return total.calls


def test_after_a_cut_at_any_call_every_yes_is_there_and_a_second_cut_changes_nothing() -> None:
    seen = [0]

    def look(life: Life, disk: ModelDisk) -> None:
        for left in disk.cut(anywhere):
            seen[0] += 1
            again = life.check(left)
            words = state_of(opened(ModelDisk(left)).recovered)
            if seen[0] % 7:
                continue

            def second(_n: int, _what: str, again: ModelDisk = again, words: list[bytes] = words) -> None:
                for twice in again.cut(lambda piece: [0, len(piece)]):
                    assert state_of(opened(ModelDisk(twice)).recovered) == words

            again.before = second
            begin(opened(again))

    assert at_each_call(Life, look) > 20
    assert seen[0] > 500


def test_drawn_histories_with_cuts_at_drawn_places() -> None:
    chance = Random(7)
    for _ in range(DRAWN // CUTS):
        commits = [
            [b"%d-%d" % (n, i) for i in range(chance.randint(1, 4))] for n in range(chance.randint(1, 12))
        ]
        rotate = frozenset(n for n in range(len(commits)) if chance.random() < 0.3)
        disk = ModelDisk()
        life = Life(disk)
        stop = chance.randint(1, 30)

        def before(n: int, _what: str, life: Life = life, disk: ModelDisk = disk, stop: int = stop) -> None:
            if n == stop:
                for _ in range(CUTS):
                    life.check(disk.drawn(chance))

        disk.before = before
        life.run(commits, rotate)
        life.check({name: disk.read(name) for name in disk.names()})


@pytest.mark.parametrize("bit", [0, 7])
def test_a_changed_bit_anywhere_is_found_and_named_and_what_is_older_is_used(bit: int) -> None:
    disk = ModelDisk()
    life = Life(disk)
    life.run(HISTORY, frozenset({1}))
    whole = {name: disk.read(name) for name in disk.names()}
    assert len(whole) == 4  # two generations
    for name, data in whole.items():
        for at in range(len(data)):
            spoilt = data[:at] + bytes([data[at] ^ 1 << bit]) + data[at + 1 :]
            recovered = opened(ModelDisk(whole | {name: spoilt})).recovered
            assert any(note.startswith(f"{name}: ") and "offset" in note for note in recovered.notes)
            words = state_of(recovered)
            assert words == life.said[: len(words)]
            if name.startswith("snapshot"):
                assert words == life.said  # the other generation has it all


@pytest.mark.parametrize(
    ("fleet", "name", "says"),
    [("g", "a0", "belongs to a0 of f, not to a0 of g"), ("f", "a1", "belongs to a0 of f, not to a1 of f")],
)
def test_anothers_files_are_refused_and_left_as_they_are(fleet: str, name: str, says: str) -> None:
    disk = ModelDisk()
    begin(opened(disk))
    before = {n: disk.read(n) for n in disk.names()}
    with pytest.raises(Refused, match=says):
        opened(disk, fleet, name)
    assert {n: disk.read(n) for n in disk.names()} == before


def test_another_versions_files_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = ModelDisk()
    begin(opened(disk))
    monkeypatch.setattr(storing, "VERSION", 2)
    with pytest.raises(Refused, match="use the program that wrote it"):
        opened(disk)


@pytest.mark.parametrize("what", ["append", "sync"])
def test_what_the_disk_does_not_take_is_said_and_goes_on_in_a_new_generation(what: str) -> None:
    disk = ModelDisk()
    s = opened(disk)
    begin(s)

    def fails(_: int, call: str) -> None:
        if call == what:
            raise OSError(errno.EIO, "Input/output error")

    disk.before = fails
    s.append(b"one")
    with pytest.raises(NotWritten, match="journal-1: Input/output error"):
        s.commit()
    with pytest.raises(NotWritten, match="snapshot-2: Input/output error"):
        s.begin(b"one")
    disk.before = lambda _n, _call: None
    s.append(b"two")
    with pytest.raises(NotWritten, match="begin a new generation"):  # a sync that failed is not tried again
        s.commit()
    s.begin(b"one")
    s.append(b"two")
    s.commit()
    again = opened(ModelDisk({name: disk.read(name) for name in disk.names()}))
    assert state_of(again.recovered) == [b"one", b"two"]


def test_the_generation_before_stays_though_some_could_not_be_written() -> None:
    disk = ModelDisk()
    s = opened(disk)
    begin(s)
    s.append(b"one")
    s.commit()
    disk.before = lambda _n, _call: (_ for _ in ()).throw(OSError(errno.ENOSPC, "No space left on device"))
    for _ in range(3):
        with pytest.raises(NotWritten):
            s.begin(b"one")
    disk.before = lambda _n, _call: None
    s.begin(b"one")
    files = {name: disk.read(name) for name in disk.names()}
    files[f"snapshot-{s._generation}"] = b"spoilt"
    assert state_of(opened(ModelDisk(files)).recovered) == [b"one"]


def test_on_a_real_disk_one_process_at_a_time(tmp_path: Path) -> None:
    folder = Folder(tmp_path / "state")
    s = opened(folder)
    assert s.recovered == Recovered()
    begin(s)
    for n in range(5):
        s.append(b"%d" % n)
        s.commit()
    size = (tmp_path / "state" / "journal-1").stat().st_size
    assert s.journal_bytes == size
    with pytest.raises(Refused, match="another process has it"):
        Folder(tmp_path / "state")
    s.close()
    again = opened(Folder(tmp_path / "state"))
    assert begin(again) == [b"0", b"1", b"2", b"3", b"4"]
    again.begin(b"5")
    assert again._files.names() == ["journal-2", "journal-3", "snapshot-2", "snapshot-3"]
    again.close()
    with pytest.raises(Refused, match="give a folder that can be written"):
        Folder(tmp_path / "state" / "snapshot-3" / "x")


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=300), st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=20)), max_size=5))
def test_frames_are_read_as_written_and_bytes_from_anyone_are_damage(
    junk: bytes, written: list[tuple[int, bytes]]
) -> None:
    data = b"".join(frame(kind, payload) for kind, payload in written)
    assert [(kind, payload) for _, kind, payload in frames(data)] == written
    if junk:
        with pytest.raises(Damage, match="offset"):
            list(frames(data + junk))
    disk = ModelDisk({"snapshot-1": junk, "journal-1": data, "snapshot-x": junk, "other": junk})
    assert opened(disk).recovered.snapshot is None
