"""Work per request of each class, learned from the latencies of answers."""

from __future__ import annotations

from .interface import Settings
from .load_table import FLEET_GAIN_DIVISOR, GAIN, PRIOR_SAMPLES

MIN_WORTH_SHARE = 1e-9  # keeps the latency limit of a class without worth above 0


class WorkEstimates:
    """Work of each class as a multiple of the mean request's, and the latency limit that follows from it.

    Without these estimates, the latency of the mean request was predicted for every class: short classes were
    refused first, although they have the highest worth for their work, while the class with the longest aim
    filled the servers.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = settings.classes
        self.relative_work = [1.0] * len(self.classes)
        self.latency_sums, self.expected_latency_sums = [0.0] * len(self.classes), [0.0] * len(self.classes)
        self.latency_limits_us = [0.0] * len(self.classes)
        self.refresh(0.0)

    def learn(self, class_index: int, latency_us: int, expected_latency_us: float) -> None:
        """Add an answer's latency, and the latency expected of the mean request in its place (both us)."""
        self.latency_sums[class_index] += (
            latency_us - GAIN / FLEET_GAIN_DIVISOR * self.latency_sums[class_index]
        )
        self.expected_latency_sums[class_index] += (
            expected_latency_us - GAIN / FLEET_GAIN_DIVISOR * self.expected_latency_sums[class_index]
        )

    def refresh(self, typical_latency: float) -> None:
        """Recalculate each class's relative work, and its limit as a latency of the mean request (us)."""
        if typical_latency:
            mean, prior = (
                (sum(self.latency_sums) or 1.0) / (sum(self.expected_latency_sums) or 1.0),
                PRIOR_SAMPLES * typical_latency,
            )
            self.relative_work = [
                (latency_sum + prior) / (mean * expected_sum + prior)
                for latency_sum, expected_sum in zip(
                    self.latency_sums, self.expected_latency_sums, strict=True
                )
            ]
        worth_per_work = [
            request_class.worth / relative_work
            for request_class, relative_work in zip(self.classes, self.relative_work, strict=True)
        ]
        max_worth_per_work = max(worth_per_work) or 1.0
        # Under overload, capacity goes to the classes with the highest worth per work: no class may fill the
        # servers beyond the limit of a class with a higher worth per work, and the limit of each class
        # shrinks with its own.
        self.latency_limits_us = [
            max(class_worth_per_work / max_worth_per_work, MIN_WORTH_SHARE)
            * min(
                request_class.aim_us / relative_work
                for request_class, relative_work, worth in zip(
                    self.classes, self.relative_work, worth_per_work, strict=True
                )
                if worth >= class_worth_per_work
            )
            for class_worth_per_work in worth_per_work
        ]
