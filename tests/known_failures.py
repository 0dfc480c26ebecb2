"""The list of known failures, `KNOWN-RED.txt`: faults that are not fixed yet, one entry each.

Each line consists of a test's id or the path of a review's case (`review/N/run.sh`), a colon, the cause, and
the issue in brackets. A listed test still runs; its failure is reported but does not fail the test run. A
case is only reported: no test run includes it.
"""

from __future__ import annotations

import re
from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
_SEPARATOR = ": "
_REVIEW_CASE = re.compile(r"review/[0-9]+/run\.sh")


class KnownFailuresError(Exception):
    """The list has an invalid line, or more entries than allowed."""


def _exists(entry: str) -> bool:
    """Whether there is this case of a review, or this test; a test's parameters in brackets are ignored."""
    if _REVIEW_CASE.fullmatch(entry):
        return (KNOWN_FAILURES_FILE.parent / entry).is_file()
    file, _, name = entry.partition("::")
    path = KNOWN_FAILURES_FILE.parent / file
    return path.is_file() and f"def {name.partition('[')[0]}(" in path.read_text()


def read_known_failures(path: Path = KNOWN_FAILURES_FILE) -> dict[str, str]:
    """The causes by test id or case; empty if the file does not exist."""
    if not path.exists():
        return {}
    causes: dict[str, str] = {}
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        entry, separator, cause = line.partition(_SEPARATOR)
        if not separator or not cause.strip():
            raise KnownFailuresError(f"{path.name}: no cause: {line}")
        if not _exists(entry):
            raise KnownFailuresError(f"{path.name}: no such test or case: {entry}")
        causes[entry] = cause.strip()
    if len(causes) > MAX_KNOWN_FAILURES:
        raise KnownFailuresError(f"{path.name}: {len(causes)} entries, {MAX_KNOWN_FAILURES} are allowed")
    return causes
