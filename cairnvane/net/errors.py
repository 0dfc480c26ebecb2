"""The base of this package's errors."""

from __future__ import annotations


class ProtocolError(Exception):
    """A peer sent what its protocol does not allow, or what can't be read."""
