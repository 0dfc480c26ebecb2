"""How long a suspicion lasts, and how often a ping is repeated."""

from __future__ import annotations

import random

import pytest

from cairnvane.membership import ping_schedule
from cairnvane.membership.local_health import suspicion_timeout_us


@pytest.mark.parametrize(
    ("accusers", "members", "suspects", "most"),
    [
        (1, 12, 1, 3_300_000),
        (2, 12, 1, 2_000_000),
        (4, 12, 1, 540_000),
        (4, 12, 3, 1_100_000),
        (1, 2, 1, 1_500_000),
    ],
)
def test_suspicion_timeout_shrinks_with_accusers_and_grows_with_suspects(
    accusers: int,
    members: int,
    suspects: int,
    most: int,
) -> None:
    took = suspicion_timeout_us(500_000, accusers, members, suspects)
    assert 0.9 * most <= took <= most


def test_ping_attempts_grow_with_the_loss_and_fall_back_without_it() -> None:
    loss = ping_schedule.PingLossEstimator(3)
    assert loss.attempts_needed() == ping_schedule.MIN_ATTEMPTS
    rng, asked = random.Random(1), []
    for lost in (0.0, 0.05, 0.3, 0.5, 0.99, 0.0):
        for _ in range(400):
            tries = next(n for n in range(1, 50) if n == 49 or rng.random() >= lost)
            loss.record_answer(tries)
        asked.append(loss.attempts_needed())
    assert asked[0] == asked[1] == asked[-1] == ping_schedule.MIN_ATTEMPTS  # helpers make up for that
    assert asked[1] < asked[2] < asked[3] < asked[4] == ping_schedule.MAX_ATTEMPTS
