"""Random numbers for one part of the world, drawn in blocks: a scalar from numpy costs more than its use."""

from __future__ import annotations

import math
from collections.abc import Callable
from zlib import crc32

import numpy as np

BLOCK = 1024


class Stream:
    """Uniform, exponential and normal draws from one generator."""

    __slots__ = ("rng", "_uniform", "_exponential", "_normal")

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng = rng
        self._uniform: list[float] = []
        self._exponential: list[float] = []
        self._normal: list[float] = []

    def uniform(self) -> float:
        """A number in [0, 1)."""
        if not self._uniform:
            self._uniform = self.rng.random(BLOCK).tolist()
        return self._uniform.pop()

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.uniform()

    def exponential(self, mean: float) -> float:
        if not self._exponential:
            self._exponential = self.rng.standard_exponential(BLOCK).tolist()
        return mean * self._exponential.pop()

    def normal(self) -> float:
        if not self._normal:
            self._normal = self.rng.standard_normal(BLOCK).tolist()
        return self._normal.pop()

    def factor(self, cv: float) -> float:
        """A lognormal factor of mean 1 and this coefficient of variation."""
        if cv <= 0:
            return 1.0
        variance = math.log1p(cv * cv)
        return math.exp(math.sqrt(variance) * self.normal() - variance / 2)


def streams_for(name: str, seed: int) -> Callable[[str], Stream]:
    """Streams by the part they serve: the same name, seed and part give the same numbers anywhere.

    They are spawned as numpy's SeedSequence advises: independent, and not by adding to a seed.
    """

    def stream(part: str) -> Stream:
        key = (crc32(name.encode()), crc32(part.encode()))
        return Stream(np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key))))

    return stream
