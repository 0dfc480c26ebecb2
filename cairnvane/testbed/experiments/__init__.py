"""Experiments behind the verbs of `cairnvane lab`: each applies load and faults, checks, and reports."""
