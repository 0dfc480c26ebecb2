"""One aggregated stream: clusters and their endpoints together. No I/O, no clock; a transport moves it.

Endpoints are asked for by the names that the clusters give, as soon as they give them, and let go of when
no cluster that counts needs them. Each method gives what is to be sent, in order, and which clusters have
changed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from .known import Decode, Event, Resources, What
from .machine import Delta, DeltaRequest, DeltaResponse, Machine, Request, Response, StateOfTheWorld
from .view import Change, View

CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ASSIGNMENT = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

Asks = TypeVar("Asks")
Tells = TypeVar("Tells")


@dataclass(slots=True)
class Step(Generic[Asks]):
    """What comes of something."""

    send: list[Asks] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)  # endpoints that were asked for and did not come


class Session(Generic[Asks, Tells]):
    """`make_state_of_the_world` and `make_delta` make one."""

    def __init__(self, clusters: Machine[Asks, Tells], endpoints: Machine[Asks, Tells]) -> None:
        self.view = View()
        self._clusters, self._endpoints = clusters, endpoints
        # A first request without names would ask for all endpoints that there are: it waits for a name.
        self._asked = False

    def opened(self, now: int) -> Step[Asks]:
        """A stream is up."""
        step: Step[Asks] = Step()
        self._asked = False
        step.send.append(self._clusters.opened(now))
        self._ask(step, now)
        return step

    def closed(self) -> None:
        """It has ended. All that counts counts on."""
        self._clusters.closed()
        self._endpoints.closed()

    def received(self, type_url: str, response: Tells, now: int) -> Step[Asks]:
        """A response of a type; one that nobody asked for is answered by nothing."""
        step: Step[Asks] = Step()
        machine = {CLUSTER: self._clusters, ASSIGNMENT: self._endpoints}.get(type_url)
        if machine is None or (machine is self._endpoints and not self._asked):
            return step
        answer, events = machine.received(response)
        if answer is not None:
            step.send.append(answer)
        for event in events:
            step.changes += self._cluster(event) if machine is self._clusters else self._assignment(event)
        self._ask(step, now)
        return step

    def _cluster(self, event: Event) -> list[Change]:
        updated = event.what is What.UPDATED
        return self.view.cluster(event.value) if updated else self.view.no_cluster(event.name)

    def _assignment(self, event: Event) -> list[Change]:
        """That a resource is gone or missing says nothing of the endpoints: the last good ones count on,
        until their cluster is gone or says something else."""
        return self.view.assignment(event.value) if event.what is What.UPDATED else []

    def _ask(self, step: Step[Asks], now: int) -> None:
        """Have endpoints asked for whose names are needed, and for no others."""
        needed, known = self.view.services(), set(self._endpoints.resources.known)
        more = self._endpoints.subscribe(sorted(needed - known), now)
        less = self._endpoints.unsubscribe(sorted(known - needed))
        if self._asked:
            step.send += [asked for asked in (more, less) if asked is not None]
        elif needed and self._clusters.resources.open:
            self._asked = True
            step.send.append(self._endpoints.opened(now))

    def due(self) -> int | None:
        """When to `look`."""
        return self._endpoints.resources.due()

    def look(self, now: int) -> Step[Asks]:
        """What did not come in time."""
        return Step(missing=[event.name for event in self._endpoints.resources.look(now)])


def make_state_of_the_world(cluster: Decode, assignment: Decode) -> Session[Request, Response]:
    """For a stream on which each response brings all that is asked for."""
    return Session(
        StateOfTheWorld(CLUSTER, Resources(cluster), True),
        StateOfTheWorld(ASSIGNMENT, Resources(assignment, ()), False),
    )


def make_delta(cluster: Decode, assignment: Decode) -> Session[DeltaRequest, DeltaResponse]:
    """For a stream on which each response brings what has changed."""
    return Session(Delta(CLUSTER, Resources(cluster)), Delta(ASSIGNMENT, Resources(assignment, ())))
