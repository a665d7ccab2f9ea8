"""The rig's commands. Exit status 0: all rules held; 1: one broke; 2: wrong use; 3: the rig was late."""

from __future__ import annotations

import shutil
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn

from burlshift_tools.emulator.cli import show
from burlshift_tools.emulator.scenario import ScenarioError, shipped

from . import history, loadtest, mutations, play, random_scenarios, report, shrinker, soak_test, verdict
from .addresses import NoRoom
from .child_processes import Failed
from .disk import DiskFault
from .scale import runs
from .scale.slopes import Run
from .scenario import PACKAGE, calmed, load

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Copies of the agent as processes on loopback, faults between them, and checkers.",
)
out, err = Console(width=None), Console(stderr=True)

ERRORS = (
    ScenarioError,
    NoRoom,
    Failed,
    history.HistoryError,
    play.Occupied,
    DiskFault,
    report.ReportError,
    soak_test.SoakError,
    shrinker.ShrinkError,
    loadtest.LoadError,
    mutations.PlantError,
    runs.ScaleError,
)
Seed = Annotated[int, typer.Option(min=0, help="Draws the day and its faults.")]
Tree = Annotated[Path, typer.Option(help="The checkout whose agent is run, by its deploy/balancer.toml.")]
Folder = Annotated[Path, typer.Argument(metavar="DIR", help="What `run -o` wrote.")]


@contextmanager
def plain_errors(interrupted: str = "nothing is left of the run") -> Iterator[None]:
    """One line for what a person can mend, and a clean end on Ctrl-C."""
    try:
        yield
    except ERRORS as e:
        typer.echo(f"faultlab: {e}", err=True)
        raise typer.Exit(play.WRONG_USE) from None
    except OSError as e:
        typer.echo(f"faultlab: {e.filename or 'system'}: {e.strerror}; name another file", err=True)
        raise typer.Exit(play.WRONG_USE) from None
    except KeyboardInterrupt:
        typer.echo(f"faultlab: interrupted; {interrupted}", err=True)
        raise typer.Exit(130) from None


def progress_bar() -> Progress:
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TaskProgressColumn(),
        TimeElapsedColumn(),
        console=err,
        transient=True,
        disable=not err.is_terminal,
    )


def say(text: str) -> None:
    out.print(text, highlight=False, markup=False, soft_wrap=True)


def tell(played: play.Played) -> None:
    """The verdict and the figures of a run."""
    v = played.verdict
    for line in v.lines(played.case):
        say(line)
    if not v.counts:
        say(v.lateness)
    f = v.figures
    say(
        f"{f.requests} requests: "
        + ", ".join(f"{n} {end}" for end, n in f.ends.items())
        + f"; worth {f.worth:.3f}; {f.attempts} attempts; served in ms from when due: "
        + " ".join(f"{name} {us / 1000:.0f}" for name, us in f.latency_us.items())
    )
    say(f"processor time: agents {v.usage_s['agents']:.1f} s, the rig {v.usage_s['rig']:.1f} s")


@app.command("list")
def list_() -> None:
    """The scenarios that ship.

    Example: python -m burlshift_tools.faultlab list
    """
    with plain_errors():
        show([["scenario", "about"], *([name, load(name).about] for name in shipped(PACKAGE))])


@app.command()
def run(
    name: Annotated[
        str, typer.Argument(metavar="SCENARIO", help="Shipped, a file, drawn-SEED or hostile-SEED.")
    ],
    seed: Seed = 1,
    for_: Annotated[
        float | None,
        typer.Option("--for", min=1, help="Seconds of clients; faults beyond them are left out."),
    ] = None,
    output: Annotated[Path | None, typer.Option("-o", help="Keep history and logs here.")] = None,
    calm: Annotated[
        bool, typer.Option("--calm", help="Leave all faults out: the same day, to compare.")
    ] = False,
    tree: Tree = Path("."),
) -> None:
    """Play one scenario and judge it. Without -o what it wrote is kept only where a rule broke.

    Example: python -m burlshift_tools.faultlab run pause-one --seed 3 -o logs/pause
    """
    with plain_errors():
        span = calmed(random_scenarios.named(name)) if calm else random_scenarios.named(name)
        for line in play.schedule_lines(span, seed, for_, Path(), tree):
            say(line)
        with progress_bar() as bar:
            task = bar.add_task(name, total=1.0)
            played = play.play(
                Path(name).stem,
                span,
                seed,
                output,
                tree,
                for_,
                lambda share: bar.update(task, completed=share),
            )
        tell(played)
        if output is not None or played.status == play.BROKE:
            typer.echo(
                f"history and logs in {played.folder}: python -m burlshift_tools.faultlab report "
                f"{played.folder}",
                err=True,
            )
        else:
            shutil.rmtree(played.folder, ignore_errors=True)
    raise typer.Exit(played.status)


