"""KNOWN-RED.txt: known faults that are not mended yet.

A pytest plugin, loaded by conftest.py, so that CI and a developer have the same verdict. A line is one of

    TEST | CAUSE | ISSUE             at most three; TEST as pytest names it (tests/test_x.py::test_y)
    COMMAND | SEED | CAUSE | ISSUE   what is seen with a command that is no test; SEED is a number or `none`

A test that is named is expected to fail: the run fails if it passes, and if there is no such test, so that
entries are removed with the fix. A command is printed and not run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE, MAX_TESTS = "KNOWN-RED.txt", 3
NO_SEED = "none"


@dataclass(frozen=True, slots=True)
class KnownTest:
    """A test that fails for a known fault."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"known red, passed over: {self.test}: {self.cause} (issue {self.issue})"


@dataclass(frozen=True, slots=True)
class KnownCommand:
    """A command that shows a known fault with this seed."""

    command: str
    seed: str
    cause: str
    issue: str

    def __str__(self) -> str:
        seed = "" if self.seed == NO_SEED else f", seed {self.seed}"
        return f"known red, not run: {self.command}{seed}: {self.cause} (issue {self.issue})"


Known = KnownTest | KnownCommand


def _parse(line: str, folder: Path) -> Known:
    """Parse one line. Raises ValueError that says what is wrong with it."""
    parts = [part.strip() for part in line.split(" | ")]
    if not all(parts) or len(parts) not in (3, 4):
        raise ValueError("write TEST | CAUSE | ISSUE, or COMMAND | SEED | CAUSE | ISSUE")
    if len(parts) == 4:
        if not (parts[1].isdecimal() or parts[1] == NO_SEED):
            raise ValueError(f"{parts[1]} is no seed; write a number or {NO_SEED}")
        return KnownCommand(*parts)
    file, separator, name = parts[0].partition("::")
    if not separator:
        raise ValueError(f"{parts[0]} is no test; write it as FILE::NAME, or a command with its seed")
    source = folder / file
    if not (source.is_file() and f"def {name.partition('[')[0]}(" in source.read_text()):
        raise ValueError(f"{parts[0]} is no test; take its line out")
    return KnownTest(*parts)


def read(path: Path) -> list[Known]:
    """Parse the file; [] if it is missing. Raises pytest.UsageError that names the invalid line."""
    if not path.exists():
        return []
    found: dict[str, Known] = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        try:
            entry = _parse(line, path.parent)
        except ValueError as error:
            raise pytest.UsageError(f"{FILE}:{number}: {error}") from None
        name = entry.test if isinstance(entry, KnownTest) else f"{entry.command}, seed {entry.seed}"
        if name in found:
            raise pytest.UsageError(f"{FILE}:{number}: {name} is named twice; take one out")
        found[name] = entry
    test_count = len(tests_of(list(found.values())))
    if test_count > MAX_TESTS:
        raise pytest.UsageError(f"{FILE}: names {test_count} tests, at most {MAX_TESTS} may stand; mend some")
    return list(found.values())


def tests_of(known: list[Known]) -> list[KnownTest]:
    """The entries that name a test."""
    return [entry for entry in known if isinstance(entry, KnownTest)]


class KnownRed:
    """Pytest plugin that marks the tests of KNOWN-RED.txt as strict xfail, and prints all of its entries."""

    def __init__(self, known: list[Known]) -> None:
        self._known = known

    @pytest.hookimpl(tryfirst=True)  # runs before deselection
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        by_name = {item.nodeid: item for item in items}
        for entry in tests_of(self._known):
            if entry.test in by_name:
                mark = pytest.mark.xfail(reason=f"known red, issue {entry.issue}: {entry.cause}", strict=True)
                by_name[entry.test].add_marker(mark)
            elif config.args_source is pytest.Config.ArgsSource.TESTPATHS:  # the full suite was collected
                raise pytest.UsageError(
                    f"{FILE}: {entry.test} is none of that test's cases; take its line out"
                )

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for entry in self._known:
            terminalreporter.write_line(str(entry))


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(read(config.rootpath / FILE)), "known-red")
