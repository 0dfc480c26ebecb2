"""The members' channel: datagrams, whole views over TCP, and the one thread that moves the machine.

The host never waits for it: what it wants told goes into a queue, and what it reads is a snapshot that is
replaced whole. What a stranger sends costs a count, and beyond the bounds not even the look at its hash.
"""

from __future__ import annotations

import contextlib
import errno
import os
import random
import selectors
import socket
import struct
import threading
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from .. import clock
from .claims import Claim, Phase
from .envelope import EnvelopeError
from .evidence import ExternalSignals
from .messages import MAX_VIEW_BYTES, MOST_BYTES, Message, View, seal, unseal
from .partition_detector import Assessment
from .swim import Action, Address, Exchange, Options, Send, SwimMember, Tell

# In both directions, a second. A member of twelve sends 2 KB in 20 datagrams, at a third lost 4 KB in 30.
MOST_OUT_BYTES, MOST_IN = 64 << 10, 1_000
# Whole views on their way at a time, and how long one may take.
MOST_VIEWS, VIEW_S = 8, 2.0
# So many datagrams are read before the machine's own times are looked at again.
READ_AT_ONCE = 64
# After a fault of its own the thread goes on, but never in a spin.
AFTER_ERROR_S = 0.1
# The snapshot is made anew no more often than this, and with many lives less often.
LOOK_US, LOOK_LIFE_US = 200_000, 1_000
# What this server carries is looked at so often.
CARRY_US = 1_000_000
_LENGTH = struct.Struct("!I")


@dataclass(frozen=True, slots=True)
class MemberView:
    """One life, as this member sees it."""

    name: str
    life: str
    place: str
    address: str
    status: str
    phase: str
    incarnation: int
    heard_ms: int | None  # ago
    told: dict[str, Any]


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """All that a consumer may read; never changed once it is there."""

    own: MemberView
    members: tuple[MemberView, ...]
    assessment: Assessment
    taken_at: int  # microseconds of the monotonic clock
    health_score: int
    ping_loss: float  # of our probes of the living
    counts: dict[str, int]


def _listen(at: Address, spares: int) -> tuple[socket.socket, socket.socket]:
    """Listen for views and for datagrams, on one port for both; `OSError` if none is free."""
    host, first = at
    for port in range(first, first + spares + 1):
        try:
            listener = socket.create_server((host, port), backlog=16)
        except OSError as error:
            if error.errno != errno.EADDRINUSE or port == first + spares:
                raise
            continue
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(listener.getsockname())
            return listener, udp
        except OSError as error:
            listener.close()
            udp.close()
            if error.errno != errno.EADDRINUSE or port == first + spares:
                raise
    raise AssertionError("the last port has raised")


class _View:
    """A connection that carries whole views, one way and then the other."""

    def __init__(self, sock: socket.socket, peer: Address, out: bytes, ours: bool) -> None:
        self.sock, self.peer, self.out, self.ours = sock, peer, out, ours
        self.until = clock.now() / 1e6 + VIEW_S
        self.data = bytearray()


