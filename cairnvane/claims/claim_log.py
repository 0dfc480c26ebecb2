"""The keeper of keys of the lives side by side: a `keys.Keeper` on the ledger.

Records are written where they come up, in the host's thread: a write into the page cache takes microseconds,
and to wake another thread for it a hundred times that. A claim counts only once it is read back in its place
in the order. If the folder fails, a life that is alone goes on in memory and says later what was not written;
one beside others takes no new key on, since they could not know of it.
"""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from .. import clock
from ..idempotency.store import RecoveredState, StartedRun, StoredEntry
from . import records
from .claim_table import ClaimTable, Entry, Place
from .incarnations import BEAT_S, Incarnations, Liveness
from .records import SEAL, Record
from .states import KeyState, Step
from .storage import Folder, Segment

logger = logging.getLogger(__name__)

# A segment is sealed when it has grown to this: small, since it is dropped whole, and counts as memory.
SEGMENT_BYTES = 512 << 10
# What all segments may take; beyond it no new key is taken on. At the site's rate they take a tenth of it.
MOST_BYTES = 16 << 20
# A claim that comes behind a seal is made again in the next segment; no one is so unlucky so often.
TRIES = 16
# While a try waits for another life's end, that is looked for this often.
LOOK_S = 0.02
# A folder that failed is left alone for so long before it is tried again.
RETRY_US = 100_000
# How long callers are told to stay away while no key can be taken on.
AWAY_US = 500_000


@dataclass(slots=True)
class _Open:
    """A segment, and how far it has been read."""

    number: int
    file: Segment
    offset: int = 0
    seen: int = 0  # its size when it was last read


@dataclass(frozen=True, slots=True)
class _Waiting:
    token: bytes
    same: bytes
    then: Callable[[bytes | None], None]


