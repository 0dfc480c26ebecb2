"""Executes the controller's actions, one at a time, in the event loop's thread."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import clock
from ..contract.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    ForgetKey,
    LogMessage,
    MakeCall,
    Reject,
    RememberKey,
    ReplayResult,
    ReportLoad,
    SetHealth,
    SetTimer,
    StartRun,
)
from ..exchange import ResponseStatus
from ..net.server import FastCgiServer
from .duplicates import Duplicates
from .executions import Executions
from .health_checks import HealthResponder
from .in_flight import InFlightRequest, InFlightTable
from .responder import Responder
from .timers import ControllerTimers

if TYPE_CHECKING:  # imported only if the operator enables durable keys
    from ..idempotency.durability import DurableKeys

logger = logging.getLogger(__name__)

MICROSECONDS_PER_MILLISECOND = 1_000


class ActionExecutor:
    """Dispatches each action to the part of the server that executes it, by the action's type.

    `run_never_started` is called with a request whose run was withdrawn before its `spawn` was sent to the
    pool.
    """

    def __init__(
        self,
        requests: InFlightTable,
        executions: Executions,
        duplicates: Duplicates,
        responder: Responder,
        health: HealthResponder,
        timers: ControllerTimers,
        server: FastCgiServer,
        durable_keys: DurableKeys | None,
        *,
        run_never_started: Callable[[InFlightRequest], None],
    ) -> None:
        self._requests = requests
        self._executions = executions
        self._duplicates = duplicates
        self._responder = responder
        self._server = server
        self._durable_keys = durable_keys
        self._run_never_started = run_never_started
        # Number of requests that were rejected or failed before a run of theirs ended, by reason.
        self.ended_without_run: Counter[str] = Counter()
        self._server_handlers: dict[type[Action], Callable[..., None]] = {
            SetHealth: health.set,
            ReportLoad: self._report_load,
            CloseIdleConnections: self.close_idle_connections,
            SetTimer: timers.set,
            LogMessage: self._log_message,
        }
        self._request_handlers: dict[type[Action], Callable[..., None]] = {
            StartRun: self._start_run,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: self._cancel,
            MakeCall: self._make_call,
            RememberKey: self._remember_key,
            ForgetKey: self._forget_key,
            ReplayResult: self._replay_result,
        }

    def execute(self, action: Action) -> None:
        """Execute an action. An action for a request that is no longer in flight has no effect."""
        server_handler = self._server_handlers.get(type(action))
        if server_handler is not None:
            server_handler(action)
            return
        in_flight = self._requests.find(action.request_id)  # type: ignore[union-attr]
        if in_flight is not None:
            self._request_handlers[type(action)](in_flight, action)

    # --- actions for the whole server

    def _report_load(self, action: ReportLoad) -> None:
        self._responder.reported_load = action.value

    def close_idle_connections(self, action: CloseIdleConnections) -> None:
        """Set how long a connection may be idle before it is closed."""
        self._server.idle_s = action.idle_time / clock.MICROSECONDS_PER_SECOND

    def _log_message(self, action: LogMessage) -> None:
        logger.warning("%s", action.message)

    # --- actions for one request

    def _start_run(self, in_flight: InFlightRequest, action: StartRun) -> None:
        in_flight.is_queued = False
        in_flight.is_running = True
        if self._durable_keys is not None and in_flight.is_keyed:
            self._durable_keys.request_start(in_flight)
        else:
            self._executions.start(in_flight)

    def _reject(self, in_flight: InFlightRequest, action: Reject) -> None:
        self._record_end(in_flight, action)
        retry_after_ms = -(-action.retry_after // MICROSECONDS_PER_MILLISECOND)  # rounded up
        self._responder.respond(
            in_flight.request,
            ResponseStatus.REJECTED,
            retry_after_ms=retry_after_ms,
            no_retry=action.no_retry,
        )
        self._duplicates.remove_if_complete(in_flight)

    def _record_end(self, in_flight: InFlightRequest, action: Reject | Fail) -> None:
        self.ended_without_run[action.reason.value] += 1
        logger.debug("request %s: %s, %s", in_flight.request.uid, type(action).__name__, action.reason.value)

    def _fail(self, in_flight: InFlightRequest, action: Fail) -> None:
        self._record_end(in_flight, action)
        self._responder.respond(in_flight.request, ResponseStatus.FAILED)
        self._executions.client_disconnected(in_flight)
        self._duplicates.remove_if_complete(in_flight)

    def _cancel(self, in_flight: InFlightRequest, action: Cancel) -> None:
        if self._durable_keys is not None and self._durable_keys.withdraw_start(in_flight):
            self._run_never_started(in_flight)  # no `spawn` was sent to the pool
        else:
            self._executions.cancel(in_flight)

    def _make_call(self, in_flight: InFlightRequest, action: MakeCall) -> None:
        if self._durable_keys is not None and in_flight.is_keyed:
            self._durable_keys.record_call(
                in_flight, lambda: self._executions.make_call(in_flight, action.timeout)
            )
        else:
            self._executions.make_call(in_flight, action.timeout)

    def _remember_key(self, in_flight: InFlightRequest, action: RememberKey) -> None:
        self._duplicates.remember_key(in_flight, action.lifetime)

    def _forget_key(self, in_flight: InFlightRequest, action: ForgetKey) -> None:
        self._duplicates.forget_key(in_flight)

    def _replay_result(self, in_flight: InFlightRequest, action: ReplayResult) -> None:
        self._duplicates.replay(in_flight)
