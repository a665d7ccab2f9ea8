"""The kinds of number that a scenario's keys take; in a file each may be a range [low, high] instead."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
