"""Helpers of the server's tests: functions that are held at a call, threads, and parts of requests."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import pytest
from peers import Held, World

from cairnvane.exchange import Response
from cairnvane.net import fastcgi

# A record that begins request 1, and one that aborts it.
BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")
ABORT = fastcgi.record(fastcgi.ABORT_REQUEST, 1, b"")


def hold(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    meant: Callable[..., bool] = lambda *_: True,
) -> Held:
    """Replace a function of `owner` by one that waits at the first call that is `meant`."""
    held = Held(getattr(owner, name), meant)
    monkeypatch.setattr(owner, name, held)
    return held


def is_served(response: Response) -> bool:
    """Whether this is the response of a run that ended with `done`."""
    return response.body == b"done"


def begin_retiring(w: World) -> None:
    """Have connections close once they are idle, as `retire` does before it looks over them."""
    w.server.retiring = True


def in_thread(work: Callable[[], object]) -> threading.Thread:
    """Start a daemon thread."""
    thread = threading.Thread(target=work, daemon=True)
    thread.start()
    return thread


def class_settings(name: str, repeat: str = "free", **more: Any) -> dict[str, Any]:
    """The settings of one class, by the keys of the platform's file."""
    return {"Name": name, "OnTimeUs": 3_000_000, "GiveUpUs": 9_000_000, "Repeat": repeat, **more}
