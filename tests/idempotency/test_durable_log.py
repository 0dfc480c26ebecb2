"""Kept results below the server: format, index, plans, recovery, and what a power cut may leave."""

from __future__ import annotations

import contextlib
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.claims import states
from cairnvane.claims.states import IllegalStepError, KeyState, Step
from cairnvane.idempotency.durable import index as places
from cairnvane.idempotency.durable import records, recovery, retention
from cairnvane.idempotency.durable.index import Index
from cairnvane.idempotency.durable.segment_log import Entry, Owner, SegmentLog, check
from cairnvane.idempotency.durable.storage import FolderError, segment_name
from cairnvane.testbed.stand_ins.disk import Disk, PowerCut

WINDOW, UNREAD, S = 8_000_000, 2_000_000, 1_000_000
SAME = bytes(range(16))
BOOTS = [bytes([n]) * 16 for n in range(4)]


def token(number: int) -> bytes:
    return number.to_bytes(4, "big") * 4


def result(number: int, size: int = 3_000) -> bytes:
    return random.Random(number).randbytes(size)


@dataclass
class Driver:
    """Does with a log what the store does, in one thread, and knows what it promised to whom."""

    disk: Disk
    boot: bytes = BOOTS[0]
    now: int = 100 * S
    record_intents: bool = True
    tried: set[int] = field(default_factory=set)  # all that was ever begun
    spawned: dict[int, int] = field(default_factory=dict)  # and until when their keys count
    answered: dict[int, int] = field(default_factory=dict)
    ends: dict[int, bytes | None] = field(default_factory=dict)  # of all that were ever handed over

    def __post_init__(self) -> None:
        self.index = Index(1 << 16)
        self.log = SegmentLog(self.disk, Owner("n1", self.boot), most_disk=1 << 20, power=True, unread=UNREAD)
        self.left = self.log.recover(self.index, self.now).conclude()

    def put(self, step: Step, number: int, rest: bytes = b"") -> tuple[int, int]:
        """One record, synced."""
        entry = Entry(step, token(number), self.now, self.now + WINDOW, rest, pos=number)
        [place] = self.log.append([entry], unix_ms=0)
        self.log.sync()
        return place

    def begin(self, number: int) -> None:
        self.tried.add(number)
        if self.record_intents:
            rest = records.put_intent(f"{number:016x}", SAME, self.now, 24.5, "write")
            self.put(Step.INTENT, number, rest)
        self.spawned[number] = self.now + WINDOW

    def end(self, number: int, with_result: bytes | None) -> None:
        self.ends[number] = with_result
        step = Step.FAULT if with_result is None else Step.RESULT
        segment, offset = self.put(step, number, records.put_end(SAME, with_result or b""))
        after = KeyState.FAILED if with_result is None else KeyState.FINISHED
        word = places.place(segment, offset, places.tag(SAME), after)
        self.index.put(token(number), word, self.now + WINDOW)
        self.answered[number] = self.now + WINDOW

    def pass_time(self, by: int) -> None:
        self.now += by
        self.index.expire(self.now - UNREAD)
        self.log.drop(self.now)

    def compact(self, all_: bool = True) -> None:
        for number in list(self.log.segments)[: None if all_ else 1]:
            if self.log.segments[number] is not self.log._current:
                for _ in self.log.compact(number, self.index, self.now):
                    pass


