"""`cairnvane`: the command line. Status 0: good; 1: something wrong was found; 2: wrong use or
configuration."""

from __future__ import annotations

import click

from . import keyed, lab, members, serve, xds


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cairnvane")
def main() -> None:
    """A bid server, and what belongs to it."""


main.add_command(serve.serve)
main.add_command(keyed.keyed)
main.add_command(lab.lab)
main.add_command(members.members)
main.add_command(xds.xds)
