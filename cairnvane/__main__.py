"""`python -m cairnvane`: one bid server.

What an operator's file turns on is imported only then.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING

from . import clock, config, log
from .host import Host
from .keys import Keeper, Points
from .ledger import Ledger, Lives, earlier
from .ledger.folder import OsFolder
from .ledger.lives import LIVES
from .ledger.record import NewerVersion
from .net.pool import Pool
from .net.roster import Roster
from .net.server import Server

if TYPE_CHECKING:
    from .config.operator import KeyedOptions, Operator
    from .door.listener import Door
    from .exchange import Intake, Meter
    from .lasting import Lasting

# Readers, calls and timers go a dozen plain frames deep; hundreds of them share the memory limit.
STACK_BYTES = 256 * 1024
# All is answered this long before the process is stopped, with room for a late thread and the way out.
STOP_MARGIN_MS = 300
# A balancer's next request may be on its way when a connection looks idle; the end is not rushed.
LAST_WAIT_S = 0.2
# Each is a notice to leave; the third one, to read the configuration again.
LEAVE, RELOAD = {signal.SIGTERM, signal.SIGINT}, signal.SIGHUP
# In `$TMPDIR`, with a folder for each name and boot.
LEDGERS = "cairnvane-ledger"
# Descriptors that are no balancer's: the links, one for each call, and those that close as others open.
OWN_SOCKETS, OWN_SHARE = 64, 4


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


def _operator(told: config.Config, path: str) -> Operator:
    """Turn on what the operator's file at this path asks for, but for what keeps keys."""
    from .config import operator

    asked = operator.load(path)
    if asked.log.form == "json":
        from .log_json import sink

        log.use(sink(told.name))
    return asked


def _kept(told: config.Config, asked: KeyedOptions, lives: Lives | None, points: Points | None) -> Keeper:
    """The log of kept results, and the ledger beside it; `ConfigError` if it can't be."""
    from .keyed import Beside, FolderError, Store
    from .keyed.beside import LEDGER
    from .keyed.files import OsFiles, boot_id

    folder = Path(asked.folder)
    power = asked.durability == "power"
    store = Store(
        OsFiles(folder), told.name, boot_id(), power=power,
        disk_bytes=asked.disk_bytes, memory_bytes=asked.memory_bytes,
        unread=max(cls.patience for cls in told.settings.classes), points=points)
    try:
        store.check(beside=lives is not None and not lives.alone())
    except FolderError as error:
        raise config.ConfigError(f"keyed.folder: {error}") from None
    own = folder / f"{LEDGER}{_boot()}"
    ledger = _ledger(told, own, lives) if lives is not None else None
    return Beside(store, ledger, folder, own, power=power) if ledger is not None else store


def _lasting(keeper: Keeper, told: config.Config) -> Lasting:
    from .lasting import Lasting

    return Lasting(keeper, told.settings)


def _lives(told: config.Config, temporary: Path, folder: Path) -> Lives | None:
    """Be one of the lives of this bid server; None where the folder can't be had. `ConfigError` if another
    version of the program serves here that this one can't know the runs of."""
    if (pid := earlier.serves(temporary, told.name)) is not None:
        raise config.ConfigError(
            f"an earlier version of the program serves here (process {pid}), which keeps keyed runs in "
            f"another form: end it first")
    lives = Lives(folder)
    try:
        lives.enter()
    except OSError as error:
        log.say("cairnvane", f"{folder}: {error}; no later version can take over from this process")
        return None
    return lives


def _boot() -> str:
    """In the name of a ledger: times in it are of one boot's clock."""
    return (clock.boot() or "unknown")[:8]


def _ledger(told: config.Config, folder: Path, lives: Lives) -> Ledger | None:
    """The keys of the lives side by side; None where the folder can't be had, and keys are those of this life
    alone."""
    ledger = Ledger(OsFolder(folder), lives, unread=max(cls.patience for cls in told.settings.classes))
    try:
        ledger.open()
    except NewerVersion as error:
        raise config.ConfigError(f"{folder}: a later version of the program serves here: {error}") from None
    except OSError as error:
        log.say("cairnvane", f"keys of other processes: {error}; a later version may run a try again")
        return None
    return ledger


