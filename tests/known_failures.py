"""The list of known failures, `KNOWN-RED.txt`: tests that fail because of a bug that is not fixed yet.

Each line consists of a test's id, a colon, the cause, and the issue in brackets. A listed test still runs;
its failure is reported but does not fail the test run.
"""

from __future__ import annotations

from pathlib import Path

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
_SEPARATOR = ": "


class KnownFailuresError(Exception):
    """The list has an invalid line, or more entries than allowed."""


def _exists(test_id: str) -> bool:
    """Whether the file contains a test function of this name; parameters in brackets are ignored."""
    file, _, name = test_id.partition("::")
    path = KNOWN_FAILURES_FILE.parent / file
    return path.is_file() and f"def {name.partition('[')[0]}(" in path.read_text()


def read_known_failures(path: Path = KNOWN_FAILURES_FILE) -> dict[str, str]:
    """The causes by test id; empty if the file does not exist."""
    if not path.exists():
        return {}
    causes: dict[str, str] = {}
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        test_id, separator, cause = line.partition(_SEPARATOR)
        if not separator or not cause.strip():
            raise KnownFailuresError(f"{path.name}: no cause: {line}")
        if not _exists(test_id):
            raise KnownFailuresError(f"{path.name}: no such test: {test_id}")
        causes[test_id] = cause.strip()
    if len(causes) > MAX_KNOWN_FAILURES:
        raise KnownFailuresError(f"{path.name}: {len(causes)} tests, {MAX_KNOWN_FAILURES} are allowed")
    return causes
