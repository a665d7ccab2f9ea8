"""What the scale tests' parent says to its hollow processes, and what these answer: JSON lines over pipes."""

from __future__ import annotations

from msgspec import Struct, field


class Plan(Struct, kw_only=True):
    """A process of hollow agents, configured as an agent is."""

    config: str  # RELAY_CONFIG's file
    name: str
    agents: int
    deciding: bool  # with decisions; otherwise they only follow the list
    seed: int


class Start(Struct, tag_field="order", tag="start"):
    """All begin to watch, spread evenly over so many seconds."""

    spread_s: float


class Move(Struct, tag_field="order", tag="move"):
    """All watch at another address from now on, which makes each ask for the whole list."""

    address: str
    spread_s: float


class Clear(Struct, tag_field="order", tag="clear"):
    """Forget what was seen: a measurement begins."""


class Until(Struct, tag_field="order", tag="until"):
    """Answer once all have this revision or a later one, or when the time is over."""

    revision: int
    limit_s: float
    whole: bool = False  # told by a whole list


class Renew(Struct, tag_field="order", tag="renew", kw_only=True):
    """Renew these leases, each every `every_s`, evenly spread, each over a connection of its own."""

    at: str
    ids: list[str]
    every_s: float
    for_s: float


Order = Start | Move | Clear | Until | Renew


class Seen(Struct, kw_only=True):
    """Since Clear, by agent; times are CLOCK_MONOTONIC's in ns, 0 where it never was."""

    arrived: list[int] = field(default_factory=list)  # the last byte of the answer was read
    taken: list[int] = field(default_factory=list)  # and the agent had taken it in
    received: list[int] = field(default_factory=list)  # bytes from the list service
    wholes: int = 0  # whole lists told
    changes: int = 0  # answers with changes told
    failed: int = 0  # watches that broke
    lost_ms: float = 0.0  # the longest that the process had work or time due and no processor
    busy_ms: float = 0.0  # the longest that its own work kept its loop from turning
    cpu_s: float = 0.0


class Renewed(Struct, kw_only=True):
    """Times from when each renewal was due to its answer, in ms."""

    took_ms: list[float] = field(default_factory=list)
    refused: int = 0  # answered otherwise than by 200
    unanswered: int = 0
    lost_ms: float = 0.0
