"""The codec of the worker pool's protocol: encodes commands as lines of JSON, and decodes lines to notices.

Only this module knows the names that are used on the wire (actions, codes, fields).
"""

from __future__ import annotations

import base64
from typing import NamedTuple

import msgspec

from .errors import ProtocolError

# A notice contains at most a 4 KiB result in base64 and a few short fields.
MAX_LINE_BYTES = 65_536
# Longer than any run; reported durations are limited to this, since extreme numbers break the arithmetic.
MAX_DURATION_MS = 1e9
# Codes for the end of a run.
RUN_SUCCEEDED, RUN_FAILED, RUN_CANCELLED, RUN_NEVER_STARTED = "fine", "fault", "broken_off", "late"

# Commands. The replies to `poll` and `verify` carry the echo of the command.
BIND, SPAWN, SUSPEND, SUPPLY = "bind", "spawn", "suspend", "supply"
POLL, VERIFY = "poll", "verify"
# Notices.
FINISHED, BLOCKED, UNKNOWN, BOUND = "finished", "blocked", "unknown", "bound"
POLLED, VERIFIED = "polled", "verified"


class WorkerPoolError(ProtocolError):
    """An error that ends the link to the worker pool, or makes it skip a line."""


class TruncatedLineError(WorkerPoolError):
    """A line without a newline at its end: the link was lost within it, or it is too long."""


class UnreadableNoticeError(WorkerPoolError):
    """A line that is not JSON, or content that is not base64: it may be a damaged notice."""


class UnsupportedNoticeError(WorkerPoolError):
    """Valid JSON of a form that this version does not support."""


class PoolReplacedError(WorkerPoolError):
    """The pool is not the one whose notices were counted: the link has to be bound again."""


class Notice(msgspec.Struct):
    """A message from the worker pool."""

    action: str
    pos: int = 0  # the notice's number; 0 for notices without one
    uid: str = ""
    code: str = ""
    wall_ms: float = 0.0
    content: str = ""  # base64
    echo: str = ""
    meters: tuple[float, ...] = ()

    @property
    def duration_us(self) -> int:
        """The reported duration in microseconds, limited to the range from 0 to `MAX_DURATION_MS`."""
        return int(min(max(0.0, self.wall_ms), MAX_DURATION_MS) * 1e3)


class ReceivedNotice(NamedTuple):
    """A notice and its decoded content."""

    notice: Notice
    content: bytes


_decoder = msgspec.json.Decoder(Notice)


def encode_command(command: dict[str, str | int]) -> bytes:
    """Encode a command as a line."""
    return msgspec.json.encode(command) + b"\n"


def bind(position: int) -> bytes:
    """Encode the command to send all notices after number `position`."""
    return encode_command({"action": BIND, "pos": position})


def spawn(uid: str, class_name: str, body: bytes) -> bytes:
    """Encode the command to run a request."""
    return encode_command({"action": SPAWN, "uid": uid, "lane": class_name, "content": _base64(body)})


def suspend(uid: str) -> bytes:
    """Encode the command to cancel a run."""
    return encode_command({"action": SUSPEND, "uid": uid})


def supply(uid: str, body: bytes) -> bytes:
    """Encode the command that passes the reply of a call to its run."""
    return encode_command({"action": SUPPLY, "uid": uid, "content": _base64(body)})


def question(action: str, echo: str) -> bytes:
    """Encode a question (`POLL` or `VERIFY`) whose reply carries `echo`."""
    return encode_command({"action": action, "echo": echo})


def decode_notice(line: bytes) -> ReceivedNotice:
    """Decode a line; raises a `WorkerPoolError` if it is invalid."""
    if not line.endswith(b"\n"):
        raise TruncatedLineError("truncated or oversized line")
    try:
        notice = _decoder.decode(line)
        content = base64.b64decode(notice.content, validate=True)
    except msgspec.ValidationError as error:
        raise UnsupportedNoticeError(str(error)) from error
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableNoticeError(str(error)) from error
    return ReceivedNotice(notice, content)


def _base64(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")
