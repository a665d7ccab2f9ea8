"""A read replica in service: watches a source as agents do, and notifies its own watchers."""

from __future__ import annotations

import asyncio
import logging

from burlshift.agent.discovery import Discovery
from burlshift.agent.discovery_call import DiscoveryCall
from burlshift.agent.listing import Address, Listing

from .follower import Age, Follower, SourceAnswer, SourceAnswerParser
from .service import WatchableList
from .state_machine import Change
from .store import MAX_HISTORY_BYTES, MAX_HISTORY_CHANGES

log = logging.getLogger(__name__)

# Wait of a watch (long poll) at the source. The answer at its end confirms that nothing has changed, so that
# an unchanging list gets this old, plus a second for each follower on the way (Age rounds up).
WAIT_MS = 2_000
CONNECT_TIMEOUT_S = 1.0


class Replica(WatchableList):
    """Owns the copy of the list, which is in memory only; all runs in the event loop."""

    def __init__(self, sources: tuple[Address, ...]) -> None:
        super().__init__()
        self.copy, self.age = Follower(MAX_HISTORY_CHANGES, MAX_HISTORY_BYTES), Age()
        self._source = _SourceWatch(sources, self)

    def start(self) -> None:
        self._source.watch(_ignore_listing)

    def stop(self) -> None:
        self._source.stop()

    @property
    def identity(self) -> str | None:
        return self.copy.identity

    @property
    def revision(self) -> int:
        return self.copy.revision

    def apply(self, answer: SourceAnswer, confirmed_s: float) -> None:
        """Apply an answer that is from confirmed_s at the earliest. Raises ValueError on conflict."""
        same_list = answer.identity == self.copy.identity
        changed = self.copy.apply(answer)
        self.age.confirm(confirmed_s, same_list)
        if changed:
            self._notify_watchers()

    # Readers

    def write_address(self) -> str:
        address = self._source.address
        return f"{address.host}:{address.port}"

    def age_s(self) -> int:
        return self.age.at(asyncio.get_running_loop().time())

    def reader_is_ahead(self, index: int | None, identity: str | None) -> bool:
        return self.copy.reader_is_ahead(index, identity)

    def has_update(self, index: int | None, identity: str | None) -> bool:
        return not self.reader_is_ahead(index, identity) and super().has_update(index, identity)

    def _changes_since(self, index: int) -> Change | None:
        return self.copy.changes_since(index)

    def _full_document(self) -> dict[str, object]:
        return self.copy.full_document()

    def status(self) -> dict[str, object]:
        has_list = self.identity is not None
        return {
            "role": "follower",
            "source": self.write_address(),
            "list": self.identity,
            "revision": self.revision if has_list else None,
            "age_s": self.age_s() if has_list else None,
            "members": len(self.copy.entries),
            "watchers": self.watchers,
            "changes_kept": len(self.copy.history),
        }


class _SourceWatch(Discovery):
    """Watches the sources in rotation, as an agent does, until stopped."""

    retries_single_address = True

    def __init__(self, sources: tuple[Address, ...], replica: Replica) -> None:
        super().__init__(sources, SourceAnswerParser(), None, CONNECT_TIMEOUT_S, WAIT_MS)
        self._replica = replica
        self._asked_s, self._age_s = 0.0, 0  # of the latest answer: time of its request, and its Age

    def _is_older(self, listing: Listing) -> bool:
        assert isinstance(listing, SourceAnswer)
        return super()._is_older(listing) or self._replica.copy.conflicts(listing)

    async def _request(self, call: DiscoveryCall, target: str, limit_s: float) -> Listing:
        asked_s = asyncio.get_running_loop().time()
        listing = await super()._request(call, target, limit_s)
        self._asked_s, self._age_s = asked_s, call.age_s
        return listing

    def _accept(self, listing: Listing) -> bool:
        assert isinstance(listing, SourceAnswer)
        if not super()._accept(listing):
            return False
        copy = self._replica.copy
        # An unchanged revision means that the source held the request for the full wait.
        unchanged = not listing.complete and listing.revision == copy.revision
        held_s = self._wait_ms / 1000 if unchanged else 0.0
        now_s = asyncio.get_running_loop().time()
        try:
            self._replica.apply(listing, self._asked_s + min(held_s, now_s - self._asked_s) - self._age_s)
        except ValueError:
            self._revision = None  # the next request asks for the full list
            raise
        return True


def _ignore_listing(listing: Listing | None) -> None:
    """Do nothing: `_accept` has applied the listing already."""