class MemberTransport:
    """See the module. `start`, `carry`, `leave` and `close` may come from any thread."""

    def __init__(
        self,
        listen: Address,
        key: bytes,
        name: str,
        place: str,
        contacts: list[Address],
        *,
        options: Options | None = None,
        outside: Callable[[], ExternalSignals] = ExternalSignals,
        carried: Callable[[], dict[str, Any]] = dict,
        tell: Callable[[Tell], None] = lambda event: None,
        ways: Mapping[Address, Address] | None = None,
        spares: int = 0,
    ) -> None:
        """`OSError` if it can't listen. The same port takes datagrams and views. `spares`: so many ports
        above it are tried if it is taken, as by an earlier life that a new version takes over from.
        `carried`: what the others are to know of this server."""
        self._listener, self._udp = _listen(listen, spares)
        host, port = self._listener.getsockname()
        self.address: Address = (host, port)
        rng = random.Random(os.urandom(16))
        own = Claim(rng.getrandbits(63) | 1, name, place, host, port, 0, 0)
        self._member = SwimMember(own, rng, clock.now(), contacts=contacts, options=options, spares=spares)
        self._key, self._outside, self._carried, self._tell = key, outside, carried, tell
        self._carry_at = 0
        self._ways = ways or {}  # by which address an address is reached from here
        self.counts: Counter[str] = Counter()
        self._number = 0
        self._selector = selectors.DefaultSelector()
        self._views: set[_View] = set()
        self._orders: deque[Callable[[], None]] = deque()
        self._wake_in, self._wake_out = os.pipe()
        self._second = self._in_second = self._out_second = 0
        self._closed = False
        self._thread = threading.Thread(target=self._run, name="members", daemon=True)
        self.snapshot = self._look()

    def start(self) -> None:
        """Be a member from now on."""
        for sock in (self._listener, self._udp):
            sock.setblocking(False)
            self._selector.register(sock, selectors.EVENT_READ)
        self._selector.register(self._wake_in, selectors.EVENT_READ)
        self._thread.start()

    def drain(self) -> None:
        """This server is on its way out."""
        self._order(lambda: self._member.phase(Phase.DRAINING))

    def close(self, wait_s: float = 0.5) -> None:
        """Say that we leave, and end the thread."""

        def leave() -> None:
            self._do(self._member.leave(clock.now()))
            self._closed = True

        self._order(leave)
        self._thread.join(wait_s)

    def drop(self) -> None:
        """Of a channel that was never started: let go of its sockets."""
        self._listener.close()
        self._udp.close()
        os.close(self._wake_in)
        os.close(self._wake_out)

    def _order(self, do: Callable[[], None]) -> None:
        self._orders.append(do)
        with contextlib.suppress(OSError):
            os.write(self._wake_out, b".")

    # --- the thread

    def _run(self) -> None:
        while not self._closed:
            try:
                self._turn_once()
            except Exception as error:  # the others would take this server for dead
                self.counts["errors"] += 1
                self._tell(Tell("member.error", {"what": f"{type(error).__name__} {error}"}))
                threading.Event().wait(AFTER_ERROR_S)
        for view in list(self._views):
            self._drop(view)
        for sock in (self._listener, self._udp):
            sock.close()

    def _turn_once(self) -> None:
        wait_s = max(0, self._member.next_at() - clock.now()) / 1e6
        if self._views:
            wait_s = min(wait_s, 0.1)
        for key, _ in self._selector.select(wait_s):
            self._ready(key)
        while self._orders:
            self._orders.popleft()()
        now = clock.now()
        if now >= self._member.next_at():
            self._member.external_signals = self._outside()
            if now >= self._carry_at:
                self._carry_at = now + CARRY_US
                self._member.carry(self._carried())
            self._do(self._member.tick(now))
        for view in [view for view in self._views if view.until < now / 1e6]:
            self._drop(view, "slow view")
        if now > self._look_at:
            self.snapshot = self._look()

    def _ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._udp:
            self._read_datagrams()
        elif key.fileobj is self._listener:
            self._accept()
        elif key.fileobj == self._wake_in:
            os.read(self._wake_in, 4_096)
        elif isinstance(key.data, _View):
            try:
                self._move(key.data)
            except OSError:
                self._drop(key.data, "broken view")

    def _turn(self) -> None:
        """Bounds count anew with each second."""
        second = clock.now() // 1_000_000
        if second != self._second:
            self._second, self._in_second, self._out_second = second, 0, 0

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action.to, action.message)
            elif isinstance(action, Exchange):
                self._connect(action.to)
            else:
                self._tell(action)

    def _sealed(self, message: Message) -> bytes:
        self._number += 1
        return seal(self._key, self._member.own.life, self._number, message)

    # --- datagrams

    def _send(self, to: Address, message: Message) -> None:
        data = self._sealed(message)
        self._turn()
        self._out_second += len(data)
        if self._out_second > MOST_OUT_BYTES or len(data) > MOST_BYTES:
            self.counts["not sent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent bytes"] += len(data)
        with contextlib.suppress(OSError):  # a full buffer, or no way there: as if it were lost
            self._udp.sendto(data, self._ways.get(to, to))

    def _read_datagrams(self) -> None:
        for _ in range(READ_AT_ONCE):
            try:
                data, source = self._udp.recvfrom(MOST_BYTES + 1)
            except OSError:  # none left, or the word of an earlier one that nobody took
                return
            self._turn()
            self._in_second += 1
            if self._in_second > MOST_IN:
                self.counts["flooded"] += 1
                continue
            self._take(data, source, MOST_BYTES)

    def _take(self, data: bytes, source: Address, most: int) -> Message | None:
        try:
            life, number, message = unseal(self._key, data, most)
        except EnvelopeError as error:
            self.counts[str(error)] += 1
            return None
        self.counts["taken"] += 1
        self._do(self._member.handle(clock.now(), life, number, source, message))
        return message

    # --- whole views

    def _framed(self, answer: bool) -> bytes:
        sealed = [self._sealed(view) for view in self._member.whole(answer)]
        return b"".join(_LENGTH.pack(len(data)) + data for data in sealed)

    def _connect(self, to: Address) -> None:
        if len(self._views) >= MOST_VIEWS:
            return
        sock = socket.socket()
        sock.setblocking(False)
        try:
            sock.connect(self._ways.get(to, to))
        except BlockingIOError:
            pass
        except OSError:
            self.counts["no way"] += 1
            return sock.close()
        self._enter(_View(sock, to, self._framed(True), True), selectors.EVENT_WRITE)

    def _accept(self) -> None:
        try:
            sock, peer = self._listener.accept()
        except OSError:
            return
        if len(self._views) >= MOST_VIEWS:
            return sock.close()
        sock.setblocking(False)
        self._enter(_View(sock, peer, b"", False), selectors.EVENT_READ)

    def _enter(self, view: _View, events: int) -> None:
        self._views.add(view)
        self._selector.register(view.sock, events, view)

    def _drop(self, view: _View, why: str = "") -> None:
        if view in self._views:
            self._views.discard(view)
            self._selector.unregister(view.sock)
            view.sock.close()
            if why:
                self.counts[why] += 1

    def _move(self, view: _View) -> None:
        """Write what is left; then read to the end, take it, and answer if that was asked for."""
        if view.out:
            view.out = view.out[view.sock.send(view.out) :]
            if not view.out:
                view.sock.shutdown(socket.SHUT_WR)
                if not view.ours:
                    return self._drop(view)
                self._selector.modify(view.sock, selectors.EVENT_READ, view)
            return
        if data := view.sock.recv(65_536):
            view.data += data
            if len(view.data) > MAX_VIEW_BYTES:
                self._drop(view, "oversized")
            return
        answer, at = False, 0
        while at + _LENGTH.size <= len(view.data):
            (length,) = _LENGTH.unpack_from(view.data, at)
            at += _LENGTH.size + length
            message = self._take(bytes(view.data[at - length : at]), view.peer, MAX_VIEW_BYTES)
            answer |= isinstance(message, View) and message.answer
        if view.ours or not answer:
            return self._drop(view)
        view.out = self._framed(False)
        self._selector.modify(view.sock, selectors.EVENT_WRITE, view)

    # --- what is seen

    def _look(self) -> MembershipSnapshot:
        member, now = self._member, clock.now()
        own = _seen(
            member.own, Phase(member.metadata.metadata.get("phase", 0)).name, None, member.metadata.metadata
        )
        members = tuple(
            _seen(
                life.claim,
                life.phase.name,
                (now - life.last_heard_at) // 1_000 if life.last_heard_at else None,
                life.info.metadata if life.info is not None else {},
            )
            for life in sorted(member.table.lives.values(), key=lambda one: (one.claim.name, one.claim.life))
        )
        machine = {name: getattr(member.counts, name) for name in member.counts.__slots__}
        self._look_at = now + max(LOOK_US, LOOK_LIFE_US * len(members))
        return MembershipSnapshot(
            own,
            members,
            member.assessment,
            now,
            member.health.score,
            member.ping_loss.loss_ratio,
            machine | dict(self.counts),
        )


STATUSES = ("alive", "suspect", "failed", "left")


def _seen(claim: Claim, phase: str, heard_ms: int | None, told: dict[str, Any]) -> MemberView:
    return MemberView(
        claim.name,
        f"{claim.life:016x}",
        claim.place,
        f"{claim.host}:{claim.port}",
        STATUSES[claim.status],
        phase.lower(),
        claim.incarnation,
        heard_ms,
        dict(told),
    )


def described(snapshot: MembershipSnapshot) -> dict[str, Any]:
    """For the door and the command line."""

    def plain(seen: MemberView) -> dict[str, Any]:
        return {name: getattr(seen, name) for name in MemberView.__slots__}

    sight = snapshot.assessment
    return {
        "own": plain(snapshot.own),
        "members": [plain(seen) for seen in snapshot.members],
        "sight": {
            "verdict": sight.verdict.value,
            "confidence": round(sight.confidence, 2),
            "epoch": sight.epoch,
            "least": sight.min_members,
            "most": sight.max_members,
            "age_ms": (clock.now() - snapshot.taken_at) // 1_000,
        },
        "doubt": snapshot.health_score,
        "loss": round(snapshot.ping_loss, 3),
        "counts": snapshot.counts,
    }
