"""Suspicion timeouts, and the number of ping attempts."""

from __future__ import annotations

import random

import pytest

from cairnvane.membership import ping_schedule
from cairnvane.membership.local_health import suspicion_timeout_us


@pytest.mark.parametrize(
    ("accusers", "members", "suspects", "max_timeout_us"),
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
    max_timeout_us: int,
) -> None:
    timeout_us = suspicion_timeout_us(500_000, accusers, members, suspects)
    assert 0.9 * max_timeout_us <= timeout_us <= max_timeout_us


def test_ping_attempts_grow_with_the_loss_and_fall_back_without_it() -> None:
    estimator = ping_schedule.PingLossEstimator(3)
    assert estimator.attempts_needed() == ping_schedule.MIN_ATTEMPTS
    rng, needed = random.Random(1), []
    for loss_ratio in (0.0, 0.05, 0.3, 0.5, 0.99, 0.0):
        for _ in range(400):
            attempts = next(n for n in range(1, 50) if n == 49 or rng.random() >= loss_ratio)
            estimator.record_answer(attempts)
        needed.append(estimator.attempts_needed())
    # Helpers compensate for a loss of 5 %.
    assert needed[0] == needed[1] == needed[-1] == ping_schedule.MIN_ATTEMPTS
    assert needed[1] < needed[2] < needed[3] < needed[4] == ping_schedule.MAX_ATTEMPTS
