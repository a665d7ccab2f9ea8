"""Commands of the catalog service. Each user error is one line on stderr, with exit status 2."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from burlshift.agent.listing import Address, parse_address

from . import client, store
from .replica import Replica
from .server import CatalogServer
from .service import Service

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="The service catalog: a list of servers on disk, with watches for its readers.",
)
Folder = Annotated[Path, typer.Argument(metavar="DIR", help="The data directory of `serve`.")]
At = Annotated[str, typer.Option(metavar="HOST:PORT", help="Where the service listens.")]


@contextmanager
def plain_errors() -> Iterator[None]:
    """Print an expected error as one line and exit with status 2."""
    try:
        yield
    except (store.CatalogDataError, store.CommitError, client.CallError) as error:
        typer.echo(f"catalog: {error}", err=True)
        raise typer.Exit(2) from None
    except OSError as error:
        where = error.filename or "system"
        typer.echo(f"catalog: {where}: {error.strerror or error}; mend that or name another", err=True)
        raise typer.Exit(2) from None
    except KeyboardInterrupt:
        raise typer.Exit(130) from None


@app.command()
def serve(
    listen: Annotated[str, typer.Option(metavar="HOST:PORT")],
    data: Annotated[Path, typer.Option(metavar="DIR", help="Created if it does not exist.")],
) -> None:
    """Serve the list until SIGTERM or Ctrl-C.

    Example: python -m burlshift.catalog serve --listen 127.0.0.1:8500 --data data
    """
    _log_to_stderr()
    with plain_errors():
        address = _address("--listen", listen)
        asyncio.run(_serve(address, store.Store(data)))


@app.command()
def follow(
    listen: Annotated[str, typer.Option(metavar="HOST:PORT")],
    source: Annotated[
        list[str] | None,
        typer.Option(
            metavar="HOST:PORT",
            help="The catalog service or another follower; several are tried in rotation.",
        ),
    ] = None,
) -> None:
    """Serve a read replica of another list, in memory only, until SIGTERM or Ctrl-C.

    Example: python -m burlshift.catalog follow --listen 127.0.0.2:8500 --source 127.0.0.1:8500
    """
    _log_to_stderr()
    with plain_errors():
        address = _address("--listen", listen)
        sources = tuple(_address("--source", text) for text in source or ())
        if not sources:
            raise client.CallError("--source: name the address to follow, HOST:PORT")
        for index, one in enumerate(sources):
            if one == address:
                raise client.CallError(f"--source {listen}: is its own address; name the address to follow")
            if one in sources[:index]:
                raise client.CallError(f"--source {one.host}:{one.port}: is named twice; name each once")
        asyncio.run(_follow(address, sources))


def _log_to_stderr() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")


def _address(flag: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        raise client.CallError(f"{flag} {text}: is no address; write HOST:PORT") from None


def _stop_at_signals() -> asyncio.Event:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _follow(address: Address, sources: tuple[Address, ...]) -> None:
    stop = _stop_at_signals()
    replica = Replica(sources)
    server = CatalogServer(replica)
    try:
        port = await server.listen(address)
        logging.getLogger("burlshift.catalog").info(
            "follows %s; listens on %s:%d",
            " ".join(f"{one.host}:{one.port}" for one in sources),
            address.host,
            port,
        )
        replica.start()
        await stop.wait()
    finally:
        replica.stop()
        server.close()


async def _serve(address: Address, opened: store.Store) -> None:
    stop = _stop_at_signals()
    service = Service(opened, lambda: server.is_listening())
    server = CatalogServer(service)
    service.start()
    try:
        port = await server.listen(address)
        logging.getLogger("burlshift.catalog").info(
            "list %s, revision %d, %d members; listens on %s:%d",
            opened.identity,
            service.revision,
            len(opened.state.entries),
            address.host,
            port,
        )
        await stop.wait()
    finally:
        await service.stop()
        server.close()


@app.command()
def check(folder: Folder) -> None:
    """Check a data directory that no service has open, byte by byte.

    Example: python -m burlshift.catalog check data
    """
    with plain_errors():
        for line in store.check(folder):
            typer.echo(line)


@app.command()
def dump(folder: Folder) -> None:
    """Print the list in a data directory as JSON.

    Example: python -m burlshift.catalog dump data
    """
    with plain_errors():
        store.check(folder)
        opened = store.Store(folder)
        try:
            doc = {
                "list": opened.identity,
                "revision": opened.state.revision,
                "entries": list(opened.state.entries.values()),
            }
            typer.echo(msgspec.json.format(msgspec.json.encode(doc)).decode())
        finally:
            opened.close()


@app.command()
def backup(folder: Folder, to: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Write the list to one file, also while it is served.

    Example: python -m burlshift.catalog backup data list.backup
    """
    with plain_errors():
        typer.echo(f"revision {store.backup(folder, to)} in {to}")


@app.command()
def restore(folder: Folder, source: Annotated[Path, typer.Argument(metavar="FILE")]) -> None:
    """Replace the list in a directory by a backup, as a new list; the old one is kept beside it.

    Example: python -m burlshift.catalog restore data list.backup
    """
    with plain_errors():
        typer.echo(store.restore(folder, source))


@app.command()
def put(
    member: Annotated[str, typer.Argument(metavar="ID")],
    host_port: Annotated[str, typer.Argument(metavar="HOST:PORT")],
    at: At,
    locality: str = "",
    flavor: str = "",
    cell: int = 0,
    size: float = 1.0,
    up_since_ms: int = 0,
    ttl_ms: Annotated[int, typer.Option(help="0: no lease.")] = 0,
    start: int = 0,
) -> None:
    """Add a member or replace it.

    Example: python -m burlshift.catalog put s1 10.1.0.18:9000 --at 127.0.0.1:8500 --ttl-ms 10000
    """
    doc = {
        "host_port": host_port,
        "locality": locality,
        "flavor": flavor,
        "cell": cell,
        "size": size,
        "up_since_ms": up_since_ms,
        "ttl_ms": ttl_ms,
        "start": start,
    }
    with plain_errors():
        typer.echo(client.call(at, "PUT", client.member_path(member), doc))


@app.command()
def drain(member: Annotated[str, typer.Argument(metavar="ID")], at: At) -> None:
    """Drain a member, so that it gets no new requests.

    Example: python -m burlshift.catalog drain s1 --at 127.0.0.1:8500
    """
    with plain_errors():
        typer.echo(client.call(at, "PUT", client.member_path(member) + "/phase", {"phase": "DRAINING"}))


@app.command()
def rm(member: Annotated[str, typer.Argument(metavar="ID")], at: At) -> None:
    """Remove a member from the list.

    Example: python -m burlshift.catalog rm s1 --at 127.0.0.1:8500
    """
    with plain_errors():
        typer.echo(client.call(at, "DELETE", client.member_path(member)))


@app.command()
def watch(at: At) -> None:
    """Print the list, then each change as it happens, one JSON object a line.

    Example: python -m burlshift.catalog watch --at 127.0.0.1:8500
    """
    with plain_errors():
        for line in client.watch(at):
            typer.echo(line)


@app.command()
def bench() -> None:
    """Measure the cost of the service against bare baselines on this machine; about a minute.

    Example: python -m burlshift.catalog bench
    """
    # Imported here as it needs the histograms of the tools, which the service does not.
    from . import bench as measuring

    with plain_errors():
        measuring.run(typer.echo)


def main() -> None:
    app()
