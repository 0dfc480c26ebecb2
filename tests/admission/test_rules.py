"""The four rules, each with its edge, and the failures that measured rounds have found."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from helpers import CLASSES, KEYED, MS, SAFE, UNSAFE, Host, host, of, settings

from cairnvane.admission.controller import Controller
from cairnvane.contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    SkipCall,
    StartRun,
)
from cairnvane.contract.events import (
    Arrival,
    CallFinished,
    CallRequested,
    ClientDisconnected,
    DrainStarted,
    Outcome,
    RunFinished,
    TimerFired,
)
from cairnvane.contract.settings import (
    CancelMode,
    DependencyKind,
    LoadSignal,
    RequestClass,
    Settings,
    Tenant,
)


def arrive(h: Host, rid: int, cls: int = SAFE, memory: float = 10.0, **more: object) -> list[Action]:
    return h.send(Arrival(rid, cls, memory=memory, **more))  # type: ignore[arg-type]


def fill(h: Host, count: int = 4, first: int = 1) -> None:
    """Occupy the cores."""
    for rid in range(first, first + count):
        arrive(h, rid)


# --- no request lost ---


@pytest.mark.parametrize("cls", [SAFE, KEYED, UNSAFE])
def test_running_request_is_answered_and_stopped_before_it_is_due(cls: int) -> None:
    h = host()
    arrive(h, 1, cls, time_left=500 * MS)
    h.pass_time(500 * MS)
    assert of(h.log, Fail) == [Fail(1)]
    assert of(h.log, Cancel) == [Cancel(1)]


def test_work_that_cannot_be_stopped_is_answered_all_the_same() -> None:
    h = host(cancel_mode=CancelMode.NONE)
    arrive(h, 1, time_left=500 * MS)
    h.pass_time(500 * MS)
    assert of(h.log, Fail) == [Fail(1)]
    assert not of(h.log, Cancel)


def test_held_request_is_refused_before_it_is_due() -> None:
    h = host()
    fill(h)
    arrive(h, 9, time_left=400 * MS)
    h.pass_time(400 * MS)
    assert [a.request_id for a in of(h.log, Reject)] == [9]


def test_due_time_falls_back_to_the_class() -> None:
    h = host()
    h.now = 4_000 * MS
    arrive(h, 1, queue_delay=1_000 * MS)
    h.pass_time(2_000 * MS)
    assert of(h.log, Fail) == [Fail(1)]


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.NEVER_STARTED])
def test_a_run_that_ended_without_an_answer_is_failed(outcome: Outcome) -> None:
    """Guards: the request was forgotten, its answer still owed."""
    h = host()
    arrive(h, 1)
    assert of(h.send(RunFinished(1, outcome)), Fail) == [Fail(1)]


@pytest.mark.parametrize(
    ("cls", "called", "halts"),
    [
        (KEYED, True, False),
        (KEYED, False, True),
        (SAFE, True, True),
    ],
)
def test_a_run_that_the_next_try_could_reuse_goes_on_without_its_caller(
    cls: int,
    called: bool,
    halts: bool,
) -> None:
    """Guards: a keyed run was stopped when its caller left, and the next try failed for want of a result."""
    h = host()
    arrive(h, 1, cls)
    if called:
        h.need(1)
        h.called(1, Outcome.OK)
    assert bool(of(h.gone(1), Cancel)) is halts


def calls(h: Host, took: int, count: int) -> None:
    """So many requests, one after the other, each with a call that takes so long."""
    for rid in range(len(h.requests) + 1, len(h.requests) + count + 1):
        arrive(h, rid)
        h.need(rid)
        h.now += took
        h.requests[rid].where = "running"
        h.send(CallFinished(rid, Outcome.OK, took))
        h.finish(rid)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.UNREACHED, Outcome.REJECTED])
def test_one_short_call_does_not_make_all_others_look_slow(outcome: Outcome) -> None:
    """Guards: the first call's time was the best ever, and one call at a time was made for seconds."""
    h = host(dependency=DependencyKind.SHARED, dependency_quota=8.0, memory=1e6)
    for rid in range(1, 20):
        arrive(h, rid)
        h.need(rid)
        took = 1 * MS if rid == 1 else 20 * MS
        h.now += took
        h.requests[rid].where = "running"
        h.send(CallFinished(rid, outcome if rid == 1 else Outcome.OK, took))
        if rid == 1 and outcome is not Outcome.OK:  # it is tried again
            h.send(CallFinished(rid, Outcome.OK, 20 * MS))
        h.finish(rid)
    for rid in range(20, 24):
        arrive(h, rid)
        h.need(rid)
    assert h.count("calling") == 4


def test_request_already_overdue_at_its_reading_is_answered_at_once() -> None:
    h = host()
    h.now = 5_000 * MS
    assert of(arrive(h, 1, queue_delay=4_000 * MS), Reject)


