"""Random legal event sequences against the four rules, which `SimulatedHost` asserts after every batch."""

from __future__ import annotations

from typing import Any

from admission_helpers import CLASSES, KEYED, MS, Place, start_host
from hypothesis import given
from hypothesis import settings as tuned
from hypothesis import strategies as st

from cairnvane.contract.events import Arrival, DrainStarted, Outcome
from cairnvane.contract.settings import CancelMode, DependencyKind, LoadSignal

OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.REJECTED, Outcome.UNREACHED)
STEP = st.tuples(st.sampled_from("aaaaaffffncgtttd"), st.integers(0, 999), st.integers(0, 999))
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


@tuned(max_examples=60, derandomize=True, deadline=None)
@given(SETUP, st.lists(STEP, min_size=30, max_size=150))
def test_the_four_rules_hold(setup: dict[str, Any], steps: list[tuple[str, int, int]]) -> None:
    host = start_host(**setup)
    request_id = 0
    keyed: dict[int, int] = {}
    for kind, x, y in steps:
        running, calls = host.ids(Place.RUNNING), host.ids(Place.CALLING)
        alive = [r for r in host.requests if not host.requests[r].answered]
        if kind == "a":
            request_id += 1
            class_index = x % len(CLASSES)
            key = y % 7
            prior = keyed.get(key) if class_index == KEYED else None
            prior = prior if prior in host.remembered_keys else None
            left = None if x % 2 else (50 + y * 3) * MS
            queued = min(host.now, (y % 50) * 10 * MS)
            host.send(
                Arrival(request_id, class_index, queued, left, 5.0 + x % 20, 1_000 + y, duplicate_of=prior)
            )
            if request_id in host.remembered_keys:
                keyed[key] = request_id
        elif kind == "f" and running:
            outcome = (Outcome.OK, Outcome.ERROR)[y % 5 == 0]
            host.finish(running[x % len(running)], outcome)
        elif kind == "n" and running:
            host.request_call(running[x % len(running)])
        elif kind == "c" and calls:
            host.finish_call(calls[x % len(calls)], OUTCOMES[y % 5])
        elif kind == "g" and alive:
            host.disconnect(alive[x % len(alive)])
        elif kind == "t":
            host.advance((1 + y) * MS)
        elif kind == "d" and host.drain_at is None and y < 100:
            host.send(DrainStarted(5_000 * MS))
    host.advance(6_000 * MS)
    assert all(request.answered for request in host.requests.values())
