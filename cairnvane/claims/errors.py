"""The errors of the claim log, with a common base class."""

from __future__ import annotations


class ClaimError(Exception):
    """Base class of the errors that are specific to the claim log."""


class RecordTooLongError(ClaimError, ValueError):
    """A record's payload is too long for its length field."""


class FolderRemovedError(ClaimError, OSError):
    """All segments of the folder were removed while they were being opened."""


class SegmentSealedError(ClaimError, OSError):
    """A record landed behind the seal of each segment that it was appended to."""
