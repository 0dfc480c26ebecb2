"""Helpers for the server's tests: functions paused at a call, threads, FastCGI records and settings."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import pytest
from peers import WAIT_S, Held, World

from cairnvane.exchange import Response
from cairnvane.net import fastcgi
from cairnvane.server.event_loop import EventLoop

# The records that begin and abort request 1.
BEGIN = fastcgi.record(fastcgi.BEGIN_REQUEST, 1, b"\0\1\1\0\0\0\0\0")
ABORT = fastcgi.record(fastcgi.ABORT_REQUEST, 1, b"")


def hold(
    monkeypatch: pytest.MonkeyPatch,
    owner: Any,
    name: str,
    is_matching_call: Callable[..., bool] = lambda *_: True,
) -> Held:
    """Replace a function of `owner` by one that pauses at the first matching call."""
    held = Held(getattr(owner, name), is_matching_call)
    monkeypatch.setattr(owner, name, held)
    return held


def is_served(response: Response) -> bool:
    """Whether this is the response to a run with the result `done`."""
    return response.body == b"done"


def begin_retiring(harness: World) -> None:
    """Have connections close once they are idle, as `retire` does before it iterates over them."""
    harness.server.retiring = True


def in_thread(task: Callable[[], object]) -> threading.Thread:
    """Run a task in a new daemon thread."""
    thread = threading.Thread(target=task, daemon=True)
    thread.start()
    return thread


def wait_for_event_loop(event_loop: EventLoop) -> None:
    """Wait until the event loop has finished what it was doing and all earlier tasks."""
    reached = threading.Event()
    event_loop.post(reached.set)
    assert reached.wait(WAIT_S)


def class_settings(name: str, repeat: str = "free", **overrides: Any) -> dict[str, Any]:
    """The settings of one class, with the keys of the platform's file."""
    return {"Name": name, "OnTimeUs": 3_000_000, "GiveUpUs": 9_000_000, "Repeat": repeat, **overrides}
