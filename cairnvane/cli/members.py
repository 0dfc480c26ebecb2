"""`cairnvane members`: who is there, as one server sees it."""

from __future__ import annotations

import json
import sys
import urllib.error
import urllib.request
from typing import Any

import click

WAIT_S = 2.0


def _age(told: dict[str, Any]) -> str:
    return "never" if told["heard_ms"] is None else f"{told['heard_ms'] / 1e3:.1f} s ago"


def lines(told: dict[str, Any]) -> list[str]:
    """For a terminal."""
    own, sight = told["own"], told["sight"]
    health = f"doubt {told['doubt']}" if told["doubt"] else "well"
    shown = [
        f"{own['name']} (life {own['life'][-6:]}) at {own['address']}: {sight['verdict']}, "
        f"confidence {sight['confidence']:.2f}, epoch {sight['epoch']}; surely there {sight['least']}, "
        f"at most {sight['most']}; its own health: {health}"
    ]
    head = f"  {'member':12} {'life':6} {'status':8} {'phase':9} {'incarnation':>11} {'heard':>12}  serves at"
    return [
        *shown,
        head,
        *(
            f"  {one['name']:12} {one['life'][-6:]:6} {one['status']:8} {one['phase']:9} "
            f"{one['incarnation']:11} {_age(one):>12}  {one['place']}"
            for one in told["members"]
        ),
    ]


@click.command()
@click.option("--door", required=True, metavar="HOST:PORT", help="The operators' door of a server.")
@click.option("--json", "as_json", is_flag=True, help="As the server tells it.")
def members(door: str, as_json: bool) -> None:
    """Show which servers one server knows, who failed, and whether it is cut off.

    Status 1 if it thinks that it is cut off, or can't be asked."""
    try:
        with urllib.request.urlopen(f"http://{door}/-/members", timeout=WAIT_S) as answer:
            told = json.load(answer)
    except urllib.error.HTTPError as error:
        why = "it has no members: turn them on in its operator's file" if error.code == 404 else str(error)
        raise click.ClickException(f"{door}: {why}") from None
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{door}: {error}") from None
    click.echo(json.dumps(told, indent=1) if as_json else "\n".join(lines(told)))
    sys.exit(0 if told["sight"]["verdict"] == "together" else 1)
