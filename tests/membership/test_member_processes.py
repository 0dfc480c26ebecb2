"""Several processes of the real program that know each other: killed, stopped, restarted, drained."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import time
import urllib.request
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from peers import WAIT_S

from cairnvane.cli import main
from cairnvane.testbed import server_process
from cairnvane.testbed.cluster.nodes import settings
from cairnvane.testbed.cluster.scenario import Scenario
from cairnvane.testbed.stand_ins.sockets import free_ports
from cairnvane.testbed.stand_ins.vault import StandInRoster, StandInVault
from cairnvane.testbed.stand_ins.worker_pool import StandInPool

KEY = "of the tests, sixteen and more"


def free() -> int:
    """With the next one free as well, for a new version."""
    return free_ports(1, above=1)[0]


@dataclass
class Fleet:
    """Servers with members on, and their doors."""

    folder: Path
    doors: list[str] = field(default_factory=list)
    lives: list[server_process.Life] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.vault, self.roster, self.ports = StandInVault(), StandInRoster(), list[int]()
        self.sites: list[server_process.Site] = []

    def add(self) -> None:
        number = len(self.sites)
        pool = StandInPool(number)
        self.ports.append(free())
        self.doors.append(f"127.0.0.1:{free()}")
        text = (
            f"members: {{listen: '127.0.0.1:{self.ports[-1]}', key: {KEY!r}, "
            f"contacts: ['127.0.0.1:{self.ports[0]}']}}\n"
        )
        path = self.folder / f"n{number}"
        path.mkdir()
        self.sites.append(
            server_process.Site(
                path,
                pool.address,
                self.vault.address,
                self.roster.address,
                settings(Scenario("a")),
                text,
                control=self.doors[-1],
                name=f"n{number}",
                listen=f"127.0.0.1:{free()}",
            )
        )
        self.lives.append(server_process.start(self.sites[-1]))
        assert self.lives[-1].listens(), self.lives[-1].lines

    def again(self, number: int) -> None:
        self.lives[number] = server_process.start(self.sites[number])
        assert self.lives[number].listens(), self.lives[number].lines

    def told(self, number: int) -> dict[str, Any]:
        with urllib.request.urlopen(f"http://{self.doors[number]}/-/members", timeout=WAIT_S) as answer:
            got: dict[str, Any] = json.load(answer)
            return got

    def sees(self, number: int) -> dict[str, str]:
        """The best that it knows of each name."""
        rank = ("alive", "suspect", "failed", "left")
        seen: dict[str, str] = {}
        for one in self.told(number)["members"]:
            before = seen.get(one["name"], "left")
            seen[one["name"]] = min(before, one["status"], key=rank.index)
        return seen

    def all_see(self, who: list[int], status: str, of: list[int]) -> bool:
        return all(
            self.sees(number).get(f"n{other}") == status for number in who for other in of if other != number
        )

    def close(self) -> None:
        for life in self.lives:
            if life.alive():
                life.kill()
        self.vault.close()
        self.roster.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    for _ in range(4):
        made.add()
    with contextlib.closing(made):
        yield made


def until(holds: Callable[[], bool]) -> None:
    """A generous bound: what is judged is that it comes, not when."""
    end = time.monotonic() + 30
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.05)


EVERYBODY = [0, 1, 2, 3]


def test_a_member_that_is_killed_stopped_restarted_and_drained_is_seen_so_by_all(fleet: Fleet) -> None:
    until(lambda: fleet.all_see(EVERYBODY, "alive", EVERYBODY))
    fleet.lives[3].kill()
    until(lambda: fleet.all_see([0, 1, 2], "failed", [3]))
    fleet.again(3)
    until(lambda: fleet.all_see(EVERYBODY, "alive", EVERYBODY))

    fleet.lives[2].process.send_signal(signal.SIGSTOP)
    until(lambda: fleet.all_see([0, 1, 3], "failed", [2]))
    fleet.lives[2].process.send_signal(signal.SIGCONT)  # believing itself well
    until(lambda: fleet.all_see(EVERYBODY, "alive", EVERYBODY))
    until(lambda: any("member.held_up" in line for line in fleet.lives[2].lines))  # the others may know first
    said = [line for line in fleet.lives[2].lines if line.startswith("members: ")]
    woken = next(number for number, line in enumerate(said) if "member.held_up" in line)
    assert not any("member.failed" in line and "accusers" in line for line in said[woken:])

    done = CliRunner().invoke(main, ["members", "--door", fleet.doors[0]])
    assert all(f"n{number}" in done.output for number in EVERYBODY), done.output
    with urllib.request.urlopen(f"http://{fleet.doors[0]}/-/members/metrics", timeout=WAIT_S) as answer:
        text = answer.read().decode()
    assert answer.headers["Content-Type"] == "text/plain"
    assert 'cairnvane_members_lives{status="alive"} 3.0' in text and "cairnvane_members_doubt" in text
    carried = [one["told"] for one in fleet.told(0)["members"] if one["status"] == "alive"]
    assert all(one.keys() >= {"asked", "calls", "held", "version", "phase"} for one in carried), carried
    assert not any(one["held"] for one in carried)

    assert fleet.lives[1].stop(WAIT_S) == 0
    until(lambda: fleet.all_see([0, 2, 3], "left", [1]))
    said = [line for life in (fleet.lives[0], fleet.lives[2], fleet.lives[3]) for line in life.lines]
    assert not any("member.suspected" in line and "name=n1" in line for line in said)


def test_a_new_version_beside_takes_another_port_and_is_the_same_member(fleet: Fleet) -> None:
    until(lambda: fleet.all_see(EVERYBODY, "alive", EVERYBODY))
    old = fleet.lives[1]
    site = replace(
        fleet.sites[1],
        label="-new",
        listen=f"127.0.0.1:{old.port}",
        control=f"127.0.0.1:{free()}",
        pool=StandInPool(9).address,
    )
    new = server_process.start(site)
    fleet.lives.append(new)
    assert new.listens(), new.lines

    def lives() -> set[tuple[str, str]]:
        return {(one["status"], one["address"]) for one in fleet.told(0)["members"] if one["name"] == "n1"}

    first, second = (f"127.0.0.1:{fleet.ports[1] + above}" for above in (0, 1))
    until(lambda: lives() == {("alive", first), ("alive", second)})
    assert old.stop(WAIT_S) == 0
    until(lambda: lives() == {("left", first), ("alive", second)})
    assert fleet.told(0)["sight"]["verdict"] == "together"
    said = [line for life in fleet.lives for line in life.lines]
    bad = [line for line in said if "member.same_name" in line or "member.suspected" in line]
    assert not bad, bad


def test_what_strangers_send_costs_a_count_and_nothing_else(fleet: Fleet) -> None:
    until(lambda: fleet.all_see(EVERYBODY, "alive", EVERYBODY))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"x" * 50, b"CVM\x01" + bytes(60), bytes(1_500)) * 20:
            sock.sendto(data, ("127.0.0.1", fleet.ports[0]))
    with socket.create_connection(("127.0.0.1", fleet.ports[0]), WAIT_S) as whole:
        whole.sendall(b"\0\0\0\x20" + bytes(32))

    def counted() -> bool:
        counts = fleet.told(0)["counts"]
        return [counts.get(name, 0) for name in ("torn", "stranger", "oversized")] == [21, 40, 20]

    until(counted)
    assert fleet.all_see(EVERYBODY, "alive", EVERYBODY)


def test_a_server_without_members_says_how_to_turn_them_on(tmp_path: Path) -> None:
    door = f"127.0.0.1:{free()}"
    done = CliRunner().invoke(main, ["members", "--door", door])
    assert done.exit_code == 1 and door in done.output
