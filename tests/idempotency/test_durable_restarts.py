"""What clients, worker pool and vault observe of stored results after restarts of the server."""

from __future__ import annotations

from typing import Any

import pytest
from durable_servers import BOOT, KEYED, OTHER_BOOT, Servers, answer_without_run, keyed
from peers import WAIT_S, reply, until
from server_helpers import hold, wait_for_event_loop

from cairnvane.idempotency.durable.retention import UNAVAILABLE_RETRY_US
from cairnvane.net.sent_commands import NOT_SENT

pytestmark = pytest.mark.usefixtures("killed_writers")


@pytest.mark.parametrize("power", [False, True], ids=["process", "power"])
@pytest.mark.parametrize("boot", [BOOT, OTHER_BOOT], ids=["same boot", "another boot"])
def test_a_duplicate_gets_the_answer_of_an_earlier_incarnation(power: bool, boot: bytes) -> None:
    servers = Servers(power=power)
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        servers.pool.run(b"original")
        assert balancer.answer()[1].body == b"original"
        assert answer_without_run(server, balancer, 2).body == b"original"  # read back from the disk
    servers.boot = boot
    with servers.run(pos=None) as server:
        answer = answer_without_run(server, server.balancer(), 3)
        assert (answer.status, answer.body) == (200, b"original")
        assert servers.pool.linked.wait(WAIT_S)  # before that, the run would belong to the old pool
        server.balancer().send(4)  # the pool receives only binds and this run
        while (command := servers.pool.commands.get(timeout=WAIT_S))["action"] == "bind":
            pass
        assert (command["action"], command["uid"]) == ("spawn", f"{4:016x}")


def test_a_run_in_flight_is_adopted_and_gets_its_result_from_the_worker_pool() -> None:
    servers = Servers()
    with servers.run() as server:
        server.balancer().send(1, **KEYED)
        uid = servers.pool.next("spawn")["uid"]
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(2, **KEYED)
        servers.pool.notice("finished", uid, "fine", b"real")
        assert balancer.answer()[1].body == b"real"
        assert servers.pool.commands.empty()
    with servers.run(pos=1) as server:  # the effect of notice 1 is recorded, so it is not sent again
        assert answer_without_run(server, server.balancer(), 3).body == b"real"


def test_a_result_that_was_recorded_and_not_answered_is_stored() -> None:
    servers = Servers()
    with servers.run() as server:
        server.balancer().send(1, **KEYED)
        uid = servers.pool.next("spawn")["uid"]
        servers.kill_at = "written result", 0
        servers.pool.notice("finished", uid, "fine", b"stored")
        assert servers.killed.wait(WAIT_S)
    with servers.run(pos=None) as server:
        assert answer_without_run(server, server.balancer(), 2).body == b"stored"


@pytest.mark.parametrize("step", ["append", "written"])
def test_a_kill_between_start_record_and_start_never_runs_the_request_twice(step: str) -> None:
    servers = Servers()
    with servers.run() as server:
        servers.kill_at = f"{step} intent", 0
        server.balancer().send(1, **KEYED)
        assert servers.killed.wait(WAIT_S)
        assert servers.pool.commands.empty()
    servers.pool.restart()
    with servers.run(pos=None) as server:
        assert servers.pool.next("bind")["pos"] == 0
        balancer = server.balancer()
        balancer.send(2, **KEYED)
        if step == "append":  # nothing was written, so the duplicate is the first to run
            servers.pool.run(b"first")
            assert balancer.answer()[1].body == b"first"
        else:
            assert balancer.answer()[1].status == 500


def test_a_run_requested_before_the_first_link_is_not_one_of_the_previous_pool() -> None:
    """Guards against a failed request: it was counted among the runs that a replaced pool has lost."""
    servers = Servers()
    with servers.run() as server:
        server.serve(server.balancer(), 1)  # the pool's start time is recorded with a later end
        server.serve(server.balancer(), 2, **KEYED)
    servers.pool.restart()
    servers.pool.bound = False
    with servers.run(pos=None) as server:
        balancer = server.balancer()
        balancer.send(3, **keyed(3))
        until(
            lambda: (
                (request := server.host._requests.find_uid(f"{3:016x}")) and request.last_command == NOT_SENT
            )
        )
        servers.pool.bound = True
        assert servers.pool.commands.get(timeout=WAIT_S)["action"] == "bind"
        servers.pool.tell(action="bound", code="running", wall_ms=0)
        while (command := servers.pool.commands.get(timeout=WAIT_S))["action"] == "bind":
            pass  # once more, from the first notice of the new pool
        assert (command["action"], command["uid"]) == ("spawn", f"{3:016x}")
        servers.pool.notice("finished", command["uid"], "fine", b"done")
        assert balancer.answer()[1].body == b"done"


