"""`cairnvane xds`: checks cluster descriptions in the format of Envoy's discovery service."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click


@click.group()
def xds() -> None:
    """Check clusters and endpoints in xDS format."""


def _fail(reason: str) -> NoReturn:
    """Exit with status 2 because the file can't be checked."""
    click.echo(f"cairnvane xds: {reason}", err=True)
    sys.exit(2)


@xds.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check FILE, a DiscoveryResponse in JSON with clusters and endpoints. Status 1 if a resource is
    rejected.
    """
    try:
        from ..xds.resources import check_json
    except ImportError as error:
        _fail(f"{error}; pip install '.[xds]'")
    try:
        resources, problems = check_json(file.read_text())
    except (ValueError, OSError) as error:
        _fail(f"{file}: {error}")
    for problem in problems:
        click.echo(f"refused: {problem}")
    for resource in resources:
        click.echo(f"good: {type(resource).__name__.lower()} {resource.name}")
    sys.exit(1 if problems else 0)
