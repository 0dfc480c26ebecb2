"""Tenant quotas: one token bucket per tenant, filled at this instance's share of the quota."""

from __future__ import annotations

from ..contract.settings import Settings
from . import parameters
from .estimators import TokenBucket


class TenantQuotas:
    """Prevents one tenant from displacing the others: requests over its quota get a reduced weight."""

    def __init__(self, settings: Settings, now: int) -> None:
        self._greatest_weight = max(c.priority_weight for c in settings.classes) or 1.0
        rates = [1e-6 * tenant.quota / settings.replicas for tenant in settings.tenants]
        self._buckets = [TokenBucket(rate, parameters.TENANT_BURST_TIME_US, now) for rate in rates]

    def is_within(self, tenant: int, priority_weight: float, now: int) -> bool:
        """Whether the tenant has tokens left; up to half of them are reserved for requests of more weight."""
        return self.consume(tenant, 0, now) > (1 - priority_weight / self._greatest_weight) / 2

    def consume(self, tenant: int | None, tokens: int, now: int) -> float:
        """Remove tokens and return the fraction of the tenant's bucket that is left; 1 without a tenant."""
        if tenant is None or tenant >= len(self._buckets):
            return 1.0
        return self._buckets[tenant].consume(tokens, now)
