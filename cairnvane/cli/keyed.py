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
    """Inspect and compact the stored results of keyed requests."""


def _fail(error: Exception) -> NoReturn:
    """Exit with status 2 because the folder can't be read."""
    click.echo(f"cairnvane keyed: {error}", err=True)
    sys.exit(2)


@keyed.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all records in FOLDER, of a log or a ledger, and report damage; nothing is changed. Status 1 if a
    record may be lost.
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
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def show(folder: Path, as_json: bool) -> None:
    """List the keys in FOLDER, of a log or a ledger, oldest first, with their states but without results.
    Keys that are only in the ledger follow those of the log.
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
    """Rewrite FOLDER without obsolete records. Fails while a server uses it."""
    try:
        bytes_before, bytes_after = verification.compact(OsFiles(folder))
    except (FolderError, OSError) as error:
        _fail(error)
    click.echo(f"{bytes_before:,} bytes before, {bytes_after:,} after")
