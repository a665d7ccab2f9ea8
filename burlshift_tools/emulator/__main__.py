"""python -m burlshift_tools.emulator"""

from . import cli_members  # noqa: F401  (its commands are registered by the import)
from .cli import app

__all__ = ["app"]

if __name__ == "__main__":
    app()
