"""The command line `cairnvane`.

Exit status 0: success; 1: the command found a fault; 2: invalid usage or configuration.
"""

from __future__ import annotations

import click

from . import keyed, lab, members, serve, xds


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="cairnvane")
def main() -> None:
    """Run and inspect a bid server."""


main.add_command(serve.serve)
main.add_command(keyed.keyed)
main.add_command(lab.lab)
main.add_command(members.members)
main.add_command(xds.xds)