def test_gone_caller_is_owed_nothing_and_frees_the_core() -> None:
    h = host()
    arrive(h, 1)
    assert of(h.gone(1), Cancel) == [Cancel(1)]
    h.pass_time(5_000 * MS)
    h.send(RunFinished(1, Outcome.CANCELLED))
    assert not h.control.running


# --- no effect twice ---


def test_repeat_is_answered_from_its_forerunner() -> None:
    h = host()
    assert of(arrive(h, 1, KEYED), RememberKey) == [RememberKey(1, 8_005 * MS)]
    assert of(arrive(h, 2, KEYED, duplicate_of=1), ReplayResult) == [ReplayResult(2)]
    h.finish(1)
    h.pass_time(7_900 * MS)
    assert of(arrive(h, 3, KEYED, duplicate_of=1), ReplayResult) == [ReplayResult(3)]


def test_waiting_repeat_is_failed_not_refused_when_due() -> None:
    h = host()
    arrive(h, 1, KEYED)
    arrive(h, 2, KEYED, duplicate_of=1, time_left=300 * MS)
    h.pass_time(300 * MS)
    assert of(h.log, Fail) == [Fail(2)]


def test_keyed_request_refused_unrun_leaves_no_entry() -> None:
    h = host()
    fill(h)
    arrive(h, 9, KEYED, time_left=300 * MS)
    h.pass_time(300 * MS)
    assert of(h.log, ForgetKey) == [ForgetKey(9)]


@pytest.mark.parametrize(
    ("cls", "outcome", "again"),
    [
        (SAFE, Outcome.ERROR, True),
        (KEYED, Outcome.ERROR, False),
        (KEYED, Outcome.TIMEOUT, False),
        (UNSAFE, Outcome.BROKEN, False),
        (KEYED, Outcome.REJECTED, True),
        (UNSAFE, Outcome.UNREACHED, True),
    ],
)
def test_call_is_repeated_only_if_it_provably_never_ran(cls: int, outcome: Outcome, again: bool) -> None:
    h = host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    arrive(h, 1, cls)
    assert of(h.need(1), MakeCall)
    actions = h.called(1, outcome)
    assert bool(of(actions, MakeCall)) is again
    assert bool(of(actions, Fail)) is not again


# --- safe drains ---


@pytest.mark.parametrize(("late", "runs"), [(2_000 * MS, True), (2_001 * MS, False)])
def test_what_reached_the_machine_after_the_grace_does_not_run(late: int, runs: bool) -> None:
    h = host()
    assert of(h.send(DrainStarted(5_000 * MS)), SetHealth) == [SetHealth(False, True)]
    h.pass_time(2_100 * MS)
    actions = arrive(h, 1, queue_delay=2_100 * MS - late)
    assert bool(of(actions, StartRun)) is runs
    assert bool(of(actions, Reject)) is not runs


def test_all_is_answered_before_the_stop() -> None:
    h = host()
    fill(h, 6)
    h.send(DrainStarted(1_000 * MS))
    h.pass_time(1_000 * MS)
    assert all(r.answered for r in h.requests.values())


# --- no fall-over ---


def test_what_does_not_fit_into_memory_is_refused() -> None:
    h = host(memory=200.0)
    assert of(arrive(h, 1, memory=20.0), StartRun)
    assert of(arrive(h, 2, memory=20.0), Reject)


def test_waiting_repeats_do_not_fill_the_memory() -> None:
    h = host(memory=200.0)
    arrive(h, 1, KEYED, memory=15.0)
    for rid in range(2, 12):
        arrive(h, rid, KEYED, memory=15.0, duplicate_of=1)
    assert of(h.log, ReplayResult)
    assert [a.request_id for a in of(h.log, Fail)]


def test_calls_do_not_return_as_a_crowd_to_a_cold_instance() -> None:
    h = host(
        cold_start=True,
        cold_speed=0.25,
        warmup_time=10_000 * MS,
        dependency=DependencyKind.SHARED,
        dependency_quota=50.0,
    )
    h.control.dependency.limit = 1.0
    for rid in range(1, 40):
        arrive(h, rid)
        if h.requests[rid].where == "running":
            h.need(rid)
    h.control.dependency.limit = 45.0
    h.send()
    assert h.count("at_call") > 0
    assert h.count("running") + h.count("calling") <= 8


def test_cold_instance_runs_no_larger_crowd_than_it_survives() -> None:
    h = host(cold_start=True, cold_speed=0.25, warmup_time=10_000 * MS)
    h.control.concurrency.limit = 50
    fill(h, 30)
    assert h.count("running") <= 8
    h.now = 10_000 * MS
    h.control.concurrency.limit = 50
    fill(h, 30, first=100)
    assert 8 < h.count("running") <= 20


