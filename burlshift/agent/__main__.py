"""Starts the agent: ``python -m burlshift.agent``, configured by RELAY_CONFIG."""

from __future__ import annotations

import sys
from types import ModuleType
from typing import cast


def main() -> int:
    """Run the agent; returns its exit status, see `process.main`."""
    # None makes the import fail. asyncio does without TLS, which the agent does not speak; it takes 5 MB.
    sys.modules.setdefault("ssl", cast(ModuleType, None))
    from . import process

    return process.main()


if __name__ == "__main__":
    sys.exit(main())
