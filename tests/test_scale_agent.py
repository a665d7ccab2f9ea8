"""The scale measurements of one agent, so small that only the tool is tried: no figure is judged."""

from __future__ import annotations

import os
import socket
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from burlshift_tools.faultlab.scale import agentcost, deep, latency
from burlshift_tools.faultlab.scale.agentcost_lists import Traffic
from burlshift_tools.faultlab.scale.latency_client import (
    LATE_NS,
    LEAD_NS,
    Arrival,
    Block,
    Client,
    Taken,
    Target,
)
from burlshift_tools.faultlab.scale.latency_parts import Tally, arrivals, judge
from burlshift_tools.faultlab.scale.latency_standin import whole_message
from burlshift_tools.faultlab.scale.slopes import Figure, Measured, Run, Slope

SIZES = (20, 40)


def _children() -> set[int]:
    """Every process below this one, the unreaped included."""
    found, parents = set(), {}
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                stat = (entry / "stat").read_text()
            except OSError:
                continue
            parents[int(entry.name)] = int(stat.rpartition(")")[2].split()[1])
    below = {os.getpid()}
    while more := {pid for pid, parent in parents.items() if parent in below} - below:
        below |= more
        found |= more
    return found


def _left() -> tuple[set[int], set[str], set[int]]:
    """Processes, folders and threads of a measurement."""
    folders = {p.name for p in Path(tempfile.gettempdir()).glob("scale-*")}
    return _children(), folders, {t.ident or 0 for t in threading.enumerate()}


@pytest.fixture
def leaves_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    # A temporary directory of its own: measurements of other test runs come and go in the shared one.
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(tempfile, "tempdir", None)
    before = _left()
    yield
    assert _left() == before


def _measured(found: list[Measured]) -> dict[str, str]:
    """Units by name; every slope has its sizes, and no name comes twice."""
    names = [f.name for f in found]
    assert len(names) == len(set(names))
    for figure in found:
        assert isinstance(figure, Slope | Figure)
        if isinstance(figure, Slope):
            assert len({p.size for p in figure.points}) >= 2, figure.name
            figure.fit()
    return {f.name: f.unit for f in found}


def _sizes(found: list[Measured], per: str) -> set[tuple[int, ...]]:
    return {tuple(p.size for p in f.points) for f in found if isinstance(f, Slope) and f.per == per}


@pytest.mark.usefixtures("leaves_nothing")
def test_an_agents_cost_is_measured_by_members() -> None:
    found = agentcost.measure(SIZES, Run(say=lambda _text: None))
    units = _measured(found)
    wanted = {
        "memory_mb": "MB",
        "idle_share": "of a core",
        "rest_bytes_s": "bytes/s",
        "change_ms": "ms",
        "change_bytes": "bytes",
        "zone_change_ms": "ms",
        "zone_change_bytes": "bytes",
        "zone_one_by_one_ms": "ms",
        "zone_one_by_one_bytes": "bytes",
        "whole_list_ms": "ms",
        "whole_list_bytes": "bytes",
    }
    for name, unit in wanted.items():
        assert units[f"agent.{name}"] == units[f"agent.{name}_ask"] == unit
    turns = (
        "agent.longest_turn_ms",
        "agent.turn_json_ms",
        "agent.turn_parser_ms",
        "agent.turn_roster_ms",
        "agent.turn_backends_ms",
        "decisions.whole_list_ms",
        "agent.change_turn_ms",
        "agent.change_roster_ms",
        "decisions.change_ms",
        "decisions.rebuild_ms",
    )
    assert all(units[name] == "ms" for name in turns)
    assert units["decisions.request_us"] == units["decisions.request_between_us"] == "us"
    assert _sizes(found, "members") == {(agentcost.SERVICE, *SIZES)}
    by_name = {f.name: f for f in found if isinstance(f, Slope)}
    for mode in ("", "_ask"):  # what is told grows with the members, whatever the machine does
        told = [p.value for p in by_name[f"agent.whole_list_bytes{mode}"].points]
        assert 50 * agentcost.SERVICE < told[0] < told[1] < told[2]


@pytest.mark.usefixtures("leaves_nothing")
def test_what_is_added_to_a_call_is_measured_by_members() -> None:
    found = latency.measure(SIZES, Run(say=lambda _text: None))
    units = _measured(found)
    for rate in (42, 420):
        for p in ("p50", "p99", "p999"):
            for way in ("added", "agent", "direct"):
                assert units[f"call.{way}_{p}_ms_{rate}"] == "ms"
        assert units[f"call.cpu_ms_{rate}"] == "ms"
        assert units[f"call.connections_{rate}"] == "a call"
    assert _sizes(found, "members") == {(agentcost.SERVICE, *SIZES)}


