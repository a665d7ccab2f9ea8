"""Load table: the load and the speed of each server, by load reports and this balancer's own attempts."""

from __future__ import annotations

from .interface import AttemptEnded, Outcome, Settings
from .server_state import Server
from .time_units import SECOND

# A report of at most this age counts in full; older ones fade to the mean as FRESH_US / age.
FRESH_US = SECOND
# Weight of a new sample in exponential averages, and in those of values that the server has smoothed itself.
GAIN, SERVICE_GAIN = 0.1, 0.3
FLEET_GAIN_DIVISOR = 4  # divides GAIN for averages over all servers or over the requests of a class
PRIOR_SAMPLES = 4  # after this many answers, a server's speed as measured by them has half of the weight
# A measured speed that no answer confirms for this long loses half of its weight: otherwise a server that is
# avoided because it was slow would not be tried again.
STALE_US = 5 * SECOND
# Weight of a report's deviation from the mean while the persistence of such deviations is unknown.
PRIOR_TRUST = 0.25


class LoadTable:
    """Load and speed of each server, and their means over the fleet.

    Load is the number of attempts at a server, times are microseconds unless a name says otherwise.
    """

    def __init__(self, settings: Settings) -> None:
        fields = settings.report_fields
        self.load_column = next(
            (fields.index(field) for field in ("inflight", "queue") if field in fields), -1
        )
        self.service_column = fields.index("latency_ms") if "latency_ms" in fields else -1
        self.has_capacity_hints = settings.capacity_hints
        self.band_cutoffs: list[float] = []
        self.mean_load = self.mean_load_of_others = self.mean_service_time_ms = 0.0
        # Weight of the deviation of a server's reported load from the mean, and the covariance and variance
        # of the deviations in successive reports, from which that weight is derived.
        self.report_trust, self.report_covariance, self.report_variance = PRIOR_TRUST, 0.0, 0.0
        self.mean_hint, self.mean_cost_us = 1.0, 0.0  # of capacity hints and of requests' cost hints
        self.silent_since = 0  # median of the servers' silent_since
        # Smoothed over the fleet: latency per unit of load, and latency of successful attempts; 0: none yet.
        self.time_per_load = self.typical_latency = 0.0

    def refresh(self, servers: list[Server], now: int) -> None:
        """Recalculate the means over the servers."""
        reporting = [server for server in servers if server.reported_at]
        if reporting:
            self.mean_load_of_others = sum(max(0.0, server.load_of_others) for server in reporting) / len(
                reporting
            )
            self.mean_load = self.mean_load_of_others + sum(
                server.own_load(now) for server in reporting
            ) / len(reporting)
        self.report_trust = max(
            0.0, min(1.0, (self.report_covariance + PRIOR_TRUST) / (self.report_variance + 1.0))
        )
        self.silent_since = (
            sorted(server.silent_since for server in servers)[len(servers) // 2] if servers else 0
        )
        service_times_ms = [server.service_time_ms for server in servers if server.service_time_ms]
        self.mean_service_time_ms = sum(service_times_ms) / len(service_times_ms) if service_times_ms else 0.0
        if self.has_capacity_hints and servers:
            self.mean_hint = sum(server.hinted_capacity for server in servers) / len(servers)

    def load_of_others(self, server: Server, now: int) -> float:
        """Load of all other balancers at a server: the mean plus the reported deviation, weighted."""
        if not server.reported_at:
            return self.mean_load
        age = max(FRESH_US, now - server.reported_at)
        return (
            self.mean_load_of_others
            + self.report_trust
            * (max(0.0, server.load_of_others) - self.mean_load_of_others)
            * FRESH_US
            / age
        )

    def learn_report_persistence(self, server: Server, reported_load: float, load_of_others: float) -> None:
        """Learn from successive reports which share of a deviation from the mean lasts until the next report.

        A report arrives late and is valid for the time of a few requests only: when all balancers relied on
        it, they all sent to the servers that it showed as least loaded. Deviations that last, as at a slow
        server, show as a correlation of successive reports, which sets the weight of reported deviations.
        """
        if reported_load != server.last_reported_load:
            excess = load_of_others - self.mean_load_of_others
            if server.last_reported_load >= 0:
                self.report_covariance += (
                    GAIN
                    / FLEET_GAIN_DIVISOR
                    * (server.last_reported_excess * excess - self.report_covariance)
                )
                self.report_variance += (
                    GAIN
                    / FLEET_GAIN_DIVISOR
                    * (server.last_reported_excess * server.last_reported_excess - self.report_variance)
                )
            server.last_reported_load, server.last_reported_excess = reported_load, excess

    def relative_size(self, cost_us: int) -> float:
        """Work of a request by its cost hint, as a multiple of the mean hint (updated here); 1: no hint."""
        if not cost_us:
            return 1.0
        self.mean_cost_us += (GAIN / FLEET_GAIN_DIVISOR if self.mean_cost_us else 1.0) * (
            cost_us - self.mean_cost_us
        )
        return cost_us / self.mean_cost_us

    def set_reported_load(self, now: int, server: Server, reported_load: float) -> None:
        """Set a server's load to that reported by a probe or a peer, without smoothing."""
        server.load_of_others, server.reported_at, server.silent_since = (
            reported_load - server.attempts_in_flight(),
            now,
            now,
        )

    def learn_service_time(self, server: Server, service_ms: float) -> None:
        """Update a server's service time, which excludes queueing, from a report; 0: the report has none."""
        if service_ms > 0:
            server.service_time_ms += (SERVICE_GAIN if server.service_time_ms else 1.0) * (
                service_ms - server.service_time_ms
            )

    def time_per_load_of(self, server: Server, now: int, warmth: float) -> float:
        """Time (us) that a server takes per unit of load, by hints, reports and own answers."""
        time_per_load = (self.time_per_load or 1.0) / warmth
        if self.has_capacity_hints:
            time_per_load *= self.mean_hint / server.hinted_capacity
        if server.service_time_ms:
            time_per_load *= server.service_time_ms / self.mean_service_time_ms
        if server.samples:
            weight = (
                server.samples
                / (server.samples + PRIOR_SAMPLES)
                * STALE_US
                / (STALE_US + now - server.ended_at)
            )
            time_per_load += weight * (server.latency / server.load - time_per_load)
        return time_per_load

    def record_attempt(self, now: int, server: Server, event: AttemptEnded, load_at_send: float) -> None:
        """Learn from an attempt that has ended and is no longer counted as in flight."""
        server.ended_at = now
        if self.load_column >= 0 and len(event.report) > self.load_column:
            # The report includes this balancer's own attempts; the rest is the load of the others.
            load_of_others = event.report[self.load_column] - server.attempts_in_flight() - 1
            self.learn_report_persistence(server, event.report[self.load_column], load_of_others)
            gain = (
                1.0 if not server.reported_at else max(GAIN, min(1.0, (now - server.reported_at) / FRESH_US))
            )
            server.load_of_others += gain * (load_of_others - server.load_of_others)
            server.reported_at = server.silent_since = now
            # The load assumed at sending may be too low: when an overload had grown unnoticed, every server
            # looked slow, and requests were refused that could have been served.
            load_at_send = max(load_at_send, event.report[self.load_column])
        if 0 <= self.service_column < len(event.report):
            self.learn_service_time(server, event.report[self.service_column])
        if event.outcome is Outcome.OK or (
            event.outcome is Outcome.TIMEOUT and event.latency_us > self.typical_latency
        ):
            gain = max(GAIN, 1 / (server.samples + 1))
            server.latency += gain * (event.latency_us - server.latency)
            server.load += gain * (load_at_send - server.load)
            server.samples += 1
        if event.outcome is Outcome.OK:
            server.answered_at = now
            gain = GAIN / FLEET_GAIN_DIVISOR if self.time_per_load else 1.0
            self.typical_latency += gain * (event.latency_us - self.typical_latency)
            self.time_per_load += gain * (event.latency_us / load_at_send - self.time_per_load)
        else:
            # A failed attempt still counts as load for a time: a server whose attempts fail at once must not
            # look less loaded.
            server.failure_load, server.failure_load_at = (
                server.own_load(now) - server.attempts_in_flight() + 1.0,
                now,
            )
