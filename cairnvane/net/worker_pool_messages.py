"""The codec of the worker pool's protocol: commands to lines of JSON, and lines to notices.

The words on the wire (actions, codes, field names) are known in this module alone.
"""

from __future__ import annotations

import base64
from typing import NamedTuple

import msgspec

from .errors import ProtocolError

# A notice holds at most a 4 KiB result in base64 and a few words.
MAX_LINE_BYTES = 65_536
# No run lasts so long; a figure beyond any can't be reckoned with.
MAX_DURATION_MS = 1e9
# How the pool says that a run ended.
RUN_SUCCEEDED, RUN_FAILED, RUN_CANCELLED, RUN_NEVER_STARTED = "fine", "fault", "broken_off", "late"

# Commands. `poll` and `verify` are answered with the echo that they carry.
BIND, SPAWN, SUSPEND, SUPPLY = "bind", "spawn", "suspend", "supply"
POLL, VERIFY = "poll", "verify"
# Notices.
FINISHED, BLOCKED, UNKNOWN, BOUND = "finished", "blocked", "unknown", "bound"
POLLED, VERIFIED = "polled", "verified"


class WorkerPoolError(ProtocolError):
    """The link to the worker pool can't go on as it is."""


class TruncatedLineError(WorkerPoolError):
    """A line without its end: the link was cut within it, or it is too long."""


class UnreadableNoticeError(WorkerPoolError):
    """A line that is no JSON, or content that is no base64: a notice may be lost in it."""


class UnsupportedNoticeError(WorkerPoolError):
    """Sound JSON of a form that this version has no use for."""


class PoolReplacedError(WorkerPoolError):
    """Another pool answered than the one whose notices were counted: the link has to be bound anew."""


class Notice(msgspec.Struct):
    """Any message of the worker pool."""

    action: str
    pos: int = 0  # the number of a numbered notice
    uid: str = ""
    code: str = ""
    wall_ms: float = 0.0
    content: str = ""  # base64
    echo: str = ""
    meters: tuple[float, ...] = ()

    @property
    def duration_us(self) -> int:
        """The duration that the notice names, in microseconds, within the bounds of any run."""
        return int(min(max(0.0, self.wall_ms), MAX_DURATION_MS) * 1e3)


class ReceivedNotice(NamedTuple):
    """A notice and its decoded content."""

    notice: Notice
    content: bytes


_decoder = msgspec.json.Decoder(Notice)


def encode_command(command: dict[str, str | int]) -> bytes:
    """A command as its line."""
    return msgspec.json.encode(command) + b"\n"


def bind(position: int) -> bytes:
    """Ask for all notices after this one."""
    return encode_command({"action": BIND, "pos": position})


def spawn(uid: str, class_name: str, body: bytes) -> bytes:
    """Run a request."""
    return encode_command({"action": SPAWN, "uid": uid, "lane": class_name, "content": _base64(body)})


def suspend(uid: str) -> bytes:
    """Cancel a run."""
    return encode_command({"action": SUSPEND, "uid": uid})


def supply(uid: str, body: bytes) -> bytes:
    """Pass on the reply to a run's call."""
    return encode_command({"action": SUPPLY, "uid": uid, "content": _base64(body)})


def question(action: str, echo: str) -> bytes:
    """Ask something (`POLL`, `VERIFY`) whose answer carries `echo`."""
    return encode_command({"action": action, "echo": echo})


def decode_notice(line: bytes) -> ReceivedNotice:
    """The notice of a line; a `WorkerPoolError` says what is wrong with it."""
    if not line.endswith(b"\n"):
        raise TruncatedLineError("a line that is cut short or too long")
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
