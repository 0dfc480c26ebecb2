"""`python -m cairnvane.simulator`: runs controllers for the simulator, on standard input and output."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import BinaryIO

from ..admission.controller import Controller
from ..contract.events import Event
from . import protocol
from .errors import ProtocolError
from .protocol import Hello, Record, Reply, Teardown, Wakeup
from .settings_reader import GaugeFields, timer_fired


@dataclass(frozen=True, slots=True)
class _Instance:
    controller: Controller
    gauges: GaugeFields


class SimulatorHost:
    """The service instances of this process, which share no state."""

    def __init__(self) -> None:
        self._instances: dict[int, _Instance] = {}

    def answer(self, now: int, body: bytes, count: int) -> bytes:
        """Return the reply to a batch of `count` records; raise `ProtocolError` if it is malformed."""
        groups: list[tuple[int, list[Record]]] = []
        for instance, record in protocol.read_batch(body, count):
            if not groups or groups[-1][0] != instance:
                groups.append((instance, []))
            groups[-1][1].append(record)
        reply = Reply()
        for instance, records in groups:
            reply.begin_instance(instance)
            try:
                self._handle(instance, now, records, reply)
            except Exception as error:  # any failure is reported to the simulator, which ends its run
                reply.add_fault(f"{type(error).__name__}: {error}")
        return reply.frame()

    def _handle(self, number: int, now: int, records: list[Record], reply: Reply) -> None:
        events: list[Event] = []
        is_new = False
        for record in records:
            if isinstance(record, Teardown):
                self._instances.pop(number, None)
                events = []
                is_new = False
            elif isinstance(record, Hello):
                controller = Controller(record.settings, record.seed, now)
                self._instances[number] = _Instance(controller, record.gauges)
                events = []
                is_new = True
            elif isinstance(record, Wakeup):
                if (instance := self._instances.get(number)) is not None:
                    events.append(timer_fired(record.token, record.values, instance.gauges))
            else:
                events.append(record)
        instance = self._instances.get(number)
        if instance is not None and (events or is_new):
            for action in instance.controller.handle(now, events):
                reply.add(action)


def _read_exactly(stream: BinaryIO, size: int, subject: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise ProtocolError(f"{subject}: cut short after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise `ProtocolError` if it violates the protocol."""
    host = SimulatorHost()
    while first_byte := source.read(1):
        header = first_byte + _read_exactly(source, protocol.BATCH_HEADER.size - 1, "batch header")
        now, length, count = protocol.BATCH_HEADER.unpack(header)
        sink.write(host.answer(now, _read_exactly(source, length, "batch"), count))
        sink.flush()


def main() -> int:
    """Serve standard input; return exit status 1 if it violates the protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ProtocolError as error:
        print(f"cairnvane.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
