"""What each call to the door means, and its answer: no sockets here.

2xx means yes, 4xx or 5xx means no. A drain or a resume that changes nothing is still a yes: the state asked
for holds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from .readiness import Readiness
from .request_counters import RequestCounters

OK, NOT_FOUND, NOT_ALLOWED, UNAVAILABLE = 200, 404, 405, 503
REASONS = {
    OK: "OK",
    400: "Bad Request",
    NOT_FOUND: "Not Found",
    NOT_ALLOWED: "Method Not Allowed",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    UNAVAILABLE: "Service Unavailable",
}

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer in no protocol's words."""

    status: int
    body: bytes
    allow: str = ""  # for 405: the method that the path takes
    kind: str = "application/json"


def _shown(view: object) -> Reply:
    """What is text already goes out as it is; all else, as JSON."""
    return Reply(OK, view, kind="text/plain") if isinstance(view, bytes) else Reply(OK, _encode(view))


class Endpoints:
    """The door's four calls, and what further parts have to show."""

    def __init__(
        self,
        duty: Readiness,
        tally: RequestCounters,
        views: Mapping[str, Callable[[], object]] | None = None,
    ) -> None:
        self._duty, self._tally = duty, tally
        self._routes: dict[str, tuple[str, Callable[[], Reply]]] = {
            "/-/ready": ("GET", self._ready),
            "/-/metrics": ("GET", self._metrics),
            "/-/drain": ("POST", self._drain),
            "/-/resume": ("POST", self._resume),
        }
        for path, view in (views or {}).items():
            self._routes[path] = "GET", lambda view=view: _shown(view())  # type: ignore[misc]

    def answer(self, method: str, target: str) -> Reply:
        """The answer to one call; a query string is of no account."""
        path = target.partition("?")[0]
        route = self._routes.get(path)
        if route is None:
            return Reply(NOT_FOUND, _encode({"error": f"no such path: {path[:80]}"}))
        wanted, do = route
        if method != wanted:
            return Reply(NOT_ALLOWED, _encode({"error": f"{path} takes {wanted}, not {method[:16]}"}), wanted)
        return do()

    def _ready(self) -> Reply:
        ready = self._duty.ready
        return Reply(OK if ready else UNAVAILABLE, _encode({"ready": ready, "drained": self._duty.drained}))

    def _metrics(self) -> Reply:
        requests, in_flight, attempts = self._tally.figures()
        return Reply(
            OK,
            _encode(
                {
                    "requests": requests,
                    "in_flight": in_flight,
                    "attempts": attempts,
                    "ready": self._duty.ready,
                    "drained": self._duty.drained,
                    "drains": self._duty.drains,
                }
            ),
        )

    def _drain(self) -> Reply:
        began = self._duty.drain()
        return Reply(OK, _encode({"drained": True, "began": began}))

    def _resume(self) -> Reply:
        ended = self._duty.resume()
        if self._duty.drained:  # on its way out: there is no coming back from that
            return Reply(UNAVAILABLE, _encode({"drained": True, "error": "the process is leaving"}))
        return Reply(OK, _encode({"drained": False, "ended": ended}))
