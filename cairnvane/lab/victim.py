"""`python -m cairnvane.lab.victim`: the real program, killed at a named point of the keeper's work.

CAIRNVANE_LAB_KILL names the point and how often it is passed before, as in `written intent:3`. SIGKILL is
what ends it, from within: nothing is flushed and no one is told. CAIRNVANE_LAB_MUTANT takes a part of the
keeper out, to show that the judge sees what comes of it.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable

from .. import lasting
from ..__main__ import main
from ..digest import DIGEST_BYTES
from ..exchange import Request
from ..keyed import Beside, plan
from ..keys import Begun
from ..lasting import Lasting
from ..ledger import Ledger

KILL, MUTANT = "CAIRNVANE_LAB_KILL", "CAIRNVANE_LAB_MUTANT"
MUTANTS = ("no-intents", "no-results")


def killer(text: str) -> Callable[[str], None]:
    """Ends the process when a point has been passed often enough."""
    point, _, count = text.rpartition(":")
    left = int(count)

    def passed(name: str) -> None:
        nonlocal left
        if name == point:
            left -= 1
            if left < 0:
                os.kill(os.getpid(), signal.SIGKILL)

    return passed


def _no_intents(
    self: Beside, begun: Begun, then: Callable[[], None], other: Callable[[bool], None],
) -> None:
    then()


def _no_results(
    self: Beside, token: bytes, until: int, same: bytes, result: bytes | None, settles: tuple[int, ...],
    then: Callable[[], None],
) -> None:
    self._ledger.never(token, until, settles)  # and the log hears of no end
    then()


def _no_digests(self: Lasting, request: Request) -> bytes:
    return bytes(DIGEST_BYTES)


def _no_claims(
    self: Ledger, begun: Begun, then: Callable[[], None], other: Callable[[bool], None],
) -> None:
    then()


if __name__ == "__main__":
    mutant = os.environ.get(MUTANT, "")
    if mutant == "no-intents":
        Beside.intend = _no_intents  # type: ignore[method-assign]
    elif mutant == "no-results":
        Beside.ended = _no_results  # type: ignore[method-assign]
        lasting.RECENT = 0  # nor does the life itself remember them
    elif mutant == "no-claims":
        Ledger.intend = _no_claims  # type: ignore[method-assign]
    elif mutant == "no-digests":
        Lasting.digest = _no_digests  # type: ignore[method-assign]
    told = os.environ.get(KILL, "")
    if told.startswith("compact"):  # which would else wait for space to become scarce
        plan.COMPACT_ABOVE, plan.COMPACT_DEAD = 0.0, 0.05
    sys.exit(main(killer(told) if told else None))