@app.command()
def check(folder: Folder) -> None:
    """Judge a run again, from its history.

    Example: python -m burlshift_tools.faultlab check logs/pause
    """
    with plain_errors():
        _, case = verdict.read(folder)
        played = play.Played(folder, case, verdict.judge(case))
        tell(played)
    raise typer.Exit(played.status)


@app.command()
def soak(
    seeds: Annotated[str, typer.Option(metavar="A..B", help="Seeds of drawn scenarios.")] = "1..1000",
    for_: Annotated[float, typer.Option("--for", metavar="MINUTES", min=0.1)] = 30.0,
    family: Annotated[
        str, typer.Option(help="drawn: all faults; hostile: crowds at drawn limits.")
    ] = "drawn",
    output: Annotated[
        Path,
        typer.Option(
            "-o", help="Rows, and the run that broke a rule; the same command goes on where it was cut off."
        ),
    ] = Path("logs/soak"),
    tree: Tree = Path("."),
) -> None:
    """Play drawn scenarios, one after the other, until a rule breaks or the time is over.

    Example: python -m burlshift_tools.faultlab soak --seeds 1..40 --for 10
    """
    with plain_errors(f"finished rows are in {output}, the same command goes on"):
        first, last = soak_test.seeds_of(seeds)
        broken: play.Played | None = None
        with progress_bar() as bar:
            task = bar.add_task("soak", total=last - first + 1)
            for row, played in soak_test.soak(first, last, for_ * 60, output, tree, family):
                bar.update(task, completed=row.seed - first + 1, description=f"soak: seed {row.seed}")
                say(f"{family}-{row.seed:<6} {row.said}")
                broken = played if played is not None and played.status == play.BROKE else broken
        typer.echo(f"rows in {output / soak_test.ROWS}", err=True)
        if broken is None:
            raise typer.Exit(play.HELD)
        tell(broken)
        typer.echo(
            f"the run is kept in {broken.folder}: python -m burlshift_tools.faultlab shrink {broken.folder}",
            err=True,
        )
    raise typer.Exit(play.BROKE)


@app.command()
def shrink(
    folder: Folder,
    tree: Tree = Path("."),
    tries: Annotated[int, typer.Option(min=1, help="Runs at most.")] = 40,
) -> None:
    """Find fewer and shorter faults that still break the rule that a run broke.

    Example: python -m burlshift_tools.faultlab shrink logs/soak/drawn-17
    """
    with plain_errors(f"the best so far is in {folder / shrinker.BEST}, the same command goes on"):
        rule = ""
        for step in shrinker.shrink(folder, tree, tries):
            rule = step.rule
            say(f"try {step.number}: {step.what}: {'still breaks ' + rule if step.kept else 'does not'}")
        best = folder / shrinker.BEST
        for line in play.schedule_lines(load(str(best)), shrinker.seed_of(folder), None, Path(), tree):
            say(line)
        say(f"python -m burlshift_tools.faultlab run {best} --seed {shrinker.seed_of(folder)}")


@app.command("plants")
def plants_(
    names: Annotated[list[str] | None, typer.Argument(metavar="[PLANT]...")] = None, tree: Tree = Path(".")
) -> None:
    """Plant faults in a copy of the agent, one at a time, and see that each is found.

    Example: python -m burlshift_tools.faultlab plants repeat ban
    """
    with plain_errors():
        missed = 0
        for found in mutations.search(mutations.named(names or []), tree):
            missed += found.seed is None
            at = f"{found.plant.scenario}, seed {found.seed}" if found.seed else found.plant.scenario
            say(f"{found.plant.name:<13} {found.plant.about}: {at}: {found.said}")
    raise typer.Exit(play.BROKE if missed else play.HELD)


