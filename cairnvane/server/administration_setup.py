"""Sets up the administration endpoint, which is imported only if the configuration has its address."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from .. import config
from ..claims import Incarnations
from ..net.worker_pool import WorkerPool
from .lifecycle import Component

if TYPE_CHECKING:
    from ..administration.drain_state import DrainState
    from ..exchange import RequestSink, ResponseCounter
    from ..membership.transport import MemberTransport

# File descriptors that are not available to balancer connections: the links to the peers, one for each vault
# call, and sockets that are still closing while new ones open.
MIN_RESERVED_SOCKETS = 64
RESERVED_SOCKETS_DIVISOR = 4


class Administration(NamedTuple):
    """The sink that receives requests; the other fields are None if the endpoint is disabled."""

    request_sink: RequestSink
    response_counter: ResponseCounter | None
    component: Component | None


def reserved_sockets(configuration: config.Config) -> int:
    """The number of file descriptors that balancer connections may not use."""
    return max(MIN_RESERVED_SOCKETS, configuration.sockets // RESERVED_SOCKETS_DIVISOR)


def _member_views(transport: MemberTransport) -> dict[str, Callable[[], object]]:
    """The HTTP resources that show the members, by path."""
    from ..membership.transport import snapshot_as_json

    def metrics_text() -> bytes:
        from ..membership import metrics  # defers the import of the metrics library to the first request

        return metrics.text(transport.snapshot)

    return {
        "/-/members": lambda: snapshot_as_json(transport.snapshot),
        "/-/members/metrics": metrics_text,
    }


def _drain_state(incarnations: Incarnations | None) -> DrainState | None:
    """The state of a drain by call, shared by all incarnations; None if there are no others."""
    if incarnations is None:
        return None
    from ..administration.drain_state import DRAIN_FILE, SharedDrainState

    return SharedDrainState(incarnations.folder / DRAIN_FILE, incarnations.is_alone())


def set_up_administration(
    configuration: config.Config,
    request_sink: RequestSink,
    pool: WorkerPool,
    transport: MemberTransport | None,
    incarnations: Incarnations | None,
    can_serve: Callable[[], bool],
    load: Callable[[], object],
) -> Administration:
    """Set up the endpoint if it is enabled; its drain gate then receives every request before `request_sink`.

    `can_serve` tells whether the process can serve; `load` returns the server's load for the metrics. A drain
    by call is one of all incarnations.

    Raises `OSError` if the endpoint can't listen.
    """
    if configuration.administration is None:
        return Administration(request_sink, None, None)
    from ..administration import Readiness, RequestCounters
    from ..administration.drain_gate import DrainGate
    from ..administration.endpoints import Endpoints
    from ..administration.http_server import AdministrationServer, connection_limit

    readiness = Readiness(can_serve, _drain_state(incarnations))
    counters = RequestCounters(tuple(cls.name for cls in configuration.settings.classes))
    pool.on_spawn = counters.run_started
    views = _member_views(transport) if transport is not None else {}
    http_server = AdministrationServer(
        configuration.administration,
        Endpoints(readiness, counters, views, load),
        readiness,
        connection_limit(reserved_sockets(configuration)),
    )
    component = Component(
        "administration",
        ("server",),
        start=http_server.start,
        on_shutdown=lambda shutdown: http_server.shut_down(),
    )
    return Administration(DrainGate(request_sink, readiness, counters), counters, component)
