"""What the store's caller sends to its writer thread."""

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
    progress: retention.NoticeProgress  # of the worker pool that the settled notices belong to
    fingerprint: bytes = b""  # of an end: the request fingerprint that the index shows
    settles: tuple[int, ...] = ()  # notices that need not be sent again once this is written
    needs_sync: bool = True  # someone waits until the record survives a power cut
    is_applied: bool = False  # the record counts, and is only written again


@dataclass(frozen=True, slots=True)
class FetchResult:
    """Read a stored result and call `then` with it, or with None if it is not available."""

    key: bytes
    fingerprint: bytes
    then: Callable[[bytes | None], None]


@dataclass(frozen=True, slots=True)
class CloseWriter:
    """Write what was sent before this, then end the thread."""


Message = WriteRecord | FetchResult | CloseWriter
