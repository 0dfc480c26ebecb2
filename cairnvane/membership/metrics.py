"""Membership metrics in the Prometheus text format; this module is imported at the first fetch."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from .partition_detector import Verdict
from .snapshot import STATUSES, MembershipSnapshot

PREFIX = "cairnvane_members"


class _Collector:
    """Converts one snapshot to metrics, for one fetch."""

    def __init__(self, snapshot: MembershipSnapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterator[Metric]:
        """All metrics, in the order of the text format."""
        yield self._instances_by_status()
        yield self._verdict()
        yield from self._plain_gauges()
        yield self._events()

    def _instances_by_status(self) -> Metric:
        family = GaugeMetricFamily(f"{PREFIX}_lives", "Lives that are known, by status.", labels=["status"])
        for status in STATUSES:
            count = sum(member.status == status for member in self._snapshot.members)
            family.add_metric([status], count)
        return family

    def _verdict(self) -> Metric:
        family = GaugeMetricFamily(
            f"{PREFIX}_sight", "1 for what this server takes its place for.", labels=["verdict"]
        )
        for verdict in Verdict:
            family.add_metric([verdict.value], verdict is self._snapshot.assessment.verdict)
        return family

    def _plain_gauges(self) -> Iterator[Metric]:
        snapshot = self._snapshot
        assessment = snapshot.assessment
        gauges: tuple[tuple[str, str, float], ...] = (
            ("sight_confidence", "How sure that is, 0 to 1.", assessment.confidence),
            ("surely_there", "Lives that are surely there, this one counted.", assessment.min_members),
            ("at_most_there", "Lives that may be there.", assessment.max_members),
            ("epoch", "Rises whenever the view changes.", assessment.epoch),
            ("doubt", "How far this server doubts its own health, 0 to 8.", snapshot.health_score),
            ("probe_loss", "Share of probes of the living that got no answer.", snapshot.ping_loss),
        )
        for name, documentation, value in gauges:
            yield GaugeMetricFamily(f"{PREFIX}_{name}", documentation, value=value)

    def _events(self) -> Metric:
        family = CounterMetricFamily(f"{PREFIX}_events", "What was counted, by kind.", labels=["kind"])
        for kind, count in sorted(self._snapshot.counts.items()):
            family.add_metric([kind.replace(" ", "_")], count)
        return family


def text(snapshot: MembershipSnapshot) -> bytes:
    """The response body for one fetch."""
    registry = CollectorRegistry()
    registry.register(_Collector(snapshot))
    return generate_latest(registry)
