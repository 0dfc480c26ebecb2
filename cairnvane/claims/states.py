"""What a key stands for, step by step. No I/O.

    (unknown) --intent--> INTENDED --call--> CALLING --end with a result--> FINISHED
                             |  ^               |    --end without one----> FAILED
                             |  '--intent----- VOID  <--never-- INTENDED
                             '------------------------------ any state, its window over --> AGED

An end is final within its window: a second one, or a second intent behind it, is an illegal step. Such a step
in a log is damage, and what stood first counts, since a caller may have been told of it.
"""

from __future__ import annotations

from enum import IntEnum


class KeyState(IntEnum):
    """Where the request of a key stands, as far as it is recorded."""

    UNKNOWN = 0
    INTENDED = 1  # the pool may have been told to run it
    CALLING = 2  # and its call may have been made
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
    LINK = 6  # of no key: the pool's link came up


class RetryDecision(IntEnum):
    """What a repeat may get."""

    RUN = 0  # nothing stands in its way
    WAIT = 1  # for the end of the run that goes on
    RESULT = 2
    FAIL = 3  # at once: nothing better will ever be known


class IllegalStepError(Exception):
    """A step that can't follow."""


_BEGUN = (KeyState.INTENDED, KeyState.CALLING)
_NEXT: dict[tuple[KeyState, Step], KeyState] = {
    **{(state, Step.INTENT): KeyState.INTENDED for state in (KeyState.UNKNOWN, KeyState.VOID, KeyState.AGED)},
    # The same intent again: after a write that failed half way the whole group is written once more.
    **{(state, Step.INTENT): state for state in _BEGUN},
    **{(state, Step.CALL): KeyState.CALLING for state in _BEGUN},
    # The intent of an end may be gone: compacted away, or damaged.
    **{(state, Step.RESULT): KeyState.FINISHED for state in (KeyState.UNKNOWN, KeyState.AGED, *_BEGUN)},
    **{(state, Step.FAULT): KeyState.FAILED for state in (KeyState.UNKNOWN, KeyState.AGED, *_BEGUN)},
    (KeyState.INTENDED, Step.NEVER): KeyState.VOID,
    (KeyState.VOID, Step.NEVER): KeyState.VOID,
    (KeyState.UNKNOWN, Step.NEVER): KeyState.VOID,
}


def advance(state: KeyState, step: Step) -> KeyState:
    """The state after a step; `IllegalStep` if it can't follow."""
    after = _NEXT.get((state, step))
    if after is None:
        raise IllegalStepError(f"{step.name} after {state.name}")
    return after


def repeat(state: KeyState, pool_lives: bool) -> RetryDecision:
    """What a repeat gets within the window. A run without a recorded end goes on only in the pool that was
    told to run it; in a new pool it may have had its effect and is never run again."""
    if state in _BEGUN:
        return RetryDecision.WAIT if pool_lives else RetryDecision.FAIL
    if state is KeyState.FINISHED:
        return RetryDecision.RESULT
    return RetryDecision.FAIL if state is KeyState.FAILED else RetryDecision.RUN


def call_may_be_made(state: KeyState, recorded_for: int, asked_by: int) -> bool:
    """Whether a run of an earlier life that asks for its call (in notice `asked_by`) may have it. Not if that
    very call may have been made before: its effect would happen twice."""
    return state is KeyState.INTENDED or recorded_for != asked_by


# Two starts of a pool that lie closer are one: its age is told in whole milliseconds, and read a little
# later.
SAME_START_US = 250_000


def same_pool(recorded: int | None, started: int) -> bool:
    """Whether the pool that has answered is the one that an earlier life was linked to; both times are of the
    monotonic clock. If none is recorded, no run was ever given to one."""
    return recorded is None or abs(started - recorded) <= SAME_START_US
