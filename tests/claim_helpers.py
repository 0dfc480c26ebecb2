"""Helpers for tests of the claim log: records, incarnations that share a folder, and failing folders."""

from __future__ import annotations

import errno
import os
import threading
from collections.abc import Callable
from enum import Enum
from pathlib import Path

from peers import WAIT_S

from cairnvane import clock
from cairnvane.claims import ClaimLog, Incarnations
from cairnvane.claims.claim_table import RecordLocation
from cairnvane.claims.records import Record
from cairnvane.claims.states import Step
from cairnvane.claims.storage import OsFolder, Segment
from cairnvane.idempotency.store import StartedRun, StoredEntry

KEY = b"t" * 16
OTHER_KEY = b"o" * 16
FINGERPRINT = b"s" * 16
FORGED_FINGERPRINT = b"f" * 16
MAX_READ_DELAY_US = 5_000_000
KEY_LIFETIME_US = 60_000_000
FIRST_LOCATION = RecordLocation(1, 0, 0)
CLAIM_LOG_FOLDER = "ledger"


def claim_record(incarnation: int, made_at: int, expires_at: int = 1_000) -> Record:
    """A claim of `KEY`."""
    return Record(Step.INTENT, incarnation, KEY, made_at, expires_at, FINGERPRINT)


def end_record(incarnation: int, made_at: int, step: Step) -> Record:
    """A record that ends or gives up a claim made by `claim_record`."""
    return Record(step, incarnation, KEY, made_at, 1_000, FINGERPRINT)


class Start(Enum):
    """The result of an attempt to start a run."""

    STARTED = "started"
    CLAIMED_ELSEWHERE = "claimed by another incarnation"
    NOT_RECORDED = "could not be recorded"


class ServerIncarnation:
    """One process of the server, as far as the claim log is concerned."""

    def __init__(self, path: Path, folder: OsFolder) -> None:
        self.incarnations = Incarnations(path / "lives")
        self.incarnations.enter()
        self.claim_log = ClaimLog(folder, self.incarnations, MAX_READ_DELAY_US)
        self.claim_log.open()
        self.claim_log.start(lambda state: None, lambda: None, lambda reason: None)
        self.expires_at: dict[bytes, int] = {}

    def start_run(
        self, key: bytes = KEY, fingerprint: bytes = FINGERPRINT, expires_at: int | None = None
    ) -> Start:
        """Claim a key to run its request."""
        outcomes: list[Start] = []
        expires_at = expires_at or clock.now() + KEY_LIFETIME_US
        run = StartedRun(key, "a1", "write", fingerprint, expires_at, expires_at, 1.0, 0)
        self.claim_log.record_start(
            run,
            lambda: outcomes.append(Start.STARTED),
            lambda is_claimed: outcomes.append(Start.CLAIMED_ELSEWHERE if is_claimed else Start.NOT_RECORDED),
        )
        self.expires_at[key] = expires_at
        [outcome] = outcomes
        return outcome

    def end_run(self, result: bytes | None, key: bytes = KEY) -> None:
        """End a run with a result or, with None, without one."""
        self.claim_log.record_end(key, self.expires_at[key], FINGERPRINT, result, (), lambda: None)

    def give_up_run(self, key: bytes = KEY) -> None:
        """Record that a claimed run never started."""
        self.claim_log.record_never_started(key, self.expires_at[key], ())

    def look_up(self, fingerprint: bytes = FINGERPRINT, key: bytes = KEY) -> StoredEntry | None:
        """Look up the original of a request that arrives now."""
        return self.claim_log.look_up(key, fingerprint, clock.now())

    def request_result(
        self, key: bytes = KEY, fingerprint: bytes = FINGERPRINT
    ) -> Callable[[], bytes | None]:
        """Request a run's result; the returned function waits for it."""
        answers: list[bytes | None] = []
        is_answered = threading.Event()

        def answer(result: bytes | None) -> None:
            answers.append(result)
            is_answered.set()

        self.claim_log.fetch_result(key, fingerprint, answer)

        def wait() -> bytes | None:
            assert is_answered.wait(WAIT_S)
            return answers[0]

        return wait

    def fetch_result(self, key: bytes = KEY, fingerprint: bytes = FINGERPRINT) -> bytes | None:
        """Request a run's result, and wait for it."""
        return self.request_result(key, fingerprint)()

    def run_housekeeping(self) -> None:
        """Run the tasks that are due at each heartbeat."""
        with self.claim_log._lock:
            self.claim_log._housekeeping.run_tasks()

    def retry_now(self) -> None:
        """End the retry delay of a failed folder, so that its next use tries it again."""
        self.claim_log._writer._retry_at = 0

    def kill(self) -> None:
        """Simulate a kill: the lock is released, and nothing more is written."""
        self.claim_log._closed = True
        assert self.incarnations._fd is not None
        os.close(self.incarnations._fd)
        self.incarnations._fd = None
        self.incarnations.heartbeat = lambda: None  # type: ignore[method-assign]

    def stop(self) -> None:
        """Stop the incarnation in an orderly way."""
        self.claim_log.close()
        self.incarnations.leave()


class Deployment:
    """A folder, and all incarnations of the server that use it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.claim_log_folder = path / CLAIM_LOG_FOLDER
        self.incarnations: list[ServerIncarnation] = []

    def start_incarnation(self, folder: OsFolder | None = None) -> ServerIncarnation:
        """Start one more incarnation; `folder` replaces its folder, for example with a failing one."""
        self.incarnations.append(ServerIncarnation(self.path, folder or OsFolder(self.claim_log_folder)))
        return self.incarnations[-1]

    def stop(self) -> None:
        """Stop all incarnations."""
        for incarnation in self.incarnations:
            incarnation.stop()


class FailingFolder(OsFolder):
    """A folder whose next `failures` appends fail after writing only a part of their data."""

    failures = 0
    written_part = 2 / 3

    def open(self, number: int, create: bool) -> Segment:
        segment = super().open(number, create)
        append = segment.append

        def append_or_fail(data: bytes) -> None:
            if self.failures:
                self.failures -= 1
                append(data[: int(len(data) * self.written_part)])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            append(data)

        segment.append = append_or_fail  # type: ignore[method-assign]
        return segment


class Killed(BaseException):
    """Raised at the point where the simulated process is killed."""


class KillingFolder(OsFolder):
    """A folder whose process is killed at a given step.

    The steps are before, in the middle of and after a write, and before a file is created or removed.
    """

    steps = 0
    kill_at = -1

    def is_kill_step(self) -> bool:
        """Count a step; return whether the process is killed at it."""
        self.steps += 1
        return self.steps - 1 == self.kill_at

    def open(self, number: int, create: bool) -> Segment:
        if create and self.is_kill_step():
            raise Killed
        segment = super().open(number, create)
        append = segment.append

        def append_or_kill(data: bytes) -> None:
            for part in (0, len(data) // 2, len(data)):
                if self.is_kill_step():
                    if part:
                        append(data[:part])
                    raise Killed
            append(data)

        segment.append = append_or_kill  # type: ignore[method-assign]
        return segment

    def remove(self, number: int) -> None:
        if self.is_kill_step():
            raise Killed
        super().remove(number)
