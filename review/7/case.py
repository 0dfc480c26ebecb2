"""Two hundred bad clients take their requests back at once; the balancers' requests have to be answered."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import kit

FOLDER = Path(__file__).resolve().parent

RATE = 20.0
CLIENTS = 200
BEFORE_S = 2.0
TROUBLE_S = 20.0
AFTER_S = 3.0
# From this share on, requests with no final answer in their time break the rule.
ALLOWED_SHARE = 0.003
WORST_OWN_LAG_S = 0.5


async def case(record: kit.Record, folder: Path, trouble: bool) -> bool:
    """Run the case; returns whether the rule held."""
    settings = kit.settings()
    machine = kit.Machine(record)
    pool = await kit.Pool(machine, "p1", lambda known: (0.05, 0.05)).start()
    vault = await kit.Vault(record, lambda uid: 0.02).start()
    site = kit.Site(folder, record, settings=settings)
    bad: asyncio.subprocess.Process | None = None
    try:
        program = await site.start(pool.port, vault.port, await kit.start_roster())
        balancer = kit.Balancer(machine, program.port, settings["Classes"])
        lag = kit.Lag()
        start = time.monotonic()
        most_memory = 0.0
        while (passed := time.monotonic() - start) < BEFORE_S + TROUBLE_S + AFTER_S:
            if trouble and bad is None and passed > BEFORE_S:
                record.say(f"{CLIENTS} bad clients begin")
                hostile = str(FOLDER.parent / "standins2" / "hostile.py")
                arguments = (str(program.port), "takeback", str(CLIENTS), str(TROUBLE_S))
                bad = await asyncio.create_subprocess_exec(sys.executable, hostile, *arguments)
            lane, token = kit.mixed_lane()
            await balancer.send(lane, b"body %d" % len(balancer.tries), token)
            most_memory = max(most_memory, kit.memory_mb(program.pid))
            await asyncio.sleep(1 / RATE)
        await balancer.settle()
        share = len(balancer.late) / len(balancer.tries)
        record.say(f"answers by status (0: the connection ended): {balancer.summary()}")
        record.say(f"{len(balancer.late)} of {len(balancer.tries)} without a final answer in their time")
        record.say(f"most memory {most_memory:.0f} MiB of 192; own lag at most {lag.worst:.3f} s")
        if lag.worst > WORST_OWN_LAG_S:
            raise kit.CannotRunError("the test machine is too busy")
        return share < ALLOWED_SHARE and program.process.returncode is None
    finally:
        if bad is not None and bad.returncode is None:
            bad.kill()
        await site.end()


sys.exit(kit.run_case(FOLDER, case))
