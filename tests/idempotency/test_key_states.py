"""The state machine of an idempotency key, and the decisions that depend on its state."""

from __future__ import annotations

import pytest

from cairnvane.claims import states
from cairnvane.claims.states import IllegalStepError, KeyState, Step


@pytest.mark.parametrize(
    ("state", "step", "next_state"),
    [
        (KeyState.UNKNOWN, Step.INTENT, KeyState.INTENDED),
        (KeyState.INTENDED, Step.CALL, KeyState.CALLING),
        (KeyState.INTENDED, Step.RESULT, KeyState.FINISHED),
        (KeyState.CALLING, Step.RESULT, KeyState.FINISHED),
        (KeyState.CALLING, Step.FAULT, KeyState.FAILED),
        (KeyState.INTENDED, Step.NEVER, KeyState.VOID),
        (KeyState.VOID, Step.INTENT, KeyState.INTENDED),
        (KeyState.AGED, Step.INTENT, KeyState.INTENDED),
        (KeyState.FINISHED, Step.INTENT, None),
        (KeyState.FINISHED, Step.RESULT, None),
        (KeyState.FAILED, Step.RESULT, None),
        (KeyState.CALLING, Step.NEVER, None),
        (KeyState.FINISHED, Step.NEVER, None),
        (KeyState.UNKNOWN, Step.CALL, None),
    ],
)
def test_a_step_leads_to_the_next_state_or_is_illegal(
    state: KeyState, step: Step, next_state: KeyState | None
) -> None:
    if next_state is None:
        with pytest.raises(IllegalStepError):
            states.advance(state, step)
    else:
        assert states.advance(state, step) is next_state


@pytest.mark.parametrize(
    ("state", "is_pool_alive", "decision"),
    [
        (KeyState.UNKNOWN, True, states.RetryDecision.RUN),
        (KeyState.VOID, False, states.RetryDecision.RUN),
        (KeyState.AGED, True, states.RetryDecision.RUN),
        (KeyState.INTENDED, True, states.RetryDecision.WAIT),
        (KeyState.CALLING, True, states.RetryDecision.WAIT),
        (KeyState.INTENDED, False, states.RetryDecision.FAIL),
        (KeyState.CALLING, False, states.RetryDecision.FAIL),
        (KeyState.FINISHED, False, states.RetryDecision.RESULT),
        (KeyState.FAILED, True, states.RetryDecision.FAIL),
    ],
)
def test_the_decision_on_a_duplicate_follows_from_the_state(
    state: KeyState, is_pool_alive: bool, decision: states.RetryDecision
) -> None:
    assert states.decide_duplicate(state, is_pool_alive) is decision


@pytest.mark.parametrize(
    ("state", "recorded_notice", "asking_notice", "is_allowed"),
    [
        (KeyState.INTENDED, 0, 4, True),
        (KeyState.CALLING, 4, 4, False),
        (KeyState.CALLING, 4, 9, True),
    ],
)
def test_a_call_that_may_have_been_made_is_not_allowed_again(
    state: KeyState,
    recorded_notice: int,
    asking_notice: int,
    is_allowed: bool,
) -> None:
    assert states.call_may_be_made(state, recorded_notice, asking_notice) is is_allowed
