"""The state machine of an idempotency key, and what follows from its states."""

from __future__ import annotations

import pytest

from cairnvane.claims import states
from cairnvane.claims.states import IllegalStepError, KeyState, Step


@pytest.mark.parametrize(
    ("before", "step", "after"),
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
    before: KeyState, step: Step, after: KeyState | None
) -> None:
    if after is None:
        with pytest.raises(IllegalStepError):
            states.advance(before, step)
    else:
        assert states.advance(before, step) is after


@pytest.mark.parametrize(
    ("state", "pool_lives", "decision"),
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
    state: KeyState, pool_lives: bool, decision: states.RetryDecision
) -> None:
    assert states.decide_duplicate(state, pool_lives) is decision


@pytest.mark.parametrize(
    ("state", "recorded_for", "asked_by", "is_allowed"),
    [
        (KeyState.INTENDED, 0, 4, True),
        (KeyState.CALLING, 4, 4, False),
        (KeyState.CALLING, 4, 9, True),
    ],
)
def test_a_call_that_may_have_been_made_is_not_allowed_again(
    state: KeyState,
    recorded_for: int,
    asked_by: int,
    is_allowed: bool,
) -> None:
    assert states.call_may_be_made(state, recorded_for, asked_by) is is_allowed