def commits(driver: Driver, first: int, count: int, gap: int = S // 10) -> None:
    """A script with all that a log does: ends with and without results, open runs, rotation, dropping."""
    for number in range(first, first + count):
        driver.begin(number)
        if number % 7 == 3:
            driver.put(Step.CALL, number, records.put_call(number))
        if number % 11 == 5:
            del driver.spawned[number]
            driver.put(Step.NEVER, number)
        elif number % 13 != 6:
            driver.end(number, None if number % 5 == 4 else result(number))
        driver.pass_time(gap)


def judge(before: Driver, image: dict[str, bytes], boot: bytes) -> Driver:
    """What is found must hold all that was promised, and nothing else."""
    after = Driver(Disk(image), boot, before.now + S // 10)
    begun = {one.key for one in after.left.started_runs}
    for number, until in before.spawned.items():
        if until <= after.now:
            continue
        found = after.index.get(token(number))
        assert found is not None or token(number) in begun, f"run {number} is forgotten and would run again"
        if number in before.answered and found is not None:
            expected = before.ends[number]
            ends = KeyState.FAILED if expected is None else KeyState.FINISHED
            assert places.state(found[0]) is ends, number
    for number, until in before.answered.items():
        found = after.index.get(token(number))
        if until > after.now:
            assert found is not None, f"the answer of {number} is forgotten"
        if found is not None and places.state(found[0]) is KeyState.FINISHED:
            assert after.log.fetch(found[0], token(number), SAME) == before.ends[number]
    assert begun <= {token(number) for number in before.tried}, "a run was invented"
    return after


def cut_at_every_step(script: Callable[[Driver], None], same_boot: bool = False) -> int:
    """Run the script with a power cut before its first step, its second, until it ends without one."""
    cuts = 0
    while True:
        disk = Disk()
        driver = Driver(disk)
        disk.cut_at = disk.steps + cuts
        try:
            script(driver)
        except PowerCut:
            cuts += 1
        else:
            return cuts
        for image in disk.images():
            judge(driver, image, BOOTS[0] if same_boot else BOOTS[1])


def test_a_power_cut_before_every_write_forgets_no_run_and_no_answer() -> None:
    assert cut_at_every_step(lambda driver: commits(driver, 1, 60)) > 250


def test_a_power_cut_within_a_compaction_loses_nothing() -> None:
    def script(driver: Driver) -> None:
        commits(driver, 1, 45, gap=S // 5)
        driver.compact()
        commits(driver, 50, 3)

    assert cut_at_every_step(script) > 200


def test_the_power_cut_judge_sees_a_log_without_intents() -> None:
    """The check can fail: with no record of what begins, a run is forgotten."""

    def script(driver: Driver) -> None:
        driver.record_intents = False
        commits(driver, 1, 5)

    with pytest.raises(AssertionError, match="would run again"):
        cut_at_every_step(script)


def test_cuts_within_recovery_itself_three_times_in_a_row() -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.cut_at = 90
    with pytest.raises(PowerCut):
        commits(driver, 1, 60)
    for image in list(disk.images())[:6]:
        for cut in range(4):
            again = Disk(image)
            again.cut_at = cut
            try:
                Driver(again, BOOTS[1], driver.now)
            except PowerCut:
                for second in list(again.images())[:4]:
                    third = judge(driver, second, BOOTS[2])
                    judge(driver, third.disk.content(), BOOTS[3])


STEPS = st.sampled_from(["begin", "end", "fail", "never", "later", "much later", "compact", "drop"])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(STEPS, st.integers(1, 12)), max_size=40), st.integers(0, 60))
def test_random_histories_survive_a_power_cut(history: list[tuple[str, int]], cut: int) -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.cut_at = disk.steps + cut
    open_: list[int] = []
    number = 0
    try:
        for what, pick in history:
            if what == "begin":
                number += 1
                open_.append(number)
                driver.begin(number)
            elif what in ("end", "fail", "never") and open_:
                chosen = open_.pop(pick % len(open_))
                if what == "never":
                    del driver.spawned[chosen]
                    driver.put(Step.NEVER, chosen)
                else:
                    driver.end(chosen, result(chosen, pick * 300) if what == "end" else None)
            elif what == "compact":
                driver.compact(all_=pick % 2 == 0)
            else:
                driver.pass_time({"later": S // 2, "much later": 4 * S}.get(what, 1))
    except PowerCut:
        pass
    for image in disk.images():
        try:
            judge(driver, image, BOOTS[cut % 2])
        except AssertionError as error:
            raise AssertionError(f"{history} cut at {cut}: {error}") from error


def segment() -> tuple[Driver, str, bytes]:
    disk = Disk()
    driver = Driver(disk)
    commits(driver, 1, 12, gap=1)
    [name] = disk.names()
    return driver, name, disk.content()[name]


DAMAGE = st.sampled_from(["cut", "flip", "noise", "zeros", "swap", "insert"])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.randoms(use_true_random=False), DAMAGE)
def test_no_damage_ends_in_a_crash_or_a_wrong_result(chance: random.Random, how: str) -> None:
    driver, name, data = segment()
    spoilt = bytearray(data)
    at = chance.randrange(len(spoilt))
    length = chance.choice([1, 4, 16, 200, 5_000])
    if how == "cut":
        del spoilt[at:]
    elif how == "flip":
        spoilt[at] ^= 1 << chance.randrange(8)
    elif how == "insert":
        spoilt[at:at] = chance.randbytes(length)
    elif how == "swap":
        other = chance.randrange(len(spoilt))
        spoilt[at : at + 64], spoilt[other : other + 64] = spoilt[other : other + 64], spoilt[at : at + 64]
    else:
        spoilt[at : at + length] = chance.randbytes(length) if how == "noise" else bytes(length)
    try:
        after = Driver(Disk({name: bytes(spoilt)}), BOOTS[0], driver.now)
    except FolderError as error:
        assert "newer version" in str(error) or "belongs to" in str(error)
        return
    begun = {one.key for one in after.left.started_runs}
    assert begun <= {token(number) for number in range(1, 13)}
    for number in range(1, 400):
        found = after.index.get(token(number))
        if found is not None:
            assert number in driver.ends
            if places.state(found[0]) is KeyState.FINISHED:
                assert after.log.fetch(found[0], token(number), SAME) in (driver.ends[number], None)
    if how == "cut":  # what stands whole before it counts
        for number in driver.ends:
            word = driver.index.get(token(number))
            assert word is not None
            offset = places.where(word[0])[1]
            end = offset + records.END_BYTES + len(driver.ends[number] or b"")
            assert at < end or after.index.get(token(number)) is not None


def test_a_damaged_middle_is_named_and_what_stands_behind_it_is_read() -> None:
    disk = Disk()
    driver = Driver(disk)
    commits(driver, 1, 40, gap=1)
    name = disk.names()[0]
    data = bytearray(disk.content()[name])
    data[5_000:5_004] = b"\xff\xff\xff\x7f"
    after = Driver(Disk({**disk.content(), name: bytes(data)}), BOOTS[0], driver.now)
    assert len(after.log.report.damaged) == 1
    assert name in after.log.report.damaged[0] and "passed over" in after.log.report.damaged[0]
    assert after.index.get(token(39)) is not None


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"", "empty"),
        (b"\0" * 500, "empty"),
        (b"#!/bin/sh\n" * 90, "not a segment"),
        (records.MAGIC + b"\x01\0", "cut short"),
        (random.Random(1).randbytes(400_000), "not a segment"),
    ],
)
def test_an_empty_a_foreign_and_a_huge_file_are_named_and_left_alone(data: bytes, word: str) -> None:
    disk = Disk({segment_name(7): data, "notes.txt": b"mine"})
    driver = Driver(disk)
    assert word in driver.log.report.foreign[0]
    driver.begin(1)
    assert disk.content()[segment_name(7)] == data and disk.content()["notes.txt"] == b"mine"
    assert segment_name(8) in disk.names()


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"version": records.VERSION + 1}, "newer version"),
        ({"name": "n2"}, "belongs to the instance 'n2'"),
    ],
)
def test_a_newer_format_and_another_instance_are_refused(change: dict[str, Any], word: str) -> None:
    header = records.put_header(records.Header(1, BOOTS[0], 0, 0, change.get("name", "n1")))
    if "version" in change:
        header = header[:8] + change["version"].to_bytes(2, "little") + header[10:]
    disk = Disk({segment_name(1): header})
    with pytest.raises(FolderError, match=word):
        check(disk, "n1")
    with pytest.raises(FolderError, match=word):
        Driver(disk)
    assert disk.content() == {segment_name(1): header}


