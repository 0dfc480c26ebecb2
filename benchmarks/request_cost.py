"""CPU a request of the plain line, in a closed loop of callers: commits alone, each with four repeats, and
each with so many that little else is left.

`request_cost.py [CHECKOUT...]`: this tree and further checkouts (`git worktree add`) take turns within one
run, since a machine's speed drifts by more than they differ. `TMPDIR` says on what disk.
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

import table
from keyed_latency import cpu_s

from cairnvane.testbed import server_process
from cairnvane.testbed.experiments.keyed_workload import KEYED_CLASS, SETTINGS
from cairnvane.testbed.stand_ins.balancer import Reply, StandInBalancer
from cairnvane.testbed.stand_ins.vault import StandInRoster, StandInVault

CALLERS, REPEATS = 16, (0, 4, 49)
HERE = Path(__file__).resolve().parent


def play(checkout: Path, pool: str, repeats: int, seconds: float) -> tuple[float, float, int]:
    """One life of that checkout's program: µs of CPU a request, requests a second, answers not served."""
    vault, roster = StandInVault(), StandInRoster()
    with tempfile.TemporaryDirectory() as folder:
        site = server_process.Site(Path(folder), pool, vault.address, roster.address, SETTINGS)
        line = (
            "import os, sys; os.sched_setaffinity(0, {max(os.sched_getaffinity(0))}); "
            "from cairnvane.__main__ import main; sys.exit(main())"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", line],
            env={**os.environ, **site.write()},
            cwd=checkout,
            stderr=subprocess.PIPE,
            text=True,
        )
        life = server_process.Life(process, time.monotonic())
        threading.Thread(target=life.watch, daemon=True).start()
        assert life.listens(), life.lines
        balancer = StandInBalancer(life.port)
        until, counts, lock = time.monotonic() + seconds, [0, 0], threading.Lock()

        def caller(seed: int) -> None:
            rng, passed = random.Random(seed), threading.Semaphore(0)
            replies: list[Reply] = []

            def told(reply: Reply) -> None:
                replies.append(reply)
                passed.release()

            while time.monotonic() < until:
                token, body = rng.randbytes(16).hex(), rng.randbytes(40)
                for _ in range(1 + repeats):
                    balancer.send(f"{rng.getrandbits(64):016x}", KEYED_CLASS, body, token, told)
                    assert passed.acquire(timeout=20)
            with lock:
                counts[0] += len(replies)
                counts[1] += sum(reply.status != 200 for reply in replies)

        threads = [threading.Thread(target=caller, args=(seed,)) for seed in range(CALLERS)]
        before, start = cpu_s(process.pid), time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used, took = cpu_s(process.pid) - before, time.monotonic() - start
        balancer.close()
        life.kill()
    vault.close()
    roster.close()
    return used / counts[0] * 1e6, counts[0] / took, counts[1]


def main() -> None:
    """All checkouts, three rounds each, in turns."""
    seconds, rounds = float(os.environ.get("BENCH_SECONDS", "4")), int(os.environ.get("BENCH_ROUNDS", "3"))
    checkouts = [HERE.parent, *map(Path, sys.argv[1:])]
    pool = subprocess.Popen(
        [sys.executable, str(HERE / "keyed_latency.py"), "pool"], stdout=subprocess.PIPE, text=True
    )
    assert pool.stdout is not None
    address = pool.stdout.readline().strip()
    try:
        got: dict[tuple[str, int], list[tuple[float, float, int]]] = {}
        for _ in range(rounds):
            for checkout in checkouts:
                for repeats in REPEATS:
                    got.setdefault((checkout.name, repeats), []).append(
                        play(checkout, address, repeats, seconds)
                    )
        rows = []
        for checkout in checkouts:
            runs = [got[checkout.name, repeats] for repeats in REPEATS]
            cost = [statistics.median(run[0] for run in one) for one in runs]
            spread = " ".join(f"{run[0]:.0f}" for run in runs[-1])
            rows.append([checkout.name, *cost, spread, sum(run[2] for one in runs for run in one)])
        table.show(
            "CPU, µs a request",
            [
                "checkout",
                *(f"{repeats} repeats" for repeats in REPEATS),
                "each run of the last",
                "not served",
            ],
            rows,
        )
    finally:
        pool.kill()


if __name__ == "__main__":
    main()
