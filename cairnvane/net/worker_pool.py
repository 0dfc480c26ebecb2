"""The link to the worker pool: commands out, notices in, kept open and taken up again where it broke.

The link only tells the host that it is back (`Notices.linked`); the host, which knows where each request
stands, says again what is needed.
"""

from __future__ import annotations

import base64
import logging
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from .. import clock
from .message_writer import MessageWriter

logger = logging.getLogger(__name__)

# A link that can't be had is tried again this often: well inside any aim.
RETRY_S = 0.05
CONNECT_WAIT_S = 2.0
# A notice holds at most a 4 KiB result in base64 and a few words.
MAX_LINE = 65_536
# The gauges are asked for on the same machine. Without an answer in time the tick goes on without them,
# since a late tick costs answers.
POLL_WAIT_S = 0.04
# A deep check does real work in a crowd; a pool that does not do it in so long is stuck.
VERIFY_WAIT_S = 2.0
# A replay of all 4,000 notices takes far less; a link that does not get so far is as good as lost.
SYNC_WAIT_S = 10.0
# No run lasts so long; a figure beyond any can't be reckoned with.
MAX_DURATION_MS = 1e9
# How the pool says that a run ended.
RUN_SUCCEEDED, RUN_FAILED, RUN_CANCELLED, RUN_NEVER_STARTED = "fine", "fault", "broken_off", "late"


class Notice(msgspec.Struct):
    """Any message of the worker pool."""

    action: str
    pos: int = 0
    uid: str = ""
    code: str = ""
    wall_ms: float = 0.0
    content: str = ""
    echo: str = ""
    meters: tuple[float, ...] = ()


class PoolListener(Protocol):
    """Whoever wants the pool's news, from the link's own thread."""

    def finished(self, uid: str, code: str, took_us: int, result: bytes, pos: int) -> None:
        """A run is over, says notice `pos`."""

    def blocked(self, uid: str, body: bytes, pos: int) -> None:
        """A run waits for a call, says notice `pos`."""

    def unknown(self, uid: str) -> None:
        """The pool has no such request, and runs nothing for it."""

    def linked(self, link: int) -> None:
        """Link number `link` is up, and all notices that an earlier one missed have been passed on."""

    def replaced(self) -> None:
        """Another pool has come in the place of the one that had the runs so far."""


@dataclass(slots=True)
class _Asked:
    """A question that is owed one reply, or None when its wait has run out."""

    then: Callable[[Notice | None], None]
    timer: threading.Timer


