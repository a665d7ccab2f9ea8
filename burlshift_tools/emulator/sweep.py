"""Many runs: scenario x policy x settings x seeds over worker processes, a row each, in the plan's order."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import joblib
import msgspec
from joblib.externals.loky.process_executor import TerminatedWorkerError

from . import registry, shipped_policy, sources
from .scenario import Span
from .world import World

VERSION = 1


class SweepError(Exception):
    """A sweep cannot go on, or its file cannot be used; the text is one line."""


@dataclass(frozen=True, slots=True)
class Plan:
    """One run of a sweep."""

    scenario: str
    policy: str
    settings: tuple[str, ...]  # NAME=NUMBER, constants of the decisions
    seed: int

    def key(self, scenario_digest: str, decisions: str) -> tuple[str, ...]:
        settings = " ".join(self.settings)
        return (self.scenario, self.policy, settings, str(self.seed), scenario_digest, decisions)


def plans(
    scenarios: list[str], policies: list[str], settings: list[tuple[str, ...]], first_seed: int, seeds: int
) -> list[Plan]:
    """All combinations, seed after seed, so that what is cut off can be compared too.

    Raises ScenarioError, UnknownPolicy and SettingError before anything is played.
    """
    for name in scenarios:
        sources.read(name)
    for name in policies:
        registry.policy(name)
    for texts in settings:
        shipped_policy.parse_settings(list(texts))
    combinations = itertools.product(scenarios, range(first_seed, first_seed + seeds), policies, settings)
    # Constants of our decisions change nothing in a baseline: it is played once.
    return [
        Plan(name, policy, texts, seed)
        for name, seed, policy, texts in combinations
        if policy.startswith("ours") or texts == settings[0]
    ]


def decisions_digest() -> str:
    """Tells two versions of the decisions apart in the rows."""
    digest = hashlib.blake2s(digest_size=4)
    for module in shipped_policy.POLICY_MODULES:
        digest.update(Path(str(module.__file__)).read_bytes())
    return digest.hexdigest()


def scenario_digest(span: Span) -> str:
    """Tells two texts of a scenario apart, whatever file its base comes from, and two drawn days."""
    return hashlib.blake2s(msgspec.json.encode(span), digest_size=4).hexdigest()


def play(plan: Plan) -> dict[str, Any]:
    """One run; its row."""
    span = sources.read(plan.scenario)
    with shipped_policy.constants_set(shipped_policy.parse_settings(list(plan.settings))):
        world = World(span, plan.seed, registry.policy(plan.policy))
        row = world.run()
    return {
        "fleetsim_sweep": VERSION,
        "scenario": plan.scenario,
        "policy": plan.policy,
        "settings": " ".join(plan.settings),
        "seed": plan.seed,
        "scenario_digest": scenario_digest(span),
        "decisions": decisions_digest(),
        **row,
    }


def run(todo: list[Plan], path: Path | None, jobs: int) -> Iterator[dict[str, Any]]:
    """Play what the file does not hold yet; yield every row, old ones first.

    Rows go to the file as they come, each whole; a sweep cut off goes on by the same call. Raises SweepError.
    """
    digests = {name: scenario_digest(sources.read(name)) for name in {p.scenario for p in todo}}
    decisions = decisions_digest()
    kept = read(path, mend=True) if path is not None and path.exists() else []
    done = {row_key(row): row for row in kept}
    keys = {p: p.key(digests[p.scenario], decisions) for p in todo}
    for p in todo:
        if keys[p] in done:
            yield done[keys[p]]
    left = [p for p in todo if keys[p] not in done]
    if not left:
        return
    file = _appending(path) if path is not None else None
    try:
        parallel = joblib.Parallel(n_jobs=min(jobs, len(left)), return_as="generator", batch_size=1)
        for row in parallel(joblib.delayed(play)(p) for p in left):
            if file is not None:
                file.write(msgspec.json.encode(row) + b"\n")
                file.flush()
            yield row
    except TerminatedWorkerError:
        where = f"finished rows are in {path}, the same command goes on" if path else "name a file with -o"
        raise SweepError(
            f"a worker process died, perhaps for want of memory: use fewer --jobs; {where}"
        ) from None
    finally:
        if file is not None:
            file.close()


def _appending(path: Path) -> IO[bytes]:
    try:
        return path.open("ab")
    except OSError as e:
        raise SweepError(f"{path}: cannot be written ({e.strerror}); name another file") from None


def row_key(row: dict[str, Any]) -> tuple[str, ...]:
    return (
        row["scenario"],
        row["policy"],
        row["settings"],
        str(row["seed"]),
        row["scenario_digest"],
        row["decisions"],
    )


def read(path: Path, mend: bool = False) -> list[dict[str, Any]]:
    """The rows of a sweep's file. A last line that was cut off is no row; mend takes it out of the file.

    Raises SweepError.
    """
    try:
        text = path.read_bytes()
    except OSError as e:
        raise SweepError(
            f"{path}: cannot be read ({e.strerror}); name a file that `sweep -o` wrote"
        ) from None
    whole, _, rest = text.rpartition(b"\n")
    rows = []
    for number, line in enumerate(whole.split(b"\n") if whole else (), 1):
        try:
            row = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError:
            raise SweepError(f"{path}: line {number}: is no row of a sweep; take the line out") from None
        if row.get("fleetsim_sweep") != VERSION:
            raise SweepError(
                f"{path}: line {number}: a row of version {row.get('fleetsim_sweep')}, this "
                f"program writes {VERSION}; name another file"
            )
        rows.append(row)
    if rest and mend:
        if not rows and not rest.startswith(b'{"fleetsim_sweep"'):
            raise SweepError(f"{path}: line 1: is no row of a sweep; name another file")
        with path.open("r+b") as file:
            file.truncate(len(text) - len(rest))
    return rows
