"""`cairnvane keyed`: inspects and compacts a folder of stored results."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import NoReturn

import click

from ..claims import inspection
from ..claims.records import NewerVersionError
from ..idempotency.durable import FolderError
from ..idempotency.durable import verify as verification
from ..idempotency.durable.storage import OsFiles

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group()
def keyed() -> None:
    """Kept results of keyed requests."""


def _fail(error: Exception) -> NoReturn:
    """End the command: the folder can't be read."""
    click.echo(f"cairnvane keyed: {error}", err=True)
    sys.exit(2)


@keyed.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read everything in FOLDER, a log's or a ledger's, and say what is damaged; nothing is changed. Status 1
    if a record may be lost.
    """
    try:
        claim_reports = [inspection.inspect(path) for path in inspection.claim_log_folders(folder)]
        log_report = verification.verify(OsFiles(folder))
    except (FolderError, NewerVersionError, OSError) as error:
        _fail(error)
    for claim_report in claim_reports:
        for line in claim_report.lines():
            click.echo(line)
    for line in log_report.lines():
        click.echo(line)
    is_damaged = log_report.is_damaged or any(claim_report.is_damaged for claim_report in claim_reports)
    sys.exit(1 if is_damaged else 0)


@keyed.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def show(folder: Path, as_json: bool) -> None:
    """List the keys in FOLDER, a log's or a ledger's, oldest first, and how each stands; results are not
    shown. What the log does not know stands behind, from the ledger.
    """
    try:
        rows = list(verification.show(OsFiles(folder)))
        keys_in_log = {row["token"] for row in rows}
        for path in inspection.claim_log_folders(folder):
            rows += [row for row in inspection.show(path) if row["token"] not in keys_in_log]
        for row in rows:
            text = "  ".join(f"{key}={value}" for key, value in row.items())
            click.echo(json.dumps(row) if as_json else text)
    except (FolderError, NewerVersionError, OSError) as error:
        _fail(error)


@keyed.command()
@FOLDER
def compact(folder: Path) -> None:
    """Rewrite FOLDER without what no longer counts. Not while a server uses it."""
    try:
        bytes_before, bytes_after = verification.compact(OsFiles(folder))
    except (FolderError, OSError) as error:
        _fail(error)
    click.echo(f"{bytes_before:,} bytes before, {bytes_after:,} after")
