"""Every interleaving of a small world: the core holds, planted errors are found, each with its story."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from burlshift.membership.record import Status
from burlshift_tools.emulator import explore as exploring
from burlshift_tools.emulator.__main__ import app
from burlshift_tools.emulator.explore import CORES, PLANTED, WORLDS, Explorer, Report
from burlshift_tools.emulator.members import Fleet, memory, processor, spread


def explore(core: str, world: str, states: int) -> Report:
    explorer = Explorer(CORES[core], WORLDS[world])
    for _ in explorer.run(states):
        pass
    return explorer.report


@pytest.mark.parametrize("world", WORLDS)
def test_the_core_holds_in_every_interleaving_that_is_reached(world: str) -> None:
    report = explore("as-it-is", world, 150)
    assert not report.broken, report.story
    assert report.reached > report.states == 150 and report.settled == 8 and not report.whole


@pytest.mark.parametrize(
    ("core", "world"), [("not-raised", "loss"), ("death-wins", "split"), ("hearsay", "liar")]
)
def test_a_planted_error_is_found_and_its_way_told(core: str, world: str) -> None:
    report = explore(core, world, 500)
    assert "periods after the last fault" in report.broken
    assert core == "hearsay" or report.story
    again = explore(core, world, 500)
    assert (again.broken, again.story) == (report.broken, report.story)


def test_what_is_explored_is_the_same_each_time() -> None:
    first, second = explore("as-it-is", "all", 60), explore("as-it-is", "all", 60)
    assert (first.reached, first.steps, first.depth) == (second.reached, second.steps, second.depth)


def test_the_commands_say_what_they_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def command(*args: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, args)
        return result.exit_code, result.output

    status, text = command("explore", "crash", "--states", "30")
    assert status == 0 and "crash: 30 states explored" in text
    status, text = command("explore", "liar", "--core", "hearsay", "--states", "30")
    assert status == 1 and "broken: " in text
    status, text = command("explore", "nowhere")
    assert status == 2 and "no such name; one of crash" in text
    status, text = command("members", "4", "--minutes", "0")
    assert status == 0 and "one dies" in text
    monkeypatch.setattr(exploring.Explorer, "run", _interrupted)
    status, text = command("explore", "crash")
    assert status == 130 and "interrupted" in text


def _interrupted(_self: Explorer, _most: int) -> None:
    raise KeyboardInterrupt


def test_a_fleet_in_virtual_time_knows_its_dead_and_says_what_it_cost() -> None:
    rows = {row.what: row.value for row in spread(10, 1)}
    assert all("inf" not in value for value in rows.values())
    assert processor(50, 1, periods=60).value.endswith("% of a core")
    assert float(memory(50, 1).value.removesuffix(" MB")) < 0.1
    assert set(PLANTED) < set(CORES)


def test_no_member_that_lives_is_buried_for_the_loss_of_datagrams() -> None:
    fleet = Fleet(20, 1, loss=0.1)
    fleet.run(60)
    fleet.deaths.clear()
    fleet.run(120)
    assert not fleet.deaths
    assert all(m.status(j) is not Status.DEAD for m in fleet.members.values() for j in m.peers)
