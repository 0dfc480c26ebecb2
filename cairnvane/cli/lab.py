"""`cairnvane lab`: runs the testbed's experiments, and prints their reports.

Each command imports its experiment only when it is called.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NoReturn, Protocol

import click

# The name prefix of an experiment's temporary folder.
FOLDER_PREFIX = "cairnvane-lab-"

_report_file = click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the report to this file.",
)


@click.group()
def lab() -> None:
    """Run experiments on the real server, with stand-ins for its peers."""


class _Report(Protocol):
    """The report of an experiment."""

    @property
    def good(self) -> bool:
        """Whether no rule was broken."""

    def lines(self) -> list[str]:
        """The report for a terminal."""

    def as_json(self) -> dict[str, Any]:
        """The report for a program."""


def _print_progress(line: str) -> None:
    click.echo(line, err=True)


def _check_choices(option: str, chosen: Iterable[str], choices: Sequence[str]) -> None:
    """Raise `click.BadParameter` for the first value that is not a valid choice of the option."""
    for value in chosen:
        if value not in choices:
            raise click.BadParameter(f"{value!r} is none of {', '.join(choices)}", param_hint=option)


def _finish(report: _Report, json_file: Path | None) -> NoReturn:
    """Print the report, write it to the file if there is one, and exit with its status."""
    for line in report.lines():
        click.echo(line)
    if json_file is not None:
        json_file.write_text(json.dumps(report.as_json(), indent=1) + "\n")
    sys.exit(0 if report.good else 1)


@lab.command()
@click.option(
    "--commits", type=click.IntRange(1), default=2_000, show_default=True, help="Number of keyed requests."
)
@click.option(
    "--kills", type=click.IntRange(0), default=40, show_default=True, help="Number of kills of the server."
)
@click.option("--seed", type=int, default=7, show_default=True, help="Seed of the random choices.")
@click.option("--durability", type=click.Choice(["process", "power"]), default="process", show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1), default=250.0, show_default=True, help="Commits per second."
)
@click.option(
    "--disk-mb", type=click.IntRange(2), default=8, show_default=True, help="Disk limit of the result store."
)
@_report_file
@click.option(
    "--mutant", default="", hidden=True, help="Disable one part of the store; see the instrumented server."
)
def restarts(
    commits: int,
    kills: int,
    seed: int,
    durability: str,
    rate: float,
    disk_mb: int,
    json_file: Path | None,
    mutant: str,
) -> None:
    """Kill the server under load and retry every commit: none may run twice or get a different answer.

    Status 1 if one does.
    """
    from ..testbed.experiments.restarts import Restarts

    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        experiment = Restarts(
            Path(folder),
            commits=commits,
            kills=kills,
            seed=seed,
            durability=durability,
            rate=rate,
            disk_mb=disk_mb,
            mutant=mutant,
            say=_print_progress,
        )
        report = experiment.run()
    _finish(report, json_file)


@lab.command()
@click.option("--rounds", type=click.IntRange(1), default=20, show_default=True, help="Number of upgrades.")
@click.option(
    "--commits",
    type=click.IntRange(1),
    default=10_000,
    show_default=True,
    help="Minimum number of keyed requests.",
)
@click.option("--kill", is_flag=True, help="Also kill, stop and roll back versions.")
@click.option("--forge", is_flag=True, help="Send some attempts with a different body under a known token.")
@click.option(
    "--silent",
    type=click.IntRange(0),
    default=0,
    show_default=True,
    help="Number of hostile clients of the administration endpoint.",
)
@click.option("--seed", type=int, default=7, show_default=True, help="Seed of the random choices.")
@click.option(
    "--durability",
    type=click.Choice(["memory", "process", "power"]),
    default="memory",
    show_default=True,
    help="How results are stored; memory: only for concurrent incarnations.",
)
@click.option(
    "--rate", type=click.FloatRange(1), default=150.0, show_default=True, help="Commits per second."
)
@_report_file
@click.option(
    "--mutant", default="", hidden=True, help="Disable one part of the store; see the instrumented server."
)
def upgrade(
    rounds: int,
    commits: int,
    kill: bool,
    forge: bool,
    silent: int,
    seed: int,
    durability: str,
    rate: float,
    json_file: Path | None,
    mutant: str,
) -> None:
    """Upgrade the server repeatedly under load: no commit may run twice, no forged commit may be served, and
    the administration endpoint must answer.

    Status 1 if a check fails.
    """
    from ..testbed.experiments.upgrades import Upgrades

    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        experiment = Upgrades(
            Path(folder),
            rounds=rounds,
            commits=commits,
            kill=kill,
            forge=forge,
            silent=silent,
            seed=seed,
            durability=durability,
            rate=rate,
            mutant=mutant,
            say=_print_progress,
        )
        report = experiment.run()
    _finish(report, json_file)


@lab.command()
@click.option("--trouble", "kinds", multiple=True, help="Run only this kind; may be given more than once.")
@click.option(
    "--rate",
    "rates",
    type=click.FloatRange(0.1, 200),
    multiple=True,
    help="First attempts per second; may be given more than once.",
)
@_report_file
def recovery(kinds: tuple[str, ...], rates: tuple[float, ...], json_file: Path | None) -> None:
    """Simulate one server's recovery from faults of the worker pool and the vault on a virtual clock.

    Status 1 if it does not recover from a fault.
    """
    from ..testbed.experiments import recovery as experiment

    _check_choices("--trouble", kinds, experiment.KINDS)
    _finish(experiment.play(kinds or experiment.KINDS, rates or experiment.RATES), json_file)


def _parse_seeds(_context: click.Context, _parameter: click.Parameter, text: str) -> range:
    first, separator, last = text.partition("-")
    if not first.isdecimal() or (separator and not last.isdecimal()):
        raise click.BadParameter(f"{text!r} is neither a number nor a range like 1-50")
    seeds = range(int(first), int(last if separator else first) + 1)
    if not seeds:
        raise click.BadParameter(f"{text!r} is empty")
    return seeds


@lab.command()
@click.option(
    "--seeds", callback=_parse_seeds, default="1-10", show_default=True, help="One seed, or a range."
)
@click.option("--seed", type=click.IntRange(0), help="Run only this seed.")
@click.option(
    "--seconds",
    type=click.FloatRange(8, 3_600),
    default=15.0,
    show_default=True,
    help="Duration of the load for each seed.",
)
@click.option(
    "--nodes", type=click.IntRange(1, 24), default=4, show_default=True, help="Maximum number of servers."
)
@click.option(
    "--parallel",
    type=click.IntRange(1, 16),
    default=1,
    show_default=True,
    help="Number of seeds run at a time.",
)
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Folder for the logs of failed seeds."
)
@_report_file
@click.option("--mutant", default="", hidden=True, help="Disable one safeguard; see the instrumented server.")
def soak(
    seeds: range,
    seed: int | None,
    seconds: float,
    nodes: int,
    parallel: int,
    keep: Path | None,
    json_file: Path | None,
    mutant: str,
) -> None:
    """Run random scenarios with overlapping faults, one per seed, and check all rules.

    Status 1 if a rule is broken with any seed.
    """
    from ..testbed.soak import runner
    from ..testbed.soak.drawing import Bounds

    report = runner.run(
        seeds if seed is None else [seed],
        Bounds(seconds, nodes),
        parallel=parallel,
        keep=keep,
        mutant=mutant,
        say=click.echo,
    )
    _finish(report, json_file)


@lab.command()
@click.argument("scenario", required=False, type=click.Path(path_type=Path))
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random choices.")
@click.option(
    "--events",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the recorded events to this file.",
)
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the verdict to this file.",
)
@click.option("--check", is_flag=True, help="Only read the scenario and print its schedule.")
def fleet(scenario: Path | None, seed: int, events: Path | None, json_file: Path | None, check: bool) -> None:
    """Run several servers under load with injected faults, and check the events that their peers recorded.

    Without a SCENARIO (YAML, docs/testbed.md), a short default is run: three servers, of which one is killed
    and restarted. Status 1 if a rule is broken or an expectation of the scenario is not met, 2 if the file is
    invalid.
    """
    from ..config import ConfigurationError
    from ..testbed.cluster import scenario_file as scenarios
    from ..testbed.cluster.scenario_run import ScenarioRun
    from ..testbed.cluster.schedule import draw

    try:
        plan = scenarios.load(scenario if scenario is not None else scenarios.shipped())
    except ConfigurationError as error:
        click.echo(f"cairnvane: {error}", err=True)
        sys.exit(2)
    if check:
        for step in draw(plan, seed):
            click.echo(f"{step.at:6.1f} s  {step.line()}")
        return
    click.echo(f"{plan.name}: {plan.servers} servers, {plan.seconds:g} s, seed {seed}", err=True)
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        report = ScenarioRun(plan, seed, Path(folder), events=events, say=_print_progress).run()
    _finish(report, json_file)


@lab.command()
@click.option(
    "--datagrams", type=click.IntRange(1), default=1_000_000, show_default=True, help="Number of datagrams."
)
@click.option("--seed", type=int, default=7, show_default=True, help="Seed of the random choices.")
@_report_file
def fuzz(datagrams: int, seed: int, json_file: Path | None) -> None:
    """Send truncated, altered, replayed, implausible and foreign datagrams to a membership channel.

    Status 1 if one raises an error or changes the members' state, or if memory grows.
    """
    from ..testbed.experiments.fuzz import fuzz as run

    _finish(run(datagrams, seed, say=_print_progress), json_file)


@lab.command()
@click.option("--members", type=click.IntRange(2, 5), default=3, show_default=True, help="Number of members.")
@click.option(
    "--depth",
    type=click.IntRange(1, 12),
    default=4,
    show_default=True,
    help="Maximum number of steps in a path.",
)
@click.option("--from", "beginnings", multiple=True, help="Explore only from this initial state.")
@click.option(
    "--most",
    type=click.IntRange(1),
    default=200_000,
    show_default=True,
    help="Maximum number of states per worker.",
)
@click.option("--workers", type=click.IntRange(1), help="Number of processes; default: one per core.")
@click.option("--mutant", default="", help="Disable one rule; the search must then find a violation.")
@_report_file
def explore(
    members: int,
    depth: int,
    beginnings: tuple[str, ...],
    most: int,
    workers: int | None,
    mutant: str,
    json_file: Path | None,
) -> None:
    """Model-check a small cluster: every order of messages, losses, duplicates, restarts and departures up to
    a depth.

    Status 1 if an invariant is violated, or if the violation of a mutant is not found.
    """
    from ..testbed.simulation import model_checker

    _check_choices("--from", beginnings, model_checker.BEGINNINGS)
    _check_choices("--mutant", [mutant] if mutant else [], tuple(model_checker.MUTANTS))
    _finish(
        model_checker.explore(
            members,
            depth,
            beginnings=beginnings or model_checker.BEGINNINGS,
            mutant=mutant,
            most=most,
            workers=workers,
            say=_print_progress,
        ),
        json_file,
    )


@lab.command()
@click.option("--trouble", "kinds", multiple=True, help="Run only this kind; may be given more than once.")
@click.option(
    "--servers",
    "sizes",
    type=click.IntRange(1, 24),
    multiple=True,
    default=(6, 12),
    show_default=True,
    help="Number of servers; may be given more than once.",
)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True)
@_report_file
def overload(kinds: tuple[str, ...], sizes: tuple[int, ...], seeds: int, json_file: Path | None) -> None:
    """Overload a cluster whose balancers retry at other servers: measures the served requests, the attempts,
    the calls to a failing vault, and the recovery time.

    Status 1 if a rule is broken.
    """
    from ..testbed.experiments import overload as experiment

    _check_choices("--trouble", kinds, experiment.TROUBLES)
    _finish(
        experiment.measure(
            kinds or experiment.TROUBLES,
            sizes,
            range(1, seeds + 1),
            say=_print_progress,
        ),
        json_file,
    )


@lab.command()
@click.option(
    "--servers",
    "sizes",
    type=click.IntRange(2, 1_000),
    multiple=True,
    default=(6, 12),
    show_default=True,
    help="Number of servers; may be given more than once.",
)
@click.option("--seeds", type=click.IntRange(1), default=10, show_default=True)
@_report_file
def shares(sizes: tuple[int, ...], seeds: int, json_file: Path | None) -> None:
    """Simulate a cluster-wide vault limit in virtual time: quota leases, compared with fixed quotas and
    quotas by the number of visible members.

    Status 1 if the quotas with leases ever exceed the limit.
    """
    from ..testbed.experiments.shares import measure

    _finish(measure(sizes, seeds, say=_print_progress), json_file)


@lab.command()
@click.option(
    "--members",
    "sizes",
    type=click.IntRange(2, 2_000),
    multiple=True,
    default=(12, 200),
    show_default=True,
    help="Number of members; may be given more than once.",
)
@click.option(
    "--loss",
    "losses",
    type=click.FloatRange(0, 0.9),
    multiple=True,
    default=(0.0, 0.05, 0.3),
    show_default=True,
    help="The share of lost datagrams; may be given more than once.",
)
@click.option("--seeds", type=click.IntRange(1), default=10, show_default=True)
@click.option(
    "--case",
    "special_cases",
    type=click.Choice(["join", "third", "flap"]),
    multiple=True,
    help="Run instead: all join at once, a third fails at once, one in twenty keeps restarting.",
)
@_report_file
def members(
    sizes: tuple[int, ...],
    losses: tuple[float, ...],
    seeds: int,
    special_cases: tuple[str, ...],
    json_file: Path | None,
) -> None:
    """Simulate membership in virtual time, compared with heartbeats to all members and probes without
    suspicion: measures detection time, false positives and message cost.

    Status 1 if the real protocol misses a kill or declares a live member failed.
    """
    from ..testbed.simulation.membership import cases, measure

    if special_cases:
        _finish(cases(sizes, seeds, special_cases, say=_print_progress), json_file)
    _finish(measure(sizes, losses, seeds, say=_print_progress), json_file)
