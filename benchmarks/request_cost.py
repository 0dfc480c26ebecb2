"""CPU time per request of one server under a closed-loop load of commits with different numbers of retries.

`request_cost.py [CHECKOUT...]`: this tree and further checkouts (`git worktree add`) take turns within one
run, since a machine's speed drifts by more than the checkouts differ. `TMPDIR` selects the disk.
"""

from __future__ import annotations

import os
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

import table
from keyed_latency import cpu_s

from cairnvane.testbed import server_process
from cairnvane.testbed.experiments.keyed_workload import KEYED_CLASS, SETTINGS
from cairnvane.testbed.stand_ins.balancer import Reply, StandInBalancer
from cairnvane.testbed.stand_ins.vault import StandInRoster, StandInVault

CLIENTS = 16
# Retries of each commit.
RETRIES = (0, 4, 49)
HERE = Path(__file__).resolve().parent


class Cost(NamedTuple):
    """Result of one measurement."""

    cpu_us: float  # per request
    requests_a_second: float
    not_served: int


def measure(checkout: Path, pool: str, retries: int, seconds: float) -> Cost:
    """Run one server of a checkout under load."""
    vault, roster = StandInVault(), StandInRoster()
    with tempfile.TemporaryDirectory() as folder:
        site = server_process.ServerConfiguration(Path(folder), pool, vault.address, roster.address, SETTINGS)
        program = (
            "import os, sys; os.sched_setaffinity(0, {max(os.sched_getaffinity(0))}); "
            "from cairnvane.__main__ import main; sys.exit(main())"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", program],
            env={**os.environ, **site.write()},
            cwd=checkout,
            stderr=subprocess.PIPE,
            text=True,
        )
        server = server_process.ServerProcess(process, time.monotonic())
        threading.Thread(target=server.watch, daemon=True).start()
        assert server.listens(), server.lines
        balancer = StandInBalancer(server.port)
        ends_at = time.monotonic() + seconds
        requests = 0
        not_served = 0
        lock = threading.Lock()  # guards both counts

        def client(seed: int) -> None:
            nonlocal requests, not_served
            rng = random.Random(seed)
            answered = threading.Semaphore(0)
            replies: list[Reply] = []

            def record_reply(reply: Reply) -> None:
                replies.append(reply)
                answered.release()

            while time.monotonic() < ends_at:
                token, body = rng.randbytes(16).hex(), rng.randbytes(40)
                for _ in range(1 + retries):
                    balancer.send(f"{rng.getrandbits(64):016x}", KEYED_CLASS, body, token, record_reply)
                    assert answered.acquire(timeout=20)
            with lock:
                requests += len(replies)
                not_served += sum(reply.status != 200 for reply in replies)

        threads = [threading.Thread(target=client, args=(seed,)) for seed in range(CLIENTS)]
        cpu_before = cpu_s(process.pid)
        start = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        cpu_used_s = cpu_s(process.pid) - cpu_before
        duration_s = time.monotonic() - start
        balancer.close()
        server.kill()
    vault.close()
    roster.close()
    return Cost(cpu_used_s / requests * 1e6, requests / duration_s, not_served)


def main() -> None:
    """Measure all checkouts in turn, for several rounds."""
    seconds, rounds = float(os.environ.get("BENCH_SECONDS", "4")), int(os.environ.get("BENCH_ROUNDS", "3"))
    checkouts = [HERE.parent, *map(Path, sys.argv[1:])]
    pool = subprocess.Popen(
        [sys.executable, str(HERE / "keyed_latency.py"), "pool"], stdout=subprocess.PIPE, text=True
    )
    assert pool.stdout is not None
    address = pool.stdout.readline().strip()
    try:
        costs: dict[tuple[str, int], list[Cost]] = {}
        for _ in range(rounds):
            for checkout in checkouts:
                for retries in RETRIES:
                    costs.setdefault((checkout.name, retries), []).append(
                        measure(checkout, address, retries, seconds)
                    )
        rows = []
        for checkout in checkouts:
            by_retries = [costs[checkout.name, retries] for retries in RETRIES]
            medians = [statistics.median(cost.cpu_us for cost in costs_of) for costs_of in by_retries]
            spread = " ".join(f"{cost.cpu_us:.0f}" for cost in by_retries[-1])
            not_served = sum(cost.not_served for costs_of in by_retries for cost in costs_of)
            rows.append([checkout.name, *medians, spread, not_served])
        table.show(
            "CPU, µs per request",
            [
                "checkout",
                *(f"{retries} retries" for retries in RETRIES),
                "each run with the most retries",
                "not served",
            ],
            rows,
        )
    finally:
        pool.kill()


if __name__ == "__main__":
    main()
