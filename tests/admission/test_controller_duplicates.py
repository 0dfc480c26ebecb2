"""Duplicates and idempotency keys: no effect happens twice."""

from __future__ import annotations

from dataclasses import replace

import pytest
from admission_helpers import (
    CLASSES,
    IDEMPOTENT,
    KEYED,
    MS,
    NON_IDEMPOTENT,
    actions_of,
    arrive,
    occupy_cores,
    start_host,
)

from cairnvane.contract.actions import Fail, ForgetKey, MakeCall, Reject, RememberKey, ReplayResult, StartRun
from cairnvane.contract.events import Outcome
from cairnvane.contract.settings import DependencyKind


def test_a_duplicate_is_answered_with_the_result_of_its_original() -> None:
    host = start_host()
    assert actions_of(arrive(host, 1, KEYED), RememberKey) == [RememberKey(1, 8_005 * MS)]
    assert actions_of(arrive(host, 2, KEYED, duplicate_of=1), ReplayResult) == [ReplayResult(2)]
    host.finish(1)
    host.advance(7_900 * MS)
    assert actions_of(arrive(host, 3, KEYED, duplicate_of=1), ReplayResult) == [ReplayResult(3)]


def test_a_waiting_duplicate_is_failed_not_rejected_at_its_deadline() -> None:
    host = start_host()
    arrive(host, 1, KEYED)
    arrive(host, 2, KEYED, duplicate_of=1, time_left=300 * MS)
    host.advance(300 * MS)
    assert actions_of(host.actions, Fail) == [Fail(2)]


def test_rejecting_a_keyed_request_forgets_its_key() -> None:
    host = start_host()
    occupy_cores(host)
    arrive(host, 9, KEYED, time_left=300 * MS)
    host.advance(300 * MS)
    assert actions_of(host.actions, ForgetKey) == [ForgetKey(9)]


def test_a_key_is_remembered_for_the_lifetime_of_its_class() -> None:
    """Lifetimes differ by class: a key must expire on time although an older key expires later."""
    brief = replace(CLASSES[KEYED], name="brief", retry_window=1_000 * MS)
    host = start_host(classes=(*CLASSES, brief), memory=300.0, key_memory=100.0)
    arrive(host, 1, KEYED, memory=1.0)
    host.finish(1)
    arrive(host, 2, 3, memory=1.0)
    host.finish(2)
    assert actions_of(arrive(host, 3, KEYED, memory=1.0), Reject)  # no memory for a third key
    host.advance(1_100 * MS)
    assert actions_of(arrive(host, 4, KEYED, memory=1.0), StartRun)


@pytest.mark.parametrize(
    ("class_index", "outcome", "is_retried"),
    [
        (IDEMPOTENT, Outcome.ERROR, True),
        (KEYED, Outcome.ERROR, False),
        (KEYED, Outcome.TIMEOUT, False),
        (NON_IDEMPOTENT, Outcome.BROKEN, False),
        (KEYED, Outcome.REJECTED, True),
        (NON_IDEMPOTENT, Outcome.UNREACHED, True),
    ],
)
def test_a_call_with_an_effect_is_retried_only_if_it_provably_never_ran(
    class_index: int, outcome: Outcome, is_retried: bool
) -> None:
    host = start_host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    arrive(host, 1, class_index)
    assert actions_of(host.request_call(1), MakeCall)
    actions = host.finish_call(1, outcome)
    assert bool(actions_of(actions, MakeCall)) is is_retried
    assert bool(actions_of(actions, Fail)) is not is_retried
