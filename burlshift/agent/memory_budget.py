"""The bytes that the agent holds for all of its peers together, and their bound."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ClassVar
from weakref import WeakKeyDictionary

MIB_BYTES = 1024 * 1024
DEFAULT_MEMORY_BYTES = 48 * MIB_BYTES
PROCESS_BYTES = 16 * MIB_BYTES  # that an agent without peers takes
# Of the memory that is left; the rest is for what a connection itself takes, copies, and fragmentation.
HELD_SHARE = 1 / 4
MIN_LIMIT_BYTES = MIB_BYTES
# Shares of the limit. From the first on reads are small, so that many slow peers hold little each. Beyond the
# second, responses that are being buffered are passed on as they are: requests that were accepted before the
# limit was reached may still get answers of any size.
SMALL_READS_SHARE, STREAMING_SHARE = 1 / 2, 3 / 2


class MemoryBudget:
    """Counts what all connections of an event loop hold: input that has not been processed, bodies, responses
    that are being buffered, and output that the kernel has not taken.

    Each holder reports its changes. At the limit new requests are refused; see `Server` for what is given up
    before that.
    """

    _of_loops: ClassVar[WeakKeyDictionary[asyncio.AbstractEventLoop, MemoryBudget]] = WeakKeyDictionary()

    def __init__(self) -> None:
        self.held_bytes = 0
        self._memory_bytes = DEFAULT_MEMORY_BYTES
        self.limit_bytes = 0
        self.divide(1)
        self.on_exceeded: Callable[[], None] = lambda: None  # called in a later iteration of the loop
        self._exceeded_scheduled = False

    @classmethod
    def of_running_loop(cls) -> MemoryBudget:
        """The budget of all connections of the running event loop."""
        loop = asyncio.get_running_loop()
        budget = cls._of_loops.get(loop)
        if budget is None:
            budget = cls._of_loops[loop] = cls()
        return budget

    def limit_by_memory(self, memory_bytes: int) -> None:
        """Set the limit for an agent that may have this much memory."""
        self._memory_bytes = memory_bytes
        self.divide(1)

    def divide(self, processes: int) -> None:
        """Set the limit for an agent that consists of this number of processes."""
        free_bytes = self._memory_bytes // processes - PROCESS_BYTES
        self.limit_bytes = max(MIN_LIMIT_BYTES, int(free_bytes * HELD_SHARE))

    @property
    def wants_small_reads(self) -> bool:
        """Whether connections should read little at a time."""
        return self.held_bytes > self.limit_bytes * SMALL_READS_SHARE

    @property
    def is_exceeded(self) -> bool:
        """Whether new requests are to be refused."""
        return self.held_bytes > self.limit_bytes

    @property
    def wants_streaming(self) -> bool:
        """Whether responses are to be passed on before they are complete."""
        return self.held_bytes > self.limit_bytes * STREAMING_SHARE

    def change(self, change_bytes: int) -> None:
        """A holder holds this many bytes more; negative: fewer."""
        self.held_bytes += change_bytes
        if change_bytes > 0 and self.is_exceeded and not self._exceeded_scheduled:
            self._exceeded_scheduled = True
            asyncio.get_running_loop().call_soon(self._report_exceeded)

    def _report_exceeded(self) -> None:
        self._exceeded_scheduled = False
        if self.is_exceeded:
            self.on_exceeded()
