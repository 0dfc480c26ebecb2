"""Tenant quotas: one token bucket per tenant, filled with this instance's part of its quota."""

from __future__ import annotations

from ..contract.settings import Settings
from . import parameters
from .estimators import TokenBucket


class TenantQuotas:
    """Guards against one tenant displacing the rest: only what is beyond its quota counts for less."""

    def __init__(self, settings: Settings, now: int) -> None:
        self._greatest_weight = max(c.priority_weight for c in settings.classes) or 1.0
        rates = [1e-6 * tenant.quota / settings.replicas for tenant in settings.tenants]
        self._buckets = [TokenBucket(rate, parameters.TENANT_BURST_TIME, now) for rate in rates]

    def is_within(self, tenant: int, priority_weight: float, now: int) -> bool:
        """Whether the tenant has tokens left; the last half is kept for its requests of greatest weight."""
        return self.take(tenant, 0, now) > (1 - priority_weight / self._greatest_weight) / 2

    def take(self, tenant: int | None, tokens: int, now: int) -> float:
        """The fraction of the tenant's bucket that is left after taking these tokens; 1 without a tenant."""
        if tenant is None or tenant >= len(self._buckets):
            return 1.0
        return self._buckets[tenant].take(tokens, now)
