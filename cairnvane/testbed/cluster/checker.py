"""Compares the records of clients and worker pools with the rules and the scenario's expectations. No I/O.

No record comes from a server. An attempt is identified by its request id, a request by its body, which is
unique.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from ..checkers.duplicate_run_checker import REJECTED_STATUSES, SERVED_STATUSES
from ..stand_ins.balancer import DISCONNECTED
from ..stand_ins.worker_pool import RunRecord
from .load import CLIENT_TIMEOUTS_S, PRIORITY_WEIGHTS, Attempt, ClientRequest
from .observations import Views
from .scenario import Scenario

# Tolerance on deadlines for scheduling delays: the testbed runs Python threads on a shared machine.
DEADLINE_SLACK_S = 1.0
# The cluster has recovered once the share of requests served in time reaches this fraction of its value
# before the faults, over a window of this length. The start of the window advances by this step.
RECOVERED_FRACTION = 0.95
RECOVERY_WINDOW_S = 2.0
RECOVERY_STEP_S = 0.5
# A fault of a server or of its link may affect attempts that were open up to this time before or after it.
FAULT_MARGIN_S = 0.5
# Maximum number of attempts per handover that may end unread at the closing listener; balancers retry them.
MAX_UNREAD_PER_HANDOVER = 2
# Maximum number of lost attempts that are reported individually.
MAX_LOST_SHOWN = 8


@dataclass(frozen=True)
class FaultWindow:
    """A period in which an injected fault may disconnect attempts at one server or leave them unanswered.

    In a `handover` a new version replaces the old one, and only attempts that never ran may be disconnected.
    """

    node: int
    begins_at: float
    ends_at: float
    handover: bool = False


@dataclass
class Verdict:
    """Result of one run of a scenario; the names are the keys of the JSON report."""

    scenario: str
    seed: int
    requests: int = 0
    tries: int = 0
    served: float = 0.0  # share of all requests that were served in time
    worth: float = 0.0  # the same, weighted by priority
    refused: int = 0  # attempts
    failed: int = 0
    broken: int = 0
    given_up: int = 0  # attempts that timed out at their balancers
    lost: int = 0  # attempts disconnected or left unanswered without a fault that explains it
    at_door: int = 0  # attempts that never ran, disconnected by the closing listener of a replaced version
    lost_tries: list[str] = field(default_factory=list)  # descriptions of some of the lost attempts
    lost_at: list[tuple[int, float, float]] = field(default_factory=list)  # their servers and times
    twice: int = 0  # runs of a keyed request beyond the first, in one incarnation of a server
    refused_after_run: int = 0
    differing: int = 0  # keyed requests with different responses from one incarnation
    invented: int = 0  # responses that are the result of no run
    tries_a_request: float = 0.0
    before: float = 0.0  # share served in time before the first fault
    worth_before: float = 0.0  # the same, weighted by priority
    worth_during: float = 0.0  # while faults lasted
    worth_after: float = 0.0  # after the last fault
    again: float = 0.0  # share of attempts whose request had been rejected before
    sick_calls: float = 0.0  # calls per second that arrived while the dependency was faulty
    vault_over: float = 0.0  # share of time with more calls in flight at the dependency than slots
    back_s: float | None = None  # seconds from the last fault's end; None: not recovered, or no fault
    vault_most: int = 0
    vault_fell: int = 0
    most_crowded: float = 0.0  # maximum number of runnable runs per core
    highest_mean_crowding: float = 0.0  # the same, as the mean over the window that a machine survives
    overloaded: int = 0  # servers whose machine had more runnable runs than it survives
    memory_used: float = 0.0  # highest fraction of a machine's memory that was booked
    memory_exceeded: int = 0  # servers that booked more memory than their machine has
    highest_mean_calls: float = 0.0  # calls in flight at the dependency, as a fraction of what it survives
    dependency_overloaded: bool = False
    lag_ms: float = 0.0
    views: Views | None = None  # with `members`
    trouble: list[str] = field(default_factory=list)
    short: list[str] = field(default_factory=list)  # expectations of the scenario that were not met

    @property
    def wrong(self) -> int:
        """Number of broken rules."""
        broken = self.lost + self.twice + self.refused_after_run + self.differing + self.invented
        return broken + self.overloaded + self.memory_exceeded + self.dependency_overloaded

    @property
    def good(self) -> bool:
        """Whether all rules held and all expectations were met."""
        return not (self.wrong or self.trouble or self.short)

    def as_json(self) -> dict[str, Any]:
        """The report for a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """The report for a terminal."""
        back = "" if self.back_s is None else f", back {self.back_s:.1f} s after the last fault"
        return [
            f"{self.scenario}, seed {self.seed}",
            f"  {self.requests} requests in {self.tries} tries ({self.tries_a_request:.2f} each); "
            f"served in time {self.served:.3f}, by worth {self.worth:.3f}{back}",
            f"  refused {self.refused}, failed {self.failed}, broken off {self.broken}, "
            f"given up {self.given_up}",
            f"  lost {self.lost}, at the door {self.at_door}, run twice {self.twice}, "
            f"refused after a run {self.refused_after_run}, differing {self.differing}, "
            f"invented {self.invented}",
            f"  machines overloaded {self.overloaded}, out of memory {self.memory_exceeded} "
            f"(most {self.memory_used:.2f} of it), the vault {'' if self.dependency_overloaded else 'not '}"
            f"overloaded (most {self.highest_mean_calls:.2f} of what it survives)",
            *(f"  lost: {line}" for line in self.lost_tries),
            f"  most calls in the vault's hands {self.vault_most}, it fell {self.vault_fell} times; "
            f"most runs a core {self.most_crowded:.1f}, in the mean {self.highest_mean_crowding:.1f}; "
            f"the load's own lag {self.lag_ms:.0f} ms",
            *([self.views.line()] if self.views is not None else []),
            *(f"  trouble: {line}" for line in self.trouble),
            *(f"  short: {line}" for line in self.short),
            "good" if self.good else "WRONG",
        ]


