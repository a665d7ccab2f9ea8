"""Starts the service catalog: ``python -m burlshift.catalog``."""

from .cli import main

if __name__ == "__main__":
    main()
