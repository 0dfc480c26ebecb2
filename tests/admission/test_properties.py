"""Random legal event sequences against the four rules, which `helpers.Host` asserts after every batch."""

from __future__ import annotations

from typing import Any

from helpers import CLASSES, KEYED, MS, host
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
    h = host(**setup)
    rid = 0
    keyed: dict[int, int] = {}
    for kind, x, y in steps:
        running, calls = h.ids("running"), h.ids("calling")
        alive = [r for r in h.requests if not h.requests[r].answered]
        if kind == "a":
            rid += 1
            cls = x % len(CLASSES)
            key = y % 7
            prior = keyed.get(key) if cls == KEYED else None
            prior = prior if prior in h.kept else None
            left = None if x % 2 else (50 + y * 3) * MS
            queued = min(h.now, (y % 50) * 10 * MS)
            h.send(Arrival(rid, cls, queued, left, 5.0 + x % 20, 1_000 + y, duplicate_of=prior))
            if rid in h.kept:
                keyed[key] = rid
        elif kind == "f" and running:
            outcome = (Outcome.OK, Outcome.ERROR)[y % 5 == 0]
            h.finish(running[x % len(running)], outcome)
        elif kind == "n" and running:
            h.need(running[x % len(running)])
        elif kind == "c" and calls:
            h.called(calls[x % len(calls)], OUTCOMES[y % 5])
        elif kind == "g" and alive:
            h.gone(alive[x % len(alive)])
        elif kind == "t":
            h.pass_time((1 + y) * MS)
        elif kind == "d" and h.drain_at is None and y < 100:
            h.send(DrainStarted(5_000 * MS))
    h.pass_time(6_000 * MS)
    assert all(r.answered for r in h.requests.values())
