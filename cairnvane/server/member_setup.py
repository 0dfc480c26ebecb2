"""Sets up membership, which is imported only if the operator enables it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from .. import config
from ..log_events import MEMBER_EVENT
from ..net.service_registry import ServiceRegistry
from ..net.worker_pool import WorkerPool
from .event_loop import EventLoop
from .lifecycle import Component

if TYPE_CHECKING:
    from ..config.operator import MembersOptions
    from ..exchange import RequestSink
    from ..membership.swim import ReportEvent
    from ..membership.transport import MemberTransport

logger = logging.getLogger(__name__)

# The package version as in pyproject.toml; sent to the other members.
VERSION = "0.2.0"


class Membership(NamedTuple):
    """The sink that receives requests, and the transport to other members (None if disabled)."""

    request_sink: RequestSink
    transport: MemberTransport | None


def check_name(name: str) -> None:
    """Raise a `ConfigurationError` if the server's name is too long for the membership messages."""
    from ..membership.member_table import MAX_NAME_LENGTH

    if len(name) > MAX_NAME_LENGTH:
        raise config.ConfigurationError(
            f"members: the name {name!r} is longer than {MAX_NAME_LENGTH} characters"
        )


def _log_event(event: ReportEvent) -> None:
    details = "".join(f" {key}={value}" for key, value in event.details.items())
    logger.info(MEMBER_EVENT, event.event.removeprefix("member."), details)


def set_up_members(
    configuration: config.Config,
    options: MembersOptions | None,
    event_loop: EventLoop,
    pool: WorkerPool,
    registry: ServiceRegistry,
) -> Membership:
    """Set up membership if it is enabled; its observer then receives every request before the event loop.

    Raises `OSError` if the transport can't listen.
    """
    if options is None:
        return Membership(event_loop, None)
    from ..membership.observer import ServerObserver
    from ..membership.transport import MemberTransport

    observer = ServerObserver(
        event_loop,
        VERSION,
        lambda: registry.is_reachable,
        pool.bound.is_set,
        lambda: event_loop.executions.calls_in_flight,
    )
    transport = MemberTransport(
        options.listen_address,
        options.key.encode(),
        configuration.name,
        "{}:{}".format(*configuration.listen),
        options.contact_addresses,
        external_signals=observer.external_signals,
        metadata=observer.metadata,
        report=_log_event,
        routes=options.route_addresses,
        spare_ports=options.spare_ports,
    )
    return Membership(observer, transport)


def members_component(transport: MemberTransport | None) -> Component | None:
    """The lifecycle component that joins the other members, announces a drain to them, and leaves."""
    if transport is None:
        return None
    return Component(
        "members",
        ("server",),
        start=transport.start,
        on_shutdown=lambda shutdown: transport.drain(),
        stop=lambda shutdown: transport.close(),
    )
