"""What CI passes over: just the tests that KNOWN-RED.txt names, as long as they fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert not 'mended'\n"
BAD = "tests/test_some.py::test_bad | a cause | 31"
COMMAND = "review/9/run.sh | 7 | a cause | 31"


def play(folder: Path, known: str | None, *args: str) -> subprocess.CompletedProcess[str]:
    """A project with a test that passes and one that fails."""
    (folder / "tests").mkdir()
    for name in ("conftest.py", "known_red.py"):
        (folder / "tests" / name).write_text((HERE / name).read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        check=False,
    )


def test_without_the_file_a_failure_fails(tmp_path: Path) -> None:
    run = play(tmp_path, None)
    assert run.returncode == 1 and "1 failed, 1 passed" in run.stdout


def test_what_is_named_is_passed_over_and_printed(tmp_path: Path) -> None:
    run = play(tmp_path, f"{BAD}\n")
    assert run.returncode == 0, run.stdout
    assert "known red, passed over: tests/test_some.py::test_bad: a cause (issue 31)" in run.stdout


def test_commands_are_printed_with_their_seeds_and_mark_nothing(tmp_path: Path) -> None:
    commands = "\n".join(f"tool play {n} | {'none' if n == 3 else n} | a cause | 31" for n in range(4))
    run = play(tmp_path, f"{BAD}\n{commands}\n{COMMAND}\n")
    assert run.returncode == 0 and "1 passed, 1 xfailed" in run.stdout, run.stdout
    assert "known red, not run: review/9/run.sh, seed 7: a cause (issue 31)" in run.stdout
    assert "known red, not run: tool play 3: a cause (issue 31)" in run.stdout


def test_a_command_passes_no_failure_over(tmp_path: Path) -> None:
    assert play(tmp_path, f"{COMMAND}\n").returncode == 1


@pytest.mark.parametrize(
    ("known", "status", "said"),
    [
        ("tests/test_some.py::test_good | a cause | 31", 1, "XPASS(strict)"),
        (f"{BAD}\ntests/test_some.py::test_gone | a cause | 31", 4, "test_gone is no test"),
        ("tests/test_some.py::test_bad[1] | a cause | 31", 4, "test_bad[1] is none of that test's cases"),
        ("tests/test_gone.py::test_bad | a cause | 31", 4, "test_gone.py::test_bad is no test; take"),
        ("tests/test_some.py::test_bad", 4, "KNOWN-RED.txt:1: write TEST | CAUSE | ISSUE"),
        ("review/9/run.sh | a cause | 31", 4, "KNOWN-RED.txt:1: review/9/run.sh is no test; write it as"),
        ("review/9/run.sh | first | a cause | 31", 4, "KNOWN-RED.txt:1: first is no seed; write a number"),
        ("review/9/run.sh | 7 |  | 31", 4, "KNOWN-RED.txt:1: write TEST | CAUSE | ISSUE, or COMMAND | SEED"),
        (f"{COMMAND}\n{COMMAND}", 4, "KNOWN-RED.txt:2: review/9/run.sh, seed 7 is named twice"),
        (f"{BAD}\n{BAD}", 4, "KNOWN-RED.txt:2: tests/test_some.py::test_bad is named twice"),
        (
            "\n".join(f"tests/test_some.py::test_bad[{i}] | a cause | 31" for i in range(4)),
            4,
            "names 4 tests",
        ),
    ],
)
def test_what_passes_or_is_not_there_fails_the_run(
    tmp_path: Path, known: str, status: int, said: str
) -> None:
    run = play(tmp_path, known)
    assert run.returncode == status and said in run.stdout + run.stderr
    assert "Traceback" not in run.stderr


def test_some_of_the_tests_may_be_run_alone(tmp_path: Path) -> None:
    run = play(tmp_path, f"{BAD}\n", "tests/test_some.py::test_good")
    assert run.returncode == 0, run.stdout


@pytest.mark.parametrize(
    ("known", "status"),
    [
        (None, 1),
        (BAD, 0),
        ("tests/test_some.py::test_good | a cause | 31", 1),
        ("tests/test_some.py::test_gone | a cause | 31", 4),
    ],
)
def test_several_processes_give_the_same_verdict(tmp_path: Path, known: str | None, status: int) -> None:
    assert play(tmp_path, known, "-n", "2").returncode == status
