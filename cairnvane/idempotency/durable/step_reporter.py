"""Reports the named steps of the store's work to an observer, if there is one."""

from __future__ import annotations

from collections.abc import Sequence

from ..store import StepObserver
from .messages import WriteRecord


class StepReporter:
    """Reports steps by name.

    The steps that concern the folder are "recovery", "rotation", "drop", "compaction" and "compacted". Those
    of a group of records are "append", "written" and "synced", each followed by the kind of a record in the
    group.
    """

    def __init__(self, observer: StepObserver | None) -> None:
        self._observer = observer

    def report(self, name: str) -> None:
        """Report a step that concerns the folder."""
        if self._observer is not None:
            self._observer(name)

    def report_group(self, name: str, group: Sequence[WriteRecord]) -> None:
        """Report a step of a group of records, once for each kind of record in it."""
        if self._observer is None:
            return
        for step in sorted({write.entry.step for write in group}):
            self._observer(f"{name} {step.name.lower()}")
