"""Policies by name, as the command line and the rows of a sweep name them."""

from __future__ import annotations

from burlshift.balancing import interface
from burlshift.balancing.logic import Balancer

from . import oracle_fleet_size
from .agents import Policy
from .policies import BoundedHash, LeastLoaded, PeakEwma, RoundRobin, TwoChoices, UniformRandom
from .shipped_policy import PARTS
from .trace import Tracing
from .world import MakePolicy, World

BASELINES = {
    "random": UniformRandom,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "peak-ewma": PeakEwma,
    "bounded-hash": BoundedHash,
}
COUNTED = {
    "ours-counted": oracle_fleet_size.USES,
    **{f"ours-counted-{use}": (use,) for use in oracle_fleet_size.USES},
}
NAMES = ("ours", *(f"ours-{part}" for part in PARTS), *COUNTED, *BASELINES, "least-loaded")


class UnknownPolicy(Exception):
    """No policy has that name; the text is one line."""


def policy(name: str) -> MakePolicy:
    """What makes one agent's policy. Raises UnknownPolicy."""
    if name in BASELINES:
        baseline = BASELINES[name]
        return lambda _world, settings, seed: baseline(settings, seed)
    if name == "least-loaded":
        return _least_loaded
    if name in COUNTED:
        return oracle_fleet_size.maker(COUNTED[name])
    part = name.removeprefix("ours").removeprefix("-")
    if name != "ours" and (not name.startswith("ours-") or part not in PARTS):
        raise UnknownPolicy(f"{name}: no such policy; known are {', '.join(NAMES)}")
    balancer: type[Balancer] = PARTS.get(part, Balancer)
    watched: type[Balancer] = type(f"Traced{balancer.__name__}", (Tracing, balancer), {})

    def make(world: World, settings: interface.Settings, seed: int) -> Policy:
        if world.trace is None:
            return balancer(settings, seed)
        made = watched(settings, seed)
        world.trace.follow(made, settings.me)
        return made

    return make


def _least_loaded(world: World, settings: interface.Settings, seed: int) -> Policy:
    def load(id: interface.BackendId) -> float:
        server = world.servers[str(id)]
        if not world.answers(server, settings.zone):
            return float("inf")
        return (server.held + 1) / max(1e-9, server.capacity())

    return LeastLoaded(settings, seed, load)