def _when_ready(bound: threading.Event, lives: Lives) -> None:
    """Once the pool's link is up this life can serve, and an earlier one may hand over to it."""
    bound.wait()
    lives.ready()


def _own_sockets(told: config.Config) -> int:
    return max(OWN_SOCKETS, told.sockets // OWN_SHARE)


def _door(told: config.Config, host: Intake, pool: Pool) -> tuple[Intake, Meter | None, Door | None]:
    """The operators' door, where the configuration names one: what the front hands requests to, who counts
    their answers, and the listener. Else the host alone, and nothing is counted."""
    if told.control is None:
        return host, None, None
    from .door import Duty, Tally
    from .door.calls import Calls
    from .door.gate import Gate
    from .door.listener import Door, places

    duty, tally = Duty(pool.bound.is_set), Tally(tuple(cls.name for cls in told.settings.classes))
    pool.spawned = tally.attempted
    return Gate(host, duty, tally), tally, Door(
        told.control, Calls(duty, tally), duty, places(_own_sockets(told)))


def main(points: Points | None = None) -> int:
    """Serve until told to leave; 2 if the configuration is at fault."""
    # Blocked in every thread and waited for in this one. A handler runs in the main thread only when that
    # wakes, and a signal that the kernel gives to another thread does not wake it: the notice would be lost.
    # First of all, since a notice to reload would else end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, LEAVE | {RELOAD})
    try:
        told = config.load(os.environ)
        path = os.environ.get(config.OPERATOR, "")
        asked = _operator(told, path).keyed if path else None
        temporary = Path(os.environ.get("TMPDIR") or "/tmp")
        where = Path(asked.folder) / LIVES if asked is not None else temporary / LIVES / told.name
        lives = _lives(told, temporary, where)
        keeper: Keeper | None = None
        if asked is not None:
            keeper = _kept(told, asked, lives, points)
        elif lives is not None:
            keeper = _ledger(told, temporary / LEDGERS / f"{told.name}.{_boot()}", lives)
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
    most = told.sockets - _own_sockets(told)
    try:
        intake, meter, door = _door(told, host, pool)
        server = Server(told.listen, intake, most, meter)
    except OSError as error:
        log.say("cairnvane", f"listen: {error}")
        return 2
    log.say("cairnvane", "{} listens on {}:{}".format(told.name, *server.address))
    lasting = _lasting(keeper, told) if keeper is not None else None
    host.join(server, pool, told.vault, lasting)
    gc.freeze()  # what was loaded stays; full collections need not walk it
    failed = threading.Event()

    def serve() -> None:
        try:
            host.serve()
        except BaseException:
            # Without the host nobody would be answered: better to be seen dead and started again.
            failed.set()
            os.kill(os.getpid(), signal.SIGTERM)
            raise

    def lost(why: str) -> None:
        log.say("cairnvane", f"keyed results: {why}")
        failed.set()
        os.kill(os.getpid(), signal.SIGTERM)

    thread = threading.Thread(target=serve, name="host", daemon=True)
    thread.start()
    if lasting is not None:
        lasting.start(host, pool, lost)  # and then the pool
    else:
        pool.start()
    server.start()
    roster.start()
    if lives is not None:
        threading.Thread(target=_when_ready, args=(pool.bound, lives), name="ready", daemon=True).start()
    if door is not None:
        door.start()
    while signal.sigwait(LEAVE | {RELOAD}) == RELOAD:
        told = _reload(told, host, pool, roster)
    if door is not None:
        door.leave()
    if failed.is_set():
        host.stop()
        thread.join()
        return 1
    roster.stop()
    time_left = max(0, told.stop_ms - STOP_MARGIN_MS) / 1e3
    host.drain(int(time_left * 1e6))
    # A later version that can serve listens at the same address: it takes the new connections at once.
    handover = lives is not None and lives.heir()
    if handover:
        log.say("cairnvane", "a later process serves here: this one hands over")
    grace = 0.0 if handover else min(time_left, told.settings.drain_grace / 1e6)
    threading.Event().wait(grace)
    server.retire(max(0.0, time_left - grace) + LAST_WAIT_S)
    host.stop()
    thread.join(LAST_WAIT_S)
    if keeper is not None:
        keeper.close()
    if lives is not None:
        lives.leave()
    return 0


if __name__ == "__main__":
    sys.exit(main())
