"""The main function of the server: configuration, components, signals, and the end of the process."""

from __future__ import annotations

import gc
import logging
import os
import signal
import threading
from pathlib import Path

from .. import config, logging_setup
from ..claims import Incarnations
from ..idempotency.store import StepObserver
from ..log_events import LISTENING
from ..net.server import FastCgiServer
from ..net.service_registry import ServiceRegistry
from ..net.worker_pool import WorkerPool
from . import composition
from .event_loop import EventLoop
from .lifecycle import Component, Lifecycle, Shutdown

logger = logging.getLogger(__name__)

# Readers, calls and timers go a dozen plain frames deep; hundreds of them share the memory limit.
STACK_BYTES = 256 * 1024
# All is answered this long before the process is stopped, with room for a late thread and the way out.
STOP_MARGIN_MS = 300
# A balancer's next request may be on its way when a connection looks idle; the end is not rushed.
LAST_WAIT_S = 0.2
# Each is a notice to leave; the third one, to read the configuration again.
LEAVE, RELOAD = {signal.SIGTERM, signal.SIGINT}, signal.SIGHUP


def _reload(told: config.Config, host: EventLoop, pool: WorkerPool, roster: ServiceRegistry) -> config.Config:
    """Read the configuration again, and go over to the addresses that it has now. A faulty one changes
    nothing: what was right until now serves on."""
    try:
        new = config.load(os.environ)
    except config.ConfigurationError as error:
        logger.warning("the configuration stays as it was: %s", error)
        return told
    host.move_vault(new.vault)
    pool.move(new.pool)
    roster.move(new.roster)
    logger.warning("pool %s:%s, vault %s:%s, roster %s:%s", *new.pool, *new.vault, *new.roster)
    for key in config.FIXED:
        if getattr(new, key) != getattr(told, key):
            logger.info("%s: the new value counts from the next start on", key)
    return new


class _HostThread:
    """The host in a thread of its own. Without it nobody would be answered: if it fails, the process is
    better seen dead and started again."""

    def __init__(self, host: EventLoop) -> None:
        self._host = host
        self.failed = threading.Event()
        self._thread = threading.Thread(target=self._serve, name="host", daemon=True)

    def _serve(self) -> None:
        try:
            self._host.serve()
        except BaseException:
            self.fail()
            raise

    def fail(self) -> None:
        """End the process."""
        self.failed.set()
        os.kill(os.getpid(), signal.SIGTERM)

    def lost(self, why: str) -> None:
        """What an earlier life left can't be read."""
        logger.warning("keyed results: %s", why)
        self.fail()

    def end(self, wait_s: float | None = None) -> None:
        """Stop it, and wait for that."""
        self._host.stop()
        self._thread.join(wait_s)

    def part(self) -> Component:
        """Its place among the others."""
        return Component(
            "host",
            start=self._thread.start,
            on_shutdown=lambda how: self._host.drain(int(how.time_left_s * 1e6)),
            stop=lambda how: self.end(LAST_WAIT_S),
        )


def _leave(told: config.Config, lives: Incarnations | None) -> Shutdown:
    """A later version that can serve listens at the same address: it takes the new connections at once."""
    time_left = max(0, told.stop_ms - STOP_MARGIN_MS) / 1e3
    handover = lives is not None and lives.heir()
    grace = 0.0 if handover else min(time_left, told.settings.drain_grace / 1e6)
    return Shutdown(time_left, grace, handover)


def main(points: StepObserver | None = None) -> int:
    """Serve until told to leave; 2 if the configuration is at fault."""
    logging_setup.use_plain_lines()
    # Blocked in every thread and waited for in this one. A handler runs in the main thread only when that
    # wakes, and a signal that the kernel gives to another thread does not wake it: the notice would be lost.
    # First of all, since a notice to reload would else end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, LEAVE | {RELOAD})
    # Before that the shell of the line `run` has it ignored, and an ignored signal need not be kept for us.
    signal.signal(RELOAD, signal.SIG_DFL)
    path = os.environ.get(config.OPERATOR, "")
    try:
        told = config.load(os.environ)
        asked = composition.operator(told, path)
        temporary = Path(os.environ.get("TMPDIR") or "/tmp")
        lives, keeper = composition.memory(
            told, asked.keyed if asked is not None else None, temporary, points
        )
    except config.ConfigurationError as error:
        logger.error("%s", error)
        return 2
    except ImportError as error:
        logger.error("the operator's file %s needs more: %s; pip install '.[operator]'", path, error)
        return 2
    threading.stack_size(STACK_BYTES)
    host = EventLoop(told.settings, told.gauges, told.seed)
    pool = WorkerPool(told.pool, host)
    roster = ServiceRegistry(told.roster, told.name)
    try:
        intake, members = composition.members(
            told, asked.members if asked is not None else None, host, pool, roster
        )
        intake, meter, door = composition.door(told, intake, pool, members)
        server = FastCgiServer(told.listen, intake, told.sockets - composition.own_sockets(told), meter)
    except OSError as error:
        logger.error("listen: %s", error)
        return 2
    logger.info(LISTENING, told.name, *server.address)
    lasting = composition.lasting(keeper, told)
    host.connect(server, pool, told.vault, lasting)
    serving = _HostThread(host)
    parts = Lifecycle()
    parts.add(composition.lives_part(lives))
    parts.add(composition.keeper_part(keeper))
    parts.add(serving.part())
    parts.add(composition.pool_part(host, pool, lasting, serving.lost))
    parts.add(
        Component(
            "server",
            ("host",),
            start=server.start,
            stop=lambda how: server.retire(max(0.0, how.time_left_s - how.grace_s) + LAST_WAIT_S),
        )
    )
    parts.add(Component("roster", ("server",), start=roster.start, on_shutdown=lambda how: roster.stop()))
    parts.add(composition.ready_part(lives, pool))
    parts.add(composition.members_part(members))
    parts.add(door)
    gc.freeze()  # what was loaded stays; full collections need not walk it
    parts.start()
    while signal.sigwait(LEAVE | {RELOAD}) == RELOAD:
        told = _reload(told, host, pool, roster)
    if serving.failed.is_set():
        serving.end()
        return 1
    how = _leave(told, lives)
    parts.begin_shutdown(how)
    if how.handover:
        logger.info("a later process serves here: this one hands over")
    threading.Event().wait(how.grace_s)
    parts.stop(how)
    return 0
