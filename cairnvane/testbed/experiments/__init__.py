"""Experiments behind the subcommands of `cairnvane lab`: each applies load and faults, and reports."""
