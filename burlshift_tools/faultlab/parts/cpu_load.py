"""A busy neighbour: takes a share of one core, in turns of ten milliseconds."""

from __future__ import annotations

import os
import signal
import sys
import time

TURN_S = 0.01


def main() -> None:
    core, share = int(sys.argv[1]), float(sys.argv[2])
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    os.sched_setaffinity(0, {core})
    while True:
        began = time.perf_counter()
        while time.perf_counter() < began + share * TURN_S:
            pass
        time.sleep((1 - share) * TURN_S)


if __name__ == "__main__":
    main()
