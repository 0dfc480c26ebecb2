"""The ledger: of several lives of one bid server, one runs a token, and all know to what end it came."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import random
import shutil
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import WAIT_S, world

from cairnvane import clock
from cairnvane.claims import ClaimLog, Incarnations, legacy, records, segment_writer
from cairnvane.claims.claim_table import ClaimTable, Place
from cairnvane.claims.incarnations import HEARTBEAT_TIMEOUT_US, Liveness
from cairnvane.claims.records import SEAL, Record, put, scan
from cairnvane.claims.states import KeyState, Step
from cairnvane.claims.storage import OsFolder, Segment
from cairnvane.idempotency import durability
from cairnvane.idempotency.store import StartedRun, StoredEntry

TOKEN, OTHER = b"t" * 16, b"o" * 16
SAME, FORGED = b"s" * 16, b"f" * 16
UNREAD = 5_000_000
HERE = Place(1, 0, 0)


def claim(life: int, at: int, token: bytes = TOKEN, same: bytes = SAME, until: int = 1_000) -> Record:
    return Record(Step.INTENT, life, token, at, until, same)


def end(life: int, at: int, step: Step, result: bytes = b"", until: int = 1_000) -> Record:
    return Record(step, life, TOKEN, at, until, SAME + result)


# --- the format


@given(
    st.lists(st.tuples(st.sampled_from([b"", b"r" * 700, put(*claim(9, 9))]), st.binary(max_size=40))),
    st.integers(0, 2_000),
)
def test_what_is_torn_between_records_costs_no_record(parts: list[tuple[bytes, bytes]], cut: int) -> None:
    """A life whose write was cut short is followed by another's: nothing of that one may be lost."""
    data, told = b"", []
    for number, (rest, torn) in enumerate(parts):
        whole = put(Step.RESULT, 1, TOKEN, number, 9, SAME + rest)
        data += torn[: len(torn) // 2] + whole[: cut % len(whole)] + whole
        told.append(number)
    found = [one.at for _, _, one in scan(data).records if one.life == 1]
    assert found == told


@pytest.mark.parametrize("tail", [b"", b"\0" * 300, put(*claim(1, 5))[:-1], b"CVL1", b"x" * 99])
def test_a_tail_that_can_not_be_read_is_looked_at_again(tail: bytes) -> None:
    whole = put(*claim(1, 2))
    first = scan(whole + tail)
    assert (first.used, first.passed_over, len(first.records)) == (len(whole), 0, 1)
    behind = scan(tail + whole)
    assert (len(behind.records), behind.passed_over) == (1, len(tail))


def test_a_later_format_is_named() -> None:
    records.check_version(b"")
    records.check_version(put(*claim(1, 1)))
    records.check_version(b"something else")
    with pytest.raises(records.NewerVersionError, match="format 2"):
        records.check_version(b"CVL2" + bytes(20))


# --- the order decides


def test_the_first_claim_in_the_order_counts_and_only_its_life_can_end_it() -> None:
    machine = ClaimTable(UNREAD)
    for told in (claim(2, 11), claim(1, 10), end(1, 12, Step.RESULT), end(1, 12, Step.NEVER)):
        machine.take(told, HERE)
    assert machine.is_holder(TOKEN, 2, 11) and not machine.is_holder(TOKEN, 1, 10)
    assert (machine.entries[TOKEN].state, machine.rejected_claims, machine.illegal_steps) == (
        KeyState.INTENDED,
        1,
        2,
    )
    machine.take(end(2, 13, Step.RESULT), HERE)
    assert machine.entries[TOKEN].state is KeyState.FINISHED
    machine.take(end(2, 14, Step.FAULT), HERE)  # an end is final
    assert machine.entries[TOKEN].state is KeyState.FINISHED


def test_what_was_given_up_or_has_aged_may_be_claimed_again() -> None:
    machine = ClaimTable(UNREAD)
    machine.take(claim(1, 10), HERE)
    machine.take(end(1, 11, Step.NEVER), HERE)
    assert machine.find(TOKEN, 20) is None
    machine.take(claim(2, 12), HERE)
    assert machine.is_holder(TOKEN, 2, 12)
    machine.take(claim(3, 999), HERE)
    assert machine.is_holder(TOKEN, 2, 12)
    machine.take(claim(3, 1_000, until=3_000), HERE)  # behind its end, whenever this is read
    assert machine.is_holder(TOKEN, 3, 1_000)
    assert machine.find(TOKEN, 2_999) is not None and machine.find(TOKEN, 3_000) is None
    assert machine.expire(3_000 + UNREAD - 1) == 0 and machine.expire(3_000 + UNREAD) == 1


def test_behind_a_seal_nothing_counts() -> None:
    machine = ClaimTable(UNREAD)
    machine.take(Record(SEAL, 1, records.NO_TOKEN, 5, 5, b""), HERE)
    machine.take(claim(1, 6), HERE)
    assert not machine.entries
    machine.take(claim(2, 7), Place(2, 0, 0))
    assert machine.is_holder(TOKEN, 2, 7)
    assert machine.droppable_segments([1, 2], 9_000_000) == [1]  # the other one is not sealed


@given(st.lists(st.tuples(st.integers(1, 3), st.sampled_from([*Step][:5]), st.integers(0, 1))))
def test_no_history_lets_two_lives_hold_a_token(steps: list[tuple[int, Step, int]]) -> None:
    """Whatever lives say in whatever order, between two counted claims of a token lies its giving up."""
    machine = ClaimTable(UNREAD)
    held: dict[bytes, int] = {}
    for at, (life, step, which) in enumerate(steps):
        if step is Step.CALL:
            continue
        token = (TOKEN, OTHER)[which]
        before = machine.entries.get(token)
        gave_up = (
            step is Step.NEVER
            and before is not None
            and before.life == life
            and before.state in (KeyState.INTENDED, KeyState.VOID)
        )
        machine.take(Record(step, life, token, at, 1_000_000, SAME), HERE)
        entry = machine.entries.get(token)
        if entry is not None and entry.state is not KeyState.VOID:
            assert held.setdefault(token, entry.life) == entry.life
        if gave_up:
            held.pop(token, None)


# --- lives side by side, on files


@dataclass
class Life:
    """One process's side: what a host would do."""

    lives: Incarnations
    ledger: ClaimLog
    until: dict[bytes, int] = field(default_factory=dict)

    def run(self, token: bytes = TOKEN, same: bytes = SAME, until: int | None = None) -> str:
        """Try to run it: "runs", "elsewhere" or "refused"."""
        told: list[str] = []
        until = until or clock.now() + 60_000_000
        begun = StartedRun(token, "a1", "write", same, until, until, 1.0, 0)
        self.ledger.record_start(
            begun, lambda: told.append("runs"), lambda there: told.append("elsewhere" if there else "refused")
        )
        self.until[token] = until
        return told[0]

    def ends(self, result: bytes | None, token: bytes = TOKEN, same: bytes = SAME) -> None:
        self.ledger.record_end(token, self.until[token], same, result, (), lambda: None)

    def recall(self, same: bytes = SAME, token: bytes = TOKEN) -> StoredEntry | None:
        return self.ledger.look_up(token, same, clock.now())

    def fetch(self, token: bytes = TOKEN, same: bytes = SAME) -> Callable[[], bytes | None]:
        """Ask for its end; what is returned waits for the answer."""
        told: list[bytes | None] = []
        there = threading.Event()

        def then(result: bytes | None) -> None:
            told.append(result)
            there.set()

        self.ledger.fetch_result(token, same, then)

        def wait() -> bytes | None:
            assert there.wait(WAIT_S)
            return told[0]

        return wait

    def dies(self) -> None:
        """As if killed: its lock falls, and it says nothing more."""
        self.ledger._closed = True
        assert self.lives._fd is not None
        os.close(self.lives._fd)
        self.lives._fd = None
        self.lives.beat = lambda: None  # type: ignore[method-assign]


class Shop:
    """The folder, and all who live on it."""

    def __init__(self, tmp_path: Path) -> None:
        self.path = tmp_path
        self.all: list[Life] = []

    def life(self, folder: OsFolder | None = None) -> Life:
        lives = Incarnations(self.path / "lives")
        lives.enter()
        ledger = ClaimLog(folder or OsFolder(self.path / "ledger"), lives, UNREAD)
        ledger.open()
        ledger.start(lambda left: None, lambda: None, lambda why: None)
        self.all.append(Life(lives, ledger))
        return self.all[-1]


@pytest.fixture
def shop(tmp_path: Path) -> Iterator[Shop]:
    made = Shop(tmp_path)
    yield made
    for life in made.all:
        life.ledger.close()
        life.lives.leave()


@pytest.mark.parametrize("result", [b"", b"r" * 4_096, None], ids=["empty", "4 KiB", "failed"])
def test_a_try_in_another_life_gets_the_end_of_the_run(shop: Shop, result: bytes | None) -> None:
    old, new = shop.life(), shop.life()
    assert old.recall() is None and old.run() == "runs"
    assert new.recall() == StoredEntry(TOKEN, True)  # it may come to have a result
    waits = new.fetch()
    old.ends(result)
    assert waits() == result
    assert new.recall() == StoredEntry(TOKEN, result is not None)
    third = shop.life()  # who reads it from the beginning
    assert third.run() == "elsewhere" and third.fetch()() == result


def test_repeats_of_the_last_ends_are_answered_from_memory_and_of_older_ones_from_the_record(
    shop: Shop,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(durability, "RECENT_RESULTS", 2)
    mine, asked = shop.life().ledger, list[bytes]()
    fetch = mine.fetch_result

    def counted(token: bytes, same: bytes, then: Callable[[bytes | None], None]) -> None:
        asked.append(token)
        fetch(token, same, then)

    monkeypatch.setattr(mine, "fetch_result", counted)
    tokens = [f"{number:032x}" for number in range(3)]
    with world(keeper=mine) as one:
        balancer = one.balancer()
        first = [
            one.serve(balancer, number, path="/svc/write", HTTP_REQ_TOKEN=token).body
            for number, token in enumerate(tokens, 1)
        ]
        again = []
        for number, token in enumerate(tokens, 4):
            balancer.send(number, path="/svc/write", HTTP_REQ_TOKEN=token)
            again.append(balancer.answer()[1].body)
        balancer.send(7, path="/svc/write", HTTP_REQ_TOKEN=tokens[2], body=b"forged")
        assert balancer.answer()[1].status == 500
        assert again == first and one.pool.commands.empty()
    assert asked == [bytes.fromhex(tokens[0])]


def test_a_forged_try_is_told_from_its_digest(shop: Shop) -> None:
    old, new = shop.life(), shop.life()
    assert old.run() == "runs"
    with pytest.raises(ValueError):
        new.recall(FORGED)
    assert new.run(same=FORGED) == "elsewhere" and new.fetch(same=FORGED)() is None  # at once
    old.ends(b"result")
    assert new.fetch(same=FORGED)() is None


def test_a_claim_that_was_given_up_is_free(shop: Shop) -> None:
    old, new = shop.life(), shop.life()
    assert old.run() == "runs"
    old.ledger.record_never_started(TOKEN, old.until[TOKEN], ())
    assert new.recall() is None and new.run() == "runs"
    assert old.run() == "elsewhere"


def test_a_run_of_a_dead_life_fails_at_once_and_never_runs_again(shop: Shop) -> None:
    old, new = shop.life(), shop.life()
    assert old.run() == "runs"
    waits = new.fetch()
    old.dies()
    assert waits() is None
    assert new.run() == "elsewhere"
    assert shop.life().fetch()() is None


def test_a_stopped_life_is_waited_for_and_hands_its_end_on(
    shop: Shop,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old process is stopped between the claim and the `spawn`; the new one may not run it meanwhile."""
    old, new = shop.life(), shop.life()
    assert old.run() == "runs"
    ahead = clock.now() + HEARTBEAT_TIMEOUT_US + 1_000_000
    monkeypatch.setattr(clock, "now", lambda: ahead)
    assert new.lives.liveness(old.lives.life) is Liveness.STOPPED
    assert new.run() == "elsewhere"
    waits = new.fetch()
    monkeypatch.undo()
    old.ends(b"after all")
    assert waits() == b"after all"


def test_of_claims_at_the_same_moment_one_runs(shop: Shop) -> None:
    lives = [shop.life() for _ in range(3)]
    start = threading.Barrier(len(lives))
    told: dict[int, list[str]] = {}
    tokens = [number.to_bytes(16, "little") for number in range(2_000)]

    def claims(number: int) -> None:
        start.wait()
        told[number] = [lives[number].run(token) for token in tokens]

    threads = [threading.Thread(target=claims, args=(number,)) for number in range(len(lives))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = [sum(told[number][at] == "runs" for number in range(len(lives))) for at in range(len(tokens))]
    assert set(runs) == {1}


def test_segments_are_sealed_and_dropped_and_a_sleeper_finds_its_way(
    shop: Shop,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards: a life that was stopped for long writes into a segment that others have sealed and dropped."""
    monkeypatch.setattr(segment_writer, "SEGMENT_BYTES", 2_000)
    old, new = shop.life(), shop.life()
    stale = old.ledger._reader.current
    for number in range(100):
        token = number.to_bytes(16, "little")
        assert new.run(token, until=clock.now() + 1) == "runs"
        new.ends(b"r" * 100, token)
    with new.ledger._lock:
        new.ledger._table._max_read_delay = -UNREAD  # so that all but what follows has aged
        new.ledger._housekeeping.run_tasks()
    left = OsFolder(shop.path / "ledger").numbers()
    assert left and left[0] > 5
    assert old.ledger._reader.current is stale  # it has slept all the while
    assert new.run() == "runs"
    assert old.run() == "elsewhere"
    assert old.ledger._reader.current.number == left[-1]


def test_a_removed_folder_is_made_anew_with_all_that_counts(shop: Shop) -> None:
    old = shop.life()
    assert old.run() == "runs" and old.run(OTHER) == "runs"
    old.ends(b"result")
    shutil.rmtree(shop.path)
    assert old.recall() == StoredEntry(TOKEN, True)
    assert old.fetch()() == b"result"
    with old.ledger._lock:
        old.ledger._housekeeping.run_tasks()
    new = shop.life()
    assert new.lives.liveness(old.lives.life) is Liveness.ALIVE
    assert new.fetch()() == b"result"
    assert new.run(OTHER) == "elsewhere"


class Trouble(OsFolder):
    """A folder whose disk fails: at the next appends, each with a part of what was to be written."""

    failures = 0
    part = 2 / 3

    def open(self, number: int, create: bool) -> Segment:
        segment = super().open(number, create)
        append = segment.append

        def fails(data: bytes) -> None:
            if self.failures:
                self.failures -= 1
                append(data[: int(len(data) * self.part)])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            append(data)

        segment.append = fails  # type: ignore[method-assign]
        return segment


def test_alone_on_a_full_disk_a_life_goes_on_in_memory_and_says_it_later(shop: Shop) -> None:
    folder = Trouble(shop.path / "ledger")
    old = shop.life(folder)
    folder.failures = 1 << 30
    assert old.run() == "runs" and old.ledger.capacity_wait_us() == 0
    old.ends(b"result")
    assert old.fetch()() == b"result" and old.run() == "elsewhere"
    folder.failures = 0
    old.ledger._writer._retry_at = 0
    assert old.ledger.capacity_wait_us() == 0
    assert shop.life().fetch()() == b"result"


def test_beside_others_a_life_on_a_full_disk_takes_nothing_new_on(shop: Shop) -> None:
    folder = Trouble(shop.path / "ledger")
    old, new = shop.life(folder), shop.life()
    assert old.run() == "runs"
    folder.failures = 1 << 30
    assert old.run(OTHER) == "refused"
    assert old.ledger.capacity_wait_us() > 0
    old.ends(b"result")  # which is kept, and told once that is possible
    waits = new.fetch()
    assert new.run(OTHER) == "runs"
    folder.failures = 0
    assert waits() == b"result"
    assert old.ledger.capacity_wait_us() == 0


def test_a_claim_that_failed_but_stands_there_keeps_nobody_waiting(shop: Shop) -> None:
    """Guards: a write that failed, though all of it is in the file, is a claim without end."""
    folder = Trouble(shop.path / "ledger")
    old, new = shop.life(folder), shop.life()
    folder.failures, folder.part = 1, 1.0
    assert old.run() == "refused"
    assert new.run(OTHER) == "runs" and new.run() == "elsewhere"
    old.ledger._writer._retry_at = 0
    assert old.ledger.capacity_wait_us() == 0  # it works again, and has given the claim up
    assert new.run() == "runs"


def test_a_later_format_beside_a_life_that_serves_is_a_folder_that_fails(shop: Shop) -> None:
    old, new = shop.life(), shop.life()
    with old.ledger._lock:
        old.ledger._reader.current.file.append(put(SEAL, 1, records.NO_TOKEN, 1, 1))
    (shop.path / "ledger" / "0000000002.ledger").write_bytes(b"CVL2" + bytes(60))
    assert old.run() == "refused" and old.ledger.capacity_wait_us() > 0
    assert new.recall() is None


def test_at_its_bound_it_takes_no_key_on(shop: Shop) -> None:
    life = shop.life()
    life.ledger._max_bytes = 500
    assert life.ledger.capacity_wait_us() == 0 and life.run() == "runs"
    life.ends(b"r" * 600)
    assert life.ledger.capacity_wait_us() > 0


@pytest.mark.parametrize("seed", range(4))
def test_damage_anywhere_is_never_a_wrong_result(shop: Shop, seed: int) -> None:
    """A segment with bytes changed, zeros in the middle or a foreign file beside it: a record may be missing,
    none is invented, and the rest counts."""
    chance = random.Random(seed)
    old = shop.life()
    results = {number.to_bytes(16, "little"): chance.randbytes(200) for number in range(40)}
    for token, result in results.items():
        assert old.run(token) == "runs"
        old.ends(result, token)
    old.dies()
    path = shop.path / "ledger" / "0000000001.ledger"
    data = bytearray(path.read_bytes())
    for _ in range(5):
        at, length = chance.randrange(len(data)), chance.choice([1, 1, 50])
        data[at : at + length] = bytes(length) if chance.random() < 0.5 else chance.randbytes(length)
    path.write_bytes(data)
    (shop.path / "ledger" / "notes.txt").write_text("of somebody")
    new = shop.life()
    right = 0
    for token, result in results.items():
        with contextlib.suppress(ValueError):  # its claim is damaged, the digest with it
            past = new.recall(token=token)
            if past is not None and past.has_result:
                found = new.fetch(token)()
                assert found in (None, result)
                right += found == result
    assert right >= 20


# --- who is there


def test_only_a_later_life_that_is_well_and_can_serve_is_an_heir(tmp_path: Path) -> None:
    """Guards: the mark of a later version that had crashed made the old one hand over to nobody."""
    first, second = Incarnations(tmp_path), Incarnations(tmp_path)
    first.enter()
    second.enter()
    assert not first.heir() and first.liveness(second.life) is Liveness.ALIVE
    second.ready()
    assert first.heir() and not second.heir()
    first.ready()
    assert not second.heir()  # which is older
    assert not first.alone()
    os.close(second._fd or -1)  # killed: its file stays, its lock does not
    assert not first.heir() and first.liveness(second.life) is Liveness.DEAD and first.alone()
    third = Incarnations(tmp_path)
    third.enter()
    assert third.others() == [first.life]  # what the dead one left is cleared away
    third.ready()
    assert first.heir()
    third.leave()
    assert not first.heir()


def test_a_stopped_heir_is_none(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    first, second = Incarnations(tmp_path), Incarnations(tmp_path)
    first.enter()
    second.enter()
    second.ready()
    ahead = clock.now() + HEARTBEAT_TIMEOUT_US + 1
    monkeypatch.setattr(clock, "now", lambda: ahead)
    assert first.liveness(second.life) is Liveness.STOPPED and not first.heir() and not first.alone()


def test_a_life_is_never_seen_without_its_lock(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards: between its making and its lock a file would be taken for a dead life's, and removed."""
    first, second = Incarnations(tmp_path), Incarnations(tmp_path)
    first.enter()
    seen: list[list[int]] = []
    monkeypatch.setattr(fcntl, "flock", lambda fd, how: seen.append(first.others()))
    second.enter()
    assert seen[-1] == []


def test_an_earlier_version_that_serves_is_found_by_its_mark(tmp_path: Path) -> None:
    assert legacy.serves(tmp_path, "n3") is None
    marks = tmp_path / legacy.MARKERS
    marks.mkdir()
    (marks / "n3.4194305.17").write_bytes(b"17\n")  # no such process
    (marks / f"n3.{os.getpid()}.17").write_bytes(b"17\n")  # its number is another process's by now
    assert legacy.serves(tmp_path, "n3") is None
    proc = tmp_path / "proc" / "77"  # as long on as the machine
    proc.mkdir(parents=True)
    (proc / "stat").write_text("77 (a (b) c) S" + " 0" * 30)
    booted = time.time_ns() - time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    (marks / f"n3.77.{booted + 1_000_000_000}").write_bytes(b"17\n")
    assert legacy.serves(tmp_path, "n3", proc.parent) == 77


# --- killed at any step


class Killed(BaseException):
    """The process has ended here."""


class Steps(OsFolder):
    """A folder whose process is killed at one of its steps: before a write, in the middle of it or behind it,
    or before a file is made or removed."""

    steps = 0
    kill_at = -1

    def step(self) -> bool:
        """Whether this is the one."""
        self.steps += 1
        return self.steps - 1 == self.kill_at

    def open(self, number: int, create: bool) -> Segment:
        if create and self.step():
            raise Killed
        segment = super().open(number, create)
        append = segment.append

        def dies(data: bytes) -> None:
            for part in (0, len(data) // 2, len(data)):
                if self.step():
                    if part:
                        append(data[:part])
                    raise Killed
            append(data)

        segment.append = dies  # type: ignore[method-assign]
        return segment

    def remove(self, number: int) -> None:
        if self.step():
            raise Killed
        super().remove(number)


# How the first three commits of the history end.
RESULTS = {b"\1" * 16: b"a" * 300, b"\2" * 16: b"b" * 300, b"\3" * 16: None}


def history(life: Life, began: list[bytes], told: dict[bytes, bytes | None]) -> None:
    """Two commits that end, one that fails, one that never began and one in the middle; segments are sealed
    and dropped on the way."""
    tokens = [bytes([number]) * 16 for number in range(1, 6)]
    for token in tokens:
        if life.run(token) == "runs":
            began.append(token)
    for token, result in RESULTS.items():
        life.ends(result, token)
        told[token] = result
    began.remove(tokens[3])
    life.ledger.record_never_started(tokens[3], life.until[tokens[3]], ())
    with life.ledger._lock:
        life.ledger._housekeeping.run_tasks()


def test_killed_at_any_step_no_run_is_forgotten_and_no_answer_changed(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """At every step until none is left: what began is never run by the next life, and what was told is what
    it tells. A life beside the killed one has claimed in between, behind what was torn."""
    monkeypatch.setattr(segment_writer, "SEGMENT_BYTES", 500)
    kill_at = 0
    while True:
        shop = Shop(tmp_path / str(kill_at))
        folder = Steps(shop.path / "ledger")
        began: list[bytes] = []
        told: dict[bytes, bytes | None] = {}
        folder.kill_at = kill_at
        finished = False
        try:
            old = shop.life(folder)
            history(old, began, told)
            finished = True
        except Killed:
            pass
        folder.kill_at = -1
        beside = shop.life()
        assert beside.run(OTHER) == "runs"
        beside.ends(b"beside", OTHER)
        if shop.all[0] is not beside:
            shop.all[0].dies()
        new = shop.life()
        for token in began:
            assert new.run(token) == "elsewhere", (kill_at, token)
            # Written and not told of, as well as not written, may be what the kill has left.
            may = [told[token]] if token in told else [None, RESULTS.get(token)]
            assert new.fetch(token)() in may, (kill_at, token)
        assert new.fetch(OTHER)() == b"beside"
        for life in shop.all:
            life.ledger.close()
            life.lives.leave()
        if finished:
            break
        kill_at += 1
    assert kill_at > 30
