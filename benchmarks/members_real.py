"""Twelve real processes that are members of one cluster: detection time of a kill, and CPU cost.

Detection times are taken when this process reads the servers' log lines. CPU usage of each process is read
from /proc, and compared with that of the same processes without membership.
"""

from __future__ import annotations

import os
import socket
import statistics
import tempfile
import time
from pathlib import Path

import table
from keyed_latency import cpu_s

from cairnvane.testbed import server_process
from cairnvane.testbed.cluster.nodes import settings
from cairnvane.testbed.cluster.observations import read_member_event
from cairnvane.testbed.cluster.scenario import Scenario
from cairnvane.testbed.stand_ins.vault import StandInRoster, StandInVault
from cairnvane.testbed.stand_ins.worker_pool import StandInPool

MEMBERS = int(os.environ.get("BENCH_MEMBERS", "12"))
KILLS = int(os.environ.get("BENCH_KILLS", "20"))
# Time limit for all members to detect a kill or a restart.
DETECTION_TIMEOUT_S = 20
IDLE_S = float(os.environ.get("BENCH_SECONDS", "20"))


def free_ports() -> list[int]:
    """A free port for each member."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(MEMBERS)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def start(
    folder: Path, members: bool, ports: list[int]
) -> tuple[list[server_process.ServerConfiguration], list[server_process.ServerProcess]]:
    vault, roster = StandInVault(), StandInRoster()
    sites, lives = [], []
    for number, port in enumerate(ports):
        text = (
            (
                f"members: {{listen: '127.0.0.1:{port}', key: of-the-benchmark-only, "
                f"contacts: ['127.0.0.1:{ports[0]}', '127.0.0.1:{ports[1]}']}}\n"
            )
            if members
            else "log: {}\n"
        )
        path = folder / f"{members}{number}"
        path.mkdir()
        sites.append(
            server_process.ServerConfiguration(
                path,
                StandInPool(number).address,
                vault.address,
                roster.address,
                settings(Scenario("a")),
                text,
                name=f"n{number}",
            )
        )
        lives.append(server_process.start(sites[-1]))
        assert lives[-1].listens(), lives[-1].lines
    return sites, lives


def has_event(line: str, event: str, member: str | None = None) -> bool:
    """Whether a log line reports this event of this member (None: of any member)."""
    found = read_member_event(line)
    return found is not None and found.event == event and member in (None, found.member)


def all_logged(
    lives: list[server_process.ServerProcess], subject: int, event: str, first_lines: list[int]
) -> bool:
    return all(
        any(has_event(line, event, f"n{subject}") for line in life.lines[first_lines[number] :])
        for number, life in enumerate(lives)
        if number != subject
    )


def cpu_usage(lives: list[server_process.ServerProcess]) -> list[float]:
    before = [cpu_s(life.process.pid) for life in lives]
    time.sleep(IDLE_S)
    return [
        (cpu_s(life.process.pid) - cpu_before) / IDLE_S
        for life, cpu_before in zip(lives, before, strict=True)
    ]


def main() -> None:
    """Measure without membership, then with it, and kill members one after the other."""
    with tempfile.TemporaryDirectory() as folder:
        _, without_membership = start(Path(folder), False, free_ports())
        off = cpu_usage(without_membership)
        for life in without_membership:
            life.kill()
        sites, lives = start(Path(folder), True, free_ports())
        time.sleep(5)
        on = cpu_usage(lives)
        suspicions = sum(has_event(line, "suspected") for life in lives for line in life.lines)
        detection_ms = []
        for kill in range(KILLS):
            killed = 2 + kill % (MEMBERS - 2)
            first_lines = [len(life.lines) for life in lives]
            lives[killed].kill()
            started_at = time.monotonic()
            while (
                not all_logged(lives, killed, "failed", first_lines)
                and time.monotonic() < started_at + DETECTION_TIMEOUT_S
            ):
                time.sleep(0.01)
            detection_ms.append((time.monotonic() - started_at) * 1e3)
            first_lines = [len(life.lines) for life in lives]
            lives[killed] = server_process.start(sites[killed])
            assert lives[killed].listens()
            started_at = time.monotonic()
            while (
                not all_logged(lives, killed, "alive", first_lines)
                and time.monotonic() < started_at + DETECTION_TIMEOUT_S
            ):
                time.sleep(0.01)
            time.sleep(2)
        for life in lives:
            life.kill()
    detection_ms.sort()
    table.show(
        f"{MEMBERS} processes, {KILLS} kills",
        [
            "detected by all, ms: median",
            "worst",
            "suspicions before the kills",
            "CPU of a core, off",
            "on",
        ],
        [
            [
                statistics.median(detection_ms),
                detection_ms[-1],
                suspicions,
                statistics.median(off),
                statistics.median(on),
            ]
        ],
    )


if __name__ == "__main__":
    main()
