"""The project's own decisions in the emulator: whole, and with single parts switched off.

Nothing of them is copied: a part is switched off by a subclass or by a setting, all else is the real code.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from burlshift.balancing import (
    interface,
    load_table,
    logic,
    outlier_detection,
    quantile,
    request_state,
    server_state,
    slow_start,
    tenant_admission,
    time_units,
    work_estimates,
)
from burlshift.balancing.load_table import LoadTable
from burlshift.balancing.logic import Balancer
from burlshift.balancing.outlier_detection import OutlierDetector
from burlshift.balancing.request_state import Request
from burlshift.balancing.server_state import Server
from burlshift.balancing.slow_start import SlowStartBudget
from burlshift.balancing.work_estimates import WorkEstimates

# Those that deploy/balancer.toml lists under `policy`.
POLICY_MODULES = (
    logic,
    time_units,
    quantile,
    server_state,
    request_state,
    load_table,
    work_estimates,
    outlier_detection,
    slow_start,
    tenant_admission,
)


class _NoHealth(OutlierDetector):
    def admits(self, server: Server, now: int, typical_latency: float) -> bool:
        return True


class _NoCold(SlowStartBudget):
    def admits(self, server: Server, now: int, request: Request, probed: bool, mean_load: float) -> bool:
        return True


class _OnePace(LoadTable):
    def time_per_load_of(self, server: Server, now: int, warmth: float) -> float:
        return self.time_per_load or 1.0


class _OwnAim(WorkEstimates):
    def refresh(self, typical_latency: float) -> None:
        super().refresh(typical_latency)
        self.latency_limits_us = [
            request_class.aim_us / relative_work
            for request_class, relative_work in zip(self.classes, self.relative_work, strict=True)
        ]


class _OneNeed(WorkEstimates):
    def learn(self, class_index: int, latency_us: int, expected_latency_us: float) -> None:
        pass


class _FullTrust(LoadTable):
    def refresh(self, servers: list[Server], now: int) -> None:
        super().refresh(servers, now)
        self.report_trust = 1.0


class WithoutNeeds(Balancer):
    """All classes are taken to ask for the same work."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.work_estimates = _OneNeed(settings)


class WithoutDoubt(Balancer):
    """Reports are believed in full until they are old."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.table = _FullTrust(settings)


class WithoutSofter(Balancer):
    """Servers are sampled without regard to how full they are, up to the limit."""

    def _sample_pair(self, request: Request, pool: list[Server]) -> tuple[Server, Server] | None:
        self._index()
        return self._sample_pair_within(request, pool, self._limit(request), True)


class WithoutAdmission(Balancer):
    """Nothing is refused for its predicted time."""

    def _can_answer_in_time(
        self, request: Request, server: Server, limit: float, time_left: int, final_limit: bool
    ) -> bool:
        return final_limit or super()._can_answer_in_time(request, server, limit, time_left, final_limit)


class WithoutGiveWay(Balancer):
    """Clients' retries are treated as first tries."""

    def _advance(self, request: Request) -> None:
        request.low_priority = False
        super()._advance(request)


class WithoutBearable(Balancer):
    """Each class is held to its own aim, not to the shortest of those worth as much."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.work_estimates = _OwnAim(settings)


class WithoutHealth(Balancer):
    """No server is left out of sampling for what it did."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.health = _NoHealth(self.rng, self._log)


class WithoutCold(Balancer):
    """Servers that have just started get their full part; the rule on them may break."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.slow_start = _NoCold(settings)


class WithoutPace(Balancer):
    """All servers are taken to be equally fast."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.table = _OnePace(settings)


class WithoutAsking(Balancer):
    """Samples are not asked for their load."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(replace(settings, can_probe=False), seed)


class WithoutPeers(Balancer):
    """No datagrams are sent."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(replace(settings, can_tell=False), seed)


class WithoutCopies(Balancer):
    """No second copy goes out while the first runs."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(replace(settings, second_copies=False), seed)


PARTS: dict[str, type[Balancer]] = {
    "admission": WithoutAdmission,
    "giveway": WithoutGiveWay,
    "bearable": WithoutBearable,
    "health": WithoutHealth,
    "cold": WithoutCold,
    "pace": WithoutPace,
    "asking": WithoutAsking,
    "peers": WithoutPeers,
    "copies": WithoutCopies,
    "needs": WithoutNeeds,
    "doubt": WithoutDoubt,
    "softer": WithoutSofter,
}


class SettingError(Exception):
    """A constant of the decisions cannot be set so; the text is one line."""


def constants() -> dict[str, float]:
    """The numbers at the head of the decisions' modules, by name."""
    return {
        name: value
        for module in POLICY_MODULES
        for name, value in vars(module).items()
        if name.isupper() and isinstance(value, int | float) and not isinstance(value, bool)
    }


def parse_settings(texts: list[str]) -> dict[str, float]:
    """NAME=NUMBER, each name a constant of the decisions. Raises SettingError."""
    known, result = constants(), {}
    for text in texts:
        name, _, value = text.partition("=")
        if name not in known:
            raise SettingError(f"--set {text}: no constant {name}; known are {', '.join(sorted(known))}")
        try:
            result[name] = int(value) if isinstance(known[name], int) else float(value)
        except ValueError:
            raise SettingError(
                f"--set {text}: {value!r} is no number of that kind; it stands at {known[name]}"
            ) from None
    return result


@contextmanager
def constants_set(changes: dict[str, float]) -> Iterator[None]:
    """The decisions with other constants, for the length of a run in this process."""
    # Each module that reads a number has its own name for it.
    readers = [(module, name) for name in changes for module in POLICY_MODULES if hasattr(module, name)]
    old: list[Any] = [getattr(module, name) for module, name in readers]
    try:
        for module, name in readers:
            setattr(module, name, changes[name])
        yield
    finally:
        for (module, name), value in zip(readers, old, strict=True):
            setattr(module, name, value)
