"""`python -m cairnvane`: one bid server.

What each part does stands in its own module, how it is made in `wiring.py`, in which order in `assembly.py`.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
from pathlib import Path

from . import config, log, wiring
from .assembly import Assembly, Leave, Part
from .host import Host
from .keys import Points
from .ledger import Lives
from .net.pool import Pool
from .net.roster import Roster
from .net.server import Server

# Readers, calls and timers go a dozen plain frames deep; hundreds of them share the memory limit.
STACK_BYTES = 256 * 1024
# All is answered this long before the process is stopped, with room for a late thread and the way out.
STOP_MARGIN_MS = 300
# A balancer's next request may be on its way when a connection looks idle; the end is not rushed.
LAST_WAIT_S = 0.2
# Each is a notice to leave; the third one, to read the configuration again.
LEAVE, RELOAD = {signal.SIGTERM, signal.SIGINT}, signal.SIGHUP


def _reload(told: config.Config, host: Host, pool: Pool, roster: Roster) -> config.Config:
    """Read the configuration again, and go over to the addresses that it has now. A faulty one changes
    nothing: what was right until now serves on."""
    try:
        new = config.load(os.environ)
    except config.ConfigError as error:
        log.say("cairnvane", f"the configuration stays as it was: {error}")
        return told
    host.move(new.vault)
    pool.move(new.pool)
    roster.move(new.roster)
    log.say("cairnvane", "pool {}:{}, vault {}:{}, roster {}:{}".format(*new.pool, *new.vault, *new.roster))
    for key in config.FIXED:
        if getattr(new, key) != getattr(told, key):
            log.say("cairnvane", f"{key}: the new value counts from the next start on")
    return new


class _HostThread:
    """The host in a thread of its own. Without it nobody would be answered: if it fails, the process is
    better seen dead and started again."""

    def __init__(self, host: Host) -> None:
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
        log.say("cairnvane", f"keyed results: {why}")
        self.fail()

    def end(self, wait_s: float | None = None) -> None:
        """Stop it, and wait for that."""
        self._host.stop()
        self._thread.join(wait_s)

    def part(self) -> Part:
        """Its place among the others."""
        return Part(
            "host",
            start=self._thread.start,
            leave=lambda how: self._host.drain(int(how.time_left_s * 1e6)),
            end=lambda how: self.end(LAST_WAIT_S),
        )


def _leave(told: config.Config, lives: Lives | None) -> Leave:
    """A later version that can serve listens at the same address: it takes the new connections at once."""
    time_left = max(0, told.stop_ms - STOP_MARGIN_MS) / 1e3
    handover = lives is not None and lives.heir()
    grace = 0.0 if handover else min(time_left, told.settings.drain_grace / 1e6)
    return Leave(time_left, grace, handover)


def main(points: Points | None = None) -> int:
    """Serve until told to leave; 2 if the configuration is at fault."""
    # Blocked in every thread and waited for in this one. A handler runs in the main thread only when that
    # wakes, and a signal that the kernel gives to another thread does not wake it: the notice would be lost.
    # First of all, since a notice to reload would else end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, LEAVE | {RELOAD})
    # Before that the shell of the line `run` has it ignored, and an ignored signal need not be kept for us.
    signal.signal(RELOAD, signal.SIG_DFL)
    path = os.environ.get(config.OPERATOR, "")
    try:
        told = config.load(os.environ)
        asked = wiring.operator(told, path)
        temporary = Path(os.environ.get("TMPDIR") or "/tmp")
        lives, keeper = wiring.memory(told, asked.keyed if asked is not None else None, temporary, points)
    except config.ConfigError as error:
        log.say("cairnvane", str(error))
        return 2
    except ImportError as error:
        log.say("cairnvane", f"the operator's file {path} needs more: {error}; pip install '.[operator]'")
        return 2
    threading.stack_size(STACK_BYTES)
    host = Host(told.settings, told.gauges, told.seed)
    pool = Pool(told.pool, host)
    roster = Roster(told.roster, told.name)
    try:
        intake, members = wiring.members(
            told, asked.members if asked is not None else None, host, pool, roster
        )
        intake, meter, door = wiring.door(told, intake, pool, members)
        server = Server(told.listen, intake, told.sockets - wiring.own_sockets(told), meter)
    except OSError as error:
        log.say("cairnvane", f"listen: {error}")
        return 2
    log.say("cairnvane", "{} listens on {}:{}".format(told.name, *server.address))
    lasting = wiring.lasting(keeper, told)
    host.join(server, pool, told.vault, lasting)
    serving = _HostThread(host)
    parts = Assembly()
    parts.add(wiring.lives_part(lives))
    parts.add(wiring.keeper_part(keeper))
    parts.add(serving.part())
    parts.add(wiring.pool_part(host, pool, lasting, serving.lost))
    parts.add(
        Part(
            "server",
            ("host",),
            start=server.start,
            end=lambda how: server.retire(max(0.0, how.time_left_s - how.grace_s) + LAST_WAIT_S),
        )
    )
    parts.add(Part("roster", ("server",), start=roster.start, leave=lambda how: roster.stop()))
    parts.add(wiring.ready_part(lives, pool))
    parts.add(wiring.members_part(members))
    parts.add(door)
    gc.freeze()  # what was loaded stays; full collections need not walk it
    parts.start()
    while signal.sigwait(LEAVE | {RELOAD}) == RELOAD:
        told = _reload(told, host, pool, roster)
    if serving.failed.is_set():
        serving.end()
        return 1
    how = _leave(told, lives)
    parts.leave(how)
    if how.handover:
        log.say("cairnvane", "a later process serves here: this one hands over")
    threading.Event().wait(how.grace_s)
    parts.end(how)
    return 0


if __name__ == "__main__":
    sys.exit(main())
