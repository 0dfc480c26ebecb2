"""The main function of the server process: from the configuration to the exit status."""

from __future__ import annotations

import gc
import logging
import os
import threading
from enum import IntEnum
from pathlib import Path

from .. import config, logging_setup
from ..idempotency.store import StepObserver
from ..log_events import LISTENING
from . import composition
from .reload import Reloader
from .shutdown_plan import plan_shutdown
from .signals import RELOAD_SIGNAL, SHUTDOWN_SIGNALS, block_signals, wait_for_shutdown

__all__ = ["SHUTDOWN_SIGNALS", "RELOAD_SIGNAL", "main"]

logger = logging.getLogger(__name__)

DEFAULT_TEMPORARY_FOLDER = "/tmp"


class ExitStatus(IntEnum):
    """Exit status of the process."""

    OK = 0
    FAILED = 1  # an error while serving
    MISCONFIGURED = 2  # it never started serving


class StartupError(Exception):
    """The server can't start; the message is logged as one line for the operators."""


def _build(configuration: config.Config, step_observer: StepObserver | None) -> composition.Server:
    """Build the server that the configuration and the operator's file describe."""
    operator_path = os.environ.get(config.OPERATOR_VARIABLE, "")
    temporary_folder = Path(os.environ.get("TMPDIR") or DEFAULT_TEMPORARY_FOLDER)
    try:
        options = composition.load_operator_options(configuration, operator_path)
        shared_state = composition.open_shared_state(configuration, options, temporary_folder, step_observer)
    except ImportError as error:
        raise StartupError(
            f"the operator's file {operator_path} needs a library that is not installed: {error}; "
            f"pip install '.[operator]'"
        ) from None
    try:
        return composition.build(configuration, options, shared_state)
    except OSError as error:
        raise StartupError(f"listen: {error}") from None


def _serve(configuration: config.Config, server: composition.Server) -> ExitStatus:
    """Start the server, and shut it down when a shutdown signal arrives."""
    gc.freeze()  # objects loaded so far are permanent, so full collections need not traverse them
    server.lifecycle.start()
    reloader = Reloader(configuration, server.event_loop, server.pool, server.registry)
    wait_for_shutdown(lambda: reloader.reload(os.environ))
    if server.event_loop_thread.has_failed.is_set():
        server.event_loop_thread.stop()
        return ExitStatus.FAILED
    handover = server.incarnations is not None and server.incarnations.has_successor()
    # A reload changes `stop_ms` at once, but not the settings, by which the requests are answered.
    shutdown = plan_shutdown(reloader.current.stop_ms, configuration.settings, handover)
    server.lifecycle.begin_shutdown(shutdown)
    if shutdown.handover:
        logger.info("shutdown: a later process can serve at this address; this one hands over")
    threading.Event().wait(shutdown.grace_s)
    server.lifecycle.stop(shutdown)
    return ExitStatus.OK


def main(step_observer: StepObserver | None = None) -> int:
    """Serve until a shutdown signal arrives; returns the exit status.

    `step_observer` is called with the name of each step of the durable store; crash tests use it.
    """
    logging_setup.use_plain_lines()
    logging_setup.use_level("info")
    block_signals()  # before anything slow, since an unblocked reload signal would end the process
    try:
        configuration = config.load(os.environ)
        server = _build(configuration, step_observer)
    except (config.ConfigurationError, StartupError) as error:
        logger.error("%s", error)
        return ExitStatus.MISCONFIGURED
    logger.info(LISTENING, configuration.name, *server.address)
    return _serve(configuration, server)
