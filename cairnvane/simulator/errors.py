"""Errors of the simulator package."""

from __future__ import annotations


class ProtocolError(Exception):
    """A frame or a settings text violates the protocol. The message names the location and the value."""
