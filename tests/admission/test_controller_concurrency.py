"""The limit on concurrent runs."""

from __future__ import annotations

from admission_helpers import IDEMPOTENT, MS, Place, arrive, occupy_cores, start_host

from cairnvane.admission import parameters
from cairnvane.contract.events import Arrival


def test_the_limit_rises_while_throughput_grows_and_reverses_when_it_falls() -> None:
    """Observes the number of concurrent runs while runs finish at given rates."""
    host = start_host(max_oversubscription=40.0)
    host.runnable = 9
    request_id = 0

    def interval(per_second: int) -> int:
        """Finish the runs of one interval while requests stay queued; return the number of runs."""
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
    assert counts[2:6] == [5, 6, 7, 8]  # throughput fell first, then grew with each step
    assert counts[6] == 8
    host.finish(host.ids(Place.RUNNING)[0])
    assert host.count(Place.RUNNING) == 7  # throughput fell: one run fewer after the next run ends
    assert host.count(Place.QUEUED)


def test_a_burst_with_busy_cores_does_not_raise_the_limit() -> None:
    """The busy fraction lags; only the current demand shows whether cores are idle."""
    host = start_host()
    occupy_cores(host, 8)
    host.runnable = 6
    host.advance(60 * MS)
    assert host.count(Place.RUNNING) == 4
    host.runnable, host.cpu_busy = 1, 0.95
    host.advance(50 * MS)
    assert host.count(Place.RUNNING) == 4  # runs that wait for a disk leave cores idle only for a moment
    host.cpu_busy = 0.5
    host.advance(50 * MS)
    assert host.count(Place.RUNNING) == 5


def test_a_read_delay_resets_the_limit_to_the_cores() -> None:
    """Guards against too many runs starving the reading of requests, which shares the cores with them."""
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