def test_calls_in_hand_stay_in_the_share_with_those_that_linger() -> None:
    h = host(dependency=DependencyKind.SHARED, dependency_quota=2.5, abandoned_call_time=200 * MS)
    fill(h)
    for rid in (1, 2, 3, 4):
        h.need(rid)
    assert h.count("calling") == 2
    assert not of(h.called(1, Outcome.TIMEOUT), MakeCall)  # the abandoned call is still in hand below
    h.now += 200 * MS
    assert of(h.send(), MakeCall)


def test_calls_give_way_when_they_grow_slow_and_come_back() -> None:
    """Incident ica6448: calls piled up below, out of sight of any local queue, and slowed each other down."""
    h = host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    most = h.control.dependency.limit
    calls(h, 20 * MS, 10)
    calls(h, 200 * MS, 10)
    assert h.control.dependency.limit < 0.8 * most
    calls(h, 20 * MS, 60)
    assert h.control.dependency.limit == most


def test_calls_that_stay_slow_with_one_out_are_no_longer_held_back() -> None:
    """Guards: a vault slow by itself was asked one call at a time, and most requests failed on that."""
    h = host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    calls(h, 20 * MS, 10)
    calls(h, 200 * MS, 40)
    assert h.control.dependency.limit > 2


def test_a_jam_at_the_calls_keeps_back_only_those_who_call() -> None:
    """Guards: with all places for calls held nothing was begun, and callers were told to hold back, though
    the cores idled and a third of the requests needed no call. Those with a call failed at it."""
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=10.0,
        load_signal=LoadSignal.CREDIT,
        classes=(replace(CLASSES[SAFE], degraded_fraction=0.0), *CLASSES[1:]),
    )
    calls(h, 20 * MS, 10)
    h.control.dependency.limit = 1.0
    for rid in range(100, 108):
        arrive(h, rid)
        h.need(rid)
    assert not of(arrive(h, 200), StartRun)
    assert of(arrive(h, 201, KEYED), StartRun)  # none of this class was seen to call
    refused = []
    for _ in range(80):
        h.now += 20 * MS
        refused += of(h.send(), Reject)
    assert [(refuse.request_id, refuse.no_retry) for refuse in refused] == [(200, True)]
    assert h.control.load_reports.share == 1.0


def test_what_may_be_our_own_delay_holds_no_call_back() -> None:
    h = host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    calls(h, 2 * MS, 10)
    most = h.control.dependency.limit
    calls(h, 12 * MS, 20)
    assert h.control.dependency.limit == most


def test_a_call_that_never_ends_is_given_up_long_before_its_request_is() -> None:
    """Guards: each held a place until its caller left, and with all places held nothing was begun."""
    h = host(dependency=DependencyKind.SHARED, dependency_quota=10.0)
    calls(h, 20 * MS, 10)
    for rid, cls, most in ((901, SAFE, 140), (902, KEYED, 560)):
        arrive(h, rid, cls)
        (call,) = of(h.need(rid), MakeCall)
        assert most * 0.9 <= call.timeout / MS <= most * 1.1
    cap = h.control.dependency.limit
    h.now += 140 * MS
    h.requests[901].where = "running"
    h.send(CallFinished(901, Outcome.TIMEOUT, 140 * MS))
    assert h.control.dependency.limit == cap  # one loss says nothing of the others


def test_a_tick_counts_though_events_come_faster_than_its_gauges() -> None:
    """Guards: each event after a timer's time replaced that timer, and no tick counted for seconds."""
    control = Controller(settings(), 1, 0)
    control.handle(0, [Arrival(1, SAFE)])
    at = control.timer.due_at
    for late in (1, 2):  # due, but its gauges are still on their way
        assert not of(control.handle(at + late * MS, [Arrival(1 + late, SAFE)]), SetTimer)
    (again,) = of(control.handle(at + 3 * MS, [TimerFired(0, cpu_busy=0.5, runnable=3)]), SetTimer)
    assert again.due_at > at


def test_callers_that_do_not_come_back_are_forgotten() -> None:
    """Guards: numbers of balancers are always new, and a table of all of them grew for good."""
    h = host()
    for rid in range(1, 400):
        h.pass_time(60 * MS)
        arrive(h, rid, client=rid)
        h.finish(rid)
    assert len(h.control.idle_connections.clients.last_seen) < 200


# --- what rounds have found ---


def test_a_run_that_can_no_longer_meet_the_aim_is_not_started() -> None:
    h = host()
    fill(h)
    for rid in range(1, 5):
        h.requests[rid].where, h.requests[rid].answered = "over", True
    h.now = 400 * MS
    h.send(*(RunFinished(rid, Outcome.OK, 400 * MS) for rid in range(1, 5)))
    h.control.load_reports.share = 0.9
    assert of(arrive(h, 8, queue_delay=700 * MS), StartRun)  # with a core free an estimate is not trusted
    h.control.concurrency.limit = 8
    fill(h, 3, first=20)
    actions = arrive(h, 9, queue_delay=700 * MS)
    assert not of(actions, StartRun)
    assert [a.request_id for a in of(actions, Reject)] == [9]


