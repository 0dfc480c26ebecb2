"""Quotas of tenants and the weight of requests over them."""

from __future__ import annotations

from dataclasses import replace

import pytest
from admission_helpers import CLASSES, IDEMPOTENT, KEYED, MS, Place, actions_of, arrive, start_host

from cairnvane.contract.actions import Reject, StartRun
from cairnvane.contract.settings import Tenant

TENANTS = (Tenant("large", 40.0), Tenant("small", 40.0))


def test_a_tenant_beyond_its_quota_does_not_displace_the_rest() -> None:
    """Guards against serving a tenant that sends three times its quota in full: others got 0.62 of theirs."""
    host = start_host(
        tenants=TENANTS,
        over_quota_fraction=0.05,
        replicas=20,
        classes=(replace(CLASSES[IDEMPOTENT], client_timeout=60_000 * MS, latency_objective=50_000 * MS),),
    )
    for request_id in range(1, 40):
        arrive(host, request_id, tenant=0)
    arrive(host, 50, tenant=1)
    for request_id in range(1, 21):  # the requests within its quota start first
        host.finish(request_id)
    assert host.requests[50].place is Place.RUNNING
    assert host.count(Place.QUEUED)


def test_the_last_tokens_are_kept_for_the_greatest_weight() -> None:
    """Guards against counting half of the class of greatest weight as over a quota that it never fills."""
    host = start_host(tenants=(Tenant("one", 40.0),), over_quota_fraction=0.1, replicas=20)
    for request_id in range(1, 31):
        arrive(host, request_id, IDEMPOTENT, tenant=0)
    arrive(host, 40, KEYED, tenant=0)
    requests = host.controller.requests.by_id
    assert [requests[number].weight for number in (1, 30, 40)] == [1.0, 0.1, 3.0]


def test_a_client_rejected_beyond_its_quota_is_asked_not_to_retry() -> None:
    """A tenant is over its quota on every server, so a retry only costs a handshake and a reading."""
    host = start_host(memory=200.0, tenants=(Tenant("none", 0.0), TENANTS[1]), over_quota_fraction=0.05)
    arrive(host, 1, memory=20.0, tenant=1)
    assert [action.no_retry for action in actions_of(arrive(host, 2, memory=20.0, tenant=1), Reject)] == [
        False
    ]
    assert [action.no_retry for action in actions_of(arrive(host, 3, memory=20.0, tenant=0), Reject)] == [
        True
    ]


@pytest.mark.parametrize("tenants", [(), (Tenant("none", 0.0),), TENANTS])
def test_unusual_tenants_leave_no_request_unanswered(tenants: tuple[Tenant, ...]) -> None:
    host = start_host(tenants=tenants, over_quota_fraction=0.0)
    for request_id in range(1, 30):
        arrive(host, request_id, tenant=(0, 1, 99)[request_id % 3])
        host.advance(40 * MS)
    host.advance(4_000 * MS)
    assert all(request.answered for request in host.requests.values())


def test_idle_cores_serve_a_tenant_beyond_its_quota() -> None:
    host = start_host(tenants=(Tenant("none", 0.0), TENANTS[1]), over_quota_fraction=0.05)
    for request_id in range(1, 30):
        assert actions_of(arrive(host, request_id, tenant=0), StartRun)
        host.advance(20 * MS)
        host.finish(request_id)