@pytest.mark.usefixtures("leaves_nothing")
def test_what_is_added_to_deep_calls_is_measured_by_depth() -> None:
    said: list[str] = []
    found = deep.measure(SIZES, Run(say=said.append))
    units = _measured(found)
    assert all(units[f"deep.{way}_{p}_ms"] == "ms" for way in ("added", "direct") for p in ("p50", "p99"))
    assert _sizes(found, "calls deep") == {deep.LITTLE.depths}
    assert not any("failed" in line and " 0 failed" not in line for line in said), said


def test_rest_is_counted_over_whole_calls() -> None:
    """Two calls of 200 bytes in the 40 s after the first; what was seen before it and after is of none."""

    def mark(at: float, count: int) -> agentcost.Mark:
        return agentcost.Mark(at, count * 1_000_000, Traffic(150 * count, 50 * count))

    seen = [mark(0.0, 0), mark(3.0, 1), mark(23.0, 2), mark(43.0, 3)]
    assert agentcost._between(seen, mark(44.0, 3)) == agentcost.Rest(2e-3 / 40, 400 / 40)
    assert agentcost._between(seen[:1], mark(4.0, 0)) == agentcost.Rest(0.0, 0.0)


def test_arrivals_are_drawn_ahead_and_the_same_each_time() -> None:
    drawn = arrivals(Random(7), [(0, 100.0), (1, 50.0)], 10.0)
    assert drawn == arrivals(Random(7), [(0, 100.0), (1, 50.0)], 10.0)
    assert [a.at_us for a in drawn] == sorted(a.at_us for a in drawn)
    assert {a.target for a in drawn} == {0, 1} and max(a.at_us for a in drawn) < 10_000_000


@pytest.fixture
def silent() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


def _answering(listener: socket.socket, count: int, come: threading.Barrier) -> threading.Thread:
    """Takes so many connections, and answers none before a request has come on each."""

    def serve() -> None:
        conns = [listener.accept()[0] for _ in range(count)]
        for conn in conns:
            conn.recv(65536)
        come.wait()
        for conn in conns:
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            conn.close()

    thread = threading.Thread(target=serve)
    thread.start()
    return thread


def test_what_is_due_is_sent_while_answers_are_awaited(silent: socket.socket) -> None:
    """Were a call kept back until the one before it is answered, the server would never answer."""
    target = Target(places=[silent.getsockname()], request="POST / HTTP/1.1\r\nX: {rid}\r\n\r\n", name="t")
    server = _answering(silent, 3, threading.Barrier(1))
    taken = Client().run(Block(targets=[target], arrivals=[Arrival(i * 1000, 0) for i in range(3)]))[0]
    server.join()
    assert (len(taken.us) + taken.late, taken.failed) == (3, 0)


def test_latency_counts_from_the_intended_moment(
    silent: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What the client sent late is counted apart, and never passes for a short call."""

    class Behind:
        """The first look at the clock is before all is due, every later one is long after."""

        def __init__(self) -> None:
            self.looks = 0

        def monotonic_ns(self) -> int:
            self.looks += 1
            return time.monotonic_ns() + (0 if self.looks == 1 else 10 * LATE_NS + LEAD_NS)

    monkeypatch.setattr("burlshift_tools.faultlab.scale.latency_client.time", Behind())
    target = Target(places=[silent.getsockname()], request="POST / HTTP/1.1\r\nX: {rid}\r\n\r\n", name="t")
    server = _answering(silent, 1, threading.Barrier(1))
    taken = Client().run(Block(targets=[target], arrivals=[Arrival(0, 0)]))[0]
    server.join()
    assert (taken.us, taken.late, taken.failed) == ([], 1, 0)


def test_a_client_that_was_late_makes_the_run_not_count() -> None:
    run, tally = Run(say=lambda _text: None), Tally()
    tally.add(Taken(us=[400] * 99, late=1))
    judge(run, "in time", [tally])
    assert run.late == []
    tally.add(Taken(late=1))
    judge(run, "late", [tally])
    assert run.late == ["late: 2 of 101 calls were sent late by over 1 ms"]


def test_a_message_is_whole_with_its_last_byte() -> None:
    data = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc"
    assert all(whole_message(bytearray(data[:n])) is None for n in range(len(data)))
    assert whole_message(bytearray(data + b"HTTP/1.1")) == (data[: data.index(b"\r\n\r\n")], len(data))
