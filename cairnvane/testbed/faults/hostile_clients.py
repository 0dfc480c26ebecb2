"""Misbehaving clients of the administration endpoint, and regular requests of an operator beside them.

Hostile clients send nothing, send one byte at a time, or never read the response, and reconnect as soon as
they are disconnected.
"""

from __future__ import annotations

import contextlib
import json
import selectors
import socket
import threading
import time
from dataclasses import dataclass, field
from enum import Enum

from ...net import http

# A response to an operator is late after the deadline; the request times out after a multiple of it.
RESPONSE_DEADLINE_S = 1.0
REQUEST_TIMEOUT_S = 5 * RESPONSE_DEADLINE_S
# Interval between the actions of a hostile client, for example the single bytes of a slow one.
ACTION_INTERVAL_S = 1.0
CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.005
_REQUEST = b"GET /-/metrics HTTP/1.1\r\nHost: door\r\nX-Padding: " + b"x" * 400 + b"\r\n\r\n"


class Behavior(Enum):
    """What a hostile client does."""

    SILENT = "silent"  # sends nothing
    SLOW = "slow"  # sends one byte at a time
    NEVER_READS = "never reads"  # sends complete requests and reads no response


# Behaviors, assigned to clients in turn.
_BEHAVIORS = (Behavior.SILENT,) * 4 + (Behavior.SLOW,) * 4 + (Behavior.NEVER_READS,)


@dataclass(slots=True, eq=False)
class _Client:
    behavior: Behavior
    sock: socket.socket | None = None
    sent_bytes: int = 0
    next_action_at: float = 0.0


class HostileClients:
    """Hostile clients of one endpoint, run by one thread until `close`."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.connections_opened = 0
        self._address = address
        self._clients = [_Client(_BEHAVIORS[number % len(_BEHAVIORS)]) for number in range(count)]
        self._selector = selectors.DefaultSelector()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="hostile clients", daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            for client in self._clients:
                if now >= client.next_action_at:
                    self._act(client, now)
            self._close_disconnected()
        for client in self._clients:
            self._disconnect(client)

    def _close_disconnected(self) -> None:
        """Close connections that the server has closed; responses are read and ignored."""
        for key, _ in self._selector.select(POLL_S):
            client = key.data
            with contextlib.suppress(OSError):
                if key.fileobj.recv(64):  # type: ignore[union-attr]
                    continue
            self._disconnect(client)

    def _act(self, client: _Client, now: float) -> None:
        client.next_action_at = now + ACTION_INTERVAL_S
        try:
            sock = client.sock or self._connect(client)
            if client.behavior is Behavior.SLOW:
                sock.send(_REQUEST[client.sent_bytes : client.sent_bytes + 1])
                client.sent_bytes += 1
            elif client.behavior is Behavior.NEVER_READS:
                sock.send(_REQUEST)
        except OSError:
            self._disconnect(client)

    def _connect(self, client: _Client) -> socket.socket:
        sock = socket.create_connection(self._address, CONNECT_TIMEOUT_S)
        client.sock = sock
        client.sent_bytes = 0
        sock.setblocking(False)
        self.connections_opened += 1
        if client.behavior is not Behavior.NEVER_READS:
            self._selector.register(sock, selectors.EVENT_READ, client)
        return sock

    def _disconnect(self, client: _Client) -> None:
        if client.sock is not None:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(client.sock)
            client.sock.close()
            client.sock = None
            client.next_action_at = 0.0  # reconnects immediately

    def close(self) -> None:
        """Disconnect all clients and stop their thread."""
        self._stop.set()
        self._thread.join()


@dataclass
class OperatorRequests:
    """Results of an operator's requests to administration endpoints."""

    durations_ms: list[float] = field(default_factory=list)
    late: int = 0
    failures: list[str] = field(default_factory=list)

    @property
    def count(self) -> int:
        """Number of requests."""
        return len(self.durations_ms)


def send_request(
    address: tuple[str, int], verb: str, path: str, expected_status: int, requests: OperatorRequests
) -> bytes:
    """Send one request and record its result; returns the body of the response, empty without a response."""
    start = time.monotonic()
    try:
        with socket.create_connection(address, REQUEST_TIMEOUT_S) as sock:
            sock.sendall(http.request(verb, path, address, {}, b""))
            reply = http.read_reply(sock, time.monotonic() + REQUEST_TIMEOUT_S)
    except (OSError, http.InvalidReplyError) as error:
        requests.failures.append(f"{verb} {path}: {type(error).__name__} {error}")
        requests.durations_ms.append((time.monotonic() - start) * 1e3)
        return b""
    duration_s = time.monotonic() - start
    requests.durations_ms.append(duration_s * 1e3)
    requests.late += duration_s > RESPONSE_DEADLINE_S
    if reply.status != expected_status:
        requests.failures.append(f"{verb} {path}: status {reply.status}, expected {expected_status}")
    elif path == "/-/metrics" and not _is_json(reply.body):
        requests.failures.append(f"{path}: response is not JSON")
    return reply.body


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True
