"""The controller takes the same actions as version f6762b4, over many events and settings.

`data/recorded_actions.json` holds digests and counts written by that version. `python
tests/recordings/test_recorded_actions.py` writes them again, and must be run on that version only.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from neutral import ACTION_LABELS, EVENT_LABELS
from seeded_host import MS, NEW_CLIENT_EACH_TIME, SECOND, Recording, Scenario, SeededHost

from cairnvane.contract.actions import LogMessage
from cairnvane.contract.events import ConcurrentCalls
from cairnvane.contract.settings import (
    CancelMode,
    DependencyKind,
    LoadSignal,
    RequestClass,
    RetrySemantics,
    Settings,
    Tenant,
)

RECORDED = Path(__file__).parents[1] / "data" / "recorded_actions.json"
MIN_EVENTS = 100_000
NEVER_EMITTED = {ACTION_LABELS[LogMessage]}  # the controller writes no log messages
# The recorded version does not know it; `tests/admission/test_controller_dependency.py` covers it.
NEVER_RECORDED = {EVENT_LABELS[ConcurrentCalls]}
EVENTS = 18_000

READ = RequestClass("read", latency_objective=300 * MS, client_timeout=900 * MS, degraded_fraction=0.5)
WRITE = RequestClass(
    "write",
    latency_objective=400 * MS,
    client_timeout=1_500 * MS,
    priority_weight=3.0,
    retry_semantics=RetrySemantics.IDEMPOTENCY_KEYED,
    retry_window=8 * SECOND,
)
ONCE = RequestClass(
    "once",
    latency_objective=300 * MS,
    client_timeout=1_000 * MS,
    priority_weight=2.0,
    retry_semantics=RetrySemantics.NON_IDEMPOTENT,
)
BATCH = RequestClass(
    "batch",
    latency_objective=600 * MS,
    client_timeout=3_000 * MS,
    priority_weight=0.5,
    late_fraction=0.3,
    objective_per_cost=2.0,
)
LATE_WRITE = replace(
    WRITE, name="late write", late_fraction=0.2, degraded_fraction=0.1, retry_window=3 * SECOND
)
PLAIN = Settings(
    cores=4,
    memory=20_000.0,
    classes=(READ, WRITE, ONCE, BATCH),
    running_memory_factor=8.0,
    key_memory=1.0,
    cancel_mode=CancelMode.DISCARD,
    max_oversubscription=5.0,
    drain_grace=2 * SECOND,
    max_retry_after=SECOND,
    clients=20,
    min_round_interval=MS,
)
TENANTS = (Tenant("a", 40.0), Tenant("b", 120.0), Tenant("c", 5.0))

SCENARIOS: dict[str, Scenario] = {
    "no signal, no halts, no calls": Scenario(
        replace(PLAIN, cancel_mode=CancelMode.NONE, max_retry_after=0),
        seed=11,
        events=EVENTS,
        mean_work=15 * MS,
        load=0.9,
    ),
    "level, drop, shared calls": Scenario(
        replace(
            PLAIN,
            load_signal=LoadSignal.LEVEL,
            dependency=DependencyKind.SHARED,
            dependency_quota=6.0,
            abandoned_call_time=20 * MS,
        ),
        seed=12,
        events=EVENTS,
        mean_work=15 * MS,
        load=0.9,
        call_chance=0.5,
    ),
    "credit, pause, tier, tenants": Scenario(
        replace(
            PLAIN,
            cancel_mode=CancelMode.PAUSE,
            load_signal=LoadSignal.CREDIT,
            dependency=DependencyKind.TIER,
            tenants=TENANTS,
            over_quota_fraction=0.3,
            replicas=2,
        ),
        seed=13,
        events=EVENTS,
        mean_work=20 * MS,
        load=1.0,
        call_chance=0.4,
        clients=60,
    ),
    "weight, cold start, new callers": Scenario(
        replace(
            PLAIN,
            cores=8,
            load_signal=LoadSignal.WEIGHT,
            cold_start=True,
            cold_speed=0.2,
            warmup_time=5 * SECOND,
            max_oversubscription=3.0,
        ),
        seed=14,
        events=EVENTS,
        mean_work=30 * MS,
        load=1.1,
        clients=NEW_CLIENT_EACH_TIME,
        mean_incarnation_time=7 * SECOND,
        drains=False,
    ),
    "share below one call, little memory": Scenario(
        replace(
            PLAIN,
            cores=2,
            memory=4_500.0,
            classes=(READ, LATE_WRITE, ONCE),
            key_memory=4.0,
            load_signal=LoadSignal.CREDIT,
            dependency=DependencyKind.SHARED,
            dependency_quota=0.7,
            dependency_window=5 * SECOND,
            abandoned_call_time=50 * MS,
        ),
        seed=15,
        events=EVENTS,
        mean_work=10 * MS,
        load=0.8,
        call_chance=0.15,
        call_time=40 * MS,
        failure_chance=0.1,
    ),
    "one core, late worth, tenants, cold": Scenario(
        replace(
            PLAIN,
            cores=1,
            classes=(BATCH, LATE_WRITE),
            tenants=TENANTS[:2],
            over_quota_fraction=0.0,
            cancel_mode=CancelMode.PAUSE,
            load_signal=LoadSignal.WEIGHT,
            dependency=DependencyKind.TIER,
            cold_start=True,
            cold_speed=0.5,
            warmup_time=5 * SECOND,
            max_oversubscription=8.0,
            min_round_interval=5 * MS,
        ),
        seed=16,
        events=EVENTS,
        mean_work=8 * MS,
        load=1.3,
        call_chance=0.3,
    ),
    "full crowd, quick calls, late reading, lost timers": Scenario(
        replace(
            PLAIN,
            cores=8,
            max_oversubscription=2.0,
            load_signal=LoadSignal.WEIGHT,
            dependency=DependencyKind.SHARED,
            dependency_quota=20.0,
        ),
        seed=17,
        events=EVENTS,
        mean_work=30 * MS,
        load=1.2,
        call_chance=0.5,
        call_time=6 * MS,
        clients=2_000,
        delayed_read_chance=0.5,
        lost_timer_chance=0.01,
        mean_incarnation_time=30 * SECOND,
    ),
}


def _form(recording: Recording) -> dict[str, Any]:
    return {
        "digest": recording.digest,
        "checkpoints": recording.checkpoints,
        "events": dict(sorted(recording.events.items())),
        "actions": dict(sorted(recording.actions.items())),
    }


@pytest.mark.parametrize("name", SCENARIOS)
def test_actions_are_as_recorded(name: str) -> None:
    recorded = json.loads(RECORDED.read_text())[name]
    made = _form(SeededHost(SCENARIOS[name]).record())
    for part in ("checkpoints", "events", "actions", "digest"):
        assert made[part] == recorded[part], part


def test_the_recording_holds_every_event_and_action() -> None:
    recorded = json.loads(RECORDED.read_text())
    assert set(recorded) == set(SCENARIOS)
    events: Counter[str] = Counter()
    actions: Counter[str] = Counter()
    for recording in recorded.values():
        events.update(recording["events"])
        actions.update(recording["actions"])
    assert set(events) == set(EVENT_LABELS.values()) - NEVER_RECORDED
    assert set(actions) == set(ACTION_LABELS.values()) - NEVER_EMITTED
    assert events.total() >= MIN_EVENTS


def _write_recording() -> None:
    made = {name: _form(SeededHost(scenario).record()) for name, scenario in SCENARIOS.items()}
    RECORDED.write_text(json.dumps(made, indent=1) + "\n")


if __name__ == "__main__":
    _write_recording()
