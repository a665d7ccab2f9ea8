"""Export and import of what a balancer has learned, for a hot restart on the same clock."""

from __future__ import annotations

from typing import Any

from .logic import Balancer

# Attributes whose values are written, in this order. Attempts in flight stay with the old process, and list
# entries are read again from the list.
SERVER = (
    "random_fraction",
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
    "failure_load",
    "failure_load_at",
    "service_time_ms",
    "silent_since",
)
TABLE_FIELDS = (
    "mean_load",
    "mean_hint",
    "mean_service_time_ms",
    "silent_since",
    "mean_cost_us",
    "time_per_load",
    "typical_latency",
)
SLOW_START_FIELDS = ("answered_share", "fitting_share")
REPORT_FIELDS = (
    "report_covariance",
    "report_variance",
    "mean_load_of_others",
)  # "reports", "needs" and "earned" are missing from the state of earlier versions


def export(balancer: Balancer) -> dict[str, Any]:
    """What the balancer has learned, as JSON values. Backend ids must be text."""
    return {
        "servers": {str(s.id): [getattr(s, name) for name in SERVER] for s in balancer.servers.values()},
        "table": [getattr(balancer.table, name) for name in TABLE_FIELDS],
        "cold": [getattr(balancer.slow_start, name) for name in SLOW_START_FIELDS],
        "reports": [getattr(balancer.table, name) for name in REPORT_FIELDS],
        "needs": [*balancer.work_estimates.latency_sums, *balancer.work_estimates.expected_latency_sums],
        "part": balancer.tenant_admission.traffic_share,
        "budget": balancer.retry_budget,
        "earned": balancer.earned_share,
    }


def restore(balancer: Balancer, state: dict[str, Any]) -> None:
    """Load exported state into a balancer that has its list; servers that are not listed are skipped.

    Raises ValueError, with the balancer unchanged, if the state is malformed.
    """
    try:
        servers = {name: _numbers(values, SERVER) for name, values in state["servers"].items()}
        table, slow_start = _numbers(state["table"], TABLE_FIELDS), _numbers(state["cold"], SLOW_START_FIELDS)
        traffic_share, retry_budget = float(state["part"]), float(state["budget"])
        earned_share = float(state.get("earned", 1.0))
        reports = _numbers(state["reports"], REPORT_FIELDS) if "reports" in state else {}
        work_sums = [float(work_sum) for work_sum in state.get("needs", ())]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"learned state cannot be read: {type(error).__name__} {error}") from None
    known = [
        (server, servers[str(server.id)]) for server in balancer.servers.values() if str(server.id) in servers
    ]
    for owner, values in [*known, (balancer.table, {**table, **reports}), (balancer.slow_start, slow_start)]:
        for name, value in values.items():
            setattr(owner, name, value)
    balancer.tenant_admission.traffic_share, balancer.retry_budget, balancer.earned_share = (
        traffic_share,
        retry_budget,
        earned_share,
    )
    class_count = len(balancer.work_estimates.latency_sums)
    if len(work_sums) == 2 * class_count:  # otherwise the settings have other classes now
        balancer.work_estimates.latency_sums, balancer.work_estimates.expected_latency_sums = (
            work_sums[:class_count],
            work_sums[class_count:],
        )


def _numbers(values: list[Any], names: tuple[str, ...]) -> dict[str, float]:
    if len(values) != len(names) or not all(isinstance(v, int | float) for v in values):
        raise ValueError(f"expected {len(names)} numbers")
    return dict(zip(names, values, strict=True))
