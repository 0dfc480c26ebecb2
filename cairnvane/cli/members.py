"""`cairnvane members`: shows the members of a cluster as seen by one server."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from http import HTTPStatus
from typing import Any

import click

TIMEOUT_S = 2.0
INCARNATION_DIGITS = 6  # the last digits, which differ between incarnations
MILLISECONDS_PER_SECOND = 1e3
TOGETHER = "together"  # the verdict of a server that is not partitioned from the other members


def _last_heard(member: dict[str, Any]) -> str:
    if member["heard_ms"] is None:
        return "never"
    return f"{member['heard_ms'] / MILLISECONDS_PER_SECOND:.1f} s ago"


def _own_line(snapshot: dict[str, Any]) -> str:
    own = snapshot["own"]
    sight = snapshot["sight"]
    health = f"doubt {snapshot['doubt']}" if snapshot["doubt"] else "well"
    return (
        f"{own['name']} (life {own['life'][-INCARNATION_DIGITS:]}) at {own['address']}: {sight['verdict']}, "
        f"confidence {sight['confidence']:.2f}, epoch {sight['epoch']}; surely there {sight['least']}, "
        f"at most {sight['most']}; its own health: {health}"
    )


def _member_line(member: dict[str, Any]) -> str:
    return (
        f"  {member['name']:12} {member['life'][-INCARNATION_DIGITS:]:6} {member['status']:8} "
        f"{member['phase']:9} {member['incarnation']:11} {_last_heard(member):>12}  {member['place']}"
    )


def lines(snapshot: dict[str, Any]) -> list[str]:
    """Format the server's JSON description of the members for a terminal."""
    head = f"  {'member':12} {'life':6} {'status':8} {'phase':9} {'incarnation':>11} {'heard':>12}  serves at"
    return [_own_line(snapshot), head, *map(_member_line, snapshot["members"])]


def _fetch(administration: str) -> dict[str, Any]:
    """Fetch the members from the server at this address; raises `click.ClickException` on failure."""
    try:
        with urllib.request.urlopen(f"http://{administration}/-/members", timeout=TIMEOUT_S) as response:
            snapshot: dict[str, Any] = json.load(response)
    except urllib.error.HTTPError as error:
        reason = str(error)
        if error.code == HTTPStatus.NOT_FOUND:
            reason = "membership is not enabled; add `members` to the server's operator file"
        raise click.ClickException(f"{administration}: {reason}") from None
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{administration}: {error}") from None
    return snapshot


@click.command()
@click.option("--door", required=True, metavar="HOST:PORT", help="The administration endpoint of a server.")
@click.option("--json", "as_json", is_flag=True, help="Print the server's JSON description.")
def members(door: str, as_json: bool) -> None:
    """Show the members that a server knows, their states, and whether the server is partitioned from them.

    Status 1 if its verdict is not `together`, or it cannot be reached.
    """
    snapshot = _fetch(door)
    click.echo(json.dumps(snapshot, indent=1) if as_json else "\n".join(lines(snapshot)))
    sys.exit(0 if snapshot["sight"]["verdict"] == TOGETHER else 1)
