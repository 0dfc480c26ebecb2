"""Reloads the configuration while the server runs, since the addresses of its peers may change."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from .. import config
from ..net.service_registry import ServiceRegistry
from ..net.worker_pool import WorkerPool
from .event_loop import EventLoop

logger = logging.getLogger(__name__)


class Reloader:
    """Reads the configuration again and switches the server's connections to the addresses in it."""

    def __init__(
        self,
        current: config.Config,
        event_loop: EventLoop,
        pool: WorkerPool,
        registry: ServiceRegistry,
    ) -> None:
        self.current = current  # the configuration in use
        self._event_loop = event_loop
        self._pool = pool
        self._registry = registry

    def reload(self, environment: Mapping[str, str]) -> None:
        """Switch to the configuration that `environment` names; an invalid one has no effect."""
        try:
            new = config.load(environment)
        except config.ConfigurationError as error:
            logger.warning("configuration not reloaded, the previous one stays in use: %s", error)
            return
        self._event_loop.move_vault(new.vault)
        self._pool.move(new.pool)
        self._registry.move(new.registry)
        logger.info(
            "configuration reloaded: pool %s:%s, vault %s:%s, roster %s:%s",
            *new.pool,
            *new.vault,
            *new.registry,
        )
        for key in config.keys_that_need_restart(self.current, new):
            logger.warning("configuration key %s: the new value takes effect at the next start", key)
        self.current = new
