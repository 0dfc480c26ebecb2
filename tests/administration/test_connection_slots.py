"""Eviction of administration connections, and the rate limit for accepting new ones."""

from __future__ import annotations

import pytest

from cairnvane.administration.connection_slots import (
    EVICTION_GRACE_S,
    MAX_ACCEPTS_PER_S,
    RATE_LIMIT_WINDOW_S,
    REQUEST_TIMEOUT_S,
    ConnectionSlots,
    Phase,
)


def test_eviction_order() -> None:
    slots: ConnectionSlots[str] = ConnectionSlots(3)
    for key in ("half", "silent", "answered"):
        assert slots.accept_delay(0.0) == 0.0 and slots.add(key, 0.0) is None
    slots.request_started("half")
    slots.request_started("answered")
    slots.answered("answered", 0.0)
    assert slots.add("d", 0.1) == "answered"
    assert slots.add("e", 0.2) == "silent"  # older than d
    slots.request_started("e")
    assert slots.add("f", 0.3) == "d"
    slots.request_started("f")
    assert slots.add("g", 0.4) == "half"  # all have sent part of a request: the oldest is evicted
    assert slots.eviction_candidate(0.45) == "e"
    assert slots.eviction_candidate(0.25) is None  # all are within their grace period
    assert slots.expire(REQUEST_TIMEOUT_S + 0.25) == [("e", Phase.PARTIAL)]
    assert slots.next_deadline() == pytest.approx(REQUEST_TIMEOUT_S + 0.3)


def test_no_connection_is_evicted_within_its_grace_period() -> None:
    """Regression: clients with partial requests kept their slots; new clients lost theirs in milliseconds."""
    slots: ConnectionSlots[int] = ConnectionSlots(4)
    for key in range(3):
        slots.add(key, 0.0)
        slots.request_started(key)
    slots.add(3, 1.0)
    assert (
        slots.accept_delay(1.0) == 0.0 and slots.add(4, 1.0) == 0
    )  # not 3, which is within its grace period
    assert [slots.add(5, 1.0), slots.add(6, 1.0)] == [1, 2]
    assert slots.eviction_candidate(1.0) is None and slots.accept_delay(1.0) > 0
    assert slots.accept_delay(1.0 + EVICTION_GRACE_S) == 0.0 and slots.add(7, 1.0 + EVICTION_GRACE_S) == 3


def test_accepts_are_rate_limited_only_while_no_slot_is_free() -> None:
    slots: ConnectionSlots[int] = ConnectionSlots(1_000)
    for key in range(1_000):
        assert slots.accept_delay(0.0) == 0.0
        slots.add(key, 0.0)
    next_key = 1_000
    while slots.accept_delay(10.0) == 0.0:
        assert slots.add(next_key, 10.0) == next_key - 1_000
        next_key += 1
    assert next_key - 1_000 == MAX_ACCEPTS_PER_S * RATE_LIMIT_WINDOW_S
    assert slots.accept_delay(11.0) == 0.0  # the token bucket was refilled
