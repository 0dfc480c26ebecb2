"""Random valid event sequences. `SimulatedHost` asserts the four rules after every batch."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

from admission_helpers import CLASSES, KEYED, MS, Place, SimulatedHost, start_host
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from cairnvane.contract.events import Arrival, DrainStarted, Outcome
from cairnvane.contract.settings import CancelMode, DependencyKind, LoadSignal

OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.REJECTED, Outcome.UNREACHED)


class Step(Enum):
    """Something that happens to the host. Each step has two random numbers that choose the details."""

    ARRIVE = auto()
    FINISH_RUN = auto()
    REQUEST_CALL = auto()
    FINISH_CALL = auto()
    DISCONNECT = auto()
    ADVANCE = auto()
    DRAIN = auto()


STEP_FREQUENCIES = {
    Step.ARRIVE: 5,
    Step.FINISH_RUN: 4,
    Step.REQUEST_CALL: 1,
    Step.FINISH_CALL: 1,
    Step.DISCONNECT: 1,
    Step.ADVANCE: 3,
    Step.DRAIN: 1,
}
WEIGHTED_STEPS = [step for step, frequency in STEP_FREQUENCIES.items() for _ in range(frequency)]
STEP = st.tuples(st.sampled_from(WEIGHTED_STEPS), st.integers(0, 999), st.integers(0, 999))
SETUP = st.fixed_dictionaries(
    {
        "cancel_mode": st.sampled_from(CancelMode),
        "load_signal": st.sampled_from(LoadSignal),
        "dependency": st.sampled_from([DependencyKind.SHARED, DependencyKind.TIER]),
        "dependency_quota": st.sampled_from([0.0, 0.4, 1.0, 3.3, 20.0]),
        "memory": st.sampled_from([500.0, 2_000.0, 100_000.0]),
        "cold_start": st.booleans(),
        "cold_speed": st.just(0.25),
        "warmup_time": st.just(8_000 * MS),
        "clients": st.sampled_from([0, 1, 5, 900]),
    }
)


def arrive_or_retry(
    host: SimulatedHost, request_id: int, originals: dict[int, int], first_choice: int, second_choice: int
) -> None:
    """A request arrives; a keyed one is a duplicate if the key that `second_choice` selects is remembered."""
    class_index = first_choice % len(CLASSES)
    key = second_choice % 7
    original = originals.get(key) if class_index == KEYED else None
    original = original if original in host.remembered_keys else None
    time_left = None if first_choice % 2 else (50 + second_choice * 3) * MS
    queue_delay = min(host.now, (second_choice % 50) * 10 * MS)
    memory = 5.0 + first_choice % 20
    cost = 1_000 + second_choice
    host.send(Arrival(request_id, class_index, queue_delay, time_left, memory, cost, duplicate_of=original))
    if request_id in host.remembered_keys:
        originals[key] = request_id


@hypothesis_settings(max_examples=60, derandomize=True, deadline=None)
@given(SETUP, st.lists(STEP, min_size=30, max_size=150))
def test_the_four_rules_hold_for_random_events(
    setup: dict[str, Any], steps: list[tuple[Step, int, int]]
) -> None:
    host = start_host(**setup)
    request_id = 0
    originals: dict[int, int] = {}  # key -> the request that is remembered with it
    for step, first_choice, second_choice in steps:
        running = host.ids(Place.RUNNING)
        calling = host.ids(Place.CALLING)
        unanswered = [number for number, request in host.requests.items() if not request.answered]
        if step is Step.ARRIVE:
            request_id += 1
            arrive_or_retry(host, request_id, originals, first_choice, second_choice)
        elif step is Step.FINISH_RUN and running:
            host.finish(
                running[first_choice % len(running)], Outcome.ERROR if second_choice % 5 == 0 else Outcome.OK
            )
        elif step is Step.REQUEST_CALL and running:
            host.request_call(running[first_choice % len(running)])
        elif step is Step.FINISH_CALL and calling:
            host.finish_call(calling[first_choice % len(calling)], OUTCOMES[second_choice % 5])
        elif step is Step.DISCONNECT and unanswered:
            host.disconnect(unanswered[first_choice % len(unanswered)])
        elif step is Step.ADVANCE:
            host.advance((1 + second_choice) * MS)
        elif step is Step.DRAIN and host.drain_at is None and second_choice < 100:
            host.send(DrainStarted(5_000 * MS))
    host.advance(6_000 * MS)
    assert all(request.answered for request in host.requests.values())
