"""The members' figures in Prometheus' text form, by its client library; imported at the first fetch."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from .partition_detector import Verdict
from .transport import STATUSES, MembershipSnapshot

PREFIX = "cairnvane_members"


class _Collector:
    """One snapshot as metrics: made for one fetch."""

    def __init__(self, seen: MembershipSnapshot) -> None:
        self._seen = seen

    def collect(self) -> Iterator[Metric]:
        """All of them."""
        seen, sight = self._seen, self._seen.assessment
        lives = GaugeMetricFamily(f"{PREFIX}_lives", "Lives that are known, by status.", labels=["status"])
        for status in STATUSES:
            lives.add_metric([status], sum(one.status == status for one in seen.members))
        yield lives
        verdicts = GaugeMetricFamily(
            f"{PREFIX}_sight", "1 for what this server takes its place for.", labels=["verdict"]
        )
        for verdict in Verdict:
            verdicts.add_metric([verdict.value], verdict is sight.verdict)
        yield verdicts
        for name, what, value in (
            ("sight_confidence", "How sure that is, 0 to 1.", sight.confidence),
            ("surely_there", "Lives that are surely there, this one counted.", sight.min_members),
            ("at_most_there", "Lives that may be there.", sight.max_members),
            ("epoch", "Rises whenever the view changes.", sight.epoch),
            ("doubt", "How far this server doubts its own health, 0 to 8.", seen.health_score),
            ("probe_loss", "Share of probes of the living that got no answer.", seen.ping_loss),
        ):
            yield GaugeMetricFamily(f"{PREFIX}_{name}", what, value=value)
        events = CounterMetricFamily(f"{PREFIX}_events", "What was counted, by kind.", labels=["kind"])
        for kind, count in sorted(seen.counts.items()):
            events.add_metric([kind.replace(" ", "_")], count)
        yield events


def text(seen: MembershipSnapshot) -> bytes:
    """For a fetch."""
    registry = CollectorRegistry()
    registry.register(_Collector(seen))
    return generate_latest(registry)
