"""Gives memory that is free within the heap back to the system."""

from __future__ import annotations


def trim() -> None:
    """Give back the pages of the C library's heap that hold nothing, by malloc_trim(3).

    Between blocks that are in use they stay with the process otherwise. Does nothing without glibc.
    """
    import ctypes  # loaded by processes that are short of memory or are replaced

    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)
