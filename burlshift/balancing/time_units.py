"""Units of time: all times of the balancing policy are integer microseconds."""

MS, SECOND = 1_000, 1_000_000