def served_share(
    requests: Sequence[ClientRequest], since: float, until: float, weighted: bool = False
) -> float:
    """Share of the requests created in this period that were served in time; 1 if there are none.

    With `weighted`, requests are weighted by priority.
    """
    created = [request for request in requests if since <= request.created_at < until]
    weights = [PRIORITY_WEIGHTS[request.request_class] if weighted else 1.0 for request in created]
    served = [weight for request, weight in zip(created, weights, strict=True) if request.in_time]
    return sum(served) / sum(weights) if sum(weights) else 1.0


def recovery_time(
    requests: Sequence[ClientRequest], share_before: float, faults_end: float, until: float
) -> float | None:
    """Seconds from `faults_end` until the share served in time has recovered; None if not by `until`."""
    window_start = faults_end
    while window_start + RECOVERY_WINDOW_S <= until:
        if (
            served_share(requests, window_start, window_start + RECOVERY_WINDOW_S)
            >= RECOVERED_FRACTION * share_before
        ):
            return window_start - faults_end
        window_start += RECOVERY_STEP_S
    return None


def is_excused(attempt: Attempt, windows: Sequence[FaultWindow], handover: bool = False) -> bool:
    """Whether a fault of the attempt's server, or of the link to it, overlaps with the attempt.

    With `handover`, whether a handover between two versions overlaps with it.
    """
    ended_at = attempt.ended_at if attempt.status is not None else float("inf")
    return any(
        window.node == attempt.node
        and window.begins_at - FAULT_MARGIN_S <= ended_at
        and attempt.sent_at <= window.ends_at + FAULT_MARGIN_S
        for window in windows
        if window.handover is handover
    )


def _describe_end(attempt: Attempt) -> str:
    if attempt.status is None:
        return "no answer"
    return "given up" if attempt.timed_out else "broken off"


def _count_unanswered(
    verdict: Verdict,
    request: ClientRequest,
    attempt: Attempt,
    windows: Sequence[FaultWindow],
    ran: bool,
) -> None:
    """Count an attempt without a response as lost, unless an injected fault explains it."""
    if is_excused(attempt, windows):
        return
    disconnected = attempt.status == DISCONNECTED and not attempt.timed_out
    if disconnected and not ran and is_excused(attempt, windows, handover=True):
        verdict.at_door += 1
        return
    verdict.lost += 1
    if len(verdict.lost_tries) < MAX_LOST_SHOWN:
        verdict.lost_at.append((attempt.node, attempt.sent_at, attempt.ended_at))
        verdict.lost_tries.append(
            f"{request.request_class} at server {attempt.node}, line {attempt.incarnation}, "
            f"{attempt.sent_at:.2f} to {attempt.ended_at:.2f} s: "
            f"{_describe_end(attempt)}, {'ran' if ran else 'never ran'}"
        )


def _count_attempts(
    verdict: Verdict,
    request: ClientRequest,
    windows: Sequence[FaultWindow],
    ids_that_ran: set[str],
) -> None:
    for attempt in request.attempts:
        verdict.tries += 1
        ran = attempt.request_id in ids_that_ran
        if attempt.status in REJECTED_STATUSES:
            verdict.refused += 1
        elif attempt.timed_out:
            verdict.given_up += 1
            client_timeout_s = CLIENT_TIMEOUTS_S[request.request_class]
            if attempt.ended_at - attempt.sent_at > client_timeout_s + DEADLINE_SLACK_S:
                _count_unanswered(verdict, request, attempt, windows, ran)
        elif attempt.status == DISCONNECTED:
            verdict.broken += 1
            if not attempt.unreachable:
                _count_unanswered(verdict, request, attempt, windows, ran)
        elif attempt.status is None:
            _count_unanswered(verdict, request, attempt, windows, ran)
        elif attempt.status not in SERVED_STATUSES:
            verdict.failed += 1


