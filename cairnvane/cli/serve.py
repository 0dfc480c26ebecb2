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
    help="The operator's YAML file; without it, all optional features are off.",
)
def serve(operator: str | None) -> None:
    """Run the server, like `python -m cairnvane`; LB_CONFIG names the platform's configuration file."""
    from ..server.main import main

    if operator:
        os.environ[config.OPERATOR_VARIABLE] = operator
    sys.exit(main())
