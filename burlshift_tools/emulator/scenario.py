"""Scenarios: TOML files by a schema, with ranges that a seed draws from."""

from __future__ import annotations

import tomllib
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from .troubles_schema import Trouble
from .units import Count, NonNegative, Positive, Share


class ScenarioError(Exception):
    """A scenario cannot be used; the text is one line that names file, place and mend."""


class Part(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of a scenario. In a file a number may be [low, high]: a range that the seed draws from."""


class Run(Part, frozen=True):
    """Length of a run and its time step."""

    length_s: Positive = 50.0
    warm_s: NonNegative = 1.0  # what comes before it is not counted
    tail_s: Positive = 6.5  # after the last arrival the run goes on for this long
    tick_ms: Positive = 5.0  # agents act once a tick
    max_requests: Annotated[int, Meta(ge=1)] = 400_000  # first tries; an end to what a run can take


class Fleet(Part, frozen=True):
    """Numbers of servers and agents, and their placement."""

    servers: Count
    agents: Count
    zones: Annotated[list[str], Meta(min_length=1)]
    cell_size: Count = 8
    zone_skew: NonNegative = 0.0  # spread of the traffic over zones
    agent_skew: NonNegative = 0.0  # spread (cv) of the traffic over agents


class Load(Part, frozen=True):
    """Offered load, and how it varies over time and keys."""

    share: Positive  # work asked for, of what all servers can do
    swing: NonNegative = 0.0  # cv of the rate over `swing_ms`
    swing_ms: Positive = 300.0
    keys: Count = 300  # distinct keys
    key_zipf: NonNegative = 0.7  # popularity of the key at rank k is 1 / k ** key_zipf


class Network(Part, frozen=True):
    """Latency, loss and resets between agents and servers."""

    same_ms: Positive = 0.2  # one way
    cross_ms: Positive = 3.0
    jitter: NonNegative = 0.2  # cv
    loss: Share = 0.0  # share of attempts whose answer never comes
    reset: Share = 0.0  # share of attempts whose connection breaks


class Clients(Part, frozen=True):
    """Retries, back-off and patience of the clients."""

    retries: Count = 3
    try_share: Share = 0.58  # of the deadline, after which one try is given up
    backoff: Literal["none", "fixed"] = "none"
    backoff_ms: NonNegative = 100.0
    honour: Share = 0.3  # share of clients that heed Retry-After
    impatient: Share = 0.0  # share of tries whose client leaves early


class Discovery(Part, frozen=True):
    """How and how late changes of the fleet are listed."""

    mode: Literal["push", "ask"] = "push"
    add_s: NonNegative = 1.5  # until a server that came is listed
    notice_s: NonNegative = 5.0  # until one that was stopped in order is
    silent_notice_s: NonNegative = 9.0  # until one that died is
    period_ms: Positive = 700.0  # changes go out this often
    spread_ms: NonNegative = 60.0  # and reach the agents over this time
    calls_per_s: Positive = 200.0  # what the one service can answer
    call_timeout_ms: Positive = 2000.0
    known: Share = 1.0  # share of the servers that a starting agent's old list holds


class Allow(Part, frozen=True):
    """What the agents are permitted to do."""

    probes: bool = True
    peers: bool = True
    cancel: bool = True
    second_copies: bool = True
    retry_after: bool = True
    max_attempts: Annotated[int, Meta(ge=1)] = 6
    max_retry_after_ms: NonNegative = 2000.0
    peer_ms: Positive = 10.0
    peer_loss: Share = 0.0


class Rules(Part, frozen=True):
    """Rules that the servers and agents are held to."""

    drain_grace_ms: Positive = 1000.0
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1500.0
    start_fraction: Share = 0.13  # as told to the agents
    warm_s: Positive = 23.0
    answer_slack_ms: NonNegative = 20.0


class Goal(Part, frozen=True):
    """Weights of the parts of the score."""

    whole: Share = 0.5
    worst_window: Share = 0.3
    worst_class: Share = 0.2
    window_s: Positive = 10.0


class Prices(Part, frozen=True):
    """What wasteful actions cost in the score."""

    cross_zone: NonNegative = 0.03
    waste: NonNegative = 0.04
    late_fail: NonNegative = 0.05
    probe: NonNegative = 0.007
    peer: NonNegative = 0.01


class Report(Part, frozen=True):
    """Load reports of the servers: fields, period and delay."""

    fields: list[Literal["util", "inflight", "eps"]] = msgspec.field(
        default_factory=lambda: ["util", "inflight"]
    )
    period_ms: Positive = 900.0
    delay_ms: NonNegative = 240.0
    noise: NonNegative = 0.04


class Connections(Part, frozen=True):
    """Costs and limits of connections."""

    handshake_rtts: NonNegative = 2.5
    handshake_us: NonNegative = 4000.0  # work at the server
    idle_s: Positive = 10.0
    connect_timeout_ms: Positive = 250.0
    cap_per_core: Positive = 750.0
    full_tax: Share = 0.26  # capacity that a full table takes


class Probing(Part, frozen=True):
    """Costs and limits of probes."""

    work_us: NonNegative = 300.0
    cap_per_core: Positive = 7.0
    deep: bool = False
    timeout_ms: Positive = 300.0


class Cache(Part, frozen=True):
    """The servers' caches: what a recently seen key saves."""

    gain: Share = 0.0  # work saved for a key met lately
    seconds: Positive = 8.0
    keys_per_core: Positive = 20.0


class Kind(Part, frozen=True):
    """A kind of server: cores, speed and share of the fleet."""

    name: str
    share: Positive
    cores: Annotated[int, Meta(ge=1)]
    speed: Positive
    speed_cv: NonNegative = 0.0
    slots_per_core: Positive = 4.0
    queue_per_core: NonNegative = 28.0
    thrash: Share = 0.18  # capacity lost for each doubling of what is held over the knee
    thrash_at: Positive = 6.5  # the knee, held per core
    cold_from: Share = 0.25
    cold_s: Positive = 17.0
    warm_by: Literal["time", "requests"] = "requests"
    pause_every_s: Positive = 7.0
    pause_ms: NonNegative = 0.0
    pause_grow: NonNegative = 0.0  # a pause is this much longer when all slots are taken
    error_rate: Share = 0.0
    cancel: Literal["none", "queued", "all"] = "queued"  # of what is given up, what is not worked on


class Class(Part, frozen=True):
    """A class of requests: work, deadline and worth."""

    name: str
    share: Positive
    work_ms: Positive
    aim_ms: Positive
    deadline_ms: Positive
    dist: Literal["lognormal", "pareto", "fixed"] = "lognormal"
    cv: NonNegative = 1.0
    attempt_noise: NonNegative = 0.3
    worth: NonNegative = 1.0
    late_worth: Share = 0.25
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: NonNegative = 5000.0


class Scenario(Part, frozen=True):
    """One world. All of it but `base`, which names another scenario that this one changes."""

    about: str
    fleet: Fleet
    load: Load
    kind: Annotated[list[Kind], Meta(min_length=1)]
    cls: Annotated[list[Class], Meta(min_length=1)] = msgspec.field(name="class")
    run: Run = Run()
    network: Network = Network()
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    allow: Allow = Allow()
    rules: Rules = Rules()
    goal: Goal = Goal()
    prices: Prices = Prices()
    report: Report = Report()
    connections: Connections = Connections()
    probing: Probing = Probing()
    cache: Cache = Cache()
    trouble: list[Trouble] = msgspec.field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """A server as drawn."""

    kind: Kind
    kind_index: int
    zone: int
    cell: int
    speed: float


@dataclass(frozen=True, slots=True)
class AgentPlan:
    """An agent as drawn."""

    zone: int
    weight: float  # of the traffic, in proportion


@dataclass(frozen=True, slots=True)
class Span:
    """A scenario with its ranges: all keys at their low ends, and at their high ends."""

    low: Scenario
    high: Scenario
    servers: list[ServerPlan] | None = None  # where they are given and not drawn
    agents: list[AgentPlan] | None = None

    @property
    def about(self) -> str:
        return self.low.about


def shipped(package: str = "burlshift_tools.emulator") -> list[str]:
    """Names of the scenarios in a package, without their base."""
    folder = resources.files(package) / "scenarios"
    names = (entry.name for entry in folder.iterdir())
    return sorted(n.removesuffix(".toml") for n in names if n.endswith(".toml") and not n.startswith("_"))


def load(name: str, schema: type[Scenario] = Scenario, package: str = "burlshift_tools.emulator") -> Span:
    """Read a shipped scenario by its name, or a file by its path. Raises ScenarioError."""
    path = path_of(name, package)
    return _span(_merged(path, ()), path, schema)


def assemble(tables: dict[str, Any], base: Path, schema: type[Scenario]) -> Span:
    """A scenario out of tables laid over those of a file. Raises ScenarioError."""
    return _span(_laid_over(_merged(base, ()), tables), base, schema)


def _span(tables: dict[str, Any], path: Path, schema: type[Scenario]) -> Span:
    # Both ends of all ranges are checked as scenarios of their own: msgspec 0.23 crashes the interpreter on a
    # tuple of numbers that have bounds.
    low, high = (convert(_end(tables, i), path, schema) for i in (0, 1))
    for place, a, b in _ranges(low, high, ""):
        if a > b:
            raise ScenarioError(f"{path}: {place}: range [{a:g}, {b:g}] is upside down; write [{b:g}, {a:g}]")
    for i, trouble in enumerate(low.trouble):
        if trouble.needs_zones and len(low.fleet.zones) < 2:
            raise ScenarioError(f"{path}: trouble[{i}]: needs two zones; name more in fleet.zones")
    return Span(low, high)


def convert(tables: dict[str, Any], path: Path, schema: type[Scenario] = Scenario) -> Scenario:
    """A scenario without ranges out of its tables. Raises ScenarioError."""
    try:
        return msgspec.convert(tables, schema)
    except msgspec.ValidationError as e:
        raise ScenarioError(f"{path}: {_explain(str(e))}") from None


def path_of(name: str, package: str = "burlshift_tools.emulator") -> Path:
    path = Path(name)
    if path.suffix in (".toml", ".json") or path.exists():
        return path
    if name not in shipped(package):
        names = ", ".join(shipped(package))
        raise ScenarioError(f"{name}: no such scenario; give a file or one of: {names}")
    return Path(str(resources.files(package) / "scenarios" / f"{name}.toml"))


def _merged(path: Path, above: tuple[Path, ...]) -> dict[str, Any]:
    """The tables of a file laid over those of its base; lists are taken whole."""
    if path in above:
        raise ScenarioError(f"{path}: base: the files name one another in a circle; leave one base out")
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as e:
        raise ScenarioError(f"{path}: cannot be read ({e.strerror}); give a file that exists") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: is no text in UTF-8; save it as TOML") from None
    except tomllib.TOMLDecodeError as e:
        raise ScenarioError(f"{path}: is no TOML: {e}; mend that line") from None
    base = tables.pop("base", None)
    if base is None:
        return tables
    if not isinstance(base, str):
        raise ScenarioError(f"{path}: base: must be a file's name in quotes")
    return _laid_over(_merged(path.parent / base, (*above, path)), tables)


def _laid_over(base: dict[str, Any], tables: dict[str, Any]) -> dict[str, Any]:
    result = dict(base)
    for key, value in tables.items():
        old = result.get(key)
        both = isinstance(value, dict) and isinstance(old, dict)
        result[key] = _laid_over(typing.cast(dict[str, Any], old), value) if both else value
    return result


def _end(value: Any, which: int) -> Any:
    """The tables with the low or the high end of each range in its place."""
    if isinstance(value, dict):
        return {key: _end(item, which) for key, item in value.items()}
    if isinstance(value, list):
        if len(value) == 2 and all(isinstance(x, int | float) and not isinstance(x, bool) for x in value):
            return value[which]
        return [_end(item, which) for item in value]
    return value


def _ranges(low: Any, high: Any, place: str) -> Iterator[tuple[str, float, float]]:
    """All numbers of two scenarios of one shape, with the place of each."""
    if isinstance(low, Struct):
        for f in msgspec.structs.fields(low):
            below = f"{place}.{f.encode_name}" if place else f.encode_name
            yield from _ranges(getattr(low, f.name), getattr(high, f.name), below)
    elif isinstance(low, list):
        for i, (a, b) in enumerate(zip(low, high, strict=True)):
            yield from _ranges(a, b, f"{place}[{i}]")
    elif isinstance(low, int | float):
        yield place, low, high


def _explain(message: str) -> str:
    """msgspec's words with the place first; an unknown key is told which keys there are."""
    what, _, place = message.partition(" - at `")
    place = place.rstrip("`").removeprefix("$").removeprefix(".") or "the file"
    if "unknown field" in what:
        return f"{place}: {what.replace('Object contains', 'has')}; take it out or mend its name"
    if "missing required field" in what:
        return f"{place}: {what.replace('Object', 'the table')}; add it"
    return f"{place}: {what[0].lower()}{what[1:]}; change the value"
