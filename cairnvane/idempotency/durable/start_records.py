"""Tracks the start records of runs without a recorded end. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping

from ...claims.states import Step
from .recovery import Run
from .retention import Segment


class StartRecords:
    """The segment and size of each live start record. Counts the bytes of superseded records."""

    def __init__(self) -> None:
        self._by_key: dict[bytes, tuple[Segment, int]] = {}

    def __contains__(self, key: bytes) -> bool:
        """Whether the key has a started run without a recorded end."""
        return key in self._by_key

    def restore(self, runs: Mapping[bytes, Run]) -> None:
        """Start from the runs that recovery has found."""
        self._by_key = {key: (run[0], run[1]) for key, run in runs.items()}

    def record_appended(self, step: Step, key: bytes, segment: Segment, size: int) -> None:
        """A record was appended: count the bytes that it supersedes."""
        if step is Step.INTENT:
            if key in self._by_key:
                segment.superseded_bytes += size
            else:
                self._by_key[key] = (segment, size)
        elif step in (Step.CALL, Step.LINK):
            segment.superseded_bytes += size
        else:
            start = self._by_key.pop(key, None)
            if start is not None:
                start_segment, start_size = start
                start_segment.superseded_bytes += start_size

    def segment_replaced(self, old: Segment, new: Segment) -> None:
        """A segment was compacted: its start records are in `new` now."""
        for key, (segment, size) in self._by_key.items():
            if segment is old:
                self._by_key[key] = (new, size)
