"""The endpoints of the administration server and their responses, without sockets.

A drain or a resume that changes nothing succeeds with 200, since the requested state holds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from .http_request import BAD_REQUEST, HEADER_FIELDS_TOO_LARGE
from .readiness import Readiness
from .request_counters import RequestCounters

OK = 200
NOT_FOUND = 404
NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
UNAVAILABLE = 503

REASONS = {
    OK: "OK",
    BAD_REQUEST: "Bad Request",
    NOT_FOUND: "Not Found",
    NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    HEADER_FIELDS_TOO_LARGE: "Request Header Fields Too Large",
    UNAVAILABLE: "Service Unavailable",
}

# The number of characters of a path or method that an error repeats.
_SHOWN_PATH_CHARACTERS = 80
_SHOWN_METHOD_CHARACTERS = 16

_encode_json = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request."""

    status: int
    body: bytes
    allow: str = ""  # for 405: the allowed method
    kind: str = "application/json"  # the content type


class _Route(NamedTuple):
    method: str
    handler: Callable[[], Reply]


def _json(status: int, value: object) -> Reply:
    return Reply(status, _encode_json(value))


def _rendered(view: object) -> Reply:
    """The response of a view: bytes are sent as text, other values as JSON."""
    if isinstance(view, bytes):
        return Reply(OK, view, kind="text/plain")
    return _json(OK, view)


class Endpoints:
    """The four built-in endpoints, and the views of other components."""

    def __init__(
        self,
        readiness: Readiness,
        counters: RequestCounters,
        views: Mapping[str, Callable[[], object]] | None = None,
        load: Callable[[], object] | None = None,
    ) -> None:
        """`views` maps paths to functions that answer GET; `load` supplies the `load` key of the metrics."""
        self._load = load
        self._readiness = readiness
        self._counters = counters
        self._routes = {
            "/-/ready": _Route("GET", self._ready),
            "/-/metrics": _Route("GET", self._metrics),
            "/-/drain": _Route("POST", self._drain),
            "/-/resume": _Route("POST", self._resume),
        }
        for path, view in (views or {}).items():
            self._routes[path] = _view_route(view)

    def answer(self, method: str, target: str) -> Reply:
        """The response to one request; the query string is ignored."""
        path = target.partition("?")[0]
        route = self._routes.get(path)
        if route is None:
            return _json(NOT_FOUND, {"error": f"no such path: {path[:_SHOWN_PATH_CHARACTERS]}"})
        if method != route.method:
            error = f"{path} takes {route.method}, not {method[:_SHOWN_METHOD_CHARACTERS]}"
            return Reply(NOT_ALLOWED, _encode_json({"error": error}), allow=route.method)
        return route.handler()

    def _ready(self) -> Reply:
        is_ready = self._readiness.ready
        status = OK if is_ready else UNAVAILABLE
        return _json(status, {"ready": is_ready, "drained": self._readiness.drained})

    def _metrics(self) -> Reply:
        snapshot = self._counters.snapshot()
        return _json(
            OK,
            {
                "requests": snapshot.requests,
                "in_flight": snapshot.in_flight,
                "attempts": snapshot.attempts,
                "ready": self._readiness.ready,
                "drained": self._readiness.drained,
                "drains": self._readiness.drains,
                **({"load": self._load()} if self._load is not None else {}),
            },
        )

    def _drain(self) -> Reply:
        has_started = self._readiness.drain()
        return _json(OK, {"drained": True, "began": has_started})

    def _resume(self) -> Reply:
        has_ended = self._readiness.resume()
        if self._readiness.drained:  # a shutdown cannot be resumed
            return _json(UNAVAILABLE, {"drained": True, "error": "the process is leaving"})
        return _json(OK, {"drained": False, "ended": has_ended})


def _view_route(view: Callable[[], object]) -> _Route:
    return _Route("GET", lambda: _rendered(view()))
