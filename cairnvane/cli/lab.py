"""`cairnvane lab`: experiments on the real program."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Experiments on the real program, with stand-ins for all that it talks to."""


@lab.command()
@click.option("--commits", type=click.IntRange(1), default=2_000, show_default=True, help="Keyed requests.")
@click.option("--kills", type=click.IntRange(0), default=40, show_default=True, help="Of the server.")
@click.option("--seed", type=int, default=7, show_default=True, help="For all that is left to chance.")
@click.option("--durability", type=click.Choice(["process", "power"]), default="process", show_default=True)
@click.option("--rate", type=click.FloatRange(1), default=250.0, show_default=True, help="Commits a second.")
@click.option("--disk-mb", type=click.IntRange(2), default=8, show_default=True, help="The keeper's bound.")
@click.option("--json", "json_file", type=click.Path(dir_okay=False, path_type=Path), help="For the report.")
@click.option("--mutant", default="", hidden=True, help="Take a part of the keeper out; see lab.victim.")
def restarts(
    commits: int, kills: int, seed: int, durability: str, rate: float, disk_mb: int, json_file: Path | None,
    mutant: str,
) -> None:
    """Kill the server under load and replay every commit: none may run twice, or be answered otherwise.

    Status 1 if one does."""
    from ..lab.restarts import Restarts

    with tempfile.TemporaryDirectory(prefix="cairnvane-lab-") as folder:
        experiment = Restarts(
            Path(folder), commits=commits, kills=kills, seed=seed, durability=durability, rate=rate,
            disk_mb=disk_mb, mutant=mutant, say=lambda line: click.echo(line, err=True))
        report = experiment.run()
    for line in report.lines():
        click.echo(line)
    if json_file is not None:
        json_file.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    sys.exit(0 if report.good else 1)
