"""How each optional part of a server is made from what the configuration and the operator's file ask for.

What an operator's file turns on is imported only then.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from .. import clock, config, logging_setup
from ..claims import ClaimLog, Incarnations, legacy
from ..claims.incarnations import LIVES
from ..claims.records import NewerVersionError
from ..claims.storage import OsFolder
from ..idempotency.store import IdempotencyStore, StepObserver
from ..log_events import MEMBER_EVENT
from ..net.worker_pool import WorkerPool
from .lifecycle import Component

if TYPE_CHECKING:
    from ..config.operator import KeyedOptions, MembersOptions, Operator
    from ..exchange import RequestSink, ResponseCounter
    from ..idempotency.durability import DurableKeys
    from ..membership.transport import MemberTransport
    from ..net.service_registry import ServiceRegistry
    from .event_loop import EventLoop

logger = logging.getLogger(__name__)

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
    from ..config import operator as file

    asked = file.load(path)
    if asked.members is not None:
        from ..membership.member_table import MOST_NAME

        if len(told.name) > MOST_NAME:
            raise config.ConfigurationError(
                f"members: the name {told.name!r} is longer than {MOST_NAME} characters"
            )
    if asked.log.form == "json":
        logging_setup.use_json_lines(told.name)
    return asked


def _boot() -> str:
    """In the name of a ledger: times in it are of one boot's clock."""
    return (clock.boot() or "unknown")[:8]


def _lives(told: config.Config, temporary: Path, folder: Path) -> Incarnations | None:
    """Be one of the lives of this bid server; None where the folder can't be had. `ConfigError` if another
    version of the program serves here that this one can't know the runs of."""
    if (pid := legacy.serves(temporary, told.name)) is not None:
        raise config.ConfigurationError(
            f"an earlier version of the program serves here (process {pid}), which keeps keyed runs in "
            f"another form: end it first"
        )
    lives = Incarnations(folder)
    try:
        lives.enter()
    except OSError as error:
        logger.warning("%s: %s; no later version can take over from this process", folder, error)
        return None
    return lives


def _ledger(told: config.Config, folder: Path, lives: Incarnations) -> ClaimLog | None:
    """The keys of the lives side by side; None where the folder can't be had, and keys are those of this life
    alone."""
    ledger = ClaimLog(
        OsFolder(folder), lives, unread=max(cls.client_timeout for cls in told.settings.classes)
    )
    try:
        ledger.open()
    except NewerVersionError as error:
        raise config.ConfigurationError(
            f"{folder}: a later version of the program serves here: {error}"
        ) from None
    except OSError as error:
        logger.warning("keys of other processes: %s; a later version may run a try again", error)
        return None
    return ledger


def _kept(
    told: config.Config, asked: KeyedOptions, lives: Incarnations | None, points: StepObserver | None
) -> IdempotencyStore:
    """The log of kept results, and the ledger beside it; `ConfigError` if it can't be."""
    from ..idempotency.durable import DurableStore, FolderError, TakeoverStore
    from ..idempotency.durable.storage import OsFiles, boot_id
    from ..idempotency.durable.takeover_store import LEDGER

    folder = Path(asked.folder)
    power = asked.durability == "power"
    store = DurableStore(
        OsFiles(folder),
        told.name,
        boot_id(),
        power=power,
        disk_bytes=asked.disk_bytes,
        memory_bytes=asked.memory_bytes,
        unread=max(cls.client_timeout for cls in told.settings.classes),
        points=points,
    )
    try:
        store.check(beside=lives is not None and not lives.alone())
    except FolderError as error:
        raise config.ConfigurationError(f"keyed.folder: {error}") from None
    own = folder / f"{LEDGER}{_boot()}"
    ledger = _ledger(told, own, lives) if lives is not None else None
    return TakeoverStore(store, ledger, folder, own, power=power) if ledger is not None else store


def memory(
    told: config.Config,
    asked: KeyedOptions | None,
    temporary: Path,
    points: StepObserver | None,
) -> tuple[Incarnations | None, IdempotencyStore | None]:
    """The lives of this bid server, this one among them, and who keeps their keys; `ConfigError`."""
    where = Path(asked.folder) / LIVES if asked is not None else temporary / LIVES / told.name
    lives = _lives(told, temporary, where)
    if asked is not None:
        return lives, _kept(told, asked, lives, points)
    if lives is None:
        return None, None
    return lives, _ledger(told, temporary / LEDGERS / f"{told.name}.{_boot()}", lives)


