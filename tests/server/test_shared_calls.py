"""The numbers of calls that concurrent incarnations of a server tell each other."""

from __future__ import annotations

from pathlib import Path

import pytest

from cairnvane.claims import Incarnations
from cairnvane.claims.incarnations import PublishedPart
from cairnvane.contract.events import ConcurrentCalls
from cairnvane.server import shared_calls
from cairnvane.server.shared_calls import CallUsage, SharedCalls

QUOTA = 9.0
ABANDONED_CALL_TIME = 200_000
USAGE = CallUsage(calls=3, waiting=2, abandoned=1, abandoned_until=1_000, excess=7.5)


@pytest.fixture
def incarnations(tmp_path: Path) -> tuple[Incarnations, Incarnations]:
    """Two incarnations of one server."""
    entered = Incarnations(tmp_path), Incarnations(tmp_path)
    for each in entered:
        each.enter()
    return entered


def test_abandoned_calls_of_another_incarnation_count_until_they_have_ended(
    incarnations: tuple[Incarnations, Incarnations],
) -> None:
    first, second = (SharedCalls(each, QUOTA, ABANDONED_CALL_TIME) for each in incarnations)
    first.publish(USAGE)
    assert second.read(999) == ConcurrentCalls(1, calls=4, wanted=6, excess=7.5)
    assert second.read(999) is None  # nothing has changed
    assert second.read(1_000) == ConcurrentCalls(1, calls=3, wanted=5, excess=7.5)


def test_usage_that_is_being_written_does_not_replace_the_last_one(
    tmp_path: Path,
    incarnations: tuple[Incarnations, Incarnations],
) -> None:
    first, second = (SharedCalls(each, QUOTA, ABANDONED_CALL_TIME) for each in incarnations)
    first.publish(USAGE)
    second.read(0)
    path = next(tmp_path.glob(f"*{incarnations[0].number}"))
    written = path.read_bytes()
    for size in range(PublishedPart.CALLS.offset + 1, len(written)):
        path.write_bytes(written[:size] + bytes(len(written) - size))
        assert second.read(0) is None


def test_earlier_version_that_publishes_nothing_is_taken_to_use_an_equal_part(
    incarnations: tuple[Incarnations, Incarnations],
) -> None:
    second = SharedCalls(incarnations[1], QUOTA, ABANDONED_CALL_TIME)
    assert second.read(0) == ConcurrentCalls(1, calls=4, wanted=4)


def test_other_version_that_publishes_another_form_is_taken_to_use_an_equal_part(
    incarnations: tuple[Incarnations, Incarnations],
) -> None:
    """Guards against the end of the process: an error in the event loop's thread ends it."""
    incarnations[0].publish(PublishedPart.CALLS, b"another form")
    second = SharedCalls(incarnations[1], QUOTA, ABANDONED_CALL_TIME)
    assert second.read(0) == ConcurrentCalls(1, calls=4, wanted=4)


def test_calls_of_an_incarnation_that_has_ended_count_as_abandoned(
    incarnations: tuple[Incarnations, Incarnations],
) -> None:
    """Guards against an overloaded vault: it may carry the calls of a killed process for some time."""
    first, second = (SharedCalls(each, QUOTA, ABANDONED_CALL_TIME) for each in incarnations)
    first.publish(USAGE._replace(abandoned=0))
    second.read(0)
    incarnations[0].leave()
    ended_at = shared_calls.LIST_INTERVAL_US
    assert second.read(ended_at) == ConcurrentCalls(0, calls=3, wanted=3)
    assert second.read(ended_at + ABANDONED_CALL_TIME) == ConcurrentCalls(0, calls=0, wanted=0)


def test_usage_is_published_again_after_the_file_was_removed(
    tmp_path: Path, incarnations: tuple[Incarnations, Incarnations]
) -> None:
    first, second = (SharedCalls(each, QUOTA, ABANDONED_CALL_TIME) for each in incarnations)
    first.publish(USAGE)
    next(tmp_path.glob(f"*{incarnations[0].number}")).unlink()
    incarnations[0].heartbeat()
    assert second.read(0) == ConcurrentCalls(1, calls=4, wanted=6, excess=7.5)
