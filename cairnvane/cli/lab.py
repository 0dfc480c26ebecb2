"""`cairnvane lab`: experiments on the real program."""

from __future__ import annotations

import click


@click.group()
def lab() -> None:
    """Experiments with stand-ins for all that a server talks to."""