@pytest.mark.parametrize(("queued", "no_retry"), [(0, False), (140 * MS, False), (160 * MS, True)])
def test_who_has_waited_is_asked_to_try_no_further(queued: int, no_retry: bool) -> None:
    """Round 32: at full size walks over a 25th of the fleet cost a reading at each server."""
    h = host(memory=200.0)
    h.now = 5_000 * MS
    arrive(h, 1, memory=20.0)
    actions = arrive(h, 2, memory=20.0, queue_delay=queued)
    assert [a.no_retry for a in of(actions, Reject)] == [no_retry]


@pytest.mark.parametrize("late_worth", [0.0, 0.8])
def test_a_late_call_is_skipped_where_it_cannot_be_made_or_the_poorer_answer_earns_more(
    late_worth: float,
) -> None:
    """Round 34: calls were skipped on a guess. Round 71: with room for the call, the late were failed."""
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=1.2,
        classes=(replace(CLASSES[SAFE], late_fraction=late_worth),),
    )
    arrive(h, 1)
    h.need(1)
    h.now += 300 * MS
    h.requests[1].where = "running"
    h.send(CallFinished(1, Outcome.OK, 300 * MS))  # calls are slow
    arrive(h, 2, queue_delay=750 * MS)
    arrive(h, 3, queue_delay=750 * MS)
    assert h.requests[3].where == "running"
    actions = h.need(2)  # there is room for its call, which would end too late
    assert bool(of(actions, SkipCall)) is (late_worth == 0.0)
    assert not of(actions, Fail)
    h.finish(1)
    arrive(h, 4)
    h.need(4)  # takes the one place, if it is free
    assert of(h.need(3), SkipCall) == [SkipCall(3)]


def test_waiting_unread_takes_the_run_limit_back_to_the_cores() -> None:
    """Round 29: reading shares the cores with what runs, and a large crowd starved it."""
    h = host()
    h.runnable = 1
    for rid in range(1, 9):
        arrive(h, rid)
    h.pass_time(110 * MS)
    assert h.count("running") > 4
    h.runnable = 9
    arrive(h, 20, queue_delay=200 * MS)
    while h.count("running") > 3 and h.count("held"):
        h.finish(h.ids("running")[0])
    assert h.count("running") <= 4


def test_idle_connections_close_early_where_callers_do_not_come_back() -> None:
    """Round 28: callers by the hundred filled the table, and others got no connection."""
    h = host()
    for rid in range(1, 200):
        h.pass_time(60 * MS)
        arrive(h, rid, client=rid)
        h.finish(rid)
    h.pass_time(60 * MS)
    assert [a.idle_time for a in of(h.log, CloseIdleConnections)] == [100 * MS]
    for rid in range(200, 400):
        h.pass_time(60 * MS)
        arrive(h, rid, client=rid % 5)
        h.finish(rid)
    h.pass_time(60 * MS)
    assert [a.idle_time for a in of(h.log, CloseIdleConnections)] == [100 * MS, 0]


def test_idle_connections_are_kept_longer_while_handshakes_swamp_the_reading() -> None:
    """Rounds 51 and 61: in a storm each attempt cost a handshake, all came late; closing at once swung."""
    h = host()

    def pass_by(first: int, count: int, queued: int, busy: float) -> list[int]:
        h.busy = busy
        h.log.clear()
        for rid in range(first, first + count):
            h.pass_time(60 * MS)
            arrive(h, rid, client=rid, queue_delay=queued)
            h.finish(rid)
        return [a.idle_time for a in of(h.log, CloseIdleConnections)]

    assert pass_by(1, 200, 0, 0.95) == [100 * MS]
    assert pass_by(201, 60, 400 * MS, 0.95)[-1] > 20_000 * MS
    assert not pass_by(301, 60, 0, 0.95)  # busy still: no swing back
    down = pass_by(401, 400, 0, 0.5)
    assert down == sorted(down, reverse=True)
    assert down[-1] == 100 * MS
    assert len(down) > 4


def test_under_pressure_all_who_are_refused_are_asked_to_try_no_further() -> None:
    """Round 50: at full size a walk costs a handshake and a reading at each server."""
    h = host(memory=200.0)
    arrive(h, 1, memory=20.0)
    assert not of(arrive(h, 2, memory=20.0), Reject)[0].no_retry
    for rid in range(3, 60):
        h.pass_time(50 * MS)
        actions = arrive(h, rid, memory=20.0)
    assert of(actions, Reject)[0].no_retry


LATE = replace(CLASSES[SAFE], late_fraction=0.2)


