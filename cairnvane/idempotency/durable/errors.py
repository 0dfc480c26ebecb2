"""The errors of the durable store. Their messages name the file or key and the value that is wrong."""

from __future__ import annotations


class StorageError(Exception):
    """The base of all errors of the durable store."""


class FolderError(StorageError):
    """The folder is not usable; the message is one line with the reason."""


class FolderInUseError(FolderError):
    """Another process owns the folder."""


class IndexFullError(StorageError):
    """More keys are within their window than the index has room for."""


class RecordTooLargeError(StorageError, ValueError):
    """A record is larger than a block allows."""


class InvalidHeaderError(StorageError):
    """The file is not a segment, or not one that this version can read."""


class NewerVersionError(InvalidHeaderError):
    """The segment was written by a later version of the program and must not be changed."""
