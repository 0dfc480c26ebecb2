"""Errors of the simulator package."""

from __future__ import annotations


class ProtocolError(Exception):
    """A frame or a settings text that violates the protocol. The message names the place and the value."""
