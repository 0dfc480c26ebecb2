"""After any fault of pool or dependency the controller serves again, despite measurements made during it."""

from __future__ import annotations

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnvane.cli import main
from cairnvane.contract.actions import Fail, MakeCall, SetTimer
from cairnvane.contract.events import Arrival, CallRequested, ClientDisconnected, Outcome, RunFinished
from cairnvane.testbed.experiments.recovery import CLASSES, KINDS, SETTINGS, Fault, ServerSimulation

# After the end of a fault, all arriving requests may be rejected for this time. At one request per second,
# random rejection by the controller can affect every request within a few seconds.
MAX_STANDSTILL_S = 5


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
def test_a_server_serves_again_after_any_fault(
    kind: str,
    length: int,
    size: float,
    rate: float,
    call_s: float,
    seed: int,
    tells_over: bool,
) -> None:
    server = ServerSimulation(Fault(kind, length, size), rate, call_s, seed, tells_over, watch_s=20).run()
    assert server.longest_standstill_s() <= MAX_STANDSTILL_S
    assert sum(server.served[second] for second in range(8 + length + MAX_STANDSTILL_S, 8 + length + 20)) > 0


@pytest.mark.parametrize("rate", [5.0, 13.0])
def test_a_pool_that_does_not_report_runs_cancelled_at_a_call_blocks_no_admission(rate: float) -> None:
    """Guards against counting each such run as an upcoming call for ever.

    The expected wait for a call slot then exceeded every latency objective. So no request with a call was
    started, and the controller could not observe that the dependency had recovered.
    """
    server = ServerSimulation(Fault("slow", 6), rate, seed=1, tells_over=False).run()
    recovery_s = server.recovery_s()
    assert recovery_s is not None and recovery_s <= 5


def test_a_run_whose_request_has_ended_releases_its_resources_at_its_call() -> None:
    """Guards against holding its memory and call slot until an end that the pool might never report."""
    from cairnvane.admission.controller import Controller

    for is_client_disconnected in (False, True):
        control = Controller(SETTINGS, 1, 0)
        control.handle(0, [Arrival(1, 0, memory=24.5)])
        at_call = control.handle(100_000, [CallRequested(1)])
        assert [type(action) for action in at_call if not isinstance(action, SetTimer)] == [MakeCall]
        events = [ClientDisconnected(1)] if is_client_disconnected else []
        actions = control.handle(CLASSES[0].client_timeout, events)
        assert is_client_disconnected or Fail(1) in actions
        assert (control.requests.memory, control.requests.by_id, len(control.calling)) == (0.0, {}, 0)
        assert control.handle(CLASSES[0].client_timeout + 1, [RunFinished(1, Outcome.CANCELLED)]) == []


def test_an_unknown_fault_is_reported_by_name() -> None:
    result = CliRunner().invoke(main, ["lab", "recovery", "--trouble", "sloww"])
    assert result.exit_code == 2 and "'sloww' is none of slow, silent" in result.output
