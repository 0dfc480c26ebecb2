"""What keeping adds to an answer, at the site's rate and at six times it, beside the store off and SQLite.

Open loop: a latency counts from when its request should have gone out. The variants take turns within a run.
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
VARIANTS = {
    "off": ("", ""),
    "process": ("process", "own"),
    "process, SQLite": ("process", "sqlite"),
    "power": ("power", "own"),
    "power, SQLite": ("power", "sqlite"),
}
HERE = Path(__file__).parent


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def play(
    folder: Path,
    pool: str,
    variant: str,
    rate: float,
    seconds: float,
    times: HdrHistogram,
) -> list[float]:
    """One life under load; answers not served, CPU seconds, commits."""
    durability, store = VARIANTS[variant]
    vault, roster = StandInVault(), StandInRoster()
    site = server_process.Site(
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
    life = server_process.Life(process, time.monotonic())
    threading.Thread(target=life.watch, daemon=True).start()
    assert life.listens(), life.lines
    balancer = StandInBalancer(life.port)
    left, other, lock = int(rate * seconds), 0, threading.Lock()
    done = threading.Semaphore(0)

    def told(number: int, due: float, reply: Reply) -> None:
        nonlocal other
        took = time.monotonic() - due
        with lock:
            if number < 0:
                pass
            elif reply.status == 200:
                times.record_value(int(took * 1e6))
            else:
                other += 1
        done.release()

    rng, warm = random.Random(1), 50
    start, used = time.monotonic(), 0.0
    for number in range(-warm, left):
        due = start + (number + warm) / rate
        time.sleep(max(0.0, due - time.monotonic()))
        if number == 0:
            used = cpu_s(process.pid)
        body, token = b"%d %d" % (number, rng.getrandbits(60)), rng.randbytes(16).hex()
        uid = f"{rng.getrandbits(64):016x}"
        balancer.send(uid, KEYED_CLASS, body, token, lambda r, n=number, due=due: told(n, due, r))
    for _ in range(left + warm):
        assert done.acquire(timeout=10)
    spent = cpu_s(process.pid) - used
    balancer.close()
    life.kill()
    vault.close()
    roster.close()
    return [other, spent, left]


def main() -> None:
    """Both rates; each variant in several short turns."""
    seconds, rounds = float(os.environ.get("BENCH_SECONDS", "5")), int(os.environ.get("BENCH_ROUNDS", "3"))
    pool = subprocess.Popen([sys.executable, __file__, "pool"], stdout=subprocess.PIPE, text=True)
    assert pool.stdout is not None
    address = pool.stdout.readline().strip()
    try:
        rates = [int(word) for word in os.environ.get("BENCH_RATES", "").split()] or RATES
        for rate in rates:
            sums = {variant: [0.0, 0.0, 0.0] for variant in VARIANTS}
            times = {variant: HdrHistogram(1, 60_000_000, 3) for variant in VARIANTS}
            for _ in range(rounds):
                for variant in VARIANTS:
                    with tempfile.TemporaryDirectory(dir=HERE) as folder:
                        got = play(Path(folder), address, variant, rate, seconds, times[variant])
                    sums[variant] = [a + b for a, b in zip(sums[variant], got, strict=True)]
            rows = []
            for variant in VARIANTS:
                at = [times[variant].get_value_at_percentile(p) / 1e3 for p in (50, 99, 99.9)]
                base = [times["off"].get_value_at_percentile(p) / 1e3 for p in (50, 99, 99.9)]
                other, used, count = sums[variant]
                added = [round(a - b, 3) for a, b in zip(at, base, strict=True)]
                rows.append([variant, *at, *added, int(other), used / count * 1e6])
            head = ["store", "p50 ms", "p99 ms", "p99.9 ms", "added p50", "added p99", "added p99.9"]
            table.show(f"{rate} commits a second", [*head, "not served", "CPU µs a commit"], rows)
    finally:
        pool.kill()


if __name__ == "__main__":
    if sys.argv[1:] == ["pool"]:
        print(StandInPool(1, work_ms=(2, 2)).address, flush=True)
        threading.Event().wait()
    else:
        main()
