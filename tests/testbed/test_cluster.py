"""The rig of several processes: its scenarios, what its links do, and a judge who can fail it."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from peers import WAIT_S

from cairnvane.cli import main
from cairnvane.config import ConfigurationError
from cairnvane.testbed.cluster import scenario
from cairnvane.testbed.cluster.checker import Span, judge
from cairnvane.testbed.cluster.link_conditions import REORDER_S, RESEND_S, Direction, Fault
from cairnvane.testbed.cluster.links import Network, TcpLink, UdpLink
from cairnvane.testbed.cluster.load import Asked, Try
from cairnvane.testbed.cluster.observations import Kill, Traffic, read
from cairnvane.testbed.cluster.observations import judge as judge_views
from cairnvane.testbed.cluster.schedule import draw
from cairnvane.testbed.experiments import overload
from cairnvane.testbed.stand_ins.sockets import Listener, free_ports
from cairnvane.testbed.stand_ins.vault import StandInVault
from cairnvane.testbed.stand_ins.worker_pool import Facts

HEAD = "name: a\nservers: 3\nseconds: 10\n"
FAULT, MEMBERS = HEAD + "faults:\n  - ", HEAD + "members: true\n"


# --- scenarios


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("name: a\nservers: 99\n", "line 2: servers: 99 is not between 1 and 24"),
        ("name: a\nservers: two\n", "line 2: servers: Expected `int`, got `str`"),
        ("name: a\nsecond: 9\n", "unknown field `second`"),
        (HEAD + "load:\n  rate: 0\n", "line 5: load.rate: 0 is not between 0.1 and 400"),
        (FAULT + "{do: kill, who: n3, at: 1}\n", "line 5: faults[0].who: 'n3' is none of n0, n1, n2"),
        (FAULT + "{do: kill, who: n1, at: 1}\n  - do: kil\n    at: 1\n", "line 6: faults[1].do: 'kil' is"),
        (FAULT + "{do: stop, who: n1, at: 1}\n", "'stop' needs to say for how many seconds"),
        (FAULT + "{do: kill, who: n1, at: 1, for: 2}\n", "'kill' happens at once"),
        (FAULT + "{do: cut, at: 8, for: 4, link: [n0, vault]}\n", "for: 4 is not between 0 and 2"),
        (FAULT + "{do: cut, at: 1, for: 1, link: [pool, vault]}\n", "one end at the least is"),
        (FAULT + "{do: reorder, at: 1, for: 1, link: [n0, pool]}\n", "exists between servers alone"),
        (FAULT + "{do: cut, at: 1, for: 1, link: [n0, n1]}\n", "only with `members: true`"),
        (HEAD + "expect: {called_dead: 0}\n", "line 4: expect.called_dead: needs `members: true`"),
        (MEMBERS + "expect: {held_up: [n7]}\n", "line 5: expect.held_up[0]: 'n7' is none of n0, n1, n2"),
        (MEMBERS + "expect: {sights: {n0: alone}}\n", "expect.sights.n0: 'alone' is none of together,"),
        (
            MEMBERS + "faults:\n  - {do: cut, at: 1, for: 1, way: there, link: [n0, servers]}\n",
            "says nothing",
        ),
        (
            MEMBERS + "faults:\n  - {do: cut, at: 1, for: 1, link: [n0, [n1, n9]]}\n",
            "faults[0].link[1][1]: 'n9'",
        ),
        (FAULT + "{do: slow, who: vault, at: [1]}\n", "line 5: faults[0].at: Expected `float`"),
        ("name: [\n", "line 2, column 1"),
    ],
)
def test_a_faulty_scenario_is_named_by_line_and_value(text: str, told: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        scenario.parse(text, "file.yaml")
    assert told in str(error.value) and str(error.value).startswith("file.yaml")


def test_one_seed_gives_one_schedule_and_a_further_fault_changes_no_other() -> None:
    faults = "faults:\n  - {do: kill, who: any, at: 1, jitter: 5}\n"
    more = faults + "  - {do: cut, at: 2, for: 1, jitter: 3, link: [n0, vault]}\n"
    one, two = scenario.parse(HEAD + faults, "a"), scenario.parse(HEAD + more, "a")
    assert draw(one, 5) == draw(one, 5)
    assert {draw(one, seed)[0].who for seed in range(20)} == {"n0", "n1", "n2"}
    assert draw(one, 5)[0] in draw(two, 5)


def test_a_fault_between_groups_is_put_on_each_link_between_them_once() -> None:
    told = scenario.parse(
        MEMBERS + "faults:\n"
        "  - {do: cut, at: 1, for: 1, link: [n0, [n1, n2]], way: there}\n"
        "  - {do: drop, at: 1, for: 1, link: [servers, servers]}\n"
        "  - {do: cut, at: 1, for: 1, link: [vault, servers]}\n",
        "a",
    )
    links = [told.links(fault) for fault in told.faults]
    assert links[0] == (("n0", "n1"), ("n0", "n2"))
    assert links[1] == (("n0", "n1"), ("n0", "n2"), ("n1", "n2"))
    assert links[2] == (("vault", "n0"), ("vault", "n1"), ("vault", "n2"))


# --- what a link does


def test_streams_keep_their_order_and_lose_nothing() -> None:
    way = Direction(random.Random(1))
    way.faults = {1: Fault("delay", delay_s=0.1, spread_s=0.1), 2: Fault("drop", share=0.3)}
    arrivals = [round(now + way.stream(100, now), 9) for now in (0.01 * step for step in range(500))]
    assert arrivals == sorted(arrivals) and max(arrivals) > 5.0 + RESEND_S


def test_a_capped_way_takes_its_time() -> None:
    way = Direction(random.Random(1), {1: Fault("cap", bytes_a_second=1_000.0)})
    assert [round(way.stream(500, 0.0), 6) for _ in range(3)] == [0.5, 1.0, 1.5]


def test_datagrams_are_lost_doubled_and_held_back_by_their_shares() -> None:
    way = Direction(random.Random(1))
    way.faults = {
        1: Fault("drop", share=0.3),
        2: Fault("duplicate", share=0.2),
        3: Fault("reorder", share=0.5),
    }
    copies = [way.datagram(100, 0.0) for _ in range(2_000)]
    counts = Counter(len(one) for one in copies)
    assert 0.25 < counts[0] / 2_000 < 0.35 and 0.15 < counts[2] / (2_000 - counts[0]) < 0.25
    assert {0 < delay <= REORDER_S for one in copies for delay in one} == {True, False}
    way.faults[4] = Fault("cut")
    assert way.datagram(100, 0.0) == []


@pytest.fixture
def network() -> Iterator[Network]:
    made = Network()
    yield made
    made.close()


def echo(sock: socket.socket) -> None:
    while data := sock.recv(4_096):
        sock.sendall(data)


def through(network: Network) -> tuple[TcpLink, Callable[[], socket.socket]]:
    host, _, port = Listener(echo).address.rpartition(":")
    link = network.add(TcpLink("seed", lambda: (host, int(port))))

    def connect() -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", link.port), WAIT_S)
        sock.settimeout(WAIT_S)
        sock.sendall(b"one")  # it has got through before anything is done to the link
        assert sock.recv(9) == b"one"
        return sock

    return link, connect


def test_a_cut_holds_what_is_said_until_it_heals(network: Network) -> None:
    link, connect = through(network)
    sock = connect()
    network.set(link, "back", 1, Fault("cut"))
    sock.sendall(b"two")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(9)
    network.set(link, "back", 1, None)
    sock.settimeout(WAIT_S)
    assert sock.recv(9) == b"two"


def test_what_a_stall_swallowed_ends_its_connection(network: Network) -> None:
    link, connect = through(network)
    sock = connect()
    network.set(link, "there", 1, Fault("stall"))
    sock.sendall(b"two")
    deadline = time.monotonic() + WAIT_S
    while not link.there.lost and time.monotonic() < deadline:
        time.sleep(0.01)
    network.set(link, "there", 1, None)
    with pytest.raises(ConnectionResetError):
        sock.recv(9)


def test_a_reset_ends_connections_and_nobody_listening_refuses_them(network: Network) -> None:
    link, connect = through(network)
    sock = connect()
    network.set(link, "both", 1, Fault("reset"))
    with pytest.raises(ConnectionResetError):
        sock.recv(9)
    network.set(link, "both", 1, None)
    network.listen(link, False)
    with pytest.raises(ConnectionRefusedError):
        connect()
    network.listen(link, True)
    connect()


def test_datagrams_pass_between_two_ends_and_one_way_may_be_cut(network: Network) -> None:
    ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for end in ends:
        end.bind(("127.0.0.1", 0))
        end.settimeout(WAIT_S)
    link = network.add(UdpLink("seed", (ends[0].getsockname, ends[1].getsockname)))
    first, second = ends
    first.sendto(b"hello", ("127.0.0.1", link.ports[0]))
    data, whence = second.recvfrom(99)
    assert data == b"hello" and whence == ("127.0.0.1", link.ports[1])
    second.sendto(b"answer", whence)
    assert first.recvfrom(99) == (b"answer", ("127.0.0.1", link.ports[0]))
    network.set(link, "there", 1, Fault("cut"))
    first.sendto(b"lost", ("127.0.0.1", link.ports[0]))
    second.sendto(b"heard", ("127.0.0.1", link.ports[1]))
    assert first.recv(99) == b"heard" and link.counts["lost"] == 1
    for end in ends:
        end.close()


# --- the judge

TOLD = scenario.parse(
    HEAD + "expect: {served: 0.9, back_within: 1, tries: 1.5}\nfaults:\n  - {do: kill, who: n0, at: 4}\n", "a"
)


def asked(number: int, *tries: Try, token: str | None = None, at: float = 1.0) -> Asked:
    one = Asked(b"%d" % number, "bid-commit", at, token, 0, list(tries))
    one.served_at = next((made.ended for made in tries if made.status == 200), None)
    return one


def made(uid: str, status: int | None, node: int = 0, result: bytes | None = None, **more: Any) -> Try:
    return Try(uid, node, 1, 1.0, 1.5, status, result=result, **more)


def facts(
    runs: int,
    *results: bytes,
    uids: tuple[str, ...] = (),
    lives: dict[int, int] | None = None,
) -> Facts:
    return Facts(runs, list(results), set(uids), Counter(lives if lives is not None else {1: runs}))


def test_the_judge_passes_what_is_right() -> None:
    known = {b"1": facts(1, b"r", uids=("a",))}
    some = [
        asked(1, made("b", 429, 1), made("a", 200, result=b"r"), token="t"),
        asked(2, at=5.0),
        asked(3, made("c", 0, 0), at=1.0),
    ]
    verdict = judge(TOLD, 1, some, [known], [Span(0, 1.4, 1.4)], 4.0)
    assert verdict.wrong == 0 and verdict.broken == 1


@pytest.mark.parametrize(
    ("one", "known", "counts"),
    [
        (asked(1, made("a", None)), {}, "lost"),
        (asked(1, made("a", 0)), {}, "lost"),
        (asked(1, made("a", 200, result=b"r"), token="t"), {b"1": facts(2, b"r", b"q")}, "twice"),
        (asked(1, made("a", 503)), {b"1": facts(1, uids=("a",))}, "refused_after_run"),
        (
            asked(1, made("a", 200, result=b"r"), made("b", 200, result=b"q"), token="t"),
            {b"1": facts(1, b"r", b"q")},
            "differing",
        ),
        (asked(1, made("a", 200, result=b"x")), {b"1": facts(1, b"r")}, "invented"),
    ],
)
def test_the_judge_fails_each_broken_rule(one: Asked, known: dict[bytes, Facts], counts: str) -> None:
    verdict = judge(TOLD, 1, [one], [known], [], 4.0)
    assert verdict.wrong == getattr(verdict, counts) == 1 and not verdict.good


def test_a_few_tries_may_end_at_the_door_of_a_handover_if_they_never_ran() -> None:
    spans = [Span(0, 1.4, 1.6, handover=True)]
    some = [asked(number, made(f"{number}", 0)) for number in range(3)]
    told = scenario.parse(HEAD, "a")
    verdict = judge(told, 1, some[:2], [{}], spans, 0.0)
    assert (verdict.at_door, verdict.lost, verdict.good) == (2, 0, True)
    assert judge(told, 1, some, [{}], spans, 0.0).short == ["3 tries ended at the door in 1 handovers"]
    ran = judge(told, 1, some[:1], [{b"0": facts(1, uids=("0",))}], spans, 0.0)
    assert (ran.at_door, ran.lost) == (0, 1) and "broken off, ran" in ran.lost_tries[0]


def test_a_run_in_each_of_two_lives_is_no_second_run() -> None:
    one = asked(1, made("a", 200, result=b"r"), token="t")
    assert judge(TOLD, 1, [one], [{b"1": facts(2, b"r", lives={1: 1, 2: 1})}], [], 4.0).twice == 0


def test_a_statement_that_does_not_hold_is_told() -> None:
    some = [asked(number, *([made(f"{number}", 429)] * 2), at=number / 10) for number in range(60)]
    verdict = judge(TOLD, 1, some, [{}], [], 0.0)
    assert [line.split(" ")[0] for line in verdict.short] == ["served", "2.00", "back"]


def test_tries_after_a_refusal_and_worth_before_and_after_a_fault_are_counted() -> None:
    told = scenario.parse(HEAD + "faults:\n  - {do: slow, who: vault, at: 2, for: 3, times: 4}\n", "a")
    some = [
        asked(1, made("a", 200), at=1.0),
        asked(2, made("b", 429), made("c", 503), made("d", 429), at=3.0),
        asked(3, made("e", 0, nobody=True), made("f", 200), at=6.0),
        asked(4, made("g", 429), at=6.0),
    ]
    verdict = judge(told, 1, some, [{}], [], 2.0)
    assert (verdict.worth_before, verdict.worth_during, verdict.worth_after) == (1.0, 0.0, 0.5)
    assert verdict.again == 2 / 7


def test_a_vault_counts_calls_that_met_it_sick_and_the_time_beyond_its_slots() -> None:
    vault = StandInVault(took_s=0.2, slots=1)

    def call() -> None:
        host, _, port = vault.address.rpartition(":")
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")
            sock.recv(100)

    for sick, calls in ((1.0, 1), (2.0, 2)):
        vault.slower = sick
        threads = [threading.Thread(target=call) for _ in range(calls)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert (vault.met_sick, vault.over_s > 0) == ((0, False) if calls == 1 else (2, True))
    vault.close()


@pytest.mark.parametrize("kind", overload.TROUBLES)
def test_each_trouble_ends_before_the_load_does(kind: str) -> None:
    told = overload.scenario(kind, 3)
    assert told.last_end() <= overload.BEFORE_S + overload.DURING_S and draw(told, 1)


# --- the rig


def fleet(tmp_path: Path, *words: str) -> tuple[int, dict[str, Any], str]:
    report = tmp_path / "verdict.json"
    done = CliRunner().invoke(main, ["lab", "fleet", *words, "--json", str(report)])
    return done.exit_code, json.loads(report.read_text()) if report.exists() else {}, done.output


def test_a_server_that_is_killed_and_comes_back_breaks_no_rule(tmp_path: Path) -> None:
    """The one that is played where none is named; its own statements are for a machine with cores to
    spare."""
    events = tmp_path / "events.jsonl"
    _, verdict, output = fleet(tmp_path, "--seed", "3", "--events", str(events))
    wrong = {name: verdict[name] for name in ("lost", "twice", "refused_after_run", "differing", "invented")}
    assert not any(wrong.values()) and verdict["trouble"] == [], output
    assert verdict["requests"] > 250 and verdict["tries"] >= verdict["requests"]
    told = [json.loads(line) for line in events.read_text().splitlines()]
    assert [
        (one["event"], one.get("life")) for one in told if one.get("who") == "n1" and one["event"] != "fault"
    ] == [("started", 1), ("ended", 1), ("started", 2), ("ended", 2)]
    assert [one["do"] for one in told if one["event"] == "fault"] == ["kill", "start"]


def test_after_a_cut_between_servers_they_agree_though_one_was_killed_in_it(tmp_path: Path) -> None:
    _, verdict, output = fleet(tmp_path, str(scenario.shipped().with_name("cut.yaml")), "--seed", "5")
    assert (verdict["lost"], verdict["twice"], verdict["trouble"]) == (0, 0, []), output
    assert verdict["views"]["agreed_s"] is not None, output


@pytest.mark.parametrize("name", ["roll", "held-up"])
def test_a_hard_case_of_members_breaks_no_rule_and_all_agree(name: str, tmp_path: Path) -> None:
    """What these state beside that is for a machine with cores to spare."""
    _, verdict, output = fleet(tmp_path, str(scenario.shipped().with_name(f"{name}.yaml")), "--seed", "2")
    wrong = {rule: verdict[rule] for rule in ("lost", "twice", "refused_after_run", "differing", "invented")}
    assert not any(wrong.values()) and verdict["trouble"] == [], output
    assert verdict["views"]["agreed_s"] is not None, output
    assert not any("never said" in line for line in verdict["short"]), output


@pytest.mark.parametrize("path", sorted(scenario.shipped().parent.glob("*.yaml")), ids=lambda path: path.stem)
def test_each_scenario_that_is_shipped_can_be_read(path: Path) -> None:
    assert draw(scenario.load(path), 1)


def test_verdicts_of_a_servers_own_on_the_unhurt_are_counted() -> None:
    logged_by = "INFO cairnvane.server.composition: "
    lines = [
        logged_by + "member.failed name=n1 life=1 incarnation=0 by=2 accusers=3 probed=3",
        logged_by + "member.failed name=n1 life=1 incarnation=0 by=2",
        logged_by + "member.failed name=n2 life=1 incarnation=0 by=2 accusers=1 probed=3",
    ]
    said = read("n0", lines, [11.0, 11.5, 12.0], 10.0)
    told = scenario.parse(
        "name: a\nservers: 3\nmembers: true\nexpect: {called_dead: 0, found_within: 1.5}\n", "a"
    )
    kill = Kill(0.2, "n2", frozenset({"n0"}))
    views, short = judge_views(told, said, [kill], {"n2"}, Traffic(3), None)
    assert (views.called_dead, views.found_s, views.not_found) == (1, [1.8], 0)
    assert [line.split(" ")[0] for line in short if not line.startswith("  ")] == ["1", "the"]
    kill = Kill(0.2, "n2", frozenset({"n0", "n1"}))
    assert judge_views(told, said, [kill], {"n1", "n2"}, Traffic(3), None)[0].not_found == 1


def test_a_faulty_file_ends_with_its_line_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "a.yaml"
    path.write_text("name: a\nservers: 0\n")
    done = CliRunner().invoke(main, ["lab", "fleet", str(path)])
    assert done.exit_code == 2 and f"{path}, line 2: servers: 0 is not between" in done.output
    done = CliRunner().invoke(main, ["lab", "fleet", str(tmp_path / "none.yaml")])
    assert done.exit_code == 2 and "No such file" in done.output


def test_a_port_that_was_handed_out_is_nobody_elses_while_nobody_listens_there() -> None:
    """Two rigs on one machine: a server of one is killed, and must not come back as a server of the other."""
    (port,) = free_ports(1)
    with socket.create_server(("127.0.0.1", port)):
        pass
    other = f"from cairnvane.testbed.stand_ins import sockets; print(sockets._claim({port}) is None)"
    told = subprocess.run([sys.executable, "-c", other], capture_output=True, text=True, timeout=WAIT_S)
    assert told.stdout == "True\n", told.stderr


def runs(pid: int) -> bool:
    """Whether it has not ended; nobody may be there to collect it."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


