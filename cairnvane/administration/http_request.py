"""One call as it comes in: bytes to a method and a target, with no socket and no clock.

A call of the door is a line and a few headers; a body is counted and put aside. `Head` says after each piece
whether the call is whole, and raises `BadCall` at the first byte that can't be right.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_HEAD, MAX_BODY = 8_192, 65_536  # bytes; the longest call that staff's tools make has a few hundred
_REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (\S{1,2048}) HTTP/1\.[01]")
_LENGTH = re.compile(rb"[0-9]{1,10}")
_END = b"\r\n\r\n"


class BadCall(Exception):
    """What came is no HTTP/1.1 call; with the status to answer."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Call:
    """A whole call."""

    method: str
    target: str


class Head:
    """What has come of one call."""

    __slots__ = ("_call", "_data", "_left")

    def __init__(self) -> None:
        self._data = bytearray()
        self._call: Call | None = None  # the head has come; `_left` bytes of its body have not
        self._left = 0

    @property
    def begun(self) -> bool:
        """Something has come."""
        return self._call is not None or bool(self._data)

    def feed(self, data: bytes) -> Call | None:
        """The next piece; the call once it is whole, and what stands behind it is not looked at."""
        if self._call is None:
            looked = max(0, len(self._data) - len(_END) + 1)  # a caller may drip: no byte is searched twice
            self._data += data
            end = self._data.find(_END, looked)
            if end < 0:
                if len(self._data) > MAX_HEAD:
                    raise BadCall(431, "the head is too long")
                return None
            self._call, length = _parse(bytes(self._data[:end]))
            self._left = length - (len(self._data) - end - len(_END))
            self._data.clear()
        else:
            self._left -= len(data)
        return self._call if self._left <= 0 else None


def _parse(head: bytes) -> tuple[Call, int]:
    """The call of this head, and the length of its body."""
    first, *lines = head.split(b"\r\n")
    if (found := _REQUEST_LINE.fullmatch(first)) is None:
        raise BadCall(400, "no request line")
    length = 0
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon:
            raise BadCall(400, "a header line without a colon")
        name, value = name.strip().lower(), value.strip()
        if name == b"transfer-encoding":
            raise BadCall(400, "a transfer encoding, which the door does not speak")
        if name == b"content-length":
            if _LENGTH.fullmatch(value) is None or int(value) > MAX_BODY:
                raise BadCall(400, "a content length that can't be")
            length = int(value)
    return Call(found[1].decode(), found[2].decode("latin-1")), length
