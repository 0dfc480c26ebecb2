"""The keeper: a thread that writes groups of records, and what the host asks of it.

The host thread puts records into a queue and never waits. The writer takes all that has come by now,
writes it in one write, syncs it where a power cut is to be survived, and only then says so. If the disk
fails, all that was not synced is kept and written again to a new segment, as soon as the disk takes it;
meanwhile no new key has room (`wait_us`), and what is under way waits for its record or for its due time.
"""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Protocol

from ... import clock
from ...claims import states
from ...claims.states import KeyState, RetryDecision, Step
from ...log_events import RESULTS_RECOVERED, STORE_WRITER_ENDED
from ..store import RecoveredState, StartedRun, StepObserver, StoredEntry
from . import index as places
from . import records, retention
from .index import Index
from .recovery import Recovery, TooLarge
from .segment_log import Entry, Owner, SegmentLog
from .segment_log import check as check_folder
from .storage import Files, FolderError, Handle, InUse

logger = logging.getLogger(__name__)

# So many records share a write; at any load seen they are far fewer.
MOST_GROUP = 256
# Space is looked after this often while something is written, and no more often.
LOOK_US = 500_000
# A writer without work looks up this often, to let go of what has aged.
IDLE_S = 1.0
# The process before may be seen to hold the folder a moment after its end.
LOCK_WAIT_S, LOCK_LOOK_S = 2.0, 0.02
# What is left has so long to be written when the process ends.
CLOSE_WAIT_S = 1.0
_OVERHEAD = 512  # bytes that a queued record takes beside its result


class Folder(Files, Protocol):
    """Files that can be owned."""

    def make(self) -> None:
        """Create the folder."""

    def lock(self) -> None:
        """Own it; `InUse` if another process does."""

    def unlock(self) -> None:
        """Let go of it."""


class _Unowned:
    """A folder that another process owns: read, and left as it is."""

    def __init__(self, files: Files) -> None:
        self.names, self.size, self.read = files.names, files.size, files.read

    def create(self, name: str) -> Handle:
        """Never."""
        raise AssertionError(name)

    def cut(self, name: str, size: int) -> None:
        """What seems torn is being written."""

    def replace(self, name: str, by: str) -> None:
        """Never."""

    def remove(self, name: str) -> None:
        """What seems left over is being made."""

    def sync_folder(self) -> None:
        """Never."""


@dataclass(slots=True)
class _Write:
    entry: Entry
    then: Callable[[], None] | None
    same: bytes = b""  # of an end: the digest that its entry in the index shows
    settles: tuple[int, ...] = ()  # notices that need not come again once it is written
    progress: retention.Progress | None = None  # of the pool that these are of
    needed: bool = True  # someone waits until it survives a power cut
    taken: bool = False  # it counts, and is only written again


@dataclass(frozen=True, slots=True)
class _Fetch:
    token: bytes
    same: bytes
    then: Callable[[bytes | None], None]


@dataclass(frozen=True, slots=True)
class _Close:
    pass


