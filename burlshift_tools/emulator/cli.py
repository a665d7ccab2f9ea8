"""The emulator's commands. Every error of a person is one line and exit status 2."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from . import compare as comparing
from . import model_overhead as costing
from . import registry, scenario, shipped_policy, sources, sweep, trace_queries
from .trace import Trace
from .world import World

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A fleet in virtual time: what agents decide, and why, against baselines.",
    rich_markup_mode=None,
)
out, err = Console(width=None if sys.stdout.isatty() else 200), Console(stderr=True)

ERRORS = (
    scenario.ScenarioError,
    registry.UnknownPolicy,
    shipped_policy.SettingError,
    sweep.SweepError,
    comparing.CompareError,
    trace_queries.TraceError,
)
Scenarios = Annotated[list[str], typer.Argument(help="Names of shipped scenarios, or .toml files.")]
Policies = Annotated[list[str], typer.Option("--policy", "-p", help="A policy; may be given several times.")]


@contextmanager
def plain_errors(interrupted: str = "") -> Iterator[None]:
    """One line for what a person can mend, and a clean end on Ctrl-C."""
    try:
        yield
    except ERRORS as e:
        typer.echo(f"emulator: {e}", err=True)
        raise typer.Exit(2) from None
    except OSError as e:
        typer.echo(f"emulator: {e.filename}: {e.strerror}; name another file", err=True)
        raise typer.Exit(2) from None
    except KeyboardInterrupt:
        typer.echo(f"emulator: interrupted{interrupted}", err=True)
        raise typer.Exit(130) from None


def show(lines: list[list[str]]) -> None:
    """A table; numbers to the right."""
    made = Table(box=None, pad_edge=False)
    for i, head in enumerate(lines[0]):
        made.add_column(head, justify="left" if i < 2 else "right", overflow="fold")
    for line in lines[1:]:
        made.add_row(*line)
    out.print(made, highlight=False)


def progress_bar() -> Progress:
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=err,
        transient=True,
        disable=not err.is_terminal,
    )


@app.command("list")
def list_() -> None:
    """The scenarios that ship, and the policies.

    Example: python -m burlshift_tools.emulator list
    """
    with plain_errors():
        show([["scenario", "about"], *([name, scenario.load(name).about] for name in scenario.shipped())])
        out.print(f"\npolicies: {', '.join(registry.NAMES)}", highlight=False)


@app.command()
def run(
    name: Annotated[str, typer.Argument(metavar="SCENARIO")],
    policy: Annotated[str, typer.Option("--policy", "-p")] = "ours",
    seed: Annotated[int, typer.Option(min=0)] = 1,
    trace: Annotated[Path | None, typer.Option(help="Record every decision in this file.")] = None,
    set_: Annotated[list[str] | None, typer.Option("--set", help="NAME=NUMBER in the decisions.")] = None,
) -> None:
    """Play one day and print its figures.

    Example: python -m burlshift_tools.emulator run neighbour --seed 3 --trace day.trace
    """
    with plain_errors():
        made = registry.policy(policy)
        changes = shipped_policy.parse_settings(set_ or [])
        recorder = Trace(trace, {"scenario": name, "policy": policy, "seed": seed}) if trace else None
        try:
            with shipped_policy.constants_set(changes), progress_bar() as bar:
                task = bar.add_task(name, total=40)
                world = World(sources.read(name), seed, made, recorder)
                row = world.run(lambda share: bar.update(task, completed=round(40 * share)))
        finally:
            if recorder is not None:
                recorder.close()
        for key, value in row.items():
            if not key.startswith("latency_"):
                out.print(f"{key:28} {value}", highlight=False, markup=False)
        if trace:
            typer.echo(f"trace in {trace}: python -m burlshift_tools.emulator why {trace}", err=True)


@app.command("sweep")
def sweep_(
    names: Scenarios,
    policy: Policies = ["ours", "two-choices", "random"],  # noqa: B006
    seeds: Annotated[int, typer.Option(min=1)] = 20,
    first_seed: Annotated[int, typer.Option(min=0)] = 1,
    set_: Annotated[
        list[str] | None,
        typer.Option(
            "--set",
            help="NAME=NUMBER in the decisions, several joined by commas; each option is one "
            "more variant beside the decisions as they are.",
        ),
    ] = None,
    output: Annotated[
        Path | None,
        typer.Option(
            "-o", help="Keep the rows here (JSON Lines); the same command goes on where it was cut off."
        ),
    ] = None,
    base: Annotated[str | None, typer.Option(help="What the others are compared against.")] = None,
    jobs: Annotated[int, typer.Option(min=1)] = os.cpu_count() or 1,
) -> None:
    """Play scenarios with several policies over seeds, and compare them in pairs.

    Example: python -m burlshift_tools.emulator sweep neighbour -p ours -p two-choices -p random --seeds 8
    """
    kept = f"; finished rows are in {output}, the same command goes on" if output else ""
    with plain_errors(kept):
        variants = [(), *(tuple(text.split(",")) for text in set_ or [])]
        todo = sweep.plans(names, policy, variants, first_seed, seeds)
        rows: list[dict[str, Any]] = []
        with progress_bar() as bar:
            task = bar.add_task("runs", total=len(todo))
            for row in sweep.run(todo, output, jobs):
                rows.append(row)
                bar.update(task, advance=1)
        show(comparing.table(rows, base))
        broken = next((row for row in rows if row["broken"]), None)
        if broken is not None:
            out.print(
                f"first broken rule: {broken['scenario']}, {broken['policy']}, seed {broken['seed']}: "
                f"{broken['broken']}",
                highlight=False,
                markup=False,
            )
        if output:
            typer.echo(f"{len(rows)} rows in {output}", err=True)


@app.command("compare")
def compare_(
    files: Annotated[list[Path], typer.Argument(help="Files that `sweep -o` wrote.")],
    base: Annotated[str | None, typer.Option(help="What the others are compared against.")] = None,
    figure: Annotated[str, typer.Option(help="The column to compare by.")] = "goal",
) -> None:
    """Compare the rows of one or several sweeps, also of several versions of the decisions.

    Example: python -m burlshift_tools.emulator compare before.jsonl after.jsonl --figure worst_window
    """
    with plain_errors():
        rows = [row for file in files for row in sweep.read(file)]
        show(comparing.table(rows, base, figure))


@app.command("why")
def why_(
    file: Annotated[Path, typer.Argument(metavar="TRACE")],
    request: Annotated[int | None, typer.Argument(help="A client's request; without it, a summary.")] = None,
    from_s: Annotated[float, typer.Option(min=0)] = 0.0,
    to_s: Annotated[float, typer.Option()] = float("inf"),
) -> None:
    """Why a request was refused or repeated; without a number, why all of them were.

    Example: python -m burlshift_tools.emulator why day.trace 1234
    """
    with plain_errors():
        if request is not None:
            for line in trace_queries.one_request(file, request):
                out.print(line, highlight=False, markup=False)
            return
        tables = trace_queries.summary(file, from_s, to_s)
        out.print("Tries given up. `feasible`: a listed server would have answered a mean request in time.")
        show([["class", "of", "because", "tries", "share", "feasible", "e.g. request"], *tables["given_up"]])
        out.print("\nPredicted time to an answer over the true one, of answers that came.")
        show([["class", "answers", "a tenth under", "median", "a tenth over"], *tables["prediction"]])


@app.command()
def cost(repeats: Annotated[int, typer.Option(min=1)] = 3) -> None:
    """What the model costs beside the decisions, and a request in a large fleet beside a small one.

    Example: python -m burlshift_tools.emulator cost
    """
    with plain_errors():
        show(costing.table(repeats))
