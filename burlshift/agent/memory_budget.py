"""What the agent holds for all of its peers together, by kind of holder, and its bound."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar
from weakref import WeakKeyDictionary

from . import heap
from .memory_limits import (
    BUFFER_COST,
    KIB_BYTES,
    MEMBER_BYTES,
    MIB_BYTES,
    MIN_TOTAL_BYTES,
    Role,
    limits_for,
)

log = logging.getLogger(__name__)

DEFAULT_MEMORY_BYTES = 48 * MIB_BYTES
READ_BYTES = 64 * KIB_BYTES  # per read; a connection buffers a few of these while the other side is slower
# Per read while much is held, so that many slow peers hold little each. It holds large responses and bodies
# up, which are read once in an iteration of the event loop.
SMALL_READ_BYTES = 4 * KIB_BYTES
READ_SIZES = frozenset({READ_BYTES, SMALL_READ_BYTES})
SMALL_READS_SHARE = 1 / 2  # of the limits
# Of the limit of all. Beyond that new clients are refused: the rest is for those that have sent requests
# before, and do not come hundreds at once.
NEW_CLIENTS_SHARE = 3 / 4
# Of the limits. Beyond that responses that are being buffered are passed on as they are: requests that were
# accepted before the limit was reached may still get answers of any size.
STREAMING_SHARE = 3 / 2
REPORT_INTERVAL_S = 1.0  # between two looks at whether requests are still refused


@dataclass(slots=True)
class Holding:
    """What one kind of holder holds."""

    buffered_bytes: int = 0
    object_bytes: int = 0


class MemoryBudget:
    """Counts what all connections of an event loop hold: input that has not been processed, bodies, responses
    that are being buffered, output that the kernel has not taken, and what the connections and requests take
    themselves.

    Each holder reports its changes. At the limit new requests are refused; see `Server` for what is given up
    before that.
    """

    _of_loops: ClassVar[WeakKeyDictionary[asyncio.AbstractEventLoop, MemoryBudget]] = WeakKeyDictionary()

    def __init__(self) -> None:
        self.held_bytes = 0  # in buffers
        self.object_bytes = 0
        self._list_bytes = 0
        self.set_limits(DEFAULT_MEMORY_BYTES, Role.ALONE)
        self.on_exceeded: Callable[[], None] = lambda: None
        self._exceeded_scheduled = False
        self._holdings: dict[str, Holding] = {}
        self._refused: Counter[str] = (
            Counter()
        )  # what has been given up since the latest look, by what it was
        self._refused_before = 0
        self._is_reporting = False

    @classmethod
    def of_running_loop(cls) -> MemoryBudget:
        """The budget of all connections of the running event loop."""
        loop = asyncio.get_running_loop()
        budget = cls._of_loops.get(loop)
        if budget is None:
            budget = cls._of_loops[loop] = cls()
        return budget

    def set_limits(self, memory_bytes: int, role: Role) -> None:
        """Set the limits of a process with this role in an agent that may have this much memory."""
        self._memory_bytes = memory_bytes
        self._limits = limits_for(memory_bytes, role)
        self.limit_bytes = self._limits.buffered_bytes
        self.max_connections = self._limits.max_connections
        self._limit_total()

    def set_role(self, role: Role) -> None:
        """Adapt the limits to another role of this process, and leave to other processes what is free."""
        self.set_limits(self._memory_bytes, role)
        heap.trim()

    def count_members(self, change: int) -> None:
        """The list of backends has so many members more; negative: fewer."""
        self._list_bytes += change * MEMBER_BYTES
        self._limit_total()

    def _limit_total(self) -> None:
        """Set the limit of all that is held for peers, see total_bytes. The list cannot be refused, so that
        something is left beside it in any case."""
        self.total_limit_bytes = max(MIN_TOTAL_BYTES, self._limits.total_bytes - self._list_bytes)

    @property
    def total_bytes(self) -> int:
        """The memory that all holders but the list take."""
        return self.object_bytes + int(self.held_bytes * BUFFER_COST)

    @property
    def read_bytes(self) -> int:
        """How much connections should read at a time."""
        return SMALL_READ_BYTES if self.is_beyond(SMALL_READS_SHARE) else READ_BYTES

    @property
    def response_read_bytes(self) -> int:
        """How much should be read at a time of responses, whose requests have been accepted."""
        is_short = self.held_bytes > self.limit_bytes * SMALL_READS_SHARE or self.is_exceeded
        return SMALL_READ_BYTES if is_short else READ_BYTES

    @property
    def is_exceeded(self) -> bool:
        """Whether new requests are to be refused."""
        return self.is_beyond(1)

    @property
    def wants_streaming(self) -> bool:
        """Whether responses are to be passed on before they are complete."""
        return self.is_beyond(STREAMING_SHARE)

    def is_beyond(self, share: float, new_client: bool = False) -> bool:
        """Whether more is held than this share of the limits, or of what a new client may find held."""
        total_share = share * NEW_CLIENTS_SHARE if new_client else share
        return (
            self.held_bytes > self.limit_bytes * share
            or self.object_bytes + self.held_bytes * BUFFER_COST > self.total_limit_bytes * total_share
        )

    def change(self, kind: str, buffered_bytes: int, object_bytes: int = 0) -> None:
        """A holder of this kind holds this many bytes more; negative: fewer."""
        self.held_bytes += buffered_bytes
        self.object_bytes += object_bytes
        holding = self._holdings.get(kind)
        if holding is None:
            holding = self._holdings[kind] = Holding()
        holding.buffered_bytes += buffered_bytes
        holding.object_bytes += object_bytes
        grows = buffered_bytes > 0 or object_bytes > 0
        if grows and self.is_exceeded and not self._exceeded_scheduled:
            self._exceeded_scheduled = True
            asyncio.get_running_loop().call_soon(self._report_exceeded)

    def _report_exceeded(self) -> None:
        self._exceeded_scheduled = False
        self.relieve()

    def relieve(self) -> None:
        """Have something given up if more is held than the limits. Called after each read: the reads of one
        iteration of the event loop, from hundreds of peers, would exceed the limits by far."""
        if self.is_exceeded:
            self.on_exceeded()

    # For operators

    def count_refused(self, what: str) -> None:
        """Count what has been given up for lack of memory; the log says when this begins and ends."""
        if not self._is_reporting:
            self._is_reporting = True
            log.warning("memory is short, refused: %s; %s", what.replace("_", " "), self._description())
            asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self._look_again)
        self._refused[what] += 1

    def _look_again(self) -> None:
        """Give memory back that has been freed meanwhile; log the end once nothing has been refused for an
        interval."""
        heap.trim()
        total = self._refused.total()
        if total != self._refused_before:
            self._refused_before = total
            asyncio.get_running_loop().call_later(REPORT_INTERVAL_S, self._look_again)
            return
        refused = ", ".join(
            f"{count} {what.replace('_', ' ')}" for what, count in sorted(self._refused.items())
        )
        log.warning("memory is no longer short, refused so far: %s; %s", refused, self._description())
        self._is_reporting = False

    def _description(self) -> str:
        parts = [
            f"{kind} {holding.object_bytes // KIB_BYTES} + {holding.buffered_bytes // KIB_BYTES} kB"
            for kind, holding in sorted(self._holdings.items())
        ]
        return (
            f"{self.total_bytes // KIB_BYTES} of {self.total_limit_bytes // KIB_BYTES} kB held, "
            f"{self.held_bytes // KIB_BYTES} of {self.limit_bytes // KIB_BYTES} kB in buffers "
            f"({'; '.join(parts)})"
        )

    def metrics(self) -> dict[str, tuple[int, str]]:
        """By name: value, and `c` for a counter or `g` for a gauge. In bytes, but for what was refused."""
        values = {f"memory_refused.{what}": (count, "c") for what, count in sorted(self._refused.items())}
        values["memory_limit"] = (self.total_limit_bytes, "g")
        values["memory_held"] = (self.total_bytes, "g")
        values["memory_buffers_limit"] = (self.limit_bytes, "g")
        values["memory_list"] = (self._list_bytes, "g")
        for kind, holding in sorted(self._holdings.items()):
            values[f"memory_buffered.{kind}"] = (holding.buffered_bytes, "g")
            values[f"memory_objects.{kind}"] = (holding.object_bytes, "g")
        return values
