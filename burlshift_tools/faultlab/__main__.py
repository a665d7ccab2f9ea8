"""Starts the fault-injection lab: ``python -m burlshift_tools.faultlab``."""

from .cli import main

if __name__ == "__main__":
    main()