def test_in_calm_the_credit_binds_no_caller() -> None:
    """Round 67: one caller with a tenth of all traffic turned its own requests away while cores idled."""
    h = host(load_signal=LoadSignal.CREDIT, clients=900)
    h.pass_time(60 * MS)
    assert of(h.log, ReportLoad) == [ReportLoad(16.0)]
    h.now = 1_000 * MS
    arrive(h, 1, queue_delay=200 * MS)
    h.log.clear()
    h.pass_time(60 * MS)
    assert of(h.log, ReportLoad)[0].value < 0.02


@pytest.mark.parametrize("share", [0.1, 0.4, 0.9])
def test_one_call_that_hangs_stays_in_a_share_below_one(share: float) -> None:
    """Round 63: a call might last as long as its request; where all hang at once, the dependency falls."""
    window, linger = 5_000 * MS, 200 * MS
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=share,
        abandoned_call_time=linger,
        dependency_window=window,
        classes=(replace(CLASSES[SAFE], latency_objective=60_000 * MS, client_timeout=60_000 * MS),),
    )
    arrive(h, 1)
    (call,) = of(h.need(1), MakeCall)
    assert call.timeout + linger <= share * window


def test_who_is_too_late_at_a_call_is_answered_while_the_cores_have_no_place() -> None:
    """Round 63: as with a full run limit, those at a call waited for a place before they were given up."""
    h = host(
        cold_start=True,
        cold_speed=0.01,
        warmup_time=60_000 * MS,
        dependency=DependencyKind.SHARED,
        dependency_quota=50.0,
        classes=(replace(CLASSES[SAFE], degraded_fraction=0.0),),
    )
    h.control.dependency.limit = 1.0
    for rid in range(1, 12):
        arrive(h, rid)
        if rid < 6 and h.requests[rid].where == "running":
            h.need(rid)
    h.control.dependency.limit = 45.0
    waiting = h.ids("at_call")
    assert waiting
    h.pass_time(1_100 * MS)
    assert set(waiting) <= {a.request_id for a in of(h.log, Fail)}


@pytest.mark.parametrize(
    ("again", "left", "runs"),
    [
        (False, 1_500, True),  # as first tries are given
        (True, 1_500, True),  # alike: its age does not show
        (True, 2_800, True),  # a last try, 0.2 s after the first
        (True, 1_200, False),  # 1.8 s after the first, past the aim
    ],
)
def test_a_further_try_counts_from_its_first(again: bool, left: int, runs: bool) -> None:
    """Incident i1d3269: a third of the runs ended late for clients whose first try was long past."""
    h = host(classes=(CLASSES[SAFE],))
    fill(h, 1, first=100)
    h.send(Arrival(1, SAFE, memory=10.0, time_left=1_500 * MS))
    h.control.load_reports.share = 0.9  # not in calm
    actions = arrive(h, 2, time_left=left * MS, is_retry=again)
    assert bool(of(actions, StartRun)) is runs
    assert bool(of(actions, Reject)) is not runs


def test_a_try_that_is_given_up_before_its_aim_is_not_started_in_vain() -> None:
    """Incident ia60c4c: a quarter of the runs were still running when due, and could not be stopped."""
    h = host(cancel_mode=CancelMode.NONE)
    fill(h)
    h.now = 500 * MS
    for rid in range(1, 5):
        h.finish_after(rid, 500 * MS)
    fill(h, 4, first=11)
    assert of(arrive(h, 20, time_left=400 * MS), Reject)
    assert not of(arrive(h, 21, time_left=600 * MS), Reject)


@pytest.mark.parametrize("cls", [CLASSES[SAFE], LATE])
def test_who_will_be_late_is_given_up_at_once_with_the_run_limit_full(cls: RequestClass) -> None:
    """Round 54: late ones stayed in the hold until they were due, and those held shut out who came."""
    h = host(classes=(cls,))
    fill(h)
    h.now = 400 * MS
    for rid in range(1, 5):
        h.finish_after(rid, 400 * MS)
    fill(h, 4, first=11)
    arrive(h, 20)
    assert h.requests[20].where == "held"
    h.pass_time(650 * MS)
    assert [a.request_id for a in of(h.log, Reject)] == [20]
    assert h.now < h.requests[20].due - 1_000 * MS


def test_a_late_request_that_earns_something_runs_where_there_is_room() -> None:
    h = host(classes=(LATE,))
    h.now = 1_500 * MS
    assert of(arrive(h, 1, queue_delay=1_200 * MS), StartRun)


TENANTS = (Tenant("large", 40.0), Tenant("small", 40.0))


