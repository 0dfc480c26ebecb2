"""A cluster of real server processes that are killed, stopped, restarted and drained."""

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


def free_port() -> int:
    """A free port whose next port is free as well, for a new version."""
    return free_ports(1, above=1)[0]


@dataclass
class Cluster:
    """Servers with membership enabled, and their administration endpoints."""

    folder: Path
    admin_addresses: list[str] = field(default_factory=list)
    lives: list[server_process.ServerProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.vault, self.roster, self.ports = StandInVault(), StandInRoster(), list[int]()
        self.sites: list[server_process.ServerConfiguration] = []

    def add(self) -> None:
        number = len(self.sites)
        pool = StandInPool(number)
        self.ports.append(free_port())
        self.admin_addresses.append(f"127.0.0.1:{free_port()}")
        text = (
            f"members: {{listen: '127.0.0.1:{self.ports[-1]}', key: {KEY!r}, "
            f"contacts: ['127.0.0.1:{self.ports[0]}']}}\n"
        )
        path = self.folder / f"n{number}"
        path.mkdir()
        self.sites.append(
            server_process.ServerConfiguration(
                path,
                pool.address,
                self.vault.address,
                self.roster.address,
                settings(Scenario("a")),
                text,
                control=self.admin_addresses[-1],
                name=f"n{number}",
                listen=f"127.0.0.1:{free_port()}",
            )
        )
        self.lives.append(server_process.start(self.sites[-1]))
        assert self.lives[-1].listens(), self.lives[-1].lines

    def restart(self, number: int) -> None:
        self.lives[number] = server_process.start(self.sites[number])
        assert self.lives[number].listens(), self.lives[number].lines

    def membership(self, number: int) -> dict[str, Any]:
        with urllib.request.urlopen(
            f"http://{self.admin_addresses[number]}/-/members", timeout=WAIT_S
        ) as answer:
            membership: dict[str, Any] = json.load(answer)
            return membership

    def seen_statuses(self, number: int) -> dict[str, str]:
        """The best status that this member knows for each name, over all instances."""
        rank = ("alive", "suspect", "failed", "left")
        seen: dict[str, str] = {}
        for member in self.membership(number)["members"]:
            before = seen.get(member["name"], "left")
            seen[member["name"]] = min(before, member["status"], key=rank.index)
        return seen

    def all_see(self, observers: list[int], status: str, observed: list[int]) -> bool:
        return all(
            self.seen_statuses(number).get(f"n{other}") == status
            for number in observers
            for other in observed
            if other != number
        )

    def close(self) -> None:
        for life in self.lives:
            if life.alive():
                life.kill()
        self.vault.close()
        self.roster.close()


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    servers = Cluster(tmp_path)
    for _ in range(4):
        servers.add()
    with contextlib.closing(servers):
        yield servers


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait with a generous limit: the tests check that the condition becomes true, not when."""
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


ALL_SERVERS = [0, 1, 2, 3]


def test_kill_restart_stop_and_drain_are_seen_by_all_members(cluster: Cluster) -> None:
    wait_until(lambda: cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS))
    cluster.lives[3].kill()
    wait_until(lambda: cluster.all_see([0, 1, 2], "failed", [3]))
    cluster.restart(3)
    wait_until(lambda: cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS))

    cluster.lives[2].process.send_signal(signal.SIGSTOP)
    wait_until(lambda: cluster.all_see([0, 1, 3], "failed", [2]))
    # The process resumes without knowing that it was declared failed.
    cluster.lives[2].process.send_signal(signal.SIGCONT)
    wait_until(lambda: cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS))
    # Its log line may come after the others have seen it.
    wait_until(lambda: any("member.held_up" in line for line in cluster.lives[2].lines))
    log_lines = list(cluster.lives[2].lines)
    resumed_line = next(number for number, line in enumerate(log_lines) if "member.held_up" in line)
    assert not any("member.failed" in line and "accusers" in line for line in log_lines[resumed_line:])

    result = CliRunner().invoke(main, ["members", "--door", cluster.admin_addresses[0]])
    assert all(f"n{number}" in result.output for number in ALL_SERVERS), result.output
    with urllib.request.urlopen(
        f"http://{cluster.admin_addresses[0]}/-/members/metrics", timeout=WAIT_S
    ) as answer:
        text = answer.read().decode()
    assert answer.headers["Content-Type"] == "text/plain"
    assert 'cairnvane_members_lives{status="alive"} 3.0' in text and "cairnvane_members_doubt" in text
    published = [member["told"] for member in cluster.membership(0)["members"] if member["status"] == "alive"]
    assert all(metadata.keys() >= {"asked", "calls", "held", "version", "phase"} for metadata in published), (
        published
    )
    assert not any(metadata["held"] for metadata in published)

    assert cluster.lives[1].stop(WAIT_S) == 0
    wait_until(lambda: cluster.all_see([0, 2, 3], "left", [1]))
    log_lines = [
        line for life in (cluster.lives[0], cluster.lives[2], cluster.lives[3]) for line in life.lines
    ]
    assert not any("member.suspected" in line and "name=n1" in line for line in log_lines)


def test_concurrent_new_version_uses_another_port_and_is_the_same_member(cluster: Cluster) -> None:
    wait_until(lambda: cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS))
    old = cluster.lives[1]
    site = replace(
        cluster.sites[1],
        label="-new",
        listen=f"127.0.0.1:{old.port}",
        control=f"127.0.0.1:{free_port()}",
        pool=StandInPool(9).address,
    )
    new = server_process.start(site)
    cluster.lives.append(new)
    assert new.listens(), new.lines

    def instances() -> set[tuple[str, str]]:
        return {
            (member["status"], member["address"])
            for member in cluster.membership(0)["members"]
            if member["name"] == "n1"
        }

    first, second = (f"127.0.0.1:{cluster.ports[1] + above}" for above in (0, 1))
    wait_until(lambda: instances() == {("alive", first), ("alive", second)})
    assert old.stop(WAIT_S) == 0
    wait_until(lambda: instances() == {("left", first), ("alive", second)})
    assert cluster.membership(0)["sight"]["verdict"] == "together"
    log_lines = [line for life in cluster.lives for line in life.lines]
    unexpected = [line for line in log_lines if "member.same_name" in line or "member.suspected" in line]
    assert not unexpected, unexpected


def test_unauthenticated_bytes_are_counted_and_change_nothing(cluster: Cluster) -> None:
    wait_until(lambda: cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (b"", b"x" * 50, b"CVM\x01" + bytes(60), bytes(1_500)) * 20:
            sock.sendto(data, ("127.0.0.1", cluster.ports[0]))
    with socket.create_connection(("127.0.0.1", cluster.ports[0]), WAIT_S) as connection:
        connection.sendall(b"\0\0\0\x20" + bytes(32))

    def all_counted() -> bool:
        counts = cluster.membership(0)["counts"]
        return [counts.get(name, 0) for name in ("torn", "stranger", "oversized")] == [21, 40, 20]

    wait_until(all_counted)
    assert cluster.all_see(ALL_SERVERS, "alive", ALL_SERVERS)


def test_the_members_command_fails_and_names_the_address_without_membership(tmp_path: Path) -> None:
    address = f"127.0.0.1:{free_port()}"
    result = CliRunner().invoke(main, ["members", "--door", address])
    assert result.exit_code == 1 and address in result.output