def lives_part(lives: Incarnations | None) -> Component | None:
    """Be gone from among the lives at the end of all."""
    return None if lives is None else Component("lives", stop=lambda how: lives.leave())


def ready_part(lives: Incarnations | None, pool: WorkerPool) -> Component | None:
    """Once the pool's link is up this life can serve, and an earlier one may hand over to it."""
    if lives is None:
        return None

    def ready() -> None:
        pool.bound.wait()
        lives.ready()

    return Component(
        "ready",
        ("lives", "server", "pool"),
        start=lambda: threading.Thread(target=ready, name="ready", daemon=True).start(),
    )


def keeper_part(keeper: IdempotencyStore | None) -> Component | None:
    """Who keeps keys for other lives; it starts with the pool's link, see `pool_part`."""
    return None if keeper is None else Component("keeper", stop=lambda how: keeper.close())


def pool_part(
    host: EventLoop, pool: WorkerPool, lasting: DurableKeys | None, lost: Callable[[str], None]
) -> Component:
    """The link to the worker pool, which waits for what an earlier life left; `lost`: it can't be read."""
    if lasting is None:
        return Component("pool", ("host",), start=pool.start)
    return Component("pool", ("host", "keeper"), start=lambda: lasting.start(host, pool, lost))


def lasting(keeper: IdempotencyStore | None, told: config.Config) -> DurableKeys | None:
    """The host's side of a keeper."""
    if keeper is None:
        return None
    from ..idempotency.durability import DurableKeys

    return DurableKeys(keeper, told.settings)


def members(
    told: config.Config,
    asked: MembersOptions | None,
    host: EventLoop,
    pool: WorkerPool,
    roster: ServiceRegistry,
) -> tuple[RequestSink, MemberTransport | None]:
    """Whom requests are handed to, and the channel between the bid servers, where an operator asked for it;
    `OSError` if it can't listen. Else the host itself, and nothing of it."""
    if asked is None:
        return host, None
    from ..membership.observer import ServerObserver
    from ..membership.swim import Tell
    from ..membership.transport import MemberTransport

    def tell(event: Tell) -> None:
        logger.info(
            MEMBER_EVENT, event.event, "".join((f" {key}={value}" for key, value in event.more.items()))
        )

    watch = ServerObserver(
        host, VERSION, lambda: roster.answers, pool.bound.is_set, lambda: host.executions.calls_in_flight
    )
    return watch, MemberTransport(
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


def members_part(channel: MemberTransport | None) -> Component | None:
    """Be a member, tell the others of a drain, and leave them in order."""
    if channel is None:
        return None
    return Component(
        "members",
        ("server",),
        start=channel.start,
        on_shutdown=lambda how: channel.drain(),
        stop=lambda how: channel.close(),
    )


def door(
    told: config.Config,
    intake: RequestSink,
    pool: WorkerPool,
    channel: MemberTransport | None = None,
) -> tuple[RequestSink, ResponseCounter | None, Component | None]:
    """The operators' door, where the configuration names one: what the front hands requests to, who counts
    their answers, and the listener; `OSError` if it can't listen. Else `intake` as it is, and nothing is
    counted."""
    if told.control is None:
        return intake, None, None
    from ..administration import Readiness, RequestCounters
    from ..administration.drain_gate import DrainGate
    from ..administration.endpoints import Endpoints
    from ..administration.http_server import AdministrationServer, places

    duty, tally = (
        Readiness(pool.bound.is_set),
        RequestCounters(tuple(cls.name for cls in told.settings.classes)),
    )
    pool.spawned = tally.run_started
    views: dict[str, Callable[[], object]] = {}
    if channel is not None:
        from ..membership.transport import described

        def figures() -> bytes:
            from ..membership import metrics  # its library, at the first fetch

            return metrics.text(channel.snapshot)

        views["/-/members"] = lambda: described(channel.snapshot)
        views["/-/members/metrics"] = figures
    listener = AdministrationServer(
        told.control, Endpoints(duty, tally, views), duty, places(own_sockets(told))
    )
    part = Component("door", ("server",), start=listener.start, on_shutdown=lambda how: listener.leave())
    return DrainGate(intake, duty, tally), tally, part
