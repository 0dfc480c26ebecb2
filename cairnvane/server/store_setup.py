"""Registers this process as an incarnation of its server, and opens the store of keys that they share.

The durable store is imported only if the operator enables it.
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

# Folder in the temporary folder for the claims of concurrent incarnations, one subfolder per name and boot.
CLAIMS_FOLDER = "cairnvane-ledger"
BOOT_ID_DIGITS = 8  # digits of the boot id in the name of a claims folder


class SharedState(NamedTuple):
    """The state that the incarnations of one server share; None for a part whose folder can't be used."""

    incarnations: Incarnations | None
    store: IdempotencyStore | None


def open_shared_state(
    configuration: config.Config,
    keyed: KeyedOptions | None,
    temporary_folder: Path,
    step_observer: StepObserver | None,
) -> SharedState:
    """Register this process as an incarnation of its server, and open the store of their keys.

    Raises `ConfigurationError` if an incompatible version of the program is running for this server, or if
    the operator's folder can't be used.
    """
    if keyed is not None:
        incarnations = _register_incarnation(
            configuration, temporary_folder, Path(keyed.folder) / INCARNATIONS_FOLDER
        )
        return SharedState(
            incarnations, _open_durable_store(configuration, keyed, incarnations, step_observer)
        )
    incarnations = _register_incarnation(
        configuration, temporary_folder, temporary_folder / INCARNATIONS_FOLDER / configuration.name
    )
    if incarnations is None:
        return SharedState(None, None)
    claims_folder = temporary_folder / CLAIMS_FOLDER / f"{configuration.name}.{_short_boot_id()}"
    return SharedState(incarnations, _open_claims(configuration, claims_folder, incarnations))


def _short_boot_id() -> str:
    """The boot id in the name of a claims folder, whose times are valid only for one boot's clock."""
    return (clock.boot_id() or "unknown")[:BOOT_ID_DIGITS]


def _register_incarnation(
    configuration: config.Config, temporary_folder: Path, folder: Path
) -> Incarnations | None:
    """Register this process as an incarnation of its server; None if the folder can't be used."""
    pid = legacy.find_serving_process(temporary_folder, configuration.name)
    if pid is not None:
        raise config.ConfigurationError(
            f"an earlier version of the program is running for this server (process {pid}) and stores keyed "
            f"runs in another format: stop it first"
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

    Without it, each incarnation knows only its own keys.
    """
    claims = ClaimLog(
        OsFolder(folder), incarnations, max_read_delay_us=configuration.settings.longest_client_timeout
    )
    try:
        claims.open()
    except NewerVersionError as error:
        raise config.ConfigurationError(
            f"{folder}: a later version of the program is in use: {error}"
        ) from None
    except OSError as error:
        logger.warning(
            "claims folder can't be used: %s; a later process may run a retry a second time", error
        )
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
        max_read_delay_us=configuration.settings.longest_client_timeout,
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


def create_durable_keys(store: IdempotencyStore | None, configuration: config.Config) -> DurableKeys | None:
    """Create the event loop's interface to a store; None without a store."""
    if store is None:
        return None
    from ..idempotency.durability import DurableKeys

    return DurableKeys(store, configuration.settings)


def incarnations_component(incarnations: Incarnations | None) -> Component | None:
    """The component that unregisters this incarnation after all other components have stopped."""
    if incarnations is None:
        return None
    return Component("incarnations", stop=lambda shutdown: incarnations.leave())


def store_component(store: IdempotencyStore | None) -> Component | None:
    """The component that closes the store, which `pool_component` starts together with the pool's link."""
    return None if store is None else Component("store", stop=lambda shutdown: store.close())


def pool_component(
    event_loop: EventLoop,
    pool: WorkerPool,
    keys: DurableKeys | None,
    on_recovery_failed: Callable[[str], None],
) -> Component:
    """The component for the worker pool's link, which waits for the recovery of the keys.

    `on_recovery_failed` is called with the cause if the keys can't be recovered.
    """
    if keys is None:
        return Component("pool", ("event loop",), start=pool.start)
    return Component(
        "pool", ("event loop", "store"), start=lambda: keys.start(event_loop, pool, on_recovery_failed)
    )
