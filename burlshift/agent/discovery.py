"""Client of the discovery service: watches the list of backends with long-polling calls."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from functools import partial
from time import monotonic
from urllib.parse import quote

import h11

from burlshift.balancing.interface import CHANGE_NOTICE_LIMIT_US

from .address_rotation import AddressRotation
from .discovery_call import PATH, DiscoveryCall
from .listing import Address, Listing, ListingParser
from .overlapping_calls import (
    FIRST_ANSWER_S,
    Answer,
    CallTimes,
    OverlappingCalls,
    full_list_times,
    watch_times,
)

log = logging.getLogger(__name__)

# How long discovery may hold a call until the list changes. A change that an unanswered call misses counts
# as known to the agent 6 s after it was made, or 2 s after the call's wait, whichever is later. Where changes
# are pushed, calls are cheap, and a short wait detects an unanswered call within the 6 s. Where the agent
# asks, each call loads a discovery that all agents share, so the wait is long.
PUSH_WAIT_MS, ASK_WAIT_MS = 4_000, 20_000
LONG_POLL_MARGIN_S = 1.0  # added to the wait: half of the 2 s; the next call has the other half
MAX_UNHELD_S = 2.0  # the longest time in which discovery answers a call without holding it
# A change that discovery can report counts as known to the agent after NOTICE_LIMIT_S, whatever happened to
# the previous call, or NOTICE_LIMIT_AFTER_WAIT_S after the wait of an unanswered call.
NOTICE_LIMIT_S, NOTICE_LIMIT_AFTER_WAIT_S = CHANGE_NOTICE_LIMIT_US / 1e6, 2.0
# MAX_CONNECT_S limits a connect that hangs because it was started just before discovery became reachable.
# CALL_S is the time of connect, request and response if discovery is reachable.
MAX_CONNECT_S, CALL_S = 0.5, 0.5
# The longest wait before the watch is renewed where changes are pushed: what a call that timed out and the
# next call leave of NOTICE_LIMIT_S.
MAX_WATCH_RETRY_S = NOTICE_LIMIT_S - (PUSH_WAIT_MS / 1000 + LONG_POLL_MARGIN_S) - CALL_S
MIN_CALL_INTERVAL_S = 1.0  # between the starts of two connects, if there are several addresses


class RevisionWentBack(ConnectionError):
    """A full list has the identity of the list that was delivered, but a lower revision."""


class Discovery:
    """Client of discovery.

    A watch repeats its call until one fails; with several addresses it continues at another one. Of a list
    that has an identity, the delivered revisions never decrease.

    revision: of the list that the agent has; None requests the full list first.
    connect_s: limit of a connect, in seconds; MAX_CONNECT_S at most.
    wait_ms: how long discovery may hold a call of the watch until the list changes.
    """

    retries_single_address = False  # whether a failed watch continues by itself with a single address too

    def __init__(
        self,
        addresses: tuple[Address, ...],
        parser: ListingParser,
        revision: int | None,
        connect_s: float,
        wait_ms: int,
    ) -> None:
        self._rotation, self.parser = AddressRotation(addresses), parser
        self._connect_s = min(connect_s, MAX_CONNECT_S)
        self._wait_ms = wait_ms
        self._revision = revision  # None: the next call requests the full list
        self._identity: str | None = None
        # Identity and revision that were delivered last, from any address
        self._latest_delivered: tuple[str | None, int] = (None, 0)
        # _latest_delivered when an older revision was last logged as an error
        self._logged_regression_after: tuple[str | None, int] = (None, 0)
        # Times of the event loop's clock, in seconds:
        self._last_connect_at = -MIN_CALL_INTERVAL_S  # start of the latest connect
        self._watch_call_at = 0.0  # start of the watch's latest call
        self.timed_out = False  # the watch's latest call got no answer in time
        self.last_answer_at: float | None = None  # latest accepted answer, less the age that it states
        self._watching: asyncio.Task[None] | None = None
        self._on_listing: Callable[[Listing | None], None] | None = None
        self._fetches: dict[asyncio.Task[None], Callable[[Listing | None], None]] = {}

    def watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Pass every change from now on to `on_listing`, and None once when the watch has failed.

        A watch that is in progress continues with the callback that it was started with.
        """
        self._on_listing = on_listing
        if self._watching is None or self._watching.done():
            self._watching = asyncio.get_running_loop().create_task(self._watch(on_listing))

    def stop(self) -> None:
        """End the watch."""
        if self._watching is not None:
            self._watching.cancel()

    def move(self, addresses: tuple[Address, ...]) -> None:
        """Use these addresses from now on; a watch and fetches in progress are restarted there.

        The full list is requested first: the new address may number its revisions differently.
        """
        self.parser.starts.address_changed()
        self._rotation.replace(addresses)
        self._revision = self._identity = None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if self._on_listing is not None:
            self.watch(self._on_listing)
        fetches, self._fetches = self._fetches, {}
        for task, on_listing in fetches.items():
            task.cancel()
            self.fetch(on_listing)

    def fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        """Pass the full list to `on_listing` once, or None if the call fails or the list is outdated."""
        task = asyncio.get_running_loop().create_task(self._fetch(on_listing))
        self._fetches[task] = on_listing
        task.add_done_callback(lambda done: self._fetches.pop(done, None))

    async def _watch(self, on_listing: Callable[[Listing | None], None]) -> None:
        call: DiscoveryCall | None = None
        try:
            while True:
                self._watch_call_at, self.timed_out = asyncio.get_running_loop().time(), False
                try:
                    call = await self._open_call(call)
                    self.timed_out = True
                    call, listing = await self._next_answer(call)
                    accepted = self._accept(listing)
                except Exception as error:
                    if not self._log_if_went_back(error):
                        _log_failure(error)
                    self.timed_out = self.timed_out and isinstance(error, TimeoutError)
                    if len(self._rotation) == 1 and not (
                        self.retries_single_address or isinstance(error, RevisionWentBack)
                    ):
                        break
                    if call is not None:
                        call.drop()
                        call = None
                    await self._switch_address()
                    continue
                self._rotation.failures = 0
                if accepted and (listing.members or listing.complete):
                    started = monotonic()
                    _deliver(on_listing, listing)
                    call.record_work("taking over a list", started)
                if self._rotation.should_leave(call.age_s, asyncio.get_running_loop().time()):
                    log.info("the list is %d s old; trying the next discovery address", call.age_s)
                    call.drop()
                    call = None
                    self._advance_address()
        finally:
            if call is not None:
                call.drop()
        self._watching = None  # before the callback, which may start the next watch
        on_listing(None)

    async def _next_answer(self, call: DiscoveryCall) -> Answer:
        """Make the watch's next call, for the full list or for its changes, and return the answer."""
        if self._revision is None:
            return await self._full_list(call)
        target = f"{PATH}?index={self._revision}&wait={self._wait_ms}"
        if self._identity is not None:
            target += f"&list={quote(self._identity)}"
        limit_s = self._wait_ms / 1000 + LONG_POLL_MARGIN_S
        if self._has_other_addresses:
            return Answer(call, await self._request(call, target, limit_s))
        return await self._overlapping_calls(call, target, watch_times(limit_s))

    async def _full_list(self, call: DiscoveryCall) -> Answer:
        """Request the full list. With several addresses each is left after FIRST_ANSWER_S, unless all have
        failed: then discovery may be slow at all of them."""
        if self._has_other_addresses:
            return Answer(call, await self._request(call, PATH, FIRST_ANSWER_S))
        return await self._overlapping_calls(call, PATH, full_list_times())

    @property
    def _has_other_addresses(self) -> bool:
        """Whether there is an address that has not failed since the latest answer."""
        return 1 < len(self._rotation) > self._rotation.failures

    async def _overlapping_calls(self, call: DiscoveryCall, target: str, times: CallTimes) -> Answer:
        async def request(either_call: DiscoveryCall, limit_s: float) -> Listing:
            return await self._request(either_call, target, limit_s)

        return await OverlappingCalls(partial(self._open_call, None), request, times).run(call)

    def _accept(self, listing: Listing) -> bool:
        """Whether the listing continues the list as it was delivered; records its revision and identity.

        Changes of another list, or of one with a lower revision, are not applied: the full list is requested.
        Raises RevisionWentBack if a full list is older than what was delivered.
        """
        is_older = self._is_older(listing)
        if is_older and listing.complete:
            # Its history may differ from ours when its revision is higher again: then its changes could not
            # be applied to the delivered list, so the full list is requested.
            self._revision = None
            raise RevisionWentBack(
                f"revision {listing.revision} after {self._latest_delivered[1]}, both of {listing.identity}"
            )
        went_back = is_older or (self._revision is not None and listing.revision < self._revision)
        is_other_list = self._identity is not None and listing.identity != self._identity
        if went_back or is_other_list:
            log.warning(
                "the list %s: revision %s after %s",
                "has another identity" if is_other_list else "went back",
                listing.revision,
                self._revision,
            )
        needs_full_list = (went_back or is_other_list) and not listing.complete
        self._revision, self._identity = None if needs_full_list else listing.revision, listing.identity
        if not needs_full_list:
            self._record_delivered(listing)
        return not needs_full_list

    def _record_delivered(self, listing: Listing) -> None:
        if listing.identity is not None:
            self._latest_delivered = listing.identity, listing.revision

    def _is_older(self, listing: Listing) -> bool:
        """Whether the listing is an older state of the list that was delivered, as a follower may return."""
        identity, revision = self._latest_delivered
        return identity is not None and listing.identity == identity and listing.revision < revision

    def _log_if_went_back(self, error: Exception) -> bool:
        """Whether the list went back; logs that once until a newer list is delivered."""
        if not isinstance(error, RevisionWentBack):
            return False
        if self._logged_regression_after != self._latest_delivered:
            self._logged_regression_after = self._latest_delivered
            log.error(
                "%s:%d went back and is not followed: %s; the list in use stays until the revision is higher "
                "again or the list has another identity (`catalog restore` gives it one)",
                self.address.host,
                self.address.port,
                error,
            )
        return True

    async def _switch_address(self) -> None:
        """Change to the next address after a random wait whose limit grows with each failure.

        It may be that only one address is reachable. So all are tried within NOTICE_LIMIT_S, as far as
        MIN_CALL_INTERVAL_S allows, and the next one is tried before a change that the failed call missed
        counts as known to the agent.
        """
        loop = asyncio.get_running_loop()
        self._rotation.failures += 1
        self._advance_address()
        next_call_by = (
            self._watch_call_at
            + max(NOTICE_LIMIT_S, self._wait_ms / 1000 + NOTICE_LIMIT_AFTER_WAIT_S)
            - CALL_S
        )
        wait_limit_s = self._rotation.longest_wait_s(
            NOTICE_LIMIT_S - CALL_S, self._connect_s, next_call_by - loop.time()
        )
        address = self.address
        log.info("trying discovery at %s:%d next", address.host, address.port)
        await asyncio.sleep(
            max(random.random() * wait_limit_s, self._last_connect_at + MIN_CALL_INTERVAL_S - loop.time())
        )

    def _advance_address(self) -> None:
        """Use the next address."""
        self._rotation.advance()
        if self._identity is None:
            self._revision = None  # without an identity, another address may number its revisions differently

    @property
    def address(self) -> Address:
        """The address in use."""
        return self._rotation.current

    async def _fetch(self, on_listing: Callable[[Listing | None], None]) -> None:
        call: DiscoveryCall | None = None
        listing: Listing | None = None
        try:
            call = await self._open_call(None)
            call, listing = await self._full_list(call)
        except Exception as error:
            _log_failure(error)
        finally:
            if call is not None:
                call.drop()
        if listing is not None and (
            self._is_older(listing) or (self._revision is not None and listing.revision < self._revision)
        ):
            log.warning("ignored a full list of revision %s after %s", listing.revision, self._revision)
            listing = None  # the watch has delivered a newer one
        if listing is not None:
            self._record_delivered(listing)
        on_listing(listing)

    async def _open_call(self, call: DiscoveryCall | None) -> DiscoveryCall:
        """Return `call` if its connection is still open, else a new one; raises OSError if that fails."""
        if call is not None:
            if not call.closed:
                return call
            call.drop()
        loop = asyncio.get_running_loop()
        address, self._last_connect_at = self.address, loop.time()
        async with asyncio.timeout(self._connect_s):
            _, call = await loop.create_connection(DiscoveryCall, address.host, address.port)
        return call

    async def _request(self, call: DiscoveryCall, target: str, limit_s: float) -> Listing:
        # A machine that is cut off sends nothing: without a timeout the watch would wait forever.
        loop = asyncio.get_running_loop()
        called_at = loop.time()
        async with asyncio.timeout(limit_s) as timeout:
            answer = await call.get(target, timeout)
            held_s = loop.time() - called_at
            if target != PATH and held_s > MAX_UNHELD_S:
                self.parser.starts.record_held_call(held_s)
            started = monotonic()
            listing = self.parser.parse(json.loads(answer))
            call.record_work("parsing a list", started)
        if not self._is_older(listing):
            self.parser.starts.record_list_age(call.age_s)
            last_answer_at = loop.time() - call.age_s
            self.last_answer_at = (
                last_answer_at if self.last_answer_at is None else max(self.last_answer_at, last_answer_at)
            )
        return listing


def _deliver(on_listing: Callable[[Listing | None], None], listing: Listing) -> None:
    """Call back; an exception there must not end the watch, or no later list would be received."""
    try:
        on_listing(listing)
    except Exception:
        log.exception("failed to process the list of revision %s", listing.revision)


def _log_failure(error: Exception) -> None:
    """Log one line for an error of discovery or the network, and a traceback for a bug of the agent."""
    expected = isinstance(error, OSError | ValueError | h11.ProtocolError)
    log.warning("call to discovery failed: %s", str(error) or type(error).__name__, exc_info=not expected)
