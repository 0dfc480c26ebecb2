"""`python -m cairnvane.drill`: hosts controllers for the bench, on standard input and output."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from . import wire
from .control import Controller


class Host:
    """The instances of this process. They share nothing."""

    def __init__(self) -> None:
        self._instances: dict[int, tuple[Controller, tuple[str | None, ...]]] = {}

    def answer(self, now: int, body: bytes, count: int) -> bytes:
        """The reply to one batch."""
        runs: list[tuple[int, list[Any]]] = []
        for instance, event in wire.read_batch(body, count):
            if not runs or runs[-1][0] != instance:
                runs.append((instance, []))
            runs[-1][1].append(event)
        reply = wire.Reply()
        for instance, events in runs:
            reply.by(instance)
            try:
                self._handle(instance, now, events, reply)
            except Exception as error:  # whatever it is, the bench is told and the day ends
                reply.fault(f"{type(error).__name__}: {error}")
        return reply.frame()

    def _handle(self, instance: int, now: int, events: list[Any], reply: wire.Reply) -> None:
        pending: list[Any] = []
        fresh = False
        for event in events:
            if isinstance(event, wire.Teardown):
                self._instances.pop(instance, None)
                pending, fresh = [], False
            elif isinstance(event, wire.Hello):
                self._instances[instance] = Controller(event.settings, event.seed, now), event.gauges
                pending, fresh = [], True
            elif isinstance(event, tuple):
                if instance in self._instances:
                    token, values = event
                    pending.append(wire.timer_fired(token, values, self._instances[instance][1]))
            else:
                pending.append(event)
        if instance in self._instances and (pending or fresh):
            for action in self._instances[instance][0].handle(now, pending):
                reply.add(action)


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError(f"{what}: cut short after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while first := source.read(1):
        header = first + _read(source, wire.BATCH_HEADER.size - 1, "batch header")
        now, length, count = wire.BATCH_HEADER.unpack(header)
        sink.write(host.answer(now, _read(source, length, "batch"), count))
        sink.flush()


def main() -> int:
    """Serve standard input; 1 if it breaks the protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"cairnvane.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
