"""Health signals of the server itself: request arrivals and its event loop."""

from __future__ import annotations

from cluster_simulation import count_failure_verdicts, member_of, start_cluster

from cairnvane.membership.evidence import ExternalSignals
from cairnvane.membership.own_health import (
    ASK_INTERVAL_US,
    MIN_SILENCE_US,
    UNRESPONSIVE_AFTER_US,
    EventLoopMonitor,
    RequestArrivals,
)
from cairnvane.testbed.simulation.membership import SECOND


def test_missing_requests_are_detected_relative_to_the_mean_gap() -> None:
    arrivals, now = RequestArrivals(), 0
    assert arrivals.are_arriving(now) is None
    for _ in range(60):
        now += 20_000
        arrivals.record(now)
    assert arrivals.are_arriving(now + MIN_SILENCE_US - 1) and not arrivals.are_arriving(now + MIN_SILENCE_US)
    assert 45 < arrivals.per_second(now) < 55 and arrivals.per_second(now + 60 * SECOND) < 1
    for _ in range(200):
        now += SECOND // 2
        arrivals.record(now)
    assert arrivals.are_arriving(now + 9 * SECOND) and not arrivals.are_arriving(now + 11 * SECOND)


def test_unresponsive_event_loop_degrades_local_health_and_causes_no_suspicion() -> None:
    monitor = EventLoopMonitor()
    assert (
        monitor.should_ask(0)
        and not monitor.should_ask(ASK_INTERVAL_US)
        and monitor.is_responsive(UNRESPONSIVE_AFTER_US - 1)
    )
    assert not monitor.is_responsive(UNRESPONSIVE_AFTER_US)
    monitor.answered()
    assert monitor.is_responsive(UNRESPONSIVE_AFTER_US) and monitor.should_ask(ASK_INTERVAL_US)

    world = start_cluster(5)
    member = member_of(world, 2)
    for responsive in (False, True):
        member.external_signals = ExternalSignals(event_loop_responsive=responsive)
        world.run(world.now + 3 * SECOND)
        events = [event.event for _, number, event in world.told if number == 2]
        assert ("member.host_works" in events) is responsive and "member.host_held_up" in events
        assert responsive or member.health.score > 0
    assert count_failure_verdicts(world) == 0 and not any(
        event.event == "member.suspected" for _, _, event in world.told
    )
    assert world.run(world.now + 12 * SECOND, lambda: member.health.score == 0)
