"""Latency added by storing results, at the site's rate and at six times it, compared with SQLite.

The load is open-loop: latency is measured from the scheduled time of a request. The variants take turns.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import table
from hdrh.histogram import HdrHistogram

from cairnvane.testbed import server_process
from cairnvane.testbed.experiments.keyed_workload import KEYED_CLASS, SETTINGS, operator_file
from cairnvane.testbed.stand_ins.balancer import Reply, StandInBalancer
from cairnvane.testbed.stand_ins.vault import StandInRoster, StandInVault
from cairnvane.testbed.stand_ins.worker_pool import StandInPool

SITE_RATE = 190
RATES = [SITE_RATE, 6 * SITE_RATE]
# Commits before the measurement begins.
WARM_UP_COMMITS = 50
VARIANTS = {
    "off": ("", ""),
    "process": ("process", "own"),
    "process, SQLite": ("process", "sqlite"),
    "power": ("power", "own"),
    "power, SQLite": ("power", "sqlite"),
}
HERE = Path(__file__).parent


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(
    folder: Path,
    pool: str,
    variant: str,
    rate: float,
    seconds: float,
    times: HdrHistogram,
) -> list[float]:
    """Run one process under load; return the requests not served, the CPU seconds and the commits."""
    durability, store = VARIANTS[variant]
    vault, roster = StandInVault(), StandInRoster()
    site = server_process.ServerConfiguration(
        folder,
        pool,
        vault.address,
        roster.address,
        SETTINGS,
        operator_file(durability) if durability else None,
    )
    environment = {**os.environ, **site.write(), "BENCH_STORE": store}
    process = subprocess.Popen(
        [sys.executable, str(HERE / "keyed_server.py")], env=environment, stderr=subprocess.PIPE, text=True
    )
    server = server_process.ServerProcess(process, time.monotonic())
    threading.Thread(target=server.watch, daemon=True).start()
    assert server.listens(), server.lines
    balancer = StandInBalancer(server.port)
    commits = int(rate * seconds)
    not_served = 0
    lock = threading.Lock()  # guards the counts and the histogram
    answered = threading.Semaphore(0)

    def record_reply(number: int, due_at: float, reply: Reply) -> None:
        nonlocal not_served
        latency_s = time.monotonic() - due_at
        with lock:
            if number < 0:
                pass
            elif reply.status == 200:
                times.record_value(int(latency_s * 1e6))
            else:
                not_served += 1
        answered.release()

    rng = random.Random(1)
    start = time.monotonic()
    cpu_before = 0.0
    for number in range(-WARM_UP_COMMITS, commits):
        due_at = start + (number + WARM_UP_COMMITS) / rate
        time.sleep(max(0.0, due_at - time.monotonic()))
        if number == 0:
            cpu_before = cpu_s(process.pid)
        body, token = b"%d %d" % (number, rng.getrandbits(60)), rng.randbytes(16).hex()
        uid = f"{rng.getrandbits(64):016x}"
        balancer.send(
            uid, KEYED_CLASS, body, token, lambda r, n=number, due_at=due_at: record_reply(n, due_at, r)
        )
    for _ in range(commits + WARM_UP_COMMITS):
        assert answered.acquire(timeout=10)
    used_s = cpu_s(process.pid) - cpu_before
    balancer.close()
    server.kill()
    vault.close()
    roster.close()
    return [not_served, used_s, commits]


def main() -> None:
    """Measure both rates, each variant in several short runs that take turns."""
    seconds, rounds = float(os.environ.get("BENCH_SECONDS", "5")), int(os.environ.get("BENCH_ROUNDS", "3"))
    pool = subprocess.Popen([sys.executable, __file__, "pool"], stdout=subprocess.PIPE, text=True)
    assert pool.stdout is not None
    address = pool.stdout.readline().strip()
    try:
        rates = [int(word) for word in os.environ.get("BENCH_RATES", "").split()] or RATES
        for rate in rates:
            totals = {variant: [0.0, 0.0, 0.0] for variant in VARIANTS}
            times = {variant: HdrHistogram(1, 60_000_000, 3) for variant in VARIANTS}
            for _ in range(rounds):
                for variant in VARIANTS:
                    with tempfile.TemporaryDirectory(dir=HERE) as folder:
                        measured = measure(Path(folder), address, variant, rate, seconds, times[variant])
                    totals[variant] = [a + b for a, b in zip(totals[variant], measured, strict=True)]
            rows = []
            for variant in VARIANTS:
                percentiles_ms = [times[variant].get_value_at_percentile(p) / 1e3 for p in (50, 99, 99.9)]
                percentiles_off_ms = [times["off"].get_value_at_percentile(p) / 1e3 for p in (50, 99, 99.9)]
                not_served, used_s, count = totals[variant]
                added = [round(a - b, 3) for a, b in zip(percentiles_ms, percentiles_off_ms, strict=True)]
                rows.append([variant, *percentiles_ms, *added, int(not_served), used_s / count * 1e6])
            head = ["store", "p50 ms", "p99 ms", "p99.9 ms", "added p50", "added p99", "added p99.9"]
            table.show(f"{rate} commits per second", [*head, "not served", "CPU µs per commit"], rows)
    finally:
        pool.kill()


if __name__ == "__main__":
    if sys.argv[1:] == ["pool"]:
        print(StandInPool(1, work_ms=(2, 2)).address, flush=True)
        threading.Event().wait()
    else:
        main()