def test_a_tenant_beyond_its_share_does_not_crowd_out_the_rest() -> None:
    """Round 52: one sent three times its share and was served in full, the others to 0.62 of theirs."""
    h = host(
        tenants=TENANTS,
        over_quota_fraction=0.05,
        replicas=20,
        classes=(replace(CLASSES[SAFE], client_timeout=60_000 * MS, latency_objective=50_000 * MS),),
    )
    for rid in range(1, 40):
        arrive(h, rid, tenant=0)
    arrive(h, 50, tenant=1)
    for rid in range(1, 21):  # its own share was admitted first
        h.finish(rid)
    assert h.requests[50].where == "running"
    assert h.count("held")


def test_the_worthiest_requests_have_the_last_of_a_share() -> None:
    """Round 55: half of the worthiest class counted as beyond its tenant's share, which it never fills."""
    h = host(tenants=(Tenant("one", 40.0),), over_quota_fraction=0.1, replicas=20)
    for rid in range(1, 31):
        arrive(h, rid, SAFE, tenant=0)
    arrive(h, 40, KEYED, tenant=0)
    assert [h.control.requests.by_id[rid].weight for rid in (1, 30, 40)] == [1.0, 0.1, 3.0]


def test_what_is_refused_beyond_its_share_is_asked_to_try_no_further() -> None:
    """Round 64: it is beyond its share on every server, and a further try costs a handshake and a reading."""
    h = host(memory=200.0, tenants=(Tenant("none", 0.0), TENANTS[1]), over_quota_fraction=0.05)
    arrive(h, 1, memory=20.0, tenant=1)
    assert [a.no_retry for a in of(arrive(h, 2, memory=20.0, tenant=1), Reject)] == [False]
    assert [a.no_retry for a in of(arrive(h, 3, memory=20.0, tenant=0), Reject)] == [True]


@pytest.mark.parametrize("tenants", [(), (Tenant("none", 0.0),), TENANTS])
def test_odd_tenants_change_no_rule(tenants: tuple[Tenant, ...]) -> None:
    h = host(tenants=tenants, over_quota_fraction=0.0)
    for rid in range(1, 30):
        arrive(h, rid, tenant=(0, 1, 99)[rid % 3])
        h.pass_time(40 * MS)
    h.pass_time(4_000 * MS)
    assert all(r.answered for r in h.requests.values())


def test_idle_cores_serve_a_tenant_beyond_its_share() -> None:
    h = host(tenants=(Tenant("none", 0.0), TENANTS[1]), over_quota_fraction=0.05)
    for rid in range(1, 30):
        assert of(arrive(h, rid, tenant=0), StartRun)
        h.pass_time(20 * MS)
        h.finish(rid)


def test_a_burst_with_busy_cores_does_not_raise_the_limit() -> None:
    """The busy share lags; the demand of the moment tells whether cores idle."""
    h = host()
    fill(h, 8)
    h.runnable = 6
    h.pass_time(60 * MS)
    assert h.count("running") == 4
    h.runnable, h.busy = 1, 0.95
    h.pass_time(50 * MS)
    assert h.count("running") == 4  # round 58: a disk left cores idle for the moment
    h.busy = 0.5
    h.pass_time(50 * MS)
    assert h.count("running") == 5


def test_unknown_and_finished_requests_change_nothing() -> None:
    h = host()
    arrive(h, 1)
    h.finish(1)
    for event in (
        RunFinished(1, Outcome.OK),
        ClientDisconnected(7),
        CallRequested(7),
        CallFinished(7, Outcome.OK),
    ):
        assert not h.control.handle(h.now, [event])
    assert not h.control.running
    assert h.control.requests.memory == 0.0


def test_a_clock_that_steps_back_is_no_negative_time() -> None:
    h = host()
    h.now = 1_000 * MS
    fill(h, 1)
    spent = h.control.service.core_time
    h.control.handle(500 * MS, [])
    assert h.control.now == 1_000 * MS
    assert h.control.service.core_time == spent


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("cores", 0),
        ("memory", -1.0),
        ("classes", ()),
        ("drain_grace", -1),
        ("max_oversubscription", 0.5),
        ("cancel_mode", "drop"),
        ("cold_speed", 1.5),
        ("replicas", 0),
        ("over_quota_fraction", -0.1),
        ("memory", float("nan")),
    ],
)
def test_impossible_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        host(1, **{field: value})


