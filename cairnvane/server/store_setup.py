"""Sets up this process as an incarnation of its server, and the store of idempotency keys that it shares.

The durable store is imported only if the operator turned it on.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from .. import clock, config
from ..claims import ClaimLog, Incarnations, legacy
from ..claims.incarnations import INCARNATIONS_FOLDER
from ..claims.records import NewerVersionError
from ..claims.storage import OsFolder
from ..idempotency.store import IdempotencyStore, StepObserver
from ..net.worker_pool import WorkerPool
from .lifecycle import Component

if TYPE_CHECKING:
    from ..config.operator import KeyedOptions
    from ..idempotency.durability import DurableKeys
    from .event_loop import EventLoop

logger = logging.getLogger(__name__)

# In the temporary folder: the claims of concurrent incarnations, with a folder for each name and boot.
CLAIMS_FOLDER = "cairnvane-ledger"
BOOT_ID_DIGITS = 8  # of a boot's id, in the name of a folder of claims


class SharedState(NamedTuple):
    """What the incarnations of one server share; None where its folder can't be used."""

    incarnations: Incarnations | None
    store: IdempotencyStore | None


def open_shared_state(
    configuration: config.Config,
    keyed: KeyedOptions | None,
    temporary_folder: Path,
    step_observer: StepObserver | None,
) -> SharedState:
    """Enter this process among the incarnations of its server, and open the store of their keys.

    Raises `ConfigurationError` if another version of the program serves here that this one can't work beside,
    or the operator's folder can't be used.
    """
    if keyed is not None:
        incarnations = _enter(configuration, temporary_folder, Path(keyed.folder) / INCARNATIONS_FOLDER)
        return SharedState(
            incarnations, _open_durable_store(configuration, keyed, incarnations, step_observer)
        )
    incarnations = _enter(
        configuration, temporary_folder, temporary_folder / INCARNATIONS_FOLDER / configuration.name
    )
    if incarnations is None:
        return SharedState(None, None)
    claims_folder = temporary_folder / CLAIMS_FOLDER / f"{configuration.name}.{_short_boot_id()}"
    return SharedState(incarnations, _open_claims(configuration, claims_folder, incarnations))


def _short_boot_id() -> str:
    """For the name of a folder of claims: times in it are of one boot's clock."""
    return (clock.boot_id() or "unknown")[:BOOT_ID_DIGITS]


def _max_client_timeout(configuration: config.Config) -> int:
    return max(cls.client_timeout for cls in configuration.settings.classes)


def _enter(configuration: config.Config, temporary_folder: Path, folder: Path) -> Incarnations | None:
    """Enter this process among the incarnations of its server; None if the folder can't be used."""
    pid = legacy.find_serving_process(temporary_folder, configuration.name)
    if pid is not None:
        raise config.ConfigurationError(
            f"an earlier version of the program serves here (process {pid}), which keeps keyed runs in "
            f"another form: end it first"
        )
    incarnations = Incarnations(folder)
    try:
        incarnations.enter()
    except OSError as error:
        logger.warning("%s: %s; no later version can take over from this process", folder, error)
        return None
    return incarnations


def _open_claims(
    configuration: config.Config,
    folder: Path,
    incarnations: Incarnations,
) -> ClaimLog | None:
    """Open the claims of concurrent incarnations; None if the folder can't be used.

    Without it, each incarnation knows its own keys alone.
    """
    claims = ClaimLog(OsFolder(folder), incarnations, unread=_max_client_timeout(configuration))
    try:
        claims.open()
    except NewerVersionError as error:
        raise config.ConfigurationError(
            f"{folder}: a later version of the program serves here: {error}"
        ) from None
    except OSError as error:
        logger.warning("keys of other processes: %s; a later version may run a retry again", error)
        return None
    return claims


def _open_durable_store(
    configuration: config.Config,
    keyed: KeyedOptions,
    incarnations: Incarnations | None,
    step_observer: StepObserver | None,
) -> IdempotencyStore:
    """Open the log of results, and the claims of concurrent incarnations next to it."""
    from ..idempotency.durable import DurableStore, FolderError, TakeoverStore
    from ..idempotency.durable.storage import OsFiles, boot_id
    from ..idempotency.durable.takeover_store import CLAIM_LOG_PREFIX

    folder = Path(keyed.folder)
    survives_power_loss = keyed.durability == "power"
    store = DurableStore(
        OsFiles(folder),
        configuration.name,
        boot_id(),
        power=survives_power_loss,
        disk_bytes=keyed.disk_bytes,
        memory_bytes=keyed.memory_bytes,
        max_read_delay_us=_max_client_timeout(configuration),
        step_observer=step_observer,
    )
    try:
        store.check(allow_concurrent=incarnations is not None and not incarnations.is_alone())
    except FolderError as error:
        raise config.ConfigurationError(f"keyed.folder: {error}") from None
    if incarnations is None:
        return store
    claims_folder = folder / f"{CLAIM_LOG_PREFIX}{_short_boot_id()}"
    claims = _open_claims(configuration, claims_folder, incarnations)
    if claims is None:
        return store
    return TakeoverStore(store, claims, folder, claims_folder, power=survives_power_loss)


def durable_keys(store: IdempotencyStore | None, configuration: config.Config) -> DurableKeys | None:
    """The event loop's side of a store."""
    if store is None:
        return None
    from ..idempotency.durability import DurableKeys

    return DurableKeys(store, configuration.settings)


def incarnations_component(incarnations: Incarnations | None) -> Component | None:
    """Leaves the incarnations when everything else has stopped."""
    if incarnations is None:
        return None
    return Component("incarnations", stop=lambda shutdown: incarnations.leave())


def store_component(store: IdempotencyStore | None) -> Component | None:
    """Closes the store; it is started with the pool's link, see `pool_component`."""
    return None if store is None else Component("store", stop=lambda shutdown: store.close())


def pool_component(
    event_loop: EventLoop,
    pool: WorkerPool,
    keys: DurableKeys | None,
    fail: Callable[[str], None],
) -> Component:
    """The link to the worker pool, which waits for the recovery of keys; `fail`: they can't be recovered."""
    if keys is None:
        return Component("pool", ("event loop",), start=pool.start)
    return Component("pool", ("event loop", "store"), start=lambda: keys.start(event_loop, pool, fail))
