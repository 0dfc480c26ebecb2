"""A snapshot of the server's load for the metrics: its own counts, and the machine's gauges."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from ..admission.controller import Controller
from ..contract.events import TimerFired
from .executions import Executions


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The state at the controller's last timer. The field names are the keys in the metrics.

    A timer fires at least every 50 ms while requests are pending, and less often while none are.
    """

    waiting_tasks: int = 0  # of the event loop
    queued: int = 0
    running: int = 0  # on the cores
    awaiting_call: int = 0
    calling: int = 0
    idempotency_keys: int = 0
    memory_kb: float = 0.0  # reserved for requests; excludes the keys
    concurrency_limit: int = 0
    ceiling: float = 0.0  # number of runs that the cores survive, less the unaccounted runs
    call_limit: float = 0.0
    admission_probability: float = 1.0
    unaccounted_runs: float = 0.0  # on the machine according to its gauge, but in no table
    draining: bool = False
    gauges: dict[str, float | None] = field(default_factory=dict)  # None if the value did not arrive in time
    pool_link: int = 0  # number of the pool link in use; the first one is 1
    commands_repeated: int = 0  # since the process started, as are all following fields
    cancellations: dict[str, int] = field(default_factory=dict)
    ended_without_run: dict[str, int] = field(default_factory=dict)  # by reason

    def as_json(self) -> dict[str, Any]:
        """Return the snapshot as a dictionary for the JSON metrics."""
        return asdict(self)


def take_snapshot(
    controller: Controller,
    executions: Executions,
    gauges: TimerFired,
    ended_without_run: dict[str, int],
    waiting_tasks: int,
) -> LoadSnapshot:
    """Return the current state; called in the event loop's thread."""
    requests = controller.requests
    return LoadSnapshot(
        waiting_tasks=waiting_tasks,
        queued=len(controller.queue),
        running=len(controller.running),
        awaiting_call=len(requests.awaiting_call),
        calling=len(controller.calling),
        idempotency_keys=len(controller.lifecycle.keys),
        memory_kb=round(requests.memory, 1),
        concurrency_limit=controller.concurrency.limit,
        ceiling=round(controller.ceiling(), 1),
        call_limit=round(controller.dependency.limit, 2),
        admission_probability=round(controller.admission.probability, 3),
        unaccounted_runs=controller.unaccounted.runs,
        draining=controller.draining,
        gauges={
            "cpu_busy": gauges.cpu_busy,
            "runnable": gauges.runnable,
            "memory_used": gauges.memory_used,
            "connections": gauges.connections,
        },
        pool_link=executions.cancellations.link,
        commands_repeated=executions.commands_repeated,
        cancellations=executions.cancellations.counts.as_json(),
        ended_without_run=ended_without_run,
    )