class ClaimLog:
    """See `keys.Keeper`. Safe to call from any thread."""

    synchronous = True

    def __init__(
        self, folder: Folder, lives: Incarnations, unread: int, most_bytes: int = MOST_BYTES
    ) -> None:
        self._folder, self._lives, self._most = folder, lives, most_bytes
        self._life = lives.life
        self._machine = ClaimTable(unread)
        self._segments: dict[int, _Open] = {}  # oldest first
        self._current: _Open
        self._counted = 0  # records of this life that were read back where they count
        self._unsaid: list[Record] = []  # what the folder did not take
        self._failing = False
        self._retry_at = 0
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._waiting: list[_Waiting] = []
        self._closed = False

    def open(self) -> None:
        """Read what there is; `OSError` if the folder can't be had, `record.NewerVersion` if lives of a
        later version of the program write there."""
        with self._lock:
            self._folder.make()
            self._load()

    def start(
        self,
        recovered: Callable[[RecoveredState], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """Look after waiting tries and old segments from now on."""
        threading.Thread(target=self._watch, name="ledger", daemon=True).start()

    def entries(self) -> list[tuple[bytes, Entry, bytes | None]]:
        """All tokens that count, and the results of those that have one."""
        with self._lock:
            with contextlib.suppress(OSError):
                self._follow()
            return [
                (
                    token,
                    replace(entry),
                    self._result(token, entry) if entry.state is KeyState.FINISHED else None,
                )
                for token, entry in self._machine.entries.items()
                if entry.state is not KeyState.VOID
            ]

    def mine(self, entry: Entry) -> bool:
        """Whether this life claimed it."""
        return entry.life == self._life

    def alone(self) -> bool:
        """Whether no other life is there that may go on."""
        return self._lives.alone()

    def dead(self, entry: Entry) -> bool:
        """Whether the life that claimed it is dead."""
        return self._lives.vital(entry.life) is Liveness.DEAD

    def sync(self) -> None:
        """All that was said survives a power cut from now on; waits for the disk, `OSError`."""
        with self._lock:
            files = [one.file for one in self._segments.values()]
        for file in files:
            file.sync()

    def close(self) -> None:
        """Write what is left."""
        with self._lock:
            self._closed = True
            self._changed.notify()
            if self._unsaid:
                self._retry_at = 0
                self._mend()

    # --- the segments; all below with the lock held

    def _load(self) -> None:
        """All segments that are there, and the last one to append to."""
        for one in self._segments.values():
            one.file.close()
        self._segments.clear()
        numbers = self._folder.numbers()
        for number in numbers or [1]:
            with contextlib.suppress(FileNotFoundError):  # another life has dropped it
                self._enter(number, create=not numbers)
        if not self._segments:
            raise OSError("the folder is being removed")
        self._follow()

    def _enter(self, number: int, create: bool) -> None:
        """Go over to this segment, and read it."""
        one = _Open(number, self._folder.open(number, create))
        records.check_version(one.file.read(0, records.HEAD_BYTES))
        self._segments[number] = self._current = one
        self._read(one, one.file.look()[0])

    def _read(self, one: _Open, size: int) -> None:
        """What came behind the last look."""
        while one.offset < size and (data := one.file.read(one.offset, size - one.offset)):
            found = records.scan(data)
            for offset, length, told in found.records:
                sealed = one.number in self._machine.sealed
                self._machine.take(told, Place(one.number, one.offset + offset, length))
                self._counted += told.life == self._life and not sealed
            if found.passed_over:
                logger.warning("segment %s: %s bytes passed over", one.number, found.passed_over)
            one.offset += found.used
            if not found.used:
                break  # a record that is being written, or was torn
        one.seen = size

    def _follow(self) -> None:
        """Read on to the end of what all lives have said; `OSError`."""
        while True:
            one = self._current
            size, named = one.file.look()
            if size != one.seen:
                self._read(one, size)
            if one.number in self._machine.sealed:
                self._next()
            elif named:
                return
            else:
                return self._again()

    def _next(self) -> None:
        """The segment behind a sealed one. Whoever has slept through some goes over all that are left."""
        while True:
            later = [number for number in self._folder.numbers() if number > self._current.number]
            try:
                return self._enter(later[0] if later else self._current.number + 1, create=not later)
            except FileNotFoundError:
                continue  # dropped meanwhile: there is a later one

    def _again(self) -> None:
        """The folder was removed: make it anew, and say again what of this life still counts."""
        logger.warning("the folder was removed; it is made anew")
        now = clock.now()
        again: list[Record] = []
        for token, entry in self._machine.entries.items():
            if entry.life != self._life or entry.until <= now or entry.state is KeyState.VOID:
                continue
            again.append(Record(Step.INTENT, self._life, token, entry.at, entry.until, entry.same))
            if entry.state is KeyState.FINISHED:
                entry.result, entry.place = self._result(token, entry), None
                rest = entry.same + (entry.result or b"")
                again.append(Record(Step.RESULT, self._life, token, now, entry.until, rest))
            elif entry.state is KeyState.FAILED:
                again.append(Record(Step.FAULT, self._life, token, now, entry.until, entry.same))
        self._unsaid = [*again, *self._unsaid]
        self._lives.beat()
        self._folder.make()
        self._machine.sealed.clear()
        self._machine.ends.clear()
        self._load()

    def _append(self, told: Record) -> None:
        """Say it, in the segment where it counts; `OSError`."""
        data = records.put(*told)
        for _ in range(TRIES):
            one, before = self._current, self._counted
            one.file.append(data)
            if not self._just_behind(one, told, len(data)):
                self._follow()
            if self._counted > before:
                if one is self._current and one.offset > SEGMENT_BYTES:
                    now = clock.now()
                    one.file.append(records.put(SEAL, self._life, records.NO_TOKEN, now, now))
                    self._follow()
                return
        raise OSError("sealed before every try to write to it")

    def _just_behind(self, one: _Open, told: Record, length: int) -> bool:
        """Take what was just appended without reading it back, if the size says that it stands right behind
        all that was read: nobody has written in between. Most often so, and it saves half of the cost."""
        size, named = one.file.look()
        if not named or one.offset != one.seen or size != one.seen + length:
            return False
        self._machine.take(told, Place(one.number, one.offset, length))
        one.offset = one.seen = size
        self._counted += 1
        return True

    def _say(self, told: Record) -> bool:
        """Say it, after all that is still to be said; False if the folder does not take it."""
        if (self._failing or self._unsaid) and not self._mend():
            return False
        try:
            self._append(told)
            return True
        except OSError as error:
            if not self._failing:
                logger.info("the folder fails: %s; keys are kept in memory until it works again", error)
            self._failing, self._retry_at = True, clock.now() + RETRY_US
            return False

    def _mend(self) -> bool:
        """Try to say what could not be said."""
        if clock.now() < self._retry_at:
            return False
        try:
            if not self._lives.entered:
                self._lives.enter()
            self._folder.make()
            while self._unsaid:
                self._append(self._unsaid[0])
                del self._unsaid[0]
            self._follow()
        except OSError:
            self._retry_at = clock.now() + RETRY_US
            return False
        if self._failing:
            logger.info("the folder works again")
        self._failing = False
        return True

    def _keep(self, told: Record, result: bytes | None = None) -> None:
        """What the folder did not take counts in memory, until it is said."""
        self._machine.take(told, Place(-1, 0, 0))
        entry = self._machine.entries.get(told.token)
        if entry is not None and told.kind == Step.RESULT:
            entry.place, entry.result = None, result
        self._unsaid.append(told)

    # --- what the host asks

    def capacity_wait_us(self) -> int:
        """See `Keeper`."""
        with self._lock:
            if self._failing and not self._mend() and not self._lives.alone():
                return AWAY_US
            if sum(one.offset for one in self._segments.values()) <= self._most:
                return 0
            first = next(iter(self._segments))
            return max(AWAY_US, self._machine.ends.get(first, 0) - clock.now())

    def reserve(self) -> None:
        """See `Keeper`: nothing is booked before a claim."""

    def release(self) -> None:
        """See `Keeper`."""

    def record_start(
        self, begun: StartedRun, then: Callable[[], None], other: Callable[[bool], None]
    ) -> None:
        """See `Keeper`: the claim."""
        with self._lock:
            told = Record(
                Step.INTENT, self._life, begun.key, clock.now(), begun.expires_at, begun.fingerprint
            )
            known = self._say(told)
            if not known and self._lives.alone():
                self._keep(told)
                known = True
            if not known:  # a claim that failed may stand there all the same, and would keep others waiting
                never = Record(Step.NEVER, self._life, begun.key, told.at, begun.expires_at, b"")
                self._unsaid.append(never)
            mine = self._machine.holds(begun.key, self._life, told.at)
        if known and mine:
            then()
        else:
            other(known)

    def record_never_started(self, token: bytes, until: int, settles: tuple[int, ...]) -> None:
        """See `Keeper`."""
        self._end(Step.NEVER, token, until, b"", None)

    def record_call(self, token: bytes, until: int, pos: int, then: Callable[[], None]) -> None:
        """See `Keeper`: the run ends with its life, so its call needs no record."""
        then()

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
        self._end(step, token, until, same + (result or b""), result)
        then()

    def _end(self, step: Step, token: bytes, until: int, rest: bytes, result: bytes | None) -> None:
        with self._lock:
            told = Record(step, self._life, token, clock.now(), until, rest)
            if not self._say(told):
                self._keep(told, result)

    def notice_read(self, pos: int, owed: bool) -> None:
        """See `Keeper`: the pool's notices end with the life."""

    def pool_linked(self, pool_started: int) -> None:
        """See `Keeper`."""

    def pool_replaced(self) -> None:
        """See `Keeper`."""

    def look_up(self, token: bytes, same: bytes, arrived: int) -> StoredEntry | None:
        """See `Keeper`."""
        with self._lock:
            with contextlib.suppress(OSError):  # what is known so far is what can be known
                self._follow()
            entry = self._machine.find(token, arrived)
        if entry is None:
            return None
        if entry.same != same:
            raise ValueError("another class or body")
        return StoredEntry(token, entry.state is not KeyState.FAILED)

    def fetch_result(self, token: bytes, same: bytes, then: Callable[[bytes | None], None]) -> None:
        """See `Keeper`."""
        waiting = _Waiting(token, same, then)
        if not self._settle(waiting):
            with self._lock:
                self._waiting.append(waiting)
                self._changed.notify()

    # --- tries that wait for another life's end

    def _settle(self, waiting: _Waiting) -> bool:
        """Tell it the end, if there is one or none will come; False if it has to wait."""
        with self._lock:
            with contextlib.suppress(OSError):
                self._follow()
            entry = self._machine.entries.get(waiting.token)
            result = None
            if entry is not None and entry.same == waiting.same:
                if entry.state is KeyState.INTENDED and not self._is_over(entry):
                    return False
                if entry.state is KeyState.FINISHED:
                    result = self._result(waiting.token, entry)
        waiting.then(result)
        return True

    def _is_over(self, entry: Entry) -> bool:
        """Whether no end will come of a run that has none: its life is dead, and has said all it ever will.
        Nobody can tell whether its pool ran it, so it never runs again."""
        if self._lives.vital(entry.life) is not Liveness.DEAD:
            return False
        with contextlib.suppress(OSError):
            self._follow()
        return entry.state is KeyState.INTENDED

    def _result(self, token: bytes, entry: Entry) -> bytes | None:
        """The result of a finished run; None if it can't be read any more."""
        if entry.place is None:
            return entry.result
        one = self._segments.get(entry.place.segment)
        if one is None:
            return None
        try:
            found = records.scan(one.file.read(entry.place.offset, entry.place.length)).records
        except OSError as error:
            logger.warning("a result can't be read: %s", error)
            return None
        if len(found) != 1 or found[0][2].token != token:
            return None
        return found[0][2].rest[records.DIGEST_BYTES :]

    # --- the watch

    def _watch(self) -> None:
        beat_at = 0
        while True:
            with self._lock:
                self._changed.wait(LOOK_S if self._waiting else BEAT_S)
                if self._closed:
                    return
                waiting, self._waiting = self._waiting, []
            left = [one for one in waiting if not self._settle(one)]
            with self._lock:
                self._waiting.extend(left)
                if clock.now() < beat_at:
                    continue
                beat_at = clock.now() + int(BEAT_S * 1e6)
                try:
                    self._look_after()
                except Exception as error:  # without this thread the life would be taken for stopped
                    logger.warning("looking after it: %s %s", type(error).__name__, error)

    def _look_after(self) -> None:
        """Once a beat: say that this life is well, and let go of what has aged."""
        self._lives.beat()
        if self._failing or self._unsaid:
            self._mend()
        now = clock.now()
        self._machine.expire(now)
        try:
            self._follow()
            for number in self._machine.droppable(list(self._segments), now):
                self._folder.remove(number)
                self._segments.pop(number).file.close()
                self._machine.dropped(number)
        except OSError as error:
            logger.warning("old segments: %s", error)