@app.command("report")
def report_(
    folder: Folder,
    output: Annotated[Path | None, typer.Option("-o", help="The file; report.html in DIR otherwise.")] = None,
) -> None:
    """One HTML file of a run, which opens without a network: lanes of the processes, faults, rates, times.

    Example: python -m burlshift_tools.faultlab report logs/pause
    """
    with plain_errors():
        made = report.write(folder, output or folder / "report.html")
        typer.echo(f"report in {made}", err=True)


@app.command("load")
def load_(
    address: Annotated[str, typer.Argument(metavar="HOST:PORT")],
    rate: Annotated[float, typer.Option(min=0.1, help="Requests a second (Poisson).")] = 20.0,
    for_: Annotated[float, typer.Option("--for", min=0.1, max=3600, help="Seconds.")] = 10.0,
    cls: Annotated[str, typer.Option("--class", help="Request-Class.")] = "reading-view",
    effect: Annotated[str, typer.Option(help="How the class may be repeated: safe, keyed, unsafe.")] = "safe",
    timeout_ms: Annotated[float, typer.Option(min=1)] = 2000.0,
    retries: Annotated[int, typer.Option(min=1, max=10, help="Retries after a refusal.")] = 1,
    seed: Seed = 1,
) -> None:
    """The load client alone, against an agent here: open loop, time from when each request was due.

    Example: python -m burlshift_tools.faultlab load 127.0.0.1:9000 --rate 50 --for 20
    """
    with plain_errors():
        options = loadtest.Options(address, rate, for_, cls, effect, timeout_ms, retries, seed)
        began = time.monotonic()
        with progress_bar() as bar:
            task = bar.add_task(address, total=for_)
            measured = loadtest.run(options, lambda: bar.update(task, completed=time.monotonic() - began))
        for line in measured.lines():
            say(line)
        if measured.interrupted:
            typer.echo("faultlab: interrupted; this is what was measured", err=True)
            raise typer.Exit(130)


@app.command()
def scale(
    only: Annotated[list[str] | None, typer.Option(metavar="NAME", help="These measurements alone.")] = None,
    sizes: Annotated[
        str | None,
        typer.Option(
            metavar="N,N,...", help="Sizes of the fleet, from small to large.", show_default=runs.SIZES
        ),
    ] = None,
    output: Annotated[Path | None, typer.Option("-o", help="Write the figures here, as JSON.")] = None,
    check: Annotated[
        bool,
        typer.Option(
            "--check",
            help="Say which lines of docs/CAPACITY.md no longer "
            "follow from the figures; then the exit status is 1.",
        ),
    ] = False,
    small: Annotated[bool, typer.Option("--small", help="Shortened: tries the tool itself.")] = False,
    from_: Annotated[
        Path | None,
        typer.Option("--from", metavar="JSON", help="Figures that -o wrote, instead of measuring."),
    ] = None,
    charts: Annotated[Path | None, typer.Option(metavar="DIR", help="Draw the charts there, as SVG.")] = None,
) -> None:
    """Scale tests: what each role costs by the size of the fleet, as slopes through what was measured.

    Example: python -m burlshift_tools.faultlab scale -o scale.json --check
    """
    with plain_errors():
        if from_ is not None and (only or sizes or small):
            raise runs.ScaleError("--from: goes with none of --only, --sizes, --small; leave those out")
        judge = runs.other("page", "check") if check else None
        draw = runs.other("charts", "draw") if charts is not None else None
        if from_ is not None:
            result = runs.read(from_)
            for found in result.all:
                for line in runs.lines(found):
                    say(line if found in result.measured else f"does not count, or not all of it: {line}")
        else:
            wanted = runs.sizes_of(sizes or (runs.SMALL_SIZES if small else runs.SIZES))
            # After each of them: a run that is cut off keeps what is finished.
            keep = partial(runs.write, path=output) if output is not None else lambda _result: None
            result = runs.measure(only or [], wanted, Run(say, small), keep)
        if draw is not None:
            draw(result.measured, charts)
        broken = judge(result.measured) if judge is not None else []
        for line in broken:
            say(line)
        for reason in result.late:
            say(f"late: {reason}")
        if result.late:
            say("the tool itself was late: what it measured then does not count")
            raise typer.Exit(play.DOES_NOT_COUNT)
        raise typer.Exit(play.BROKE if broken else play.HELD)


def main() -> None:
    # SIGTERM ends it as Ctrl-C does, with nothing left behind, also where a shell started it in the
    # background and had it ignore SIGINT.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    app()