@pytest.mark.parametrize(
    ("field", "value"), [("latency_objective", 0), ("client_timeout", -5), ("retry_semantics", "often")]
)
def test_impossible_class_names_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        RequestClass(**{"name": "x", "latency_objective": 1, "client_timeout": 1, field: value})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("given", "field"),
    [
        ({}, "cores"),
        ({"cores": 2}, "classes"),
        ({"cores": 2, "classes": CLASSES}, "memory"),
    ],
)
def test_missing_settings_name_the_field(given: dict[str, Any], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        Settings(**given)


def test_a_class_without_times_names_the_field() -> None:
    with pytest.raises(ValueError, match="latency_objective"):
        RequestClass("x")


def test_quick_failures_turn_health_bad_until_they_are_forgotten() -> None:
    """Round 26: a server that failed most runs within milliseconds went on drawing callers."""
    h = host()
    for rid in range(1, 12):
        arrive(h, rid)
        h.finish(rid, Outcome.ERROR)
    h.pass_time(60 * MS)
    assert of(h.log, SetHealth) == [SetHealth(False, True)]
    h.pass_time(15_000 * MS)
    assert of(h.log, SetHealth)[1:] == [SetHealth(True, True)]


def test_a_draining_instance_never_reports_good_again() -> None:
    h = host()
    h.send(DrainStarted(5_000 * MS))
    h.pass_time(4_000 * MS)
    assert of(h.log, SetHealth) == [SetHealth(False, True)]


def test_the_worthiest_class_in_time_starts_first() -> None:
    """Round 15: in overload worth 1 and worth 3 waited alike."""
    h = host()
    fill(h)
    arrive(h, 8, SAFE)
    arrive(h, 9, KEYED)
    h.finish(1)
    assert h.requests[9].where == "running"
    assert h.requests[8].where == "held"


def test_waiting_unread_presses_the_free_value() -> None:
    """Incident i25c424: reading is swamped, and callers hear nothing but what comes with answers."""
    h = host(load_signal=LoadSignal.LEVEL)
    h.pass_time(60 * MS)
    h.now = 1_000 * MS
    arrive(h, 1, queue_delay=200 * MS)
    h.log.clear()
    h.pass_time(60 * MS)
    assert [a.value for a in of(h.log, ReportLoad)] == [pytest.approx(0.05 * 2 / 3)]


def test_slow_reading_on_cores_that_are_not_full_tells_no_one_to_hold_back() -> None:
    """Guards: a slow server's readings took a tenth of the aim, and callers left its cores idle."""
    h = host(load_signal=LoadSignal.LEVEL)
    h.pass_time(60 * MS)
    h.now, h.runnable = 1_000 * MS, 2
    arrive(h, 1, queue_delay=200 * MS)
    h.log.clear()
    h.pass_time(60 * MS)
    assert not of(h.log, ReportLoad)


def test_the_level_spares_the_worthiest_class_but_in_a_drain() -> None:
    """Round 56: closed as far as it goes, the value turned away most of the worthiest class."""
    h = host(load_signal=LoadSignal.LEVEL)
    for rid in range(1, 200):
        h.pass_time(50 * MS)
        arrive(h, rid, queue_delay=300 * MS)
    values = [a.value for a in of(h.log, ReportLoad)]
    assert 0.6 < max(values) < 2 / 3
    assert of(h.send(DrainStarted(5_000 * MS)), ReportLoad) == [ReportLoad(1.0)]


def test_no_core_time_yet_leaves_p_alone() -> None:
    h = host()
    h.control.service.known_classes.add("read")
    fill(h, 8)
    assert h.control.admission.probability == 1.0
    assert not of(h.log, Reject)


def test_a_slow_server_knows_that_it_is_slow() -> None:
    """Incident i25c424: counting only the runs that succeeded, the estimate was a tenth of the truth."""
    h = host()
    fill(h)
    h.now = 900 * MS
    for rid in (1, 2, 3, 4):
        h.finish(rid, Outcome.OK if rid == 1 else Outcome.ERROR)
    job = h.control.requests.by_id.get(1)
    assert job is None
    arrive(h, 9)
    assert h.control.service.run_time(h.control.requests.by_id[9].cost) > 2_000 * MS


def test_a_share_below_one_call_is_a_mean_not_a_pause_after_each() -> None:
    """Round 27: a pause of the whole linger after each short call left the cores idle at full size."""
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.4,
        abandoned_call_time=200 * MS,
        dependency_window=5_000 * MS,
    )
    made = busy = 0
    for rid in range(1, 400):
        h.pass_time(25 * MS)
        arrive(h, rid)
        if h.requests[rid].where == "running":
            h.need(rid)
        for calling in h.ids("calling"):
            h.pass_time(10 * MS)
            busy += 10
            made += 1
            h.called(calling, Outcome.OK)
            h.finish(calling)
    assert made > 300  # short calls pass at the rate at which they come
    assert busy * MS < 0.4 * h.now


def test_a_share_below_one_call_is_kept_when_calls_grow_long() -> None:
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.4,
        abandoned_call_time=200 * MS,
        dependency_window=5_000 * MS,
    )
    busy = 0
    for rid in range(1, 200):
        h.pass_time(25 * MS)
        arrive(h, rid)
        if h.requests[rid].where == "running":
            h.need(rid)
        for calling in h.ids("calling"):
            h.pass_time(400 * MS)
            busy += 400
            h.called(calling, Outcome.OK)
            h.finish(calling)
    assert busy * MS < 0.45 * h.now


