"""The design's ordinary path, and the limits on the module that holds it."""

from __future__ import annotations

import ast
import random
from pathlib import Path

from helpers import MS, SAFE, UNSAFE, Host, host

from cairnvane.admission import controller, parameters
from cairnvane.contract.actions import Action
from cairnvane.contract.events import Arrival, Outcome, RunFinished

MODULE = Path(controller.__file__)


def known_rate(h: Host) -> None:
    """Four finished runs of 100 ms: 40 requests a second on four cores."""
    h.send(*(Arrival(rid, SAFE) for rid in range(1, 5)))
    h.now += 100 * MS
    for rid in range(1, 5):
        h.requests[rid].where, h.requests[rid].answered = "over", True
    h.send(*(RunFinished(rid, Outcome.OK, 100 * MS) for rid in range(1, 5)))


def hold(h: Host, count: int) -> None:
    """Have this many held, cores taken, of a class without a finished run, which leaves p alone."""
    for rid in range(1_000, 1_000 + h.settings.cores + count):
        h.send(Arrival(rid, UNSAFE))
    assert h.count("held") == count


def test_p_starts_at_one_and_needs_a_finished_run() -> None:
    h = host()
    assert h.control.p == 1.0
    hold(h, 60)
    h.send(Arrival(1, SAFE))
    assert h.control.p == 1.0


def test_p_falls_above_n_high_and_rises_below_n_low_and_is_clamped() -> None:
    h = host()
    known_rate(h)
    n_high = (1_000 - 100) * MS * h.control._rate()
    assert 30 < n_high < 40
    hold(h, 45)
    h.send(Arrival(1, SAFE))
    assert h.control.p == parameters.GAMMA
    for rid in range(2, 40):
        h.send(Arrival(rid, SAFE))
    assert h.control.p == parameters.P_MIN
    for rid in list(h.control.hold)[:-25]:
        h.gone(rid)
    h.send(Arrival(50, SAFE))
    assert h.control.p == parameters.P_MIN  # between N_low and N_high
    for rid in list(h.control.hold)[:-5]:
        h.gone(rid)
    h.send(Arrival(51, SAFE))
    assert h.control.p == parameters.P_MIN + parameters.ETA
    for rid in range(52, 56):
        h.send(Arrival(rid, SAFE))
    assert h.control.p == 1.0


def test_held_requests_start_oldest_first() -> None:
    h = host()
    for rid in (5, 3, 9, 1, 7, 2):
        h.send(Arrival(rid, SAFE))
    assert h.ids("running") == [5, 3, 9, 1]
    h.finish(5)
    assert h.ids("running") == [3, 9, 1, 7]


def test_the_run_limit_climbs_while_throughput_grows_and_turns_when_it_falls() -> None:
    """Seen from outside: how many run at once while runs finish at a given rate."""
    h = host(max_oversubscription=40.0)
    h.runnable = 9
    rid = 0

    def interval(per_second: int) -> int:
        """As many finished runs as a step needs, with requests held all the while."""
        nonlocal rid
        for _ in range(parameters.CLIMB_RUNS * h.settings.cores):
            while h.count("held") < 6:
                rid += 1
                h.send(Arrival(rid, SAFE, time_left=60_000 * MS))
            h.pass_time(1_000 * MS // per_second)
            h.finish(h.ids("running")[0])
        h.pass_time(60 * MS)
        return h.count("running")

    counts = [interval(rate) for rate in (80, 80, 60, 80, 105, 140, 100)]
    assert counts[:2] == [4, 4]  # at the floor
    assert counts[2:6] == [5, 6, 7, 8]  # throughput fell there, and then grew with each step
    assert counts[6] == 8
    h.finish(h.ids("running")[0])
    assert h.count("running") == 7  # it fell: one fewer, as soon as a run ends
    assert h.count("held")


def test_same_events_give_same_actions() -> None:
    def play() -> list[Action]:
        h = host(seed=7)
        source = random.Random(3)
        for rid in range(1, 300):
            h.pass_time(source.randrange(1, 30) * MS)
            h.send(Arrival(rid, source.randrange(3), memory=8.0))
            if h.ids("running") and source.random() < 0.5:
                h.finish(h.ids("running")[0])
        return h.log

    assert play() == play()


def names(node: ast.Import | ast.ImportFrom) -> list[str]:
    return [alias.name for alias in node.names]


def test_the_module_stays_small_and_pure() -> None:
    text = MODULE.read_text()
    lines = text.splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 560  # the operators run no longer module
    assert max(map(len, lines)) <= 110
    assert "cairnvane.contract" in (ast.get_docstring(ast.parse(text)) or "")
    imported = {
        name
        for node in ast.walk(ast.parse(text))
        if isinstance(node, (ast.Import, ast.ImportFrom))
        for name in ([getattr(node, "module", None)] if getattr(node, "module", None) else names(node))
    }
    pure = {"collections", "collections.abc", "dataclasses", "enum", "heapq", "random", "typing"}
    assert imported <= pure | {"__future__", "interface"}
