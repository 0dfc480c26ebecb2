"""Runs a scenario: starts the cluster, generates load, executes the schedule and checks the records."""

from __future__ import annotations

import json
import os
import statistics
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

from ..checkers.duplicate_run_checker import REJECTED_STATUSES, SERVED_STATUSES
from ..stand_ins.balancer import DISCONNECTED
from ..stand_ins.vault import OUTAGE_S, StandInRoster, StandInVault
from .checker import DEADLINE_SLACK_S, FAULT_MARGIN_S, FaultWindow, Verdict, check, served_share
from .links import Link, Network
from .load import CLIENT_TIMEOUTS_S, LoadGenerator
from .machine_memory import MemoryMonitor
from .nodes import (
    CALLS_WINDOW_S,
    MAX_ABANDONED_CALL_S,
    MAX_OVERSUBSCRIPTION,
    OVERSUBSCRIPTION_WINDOW_S,
    Node,
    NodeEnvironment,
)
from .observations import KilledServer, Observation, Traffic, check_views, read_observations
from .peers import Peers, PeerTraffic
from .scenario import SILENCING_FAULTS, Scenario
from .schedule import Step, draw, link_fault

# Interval of progress lines.
PROGRESS_INTERVAL_S = 1.0
# Number of latest requests whose attempts a progress line counts.
PROGRESS_REQUESTS = 400
# Faults of a balancer's link that end connections or delay answers.
BREAKING_LINK_FAULTS = ("cut", "stall", "reset", "drop", "cap")
# Faults during which a process reads nothing, so that it can't limit what is written to it.
FAULTS_WITHOUT_READING = ("stop", "hold", "busy")
# Minimum wait between two checks of the schedule.
MIN_WAIT_S = 0.005
AGREEMENT_POLL_S = 0.05
# Fields of /proc/PID/stat after the name of the process: clock ticks in user and system mode, and at start.
_STAT_USER_TICKS = 11
_STAT_SYSTEM_TICKS = 12
_STAT_START_TICKS = 19


def cpu_usage(pid: int) -> float:
    """CPU time of a process over its lifetime, as a fraction of one core."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks_per_second = os.sysconf("SC_CLK_TCK")
    used_s = (int(fields[_STAT_USER_TICKS]) + int(fields[_STAT_SYSTEM_TICKS])) / ticks_per_second
    started_s = int(fields[_STAT_START_TICKS]) / ticks_per_second
    return used_s / max(1e-9, time.clock_gettime(time.CLOCK_BOOTTIME) - started_s)


def scheduled_dependency_fault_s(steps: Sequence[Step]) -> float:
    """Total duration in seconds of the scenario's faults of the dependency."""
    return sum(step.fault.duration for step in steps if step.begins and step.who == "vault")