@pytest.mark.parametrize("is_sent", [False, True], ids=["before its start", "after its start"])
def test_a_run_that_starts_while_the_pool_is_replaced_is_not_one_of_the_previous_pool(
    monkeypatch: pytest.MonkeyPatch, is_sent: bool
) -> None:
    """Guards against a failed request: the writer's thread sent its start when lost runs were looked for."""
    servers = Servers()
    with servers.run() as server:
        server.serve(server.balancer(), 1)  # the pool's start time is recorded with a later end
        server.serve(server.balancer(), 2, **KEYED)
    servers.pool.restart()
    servers.pool.bound = False
    with servers.run(pos=None) as server:
        start = hold(monkeypatch, server.host, "start_run")  # called by the writer's thread
        search = hold(monkeypatch, server.host._runs, "fail_lost_runs")
        balancer = server.balancer()
        balancer.send(3, **keyed(3))
        assert start.reached.wait(WAIT_S)
        servers.pool.bound = True
        assert servers.pool.commands.get(timeout=WAIT_S)["action"] == "bind"
        servers.pool.tell(action="bound", code="running", wall_ms=0)
        assert search.reached.wait(WAIT_S)
        servers.pool.next("bind")  # again, from the first notice of the new pool
        until(lambda: server.host._pool._link._bound_writer is not None)
        first, second = (start, search) if is_sent else (search, start)
        first.go.set()
        if is_sent:
            assert servers.pool.next("spawn")["uid"] == f"{3:016x}"
        else:
            wait_for_event_loop(server.host)
        second.go.set()
        if not is_sent:
            assert servers.pool.next("spawn")["uid"] == f"{3:016x}"
        servers.pool.notice("finished", f"{3:016x}", "fine", b"done")
        assert balancer.answer()[1].body == b"done"


@pytest.mark.parametrize("recorded", [False, True], ids=["not recorded", "recorded"])
def test_a_call_that_may_have_been_made_is_not_repeated_by_the_next_incarnation(recorded: bool) -> None:
    """The calls that the vault received are checked, since a second call would have a second effect."""
    servers = Servers()
    with servers.run() as server:
        server.balancer().send(1, **KEYED)
        uid = servers.pool.next("spawn")["uid"]
        if not recorded:
            servers.kill_at = "append call", 0
        servers.pool.notice("blocked", uid, content=b"call")
        if recorded:
            assert server.vault.calls.get(timeout=WAIT_S)
        else:
            assert servers.killed.wait(WAIT_S)
    with servers.run(reply(200, b"balance"), pos=int(recorded)) as server:
        servers.pool.notice("blocked", uid, content=b"call", again=True)
        if recorded:
            assert servers.pool.next("suspend")["uid"] == uid
            servers.pool.notice("finished", uid, "broken_off")
            assert server.vault.calls.empty()
        else:
            assert servers.pool.next("supply")["content"] == b"balance"
            servers.pool.notice("finished", uid, "fine", b"done")
        assert answer_without_run(server, server.balancer(), 2).status == (500 if recorded else 200)


@pytest.mark.parametrize(
    "fields",
    [{"body": b"another"}, {"path": "/svc/write", "body": b""}],
    ids=["another body", "empty body"],
)
def test_a_key_with_another_body_fails_and_the_original_answer_stays(fields: dict[str, Any]) -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        servers.pool.run(b"mine")
        assert balancer.answer()[1].body == b"mine"
        assert answer_without_run(server, balancer, 2, **fields).status == 500
    with servers.run(pos=1) as server:
        balancer = server.balancer()
        assert answer_without_run(server, balancer, 3, **fields).status == 500
        assert answer_without_run(server, balancer, 4).body == b"mine"


def test_a_duplicate_during_recovery_waits_for_it() -> None:
    servers = Servers()
    with servers.run() as server:
        balancer = server.balancer()
        balancer.send(1, **KEYED)
        servers.pool.run(b"original")
        assert balancer.answer()[1].status == 200
    with servers.run(pos=None, hold_recovery=True) as server:
        balancer = server.balancer()
        assert servers.recovering.wait(WAIT_S)
        balancer.send(2, **KEYED)
        balancer.send(3, path="/svc/nothing")  # read after the duplicate, and answered before it
        assert balancer.answer()[0] == 3
        servers.may_recover.set()
        assert balancer.answer()[1].body == b"original"


def test_a_request_that_waits_too_long_for_recovery_is_rejected_with_retry_after() -> None:
    servers = Servers()
    with servers.run(pos=None, hold_recovery=True) as server:
        answer = answer_without_run(server, server.balancer(), 1)
        assert (answer.status, int(answer.headers["Srv-Wait-Ms"])) == (503, UNAVAILABLE_RETRY_US // 1_000)
        servers.may_recover.set()
