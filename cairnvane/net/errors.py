"""The base class of the errors of this package."""

from __future__ import annotations


class ProtocolError(Exception):
    """A peer sent data that violates its protocol or cannot be decoded."""
