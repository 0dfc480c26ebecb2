"""What the server does with the shared claims: between the front and the host, and beside the pool's link.

A keyed try whose token another process has claimed never reaches the host: it is answered from that
process's end, served with its result or failed, or failed when it is nearly due. Nothing is decided here
that the module decides; this only keeps a run from being made twice by two processes that can't know each
other otherwise.
"""

from __future__ import annotations

import threading
from collections.abc import Sequence
from dataclasses import dataclass

from .. import clock, log
from ..digest import digest
from ..exchange import Answer, Check, Intake, Request, Verdict
from ..interface import RequestClass
from .claims import Claims, Found, State

# A try that waits for another process's end is failed so long before it is due: its answer must arrive.
GIVE_UP_US = 250_000
# Another process's end is looked for so often while a try waits for it.
LOOK_S = 0.02
# Own claims are removed about so often once they are old.
SWEEP_S = 1.0
# A claim outlives the window and a caller's patience by so much: peers' time limits have slack.
SLACK_MS = 1_000
# The pool's end of a run that provably never began.
NEVER_BEGAN = "late"


@dataclass(slots=True)
class _Waiting:
    request: Request
    token: str
    same: bytes  # the digest of its class and body
    give_up: int  # monotonic microseconds


class Guard:
    """An `Intake` before the host's, and what the pool's link tells of keyed runs."""

    def __init__(self, host: Intake, claims: Claims, classes: Sequence[RequestClass]) -> None:
        self._host, self._claims = host, claims
        self._classes = {cls.name: cls for cls in classes}
        self._lock = threading.Condition()
        # By uid: the keyed try, its token and digest, until it ran.
        self._runs: dict[str, tuple[Request, str, bytes]] = {}
        self._lost: dict[str, int] = {}  # uid of a run that another process claimed first, and when it came
        self._waiting: list[_Waiting] = []

    def start(self) -> None:
        """Look after waiting tries and old claims from now on."""
        threading.Thread(target=self._watch, name="claims", daemon=True).start()

    # --- the intake

    def arrived(self, request: Request) -> None:
        """A whole request was read: another process's, or the host's."""
        token = request.token
        if token is None or (cls := self._classes.get(request.lane)) is None:
            return self._host.arrived(request)
        same = digest(request.lane, request.body)
        found = self._claims.look(token, same)
        if found.state not in (State.NONE, State.MINE):
            return self._wait(request, token, same, found)
        with self._lock:
            self._prune(request.arrived - 2 * cls.patience)
            self._runs[request.uid] = request, token, same
        self._host.arrived(request)

    def gone(self, request: Request) -> None:
        """Its caller has left."""
        self._host.gone(request)

    def checked(self, check: Check) -> None:
        """A health check was read."""
        self._host.checked(check)

    # --- the pool's link

    def may_spawn(self, uid: str, lane: str) -> bool:
        """Claim a keyed run before it is handed over; False: another process has, and it is not run."""
        with self._lock:
            entry = self._runs.get(uid)
            if uid in self._lost:
                return False  # the host says it again on each new link, since it never went out
        if entry is None:
            return True
        request, token, same = entry
        cls = self._classes[lane]
        if self._claims.claim(token, same, (cls.window + cls.patience) // 1_000 + SLACK_MS):
            return True
        with self._lock:
            self._runs.pop(uid, None)
            self._lost[uid] = request.arrived
        self._wait(request, token, same, self._claims.look(token, same))
        return False

    def ended(self, uid: str, code: str, result: bytes) -> None:
        """The pool told the end of a run."""
        with self._lock:
            entry = self._runs.pop(uid, None)
        if entry is None:
            return
        if code == NEVER_BEGAN:
            self._claims.release(entry[1])
        else:
            self._claims.end(entry[1], result if code == "fine" else None)

    # --- tries that wait for another process's end

    def _prune(self, before: int) -> None:
        """Forget tries that were never run and are long over; the oldest come first."""
        while self._lost and self._lost[uid := next(iter(self._lost))] < before:
            del self._lost[uid]
        while self._runs:
            uid = next(iter(self._runs))
            if self._runs[uid][0].arrived >= before:
                return
            del self._runs[uid]

    def _wait(self, request: Request, token: str, same: bytes, found: Found) -> None:
        cls = self._classes[request.lane]
        waiting = _Waiting(request, token, same, request.arrived + cls.patience - GIVE_UP_US)
        if not self._settle(waiting, found):
            with self._lock:
                self._waiting.append(waiting)
                self._lock.notify()

    def _settle(self, waiting: _Waiting, found: Found) -> bool:
        """Answer it if its time has come; True if it needs no more looks."""
        request = waiting.request
        if not request.open:
            return True
        if found.state is State.FORGED:
            # All tries of a request are alike. Whoever brings another under its token is not its caller.
            log.say("overlap", f"{request.uid}: its token is another's")
            request.finish(Answer(Verdict.FAILED, suspect=True))
            return True
        if found.state is State.ENDED:
            verdict = Verdict.SERVED if found.served else Verdict.FAILED
            request.finish(Answer(verdict, found.result if found.served else b""))
            return True
        if found.state is State.NONE:  # the claim was let go, or has aged: the host may run it
            self.arrived(request)
            return True
        if clock.now() >= waiting.give_up:
            request.finish(Answer(Verdict.FAILED))
            return True
        return False

    def _watch(self) -> None:
        while True:
            with self._lock:
                self._lock.wait(LOOK_S if self._waiting else SWEEP_S)
                waiting, self._waiting = self._waiting, []
            left = [one for one in waiting if not self._settle(one, self._claims.look(one.token, one.same))]
            with self._lock:
                self._waiting.extend(left)
            self._claims.sweep()
