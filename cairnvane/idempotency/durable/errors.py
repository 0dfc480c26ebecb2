"""The errors of the durable store. Their messages name the place and the value."""

from __future__ import annotations


class StorageError(Exception):
    """The base of all errors of the durable store."""


class FolderError(StorageError):
    """The folder is not usable as it is; one line that says why."""


class FolderInUseError(FolderError):
    """Another process owns the folder."""


class IndexFullError(StorageError):
    """More keys are within their window than the memory has room for."""


class RecordTooLargeError(StorageError, ValueError):
    """A record that fits into no block."""


class InvalidHeaderError(StorageError):
    """A file that is no segment, or one that this version is unable to read."""


class NewerVersionError(InvalidHeaderError):
    """A segment of a later version of the program: it must not be changed."""