class EventLog:
    """The testbed's event log: one JSON object per line, with times in seconds of the load."""

    def __init__(self, path: Path | None) -> None:
        """Write to `path`; None discards all events."""
        self._file = path.open("w") if path is not None else None
        self._lock = threading.Lock()  # guards the file
        self._start = time.monotonic()

    def begin(self) -> None:
        """Start counting times now."""
        self._start = time.monotonic()

    def __call__(self, event_name: str, **details: Any) -> None:
        """Record an event with the time since `begin`."""
        with self._lock:
            if self._file is not None:
                at = round(time.monotonic() - self._start, 3)
                self._file.write(json.dumps({"t": at, "event": event_name} | details) + "\n")

    def close(self) -> None:
        """Close the file; later events are dropped."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def _outcome(status: int) -> str:
    """The name that progress lines use for attempts with this status."""
    if status in SERVED_STATUSES:
        return "served"
    if status in REJECTED_STATUSES:
        return "refused"
    return "broken" if status == DISCONNECTED else "failed"


class ScenarioRun:
    """One run of a scenario."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        *,
        events: Path | None = None,
        say: Callable[[str], None] = lambda line: None,
        mutant: str = "",
    ) -> None:
        """`events`: the file of the event log. `say` is called with each progress line.

        `mutant`: see `instrumented_server`.
        """
        self._mutant = mutant
        self._scenario = scenario
        self._seed = seed
        self._say = say
        self._steps = draw(scenario, seed)
        self._event = EventLog(events)
        self._network = Network()
        self._vault = StandInVault(
            scenario.vault.call_ms / 1e3, scenario.vault.slots, scenario.vault.falls_at, MAX_ABANDONED_CALL_S
        )
        self._roster = StandInRoster()
        self._peers = Peers(scenario, seed, self._network) if scenario.members else None
        self.nodes = self._create_nodes(folder)
        self._load = LoadGenerator(scenario, seed, self.nodes)
        for node in self.nodes:
            node.watch_requests(self._load.is_over)
        self._memory = MemoryMonitor(scenario, self.nodes, self._load)
        self._fault_began: dict[int, float] = {}  # by number of the fault
        self._windows: list[FaultWindow] = []
        self._kills: list[KilledServer] = []
        self._traffic = Traffic(scenario.servers)
        self._traffic_before = PeerTraffic(0, 0)

    def _create_nodes(self, folder: Path) -> list[Node]:
        environment = NodeEnvironment(
            self._network, self._vault.address, self._roster.address, self._event, self._peers
        )
        return [
            Node(
                self._scenario,
                number,
                self._seed,
                folder / name,
                environment,
                lambda number=number: self._connection_refused(number),  # type: ignore[misc]
                self._mutant,
            )
            for number, name in enumerate(self._scenario.names)
        ]

    def run(self) -> Verdict:
        """Run the scenario and check the records."""
        try:
            self._in_parallel(node.start for node in self.nodes)
            started = all(node.up for node in self.nodes)
            self._event.begin()
            if self._peers is not None:
                self._traffic_before = self._peers.traffic()
            if started:
                self._run_load()
            return self._finish()
        finally:
            self._event.close()

    def _run_load(self) -> None:
        load = threading.Thread(target=self._load.run, name="load", daemon=True)
        load.start()
        self._memory.start()
        self._follow_schedule(load)
        load.join()
        self._load.settle(max(CLIENT_TIMEOUTS_S.values()) + DEADLINE_SLACK_S)
        self._memory.stop()

    def _in_parallel(self, tasks: Iterator[Callable[[], None]]) -> None:
        threads = [threading.Thread(target=task, daemon=True) for task in tasks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _follow_schedule(self, load: threading.Thread) -> None:
        """Execute due steps and report progress until the load ends."""
        steps = list(self._steps)
        reported_at = 0.0
        while load.is_alive():
            now = self._load.now()
            while steps and steps[0].at <= now:
                self._execute(steps.pop(0))
            if now >= reported_at + PROGRESS_INTERVAL_S:
                reported_at += PROGRESS_INTERVAL_S
                self._report_progress(reported_at)
            next_step_at = steps[0].at if steps else self._scenario.seconds
            next_at = min(next_step_at, reported_at + PROGRESS_INTERVAL_S)
            load.join(max(MIN_WAIT_S, min(next_at - self._load.now(), PROGRESS_INTERVAL_S)))

    # --- faults

    def _execute(self, step: Step) -> None:
        self._event("fault", **step.as_json())
        self._say(f"{step.at:6.1f} s  {step.line()}")
        if step.links:
            for first, second in step.links:
                self._apply_to_link(step, first, second)
        elif step.who == "vault":
            self._apply_to_vault(step)
        elif step.do == "surge":
            self._load.rate_factor = step.fault.times if step.begins else 1.0
        else:  # in its own thread, since it may take long and must not delay the next step
            threading.Thread(target=self._apply_to_node, args=(step,), daemon=True).start()

    def _connection_refused(self, number: int) -> None:
        """Excuse attempts at a server that refuses connections: it never read them."""
        now = self._load.now()
        self._windows.append(FaultWindow(number, now, now))

    def _record_window(self, step: Step, number: int) -> None:
        """Record the fault window of this server when the fault ends."""
        if step.begins:
            self._fault_began[step.number] = step.at
        else:
            self._windows.append(FaultWindow(number, self._fault_began[step.number], step.at))

    def _apply_to_link(self, step: Step, first: str, second: str) -> None:
        names = self._scenario.names
        fault = link_fault(step.fault) if step.begins else None
        if first in names and second in names:
            assert self._peers is not None
            first_number = names.index(first)
            second_number = names.index(second)
            self._peers.set_fault(first_number, second_number, step.fault.way, step.number, fault)
            return
        node, other = (first, second) if first in names else (second, first)
        # In a scenario `there` is from the end that it names first, in a link from the end that connects.
        connecting = other if other == "balancers" else node
        way = step.fault.way
        if way != "both" and connecting != first:
            way = "back" if way == "there" else "there"
        for link in self._links(node, other):
            self._network.set_fault(link, way, step.number, fault)
        if other == "balancers":
            self._memory.exempt(names.index(node), step.begins)
        if other == "balancers" and step.do in BREAKING_LINK_FAULTS:
            self._record_window(step, names.index(node))

    def _links(self, node: str, other: str) -> Sequence[Link]:
        return self.nodes[self._scenario.names.index(node)].links[other]

    def _apply_to_vault(self, step: Step) -> None:
        if step.do == "slow":
            self._vault.slowdown = step.fault.times if step.begins else 1.0
        elif step.do == "down":
            self._vault.down = step.begins
        elif step.do == "garble":
            self._vault.garbled_share = step.fault.share if step.begins else 0.0
        else:
            self._vault.silent = step.begins

    def _apply_to_node(self, step: Step) -> None:
        number = self._scenario.names.index(step.who)
        node = self.nodes[number]
        if step.do in FAULTS_WITHOUT_READING:
            self._memory.exempt(number, step.begins)
        if step.do == "kill":
            self._kill(step, number)
        elif step.do == "start":
            node.start(step.fault.by)
        elif step.do == "stop":
            self._record_window(step, number)
            node.stop(step.begins)
        elif step.do == "freeze":
            node.freeze(step.begins)
        elif step.do == "heavy":
            node.set_work_factor(step.fault.times if step.begins else 1.0)
        elif step.do in ("reload", "tear"):
            node.reload(torn=step.do == "tear")
        elif step.do == "clock":
            node.order(step.do, step.fault.by)
        elif step.do in ("hold", "busy"):
            if step.begins:
                node.order(step.do, step.fault.duration)
                ends_at = self._load.now() + step.fault.duration
                self._windows.append(FaultWindow(number, step.at, ends_at))
        elif step.do == "upgrade":
            if (handover := node.upgrade(self._load.now)) is not None:
                window = FaultWindow(number, handover.began_at, handover.ended_at, handover=True)
                self._windows.append(window)
        else:
            # Requests that were read are answered; those at the closed listener are not, and are retried
            # elsewhere.
            self._windows.append(FaultWindow(number, step.at, step.at))
            node.shut_down()
            if step.do == "terminate":
                node.shut_down()

    def _kill(self, step: Step, number: int) -> None:
        node = self.nodes[number]
        # A server that is stopped or held detects the kill late, so it is not required to detect it in time.
        silenced = {
            other.who for other in self._steps if other.do in SILENCING_FAULTS and other.fault.duration
        }
        up = {other.name for other in self.nodes if other.up}
        if not node.up:
            return  # it exited by itself: attempts that it had read are not excused
        observers = frozenset(up - {node.name} - silenced)
        self._kills.append(KilledServer(self._load.now(), node.name, observers))
        node.kill()
        self._windows.append(FaultWindow(number, step.at, self._load.now()))

    # --- progress

    def _count_traffic(self) -> None:
        """Count the traffic between the servers since the last call, one second ago."""
        if self._peers is not None:
            before = self._traffic_before
            self._traffic_before = self._peers.traffic()
            self._traffic.bytes_by_second.append(self._traffic_before.bytes - before.bytes)
            self._traffic.datagrams += self._traffic_before.datagrams - before.datagrams

    def _report_progress(self, second: float) -> None:
        """Report the last second, and the share served in time of requests old enough to have been served."""
        self._count_traffic()
        requests = list(self._load.requests)
        outcomes: Counter[str] = Counter()
        for request in requests[-PROGRESS_REQUESTS:]:
            for attempt in list(request.attempts):
                if attempt.status is not None and second - 1 <= attempt.ended_at < second:
                    outcomes[_outcome(attempt.status)] += 1
        states = " ".join(f"{node.name}:{'up' if node.up else 'DOWN'}" for node in self.nodes)
        in_time = served_share(requests, second - 3, second - 2) if second >= 3 else 1.0
        counts = " ".join(f"{name} {outcomes[name]:3}" for name in ("served", "refused", "failed", "broken"))
        self._say(f"{second:6.1f} s  {counts}  in time {in_time:4.2f}  {states}")
        up = [node.up for node in self.nodes]
        self._event("second", **outcomes, up=up, vault=self._vault.in_flight)

    # --- completion

    def _agreement_s(self) -> float | None:
        """Seconds until all running servers see each other; None if that exceeds the expected time."""
        within = self._scenario.expect.agree_within
        if self._peers is None or within is None:
            return None
        start = time.monotonic()
        while (elapsed_s := time.monotonic() - start) <= within:
            up = [number for number, node in enumerate(self.nodes) if node.up]
            if self._peers.all_see_each_other(up):
                return elapsed_s
            time.sleep(AGREEMENT_POLL_S)
        return None

    def _observations(self) -> list[Observation]:
        observations = [
            observation
            for node in self.nodes
            for version in node.versions
            for observation in read_observations(
                node.name, version.server.lines, version.server.line_times, self._load.start
            )
        ]
        return sorted(observations, key=lambda observation: observation.at)

    def _check_views(self, verdict: Verdict, agreed_s: float | None, cpu: list[float]) -> None:
        """Check the scenario's expectations on the servers' views of each other."""
        if self._peers is None:
            return
        faulted = {step.who for step in self._steps if step.do in SILENCING_FAULTS}
        verdict.views, unmet = check_views(
            self._scenario, self._observations(), self._kills, faulted, self._traffic, agreed_s
        )
        verdict.views.cpu = statistics.mean(cpu) if cpu else 0.0
        verdict.short += unmet

    def _describe_lost_attempts(self, verdict: Verdict) -> None:
        """Add the log lines of servers and the counts of their links around lost attempts."""
        for number, begins_at, ends_at in verdict.lost_at:
            node = self.nodes[number]
            for version in node.versions:
                for read_at, line in zip(version.server.line_times, version.server.lines, strict=False):
                    at = read_at - self._load.start
                    if begins_at - FAULT_MARGIN_S < at < ends_at + FAULT_MARGIN_S:
                        verdict.lost_tries.append(f"{node.name} at {at:.2f} s: {line}")
            verdict.lost_tries.append(f"{node.name}: {dict(node.links['balancers'][0].counts)}")

    def _add_measurements(self, verdict: Verdict) -> None:
        """Add the measurements of the stand-ins and the load generator."""
        verdict.vault_most = self._vault.max_in_flight
        verdict.vault_fell = self._vault.outages
        fault_s = scheduled_dependency_fault_s(self._steps) + self._vault.outages * OUTAGE_S
        verdict.sick_calls = self._vault.calls_during_faults / fault_s if fault_s else 0.0
        verdict.vault_over = self._vault.over_capacity_s / self._scenario.seconds
        max_runnable = max(node.max_runnable for node in self.nodes)
        verdict.most_crowded = max_runnable / self._scenario.server.cores
        self._check_overload(verdict)
        verdict.lag_ms = self._load.max_lag_s * 1e3

    def _check_overload(self, verdict: Verdict) -> None:
        """Count overloaded machines, and check whether the dependency was overloaded."""
        server = self._scenario.server
        means = [node.highest_mean_runnable(OVERSUBSCRIPTION_WINDOW_S) for node in self.nodes]
        verdict.highest_mean_crowding = max(means) / server.cores
        verdict.overloaded = sum(mean > MAX_OVERSUBSCRIPTION * server.cores for mean in means)
        most_kb = self._memory.most_kb
        verdict.memory_used = max(most_kb) / server.memory_kb
        verdict.memory_exceeded = sum(kilobytes > server.memory_kb for kilobytes in most_kb)
        calls = self._vault.highest_mean_calls(CALLS_WINDOW_S)
        verdict.highest_mean_calls = calls / self._scenario.vault.slots
        verdict.dependency_overloaded = calls > self._scenario.vault.slots

    def _finish(self) -> Verdict:
        cpu = [cpu_usage(node.versions[-1].server.process.pid) for node in self.nodes if node.up]
        agreed_s = self._agreement_s()
        self._in_parallel(node.end for node in self.nodes)
        first_fault = self._steps[0].at if self._steps else self._scenario.seconds
        records = [node.run_records() for node in self.nodes]
        verdict = check(self._scenario, self._seed, self._load.requests, records, self._windows, first_fault)
        self._add_measurements(verdict)
        self._check_views(verdict, agreed_s, cpu)
        self._describe_lost_attempts(verdict)
        verdict.trouble = [line for node in self.nodes for line in node.trouble]
        self._close()
        self._event("verdict", **verdict.as_json())
        return verdict

    def _close(self) -> None:
        self._load.close()
        self._network.close()
        self._vault.close()
        self._roster.close()