class WorkerPool:
    """The link, and the thread that reads it."""

    def __init__(self, address: tuple[str, int], notices: PoolListener) -> None:
        self._address, self._notices = address, notices
        self._moves = 0
        self._pos = 0
        self._links = 0
        self._outlet: MessageWriter | None = None
        self._newest: MessageWriter | None = None  # of the link that is read, bound or not
        self._garbled_at = -1  # after which notice a line could not be read
        self._taking = threading.Lock()  # after a move, two links may have notices for a moment
        self._asked: dict[str, _Asked] = {}
        self._echo = 0
        self._lock = threading.Lock()
        self._decoder = msgspec.json.Decoder(Notice)
        self._on = False
        self.started: int | None = None  # the pool, in microseconds of the monotonic clock
        self.bound = threading.Event()  # a link was bound once: the pool is up
        self.spawned: Callable[[str], None] | None = None  # told the class of each run handed over
        self._same: Callable[[int | None, int], bool] | None = None

    def resume(self, pos: int, started: int | None, same: Callable[[int | None, int], bool]) -> None:
        """Before `start`: take up where an earlier life left the pool that started then, if it is still
        that one (`same` tells). Without this, a pool is taken to live and end with this process."""
        self._pos, self.started, self._same = pos, started, same

    def start(self) -> None:
        """Connect, and stay connected."""
        self._on = True
        where = self._address, self._moves
        threading.Thread(target=self._run, args=where, name="pool", daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Go over to the pool's new address. The old link serves until the new one is up."""
        with self._lock:
            if address == self._address:
                return
            self._address = address
            self._moves += 1
        if self._on:
            self.start()

    # --- commands; each tells on which link it went out, 0 if on none

    def spawn(self, uid: str, lane: str, body: bytes) -> int:
        """Run a request."""
        if self.spawned is not None:
            self.spawned(lane)
        return self._say({"action": "spawn", "uid": uid, "lane": lane, "content": _text(body)})

    def suspend(self, uid: str) -> int:
        """Stop a run."""
        return self._say({"action": "suspend", "uid": uid})

    def supply(self, uid: str, body: bytes) -> int:
        """Pass on the reply to a run's call."""
        return self._say({"action": "supply", "uid": uid, "content": _text(body)})

    def poll(self, then: Callable[[tuple[float, ...]], None]) -> None:
        """Ask for the gauges; none are passed on if they don't come in time."""
        self._ask("poll", POLL_WAIT_S, lambda notice: then(notice.meters if notice else ()))

    def sync(self, then: Callable[[bool], None]) -> None:
        """Wait until all that was said before has been acted on and told of; False if that can't be known."""
        self._ask("poll", SYNC_WAIT_S, lambda notice: then(notice is not None))

    def verify(self, then: Callable[[bool], None]) -> None:
        """Ask for a deep check's work."""
        self._ask(
            "verify", VERIFY_WAIT_S, lambda notice: then(notice is not None and notice.code == RUN_SUCCEEDED)
        )

    def _ask(self, action: str, wait_s: float, then: Callable[[Notice | None], None]) -> None:
        with self._lock:
            self._echo += 1
            echo = f"{action}-{self._echo}"
            timer = threading.Timer(wait_s, self._reply, (echo, None))
            timer.daemon = True
            self._asked[echo] = _Asked(then, timer)
        timer.start()
        if not self._say({"action": action, "echo": echo}):
            self._reply(echo, None)

    def _reply(self, echo: str, notice: Notice | None) -> None:
        with self._lock:
            asked = self._asked.pop(echo, None)
        if asked is not None:
            asked.timer.cancel()
            asked.then(notice)

    def _say(self, command: dict[str, str]) -> int:
        with self._lock:
            outlet, link = self._outlet, self._links
        return link if outlet is not None and outlet.send(_line(command)) else 0

    # --- the link

    def _run(self, address: tuple[str, int], moves: int) -> None:
        """The thread of the links to one address, until the pool has moved on. The number of moves tells:
        the pool may come back to an address, and two threads would cut each other's links without end."""
        while moves == self._moves:
            try:
                with socket.create_connection(address, CONNECT_WAIT_S) as sock:
                    self._converse(sock, moves)
                logger.info("link ended")
            except Exception as error:  # whatever a line held: without this thread nothing is ever run again
                logger.warning("link lost: %s %s", type(error).__name__, error)
            time.sleep(RETRY_S)

    def _converse(self, sock: socket.socket, moves: int) -> None:
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        outlet = MessageWriter(sock)
        with self._lock:
            if moves != self._moves:
                return
            before, self._newest = self._newest, outlet
            self._outlet = None  # what is said until `bound` is said again after it
        if before is not None:
            before.cut()  # ends its thread; what that has read by now is taken, and counts
        try:
            with self._taking:
                outlet.send(_line({"action": "bind", "pos": self._pos}))
            with sock.makefile("rb") as lines:
                while line := lines.readline(MAX_LINE):
                    self._read(line, outlet)
        finally:
            with self._lock:
                if self._newest is outlet:
                    self._newest = self._outlet = None

    def _read(self, line: bytes, outlet: MessageWriter) -> None:
        if not line.endswith(b"\n"):
            raise ValueError("a line that is cut short or too long")
        try:
            notice = self._decoder.decode(line)
            content = base64.b64decode(notice.content, validate=True)
        except msgspec.ValidationError as error:  # sound JSON that this version has no use for
            logger.warning("message passed over: %s", error)
            return
        except (msgspec.DecodeError, ValueError) as error:
            # A notice may have been lost in it: a new link brings that again. If it comes no better a second
            # time, it is passed over, for the sake of all that follow.
            if self._garbled_at != self._pos:
                self._garbled_at = self._pos
                raise
            logger.warning("line passed over: %s", error)
            return
        with self._taking:
            if notice.pos:
                if notice.pos <= self._pos:
                    return  # said again after a break, and acted on before
                self._pos = notice.pos
            self._take(notice, content, outlet)

    def _take(self, notice: Notice, content: bytes, outlet: MessageWriter) -> None:
        if notice.action == "finished":
            self._notices.finished(notice.uid, notice.code, _us(notice.wall_ms), content, notice.pos)
        elif notice.action == "blocked":
            self._notices.blocked(notice.uid, content, notice.pos)
        elif notice.action in ("polled", "verified"):
            self._reply(notice.echo, notice)
        elif notice.action == "bound":
            self._meet(notice.wall_ms)
            with self._lock:
                if self._newest is not outlet:
                    return  # replaced meanwhile
                self._links += 1
                self._outlet, link = outlet, self._links
            self.bound.set()
            # The replay comes before the answer to this question, which therefore marks its end.
            self.sync(lambda there: self._notices.linked(link) if there else None)
        elif notice.action == "unknown":
            self._refused(notice)

    def _meet(self, wall_ms: float) -> None:
        """Whose link it is. A new pool counts its notices from 1, and none of them may be passed over."""
        started = clock.now() - _us(wall_ms)
        if self._same is None or self._same(self.started, started):
            if self.started is None:
                self.started = started
            return
        self.started = started
        self._notices.replaced()
        if self._pos:
            self._pos = 0
            raise ConnectionError("a new pool, to be bound from its first notice on")

    def _refused(self, notice: Notice) -> None:
        logger.warning("not carried out: %s %s", notice.code, notice.uid)
        if notice.code == "spawn":
            self._notices.unknown(notice.uid)
        elif notice.code == "verify":  # no deep checks here: the link itself is the answer
            for echo in [echo for echo in list(self._asked) if echo.startswith("verify")]:
                self._reply(echo, Notice("verified", code=RUN_SUCCEEDED))


def _line(command: dict[str, Any]) -> bytes:
    return msgspec.json.encode(command) + b"\n"


def _us(wall_ms: float) -> int:
    return int(min(max(0.0, wall_ms), MAX_DURATION_MS) * 1e3)


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")