# Loaded by the interpreter before anything of ours: nobody is told its parent before the file is there.
LATE_PARENT = """
import os, time
from pathlib import Path
ask, told = os.getppid, Path({path!r})
def ask_late():
    while not told.exists():
        time.sleep(0.01)
    return ask()
os.getppid = ask_late
"""
RIG = """
import sys, time
from pathlib import Path
from cairnvane.testbed import server_process
from cairnvane.testbed.cluster.nodes import settings
from cairnvane.testbed.cluster.scenario import Scenario
nowhere = "127.0.0.1:1"
site = server_process.Site(Path(sys.argv[1]), nowhere, nowhere, nowhere, settings(Scenario("a")))
life = server_process.start(site)
assert life.listens()
print(life.process.pid, flush=True)
time.sleep(60)
"""


@pytest.mark.parametrize("asks", ["before", "after"])
def test_a_server_ends_with_the_rig_that_started_it(asks: str, tmp_path: Path) -> None:
    """Whether the server asks for its parent's process id before the rig is killed or after that. Guards: it
    took what it was told after that for the rig's, never missed the rig, and stayed."""
    environment, killed = dict(os.environ), tmp_path / "killed"
    if asks == "after":
        late = tmp_path / "late"
        late.mkdir()
        (late / "sitecustomize.py").write_text(LATE_PARENT.format(path=str(killed)))
        environment["PYTHONPATH"] = os.pathsep.join([str(late), str(Path(__file__).parents[2])])
    rig = subprocess.Popen(
        [sys.executable, "-c", RIG, str(tmp_path)], stdout=subprocess.PIPE, text=True, env=environment
    )
    assert rig.stdout is not None
    with rig.stdout:
        pid = int(rig.stdout.readline())
    try:
        rig.kill()
        rig.wait()
        killed.touch()
        end = time.monotonic() + 4 * WAIT_S
        while runs(pid) and time.monotonic() < end:
            time.sleep(0.05)
        assert not runs(pid)
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


def test_links_that_end_with_open_connections_say_nothing(caplog: pytest.LogCaptureFixture) -> None:
    network = Network()
    _, connect = through(network)
    some = [connect() for _ in range(3)]
    for sock in some:
        sock.sendall(b"x")
        assert sock.recv(1) == b"x"
    network.close()
    for sock in some:
        sock.close()
    assert not caplog.records


def test_threads_of_the_links_end_with_them() -> None:
    before = threading.active_count()
    Network().close()
    assert threading.active_count() <= before
