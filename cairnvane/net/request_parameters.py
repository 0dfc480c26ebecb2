"""The parameters of a request and the headers of an answer: FastCGI's words to exchange objects and back.

Figures are read strictly. Python's own `int` and `float` take more than the protocol does (`1_0`, `nan`,
other scripts' digits, blanks), and whoever sends such a thing is no balancer.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from urllib.parse import parse_qs

from .. import clock
from ..exchange import HealthCheck, Request, Response, ResponseStatus

SERVICE_PATH, HEALTH_PATH = "/svc/", "/status/live"
# What the field names of the protocol allow.
MAX_MEMORY_KB = 2_000.0
MAX_CALLER = 1e9
# Stamps come from this machine's own clock; one from later than this is made up.
MOST_AHEAD_US = 2_000_000

_ID, _TOKEN = re.compile(r"[0-9a-fA-F]{16}"), re.compile(r"[0-9a-fA-F]{32}")
_WHOLE, _DECIMAL = re.compile(r"[0-9]{1,15}"), re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

_STATUS = {
    ResponseStatus.SERVED: b"200 OK",
    ResponseStatus.REJECTED: b"503 Service Unavailable",
    ResponseStatus.FAILED: b"500 Failed",
}


class InvalidRequestError(Exception):
    """A well-framed request whose fields can't be right."""


def _text(params: dict[str, str], name: str, form: re.Pattern[str]) -> str:
    if not form.fullmatch(text := params.get(name, "")):
        raise InvalidRequestError(f"{name}: {text[:40]!r} can't be right")
    return text


def _decimal(params: dict[str, str], name: str) -> float:
    return float(_text(params, name, _DECIMAL))


def _within(ok: bool, params: dict[str, str], name: str) -> None:
    if not ok:
        raise InvalidRequestError(f"{name}: {params[name]} is out of range")


def health_check(params: dict[str, str], deliver: Callable[[Response], None]) -> HealthCheck | None:
    """The health check that these parameters ask for; None if they ask for something else."""
    if params.get("SCRIPT_NAME") != HEALTH_PATH:
        return None
    return HealthCheck(deliver, "1" in parse_qs(params.get("QUERY_STRING", "")).get("real", []))


def service_request(params: dict[str, str], body: bytes, deliver: Callable[[Response], None]) -> Request:
    """The request that these parameters and this body make; `BadRequest` if they can't."""
    path = params.get("SCRIPT_NAME", "")
    if not path.startswith(SERVICE_PATH):
        raise InvalidRequestError(f"SCRIPT_NAME: {path[:40]!r}")
    if params.get("REQUEST_METHOD", "POST") != "POST":
        raise InvalidRequestError(f"REQUEST_METHOD: {params['REQUEST_METHOD'][:40]!r}")
    if params.get("CONTENT_LENGTH", "") not in ("", str(len(body))):
        raise InvalidRequestError(
            f"CONTENT_LENGTH: {params['CONTENT_LENGTH'][:40]!r}, with {len(body)} bytes"
        )
    stamp = int(_text(params, "HTTP_REQ_TIME", _WHOLE))
    arrived, ahead = clock.place(stamp)
    _within(ahead <= MOST_AHEAD_US, params, "HTTP_REQ_TIME")
    caller = int(_text(params, "HTTP_REQ_FROM", _WHOLE))  # there is a balancer number 0
    _within(caller <= MAX_CALLER, params, "HTTP_REQ_FROM")
    memory = _decimal(params, "HTTP_REQ_KB")
    _within(0 < memory < MAX_MEMORY_KB, params, "HTTP_REQ_KB")
    if "HTTP_REQ_RANK" in params:  # nothing here goes by it
        _within(_decimal(params, "HTTP_REQ_RANK") < 1, params, "HTTP_REQ_RANK")
    token = _text(params, "HTTP_REQ_TOKEN", _TOKEN).lower() if "HTTP_REQ_TOKEN" in params else None
    # Ids and tokens in one case: written in the other, they would be two.
    return Request(
        deliver,
        _text(params, "HTTP_REQ_ID", _ID).lower(),
        path[len(SERVICE_PATH) :],
        body,
        arrived_at=arrived,
        client=caller,
        memory=memory,
        idempotency_key=token,
        clock_skew=ahead,
    )


def content(answer: Response) -> bytes:
    """An answer as a CGI response."""
    lines = [b"Status: " + _STATUS[answer.status]]
    if answer.load is not None:
        lines.append(b"Srv-Load: %.4f" % answer.load)
    if answer.status is ResponseStatus.REJECTED:
        if answer.retry_after_ms > 0:
            lines.append(b"Srv-Wait-Ms: %d" % answer.retry_after_ms)
        if answer.no_retry:
            lines.append(b"Srv-Last: 1")
    return b"\r\n".join([*lines, b"", answer.body])
