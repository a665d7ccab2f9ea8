"""The emulator as a person meets it: files, commands, errors, interrupted sweeps, questions to a trace."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from burlshift.balancing import logic
from burlshift_tools.emulator import compare, scenario, shipped_policy, sweep, trace_queries
from burlshift_tools.emulator.cli import app

SMALL = """
base = "{base}"
about = "a short day for tests"

[run]
length_s = 5.0

[load]
share = [1.2, 1.3]
"""


@pytest.fixture
def small(tmp_path: Path) -> str:
    base = scenario.path_of("calm").parent / "_branch.toml"
    path = tmp_path / "small.toml"
    path.write_text(SMALL.format(base=base))
    return str(path)


def test_all_shipped_scenarios_can_be_read() -> None:
    names = scenario.shipped()
    assert len(names) >= 12
    kinds = {type(t).__name__ for name in names for t in scenario.load(name).low.trouble}
    assert {
        "Neighbour",
        "Burst",
        "HeavyTail",
        "AgentRoll",
        "SharedSlow",
        "Herd",
        "ZoneLost",
        "Split",
        "Replacement",
        "LateLists",
        "BadServers",
    } <= kinds


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("about = ", "is no TOML"),
        ("[load]\nshare = [0.9, 0.5]", "load.share: range [0.9, 0.5] is upside down; write [0.5, 0.9]"),
        ("[load]\nshare = 0", "load.share: expected `float` > 0.0"),
        ("[load]\nspeed = 3", "load: has unknown field `speed`"),
        ("[[trouble]]\nwhat = 'flood'", "trouble[0].what: invalid value 'flood'"),
        ("[fleet]\nzones = ['a']\n[[trouble]]\nwhat = 'split'\nat_s = 1\nlen_s = 1", "[0]: needs two zones"),
        ("[fleet]\nagents = 1.5", "fleet.agents: expected `int`"),
        ("base = 'nowhere.toml'", "nowhere.toml: cannot be read"),
        ("base = 'bad.toml'", "name one another in a circle"),
    ],
)
def test_a_bad_scenario_gets_one_line_that_names_file_and_place(tmp_path: Path, text: str, says: str) -> None:
    base = scenario.path_of("calm").parent / "_branch.toml"
    path = tmp_path / "bad.toml"
    path.write_text(text if "base" in text or "about" in text else f'base = "{base}"\n{text}')
    result = CliRunner().invoke(app, ["run", str(path)])
    assert result.exit_code == 2
    assert str(tmp_path) in result.output and says in result.output.replace("\n", " ")
    assert len(result.output.strip().splitlines()) == 1


@pytest.mark.parametrize(
    ("args", "says"),
    [
        (["run", "nosuch"], "no such scenario"),
        (["run", "calm", "--policy", "best"], "no such policy"),
        (["run", "calm", "--set", "HEADWAY=1"], "no constant HEADWAY"),
        (["sweep", "calm", "--set", "HEADROOM=much"], "is no number of that kind"),
        (["why", "pyproject.toml"], "is no trace"),
        (["compare", "pyproject.toml"], "is no row of a sweep"),
        (["compare", "nosuch.jsonl"], "cannot be read"),
    ],
)
def test_a_bad_word_gets_one_line(args: list[str], says: str) -> None:
    result = CliRunner().invoke(app, args)
    assert result.exit_code == 2 and says in result.output
    assert len(result.output.strip().splitlines()) == 1


def rows(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_a_sweep_cut_off_goes_on_and_ends_with_the_same_rows(small: str, tmp_path: Path) -> None:
    whole, cut = tmp_path / "whole.jsonl", tmp_path / "cut.jsonl"
    command = ["sweep", small, "-p", "ours", "-p", "random", "--seeds", "2", "--jobs", "1"]
    result = CliRunner().invoke(app, [*command, "-o", str(whole)])
    assert result.exit_code == 0 and "against ours" in result.output
    text = whole.read_bytes()
    lines = text.splitlines(keepends=True)
    cut.write_bytes(lines[0] + lines[1][:40])  # cut off within its second row
    assert CliRunner().invoke(app, [*command, "-o", str(cut)]).exit_code == 0
    assert cut.read_bytes() == text
    # Two worker processes write the same, byte for byte.
    two = tmp_path / "two.jsonl"
    assert CliRunner().invoke(app, [*command[:-1], "2", "-o", str(two)]).exit_code == 0
    assert two.read_bytes() == text


def test_rows_of_another_version_are_named(tmp_path: Path) -> None:
    path = tmp_path / "old.jsonl"
    path.write_text('{"fleetsim_sweep": 0}\n')
    with pytest.raises(sweep.SweepError, match="line 1: a row of version 0"):
        sweep.read(path)


def test_constants_are_set_for_a_run_only() -> None:
    before = logic.HEADROOM
    with shipped_policy.constants_set(shipped_policy.parse_settings(["HEADROOM=0.9"])):
        assert logic.HEADROOM == 0.9
    assert before == logic.HEADROOM


def test_policy_modules_are_those_the_deployment_lists() -> None:
    root = Path(__file__).parent.parent
    listed = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    assert sorted(root / name for name in listed) == sorted(
        Path(str(module.__file__)) for module in shipped_policy.POLICY_MODULES
    )


def test_a_constant_is_set_in_every_module_that_reads_it() -> None:
    names = shipped_policy.constants()
    readers = [
        (module, name, getattr(module, name))
        for module in shipped_policy.POLICY_MODULES
        for name in names
        if hasattr(module, name)
    ]
    assert all(before == names[name] for _, name, before in readers)  # one name, one number
    with shipped_policy.constants_set({name: value + 1 for name, value in names.items()}):
        assert all(getattr(module, name) == before + 1 for module, name, before in readers)
    assert all(getattr(module, name) == before for module, name, before in readers)


def test_a_paired_comparison_finds_a_difference_that_the_spread_over_seeds_hides() -> None:
    base = [0.1 * i for i in range(10)]
    mean, low, high = compare.paired([b + 0.05 for b in base], base)
    assert [mean, low, high] == pytest.approx([0.05, 0.05, 0.05])
    mean, low, high = compare.paired([0.1, -0.1] * 5, [0.0] * 10)
    assert low < 0 < high


def test_a_trace_tells_why_a_request_was_refused(small: str, tmp_path: Path) -> None:
    path = tmp_path / "day.trace"
    result = CliRunner().invoke(app, ["run", small, "--seed", "1", "--trace", str(path)])
    assert result.exit_code == 0 and path.exists()
    tables = trace_queries.summary(path)
    cls, _, because, tries, _, _, example = next(row for row in tables["given_up"] if "full" in row[2])
    assert int(tries) > 0
    story = trace_queries.one_request(path, int(example))
    assert cls in story[0] and "patience" in story[0]
    refusal = next(line for line in story if "refused:" in line)
    assert because in refusal and "to the aim" in refusal
    assert any("full" in line and "limit" in line and "true" in line for line in story)
    assert {row[0] for row in tables["prediction"]} <= {c.name for c in scenario.load(small).low.cls}
    with pytest.raises(trace_queries.TraceError, match="no request 999999999"):
        trace_queries.one_request(path, 999_999_999)


def test_a_trace_changes_nothing_of_the_run(small: str, tmp_path: Path) -> None:
    plain = CliRunner().invoke(app, ["run", small])
    traced = CliRunner().invoke(app, ["run", small, "--trace", str(tmp_path / "t")])
    assert [
        line for line in traced.output.splitlines() if not line.startswith("trace in")
    ] == plain.output.splitlines()
