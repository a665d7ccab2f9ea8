"""How often and how long the measurements of the list service are made, in full and in small."""

from __future__ import annotations

import msgspec


class Times(msgspec.Struct, frozen=True, kw_only=True):
    """How often and how long each is done."""

    changes: int = 12
    batches: int = 4
    storms: int = 3
    idle_s: float = 5.0  # over one wait of a watch
    cut_s: float = 6.0  # longer than a watch may wait in silence
    longest_cut_s: float = 30.0  # at the largest size
    cut_changes: int = 42  # five minutes of 12,000 a day
    pause_s: float = 60.0
    renew_s: float = 5.0
    ttl_s: float = 10.0
    connects: float = 700.0  # watches begun a second
    real: int = 30  # agents beside as many hollow ones


SMALL = Times(
    changes=3,
    batches=2,
    storms=1,
    idle_s=0.3,
    cut_s=0.2,
    longest_cut_s=0.2,
    cut_changes=3,
    pause_s=0.3,
    renew_s=0.6,
    real=2,
)
