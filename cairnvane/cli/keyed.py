"""`cairnvane keyed`: look after a folder of kept results."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ..claims import inspection as ledger
from ..claims.records import NewerVersionError
from ..idempotency.durable import FolderError
from ..idempotency.durable import verify as verification
from ..idempotency.durable.storage import OsFiles

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def keyed() -> None:
    """Kept results of keyed requests."""


def _stop(error: Exception) -> None:
    click.echo(f"cairnvane keyed: {error}", err=True)
    sys.exit(2)


@keyed.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read everything in FOLDER, a log's or a ledger's, and say what is damaged; nothing is changed. Status 1
    if a record may be lost."""
    try:
        beside = [ledger.look(path) for path in ledger.ledgers(folder)]
        found = verification.verify(OsFiles(folder))
    except (FolderError, NewerVersionError, OSError) as error:
        return _stop(error)
    for line in [line for one in beside for line in one.lines()] + found.lines():
        click.echo(line)
    sys.exit(1 if found.wrong or any(one.wrong for one in beside) else 0)


@keyed.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def show(folder: Path, as_json: bool) -> None:
    """List the keys in FOLDER, a log's or a ledger's, oldest first, and how each stands; results are not
    shown. What the log does not know stands behind, from the ledger."""
    try:
        rows = list(verification.show(OsFiles(folder)))
        known = {row["token"] for row in rows}
        for path in ledger.ledgers(folder):
            rows += [row for row in ledger.show(path) if row["token"] not in known]
        for row in rows:
            plain = "  ".join(f"{key}={value}" for key, value in row.items())
            click.echo(json.dumps(row) if as_json else plain)
    except (FolderError, NewerVersionError, OSError) as error:
        return _stop(error)


@keyed.command()
@FOLDER
def compact(folder: Path) -> None:
    """Rewrite FOLDER without what no longer counts. Not while a server uses it."""
    try:
        before, after = verification.compact(OsFiles(folder))
    except (FolderError, OSError) as error:
        return _stop(error)
    click.echo(f"{before:,} bytes before, {after:,} after")