class DurableStore:
    """`keys.Keeper` on a folder of its own. Its points are "recovery", "rotation", "drop", "compaction" and
    "compacted", and "append", "written" or "synced" with the kind of a record in the group."""

    synchronous = False

    def __init__(
        self,
        files: Folder,
        name: str,
        boot: bytes,
        *,
        power: bool,
        disk_bytes: int,
        memory_bytes: int,
        unread: int,
        points: StepObserver | None = None,
    ) -> None:
        self._files, self._name, self._power = files, name, power
        self._most_disk, self._unread, self._points = disk_bytes, unread, points
        self._most_queued = int(retention.QUEUE_SHARE * memory_bytes)
        self._index_bytes = memory_bytes - self._most_queued
        self._index = Index(self._index_bytes)
        self._owner = Owner(name, boot)
        self._log = self._new_log(files)
        self._queue: SimpleQueue[_Write | _Fetch | _Close] = SimpleQueue()
        # Guards what host and writer both use: the index, the progress, and the sums.
        self._lock = threading.Lock()
        self._progress = retention.Progress()
        self._open_keys = self._queued = 0
        self._writing_since = 0  # 0: nothing is being written
        self._ready = self._failing = False
        self._failures = 0
        self._again: list[_Write] = []  # written, yet not known to survive
        self._looked = 0
        self._disk = 0
        self._first_drop_at: int | None = None
        self._thread = threading.Thread(target=self._run, name="keyed", daemon=True)
        self._stop = threading.Event()

    def _new_log(self, files: Files) -> SegmentLog:
        return SegmentLog(
            files,
            self._owner,
            most_disk=self._most_disk,
            power=self._power,
            unread=self._unread,
            points=self._point,
        )

    def check(self, beside: bool = False) -> None:
        """Own the folder; `FolderError` if it is another's, unless that process may serve `beside` this one.
        A failing disk may mend."""
        try:
            self._files.make()
            if beside:
                with contextlib.suppress(InUse):
                    self._files.lock()
            else:
                self._own()
            check_folder(self._files, self._name)
        except OSError as error:
            logger.warning("the folder can't be used yet: %s", error)

    def _own(self) -> None:
        end = time.monotonic() + LOCK_WAIT_S
        while True:
            try:
                return self._files.lock()
            except InUse:
                if time.monotonic() > end:
                    raise
            time.sleep(LOCK_LOOK_S)

    # --- what the host asks, from its thread

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
        held: Callable[[], bool] = lambda: False,
    ) -> None:
        """See `Keeper`. `held`, once: another process owns the folder, and what it has recorded so far has
        been read; if that says so, the folder is waited for."""
        self._recovered, self._delayed, self._lost, self._held = recovered, delayed, lost, held
        self._thread.start()

    def capacity_wait_us(self) -> int:
        """See `Keeper`."""
        now, since = clock.now(), self._writing_since
        with self._lock:
            first = self._index.oldest_end(now)
            load = retention.Load(
                ready=self._ready,
                failing=self._failing,
                writing_for=now - since if since else 0,
                entries=len(self._index),
                most_entries=self._index.capacity,
                first_end=None if first is None else first + self._unread,
                open_keys=self._open_keys,
                disk=self._disk,
                most_disk=self._most_disk,
                first_drop=None if self._first_drop_at is None else max(0, self._first_drop_at - now),
                queued=self._queued,
                most_queued=self._most_queued,
            )
        return retention.wait_us(load)

    def reserve(self) -> None:
        """See `Keeper`."""
        with self._lock:
            self._open_keys += 1

    def release(self) -> None:
        """See `Keeper`."""
        with self._lock:
            self._open_keys -= 1

    def record_start(
        self, begun: StartedRun, then: Callable[[], None], other: Callable[[bool], None]
    ) -> None:
        """See `Keeper`."""
        rest = records.put_intent(
            begun.uid, begun.fingerprint, begun.deadline, begun.memory, begun.class_name
        )
        self._put(_Write(Entry(Step.INTENT, begun.key, clock.now(), begun.expires_at, rest), then))

    def record_never_started(self, token: bytes, until: int, settles: tuple[int, ...]) -> None:
        """See `Keeper`."""
        entry = Entry(Step.NEVER, token, clock.now(), until, b"")
        self._put(_Write(entry, None, settles=settles, needed=False))

    def record_call(self, token: bytes, until: int, pos: int, then: Callable[[], None]) -> None:
        """See `Keeper`. A power cut ends the pool with us, and the run: only a kill has to be survived."""
        entry = Entry(Step.CALL, token, clock.now(), until, records.put_call(pos))
        self._put(_Write(entry, then, settles=(pos,), needed=False))

    def record_end(
        self,
        token: bytes,
        until: int,
        same: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """See `Keeper`."""
        step = Step.FAULT if result is None else Step.RESULT
        entry = Entry(step, token, clock.now(), until, records.put_end(same, result or b""))
        self._put(_Write(entry, then, same, settles, needed=result is not None))

    def notice_read(self, pos: int, owed: bool) -> None:
        """See `Keeper`."""
        with self._lock:
            self._progress.read(pos, owed)

    def pool_linked(self, pool_started: int) -> None:
        """See `Keeper`."""
        now = clock.now()
        entry = Entry(Step.LINK, records.NO_TOKEN, now, now, records.put_link(pool_started))
        self._put(_Write(entry, None, needed=False))

    def pool_replaced(self) -> None:
        """The pool is a new one: its notices are numbered anew."""
        with self._lock:
            self._progress = retention.Progress()

    def look_up(self, token: bytes, same: bytes, arrived: int) -> StoredEntry | None:
        """See `Keeper`."""
        with self._lock:
            found = self._index.get(token)
            if found is None or not self._index.counts(found[1], arrived):
                return None
        if not places.alike(found[0], same):
            raise ValueError("another class or body")
        gets = states.repeat(places.state(found[0]), True)
        return None if gets is RetryDecision.RUN else StoredEntry(token, gets is RetryDecision.RESULT)

    def knows(self, token: bytes) -> bool:
        """Whether an end of this token is recorded."""
        with self._lock:
            return self._index.get(token) is not None

    def settle(self, settles: tuple[int, ...]) -> None:
        """What these notices brought about is recorded elsewhere."""
        with self._lock:
            self._progress.written(settles)

    def peeked(self, token: bytes, same: bytes) -> bytes | None:
        """A result from a folder that another process owns; waits for the disk."""
        return self._fetch(_Fetch(token, same, lambda result: None))

    def fetch_result(self, token: bytes, same: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `Keeper`."""
        self._queue.put(_Fetch(token, same, then))

    def close(self) -> None:
        """See `Keeper`."""
        self._stop.set()
        self._queue.put(_Close())
        self._thread.join(CLOSE_WAIT_S)

    def _put(self, write: _Write) -> None:
        with self._lock:
            self._queued += len(write.entry.rest) + _OVERHEAD
            write.progress = self._progress
        self._queue.put(write)

    # --- the writer

    def _run(self) -> None:
        try:
            if self._take_up():
                while self._serve():
                    pass
        except Exception as error:  # whatever it was: without this thread no keyed answer ever goes out
            logger.error(STORE_WRITER_ENDED, type(error).__name__, error)
            self._failing = True
            self._lost(f"{type(error).__name__} {error}")
        finally:
            self._files.unlock()

    def _take_up(self) -> bool:
        """Read what an earlier life left, and again until the disk lets it; False if told to end first."""
        waited = False
        while True:
            try:
                self._files.make()
                self._files.lock()
                self._point("recovery")
                self._recover(waited)
                return True
            except InUse as error:
                if not waited:
                    self._peek()
                    if not self._held():
                        self._lost(str(error))
                        return False
                    waited = True
                if self._stop.wait(LOCK_LOOK_S):
                    return False
            except (FolderError, TooLarge) as error:
                self._lost(str(error))
                return False
            except OSError as error:
                if self._failures == 0:
                    self._delayed()
                if self._failed(error):
                    return False

    def _peek(self) -> None:
        """Read what the process that owns the folder has recorded so far."""
        while True:
            index, reader = Index(self._index_bytes), self._new_log(_Unowned(self._files))
            with contextlib.suppress(FileNotFoundError):  # it has just dropped a segment
                reader.recover(index, clock.now())
                break
        with self._lock:
            self._index, self._log = index, reader

    def _recover(self, waited: bool) -> None:
        start = clock.now()
        index, reader = (
            (Index(self._index_bytes), self._new_log(self._files)) if waited else (self._index, self._log)
        )  # what was peeked at answers until all is read anew
        recovery = reader.recover(index, start)
        left = recovery.conclude()
        with self._lock:
            self._index, self._log = index, reader
            if not waited:  # else the notices are those of this life's own pool
                self._progress = retention.Progress(left.last_notice)
            self._open_keys += len(left.started_runs)
            self._ready = True
        self._measure(clock.now())
        self._say_recovered(recovery, clock.now() - start)
        self._worked()
        self._recovered(left)

    def _say_recovered(self, recovery: Recovery, took: int) -> None:
        report, counts = self._log.report, recovery.counts
        for line in [*report.damaged, *report.torn, *report.foreign, *counts.illegal]:
            logger.warning("%s", line)
        logger.info(RESULTS_RECOVERED, len(self._index), len(recovery.runs), report.segments, took / 1e3)

    def _failed(self, error: OSError) -> bool:
        """Wait before the next try; True if told to end meanwhile."""
        self._failures += 1
        if not self._failing:  # said once, not with every try
            self._failing = True
            logger.info("the disk fails: %s; new keyed requests are refused until it works again", error)
        self._writing_since = 0
        return self._stop.wait(retention.retry_after(self._failures) / 1e6)

    def _worked(self) -> None:
        if self._failing:
            self._failing = False
            logger.info("the disk works again, after %s failures", self._failures)
        self._failures = 0

    def _serve(self) -> bool:
        """One group; False at the end."""
        try:
            first = self._queue.get(timeout=IDLE_S)
        except Empty:
            self._look(clock.now())
            return True
        group, fetches, more = self._gather(first)
        done = not group or self._write(group)
        for fetch in fetches:
            fetch.then(self._fetch(fetch))
        if not more or not done:
            self._end()
            return False
        self._look(clock.now())
        return True

    def _gather(self, first: _Write | _Fetch | _Close) -> tuple[list[_Write], list[_Fetch], bool]:
        """All that has come by now; whether more may come."""
        group: list[_Write] = []
        fetches: list[_Fetch] = []
        task = first
        while True:
            if isinstance(task, _Close):
                return group, fetches, False
            if isinstance(task, _Fetch):
                fetches.append(task)
            else:
                group.append(task)
            if len(group) >= MOST_GROUP:
                return group, fetches, True
            try:
                task = self._queue.get_nowait()
            except Empty:
                return group, fetches, True

    def _write(self, group: list[_Write]) -> bool:
        """Write a group until the disk has it, then say so to whoever waits; False if told to end first."""
        self._writing_since = clock.now()
        while True:
            try:
                self._write_once(group)
                break
            except OSError as error:
                self._log.abandon()
                group, self._again = [*self._again, *group], []
                if self._failed(error):
                    return False
                self._make_room()
                self._writing_since = clock.now()
        self._worked()
        self._writing_since = 0
        return True

    def _write_once(self, group: list[_Write]) -> None:
        self._point("append", group)
        placed = self._log.append(self._told(group), time.time_ns() // 1_000_000)
        self._point("written", group)
        if any(write.needed for write in group):
            self._log.sync()
            self._again = []
        elif self._power:
            self._again += group
        self._point("synced", group)
        self._take(group, placed)

    def _told(self, group: list[_Write]) -> list[Entry]:
        """The group's records, each with the notices that need not come again once it is written: its own is
        one of them, as are those of all before it."""
        entries = []
        with self._lock:
            for write in group:
                assert write.progress is not None
                write.progress.written(write.settles)  # which may be that of a pool before this one
                write.entry.pos = self._progress.pos
                entries.append(write.entry)
        return entries

    def _take(self, group: list[_Write], placed: list[tuple[int, int]]) -> None:
        """The group counts."""
        with self._lock:
            for write, (segment, offset) in zip(group, placed, strict=True):
                entry, step = write.entry, write.entry.step
                if not write.taken:
                    self._queued -= len(entry.rest) + _OVERHEAD
                    self._open_keys -= step in (Step.RESULT, Step.FAULT, Step.NEVER)
                if step in (Step.RESULT, Step.FAULT):
                    ended = KeyState.FINISHED if step is Step.RESULT else KeyState.FAILED
                    word = places.place(segment, offset, places.tag(write.same), ended)
                    self._index.put(entry.token, word, entry.until)
                write.taken = True
            self._disk = self._log.size
        for write in group:
            then, write.then = write.then, None  # what is written again has been told of
            if then is not None:
                then()

    def _fetch(self, fetch: _Fetch) -> bytes | None:
        """Its result. Where it stands is asked again: a compaction may have moved it."""
        with self._lock:
            found = self._index.get(fetch.token)
        if found is None or places.state(found[0]) is not KeyState.FINISHED:
            return None
        try:
            return self._log.fetch(found[0], fetch.token, fetch.same)
        except OSError as error:
            logger.warning("a result can't be read: %s", error)
            return None

    def _make_room(self) -> None:
        """A full disk may be full of what is ours and has aged."""
        with contextlib.suppress(OSError):
            self._log.drop(clock.now())

    def _look(self, now: int) -> None:
        """Let go of what has aged, and make room."""
        if now - self._looked < LOOK_US or self._failing:
            return
        self._looked = now
        with self._lock:
            self._index.expire(now - self._unread)
        try:
            self._log.drop(now)
            while self._log.compact_a_little(self._index, now) and self._queue.empty():
                pass
        except OSError as error:
            self._log.stop_compacting()  # what is being written is not at fault
            logger.warning("making room failed: %s", error)
        self._measure(now)

    def _measure(self, now: int) -> None:
        first = self._log.first_drop(now)
        with self._lock:
            self._disk = self._log.size
            self._first_drop_at = None if first is None else now + first

    def _end(self) -> None:
        try:
            self._log.close()
        except OSError as error:
            logger.warning("the last records may be lost: %s", error)

    def _point(self, name: str, group: list[_Write] | None = None) -> None:
        if self._points is None:
            return
        if group is None:
            return self._points(name)
        for step in sorted({write.entry.step for write in group}):
            self._points(f"{name} {step.name.lower()}")
