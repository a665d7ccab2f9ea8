"""Every name of code that a page gives in backticks exists in the tree."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
CODE_SPAN = re.compile(r"`([^`\n]+)`")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
TREE_PATH = re.compile(r"(?:burlshift|burlshift_tools|tests|docs|deploy)/[\w./-]*")
MODULE = re.compile(r"burlshift(?:_tools)?(?:\.\w+)+")
TEST_NAME = re.compile(r"test_\w+")
TEST_FUNCTION = re.compile(r"^\s*(?:async )?def (test_\w+)", re.MULTILINE)


@dataclass(frozen=True)
class NamedCode:
    """A word of a code span, and where it stands."""

    page: Path
    line: int
    word: str


def words_in_code_spans(page: Path, text: str) -> Iterator[NamedCode]:
    """Each word within backticks; fenced blocks are left to the tests that run them."""
    unfenced = FENCE.sub(lambda fence: "\n" * fence[0].count("\n"), text)
    for number, line in enumerate(unfenced.splitlines(), 1):
        for span in CODE_SPAN.findall(line):
            for word in span.split():
                yield NamedCode(page, number, word.rstrip(":,;."))


def known_tests(root: Path) -> frozenset[str]:
    """Names of test functions and of test modules."""
    modules = list(root.glob("tests/**/*.py"))
    functions = {name for path in modules for name in TEST_FUNCTION.findall(path.read_text())}
    return frozenset(functions | {path.stem for path in modules})


def is_module(root: Path, dotted: str) -> bool:
    """Whether a package or a module has this name."""
    path = root / dotted.replace(".", "/")
    return path.with_suffix(".py").is_file() or (path / "__init__.py").is_file()


def exists(root: Path, word: str, tests: frozenset[str]) -> bool:
    """Whether the tree has what the word names; true for a word that names no code."""
    if TREE_PATH.fullmatch(word):
        return (root / word).exists()
    if MODULE.fullmatch(word):
        return is_module(root, word)
    if TEST_NAME.fullmatch(word):
        return word in tests
    return True


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_named_code_exists(page: Path) -> None:
    tests = known_tests(ROOT)
    missing = [
        f"{page.name}:{named.line}: {named.word}"
        for named in words_in_code_spans(page, page.read_text())
        if not exists(ROOT, named.word, tests)
    ]
    assert missing == []


@pytest.mark.parametrize(
    "word",
    [
        "burlshift/agent/no_such_file.py",
        "tests/test_no_such_file.py",
        "burlshift.agent.no_such_module",
        "burlshift_tools.no_such_package",
        "test_no_such_function",
    ],
)
def test_a_name_without_code_is_found(word: str) -> None:
    page = ROOT / "docs" / "page.md"
    named = list(words_in_code_spans(page, f"A line.\n\nSee `{word}`, which is gone.\n"))
    assert [n.word for n in named] == [word]
    assert named[0].line == 3
    assert not exists(ROOT, word, known_tests(ROOT))


def test_names_of_code_are_recognised() -> None:
    tests = known_tests(ROOT)
    assert exists(ROOT, "burlshift/balancing/", tests)
    assert exists(ROOT, "burlshift.balancing", tests)
    assert exists(ROOT, "test_names_of_code_are_recognised", tests)