def test_a_request_answered_at_a_call_makes_no_call() -> None:
    h = host(dependency=DependencyKind.SHARED, dependency_quota=1.0)
    for rid in (1, 2):
        arrive(h, rid)
        h.need(rid)
    assert h.ids("calling") == [1]
    h.requests[2].answered = True
    h.control.handle(h.now, [ClientDisconnected(2)])
    h.requests[1].where = "running"
    assert not of(h.control.handle(h.now, [CallFinished(1, Outcome.OK, 10 * MS)]), MakeCall)


def test_what_does_not_fit_holds_up_nobody_behind_it() -> None:
    h = host(memory=400.0)
    fill(h)
    arrive(h, 5, KEYED, memory=1.0)
    arrive(h, 6, KEYED, memory=1.0)
    assert h.count("held") == 2
    h.finish(1)
    assert h.count("running") == 4


def test_no_timer_is_set_for_nothing() -> None:
    h = host()
    h.pass_time(60 * MS)
    assert not h.timers
    arrive(h, 1)
    assert [at for at, _ in h.timers] == [h.now + 3_000 * MS - 55 * MS]  # its due time alone


def test_a_key_is_held_for_its_own_life() -> None:
    """Lives differ by class: an entry that ends early must not wait for an older one that ends late."""
    brief = replace(CLASSES[KEYED], name="brief", retry_window=1_000 * MS)
    h = host(classes=(*CLASSES, brief), memory=300.0, key_memory=100.0)
    arrive(h, 1, KEYED, memory=1.0)
    h.finish(1)
    arrive(h, 2, 3, memory=1.0)
    h.finish(2)
    assert of(arrive(h, 3, KEYED, memory=1.0), Reject)  # no room for a third key
    h.pass_time(1_100 * MS)
    assert of(arrive(h, 4, KEYED, memory=1.0), StartRun)


def test_the_hopeless_are_refused_at_arrival_where_no_core_is_free() -> None:
    """Round 36: large requests waited on slow servers only to be refused, too late to try elsewhere."""
    h = host()
    for rid in range(1, 5):
        arrive(h, rid, cost=100 * MS)
    h.now = 400 * MS
    for rid in (1, 2, 3, 4):
        h.finish_after(rid, 400 * MS)
    for rid in range(11, 15):
        arrive(h, rid, cost=100 * MS)
    assert of(arrive(h, 20, cost=300 * MS), Reject)
    assert not of(arrive(h, 21, cost=150 * MS), Reject)


def test_a_share_below_one_call_falls_while_calls_are_slow_and_comes_back() -> None:
    """Round 37: where no share fell, a crowded dependency stayed crowded after its cause was over."""
    h = host(
        dependency=DependencyKind.SHARED,
        dependency_quota=0.5,
        abandoned_call_time=0,
        dependency_window=5_000 * MS,
    )
    rid = 0

    def share(took: int) -> float:
        """The part of the time that calls are in hand while there is always one to make."""
        nonlocal rid
        start, busy = h.now, 0
        while h.now < start + 8_000 * MS:
            if h.count("at_call") < 3:
                rid += 1
                arrive(h, rid)
            for running in h.ids("running"):
                h.need(running)
            h.pass_time(5 * MS)
            for calling in h.ids("calling"):
                h.pass_time(took)
                busy += took
                h.requests[calling].where = "running"
                h.send(CallFinished(calling, Outcome.OK, took))
                h.finish(calling)
        return busy / (h.now - start)

    quick = share(20 * MS)
    slow = share(200 * MS)
    assert 0.3 < quick < 0.5
    assert slow < 0.8 * quick
    h.pass_time(2_000 * MS)
    assert share(20 * MS) > 0.9 * quick


@pytest.mark.parametrize("runnable", [None, float("nan")])
def test_missing_gauges_change_no_rule(runnable: float | None) -> None:
    h = host()
    h.runnable = runnable
    fill(h, 8)
    h.pass_time(3_000 * MS)
    assert h.count("running") <= 16
    assert all(r.answered for r in h.requests.values())


def test_a_share_of_no_call_leaves_nobody_unanswered() -> None:
    h = host(dependency=DependencyKind.SHARED, dependency_quota=0.0)
    for rid in (1, 2, 3):
        arrive(h, rid, KEYED)
        h.need(rid)
    assert h.count("calling") <= 1
    h.pass_time(3_000 * MS)
    assert all(r.answered for r in h.requests.values())


def test_a_clock_that_jumps_ahead_loses_nothing() -> None:
    h = host()
    fill(h, 6)
    h.now += 2_960 * MS  # no timer was heard for seconds
    h.send()
    assert all(r.answered for r in h.requests.values())
    h.finish_after(1, 2_900 * MS)
    arrive(h, 50)
    assert h.requests[50].where in ("held", "running")