def _check_request(
    verdict: Verdict,
    request: ClientRequest,
    records: Sequence[RunRecord],
    windows: Sequence[FaultWindow],
) -> None:
    """Check one request against `records`, the run records of all pools that ran it."""
    ids_that_ran = {request_id for record in records for request_id in record.request_ids}
    _count_attempts(verdict, request, windows, ids_that_ran)
    verdict.refused_after_run += sum(
        attempt.status in REJECTED_STATUSES and attempt.request_id in ids_that_ran
        for attempt in request.attempts
    )
    results = [result for record in records for result in record.results]
    verdict.invented += sum(
        attempt.result is not None and attempt.result not in results for attempt in request.attempts
    )
    if request.idempotency_key is not None:
        verdict.twice += sum(runs - 1 for record in records for runs in record.runs_by_incarnation.values())
        verdict.differing += _responses_differ(request)


def _responses_differ(request: ClientRequest) -> bool:
    """Whether one incarnation of a server sent different responses."""
    answers = {
        (attempt.node, attempt.incarnation, attempt.result)
        for attempt in request.attempts
        if attempt.result is not None
    }
    return len(answers) > len({(node, incarnation) for node, incarnation, _ in answers})


def _retries_after_rejection(requests: Sequence[ClientRequest]) -> int:
    """Number of attempts whose request had been rejected before."""
    return sum(
        any(attempt.status in REJECTED_STATUSES for attempt in request.attempts[:number])
        for request in requests
        for number in range(len(request.attempts))
    )


def _measure_service(
    verdict: Verdict, scenario: Scenario, requests: Sequence[ClientRequest], first_fault: float
) -> None:
    """Measure what was served, over the whole run and before, during and after the faults."""
    seconds = scenario.seconds
    verdict.tries_a_request = verdict.tries / max(1, len(requests))
    verdict.served = served_share(requests, 0.0, seconds)
    verdict.worth = served_share(requests, 0.0, seconds, weighted=True)
    verdict.before = served_share(requests, 0.0, first_fault)
    faults_end = scenario.last_end() if scenario.faults else seconds
    verdict.worth_before = served_share(requests, 0.0, first_fault, weighted=True)
    verdict.worth_during = served_share(requests, first_fault, faults_end, weighted=True)
    verdict.worth_after = served_share(requests, faults_end, seconds, weighted=True)
    verdict.again = _retries_after_rejection(requests) / max(1, verdict.tries)
    if scenario.faults:
        verdict.back_s = recovery_time(requests, verdict.before, faults_end, seconds)


def _check_expectations(verdict: Verdict, scenario: Scenario, windows: Sequence[FaultWindow]) -> None:
    """Report the expectations of the scenario that were not met."""
    expect = scenario.expect
    handovers = sum(window.handover for window in windows)
    if verdict.at_door > MAX_UNREAD_PER_HANDOVER * handovers:
        verdict.short.append(f"{verdict.at_door} tries ended at the door in {handovers} handovers")
    if verdict.served < expect.served:
        verdict.short.append(f"served {verdict.served:.3f}, at least {expect.served:g} was expected")
    if expect.tries is not None and verdict.tries_a_request > expect.tries:
        tries = verdict.tries_a_request
        verdict.short.append(f"{tries:.2f} tries a request, {expect.tries:g} at most were expected")
    if expect.back_within is not None and (verdict.back_s is None or verdict.back_s > expect.back_within):
        back = "not" if verdict.back_s is None else f"{verdict.back_s:.1f} s after the last fault"
        verdict.short.append(f"back {back}, expected within {expect.back_within:g} s")


def check(
    scenario: Scenario,
    seed: int,
    requests: Sequence[ClientRequest],
    records_by_server: Sequence[Mapping[bytes, RunRecord]],
    windows: Sequence[FaultWindow],
    first_fault: float,
) -> Verdict:
    """Check one run, after the client timeouts of all requests have passed.

    `records_by_server`: for each server, the run records of its pools by request body. `first_fault`: the
    start of the first fault. All times are seconds since the load's start.
    """
    verdict = Verdict(scenario.name, seed, requests=len(requests))
    for request in requests:
        records = [by_body[request.body] for by_body in records_by_server if request.body in by_body]
        _check_request(verdict, request, records, windows)
    _measure_service(verdict, scenario, requests, first_fault)
    _check_expectations(verdict, scenario, windows)
    return verdict
