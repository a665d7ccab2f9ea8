"""Outlier detection: servers that fail or do not respond are ejected from sampling for a time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from .interface import Outcome
from .load_table import GAIN
from .server_state import Server, backend_name
from .time_units import MS, SECOND

# A server with attempts in flight is unresponsive after this many typical latencies without a response.
SILENCE_LATENCIES = 5
EJECTION_FIRST_US, EJECTION_MAX_US = 500 * MS, 4 * SECOND  # length of an ejection, doubled each time
EJECTION_JITTER_MIN, EJECTION_JITTER_RANGE = 0.75, 0.5  # an ejection lasts 0.75 to 1.25 times its length
MAX_TRIALS = 8  # a readmitted server may have this many attempts in flight before the limit is lifted
EJECTION_FAILURES = 3  # consecutive failures that eject a server
# With a failure rate above this, fewer consecutive failures suffice.
EJECTION_FAILURE_RATE, EJECTION_FAILURES_AT_RATE = 0.3, 2


class OutlierDetector:
    """Ejects servers from sampling on strong evidence only, and readmits them step by step."""

    def __init__(self, rng: Random, log: Callable[[str], None]) -> None:
        self.rng, self.log = rng, log
        self.shared = False  # most servers look unhealthy, so their problem has a shared cause

    def refresh(self, servers: list[Server], now: int, typical_latency: float) -> None:
        """Admit all servers while most look unhealthy, so that the others are not overloaded."""
        self.shared = 2 * sum(self.unhealthy(server, now, typical_latency) for server in servers) > len(
            servers
        )

    def admits(self, server: Server, now: int, typical_latency: float) -> bool:
        """Whether a server may be sampled."""
        return self.shared or not self.unhealthy(server, now, typical_latency)

    def unhealthy(self, server: Server, now: int, typical_latency: float) -> bool:
        """Whether a server is ejected, has all its trial attempts in flight, or is unresponsive."""
        if server.ejected_until > now or (server.trial_limit and len(server.open) >= server.trial_limit):
            return True
        if len(server.open) < 2 or not typical_latency:
            return False
        # Unresponsive: accepts attempts and answers none.
        return (
            now - max(next(iter(server.open.values())), server.answered_at)
            > SILENCE_LATENCIES * typical_latency
        )

    def record_outcome(self, server: Server, now: int, outcome: Outcome) -> None:
        """Update a server's health: consecutive failures eject it, answers readmit it step by step."""
        if outcome is Outcome.OK:
            server.failure_rate -= GAIN * server.failure_rate
            server.consecutive_failures = 0
            if server.trial_limit and server.ejected_until <= now:
                server.trial_limit += 1
                if server.trial_limit > MAX_TRIALS:
                    server.trial_limit = server.ejection_us = 0
                    self.log(f"server {backend_name(server.id)} healthy: readmitted in full")
        elif outcome is not Outcome.NOT_SENT and outcome is not Outcome.CANCELLED:
            server.failure_rate += GAIN * (1.0 - server.failure_rate)
            server.consecutive_failures += 1
            immediate = (
                outcome is Outcome.RESET or outcome is Outcome.CONNECT_FAILED or server.trial_limit > 0
            )
            if (
                immediate
                or server.consecutive_failures >= EJECTION_FAILURES
                or (
                    server.consecutive_failures >= EJECTION_FAILURES_AT_RATE
                    and server.failure_rate > EJECTION_FAILURE_RATE
                )
            ):
                self.eject(server, now, outcome.value)

    def eject(self, server: Server, now: int, reason: str) -> None:
        """Eject a server, each time for twice as long; then it gets one trial attempt at first."""
        if server.ejected_until > now:
            return
        if not server.ejection_us:
            self.log(f"server {backend_name(server.id)} excluded: {reason}")
        server.ejection_us = min(2 * server.ejection_us or EJECTION_FIRST_US, EJECTION_MAX_US)
        server.ejected_until = now + int(
            server.ejection_us * (EJECTION_JITTER_MIN + EJECTION_JITTER_RANGE * self.rng.random())
        )
        server.trial_limit = 1
