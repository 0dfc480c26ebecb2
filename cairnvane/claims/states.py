"""The states of an idempotency key, and the steps between them. No I/O.

    (unknown) --intent--> INTENDED --call--> CALLING --end with a result--> FINISHED
                             |  ^               |    --end without one----> FAILED
                             |  '--intent----- VOID  <--never-- INTENDED
                             '------------------------------ any state, key expired --> AGED

An end is final until the key expires: a second end, or an intent after an end, is an illegal step. Such a
step in a log means that the log is damaged. The first end is kept, since a caller may have been answered with
it.
"""

from __future__ import annotations

from enum import IntEnum

from .errors import ClaimError


class KeyState(IntEnum):
    """The recorded progress of the request of a key."""

    UNKNOWN = 0
    INTENDED = 1  # the worker pool may have been told to run the request
    CALLING = 2  # also, its call to the downstream dependency may have been made
    FINISHED = 3  # the run has ended with a result
    FAILED = 4  # the run has ended without a result; its effect may have happened
    VOID = 5  # the request provably never ran
    AGED = 6  # the key has expired


class Step(IntEnum):
    """The event that a record describes. The numbers are stored in files: never change their meaning."""

    INTENT = 1
    CALL = 2
    RESULT = 3
    FAULT = 4
    NEVER = 5
    LINK = 6  # concerns no key: the link to the worker pool was established


class RetryDecision(IntEnum):
    """How a duplicate is handled."""

    RUN = 0  # run it: the original request did not run or has expired
    WAIT = 1  # wait for the end of the original request
    RESULT = 2  # answer with the cached result
    FAIL = 3  # fail it at once: its outcome will never be known


class IllegalStepError(ClaimError):
    """A step that is not allowed in the key's state."""


_STARTED = (KeyState.INTENDED, KeyState.CALLING)
_TRANSITIONS: dict[tuple[KeyState, Step], KeyState] = {
    **{(state, Step.INTENT): KeyState.INTENDED for state in (KeyState.UNKNOWN, KeyState.VOID, KeyState.AGED)},
    # An intent may be repeated: after a partly failed write, the whole group of records is written again.
    **{(state, Step.INTENT): state for state in _STARTED},
    **{(state, Step.CALL): KeyState.CALLING for state in _STARTED},
    # The intent before an end may be missing, because it was compacted away or is damaged.
    **{(state, Step.RESULT): KeyState.FINISHED for state in (KeyState.UNKNOWN, KeyState.AGED, *_STARTED)},
    **{(state, Step.FAULT): KeyState.FAILED for state in (KeyState.UNKNOWN, KeyState.AGED, *_STARTED)},
    (KeyState.INTENDED, Step.NEVER): KeyState.VOID,
    (KeyState.VOID, Step.NEVER): KeyState.VOID,
    (KeyState.UNKNOWN, Step.NEVER): KeyState.VOID,
}


def advance(state: KeyState, step: Step) -> KeyState:
    """Return the state after a step; raises `IllegalStepError` if the step is not allowed."""
    next_state = _TRANSITIONS.get((state, step))
    if next_state is None:
        raise IllegalStepError(f"{step.name} after {state.name}")
    return next_state


def decide_duplicate(state: KeyState, is_pool_alive: bool) -> RetryDecision:
    """Decide how a duplicate is handled that arrives before the key expires.

    A run without a recorded end can continue only in the worker pool that was told to run it; `is_pool_alive`
    tells whether that pool still exists. If it was replaced, the run may have had its effect and is never
    started again.
    """
    if state in _STARTED:
        return RetryDecision.WAIT if is_pool_alive else RetryDecision.FAIL
    if state is KeyState.FINISHED:
        return RetryDecision.RESULT
    if state is KeyState.FAILED:
        return RetryDecision.FAIL
    return RetryDecision.RUN


def call_may_be_made(state: KeyState, recorded_notice: int, asking_notice: int) -> bool:
    """Whether a run of an earlier incarnation that asks for its call in notice `asking_notice` may make it.

    It may not if that notice is also the one of the recorded call (`recorded_notice`): the call may have been
    made, and its effect would happen twice.
    """
    return state is KeyState.INTENDED or recorded_notice != asking_notice


# Two start times of a pool that differ by at most this denote the same start: the pool reports its age in
# whole milliseconds, and the report is read a little later.
MAX_START_DIFFERENCE_US = 250_000


def is_same_pool(recorded_start: int | None, observed_start: int) -> bool:
    """Whether the pool that answered is the one that an earlier incarnation was linked to.

    Both are start times in microseconds of the monotonic clock. If no start time is recorded, no run was ever
    given to a pool, so the result is True.
    """
    return recorded_start is None or abs(observed_start - recorded_start) <= MAX_START_DIFFERENCE_US
