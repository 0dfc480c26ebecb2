"""An incremental parser of one HTTP/1.1 request, with no socket and no clock.

It extracts the method and the target; the body is counted and discarded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

# The longest request of the operators' tools has a few hundred bytes.
MAX_HEAD_BYTES = 8_192
MAX_BODY_BYTES = 65_536

BAD_REQUEST = 400
HEADER_FIELDS_TOO_LARGE = 431

_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (\S{1,2048}) HTTP/1\.[01]")
_LENGTH = re.compile(rb"[0-9]{1,10}")
_HEAD_END = b"\r\n\r\n"


class InvalidHttpRequestError(Exception):
    """The data is not a valid HTTP/1.1 request; `status` is the status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: str
    target: str


class RequestParser:
    """Parses one request from the chunks in which it is received."""

    __slots__ = ("_body_remaining", "_head", "_request")

    def __init__(self) -> None:
        self._head = bytearray()
        self._request: HttpRequest | None = None  # set once the head is complete
        self._body_remaining = 0  # bytes

    @property
    def has_received_data(self) -> bool:
        """Whether any data was received."""
        return self._request is not None or bool(self._head)

    def feed(self, data: bytes) -> HttpRequest | None:
        """Add a chunk of data; returns the request once it is complete, and ignores any data after it.

        Raises `InvalidHttpRequestError` if the complete head is invalid, or the head is too long.
        """
        if self._request is None:
            self._feed_head(data)
        else:
            self._body_remaining -= len(data)
        return self._request if self._body_remaining <= 0 else None

    def _feed_head(self, data: bytes) -> None:
        # A client may send single bytes: start where the last search ended, so that the cost stays linear.
        search_from = max(0, len(self._head) - len(_HEAD_END) + 1)
        self._head += data
        head_end = self._head.find(_HEAD_END, search_from)
        if head_end < 0:
            if len(self._head) > MAX_HEAD_BYTES:
                raise InvalidHttpRequestError(HEADER_FIELDS_TOO_LARGE, "the head is too long")
            return
        self._request, body_length = _parse_head(bytes(self._head[:head_end]))
        self._body_remaining = body_length - (len(self._head) - head_end - len(_HEAD_END))
        self._head.clear()


def _parse_head(head: bytes) -> tuple[HttpRequest, int]:
    """Parse the head; returns the request and the length of its body in bytes."""
    request_line, *lines = head.split(b"\r\n")
    match = _REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise InvalidHttpRequestError(BAD_REQUEST, "no request line")
    body_length = 0
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise InvalidHttpRequestError(BAD_REQUEST, "a header line without a colon")
        name = name.strip().lower()
        value = value.strip()
        if name == b"transfer-encoding":
            raise InvalidHttpRequestError(BAD_REQUEST, "a transfer encoding, which the door does not speak")
        if name == b"content-length":
            if _LENGTH.fullmatch(value) is None or int(value) > MAX_BODY_BYTES:
                raise InvalidHttpRequestError(BAD_REQUEST, "a content length that can't be")
            body_length = int(value)
    return HttpRequest(match[1].decode(), match[2].decode("latin-1")), body_length
