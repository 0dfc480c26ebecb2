"""Reports to the service registry: they continue after any response, and end with the shutdown."""

from __future__ import annotations

import queue
import socket
import threading
from types import SimpleNamespace
from typing import Any

import pytest
from peers import WAIT_S, Held, Listener, RosterPeer

from cairnvane.net import http, service_registry


def test_no_report_is_sent_after_the_shutdown_began(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stale entry: a report that was about to be sent kept the entry for 3 s more."""
    received: list[bytes] = []
    ended = threading.Event()

    def listen(sock: socket.socket) -> None:
        received.append(sock.recv(4_096))
        ended.set()

    connected = Held(socket.create_connection)
    registry_socket = SimpleNamespace(create_connection=connected, SHUT_RDWR=socket.SHUT_RDWR)
    monkeypatch.setattr(service_registry, "socket", registry_socket)
    reports = service_registry.ServiceRegistry(Listener(listen).address, "n1")
    reports.start()
    assert connected.reached.wait(WAIT_S)
    reports.stop()
    connected.go.set()
    assert ended.wait(WAIT_S)
    assert received == [b""]


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 204 No",
        b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nno",
        b"\xff\xfe\r\n\r\n",
        b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n",
        None,
    ],
)
def test_reports_continue_after_any_response(
    response: bytes | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an expired entry, with a registry that responds partially, wrongly or not at all."""
    monkeypatch.setattr(service_registry, "REPORT_INTERVAL_S", 0.01)
    monkeypatch.setattr(service_registry, "REPORT_TIMEOUT_S", 0.05)
    peer = RosterPeer(response)
    reports = service_registry.ServiceRegistry(peer.address, "n1")
    reports.start()
    for _ in range(3):
        assert peer.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n1 ")
    peer.stopping.set()
    reports.stop()


def test_unexpected_error_drops_only_one_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an expired entry: the error ended the reporting thread."""
    monkeypatch.setattr(service_registry, "REPORT_INTERVAL_S", 0.01)
    failed = threading.Event()

    def fail_once(*args: Any) -> http.Reply:
        if not failed.is_set():
            failed.set()
            raise ValueError("unexpected error")
        return http.read_reply(*args)

    monkeypatch.setattr(service_registry, "http", SimpleNamespace(request=http.request, read_reply=fail_once))
    peer = RosterPeer(b"HTTP/1.1 204 No Content\r\n\r\n")
    reports = service_registry.ServiceRegistry(peer.address, "n1")
    reports.start()
    for _ in range(3):
        assert peer.reports.get(timeout=WAIT_S).startswith(b"PUT /roster/n1 ")
    assert failed.is_set()
    peer.stopping.set()
    reports.stop()


def test_move_during_a_report_is_followed_by_a_report_to_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(service_registry, "REPORT_INTERVAL_S", 10 * WAIT_S)
    connected = Held(socket.create_connection)
    registry_socket = SimpleNamespace(create_connection=connected, SHUT_RDWR=socket.SHUT_RDWR)
    monkeypatch.setattr(service_registry, "socket", registry_socket)
    reported: queue.Queue[str] = queue.Queue()
    old, new = Listener(lambda sock: reported.put("old")), Listener(lambda sock: reported.put("new"))
    reports = service_registry.ServiceRegistry(old.address, "n1")
    reports.start()
    assert connected.reached.wait(WAIT_S)
    reports.move(new.address)
    connected.go.set()
    assert [reported.get(timeout=WAIT_S) for _ in range(2)] == ["old", "new"]
    reports.stop()


def test_shutdown_aborts_a_report_in_progress(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service_registry, "REPORT_TIMEOUT_S", 10 * WAIT_S)
    closed = threading.Event()
    received = threading.Event()

    def listen(sock: socket.socket) -> None:
        assert sock.recv(4_096)
        received.set()
        if not sock.recv(4_096):  # the server closed without waiting for the response
            closed.set()

    reports = service_registry.ServiceRegistry(Listener(listen).address, "n1")
    reports.start()
    assert received.wait(WAIT_S)
    reports.stop()
    assert closed.wait(WAIT_S)
