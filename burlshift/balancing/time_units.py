"""Units of time: every time in the decisions is a whole number of microseconds."""

MS, SECOND = 1_000, 1_000_000
