"""Between the front and the host: counts what is handed over, and answers health checks as bad while the
operators have the process drained. Only in place where the door is."""

from __future__ import annotations

from ..exchange import Answer, Check, Intake, Request, Verdict
from .duty import Duty
from .tally import Tally


class Gate:
    """An `Intake` before the host's."""

    def __init__(self, host: Intake, duty: Duty, tally: Tally) -> None:
        self._host, self._duty, self._tally = host, duty, tally

    def arrived(self, request: Request) -> None:
        """A whole request was read."""
        self._tally.taken()
        self._host.arrived(request)

    def gone(self, request: Request) -> None:
        """Its caller has left before its answer."""
        self._tally.left()
        self._host.gone(request)

    def checked(self, check: Check) -> None:
        """A health check was read: bad at once while drained, else the host's."""
        if self._duty.drained:
            check.finish(Answer(Verdict.REFUSED))
        else:
            self._host.checked(check)
