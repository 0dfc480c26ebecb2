"""The messages that the store sends to its writer thread."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from . import retention
from .segment_log import Entry


@dataclass(slots=True)
class WriteRecord:
    """Write a record, then call `then`."""

    entry: Entry
    then: Callable[[], None] | None
    progress: retention.NoticeProgress  # of the worker pool that sent the notices in `settles`
    fingerprint: bytes = b""  # the request fingerprint, for the index; of ends only
    settles: tuple[int, ...] = ()  # notices that need not be sent again once the record is written
    needs_sync: bool = True  # `then` may be called only once the record survives a power cut
    is_applied: bool = False  # the record is in the index and in the counts, and is being written again


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Read a stored result and call `then` with it, or with None if it is not available."""

    key: bytes
    fingerprint: bytes
    then: Callable[[bytes | None], None]


@dataclass(frozen=True, slots=True)
class CloseWriter:
    """Write all records that were sent before this message, then end the thread."""


Message = WriteRecord | FetchResult | CloseWriter
