"""The states of an idempotency key, and the steps between them. No I/O.

    (unknown) --intent--> INTENDED --call--> CALLING --end with a result--> FINISHED
                             |  ^               |    --end without one----> FAILED
                             |  '--intent----- VOID  <--never-- INTENDED
                             '------------------------------ any state, its window over --> AGED

An end is final within its window: a second one, or a second intent behind it, is an illegal step. Such a step
in a log is damage, and the first one counts, since a caller may have been answered with it.
"""

from __future__ import annotations

from enum import IntEnum

from .errors import ClaimError


class KeyState(IntEnum):
    """How far the request of a key has come, as far as it is recorded."""

    UNKNOWN = 0
    INTENDED = 1  # the worker pool may have been asked to run it
    CALLING = 2  # and its call to the downstream dependency may have been made
    FINISHED = 3
    FAILED = 4  # its effect may have happened
    VOID = 5  # it provably never ran
    AGED = 6


class Step(IntEnum):
    """What a record says has happened. The numbers stand in the files: never give one a new meaning."""

    INTENT = 1
    CALL = 2
    RESULT = 3
    FAULT = 4
    NEVER = 5
    LINK = 6  # of no key: the link to the worker pool came up


class RetryDecision(IntEnum):
    """What is done with a duplicate."""

    RUN = 0  # run it: nothing stands in its way
    WAIT = 1  # wait for the end of the original request
    RESULT = 2  # answer with the cached result
    FAIL = 3  # fail it at once: its outcome will never be known


class IllegalStepError(ClaimError):
    """A step that can't follow the key's state."""


_STARTED = (KeyState.INTENDED, KeyState.CALLING)
_TRANSITIONS: dict[tuple[KeyState, Step], KeyState] = {
    **{(state, Step.INTENT): KeyState.INTENDED for state in (KeyState.UNKNOWN, KeyState.VOID, KeyState.AGED)},
    # The same intent again: after a write that failed half way, the whole group is written once more.
    **{(state, Step.INTENT): state for state in _STARTED},
    **{(state, Step.CALL): KeyState.CALLING for state in _STARTED},
    # The intent of an end may be missing: compacted away, or damaged.
    **{(state, Step.RESULT): KeyState.FINISHED for state in (KeyState.UNKNOWN, KeyState.AGED, *_STARTED)},
    **{(state, Step.FAULT): KeyState.FAILED for state in (KeyState.UNKNOWN, KeyState.AGED, *_STARTED)},
    (KeyState.INTENDED, Step.NEVER): KeyState.VOID,
    (KeyState.VOID, Step.NEVER): KeyState.VOID,
    (KeyState.UNKNOWN, Step.NEVER): KeyState.VOID,
}


def advance(state: KeyState, step: Step) -> KeyState:
    """Return the state after a step; `IllegalStepError` if it can't follow."""
    next_state = _TRANSITIONS.get((state, step))
    if next_state is None:
        raise IllegalStepError(f"{step.name} after {state.name}")
    return next_state


def decide_duplicate(state: KeyState, pool_lives: bool) -> RetryDecision:
    """Decide what a duplicate gets within the key's window.

    A run without a recorded end goes on only in the worker pool that was asked to run it (`pool_lives`). If
    that pool was replaced, the run may have had its effect and is never started again.
    """
    if state in _STARTED:
        return RetryDecision.WAIT if pool_lives else RetryDecision.FAIL
    if state is KeyState.FINISHED:
        return RetryDecision.RESULT
    if state is KeyState.FAILED:
        return RetryDecision.FAIL
    return RetryDecision.RUN


def call_may_be_made(state: KeyState, recorded_for: int, asked_by: int) -> bool:
    """Whether a run of an earlier incarnation that asks for its call (in notice `asked_by`) may make it.

    Not if the recorded call was asked for by this very notice: it may have been made, and its effect would
    happen twice.
    """
    return state is KeyState.INTENDED or recorded_for != asked_by


# Two recorded start times of a pool that differ by at most this are the same start: the pool reports its age
# in whole milliseconds, and the report is read a little later.
SAME_START_US = 250_000


def same_pool(recorded: int | None, started: int) -> bool:
    """Whether the pool that answered is the one that an earlier incarnation was linked to.

    Both are start times in microseconds of the monotonic clock. If none is recorded, no run was ever given to
    a pool.
    """
    return recorded is None or abs(started - recorded) <= SAME_START_US
