"""The errors of the claim log, below one base class."""

from __future__ import annotations


class ClaimError(Exception):
    """Base of the errors that the claim log raises on its own account."""


class RecordTooLongError(ClaimError, ValueError):
    """A record's payload is longer than its length field can say."""


class FolderRemovedError(ClaimError, OSError):
    """Every segment of the folder vanished while it was being opened."""


class SegmentSealedError(ClaimError, OSError):
    """A record could not be placed before the seal of any segment that it was appended to."""
