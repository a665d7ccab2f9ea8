"""State of one server: its list entry, this balancer's attempts on it, and what was learned from them."""

from __future__ import annotations

from .interface import Backend, BackendId
from .time_units import SECOND

FAILURE_LOAD_FADE_US = SECOND  # after this time a failed attempt counts as half an attempt in flight
MIN_CAPACITY_HINT = 1e-6  # lower bound that keeps divisions by the hint valid


class Server:
    """What this balancer knows of one backend. Times are microseconds on the balancer's clock; 0: never."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "hinted_capacity",
        "state",
        "started_at",
        "open",
        "failure_load",
        "failure_load_at",
        "load_of_others",
        "reported_at",
        "latency",
        "load",
        "samples",
        "answered_at",
        "ended_at",
        "failure_rate",
        "consecutive_failures",
        "ejected_until",
        "ejection_us",
        "trial_limit",
        "probed_at",
        "time_per_load",
        "service_time_ms",
        "silent_since",
        "random_fraction",
        "streams",
        "last_reported_load",
        "last_reported_excess",
        "cold_sends",
        "cold_sends_work",
    )

    def __init__(self, backend: Backend, now: int, random_fraction: float) -> None:
        """random_fraction: uniform in 0..1, drawn once for each server by each balancer."""
        self.id, self.random_fraction = backend.id, random_fraction
        self.open: dict[tuple[int, int], int] = {}  # (request, attempt): sent at, oldest first
        self.streams: dict[tuple[int, int], int] = {}  # the same, for streamed requests and responses
        self.probed_at = 0  # when the probe in flight was sent; 0: none
        # Attempts this balancer sent within the slow start window while the server was cold: time, work.
        self.cold_sends: list[tuple[int, float]] = []
        self.apply_listing(backend)
        self.reset(now)

    def apply_listing(self, backend: Backend) -> None:
        """Set zone, cell, state, capacity hint and start time from the backend's list entry."""
        self.zone, self.cell, self.state = backend.zone, backend.cell, backend.state
        self.hinted_capacity, self.started_at = (
            max(backend.capacity_hint, MIN_CAPACITY_HINT),
            backend.started_at,
        )

    def attempts_in_flight(self) -> int:
        """Number of this balancer's attempts in flight, streams included."""
        return len(self.open) + len(self.streams)

    def own_load(self, now: int) -> float:
        """This balancer's attempts in flight, plus the fading weight of its failed ones."""
        fading_load = self.failure_load and self.failure_load * FAILURE_LOAD_FADE_US / (
            FAILURE_LOAD_FADE_US + now - self.failure_load_at
        )
        return self.attempts_in_flight() + fading_load

    def reset(self, now: int) -> None:
        """Discard what was learned of an earlier process with the same id."""
        self.silent_since = now  # time of the latest load report, by a response, a probe or a peer
        self.cold_sends.clear()
        self.cold_sends_work = 0.0  # summed work of these attempts
        self.time_per_load = 1.0  # us per unit of load, as of the latest update of the band cutoffs
        # Load in the latest report (-1: none), and the other balancers' load in it minus the fleet's mean.
        self.last_reported_load, self.last_reported_excess = -1.0, 0.0
        self.failure_load = self.load_of_others = self.service_time_ms = self.latency = self.load = (
            self.failure_rate
        ) = 0.0
        self.failure_load_at = self.reported_at = self.answered_at = self.ended_at = self.samples = (
            self.consecutive_failures
        ) = 0
        self.ejected_until = self.ejection_us = self.trial_limit = 0  # trial_limit 0: no limit


def backend_name(backend: BackendId) -> str:
    """The id as text, for logs and for the tags in messages between peers."""
    return backend.hex() if isinstance(backend, bytes) else str(backend)
