"""The members' channel: datagrams, whole states over TCP, and the thread that drives the member.

The server never waits for this thread: it queues commands, and reads a snapshot that is replaced as a whole.
Unauthenticated data is only counted, and beyond the traffic limit its hash is not even checked.
"""

from __future__ import annotations

import contextlib
import os
import random
import selectors
import threading
from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import Any

from .. import clock
from .actions import Action, Address, Exchange, ReportEvent, Send
from .claims import Claim, Phase
from .envelope import EnvelopeError
from .evidence import ExternalSignals
from .messages import MAX_DATAGRAM_BYTES, Message, seal, unseal
from .options import Options
from .snapshot import MembershipSnapshot, snapshot_as_json, take_snapshot
from .sockets import open_sockets
from .state_connections import StateConnection, StateConnections, frame
from .swim import SwimMember
from .traffic_limits import TrafficLimits

__all__ = ["MemberTransport", "snapshot_as_json"]

# Maximum number of datagrams to read before timers are checked again.
READ_BATCH = 64
# Pause after an unexpected error, so that an error that repeats causes no busy loop.
ERROR_PAUSE_S = 0.1
# Longest wait while a state connection is open, so that its timeout is detected.
MAX_WAIT_WITH_CONNECTIONS_S = 0.1
# Minimum interval between two snapshots; the interval also grows with the number of members.
SNAPSHOT_INTERVAL_US = 200_000
SNAPSHOT_INTERVAL_PER_MEMBER_US = 1_000
# Interval at which the metadata of this server is read and published.
METADATA_INTERVAL_US = 1_000_000
US_PER_SECOND = 1e6


class _WakeUp:
    """Wakes the selector loop from other threads through a pipe."""

    def __init__(self) -> None:
        self.read_end, self._write_end = os.pipe()
        self._lock = (
            threading.Lock()
        )  # guards the descriptors, since a closed one may be reused for another file
        self._is_closed = False

    def wake(self) -> None:
        with self._lock, contextlib.suppress(OSError):
            if not self._is_closed:
                os.write(self._write_end, b".")

    def clear(self) -> None:
        os.read(self.read_end, 4_096)

    def close(self) -> None:
        with self._lock:
            if self._is_closed:
                return
            self._is_closed = True
            os.close(self.read_end)
            os.close(self._write_end)


