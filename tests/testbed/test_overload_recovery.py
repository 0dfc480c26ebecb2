"""After any trouble of pool or vault the decisions serve again, whatever they have learned in it."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.cli import main
from cairnvane.contract.actions import Fail, MakeCall, SetTimer
from cairnvane.contract.events import Arrival, CallRequested, ClientDisconnected, Outcome, RunFinished
from cairnvane.testbed.experiments.recovery import CLASSES, KINDS, SETTINGS, Life, Trouble

# So long at the most may requests come and nothing be begun, once all is well. At one request a second, all
# that come within a few may be such as the module's random part turns away.
SHUT_S = 5


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.sampled_from(KINDS),
    st.integers(1, 12),
    st.sampled_from([2.0, 8.0, 30.0]),
    st.sampled_from([1.0, 5.0, 13.0, 20.0]),
    st.sampled_from([0.02, 0.16, 0.32]),
    st.integers(1, 1_000),
    st.booleans(),
)
def test_with_all_well_again_a_server_serves_again(
    kind: str,
    length: int,
    size: float,
    rate: float,
    call_s: float,
    seed: int,
    tells_over: bool,
) -> None:
    life = Life(Trouble(kind, length, size), rate, call_s, seed, tells_over, watch_s=20).play()
    assert life.shut_s() <= SHUT_S
    assert sum(life.ends[second] for second in range(8 + length + SHUT_S, 8 + length + 20)) > 0


@pytest.mark.parametrize("rate", [5.0, 13.0])
def test_a_pool_that_says_nothing_of_runs_at_a_call_locks_nothing(rate: float) -> None:
    """Guards: each counted as a call to come for good; the wait for a place that this made was longer than
    any aim, so nothing that calls was begun, and no call came back to say that the vault was well."""
    life = Life(Trouble("slow", 6), rate, seed=1, tells_over=False).play()
    back = life.back_s()
    assert back is not None and back <= 5


def test_a_run_whose_request_is_over_leaves_at_its_call() -> None:
    """Guards: it kept its memory, and the place of a call in hand, until an end that might never be told."""
    from cairnvane.admission.controller import Controller

    for gone in (False, True):
        control = Controller(SETTINGS, 1, 0)
        control.handle(0, [Arrival(1, 0, memory=24.5)])
        at_call = control.handle(100_000, [CallRequested(1)])
        assert [type(action) for action in at_call if not isinstance(action, SetTimer)] == [MakeCall]
        over = [ClientDisconnected(1)] if gone else []
        actions = control.handle(CLASSES[0].client_timeout, over)
        assert gone or Fail(1) in actions
        assert (control.memory, control.jobs, len(control.calling)) == (0.0, {}, 0)
        assert control.handle(CLASSES[0].client_timeout + 1, [RunFinished(1, Outcome.CANCELLED)]) == []


def test_a_trouble_that_does_not_exist_is_named() -> None:
    done = CliRunner().invoke(main, ["lab", "recovery", "--trouble", "sloww"])
    assert done.exit_code == 2 and "'sloww' is none of slow, silent" in done.output
