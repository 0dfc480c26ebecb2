"""The checker of cluster runs: rules, fault windows, expectations and measurements."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from cairnvane.testbed.cluster import scenario_file
from cairnvane.testbed.cluster.checker import FaultWindow, check
from cairnvane.testbed.cluster.load import Attempt, ClientRequest
from cairnvane.testbed.cluster.observations import KilledServer, Traffic, check_views, read_observations
from cairnvane.testbed.stand_ins.worker_pool import RunRecord

SCENARIO_HEAD = "name: a\nservers: 3\nseconds: 10\n"

SCENARIO = scenario_file.parse(
    SCENARIO_HEAD
    + "expect: {served: 0.9, back_within: 1, tries: 1.5}\nfaults:\n  - {do: kill, who: n0, at: 4}\n",
    "a",
)


def client_request(
    number: int, *attempts: Attempt, idempotency_key: str | None = None, at: float = 1.0
) -> ClientRequest:
    request = ClientRequest(b"%d" % number, "bid-commit", at, idempotency_key, 0, list(attempts))
    request.served_at = next((one.ended_at for one in attempts if one.status == 200), None)
    return request


def attempt(
    uid: str, status: int | None, node: int = 0, result: bytes | None = None, **fields: Any
) -> Attempt:
    return Attempt(uid, node, 1, 1.0, 1.5, status, result=result, **fields)


def run_record(
    runs: int,
    *results: bytes,
    request_ids: tuple[str, ...] = (),
    runs_by_incarnation: dict[int, int] | None = None,
) -> RunRecord:
    return RunRecord(
        runs,
        list(results),
        set(request_ids),
        Counter(runs_by_incarnation if runs_by_incarnation is not None else {1: runs}),
    )


def test_a_run_without_broken_rules_passes() -> None:
    records = {b"1": run_record(1, b"r", request_ids=("a",))}
    requests = [
        client_request(1, attempt("b", 429, 1), attempt("a", 200, result=b"r"), idempotency_key="t"),
        client_request(2, at=5.0),
        client_request(3, attempt("c", 0, 0), at=1.0),
    ]
    verdict = check(SCENARIO, 1, requests, [records], [FaultWindow(0, 1.4, 1.4)], 4.0)
    assert verdict.wrong == 0 and verdict.broken == 1


@pytest.mark.parametrize(
    ("client", "records", "count"),
    [
        (client_request(1, attempt("a", None)), {}, "lost"),
        (client_request(1, attempt("a", 0)), {}, "lost"),
        (
            client_request(1, attempt("a", 200, result=b"r"), idempotency_key="t"),
            {b"1": run_record(2, b"r", b"q")},
            "twice",
        ),
        (
            client_request(1, attempt("a", 503)),
            {b"1": run_record(1, request_ids=("a",))},
            "refused_after_run",
        ),
        (
            client_request(
                1, attempt("a", 200, result=b"r"), attempt("b", 200, result=b"q"), idempotency_key="t"
            ),
            {b"1": run_record(1, b"r", b"q")},
            "differing",
        ),
        (client_request(1, attempt("a", 200, result=b"x")), {b"1": run_record(1, b"r")}, "invented"),
    ],
)
def test_each_broken_rule_is_counted(
    client: ClientRequest, records: dict[bytes, RunRecord], count: str
) -> None:
    verdict = check(SCENARIO, 1, [client], [records], [], 4.0)
    assert verdict.wrong == getattr(verdict, count) == 1 and not verdict.good


def test_up_to_two_attempts_per_handover_may_be_disconnected_before_they_run() -> None:
    windows = [FaultWindow(0, 1.4, 1.6, handover=True)]
    requests = [client_request(number, attempt(f"{number}", 0)) for number in range(3)]
    scenario = scenario_file.parse(SCENARIO_HEAD, "a")
    verdict = check(scenario, 1, requests[:2], [{}], windows, 0.0)
    assert (verdict.at_door, verdict.lost, verdict.good) == (2, 0, True)
    assert check(scenario, 1, requests, [{}], windows, 0.0).short == [
        "3 tries ended at the door in 1 handovers"
    ]
    ran = check(scenario, 1, requests[:1], [{b"0": run_record(1, request_ids=("0",))}], windows, 0.0)
    assert (ran.at_door, ran.lost) == (0, 1) and "broken off, ran" in ran.lost_tries[0]


def test_one_run_in_each_of_two_incarnations_is_not_a_duplicate_run() -> None:
    request = client_request(1, attempt("a", 200, result=b"r"), idempotency_key="t")
    assert (
        check(
            SCENARIO, 1, [request], [{b"1": run_record(2, b"r", runs_by_incarnation={1: 1, 2: 1})}], [], 4.0
        ).twice
        == 0
    )


def test_unmet_expectations_are_reported() -> None:
    requests = [
        client_request(number, *([attempt(f"{number}", 429)] * 2), at=number / 10) for number in range(60)
    ]
    verdict = check(SCENARIO, 1, requests, [{}], [], 0.0)
    assert [line.split(" ")[0] for line in verdict.short] == ["served", "2.00", "back"]


def test_retries_after_a_rejection_and_weighted_service_around_a_fault_are_measured() -> None:
    scenario = scenario_file.parse(
        SCENARIO_HEAD + "faults:\n  - {do: slow, who: vault, at: 2, for: 3, times: 4}\n", "a"
    )
    requests = [
        client_request(1, attempt("a", 200), at=1.0),
        client_request(2, attempt("b", 429), attempt("c", 503), attempt("d", 429), at=3.0),
        client_request(3, attempt("e", 0, unreachable=True), attempt("f", 200), at=6.0),
        client_request(4, attempt("g", 429), at=6.0),
    ]
    verdict = check(scenario, 1, requests, [{}], [], 2.0)
    assert (verdict.worth_before, verdict.worth_during, verdict.worth_after) == (1.0, 0.0, 0.5)
    assert verdict.again == 2 / 7


def test_only_a_servers_own_failure_verdicts_on_healthy_members_are_counted() -> None:
    logger_prefix = "INFO cairnvane.server.composition: "
    lines = [
        logger_prefix + "member.failed name=n1 life=1 incarnation=0 by=2 accusers=3 probed=3",
        logger_prefix + "member.failed name=n1 life=1 incarnation=0 by=2",
        logger_prefix + "member.failed name=n2 life=1 incarnation=0 by=2 accusers=1 probed=3",
    ]
    observations = read_observations("n0", lines, [11.0, 11.5, 12.0], 10.0)
    scenario = scenario_file.parse(
        "name: a\nservers: 3\nmembers: true\nexpect: {called_dead: 0, found_within: 1.5}\n", "a"
    )
    kill = KilledServer(0.2, "n2", frozenset({"n0"}))
    views, short = check_views(scenario, observations, [kill], {"n2"}, Traffic(3), None)
    assert (views.called_dead, views.found_s, views.not_found) == (1, [1.8], 0)
    assert [line.split(" ")[0] for line in short if not line.startswith("  ")] == ["1", "the"]
    kill = KilledServer(0.2, "n2", frozenset({"n0", "n1"}))
    assert check_views(scenario, observations, [kill], {"n1", "n2"}, Traffic(3), None)[0].not_found == 1
