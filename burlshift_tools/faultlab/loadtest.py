"""The load client alone, against any agent on this machine."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from burlshift_tools.emulator.scenario import Class, Clients

from .addresses import split
from .history import Answered, Asked, Event, Unanswered, now_us
from .metrics import HIGHEST_US, LOWEST_US, histogram, percentiles
from .parts.clients import Arrival, Begin, ClientsPart, Load

EFFECTS = ("safe", "keyed", "unsafe")
WORK_US = 1000  # told to a stand-in server; any other server does not look at it
LOOK_S = 0.1
MOST = 1_000_000  # requests of one call


class LoadError(Exception):
    """Wrong use; the text is one line."""


@dataclass(frozen=True, slots=True)
class Options:
    """The command line of a load test."""

    address: str
    rate: float  # a second
    seconds: float
    cls: str
    effect: str
    timeout_ms: float
    retries: int
    seed: int


@dataclass(slots=True)
class Measured:
    """Counts what clients write down; each first request once, by how its last try ended."""

    times: Any = field(default_factory=histogram)
    ends: dict[str, str] = field(default_factory=dict)
    interrupted: bool = False
    _asked: dict[str, Asked] = field(default_factory=dict)

    def write(self, event: Event) -> None:
        match event:
            case Asked():
                self._asked[event.rid] = event
            case Answered():
                asked = self._asked.pop(event.rid)
                self.ends[asked.first] = str(event.status)
                if event.status == 200:
                    self.times.record_value(min(HIGHEST_US, max(LOWEST_US, event.t - asked.due)))
            case Unanswered():
                known = self._asked.pop(event.rid, None)
                self.ends[known.first if known is not None else event.rid.partition(".")[0]] = event.how

    def lines(self) -> list[str]:
        counted = Counter(self.ends.values())
        shown = ", ".join(f"{n} {end}" for end, n in sorted(counted.items())) or "none ended"
        times = " ".join(f"{name} {us / 1000:.1f}" for name, us in percentiles(self.times).items())
        return [f"requests by their end: {shown}", f"of 200, ms from when due: {times}"]


def run(options: Options, progress: Callable[[], None]) -> Measured:
    """Send for so long, or until Ctrl-C; what was measured either way."""
    try:
        host, port = split(options.address)
        local = ipaddress.ip_address(host).is_loopback and 0 < port < 65536
    except ValueError:
        raise LoadError(f"{options.address}: is no address; write HOST:PORT, as 127.0.0.1:9000") from None
    if not local:
        raise LoadError(f"{options.address}: is not on loopback; load goes to 127.0.0.0/8 only")
    if options.effect not in EFFECTS:
        raise LoadError(f"--effect {options.effect}: is none; one of {', '.join(EFFECTS)}")
    if options.rate * options.seconds > MOST:
        many = options.rate * options.seconds
        raise LoadError(f"--rate and --for: {many:,.0f} requests are over {MOST:,}; lower one of them")
    return asyncio.run(_run(options, progress))


async def _run(options: Options, progress: Callable[[], None]) -> Measured:
    measured = Measured()
    rng = random.Random(options.seed)
    arrivals, at = [], 0.0
    while (at := at + rng.expovariate(options.rate)) < options.seconds:
        arrivals.append(Arrival(int(at * 1e6), 0, rng.randrange(1, 300), WORK_US))
    c = Class(
        name=options.cls,
        share=1.0,
        work_ms=1.0,
        aim_ms=options.timeout_ms,
        deadline_ms=options.timeout_ms,
        effect=options.effect,  # type: ignore[arg-type]
    )
    load = Load(
        ClientsPart(
            name="load",
            history="",
            agent="",
            address=options.address,
            classes=[c],
            arrivals=arrivals,
            clients=Clients(retries=options.retries, try_share=1.0),
            max_retry_after_ms=2000.0,
            front=False,
            seed=options.seed,
        ),
        measured,
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await load.start()
    await load.order(Begin(now_us()))
    until = loop.time() + options.seconds
    while not stop.is_set() and (loop.time() < until or load.open):
        progress()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOK_S):
                await stop.wait()
    measured.interrupted = stop.is_set()
    await load.stop()
    return measured
