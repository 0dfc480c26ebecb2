"""The command line `cairnvane`.

Exit status 0: no fault; 1: a fault was found; 2: wrong use or configuration.
"""

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
