"""Plays a scenario: starts the fleet, brings the load, does what the schedule says, has it all judged."""

from __future__ import annotations

import contextlib
import json
import os
import statistics
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

from ..stand_ins.vault import FALLEN_S, StandInRoster, StandInVault
from . import observations
from .checker import AROUND_S, SLACK_S, Span, Verdict, judge, share
from .links import Link, Network
from .load import PATIENCE_S, Callers
from .nodes import Node
from .observations import Kill, Traffic
from .peers import Peers
from .scenario import SILENCING, Scenario
from .schedule import Step, draw, on_link

# A line of the live table.
LIVE_EVERY_S = 1.0


def cpu_share(pid: int) -> float:
    """Of a core, over the life of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    hertz = os.sysconf("SC_CLK_TCK")
    used, began = (int(fields[11]) + int(fields[12])) / hertz, int(fields[19]) / hertz
    return used / max(1e-9, time.clock_gettime(time.CLOCK_BOOTTIME) - began)


def told_sick(steps: Sequence[Step]) -> float:
    """For how many seconds the scenario has the vault sick."""
    return sum(step.fault.for_ for step in steps if step.begins and step.who == "vault")


class Events:
    """The rig's record: one JSON object a line, times in seconds of the load."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("w") if path is not None else None
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def begin(self) -> None:
        """Times count from now on."""
        self._start = time.monotonic()

    def __call__(self, what: str, **more: Any) -> None:
        with self._lock:
            if self._file is not None:
                at = round(time.monotonic() - self._start, 3)
                self._file.write(json.dumps({"t": at, "event": what} | more) + "\n")

    def close(self) -> None:
        """No more of them."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


class Play:
    """One play of a scenario."""

    def __init__(
        self,
        told: Scenario,
        seed: int,
        folder: Path,
        *,
        events: Path | None = None,
        say: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._told, self._seed, self._say = told, seed, say
        self._steps = draw(told, seed)
        self._event = Events(events)
        self._network = Network()
        self._vault = StandInVault(told.vault.call_ms / 1e3, told.vault.slots, told.vault.falls_at)
        self._roster = StandInRoster()
        self._peers = Peers(told, seed, self._network) if told.members else None
        self.nodes = [
            Node(
                told,
                number,
                seed,
                folder / name,
                self._network,
                self._vault.address,
                self._roster.address,
                self._event,
                lambda number=number: self._refused(number),  # type: ignore[misc]
                self._peers,
            )
            for number, name in enumerate(told.names)
        ]
        self._callers = Callers(told, seed, self.nodes)
        self._began: dict[int, float] = {}
        self._spans: list[Span] = []
        self._kills: list[Kill] = []
        self._traffic, self._counted = Traffic(told.servers), (0, 0)

    def run(self) -> Verdict:
        """All of it."""
        try:
            with self._side_by_side(node.start for node in self.nodes):
                pass
            started = all(node.up for node in self.nodes)
            self._event.begin()
            if self._peers is not None:
                self._counted = self._peers.traffic()
            load = threading.Thread(target=self._callers.play, daemon=True)
            if started:
                load.start()
                self._follow(load)
                load.join()
                self._callers.settle(max(PATIENCE_S.values()) + SLACK_S)
            return self._end()
        finally:
            self._event.close()

    @contextlib.contextmanager
    def _side_by_side(self, tasks: Iterator[Callable[[], None]]) -> Iterator[None]:
        threads = [threading.Thread(target=task, daemon=True) for task in tasks]
        for thread in threads:
            thread.start()
        yield
        for thread in threads:
            thread.join()

    def _follow(self, load: threading.Thread) -> None:
        """The schedule, and the live table, while the load lasts."""
        steps, shown = list(self._steps), 0.0
        while load.is_alive():
            now = self._callers.now()
            while steps and steps[0].at <= now:
                self._do(steps.pop(0))
            if now >= shown + LIVE_EVERY_S:
                shown += LIVE_EVERY_S
                self._show(shown)
            next_at = min(steps[0].at if steps else self._told.seconds, shown + LIVE_EVERY_S)
            load.join(max(0.005, min(next_at - self._callers.now(), LIVE_EVERY_S)))

    # --- the schedule

    def _do(self, step: Step) -> None:
        """In a thread of its own where it takes time: the next step must not wait for it."""
        self._event("fault", **step.told())
        self._say(f"{step.at:6.1f} s  {step.line()}")
        if step.links:
            for ends in step.links:
                self._on_link(step, *ends)
        elif step.who == "vault":
            self._on_vault(step)
        elif step.do == "surge":
            self._callers.surge = step.fault.times if step.begins else 1.0
        else:
            threading.Thread(target=self._on_node, args=(step,), daemon=True).start()

    def _refused(self, number: int) -> None:
        """It takes no more connections: what met that was never read."""
        now = self._callers.now()
        self._spans.append(Span(number, now, now))

    def _span(self, step: Step, nodes: list[int]) -> None:
        if step.begins:
            self._began[step.number] = step.at
        else:
            self._spans += [Span(node, self._began[step.number], step.at) for node in nodes]

    def _on_link(self, step: Step, first: str, second: str) -> None:
        names = self._told.names
        fault = on_link(step.fault) if step.begins else None
        if first in names and second in names:
            assert self._peers is not None
            pair = names.index(first), names.index(second)
            return self._peers.set(*pair, step.fault.way, step.number, fault)
        node, other = (first, second) if first in names else (second, first)
        # `there` is from the first that is named; the rig's own links are named from whoever connects.
        connects = other if other == "balancers" else node
        way = step.fault.way
        if way != "both" and connects != first:
            way = "back" if way == "there" else "there"
        for link in self._links(node, other):
            self._network.set(link, way, step.number, fault)
        if other == "balancers":
            self._span(step, [names.index(node)])

    def _links(self, node: str, other: str) -> Sequence[Link]:
        return self.nodes[self._told.names.index(node)].links[other]

    def _on_vault(self, step: Step) -> None:
        if step.do == "slow":
            self._vault.slower = step.fault.times if step.begins else 1.0
        elif step.do == "down":
            self._vault.down = step.begins
        else:
            self._vault.silent = step.begins

    def _on_node(self, step: Step) -> None:
        number = self._told.names.index(step.who)
        node = self.nodes[number]
        if step.do == "kill":
            # Who is held up or stopped hears of it later.
            silenced = {one.who for one in self._steps if one.do in SILENCING and one.fault.for_}
            others = {other.name for other in self.nodes if other.up} - {node.name} - silenced
            self._kills.append(Kill(self._callers.now(), node.name, frozenset(others)))
            node.kill()
            self._spans.append(Span(number, step.at, self._callers.now()))
        elif step.do == "start":
            node.start(step.fault.by)
        elif step.do == "stop":
            self._span(step, [number])
            node.stop(step.begins)
        elif step.do == "clock":
            node.order(step.do, step.fault.by)
        elif step.do in ("hold", "busy"):
            if step.begins:
                node.order(step.do, step.fault.for_)
                began = self._callers.now()
                self._spans.append(Span(number, step.at, began + step.fault.for_))
        elif step.do == "upgrade":
            if (took := node.upgrade(self._callers.now)) is not None:
                self._spans.append(Span(number, *took, handover=True))
        else:
            # What was read is answered; what meets the closed door is not, and goes elsewhere.
            self._spans.append(Span(number, step.at, step.at))
            node.leave()

    # --- what is seen

    def _count(self) -> None:
        """What went between the servers within this second."""
        if self._peers is not None:
            before, self._counted = self._counted, self._peers.traffic()
            self._traffic.bytes_by_second.append(self._counted[0] - before[0])
            self._traffic.datagrams += self._counted[1] - before[1]

    def _show(self, second: float) -> None:
        """A line of the live table."""
        self._count()
        asked = list(self._callers.asked)
        ends: Counter[str] = Counter()
        for one in asked[-400:]:
            for tried in list(one.tries):
                if tried.status is not None and second - 1 <= tried.ended < second:
                    ends[
                        "served"
                        if tried.status == 200
                        else "refused"
                        if tried.status in (429, 503)
                        else "broken"
                        if tried.status == 0
                        else "failed"
                    ] += 1
        states = " ".join(f"{node.name}:{'up' if node.up else 'DOWN'}" for node in self.nodes)
        in_time = share(asked, second - 3, second - 2) if second >= 3 else 1.0
        told = " ".join(f"{name} {ends[name]:3}" for name in ("served", "refused", "failed", "broken"))
        self._say(f"{second:6.1f} s  {told}  in time {in_time:4.2f}  {states}")
        self._event("second", **ends, up=[node.up for node in self.nodes], vault=self._vault.in_hand)

    def _agreed_s(self) -> float | None:
        """Seconds until all that are up see each other; None: not within the time that is stated."""
        within = self._told.expect.agree_within
        if self._peers is None or within is None:
            return None
        start = time.monotonic()
        while (took := time.monotonic() - start) <= within:
            if self._peers.agree([number for number, node in enumerate(self.nodes) if node.up]):
                return took
            time.sleep(0.05)
        return None

    def _views(self, verdict: Verdict, agreed: float | None, cpu: list[float]) -> None:
        """What the scenario states of the servers' views of each other."""
        if self._peers is None:
            return
        hurt = {step.who for step in self._steps if step.do in SILENCING}
        said = [
            one
            for node in self.nodes
            for version in node.versions
            for one in observations.read(
                node.name, version.life.lines, version.life.said_at, self._callers.start
            )
        ]
        said.sort(key=lambda one: one.at)
        verdict.views, short = observations.judge(self._told, said, self._kills, hurt, self._traffic, agreed)
        verdict.views.cpu = statistics.mean(cpu) if cpu else 0.0
        verdict.short += short

    def _lost_around(self, verdict: Verdict) -> None:
        """What servers said, and their links saw, around the tries that were lost."""
        for number, begins, ends in verdict.lost_at:
            node = self.nodes[number]
            for version in node.versions:
                for at, line in zip(version.life.said_at, version.life.lines, strict=False):
                    at -= self._callers.start
                    if begins - AROUND_S < at < ends + AROUND_S:
                        verdict.lost_tries.append(f"{node.name} at {at:.2f} s: {line}")
            verdict.lost_tries.append(f"{node.name}: {dict(node.links['balancers'][0].counts)}")

    def _end(self) -> Verdict:
        cpu = [cpu_share(node.versions[-1].life.process.pid) for node in self.nodes if node.up]
        agreed = self._agreed_s()
        with self._side_by_side(node.end for node in self.nodes):
            pass
        first = self._steps[0].at if self._steps else self._told.seconds
        facts = [node.facts() for node in self.nodes]
        verdict = judge(self._told, self._seed, self._callers.asked, facts, self._spans, first)
        verdict.vault_most, verdict.vault_fell = self._vault.most_in_hand, self._vault.fell
        sick_s = told_sick(self._steps) + self._vault.fell * FALLEN_S
        verdict.sick_calls = self._vault.met_sick / sick_s if sick_s else 0.0
        verdict.vault_over = self._vault.over_s / self._told.seconds
        verdict.most_crowded = max(node.crowded for node in self.nodes) / self._told.server.cores
        verdict.lag_ms = self._callers.lag_s * 1e3
        self._views(verdict, agreed, cpu)
        self._lost_around(verdict)
        verdict.trouble = [line for node in self.nodes for line in node.trouble]
        self._callers.close()
        self._network.close()
        self._vault.close()
        self._roster.close()
        self._event("verdict", **verdict.as_json())
        return verdict
