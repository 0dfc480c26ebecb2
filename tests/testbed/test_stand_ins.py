"""The stand-ins: vault, balancer and reserved ports."""

from __future__ import annotations

import queue
import socket
import subprocess
import sys
import threading

import pytest
from peers import WAIT_S, Listener

from cairnvane.net import fastcgi
from cairnvane.testbed.stand_ins import balancer
from cairnvane.testbed.stand_ins.balancer import Reply, StandInBalancer
from cairnvane.testbed.stand_ins.sockets import free_ports
from cairnvane.testbed.stand_ins.vault import StandInVault


def test_the_vault_counts_calls_during_faults_and_time_over_capacity() -> None:
    vault = StandInVault(took_s=0.2, slots=1)

    def call() -> None:
        host, _, port = vault.address.rpartition(":")
        with socket.create_connection((host, int(port)), WAIT_S) as sock:
            sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")
            sock.recv(100)

    for slowdown_factor, calls in ((1.0, 1), (2.0, 2)):
        vault.slowdown = slowdown_factor
        threads = [threading.Thread(target=call) for _ in range(calls)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert (vault.calls_during_faults, vault.over_capacity_s > 0) == (
            (0, False) if calls == 1 else (2, True)
        )
    vault.close()


def test_a_port_stays_reserved_while_nothing_listens_on_it() -> None:
    """Guards against a second testbed that takes the port of a killed server before its restart."""
    (port,) = free_ports(1)
    with socket.create_server(("127.0.0.1", port)):
        pass
    other_testbed = (
        f"from cairnvane.testbed.stand_ins import sockets; print(sockets._reserve({port}) is None)"
    )
    done = subprocess.run(
        [sys.executable, "-c", other_testbed], capture_output=True, text=True, timeout=WAIT_S
    )
    assert done.stdout == "True\n", done.stderr


@pytest.mark.parametrize(("closes", "status"), [(1, 200), (2, 0)])
def test_the_balancer_resends_a_request_once_if_its_connection_was_closed_meanwhile(
    closes: int,
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting a request as lost if the server closed the idle connection while it was sent.

    It is resent only once: if the server closes that connection too, the request counts as disconnected.
    """
    monkeypatch.setattr(balancer, "CLOSE_RACE_S", WAIT_S)
    closes_left = iter([True] * closes)
    replies: queue.Queue[Reply] = queue.Queue()

    def serve(sock: socket.socket) -> None:
        data = sock.recv(65_536)
        if not next(closes_left, False):
            number = int.from_bytes(data[2:4], "big")
            sock.sendall(fastcgi.response(number, b"Status: 200 OK\r\n\r\n"))
            sock.recv(1)

    client = StandInBalancer(Listener(serve).address[1], links=1, renew=True)
    client.send("0" * 16, "read", b"x", None, replies.put)
    assert replies.get(timeout=WAIT_S).status == status
    client.close()
