"""Keeps the agent's list of backends up to date and passes its changes to the balancer."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from burlshift.balancing import interface

from .backend_list import BackendList
from .connection_pool import UpstreamConnectionPool
from .discovery import MAX_WATCH_RETRY_S, Discovery
from .listing import Address, Listing, Member
from .removal_limiter import STEP_INTERVAL_S, RemovalLimiter
from .upstream_request import ExchangeResult

log = logging.getLogger(__name__)

# Where changes are pushed, a change made while no watch is open counts as known to the agent all the same. So
# the wait after a failed watch doubles with jitter, but is limited to a share of the drain grace, and to
# MAX_WATCH_RETRY_S: what a call that timed out leaves of the time within which a change must be known.
WATCH_RETRY_SHARE, MAX_WATCH_RETRY_SHARE = 0.1, 0.4  # first and longest wait, as shares of the drain grace


class ListKeeper:
    """Renews the watch of discovery, keeps the list, and posts every change of it to the balancer."""

    def __init__(
        self,
        discovery: Discovery,
        backends: UpstreamConnectionPool,
        removal_limiter: RemovalLimiter | None,
        settings: interface.Settings,
        drain_grace_s: float,
        post: Callable[[interface.Event], None],
    ) -> None:
        # Where changes are pushed the agent keeps the watch open; else the balancer requests each call.
        self.pushes = settings.discovery is interface.Discovery.PUSH
        self._can_probe = settings.can_probe
        self.discovery, self._connection_pool, self._post = discovery, backends, post
        self.backend_list = BackendList()
        self._removal_limiter = removal_limiter  # None: backends that a full list lacks are removed at once
        self._step_scheduled = False  # the timer of the next removal step is set
        self._loop = asyncio.get_running_loop()
        self._drain_grace_s = drain_grace_s
        self._watch_retry_s = WATCH_RETRY_SHARE * drain_grace_s
        self.has_current_list = False  # discovery has answered this process
        self._has_discovery_list = False  # the list came from discovery, to this process or its predecessor

    def start(self, known: Listing) -> None:
        """Begin with the list of the configuration."""
        self._publish_initial(self.backend_list.update(known))

    def resume(self, state: dict[str, Any], known: Listing) -> bool:
        """Continue with the predecessor's list; if it cannot be read, start with `known` and return False."""
        parser = self.discovery.parser
        if "starts" in state:  # absent from the state of an earlier version
            parser.starts.resume(state["starts"])
        try:
            list_state = state["roster"]
            listing = self.backend_list.resume(list_state, parser.parse(list_state["list"]))
            self._has_discovery_list = True
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("starts without the list that was handed over: %s", error)
            self.start(known)
            return False
        self._publish_initial(listing)
        return True

    def _publish_initial(self, listing: Listing) -> None:
        self._publish(interface.ListKind.CACHED, listing)
        if self.pushes:
            self.watch()

    def state(self) -> dict[str, Any]:
        """The list and the servers' start times as JSON, for the successor."""
        parser = self.discovery.parser
        return {"roster": self.backend_list.state(parser.form), "starts": parser.starts.state()}

    def watch(self) -> None:
        """Watch discovery for changes."""
        self.discovery.watch(self.on_listing)

    def fetch(self) -> None:
        """Request the full list once."""
        self.discovery.fetch(self.on_listing)

    def move(self, addresses: tuple[Address, ...]) -> None:
        """Use other addresses of discovery from now on."""
        self.discovery.move(addresses)

    def detach(self, backend: str, prevalidated: bool) -> None:
        """Send no new requests to a backend, whatever its state in discovery.

        LookupError if it never was listed, unless `prevalidated`.
        """
        self._publish(interface.ListKind.DELTA, self.backend_list.detach(backend, prevalidated))

    def attach(self, backend: str) -> None:
        """End a detachment. LookupError if the backend never was listed."""
        self._publish(interface.ListKind.DELTA, self.backend_list.attach(backend))

    def age_ms(self) -> int:
        """Milliseconds since the latest answer of discovery; -1 if there was none."""
        answered_at = self.discovery.last_answer_at
        return -1 if answered_at is None else int((self._loop.time() - answered_at) * 1000)

    def unlisted_count(self) -> int | None:
        """How many backends are kept that a full list lacks; None if such backends are never kept."""
        return None if self._removal_limiter is None else len(self._removal_limiter)

    def on_listing(self, listing: Listing | None) -> None:
        """Process a listing of discovery; None: the watch or the fetch has failed."""
        # A watch that timed out is renewed here even where the balancer requests the calls: a change that it
        # missed counts as known a second after the timeout. The longer wait of the balancer is meant for a
        # discovery that fails.
        if listing is None and (self.pushes or self.discovery.timed_out):
            wait_s = min(self._watch_retry_s, MAX_WATCH_RETRY_S) * (0.5 + random.random() / 2)
            self._watch_retry_s = min(2 * self._watch_retry_s, MAX_WATCH_RETRY_SHARE * self._drain_grace_s)
            self._loop.call_later(wait_s, self.discovery.watch, self.on_listing)
            return
        self._watch_retry_s = WATCH_RETRY_SHARE * self._drain_grace_s
        self.has_current_list = self.has_current_list or listing is not None
        if listing is None:
            self._post(interface.BackendsChanged(interface.ListKind.FAILED, []))
            return
        if self._removal_limiter is not None:
            listing = self._keep_missing(self._removal_limiter, listing)
        kind = interface.ListKind.FULL if listing.complete else interface.ListKind.DELTA
        self._publish(kind, self.backend_list.update(listing))
        if self._removal_limiter is not None:
            self._schedule_step(self._removal_limiter)

    # Backends that are missing from a full list

    def _keep_missing(self, limiter: RemovalLimiter, listing: Listing) -> Listing:
        # Only backends that discovery has listed can be missing; the configured list is not from it.
        previous, held_before = self.backend_list.members() if self._has_discovery_list else {}, len(limiter)
        self._has_discovery_list = True
        listing = limiter.apply(previous, listing)
        if len(limiter) > held_before:
            log.warning(
                "the full list lacks %d of %d backends: removing them in steps while they respond",
                len(limiter) - held_before,
                len(previous),
            )
        return listing

    def _schedule_step(self, limiter: RemovalLimiter) -> None:
        """Schedule the next removal step, and probe missing backends if probes are allowed."""
        if not len(limiter) or self._step_scheduled:
            return
        self._step_scheduled = True
        if self._can_probe:
            for name in limiter.next_probes():
                self._connection_pool.probe(name, partial(self.record_attempt_result, name))
        self._loop.call_later(STEP_INTERVAL_S, self._step)

    def _step(self) -> None:
        assert self._removal_limiter is not None
        self._step_scheduled = False
        self._remove_missing(self._removal_limiter.step())
        self._schedule_step(self._removal_limiter)

    def record_attempt_result(self, name: str, result: ExchangeResult) -> None:
        """Process the end of an attempt or a probe: a missing backend that does not respond is removed."""
        if self._removal_limiter is None:
            return
        removed = self._removal_limiter.record_outcome(name, result.outcome)
        if removed:  # in the next iteration of the event loop: an attempt at that backend is just ending
            self._loop.call_soon(self._remove_missing, removed)

    def _remove_missing(self, members: list[Member]) -> None:
        if members:
            log.warning(
                "removed backends that the list lacks: %s",
                ", ".join(str(member.backend.id) for member in members),
            )
            self._publish(
                interface.ListKind.DELTA, self.backend_list.update(self.backend_list.change(members))
            )

    def _publish(self, kind: interface.ListKind, listing: Listing) -> None:
        self._post(interface.BackendsChanged(kind, self._connection_pool.update_members(listing)))