class MemberTransport:
    """Runs one member over the network; `start`, `drain` and `close` may be called from any thread."""

    def __init__(
        self,
        listen: Address,
        key: bytes,
        name: str,
        place: str,
        contacts: list[Address],
        *,
        options: Options | None = None,
        external_signals: Callable[[], ExternalSignals] = ExternalSignals,
        metadata: Callable[[], dict[str, Any]] = dict,
        report: Callable[[ReportEvent], None] = lambda event: None,
        routes: Mapping[Address, Address] | None = None,
        spare_ports: int = 0,
    ) -> None:
        """Bind the sockets, UDP and TCP on the same port; raises `OSError` if that fails.

        `spare_ports`: number of ports above it to try if it is in use, for example by an earlier instance
        that a new version takes over from. `external_signals` returns the signals observed outside the
        members' channel, `metadata` the values that this server publishes to other members. `report` receives
        the events. `routes` maps an address to the one by which it is reached from here.
        """
        self._sockets = open_sockets(listen, spare_ports)
        self.address: Address = self._sockets.address
        rng = random.Random(os.urandom(16))
        own = Claim(rng.getrandbits(63) | 1, name, place, *self.address, 0, 0)
        self._member = SwimMember(
            own, rng, clock.now(), contacts=contacts, options=options, spare_ports=spare_ports
        )
        self._key = key
        self._external_signals = external_signals
        self._metadata = metadata
        self._report = report
        self._next_metadata_at = 0
        self._routes = routes or {}
        self.counts: Counter[str] = Counter()
        self._last_number = 0
        self._limits = TrafficLimits()
        self._selector = selectors.DefaultSelector()
        self._connections = StateConnections(
            self._selector,
            self.counts,
            self._routes,
            self._framed_state,
            self._handle_sealed,
        )
        self._commands: deque[Callable[[], None]] = (
            deque()
        )  # queued by other threads, run in the channel's thread
        self._wake_up = _WakeUp()
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="members", daemon=True)
        self._refresh_snapshot()

    def start(self) -> None:
        """Start the thread and join the cluster."""
        for sock in self._sockets:
            sock.setblocking(False)
            self._selector.register(sock, selectors.EVENT_READ)
        self._selector.register(self._wake_up.read_end, selectors.EVENT_READ)
        self._thread.start()

    def drain(self) -> None:
        """Publish that this server is draining."""
        self._run_in_thread(lambda: self._member.publish_phase(Phase.DRAINING))

    def close(self, wait_s: float = 0.5) -> None:
        """Notify other members that this one leaves, and stop the thread."""

        def leave() -> None:
            self._perform(self._member.leave(clock.now()))
            self._closed = True

        self._run_in_thread(leave)
        self._thread.join(wait_s)

    def drop(self) -> None:
        """Release the sockets of a transport that was never started."""
        self._selector.close()
        self._sockets.close()
        self._wake_up.close()

    def _run_in_thread(self, command: Callable[[], None]) -> None:
        self._commands.append(command)
        self._wake_up.wake()

    # --- the thread

    def _run(self) -> None:
        while not self._closed:
            try:
                self._run_once()
            except Exception as error:  # if this thread ended, other members would declare this server failed
                self.counts["errors"] += 1
                self._report(ReportEvent("member.error", {"what": f"{type(error).__name__} {error}"}))
                threading.Event().wait(ERROR_PAUSE_S)
        self._connections.close_all()
        self._selector.close()
        self._sockets.close()
        self._wake_up.close()

    def _run_once(self) -> None:
        for key, _ in self._selector.select(self._wait_s()):
            self._on_ready(key)
        while self._commands:
            command = self._commands.popleft()
            command()
        now = clock.now()
        if now >= self._member.next_at():
            self._tick(now)
        self._connections.close_overdue(now)
        if now > self._next_snapshot_at:
            self._refresh_snapshot()

    def _wait_s(self) -> float:
        wait_s = max(0, self._member.next_at() - clock.now()) / US_PER_SECOND
        return min(wait_s, MAX_WAIT_WITH_CONNECTIONS_S) if self._connections else wait_s

    def _tick(self, now: int) -> None:
        self._member.external_signals = self._external_signals()
        if now >= self._next_metadata_at:
            self._next_metadata_at = now + METADATA_INTERVAL_US
            self._member.publish_metadata(self._metadata())
        self._perform(self._member.tick(now))

    def _on_ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._sockets.udp:
            self._read_datagrams()
        elif key.fileobj is self._sockets.listener:
            self._connections.accept(self._sockets.listener)
        elif key.fileobj == self._wake_up.read_end:
            self._wake_up.clear()
        elif isinstance(key.data, StateConnection):
            self._connections.on_ready(key.data)

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action.to, action.message)
            elif isinstance(action, Exchange):
                self._connections.connect(action.to)
            else:
                self._report(action)

    def _refresh_snapshot(self) -> None:
        now = clock.now()
        self.snapshot: MembershipSnapshot = take_snapshot(self._member, self.counts, now)
        interval = SNAPSHOT_INTERVAL_PER_MEMBER_US * len(self.snapshot.members)
        self._next_snapshot_at = now + max(SNAPSHOT_INTERVAL_US, interval)

    # --- messages

    def _sealed(self, message: Message) -> bytes:
        self._last_number += 1
        return seal(self._key, self._member.own.instance_id, self._last_number, message)

    def _framed_state(self, answer: bool) -> bytes:
        return frame([self._sealed(view) for view in self._member.state_messages(answer)])

    def _send(self, address: Address, message: Message) -> None:
        data = self._sealed(message)
        allowed = self._limits.allow_sending(len(data))
        if not allowed or len(data) > MAX_DATAGRAM_BYTES:
            self.counts["not sent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)
        with contextlib.suppress(OSError):  # a full buffer or no route counts as a lost datagram
            self._sockets.udp.sendto(data, self._routes.get(address, address))

    def _read_datagrams(self) -> None:
        for _ in range(READ_BATCH):
            try:
                data, source = self._sockets.udp.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no datagram left, or the pending error of an earlier undelivered one
                return
            if self._limits.allow_receiving():
                self._handle_sealed(data, source, MAX_DATAGRAM_BYTES)
            else:
                self.counts["flooded"] += 1

    def _handle_sealed(self, data: bytes, source: Address, max_bytes: int) -> Message | None:
        """Open and handle a message; a message that can't be opened is counted and returns None."""
        try:
            opened = unseal(self._key, data, max_bytes)
        except EnvelopeError as error:
            self.counts[error.fault.value] += 1
            return None
        self.counts["taken"] += 1
        actions = self._member.handle(clock.now(), opened.sender, opened.number, source, opened.message)
        self._perform(actions)
        return opened.message
