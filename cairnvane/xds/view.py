"""Clusters together with their endpoints. No I/O: make before break.

A cluster counts once its endpoints are there. While a changed one still waits for its endpoints, the one
before it counts on; so it does if the endpoints' resource goes missing later, since no answer is no
statement about them. An assignment without endpoints is a statement, and counts.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..load_balancing.cluster import Assignment, Cluster


@dataclass(frozen=True, slots=True)
class Ready:
    """A cluster that counts."""

    cluster: Cluster
    assignment: Assignment


@dataclass(frozen=True, slots=True)
class Change:
    """What has become of a cluster; `ready` None: it is gone."""

    name: str
    ready: Ready | None


class View:
    """What counts at this moment."""

    def __init__(self) -> None:
        self.ready: dict[str, Ready] = {}
        self._clusters: dict[str, Cluster] = {}  # the newest of each, whether it counts or not
        self._assignments: dict[str, Assignment] = {}

    def services(self) -> set[str]:
        """The names that endpoints are needed for: those that count, and those that are to."""
        wanted = {one.service for one in self._clusters.values() if one.inline is None}
        return wanted | {one.cluster.service for one in self.ready.values() if one.cluster.inline is None}

    def waiting(self) -> set[str]:
        """Clusters whose newest form does not count yet."""
        return {
            name
            for name, one in self._clusters.items()
            if name not in self.ready or self.ready[name].cluster != one
        }

    def cluster(self, cluster: Cluster) -> list[Change]:
        """A cluster is new, or has changed."""
        self._clusters[cluster.name] = cluster
        return self._look(cluster.name)

    def no_cluster(self, name: str) -> list[Change]:
        """It is gone, and its endpoints with it; calls on their way are not this one's matter."""
        self._clusters.pop(name, None)
        gone = self.ready.pop(name, None)
        self._tidy()
        return [Change(name, None)] if gone is not None else []

    def assignment(self, assignment: Assignment) -> list[Change]:
        """Endpoints have come, or have changed. Those that nobody asked for are passed over."""
        if assignment.name not in self.services():
            return []
        self._assignments[assignment.name] = assignment
        return [change for name in sorted(self._clusters) for change in self._look(name)]

    def _look(self, name: str) -> list[Change]:
        cluster, before = self._clusters[name], self.ready.get(name)
        found = cluster.inline or self._assignments.get(cluster.service)
        if found is None:
            # Its endpoints are not there: the one before goes on, with whatever its own have become.
            if before is None or before.cluster.inline is not None:
                return []
            cluster, found = before.cluster, self._assignments.get(before.cluster.service, before.assignment)
        after = Ready(cluster, found)
        if after == before:
            return []
        self.ready[name] = after
        self._tidy()
        return [Change(name, after)]

    def _tidy(self) -> None:
        wanted = self.services()
        for name in [name for name in self._assignments if name not in wanted]:
            del self._assignments[name]
