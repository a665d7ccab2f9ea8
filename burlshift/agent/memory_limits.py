"""How much an agent's process may hold for its peers, from the memory that the agent may have."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

KIB_BYTES, MIB_BYTES = 1024, 1024 * 1024
# What a process without peers takes: of its own, and with the files that it has mapped, which all processes
# of an agent share.
PROCESS_BYTES, PROCESS_WITH_FILES_BYTES = 27 * MIB_BYTES // 2, 20 * MIB_BYTES
# What the objects of a holder take beside the bytes that it buffers.
CONNECTION_BYTES = 5 * KIB_BYTES
REQUEST_BYTES = 12 * KIB_BYTES  # with its attempts, and what the policy knows of it
MEMBER_BYTES = 2560  # of the list of backends
BUFFER_COST = 2.0  # bytes of memory that a buffered byte takes, with copies and fragmentation
# Of what the processes of a replaceable agent leave: the parts of the process that serves and of its
# successor, while both are up. The rest is for what the prices above miss.
SERVING_SHARE, SUCCESSOR_SHARE = 0.4, 0.2
# Of what a process may hold: the most that may be buffered, and that resting connections may take.
BUFFERS_SHARE, CONNECTIONS_SHARE = 1 / 3, 3 / 5
MIN_BUFFERS_BYTES = MIB_BYTES // 2
MIN_TOTAL_BYTES = int(MIN_BUFFERS_BYTES * BUFFER_COST)  # for peers, whatever the list of backends takes


class Role(Enum):
    """Which part of an agent a process is."""

    ALONE = auto()  # no other process can take over
    SERVING = auto()  # one may take over at any time, or is doing so
    SUCCESSOR = auto()  # its predecessor has not ended yet


@dataclass(slots=True, frozen=True)
class MemoryLimits:
    """The most that a process may hold, in bytes."""

    total_bytes: int  # objects, and what is buffered at BUFFER_COST
    buffered_bytes: int

    @property
    def max_connections(self) -> int:
        """How many connections to clients, and likewise to backends, may be open."""
        return max(1, int(self.total_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES)


def limits_for(memory_bytes: int, role: Role) -> MemoryLimits:
    """The limits of a process of an agent that may have this much memory.

    A replaceable agent leaves its successor's part free at all times: a process does not give back what it
    has once taken, and hears of its successor when that has taken its own part already.
    """
    free_bytes = memory_bytes - PROCESS_WITH_FILES_BYTES
    if role is not Role.ALONE:
        share = SERVING_SHARE if role is Role.SERVING else SUCCESSOR_SHARE
        free_bytes = min(free_bytes, int((memory_bytes - 2 * PROCESS_BYTES) * share))
    buffered_bytes = max(MIN_BUFFERS_BYTES, int(free_bytes * BUFFERS_SHARE))
    return MemoryLimits(max(free_bytes, MIN_TOTAL_BYTES), buffered_bytes)
