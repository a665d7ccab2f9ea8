"""Band choice: the Quantile process of Los and Sauerwald, which compares two samples by coarse load bands."""

from __future__ import annotations

from functools import lru_cache
from math import ceil, log2
from random import Random

QUERIES = 8  # k of the Quantile process: the maximum number of cutoffs
ROUNDING_TOLERANCE = 1e-9  # keeps a floating-point error from raising a rank by one


@lru_cache(maxsize=4096)
def cutoff_ranks(server_count: int, queries: int = QUERIES) -> tuple[int, ...]:
    """Ranks (1: the most loaded) at which the Quantile process of k = `queries` cuts a fleet into bands."""
    deltas = [2 ** (-0.5 * log2(server_count) ** ((queries - i) / queries)) for i in range(1, queries)]
    ranks = {ceil(delta * server_count - ROUNDING_TOLERANCE) for delta in deltas if delta < 0.5} | {
        ceil(server_count / 2)
    }
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """Loads at the cutoff ranks, from the highest down."""
    ordered = sorted(loads, reverse=True)
    return [ordered[rank - 1] for rank in cutoff_ranks(len(loads))]


def lower_band(rng: Random, band_cutoffs: list[float], load_a: float, load_b: float) -> bool:
    """Whether the first of two samples is chosen: the one in the lower band, at random if equal."""
    band_a = sum(load_a >= cutoff for cutoff in band_cutoffs)
    band_b = sum(load_b >= cutoff for cutoff in band_cutoffs)
    return band_a < band_b or (band_a == band_b and rng.random() < 0.5)
