"""After a failed, refused or given-up call to discovery the next comes before a change counts as told."""
from __future__ import annotations

from random import Random

import pytest
from tests.helpers import Drive, only

from brasshead.interface import TOLD_US, BackendsChanged, ListKind, Watch
from brasshead.interface import Discovery as PushOrAsk
from brasshead.logic import CALL_US

LONGEST = 1.0 - 1e-9  # the draw


class Longest(Random):
    def random(self) -> float:
        return LONGEST


@pytest.mark.parametrize("ask_within_s", [1, 10, 120])
@pytest.mark.parametrize("siblings", [1, 5, 30, 200, 1000])
def test_the_longest_wait_where_discovery_is_asked(siblings: int, ask_within_s: int) -> None:
    # Two hundred waited up to 15 s, twenty up to 9 s.
    d = Drive(discovery=PushOrAsk.ASK, siblings=siblings, ask_within_us=ask_within_s * 1_000_000)
    d.wait(1)
    d.balancer.rng = Longest()
    for times in range(1, 9):
        assert len(only(d.log, Watch)) == times
        d.event(BackendsChanged(ListKind.FAILED, []))
        d.wait(TOLD_US - CALL_US)
