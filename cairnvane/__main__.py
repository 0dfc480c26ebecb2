"""Entry point of `python -m cairnvane`, which runs one bid server."""

from __future__ import annotations

import sys

from .server.main import main

if __name__ == "__main__":
    sys.exit(main())
