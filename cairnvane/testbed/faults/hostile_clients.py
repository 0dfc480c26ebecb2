"""Callers of the operators' door that say nothing, drip, or never read their answer, and are back as soon as
they are closed; and staff, who call beside them."""

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

# A call of staff is due by then.
DUE_S = 1.0
# One that drips says a byte this often.
DRIP_S = 1.0
_CALL = b"GET /-/metrics HTTP/1.1\r\nHost: door\r\nX-Padding: " + b"x" * 400 + b"\r\n\r\n"


class Habit(Enum):
    """What a hostile caller does."""

    SILENT = "silent"
    DRIPS = "drips"
    DEAF = "deaf"  # calls, and never reads


# Of any nine hostile callers; the rest never read.
_HABITS = (Habit.SILENT,) * 4 + (Habit.DRIPS,) * 4 + (Habit.DEAF,)


@dataclass(slots=True, eq=False)
class _Caller:
    habit: Habit
    sock: socket.socket | None = None
    said: int = 0
    next_at: float = 0.0


class Hostiles:
    """So many of them at one door, in one thread, until closed."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self._address = address
        self._callers = [_Caller(_HABITS[number % len(_HABITS)]) for number in range(count)]
        self._selector = selectors.DefaultSelector()
        self._stop = threading.Event()
        self.connects = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stop.is_set():
            now = time.monotonic()
            for caller in self._callers:
                if now >= caller.next_at:
                    self._act(caller, now)
            for key, _ in self._selector.select(0.005):
                caller = key.data
                with contextlib.suppress(OSError):
                    if key.fileobj.recv(64):  # type: ignore[union-attr]  # told off: it waits to be closed
                        continue
                self._leave(caller)
        for caller in self._callers:
            self._leave(caller)

    def _act(self, caller: _Caller, now: float) -> None:
        caller.next_at = now + DRIP_S
        try:
            if caller.sock is None:
                caller.sock, caller.said = socket.create_connection(self._address, 1.0), 0
                caller.sock.setblocking(False)
                self.connects += 1
                if caller.habit is not Habit.DEAF:
                    self._selector.register(caller.sock, selectors.EVENT_READ, caller)
            if caller.habit is Habit.DRIPS:
                caller.sock.send(_CALL[caller.said : caller.said + 1])
                caller.said += 1
            elif caller.habit is Habit.DEAF:
                caller.sock.send(_CALL)
        except OSError:
            self._leave(caller)

    def _leave(self, caller: _Caller) -> None:
        if caller.sock is not None:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(caller.sock)
            caller.sock.close()
            caller.sock = None
            caller.next_at = 0.0  # back at once

    def close(self) -> None:
        """They go."""
        self._stop.set()
        self._thread.join()


@dataclass
class Calls:
    """What staff saw of doors."""

    took_ms: list[float] = field(default_factory=list)
    late: int = 0
    wrong: list[str] = field(default_factory=list)

    @property
    def count(self) -> int:
        """All calls."""
        return len(self.took_ms)


def call(address: tuple[str, int], verb: str, path: str, wanted: int, calls: Calls) -> bytes:
    """One call of staff; what came is held against what was wanted."""
    start = time.monotonic()
    try:
        with socket.create_connection(address, 5 * DUE_S) as sock:
            sock.sendall(http.request(verb, path, address, {}, b""))
            reply = http.read_reply(sock, time.monotonic() + 5 * DUE_S)
    except (OSError, http.InvalidReplyError) as error:
        calls.wrong.append(f"{verb} {path}: {type(error).__name__} {error}")
        calls.took_ms.append((time.monotonic() - start) * 1e3)
        return b""
    took = time.monotonic() - start
    calls.took_ms.append(took * 1e3)
    calls.late += took > DUE_S
    if reply.status != wanted:
        calls.wrong.append(f"{verb} {path}: {reply.status}, not {wanted}")
    elif path == "/-/metrics":
        try:
            json.loads(reply.body)
        except ValueError:
            calls.wrong.append(f"{path}: no JSON")
    return reply.body
