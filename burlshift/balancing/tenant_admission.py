"""Tenant admission: which requests exceed their tenant's quota."""

from __future__ import annotations

from .interface import Settings
from .time_units import SECOND

TRAFFIC_SHARE_GAIN = 0.002  # weight of a new sample in the exponential average of the traffic share


class TenantAdmission:
    """Token buckets per tenant; this balancer's share of a quota is its share of the traffic."""

    def __init__(self, settings: Settings) -> None:
        self.quotas = [tenant.quota_per_s / SECOND for tenant in settings.tenants]
        self.traffic_share = 1.0 / settings.siblings
        # Per tenant: tokens, and when they were last refilled (0: never).
        self.buckets = [(1.0, 0)] * len(self.quotas)

    def learn(self, own_load: int, load_of_others: float) -> None:
        """Learn this balancer's share of the traffic from its own and all others' load at a server."""
        if own_load + load_of_others > 0:
            self.traffic_share += TRAFFIC_SHARE_GAIN * (
                own_load / (own_load + load_of_others) - self.traffic_share
            )

    def exceeds_quota(self, tenant: int, now: int) -> bool:
        """Count a request arriving at `now` (us); True if it exceeds this balancer's share of the quota."""
        if not self.quotas or not self.quotas[tenant]:
            return False
        rate = self.quotas[tenant] * self.traffic_share
        level, updated_at = self.buckets[tenant]
        level = min(max(1.0, rate * SECOND), level + rate * (now - updated_at) if updated_at else 1.0)
        self.buckets[tenant] = (level - 1.0 if level >= 1.0 else level, now)
        return level < 1.0
