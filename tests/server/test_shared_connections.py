"""The limit on connections that concurrent incarnations of a server share."""

from __future__ import annotations

from pathlib import Path

from cairnvane.claims import Incarnations
from cairnvane.claims.incarnations import PublishedPart
from cairnvane.server.shared_connections import LIST_INTERVAL_US, SharedConnections

LIMIT = 64


def _incarnation(folder: Path) -> tuple[Incarnations, SharedConnections]:
    incarnations = Incarnations(folder)
    incarnations.enter()
    return incarnations, SharedConnections(incarnations, LIMIT)


def test_two_incarnations_never_have_more_connections_than_one_but_for_the_first_ones(tmp_path: Path) -> None:
    old, old_connections = _incarnation(tmp_path)
    old_connections.publish(60)
    assert old_connections.limit(0) == LIMIT
    new, new_connections = _incarnation(tmp_path)
    assert new_connections.limit(0) == LIMIT // 8
    assert old_connections.limit(LIST_INTERVAL_US) == LIMIT // 2
    old_connections.publish(20)
    assert new_connections.limit(1) == LIMIT - 20
    old.leave()
    assert new_connections.limit(LIST_INTERVAL_US) == LIMIT
    new.leave()


def test_other_version_that_publishes_another_form_is_taken_to_use_half(tmp_path: Path) -> None:
    """Guards against the end of the listener's thread, in which the form would be an error."""
    old, _ = _incarnation(tmp_path)
    old.publish(PublishedPart.CONNECTIONS, b"another form")
    _, connections = _incarnation(tmp_path)
    assert connections.limit(0) == LIMIT // 2


def test_earlier_version_that_publishes_nothing_is_taken_to_use_half(tmp_path: Path) -> None:
    old = Incarnations(tmp_path)
    old.enter()
    _, connections = _incarnation(tmp_path)
    assert connections.limit(0) == LIMIT // 2
