"""`cairnvane xds`: descriptions of fleets in Envoy's terms."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def xds() -> None:
    """Clusters and endpoints in xDS form."""


@xds.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check FILE, a DiscoveryResponse in JSON with clusters and endpoints. Status 1 if a resource is
    refused."""
    try:
        from ..xds.resources import check_json
    except ImportError as error:
        click.echo(f"cairnvane xds: {error}; pip install '.[xds]'", err=True)
        sys.exit(2)
    try:
        good, bad = check_json(file.read_text())
    except (ValueError, OSError) as error:
        click.echo(f"cairnvane xds: {file}: {error}", err=True)
        sys.exit(2)
    for line in bad:
        click.echo(f"refused: {line}")
    for one in good:
        click.echo(f"good: {type(one).__name__.lower()} {one.name}")
    sys.exit(1 if bad else 0)
