"""Drives a durable log on a modelled disk, and checks what recovery finds after a power cut."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cairnvane.claims.states import KeyState, Step
from cairnvane.idempotency.durable import index as key_index
from cairnvane.idempotency.durable import records
from cairnvane.idempotency.durable.appender import RecordLocation
from cairnvane.idempotency.durable.index import Index
from cairnvane.idempotency.durable.segment_log import Entry, Owner, SegmentLog
from cairnvane.testbed.stand_ins.disk import Disk

SECOND_US = 1_000_000
WINDOW_US = 8 * SECOND_US  # the window of a key
MAX_READ_DELAY_US = 2 * SECOND_US  # the longest time between the arrival of a duplicate and its being read
FINGERPRINT = bytes(range(16))
BOOTS = [bytes([number]) * 16 for number in range(4)]


def key(number: int) -> bytes:
    """The idempotency key of a request."""
    return number.to_bytes(4, "big") * 4


def result(number: int, size: int = 3_000) -> bytes:
    """The result of a request."""
    return random.Random(number).randbytes(size)


@dataclass
class Driver:
    """Uses a log as the store does, in one thread, and keeps what clients were answered."""

    disk: Disk
    boot: bytes = BOOTS[0]
    now: int = 100 * SECOND_US
    record_starts: bool = True
    attempted: set[int] = field(default_factory=set)  # requests whose start was attempted
    started: dict[int, int] = field(default_factory=dict)  # started runs, and when their keys expire
    answered: dict[int, int] = field(default_factory=dict)  # answered requests, and when their keys expire
    ends: dict[int, bytes | None] = field(default_factory=dict)  # results of all ends, recorded or not

    def __post_init__(self) -> None:
        self.index = Index(1 << 16)
        self.log = SegmentLog(
            self.disk,
            Owner("n1", self.boot),
            max_disk_bytes=1 << 20,
            power=True,
            max_read_delay_us=MAX_READ_DELAY_US,
        )
        self.recovered = self.log.recover(self.index, self.now).conclude()

    def write(self, step: Step, number: int, own_part: bytes = b"") -> RecordLocation:
        """Write one record and sync it."""
        entry = Entry(step, key(number), self.now, self.now + WINDOW_US, own_part, settled_notice=number)
        [location] = self.log.append([entry], unix_ms=0)
        self.log.sync()
        return location

    def start(self, number: int) -> None:
        """Record the start of a run."""
        self.attempted.add(number)
        if self.record_starts:
            own_part = records.encode_start(f"{number:016x}", FINGERPRINT, self.now, 24.5, "write")
            self.write(Step.INTENT, number, own_part)
        self.started[number] = self.now + WINDOW_US

    def end(self, number: int, run_result: bytes | None) -> None:
        """Record the end of a run and add it to the index."""
        self.ends[number] = run_result
        step = Step.FAULT if run_result is None else Step.RESULT
        segment, offset = self.write(step, number, records.encode_end(FINGERPRINT, run_result or b""))
        state = KeyState.FAILED if run_result is None else KeyState.FINISHED
        word = key_index.pack_word(segment, offset, key_index.fingerprint_tag(FINGERPRINT), state)
        self.index.put(key(number), word, self.now + WINDOW_US)
        self.answered[number] = self.now + WINDOW_US

    def advance_clock(self, duration: int) -> None:
        """Advance the clock, and drop expired entries and segments."""
        self.now += duration
        self.index.expire(self.now - MAX_READ_DELAY_US)
        self.log.drop(self.now)

    def compact(self, all_segments: bool = True) -> None:
        """Compact all segments except the current one, or only the oldest."""
        for number in list(self.log.segments)[: None if all_segments else 1]:
            if self.log.segments[number] is not self.log.current:
                for _ in self.log.compact(number, self.index, self.now):
                    pass


def run_requests(driver: Driver, first: int, count: int, gap: int = SECOND_US // 10) -> None:
    """Run requests so that all cases occur: ends with and without results, no end, rotation, dropping."""
    for number in range(first, first + count):
        driver.start(number)
        if number % 7 == 3:
            driver.write(Step.CALL, number, records.encode_call(number))
        if number % 11 == 5:
            del driver.started[number]
            driver.write(Step.NEVER, number)
        elif number % 13 != 6:
            driver.end(number, None if number % 5 == 4 else result(number))
        driver.advance_clock(gap)


def check_recovery(before: Driver, image: dict[str, bytes], boot: bytes) -> Driver:
    """Check that recovery finds all started runs and all answers on a disk image, and nothing else."""
    after = Driver(Disk(image), boot, before.now + SECOND_US // 10)
    started = {run.key for run in after.recovered.started_runs}
    for number, expires_at in before.started.items():
        if expires_at <= after.now:
            continue
        found = after.index.get(key(number))
        assert found is not None or key(number) in started, f"run {number} is forgotten and would run again"
        if number in before.answered and found is not None:
            expected = before.ends[number]
            state = KeyState.FAILED if expected is None else KeyState.FINISHED
            assert key_index.unpack_state(found[0]) is state, number
    for number, expires_at in before.answered.items():
        found = after.index.get(key(number))
        if expires_at > after.now:
            assert found is not None, f"the answer of {number} is forgotten"
        if found is not None and key_index.unpack_state(found[0]) is KeyState.FINISHED:
            assert after.log.fetch(found[0], key(number), FINGERPRINT) == before.ends[number]
    assert started <= {key(number) for number in before.attempted}, "a run was invented"
    return after


def segment() -> tuple[Driver, str, bytes]:
    """A log with one segment: its driver, and the segment's file name and content."""
    disk = Disk()
    driver = Driver(disk)
    run_requests(driver, 1, 12, gap=1)
    [name] = disk.names()
    return driver, name, disk.content()[name]
