"""The concurrency limit."""

from __future__ import annotations

from admission_helpers import IDEMPOTENT, MS, Place, arrive, occupy_cores, start_host

from cairnvane.admission import parameters
from cairnvane.contract.events import Arrival


def test_the_limit_climbs_while_throughput_grows_and_turns_when_it_falls() -> None:
    """Seen from outside: how many run at once while runs finish at a given rate."""
    host = start_host(max_oversubscription=40.0)
    host.runnable = 9
    request_id = 0

    def interval(per_second: int) -> int:
        """As many finished runs as a step needs, with requests queued all the while."""
        nonlocal request_id
        for _ in range(parameters.CLIMB_RUNS_PER_CORE * host.settings.cores):
            while host.count(Place.QUEUED) < 6:
                request_id += 1
                host.send(Arrival(request_id, IDEMPOTENT, time_left=60_000 * MS))
            host.advance(1_000 * MS // per_second)
            host.finish(host.ids(Place.RUNNING)[0])
        host.advance(60 * MS)
        return host.count(Place.RUNNING)

    counts = [interval(rate) for rate in (80, 80, 60, 80, 105, 140, 100)]
    assert counts[:2] == [4, 4]  # at the minimum
    assert counts[2:6] == [5, 6, 7, 8]  # throughput fell there, and then grew with each step
    assert counts[6] == 8
    host.finish(host.ids(Place.RUNNING)[0])
    assert host.count(Place.RUNNING) == 7  # it fell: one fewer, as soon as a run ends
    assert host.count(Place.QUEUED)


def test_a_burst_with_busy_cores_does_not_raise_the_limit() -> None:
    """The busy fraction lags; present demand shows whether cores idle."""
    host = start_host()
    occupy_cores(host, 8)
    host.runnable = 6
    host.advance(60 * MS)
    assert host.count(Place.RUNNING) == 4
    host.runnable, host.cpu_busy = 1, 0.95
    host.advance(50 * MS)
    assert host.count(Place.RUNNING) == 4  # round 58: a disk left cores idle for the moment
    host.cpu_busy = 0.5
    host.advance(50 * MS)
    assert host.count(Place.RUNNING) == 5


def test_a_read_delay_resets_the_limit_to_the_cores() -> None:
    """Round 29: reading shares the cores with what runs, and many running requests starved it."""
    host = start_host()
    host.runnable = 1
    for request_id in range(1, 9):
        arrive(host, request_id)
    host.advance(110 * MS)
    assert host.count(Place.RUNNING) > 4
    host.runnable = 9
    arrive(host, 20, queue_delay=200 * MS)
    while host.count(Place.RUNNING) > 3 and host.count(Place.QUEUED):
        host.finish(host.ids(Place.RUNNING)[0])
    assert host.count(Place.RUNNING) <= 4
