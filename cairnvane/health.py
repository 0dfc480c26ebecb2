"""Answers to health checks, as the module wants them given."""

from __future__ import annotations

from collections.abc import Callable

from . import interface as i
from .exchange import Answer, Check, Verdict
from .net.pool import Pool


class Health:
    """Good until told otherwise. A deep check has the pool do its work, unless the answer is to come from
    store; `load` gives the free value that goes with it."""

    def __init__(self, pool: Pool, load: Callable[[], float | None]) -> None:
        self._pool, self._load = pool, load
        self._good, self._stored = True, False

    def set(self, action: i.SetHealth) -> None:
        """Answer so from now on."""
        self._good, self._stored = action.good, action.stored

    def check(self, check: Check) -> None:
        """Answer this one."""
        def reply(good: bool) -> None:
            check.finish(Answer(Verdict.SERVED if good else Verdict.REFUSED, load=self._load()))

        if self._good and check.deep and not self._stored:
            self._pool.verify(reply)
        else:
            reply(self._good)
