"""Slow start: limits the traffic to servers that have just started to what they can serve."""

from __future__ import annotations

from math import exp

from .interface import NEVER_RAN, Outcome, Settings, State
from .load_table import FRESH_US, GAIN
from .request_state import Request
from .server_state import Server
from .time_units import SECOND

# From this fall multiple on, a cold server gets its full share of the early samples: the choice of the less
# loaded of two samples can double that share.
FULL_SHARE_FALL_MULTIPLE = 4.0
COLD_FILL = 0.6  # at most this share of the work that a cold server can take within a window is sent to it
EARLY_BUDGET_SHARE = 0.5  # share of a budget, counted up to one mean request, reserved for early samples
# A budget below one attempt is multiplied by the number of cold servers, up to this factor, because a request
# samples only some of them.
MAX_SINGLE_SEND_FACTOR = 8
TRAFFIC_US = 5 * SECOND  # averaging time of this balancer's own traffic, from which its budget is derived


class SlowStartBudget:
    """Keeps all balancers together from overloading a server that has just started, without communication.

    A server is cold until its warm-up is over; its warmth is the share of its capacity that it certainly has.

    The early samples of a request are the first ones, up to a total warmth of logic.EARLY_WARMTH, that is of
    two warm servers. Among these, a cold server is admitted with a probability of its warmth, or of less if
    fall_multiple is small, by a random choice for each request and server. So it gets its share of the
    traffic over all balancers, however unevenly the traffic is divided among them.

    Under overload, sampling goes on until it finds the one server that has room, and more work is offered
    than can be answered. So the probability for early samples is multiplied by the share of the work that
    is answered, and later samples are limited by counts instead of a random choice: the work that a balancer
    sends to a cold server within a window, for early samples too, is limited to the balancer's share of what
    the server can take. A warm server can take the work that it answers for all balancers together, and each
    balancer derives its share from its own answers, so that the shares add up without knowing the number of
    balancers. That number only sets a minimum budget, with which all balancers together may always send one
    attempt.

    A share of less than one attempt is the probability of sending one. With many cold servers, of which a
    request samples only some, that probability is higher, and the work sent to all of them together is
    limited as well.

    Work is in multiples of the mean request's. Times are microseconds.
    """

    def __init__(self, settings: Settings) -> None:
        self.cold_start_share, self.ramp_us = settings.start_fraction, settings.warm_up_us
        self.traffic_factor = min(1.0, settings.fall_multiple / FULL_SHARE_FALL_MULTIPLE)
        # Smoothed shares: of attempts that are answered, and of samples of warm servers that fit the request.
        self.answered_share = self.fitting_share = 1.0
        self.window_us = settings.fall_window_us
        self.budget_multiple = COLD_FILL * settings.fall_multiple
        self.minimum_budget = 1.0 / settings.siblings  # all balancers together may always send one attempt
        self.fleet_capacity = 1.0  # capacity of the ready servers, in warm servers
        # Number of cold servers, and their summed warmth one window ago.
        self.cold_count, self.cold_capacity = 0, 0.0
        # This balancer's attempts on all cold servers within the window (time, work), and their summed work.
        self.cold_sends: list[tuple[int, float]] = []
        self.cold_sends_work = 0.0
        # Work per warm server of this balancer's requests and of its answers, both decaying over TRAFFIC_US.
        self.offered_work = self.answered_work = 0.0
        # Time of the first request (-1: none yet), and of the latest decay of the sums above.
        self.first_request_at, self.decayed_at = -1, 0

    def warmth(self, server: Server, now: int) -> float:
        """Share of its capacity that a server has by the slowest ramp the settings allow; 1: fully warm."""
        age = now - server.started_at
        if not server.started_at or age >= self.ramp_us:
            return 1.0
        return self.cold_start_share + (1.0 - self.cold_start_share) * max(0, age) / self.ramp_us

    def refresh(self, servers: list[Server], now: int) -> None:
        """Recalculate the capacity of the ready servers, in warm servers."""
        cold = [server for server in servers if server.started_at and self.warmth(server, now) < 1.0]
        fleet_capacity = len(servers) - len(cold) + sum(self.warmth(server, now) for server in cold)
        self.fleet_capacity = max(self.cold_start_share, fleet_capacity)
        self.cold_count, self.cold_capacity = (
            len(cold),
            sum(self.warmth(server, now - self.window_us) for server in cold),
        )

    def record_arrival(self, now: int, work: float) -> None:
        """Add a new request to this balancer's offered work."""
        if self.first_request_at < 0:
            self.first_request_at = now
        self._decay(now)
        self.offered_work += work / self.fleet_capacity

    def _decay(self, now: int) -> None:
        if now > self.decayed_at:
            remaining = exp((self.decayed_at - now) / TRAFFIC_US)
            self.offered_work, self.answered_work, self.decayed_at = (
                remaining * self.offered_work,
                remaining * self.answered_work,
                now,
            )

    def _served_work(self) -> float:
        """Work answered, plus one request that may be in flight, but no more than was offered."""
        return min(self.offered_work, self.answered_work + 1.0 / self.fleet_capacity)

    def send_budget(self, now: int) -> float:
        """Work that this balancer may send within a window, per capacity of one warm server."""
        # The sums of a balancer that has just started cover less than the averaging time.
        span = TRAFFIC_US * (1.0 - exp(-max(self.window_us, now - self.first_request_at) / TRAFFIC_US))
        return self.budget_multiple * self._served_work() * self.window_us / span

    def record_send(self, server: Server, now: int, work: float) -> None:
        """Count an attempt on a server if the server is cold. `work`: of its request."""
        if self.warmth(server, now) < 1.0:
            server.cold_sends.append((now, work))
            server.cold_sends_work += work
            self.cold_sends.append((now, work))
            self.cold_sends_work += work

    def _expire_sends(self, server: Server, now: int) -> None:
        """Drop the attempts that were sent more than a window ago."""
        since = now - self.window_us
        if server.cold_sends and server.cold_sends[0][0] <= since:
            server.cold_sends = [send for send in server.cold_sends if send[0] > since]
            server.cold_sends_work = sum(work for _, work in server.cold_sends)
        if self.cold_sends and self.cold_sends[0][0] <= since:
            self.cold_sends = [send for send in self.cold_sends if send[0] > since]
            self.cold_sends_work = sum(work for _, work in self.cold_sends)

    def admits(self, server: Server, now: int, request: Request, probed: bool, mean_load: float) -> bool:
        """Whether a request may be sent to a server: to any warm one, to a cold one within its budget.

        probed: samples are probed before a request is sent. mean_load: mean number of attempts in flight at a
        server, of all balancers.
        """
        if self.warmth(server, now) >= 1.0:
            return True
        self._expire_sends(server, now)
        self._decay(now)
        is_early = server in request.early_cold_servers
        if server.cold_sends_work + request.work * (1.0 - server.random_fraction) > self._send_limit(
            server, now, request, is_early
        ):
            return False
        if is_early:
            return self._in_early_share(server, now, request, probed, mean_load)
        # Later samples are limited by counts alone: with a random choice as well, cold servers stayed idle
        # under overload.
        return self._total_has_room(now, request.work * (1.0 - server.random_fraction))

    def _send_limit(self, server: Server, now: int, request: Request, is_early: bool) -> float:
        """Work that this balancer may send to a cold server within a window, one more attempt included."""
        budget = self.send_budget(now) * self.warmth(server, now - self.window_us) + self.minimum_budget
        if is_early:
            return max(budget, request.work)
        # Early samples use at most this share of the budget in the mean; the rest is for later samples.
        reduced_budget = budget - EARLY_BUDGET_SHARE * min(1.0, budget)
        return max(
            reduced_budget, min(min(self.cold_count, MAX_SINGLE_SEND_FACTOR) * reduced_budget, request.work)
        )

    def _total_has_room(self, now: int, work: float) -> bool:
        """Whether the attempts on all cold servers together leave room for this work within a window."""
        return (
            self.cold_sends_work + work
            <= self.send_budget(now) * self.cold_capacity + self.cold_count * self.minimum_budget
        )

    def _in_early_share(
        self, server: Server, now: int, request: Request, probed: bool, mean_load: float
    ) -> bool:
        """Whether a request is in the share that may be sent to a cold server among its early samples."""
        warmth = self.warmth(server, now)
        # A cold server gets a share of the work that warm servers accept and answer, not of the work that is
        # offered: retries in an overloaded fleet overloaded a cold server. The reduction by answered attempts
        # and fitting samples is left out if the cold server is probed before it is sent to, or has just
        # reported a load below its share: otherwise a few full warm servers kept all cold servers idle. The
        # reduction by answered work applies always.
        load_known = probed or (
            now - server.reported_at < FRESH_US
            and server.own_load(now) + max(0.0, server.load_of_others) < warmth * mean_load
        )
        share = (
            self.traffic_factor
            if load_known
            else self.traffic_factor * self.answered_share * self.fitting_share
        )
        if self.offered_work:
            share *= self._served_work() / self.offered_work
        # With the request's fraction alone, the choice would be the same for all cold servers that the
        # request samples, so that all these samples together would be one chance.
        return (request.random_fraction + server.random_fraction) % 1.0 < warmth * share

    def record_samples(self, fitting: int, draws: int) -> None:
        """Update the share of samples of warm servers that fit: `fitting` of `draws` fitted the request."""
        if draws:
            self.fitting_share += GAIN * (fitting / draws - self.fitting_share)

    def record_outcome(self, now: int, server: Server, outcome: Outcome, work: float) -> None:
        """Update answered work and the share of answered attempts with an attempt's outcome."""
        if outcome is Outcome.OK and server.state is State.READY:
            self._decay(now)
            self.answered_work += work / self.fleet_capacity
        if outcome not in NEVER_RAN and outcome is not Outcome.CANCELLED:
            self.answered_share += GAIN * ((outcome is Outcome.OK) - self.answered_share)
