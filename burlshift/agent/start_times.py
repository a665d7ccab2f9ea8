"""When the servers' processes started, by this machine's monotonic clock.

The list gives a start as Unix time. This identifies the process: the same value is the same process. As an
age it depends on the wall clocks of two machines, and a server that is taken for older than it is gets the
load of a warm one while it is cold. So the start by the monotonic clock is computed once, when a value is
first received, and is bounded:

- it is no later than that moment, whatever the list says, and the server warms up by the monotonic clock;
- it is no earlier than the last time at which the list is known not to have contained it.

Starts are kept for as long as the server is listed and for some time after: a complete list may omit a server
that drains, and one that returns unchanged is the same process with the same start.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Any

from .clock import Clock

log = logging.getLogger(__name__)

SECOND_US = 1_000_000
MAX_UNLISTED_SERVERS = 4096  # servers no longer listed whose starts are kept
MAX_STARTS_PER_SERVER = 8  # the latest received are kept


class StartTimes:
    """The starts of the processes in the list, by the monotonic clock in microseconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at: dict[str, dict[int, int]] = {}  # by id and up_since_ms
        self._listed: set[str] = set()
        # Servers first received after this time were not in the list at this time; None: unknown.
        self._list_as_of_us: int | None = None
        self._address_changed = False  # the next list may be another discovery's

    def started_at(self, name: str, up_since_ms: int) -> int:
        """The start of this process in microseconds: the same for each call; 0 for long ago."""
        if not up_since_ms:
            return 0
        starts = self._started_at.setdefault(name, {})
        if up_since_ms not in starts:
            starts[up_since_ms] = self._bounded_start(up_since_ms, starts)
            while len(starts) > MAX_STARTS_PER_SERVER:
                del starts[next(iter(starts))]
        return starts[up_since_ms]

    def _bounded_start(self, up_since_ms: int, other_starts: dict[int, int]) -> int:
        now = self._clock.now()
        started_at = self._clock.latest_from_unix_ms(up_since_ms)
        if self._list_as_of_us is not None:
            started_at = max(started_at, self._list_as_of_us)
        started_at = min(started_at, now) or 1
        while started_at in other_starts.values():  # two processes of a server must have different starts
            started_at += 1
        return started_at

    # Updates from discovery

    def replace_listed(self, names: Iterable[str]) -> None:
        """Replace the names of the listed servers, before a complete list is read.

        A list from another address that shares no server with the previous one is taken for that of another
        discovery. Its servers may have run before: that the previous list lacked them bounds no start.
        """
        listed = set(names)
        if self._address_changed and listed.isdisjoint(self._listed):
            self._list_as_of_us = None
        self._address_changed = False
        self._listed = listed
        self._evict_unlisted()

    def update_listed(self, listed: Iterable[str], removed: Iterable[str]) -> None:
        """Update the names of the listed servers by a change of the list."""
        self._listed.update(listed)
        self._listed.difference_update(removed)
        self._evict_unlisted()

    def record_list_age(self, age_s: int) -> None:
        """Record that a response was read that gives the list as of `age_s` seconds ago."""
        as_of_us = self._clock.now() - age_s * SECOND_US
        self._list_as_of_us = as_of_us if self._list_as_of_us is None else max(self._list_as_of_us, as_of_us)

    def record_held_call(self, held_s: float) -> None:
        """Record that the response to a long poll took `held_s` seconds: no change was pending at its start.

        Ignored once the age of a list was recorded, as discovery may also have been down meanwhile.
        """
        if self._list_as_of_us is None:
            self._list_as_of_us = self._clock.now() - int(held_s * SECOND_US)

    def address_changed(self) -> None:
        """Record that the list is requested from another address from now on."""
        self._address_changed = True

    def _evict_unlisted(self) -> None:
        while len(self._started_at) > len(self._listed) + MAX_UNLISTED_SERVERS:
            name = next(iter(self._started_at))
            starts = self._started_at.pop(name)
            if name in self._listed:
                self._started_at[name] = starts

    # Hot restart: the processes of one machine share its monotonic clock

    def state(self) -> dict[str, Any]:
        """The state for a successor process, as values that JSON can hold."""
        return {
            "lacking_us": self._list_as_of_us,
            "runs": {name: list(runs.items()) for name, runs in self._started_at.items()},
        }

    def resume(self, state: Any) -> None:
        """Restore the state of a predecessor. One that is invalid is logged and ignored."""
        now = self._clock.now()
        try:
            started_at = {
                str(name): {int(up_since_ms): int(us) for up_since_ms, us in pairs}
                for name, pairs in state["runs"].items()
            }
            list_as_of_us = None if state["lacking_us"] is None else int(state["lacking_us"])
            if (
                max([list_as_of_us or 0, *(us for starts in started_at.values() for us in starts.values())])
                > now
            ):
                raise ValueError("a time is in the future by this machine's clock")
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            log.warning("ignoring the start times of servers from the previous process: %s", error)
            return
        self._started_at.update(started_at)
        self._list_as_of_us = list_as_of_us
