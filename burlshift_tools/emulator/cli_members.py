"""The emulator's commands on membership: whole fleets, and every interleaving of small ones."""

from __future__ import annotations

import itertools
import time
from typing import Annotated

import typer

from . import explore as exploring
from . import members
from .cli import app, out, plain_errors, progress_bar


@app.command("members")
def members_(
    sizes: Annotated[
        list[int] | None,
        typer.Argument(min=2, max=2000, help="Members of a fleet; 10 and 100 if none is given."),
    ] = None,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    minutes: Annotated[
        float, typer.Option(min=0, help="Of each run that counts false deaths; 0: none.")
    ] = 10.0,
) -> None:
    """How fast members know of one another, what it costs, and how many are falsely taken for dead.

    Example: python -m burlshift_tools.emulator members 10 100 --minutes 30
    """
    with plain_errors():
        for size in sizes or [10, 100]:
            rows = itertools.chain(
                (members.memory(size, seed), members.processor(size, seed)),
                members.spread(size, seed),
                members.false_deaths(size, seed, minutes) if minutes else (),
            )
            with progress_bar() as bar:
                task = bar.add_task(f"{size} members", total=14 if minutes else 10)
                for row in rows:  # a thousand members take many minutes: each line as it is known
                    out.print(f"{row.size:>6}  {row.what:<62} {row.value}", highlight=False, markup=False)
                    bar.update(task, advance=1)


@app.command("explore")
def explore_(
    worlds: Annotated[
        list[str] | None,
        typer.Argument(metavar=f"[{'|'.join(exploring.WORLDS)}]...", help="All of them if none is given."),
    ] = None,
    core: Annotated[
        str, typer.Option(help="Or a planted error: " + ", ".join(exploring.PLANTED))
    ] = exploring.AS_IT_IS,
    states: Annotated[int, typer.Option(min=1, help="To explore in each world.")] = 20_000,
) -> None:
    """Every interleaving of three members' timers, messages and faults, up to a bound. Exit 1: one breaks.

    Example: python -m burlshift_tools.emulator explore pause loss --states 50000
    """
    with plain_errors():
        chosen = worlds or list(exploring.WORLDS)
        for name, known in [(w, exploring.WORLDS) for w in chosen] + [(core, exploring.CORES)]:
            if name not in known:
                typer.echo(f"emulator: {name}: no such name; one of {', '.join(known)}", err=True)
                raise typer.Exit(2)
        broken = False
        for world in chosen:
            explorer = exploring.Explorer(exploring.CORES[core], exploring.WORLDS[world])
            began, interrupted = time.monotonic(), False
            with progress_bar() as bar:
                task = bar.add_task(world, total=states)
                try:
                    for report in explorer.run(states):
                        bar.update(task, completed=report.states)
                except KeyboardInterrupt:
                    interrupted = True
            report = explorer.report
            rate = report.reached / max(1e-9, time.monotonic() - began)
            out.print(
                f"{world}: {report.states} states explored, {report.reached} reached ({rate:.0f} a "
                f"second), {report.steps} steps, {report.depth} deep; from {report.settled} the living "
                f"agreed, within {report.periods:.1f} periods",
                highlight=False,
                markup=False,
                soft_wrap=True,
            )
            if report.broken:
                broken = True
                out.print(f"  broken: {report.broken}", highlight=False, markup=False, soft_wrap=True)
                for step in report.story:
                    out.print(f"    {step}", highlight=False, markup=False)
            if interrupted:
                typer.echo("emulator: interrupted; this is what was explored", err=True)
                raise typer.Exit(130)
        if broken:
            raise typer.Exit(1)
