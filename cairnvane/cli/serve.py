"""`cairnvane serve`: runs a server with the operator's options."""

from __future__ import annotations

import os
import sys

import click

from .. import config


@click.command()
@click.option(
    "--operator",
    metavar="FILE",
    envvar=config.OPERATOR_VARIABLE,
    show_envvar=True,
    help="The operator's own YAML file; without it, nothing that it could turn on is on.",
)
def serve(operator: str | None) -> None:
    """Serve as `python -m cairnvane` does: LB_CONFIG names the platform's configuration."""
    from ..server.main import main

    if operator:
        os.environ[config.OPERATOR_VARIABLE] = operator
    sys.exit(main())
