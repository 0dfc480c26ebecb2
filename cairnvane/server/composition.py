"""Builds a server from its components; configuration and operator's file select the optional ones."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from .. import clock, config, logging_setup
from ..claims import Incarnations
from ..contract.settings import DependencyKind
from ..idempotency.store import StepObserver
from ..net.request_memory import MEBIBYTE
from ..net.server import FastCgiServer
from ..net.service_registry import ServiceRegistry
from ..net.worker_pool import WorkerPool
from . import administration_setup, member_setup, store_setup
from .event_loop import EventLoop
from .event_loop_thread import EventLoopThread
from .lifecycle import Component, Lifecycle, Shutdown
from .shared_calls import SharedCalls
from .shared_connections import SharedConnections

if TYPE_CHECKING:
    from ..config.operator import OperatorOptions

# Reader, vault call and timer threads have stacks of about a dozen Python frames, and hundreds of these
# threads share the memory limit.
THREAD_STACK_BYTES = 256 * 1024
# The close of idle connections may wait this long, since a balancer's next request may be in transit on one.
LAST_REQUEST_WAIT_S = 0.2


class Server(NamedTuple):
    """A listening server, and the components that the process uses to run and reload it."""

    event_loop: EventLoop
    event_loop_thread: EventLoopThread
    pool: WorkerPool
    registry: ServiceRegistry
    incarnations: Incarnations | None
    lifecycle: Lifecycle
    address: tuple[str, int]  # the listen address


def load_operator_options(configuration: config.Config, path: str) -> OperatorOptions | None:
    """Read the operator's file at this path and apply its log settings; None if there is no path.

    Raises `ConfigurationError`, and `ImportError` if a library that the file needs is not installed.
    """
    if not path:
        return None
    from ..config import operator

    options = operator.load(path)
    if options.members is not None:
        member_setup.check_name(configuration.name)
    if options.log.form == "json":
        logging_setup.use_json_lines(configuration.name)
    logging_setup.use_level(options.log.level)
    return options


def open_shared_state(
    configuration: config.Config,
    options: OperatorOptions | None,
    temporary_folder: Path,
    step_observer: StepObserver | None,
) -> store_setup.SharedState:
    """Open the incarnations' shared state; raises what `store_setup.open_shared_state` raises."""
    keyed = options.keyed if options is not None else None
    return store_setup.open_shared_state(configuration, keyed, temporary_folder, step_observer)


def build(
    configuration: config.Config,
    options: OperatorOptions | None,
    shared_state: store_setup.SharedState,
) -> Server:
    """Build the server. It listens, but no component is started. Raises `OSError` if it can't listen."""
    threading.stack_size(THREAD_STACK_BYTES)
    event_loop = EventLoop(configuration.settings, configuration.gauges, configuration.seed)
    pool = WorkerPool(configuration.pool, event_loop)
    registry = ServiceRegistry(configuration.registry, configuration.name)
    member_options = options.members if options is not None else None
    membership = member_setup.set_up_members(configuration, member_options, event_loop, pool, registry)
    administration = administration_setup.set_up_administration(
        configuration,
        membership.request_sink,
        pool,
        membership.transport,
        shared_state.incarnations,
        lambda: can_take_over(pool, shared_state.incarnations),
        lambda: event_loop.load.as_json(),
    )
    max_connections = configuration.sockets - administration_setup.reserved_sockets(configuration)
    fastcgi_server = FastCgiServer(
        configuration.listen,
        administration.request_sink,
        max_connections,
        administration.response_counter,
        configuration.settings.longest_client_timeout / clock.MICROSECONDS_PER_SECOND,
        configuration.memory_mb * MEBIBYTE,
        set_up_shared_connections(max_connections, shared_state.incarnations),
    )
    keys = store_setup.create_durable_keys(shared_state.store, configuration)
    shared_calls = set_up_shared_calls(configuration, shared_state.incarnations)
    event_loop.connect(fastcgi_server, pool, configuration.vault, keys, shared_calls)
    event_loop_thread = EventLoopThread(event_loop)

    lifecycle = Lifecycle()
    for component in (
        store_setup.incarnations_component(shared_state.incarnations),
        store_setup.store_component(shared_state.store),
        event_loop_thread.component(),
        store_setup.pool_component(event_loop, pool, keys, event_loop_thread.fail_recovery),
        _fastcgi_component(fastcgi_server),
        _registry_component(registry),
        _readiness_component(shared_state.incarnations, pool),
        member_setup.members_component(membership.transport),
        administration.component,
    ):
        lifecycle.add(component)
    return Server(
        event_loop,
        event_loop_thread,
        pool,
        registry,
        shared_state.incarnations,
        lifecycle,
        fastcgi_server.address,
    )


def set_up_shared_calls(
    configuration: config.Config, incarnations: Incarnations | None
) -> SharedCalls | None:
    """The exchange of call numbers with concurrent incarnations; None if there can't be any."""
    settings = configuration.settings
    if incarnations is None or settings.dependency is not DependencyKind.SHARED:
        return None
    return SharedCalls(incarnations, settings.dependency_quota, settings.abandoned_call_time)


def set_up_shared_connections(
    max_connections: int, incarnations: Incarnations | None
) -> SharedConnections | None:
    """The connection limit that is shared with concurrent incarnations; None if there can't be any."""
    return None if incarnations is None else SharedConnections(incarnations, max_connections)


def can_take_over(pool: WorkerPool, incarnations: Incarnations | None) -> bool:
    """Whether the process can serve and an earlier incarnation sees that.

    The operators stop the earlier one as soon as this one reports ready. Without the mark, it would not hand
    over: it would drain, and take new connections meanwhile.
    """
    return pool.bound.is_set() and (incarnations is None or incarnations.is_marked_ready)


def _fastcgi_component(fastcgi_server: FastCgiServer) -> Component:
    """The FastCGI listener and its connections."""

    def retire(shutdown: Shutdown) -> None:
        fastcgi_server.retire(max(0.0, shutdown.time_left_s - shutdown.grace_s) + LAST_REQUEST_WAIT_S)

    return Component("server", ("event loop",), start=fastcgi_server.start, stop=retire)


def _registry_component(registry: ServiceRegistry) -> Component:
    """The reports to the service registry, which end when the shutdown begins."""
    return Component(
        "registry", ("server",), start=registry.start, on_shutdown=lambda shutdown: registry.stop()
    )


def _readiness_component(incarnations: Incarnations | None, pool: WorkerPool) -> Component | None:
    """Signals to earlier incarnations that this one can take over, once the pool's link is up."""
    if incarnations is None:
        return None

    def announce() -> None:
        pool.bound.wait()
        incarnations.mark_ready()

    def start() -> None:
        threading.Thread(target=announce, name="readiness", daemon=True).start()

    return Component("readiness", ("incarnations", "server", "pool"), start=start)
