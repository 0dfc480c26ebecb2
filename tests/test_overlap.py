"""Two lives of one bid server side by side: a keyed try that reaches the other process is never run twice."""

from __future__ import annotations

import threading
from pathlib import Path

import pytest
from peers import PARAMS, WAIT_S

from cairnvane import clock
from cairnvane.digest import digest
from cairnvane.exchange import Answer, Check, Request, Verdict
from cairnvane.overlap import Claims, Guard
from cairnvane.overlap.claims import State
from cairnvane.wire import read_settings

import json

SETTINGS, _ = read_settings(json.dumps(PARAMS))
KEYED = next(cls.name for cls in SETTINGS.classes if cls.repeat.name == "KEYED")
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
SAME = digest(KEYED, b"commit")


class Host:
    """An intake that keeps what reaches it."""

    def __init__(self) -> None:
        self.arrivals: list[Request] = []

    def arrived(self, request: Request) -> None:
        self.arrivals.append(request)

    def gone(self, request: Request) -> None:
        pass

    def checked(self, check: Check) -> None:
        pass


def try_(uid: str, body: bytes = b"commit") -> tuple[Request, list[Answer], threading.Event]:
    answers: list[Answer] = []
    answered = threading.Event()

    def deliver(answer: Answer) -> None:
        answers.append(answer)
        answered.set()

    request = Request(deliver, uid, KEYED, body, arrived=clock.now(), caller=0, memory=20.0, token=TOKEN)
    return request, answers, answered


def lives(tmp_path: Path) -> tuple[tuple[Guard, Host], tuple[Guard, Host]]:
    made = []
    for _ in range(2):
        host = Host()
        guard = Guard(host, Claims("n3", tmp_path), SETTINGS.classes)
        guard.start()
        made.append((guard, host))
    return made[0], made[1]


def test_a_try_that_ran_in_the_other_process_gets_its_result(tmp_path: Path) -> None:
    """Guards: a bid-commit ran in both processes of an upgrade, 0.91 s apart."""
    (old, old_host), (new, new_host) = lives(tmp_path)
    first, _, _ = try_("a1")
    old.arrived(first)
    assert old_host.arrivals == [first] and old.may_spawn("a1", KEYED)
    second, answers, answered = try_("b2")
    new.arrived(second)  # while it runs: held back, not run
    assert new_host.arrivals == []
    old.ended("a1", "fine", b"the result")
    assert answered.wait(WAIT_S)
    assert (answers[0].verdict, answers[0].body) == (Verdict.SERVED, b"the result")


def test_of_two_claims_at_once_only_one_runs(tmp_path: Path) -> None:
    (old, old_host), (new, new_host) = lives(tmp_path)
    first, _, _ = try_("a1")
    second, answers, answered = try_("b2")
    old.arrived(first)
    new.arrived(second)  # neither has claimed yet: both reach their hosts
    assert old_host.arrivals == [first] and new_host.arrivals == [second]
    assert old.may_spawn("a1", KEYED)
    assert not new.may_spawn("b2", KEYED)  # kept back; it waits for the other's end
    old.ended("a1", "fault", b"")
    assert answered.wait(WAIT_S) and answers[0].verdict is Verdict.FAILED


def test_a_run_that_never_began_lets_the_other_run(tmp_path: Path) -> None:
    (old, _), (new, new_host) = lives(tmp_path)
    first, _, _ = try_("a1")
    old.arrived(first)
    assert old.may_spawn("a1", KEYED)
    old.ended("a1", "late", b"")
    second, _, _ = try_("b2")
    new.arrived(second)
    assert new_host.arrivals == [second] and new.may_spawn("b2", KEYED)


def test_a_record_half_written_is_not_believed(tmp_path: Path) -> None:
    claims, other = Claims("n3", tmp_path), Claims("n3", tmp_path)
    assert claims.claim(TOKEN, SAME, 60_000)
    path = tmp_path / "cairnvane-keys" / "n3" / TOKEN
    with path.open("ab") as file:
        file.write(b"R 1 10\nhalf")
    assert other.look(TOKEN, SAME).state is State.RUNNING
    with path.open("ab") as file:
        file.write(b" of it")
    found = other.look(TOKEN, SAME)
    assert (found.state, found.served, found.result) == (State.ENDED, True, b"half of it")
    assert claims.look(TOKEN, SAME).state is State.MINE


@pytest.mark.parametrize("ended", [False, True], ids=["while it runs", "once it has ended"])
def test_a_forged_try_fails_in_the_other_process_too(tmp_path: Path, ended: bool) -> None:
    """Guards: 52 of 85 tries with a known token and another body were served by the other process."""
    (old, _), (new, new_host) = lives(tmp_path)
    first, _, _ = try_("a1")
    old.arrived(first)
    assert old.may_spawn("a1", KEYED)
    if ended:
        old.ended("a1", "fine", b"the result")
    forged, answers, answered = try_("b2", b"another body")
    new.arrived(forged)
    assert answered.is_set() and new_host.arrivals == []  # at once
    assert (answers[0].verdict, answers[0].suspect, answers[0].body) == (Verdict.FAILED, True, b"")


def test_a_lost_claim_is_lost_on_the_next_link_too(tmp_path: Path) -> None:
    """Guards: what never went out is said again on each new link, and ran there beside the other's run."""
    (old, _), (new, _) = lives(tmp_path)
    old.arrived(try_("a1")[0])
    new.arrived(try_("b2")[0])
    assert old.may_spawn("a1", KEYED)
    assert not new.may_spawn("b2", KEYED)
    assert not new.may_spawn("b2", KEYED)