def test_an_older_format_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    driver, name, data = segment()
    monkeypatch.setattr(records, "VERSION", records.VERSION + 1)
    assert Driver(Disk({name: data}), BOOTS[0], driver.now).index.get(token(1)) is not None


def test_time_that_nobody_can_vouch_for_does_not_age_a_key() -> None:
    """A monotonic clock begins anew with each boot; the Unix clock, which may be set, is not asked at all."""
    driver, name, data = segment()
    for boot, now, there in [
        (BOOTS[0], driver.now + WINDOW - S, True),
        (BOOTS[0], driver.now + WINDOW + UNREAD + S, False),
        (BOOTS[1], 1, True),
        (BOOTS[1], driver.now * 50, True),
    ]:
        after = Driver(Disk({name: data}), boot, now)
        assert (after.index.get(token(1)) is not None) is there
    late = after.now + WINDOW + UNREAD + S
    after.index.expire(late - UNREAD)
    assert after.index.get(token(1)) is None  # but it does age once its time is counted again


def test_what_is_past_its_window_is_dropped_whole_and_compaction_keeps_the_rest() -> None:
    disk = Disk()
    driver = Driver(disk)
    commits(driver, 1, 200, gap=S // 10)
    assert len(disk.names()) < 12  # of 20 s, only the window is there
    before = driver.log.size
    driver.compact()
    assert driver.log.size < before
    for number in range(190, 200):
        if driver.ends.get(number):
            word = driver.index.get(token(number))
            assert word is not None and driver.log.fetch(word[0], token(number), SAME) == driver.ends[number]
    judge(driver, disk.content(), BOOTS[0])


@pytest.mark.parametrize("kind", ["write", "sync", "create", "sync_folder"])
def test_after_a_failed_step_a_new_segment_takes_the_same_records(kind: str) -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.fails = {kind: errno.EIO}
    with pytest.raises(OSError):
        driver.begin(1)
    driver.log.abandon()
    disk.fails = {}
    driver.begin(1)
    driver.end(1, result(1))
    for image in disk.images():
        judge(driver, image, BOOTS[1])


@pytest.mark.parametrize(
    ("before", "step", "after"),
    [
        (KeyState.UNKNOWN, Step.INTENT, KeyState.INTENDED),
        (KeyState.INTENDED, Step.CALL, KeyState.CALLING),
        (KeyState.INTENDED, Step.RESULT, KeyState.FINISHED),
        (KeyState.CALLING, Step.RESULT, KeyState.FINISHED),
        (KeyState.CALLING, Step.FAULT, KeyState.FAILED),
        (KeyState.INTENDED, Step.NEVER, KeyState.VOID),
        (KeyState.VOID, Step.INTENT, KeyState.INTENDED),
        (KeyState.AGED, Step.INTENT, KeyState.INTENDED),
        (KeyState.FINISHED, Step.INTENT, None),
        (KeyState.FINISHED, Step.RESULT, None),
        (KeyState.FAILED, Step.RESULT, None),
        (KeyState.CALLING, Step.NEVER, None),
        (KeyState.FINISHED, Step.NEVER, None),
        (KeyState.UNKNOWN, Step.CALL, None),
    ],
)
def test_each_step_leads_where_it_should(before: KeyState, step: Step, after: KeyState | None) -> None:
    if after is None:
        with pytest.raises(IllegalStepError):
            states.advance(before, step)
    else:
        assert states.advance(before, step) is after


@pytest.mark.parametrize(
    ("stands", "lives", "gets"),
    [
        (KeyState.UNKNOWN, True, states.RetryDecision.RUN),
        (KeyState.VOID, False, states.RetryDecision.RUN),
        (KeyState.AGED, True, states.RetryDecision.RUN),
        (KeyState.INTENDED, True, states.RetryDecision.WAIT),
        (KeyState.CALLING, True, states.RetryDecision.WAIT),
        (KeyState.INTENDED, False, states.RetryDecision.FAIL),
        (KeyState.CALLING, False, states.RetryDecision.FAIL),
        (KeyState.FINISHED, False, states.RetryDecision.RESULT),
        (KeyState.FAILED, True, states.RetryDecision.FAIL),
    ],
)
def test_what_a_repeat_gets(stands: KeyState, lives: bool, gets: states.RetryDecision) -> None:
    assert states.repeat(stands, lives) is gets


@pytest.mark.parametrize(
    ("stands", "recorded", "asked", "may"),
    [
        (KeyState.INTENDED, 0, 4, True),
        (KeyState.CALLING, 4, 4, False),
        (KeyState.CALLING, 4, 9, True),
    ],
)
def test_a_call_that_may_have_been_made_is_not_made_again(
    stands: KeyState,
    recorded: int,
    asked: int,
    may: bool,
) -> None:
    assert states.call_may_be_made(stands, recorded, asked) is may


LOAD = retention.Load(
    ready=True,
    failing=False,
    writing_for=0,
    entries=5,
    most_entries=10,
    first_end=3 * S,
    open_keys=2,
    disk=0,
    most_disk=1 << 20,
    first_drop=2 * S,
    queued=0,
    most_queued=1_000,
)


@pytest.mark.parametrize(
    ("changes", "wait"),
    [
        ({}, 0),
        ({"ready": False}, retention.AWAY_US),
        ({"failing": True}, retention.AWAY_US),
        ({"writing_for": retention.SLOW_US + 1}, retention.AWAY_US),
        ({"queued": 1_001}, retention.BUSY_AWAY_US),
        ({"open_keys": 5}, 3 * S),
        ({"open_keys": 5, "first_end": None}, retention.BUSY_AWAY_US),
        ({"disk": 1 << 20}, 2 * S),
        ({"disk": (1 << 20) - 3 * retention.KEY_BYTES}, 0),
        ({"disk": (1 << 20) - 3 * retention.KEY_BYTES + 1}, 2 * S),
        ({"disk": 1 << 20, "first_drop": None}, retention.AWAY_US),
    ],
)
def test_when_one_more_key_has_room(changes: dict[str, Any], wait: int) -> None:
    values = {name: getattr(LOAD, name) for name in LOAD.__slots__}
    assert retention.wait_us(retention.Load(**(values | changes))) == wait


def test_notices_come_again_from_the_first_whose_record_is_owed() -> None:
    progress = retention.Progress(10)
    progress.read(11, owed=False)
    assert progress.pos == 11
    progress.read(12, owed=True)
    progress.read(14, owed=True)
    progress.read(15, owed=False)
    assert progress.pos == 11
    progress.written([0, 12])
    assert progress.pos == 13
    progress.written([14])
    assert progress.pos == 15


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 900)), max_size=200), st.booleans())
def test_the_index_says_what_a_dict_says(steps: list[tuple[int, int]], wraps: bool) -> None:
    ours, plain = Index(64 * places.BYTES_PER_ENTRY), {}  # type: Index, dict[bytes, tuple[int, int]]
    if wraps:
        ours._head = ours._tail = places._WRAP - 30
    now = 0
    for number, by in steps:
        now += by * 1_000
        if ours.put(token(number), now // 1_000, now + 5 * S):
            plain[token(number)] = now // 1_000, now + 5 * S
        ours.expire(now)
        plain = {key: value for key, value in plain.items() if value[1] >= now}
        for key in range(41):
            found, word = ours.get(token(key)), plain.get(token(key))
            assert (found[0] if found else None) == (word[0] if word else None)


def test_a_full_index_takes_no_more_and_recovery_says_so() -> None:
    small = Index(0)
    assert sum(small.put(token(number), 1, S) for number in range(100)) == small.capacity == 64
    disk = Disk()
    driver = Driver(disk)
    for number in range(1, 70):
        driver.end(number, None)
    with pytest.raises(recovery.TooLarge, match="more than 64 keys"):
        driver.log.recover(Index(0), driver.now)


OF_KEYS = st.sampled_from([step for step in Step if step is not Step.LINK])
SOME = st.lists(st.tuples(OF_KEYS, st.integers(1, 3)))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(SOME)
def test_recovery_goes_by_the_state_machine(steps: list[tuple[Step, int]]) -> None:
    driver, stands = Driver(Disk()), {}  # type: Driver, dict[int, KeyState]
    rests = {Step.INTENT: records.put_intent("0" * 16, SAME, 0, 1.0, "write"), Step.CALL: records.put_call(3)}
    for step, number in steps:
        driver.put(step, number, rests.get(step, records.put_end(SAME, b"")))
        with contextlib.suppress(IllegalStepError):
            stands[number] = states.advance(stands.get(number, KeyState.UNKNOWN), step)
    after = Driver(Disk(driver.disk.content()))
    begun = {
        one.key: KeyState.CALLING if one.call_notice else KeyState.INTENDED for one in after.left.started_runs
    }
    for number in range(1, 4):
        found = after.index.get(token(number))
        is_ = begun.get(token(number)) or (places.state(found[0]) if found else KeyState.UNKNOWN)
        expected = stands.get(number, KeyState.UNKNOWN)
        assert is_ is (KeyState.UNKNOWN if expected is KeyState.VOID else expected)
