"""The histogram of the event loop's turns, and whose input the long ones are attributed to."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from pathlib import Path

import pytest

from burlshift.agent import turn_times
from burlshift.agent.loop_lag import LagTrackingEventLoop
from burlshift.agent.turn_times import TurnTimes
from tests.loopback import post, running_agent


@dataclass
class FakePeer:
    """A peer that has no connection."""

    kind: str

    def address(self) -> str:
        return f"{self.kind}:80"


CLIENT, SERVER = FakePeer("client"), FakePeer("server")


def test_turns_are_counted_up_to_each_limit() -> None:
    times = TurnTimes()
    for duration_ms in (0.5, 1.0, 1.5, 40.0, 3000.0):
        times.end_turn(duration_ms / 1000)
    metrics = times.metrics()
    assert metrics["loop_turns.le_1_ms"] == (2, "c")
    assert metrics["loop_turns.le_2_ms"] == (3, "c")
    assert metrics["loop_turns.le_20_ms"] == (3, "c")
    assert metrics["loop_turns.le_100_ms"] == (4, "c")
    assert metrics["loop_turns"] == (5, "c")
    assert metrics["loop_turn_longest_ms"] == (3000, "g")


def test_longest_input_of_a_turn_is_attributed_to_its_peer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(turn_times, "LOG_INTERVAL_S", 0.0)
    times = TurnTimes()
    with caplog.at_level(logging.WARNING):
        times.record_work(CLIENT, "a read", 0.010)
        times.record_work(SERVER, "a read", 0.058)
        times.record_work(CLIENT, "deferred input", 0.002)
        times.end_turn(0.070)
        times.end_turn(0.060)  # nothing of the turn before counts for this one
    assert [record.getMessage() for record in caplog.records] == [
        "a turn of the event loop took 70 ms: 58 ms for a read of server server:80",
        "a turn of the event loop took 60 ms: no input",
    ]
    assert times.metrics()["loop_input_longest_ms.server"] == (58, "g")
    assert "loop_input_longest_ms.client" not in times.metrics()


def test_long_turns_are_logged_once_an_interval(caplog: pytest.LogCaptureFixture) -> None:
    times = TurnTimes()
    with caplog.at_level(logging.WARNING):
        for _ in range(100):
            times.end_turn(1.0)
    assert len(caplog.records) == 1


def test_info_shows_turns_and_the_longest_input_of_each_kind(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_agent(tmp_path) as harness:
            client = await harness.send_request(post())
            await (await harness.request()).answer()
            assert (await client.read()).status == 200
            metrics = dict(
                line.split(":") for line in (await harness.admin_command("INFO")).split() if ":" in line
            )
            assert int(metrics["agent.loop_turns"].removesuffix("|c")) > 0
            assert {"agent.loop_input_longest_ms.client", "agent.loop_input_longest_ms.server"} <= set(
                metrics
            )

    with asyncio.Runner(loop_factory=LagTrackingEventLoop) as runner:
        runner.run(run())
