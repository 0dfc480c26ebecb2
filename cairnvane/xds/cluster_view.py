"""Clusters combined with their endpoints, by the rule 'make before break'. No I/O.

A cluster becomes active once its endpoints are known. While a changed cluster waits for its endpoints, its
previous version stays active. It also stays active if the resource of its endpoints goes missing later, since
a missing resource says nothing about the endpoints. An assignment without endpoints, however, is applied.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..load_balancing.cluster import Assignment, Cluster


@dataclass(frozen=True, slots=True)
class ReadyCluster:
    """An active cluster."""

    cluster: Cluster
    assignment: Assignment


@dataclass(frozen=True, slots=True)
class ClusterChange:
    """A change of a cluster; `ready` is None if it was removed."""

    name: str
    ready: ReadyCluster | None


class ClusterView:
    """The active clusters, and the clusters that wait for their endpoints."""

    def __init__(self) -> None:
        self.ready: dict[str, ReadyCluster] = {}
        self._clusters: dict[str, Cluster] = {}  # the newest version of each, active or not
        self._assignments: dict[str, Assignment] = {}

    def needed_services(self) -> set[str]:
        """The service names whose endpoints are needed, for active and for waiting clusters."""
        active = [ready.cluster for ready in self.ready.values()]
        clusters = [*self._clusters.values(), *active]
        return {cluster.service_name for cluster in clusters if cluster.inline_assignment is None}

    def pending_clusters(self) -> set[str]:
        """Clusters whose newest version is not active yet."""
        return {
            name
            for name, cluster in self._clusters.items()
            if name not in self.ready or self.ready[name].cluster != cluster
        }

    def update_cluster(self, cluster: Cluster) -> list[ClusterChange]:
        """Apply a new or changed cluster."""
        self._clusters[cluster.name] = cluster
        return self._activate(cluster.name)

    def remove_cluster(self, name: str) -> list[ClusterChange]:
        """Remove a cluster and its endpoints; calls in flight are not affected."""
        self._clusters.pop(name, None)
        removed = self.ready.pop(name, None)
        self._drop_unneeded_assignments()
        return [ClusterChange(name, None)] if removed is not None else []

    def update_assignment(self, assignment: Assignment) -> list[ClusterChange]:
        """Apply new or changed endpoints; those that are not needed are ignored."""
        if assignment.name not in self.needed_services():
            return []
        self._assignments[assignment.name] = assignment
        return [change for name in sorted(self._clusters) for change in self._activate(name)]

    def _activate(self, name: str) -> list[ClusterChange]:
        """Activate the newest version whose endpoints are known."""
        previous = self.ready.get(name)
        current = self._newest_ready(name)
        if current is None or current == previous:
            return []
        self.ready[name] = current
        self._drop_unneeded_assignments()
        return [ClusterChange(name, current)]

    def _newest_ready(self, name: str) -> ReadyCluster | None:
        """The newest version if its endpoints are known; else the active one with its newest endpoints."""
        cluster = self._clusters[name]
        assignment = cluster.inline_assignment or self._assignments.get(cluster.service_name)
        if assignment is not None:
            return ReadyCluster(cluster, assignment)
        active = self.ready.get(name)
        if active is None or active.cluster.inline_assignment is not None:
            return None
        newest = self._assignments.get(active.cluster.service_name, active.assignment)
        return ReadyCluster(active.cluster, newest)

    def _drop_unneeded_assignments(self) -> None:
        needed = self.needed_services()
        unneeded = [name for name in self._assignments if name not in needed]
        for name in unneeded:
            del self._assignments[name]
