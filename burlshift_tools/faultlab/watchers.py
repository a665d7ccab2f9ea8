"""Readers of the list service and its followers, by the agent's own client: what each was told, and where."""

from __future__ import annotations

import logging
from functools import partial
from typing import TYPE_CHECKING

from burlshift.agent.clock import Clock
from burlshift.agent.discovery import PUSH_WAIT_MS, Discovery
from burlshift.agent.listing import Listing, ListingParser, parse_address

from .history import Heard, now_us

if TYPE_CHECKING:
    from .rig import Rig

CONNECT_S = 0.25


class Watchers:
    """As many as there are list services; each has all their addresses, another one first.

    They reach the leader also where its followers are cut off from it, so that they come to followers with
    more than those have.
    """

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._parser = ListingParser(Clock(), tuple(rig.s.fleet.zones), tuple(k.name for k in rig.s.kind))
        words = logging.FileHandler(rig.folder / "logs" / "watchers.log")
        self._log = logging.getLogger("burlshift.agent.discovery")
        self._log.addHandler(words)
        self._log.propagate = False
        self._words = words
        count = 1 + rig.s.followers
        at = [parse_address(rig.block.discovery(k)) for k in range(count)]
        self._all = [
            Discovery(tuple(at[n:] + at[:n]), self._parser, None, CONNECT_S, PUSH_WAIT_MS)
            for n in range(count)
        ]

    def start(self) -> None:
        for n, watcher in enumerate(self._all):
            watcher.watch(partial(self._told, n))

    def stop(self) -> None:
        for watcher in self._all:
            watcher.stop()
        self._log.removeHandler(self._words)
        self._words.close()

    def _told(self, n: int, listing: Listing | None) -> None:
        if listing is not None:
            members = [self._parser.form(member) for member in listing.members]
            self._rig.write(
                Heard(
                    t=now_us(),
                    who=f"w{n}",
                    revision=listing.revision,
                    complete=listing.complete,
                    identity=listing.identity or "",
                    members=[(str(m["id"]), str(m["phase"])) for m in members],
                )
            )
