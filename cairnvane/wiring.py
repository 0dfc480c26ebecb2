"""How each optional part of a server is made from what the configuration and the operator's file ask for.

What an operator's file turns on is imported only then.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from . import clock, config, log
from .assembly import Part
from .keys import Keeper, Points
from .ledger import Ledger, Lives, earlier
from .ledger.folder import OsFolder
from .ledger.lives import LIVES
from .ledger.record import NewerVersion
from .net.pool import Pool

if TYPE_CHECKING:
    from .config.operator import KeyedOptions, MembersOptions, Operator
    from .exchange import Intake, Meter
    from .host import Host
    from .lasting import Lasting
    from .membership.channel import Channel
    from .net.roster import Roster

# In `$TMPDIR`, with a folder for each name and boot.
LEDGERS = "cairnvane-ledger"
# Descriptors that are no balancer's: the links, one for each call, and those that close as others open.
OWN_SOCKETS, OWN_SHARE = 64, 4
# As members tell each other; the same as in pyproject.toml.
VERSION = "0.2.0"


def own_sockets(told: config.Config) -> int:
    """How many descriptors are no balancer's."""
    return max(OWN_SOCKETS, told.sockets // OWN_SHARE)


def operator(told: config.Config, path: str) -> Operator | None:
    """What the operator's file at this path asks for; None without one. Log lines have its form from here
    on."""
    if not path:
        return None
    from .config import operator as file

    asked = file.load(path)
    if asked.members is not None:
        from .membership.state import MOST_NAME

        if len(told.name) > MOST_NAME:
            raise config.ConfigError(f"members: the name {told.name!r} is longer than {MOST_NAME} characters")
    if asked.log.form == "json":
        from .log_json import sink

        log.use(sink(told.name))
    return asked


def _boot() -> str:
    """In the name of a ledger: times in it are of one boot's clock."""
    return (clock.boot() or "unknown")[:8]


def _lives(told: config.Config, temporary: Path, folder: Path) -> Lives | None:
    """Be one of the lives of this bid server; None where the folder can't be had. `ConfigError` if another
    version of the program serves here that this one can't know the runs of."""
    if (pid := earlier.serves(temporary, told.name)) is not None:
        raise config.ConfigError(
            f"an earlier version of the program serves here (process {pid}), which keeps keyed runs in "
            f"another form: end it first"
        )
    lives = Lives(folder)
    try:
        lives.enter()
    except OSError as error:
        log.say("cairnvane", f"{folder}: {error}; no later version can take over from this process")
        return None
    return lives


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


def _kept(told: config.Config, asked: KeyedOptions, lives: Lives | None, points: Points | None) -> Keeper:
    """The log of kept results, and the ledger beside it; `ConfigError` if it can't be."""
    from .keyed import Beside, FolderError, Store
    from .keyed.beside import LEDGER
    from .keyed.files import OsFiles, boot_id

    folder = Path(asked.folder)
    power = asked.durability == "power"
    store = Store(
        OsFiles(folder),
        told.name,
        boot_id(),
        power=power,
        disk_bytes=asked.disk_bytes,
        memory_bytes=asked.memory_bytes,
        unread=max(cls.patience for cls in told.settings.classes),
        points=points,
    )
    try:
        store.check(beside=lives is not None and not lives.alone())
    except FolderError as error:
        raise config.ConfigError(f"keyed.folder: {error}") from None
    own = folder / f"{LEDGER}{_boot()}"
    ledger = _ledger(told, own, lives) if lives is not None else None
    return Beside(store, ledger, folder, own, power=power) if ledger is not None else store


def memory(
    told: config.Config,
    asked: KeyedOptions | None,
    temporary: Path,
    points: Points | None,
) -> tuple[Lives | None, Keeper | None]:
    """The lives of this bid server, this one among them, and who keeps their keys; `ConfigError`."""
    where = Path(asked.folder) / LIVES if asked is not None else temporary / LIVES / told.name
    lives = _lives(told, temporary, where)
    if asked is not None:
        return lives, _kept(told, asked, lives, points)
    if lives is None:
        return None, None
    return lives, _ledger(told, temporary / LEDGERS / f"{told.name}.{_boot()}", lives)


def lives_part(lives: Lives | None) -> Part | None:
    """Be gone from among the lives at the end of all."""
    return None if lives is None else Part("lives", end=lambda how: lives.leave())


def ready_part(lives: Lives | None, pool: Pool) -> Part | None:
    """Once the pool's link is up this life can serve, and an earlier one may hand over to it."""
    if lives is None:
        return None

    def ready() -> None:
        pool.bound.wait()
        lives.ready()

    return Part(
        "ready",
        ("lives", "server", "pool"),
        start=lambda: threading.Thread(target=ready, name="ready", daemon=True).start(),
    )


def keeper_part(keeper: Keeper | None) -> Part | None:
    """Who keeps keys for other lives; it starts with the pool's link, see `pool_part`."""
    return None if keeper is None else Part("keeper", end=lambda how: keeper.close())


def pool_part(host: Host, pool: Pool, lasting: Lasting | None, lost: Callable[[str], None]) -> Part:
    """The link to the worker pool, which waits for what an earlier life left; `lost`: it can't be read."""
    if lasting is None:
        return Part("pool", ("host",), start=pool.start)
    return Part("pool", ("host", "keeper"), start=lambda: lasting.start(host, pool, lost))


def lasting(keeper: Keeper | None, told: config.Config) -> Lasting | None:
    """The host's side of a keeper."""
    if keeper is None:
        return None
    from .lasting import Lasting

    return Lasting(keeper, told.settings)


def members(
    told: config.Config,
    asked: MembersOptions | None,
    host: Host,
    pool: Pool,
    roster: Roster,
) -> tuple[Intake, Channel | None]:
    """Whom requests are handed to, and the channel between the bid servers, where an operator asked for it;
    `OSError` if it can't listen. Else the host itself, and nothing of it."""
    if asked is None:
        return host, None
    from .membership.channel import Channel
    from .membership.machine import Tell
    from .membership.watch import Watch

    def tell(event: Tell) -> None:
        log.say("members", event.event + "".join(f" {key}={value}" for key, value in event.more.items()))

    watch = Watch(host, VERSION, lambda: roster.answers, pool.bound.is_set, lambda: host.runs.calls)
    return watch, Channel(
        asked.address,
        asked.key.encode(),
        told.name,
        "{}:{}".format(*told.listen),
        asked.others,
        outside=watch.outside,
        carried=watch.carried,
        tell=tell,
        ways=asked.ways,
        spares=asked.spare_ports,
    )


def members_part(channel: Channel | None) -> Part | None:
    """Be a member, tell the others of a drain, and leave them in order."""
    if channel is None:
        return None
    return Part(
        "members",
        ("server",),
        start=channel.start,
        leave=lambda how: channel.drain(),
        end=lambda how: channel.close(),
    )


def door(
    told: config.Config,
    intake: Intake,
    pool: Pool,
    channel: Channel | None = None,
) -> tuple[Intake, Meter | None, Part | None]:
    """The operators' door, where the configuration names one: what the front hands requests to, who counts
    their answers, and the listener; `OSError` if it can't listen. Else `intake` as it is, and nothing is
    counted."""
    if told.control is None:
        return intake, None, None
    from .door import Duty, Tally
    from .door.calls import Calls
    from .door.gate import Gate
    from .door.listener import Door, places

    duty, tally = Duty(pool.bound.is_set), Tally(tuple(cls.name for cls in told.settings.classes))
    pool.spawned = tally.attempted
    views: dict[str, Callable[[], object]] = {}
    if channel is not None:
        from .membership.channel import described

        def figures() -> bytes:
            from .membership import metrics  # its library, at the first fetch

            return metrics.text(channel.snapshot)

        views["/-/members"] = lambda: described(channel.snapshot)
        views["/-/members/metrics"] = figures
    listener = Door(told.control, Calls(duty, tally, views), duty, places(own_sockets(told)))
    part = Part("door", ("server",), start=listener.start, leave=lambda how: listener.leave())
    return Gate(intake, duty, tally), tally, part
