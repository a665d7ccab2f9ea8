"""KNOWN-RED.txt: tests that fail for a fault which is known, and that CI passes over, at most three.

A pytest plugin, loaded by conftest.py, so that CI and a developer's run give the same verdict. A line is
`TEST | CAUSE | ISSUE`, TEST as pytest names it (tests/test_x.py::test_y). A test that is named and passes
fails the run, and so does a name that no test has: what is mended leaves the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


@dataclass(frozen=True, slots=True)
class Known:
    """A line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Known]:
    """What the file names; nothing where there is none. pytest.UsageError names the line that is wrong."""
    if not path.exists():
        return []
    found: list[Known] = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{FILE}:{number}: write TEST | CAUSE | ISSUE, TEST as FILE::NAME")
        if any(parts[0] == k.test for k in found):
            raise pytest.UsageError(f"{FILE}:{number}: {parts[0]} is named twice; take one out")
        file, _, name = parts[0].partition("::")
        source = path.parent / file
        if not (source.is_file() and f"def {name.partition('[')[0]}(" in source.read_text()):
            raise pytest.UsageError(f"{FILE}:{number}: {parts[0]} is no test; take its line out")
        found.append(Known(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: names {len(found)} tests, at most {MOST} may stand; mend some")
    return found


class KnownRed:
    """Pytest plugin that lets the tests of KNOWN-RED.txt fail."""

    def __init__(self, known: list[Known]) -> None:
        self._known = known

    @pytest.hookimpl(tryfirst=True)  # before any are deselected
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        by_name = {item.nodeid: item for item in items}
        for k in self._known:
            if k.test in by_name:
                mark = pytest.mark.xfail(reason=f"known red, issue {k.issue}: {k.cause}", strict=True)
                by_name[k.test].add_marker(mark)
            elif config.args_source is pytest.Config.ArgsSource.TESTPATHS:  # all of them were collected
                raise pytest.UsageError(f"{FILE}: {k.test} is none of that test's cases; take its line out")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for k in self._known:
            terminalreporter.write_line(f"known red, passed over: {k.test}: {k.cause} (issue {k.issue})")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(read(config.rootpath / FILE)), "known-red")
