"""The same settings, seed and events give the same actions."""

from __future__ import annotations

import random

from admission_helpers import MS, Place, start_host

from cairnvane.contract.actions import Action
from cairnvane.contract.events import Arrival


def test_the_same_events_give_the_same_actions() -> None:
    def run_scenario() -> list[Action]:
        host = start_host(seed=7)
        rng = random.Random(3)
        for request_id in range(1, 300):
            host.advance(rng.randrange(1, 30) * MS)
            host.send(Arrival(request_id, rng.randrange(3), memory=8.0))
            if host.ids(Place.RUNNING) and rng.random() < 0.5:
                host.finish(host.ids(Place.RUNNING)[0])
        return host.actions

    assert run_scenario() == run_scenario()
