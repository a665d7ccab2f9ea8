"""Crash-safe state for one process: a checksummed snapshot and a write-ahead journal, in generations."""
