"""Power cuts before every step of the log, during compaction and during recovery."""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest
from durable_log_driver import BOOTS, SECOND_US, Driver, check_recovery, result, run_requests
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.claims.states import Step
from cairnvane.testbed.stand_ins.disk import Disk, PowerCut


def cut_at_every_step(scenario: Callable[[Driver], None], same_boot: bool = False) -> int:
    """Run the scenario with a power cut before its first step, then before its second, and so on.

    Returns the number of power cuts until the scenario ends without one.
    """
    cuts = 0
    while True:
        disk = Disk()
        driver = Driver(disk)
        disk.cut_at = disk.steps + cuts
        try:
            scenario(driver)
        except PowerCut:
            cuts += 1
        else:
            return cuts
        for image in disk.images():
            check_recovery(driver, image, BOOTS[0] if same_boot else BOOTS[1])


def test_a_power_cut_before_any_write_loses_no_run_and_no_answer() -> None:
    assert cut_at_every_step(lambda driver: run_requests(driver, 1, 60)) > 250


def test_a_power_cut_during_compaction_loses_nothing() -> None:
    def scenario(driver: Driver) -> None:
        run_requests(driver, 1, 45, gap=SECOND_US // 5)
        driver.compact()
        run_requests(driver, 50, 3)

    assert cut_at_every_step(scenario) > 200


def test_the_recovery_check_fails_for_a_log_without_start_records() -> None:
    """Shows that the check can fail: without start records a run is forgotten."""

    def scenario(driver: Driver) -> None:
        driver.record_starts = False
        run_requests(driver, 1, 5)

    with pytest.raises(AssertionError, match="would run again"):
        cut_at_every_step(scenario)


def test_three_power_cuts_in_a_row_during_recovery_lose_nothing() -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.cut_at = 90
    with pytest.raises(PowerCut):
        run_requests(driver, 1, 60)
    for image in list(disk.images())[:6]:
        for cut in range(4):
            again = Disk(image)
            again.cut_at = cut
            try:
                Driver(again, BOOTS[1], driver.now)
            except PowerCut:
                for second in list(again.images())[:4]:
                    third = check_recovery(driver, second, BOOTS[2])
                    check_recovery(driver, third.disk.content(), BOOTS[3])


STEPS = st.sampled_from(["start", "end", "fail", "never", "later", "much later", "compact", "drop"])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(STEPS, st.integers(1, 12)), max_size=40), st.integers(0, 60))
def test_random_histories_survive_a_power_cut(history: list[tuple[str, int]], cut: int) -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.cut_at = disk.steps + cut
    open_runs: list[int] = []
    number = 0
    try:
        for operation, choice in history:
            if operation == "start":
                number += 1
                open_runs.append(number)
                driver.start(number)
            elif operation in ("end", "fail", "never") and open_runs:
                chosen = open_runs.pop(choice % len(open_runs))
                if operation == "never":
                    del driver.started[chosen]
                    driver.write(Step.NEVER, chosen)
                else:
                    driver.end(chosen, result(chosen, choice * 300) if operation == "end" else None)
            elif operation == "compact":
                driver.compact(all_segments=choice % 2 == 0)
            else:
                driver.advance_clock({"later": SECOND_US // 2, "much later": 4 * SECOND_US}.get(operation, 1))
    except PowerCut:
        pass
    for image in disk.images():
        try:
            check_recovery(driver, image, BOOTS[cut % 2])
        except AssertionError as error:
            raise AssertionError(f"{history} cut at {cut}: {error}") from error


@pytest.mark.parametrize("kind", ["write", "sync", "create", "sync_folder"])
def test_after_a_disk_error_a_new_segment_takes_the_same_records(kind: str) -> None:
    disk = Disk()
    driver = Driver(disk)
    disk.fails = {kind: errno.EIO}
    with pytest.raises(OSError):
        driver.start(1)
    driver.log.abandon()
    disk.fails = {}
    driver.start(1)
    driver.end(1, result(1))
    for image in disk.images():
        check_recovery(driver, image, BOOTS[1])
