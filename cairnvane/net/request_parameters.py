"""Decodes the FastCGI parameters of a request into exchange objects, and encodes responses.

Numbers are parsed strictly: Python's `int` and `float` accept more than the protocol allows (`1_0`, `nan`,
digits of other scripts, blanks), and no balancer sends such values.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from urllib.parse import parse_qs

from .. import clock
from ..exchange import HealthCheck, Request, Response, ResponseStatus
from .errors import ProtocolError

SERVICE_PATH = "/svc/"
HEALTH_PATH = "/status/live"
PARAMETER_NAMES = frozenset(
    {
        "CONTENT_LENGTH",
        "HTTP_REQ_FROM",
        "HTTP_REQ_ID",
        "HTTP_REQ_KB",
        "HTTP_REQ_RANK",
        "HTTP_REQ_TIME",
        "HTTP_REQ_TOKEN",
        "QUERY_STRING",
        "REQUEST_METHOD",
        "SCRIPT_NAME",
    }
)
# Limits of the protocol for request parameters.
MAX_MEMORY_KB = 2_000.0
MAX_CLIENT_NUMBER = 1e9
# Timestamps come from this machine's own clock, so one that is further in the future than this is invalid.
MAX_CLOCK_SKEW_US = 2_000_000

# Invalid values are logged up to this length.
_MAX_LOGGED_CHARACTERS = 40

_REQUEST_ID = re.compile(r"[0-9a-fA-F]{16}")
_IDEMPOTENCY_KEY = re.compile(r"[0-9a-fA-F]{32}")
_INTEGER = re.compile(r"[0-9]{1,15}")
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

_STATUS_LINES = {
    ResponseStatus.SERVED: b"200 OK",
    ResponseStatus.REJECTED: b"503 Service Unavailable",
    ResponseStatus.FAILED: b"500 Failed",
}


class InvalidRequestError(ProtocolError):
    """A correctly framed request with invalid parameters."""


def _matching_text(params: dict[str, str], name: str, pattern: re.Pattern[str]) -> str:
    text = params.get(name, "")
    if not pattern.fullmatch(text):
        raise InvalidRequestError(f"{name}: malformed value {text[:_MAX_LOGGED_CHARACTERS]!r}")
    return text


def _parse_integer(params: dict[str, str], name: str) -> int:
    return int(_matching_text(params, name, _INTEGER))


def _parse_decimal(params: dict[str, str], name: str) -> float:
    return float(_matching_text(params, name, _DECIMAL))


def _require(is_in_range: bool, params: dict[str, str], name: str) -> None:
    if not is_in_range:
        raise InvalidRequestError(f"{name}: {params[name]} is out of range")


def parse_health_check(params: dict[str, str], deliver: Callable[[Response], None]) -> HealthCheck | None:
    """Decode a health check; None if the parameters are those of another request."""
    if params.get("SCRIPT_NAME") != HEALTH_PATH:
        return None
    query = parse_qs(params.get("QUERY_STRING", ""))
    return HealthCheck(deliver, "1" in query.get("real", []))


def parse_request(params: dict[str, str], body: bytes, deliver: Callable[[Response], None]) -> Request:
    """Decode a request; raises `InvalidRequestError` if a parameter is invalid."""
    class_name = _parse_class_name(params)
    _check_method_and_length(params, body)
    arrived_at, clock_skew = clock.to_monotonic(_parse_integer(params, "HTTP_REQ_TIME"))
    _require(clock_skew <= MAX_CLOCK_SKEW_US, params, "HTTP_REQ_TIME")
    client = _parse_integer(params, "HTTP_REQ_FROM")  # 0 is a valid balancer number
    _require(client <= MAX_CLIENT_NUMBER, params, "HTTP_REQ_FROM")
    memory_kb = _parse_decimal(params, "HTTP_REQ_KB")
    _require(0 < memory_kb < MAX_MEMORY_KB, params, "HTTP_REQ_KB")
    if "HTTP_REQ_RANK" in params:  # only validated; its value is not used
        _require(_parse_decimal(params, "HTTP_REQ_RANK") < 1, params, "HTTP_REQ_RANK")
    # Ids and keys are normalized to lower case: hexadecimal digits may come in either case.
    idempotency_key = None
    if "HTTP_REQ_TOKEN" in params:
        idempotency_key = _matching_text(params, "HTTP_REQ_TOKEN", _IDEMPOTENCY_KEY).lower()
    return Request(
        deliver,
        _matching_text(params, "HTTP_REQ_ID", _REQUEST_ID).lower(),
        class_name,
        body,
        arrived_at=arrived_at,
        client=client,
        memory=memory_kb,
        idempotency_key=idempotency_key,
        clock_skew=clock_skew,
    )


def _parse_class_name(params: dict[str, str]) -> str:
    path = params.get("SCRIPT_NAME", "")
    if not path.startswith(SERVICE_PATH):
        raise InvalidRequestError(f"SCRIPT_NAME: unknown path {path[:_MAX_LOGGED_CHARACTERS]!r}")
    return path[len(SERVICE_PATH) :]


def _check_method_and_length(params: dict[str, str], body: bytes) -> None:
    method = params.get("REQUEST_METHOD", "POST")
    if method != "POST":
        raise InvalidRequestError(f"REQUEST_METHOD: unsupported method {method[:_MAX_LOGGED_CHARACTERS]!r}")
    length = params.get("CONTENT_LENGTH", "")
    if length not in ("", str(len(body))):
        raise InvalidRequestError(
            f"CONTENT_LENGTH: {length[:_MAX_LOGGED_CHARACTERS]!r}, with {len(body)} bytes"
        )


def encode_response(response: Response) -> bytes:
    """Encode a response as CGI headers and body."""
    lines = [b"Status: " + _STATUS_LINES[response.status]]
    if response.load is not None:
        lines.append(b"Srv-Load: %.4f" % response.load)
    if response.status is ResponseStatus.REJECTED:
        if response.retry_after_ms > 0:
            lines.append(b"Srv-Wait-Ms: %d" % response.retry_after_ms)
        if response.no_retry:
            lines.append(b"Srv-Last: 1")
    return b"\r\n".join([*lines, b"", response.body])
