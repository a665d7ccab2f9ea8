"""The agent with a wall clock that is off: what is replaced is the source of time of
burlshift/agent/clock.py.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

from burlshift.agent import clock
from burlshift.agent.process import main

SKEW_FILE = "FAULTLAB_SKEW"  # names a file that holds the skew in seconds


class SkewedTime:
    """What clock.py uses of the module `time`."""

    @staticmethod
    def monotonic_ns() -> int:
        return time.monotonic_ns()

    @staticmethod
    def time_ns() -> int:
        return time.time_ns() + int(float(Path(os.environ[SKEW_FILE]).read_text()) * 1e9)


if __name__ == "__main__":
    vars(clock)["time"] = SkewedTime
    sys.exit(main())
