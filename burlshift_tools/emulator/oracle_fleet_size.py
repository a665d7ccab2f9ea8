"""Our decisions with the true number of living agents in the place of the settings' constant.

It is what knowing the number is worth at most, each use by itself: no membership could tell it as exactly,
or as soon.
"""

from __future__ import annotations

from collections.abc import Callable

from burlshift.balancing import interface, logic
from burlshift.balancing.logic import Balancer

from .world import MakePolicy, World

USES = ("idle", "turns")


class Counted(Balancer):
    """idle: what all agents together may hold at a server on a guess; turns: their calls for lists."""

    def __init__(
        self, settings: interface.Settings, seed: int, alive: Callable[[], int], uses: tuple[str, ...]
    ) -> None:
        super().__init__(settings, seed)
        self._alive, self._uses = alive, uses

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        alive = max(1, self._alive())
        if "idle" in self._uses:
            self.guaranteed_attempts = logic.GUARANTEED_ATTEMPTS / alive
        if "turns" in self._uses:
            self.list_call_spacing_us = min(
                logic.LIST_CALL_SPACING_US, self.settings.ask_within_us // (2 * alive)
            )
            self.watch_first_us = max(logic.WATCH_FIRST_US, alive * self.list_call_spacing_us)
            self.watch_max_us = max(
                logic.WATCH_MAX_US, min(2 * self.watch_first_us, self.settings.ask_within_us)
            )
        return super().handle(now, event)


def maker(uses: tuple[str, ...]) -> MakePolicy:
    def make(world: World, settings: interface.Settings, seed: int) -> Counted:
        return Counted(settings, seed, lambda: sum(h is not None and h.alive for h in world.hosts), uses)

    return make
