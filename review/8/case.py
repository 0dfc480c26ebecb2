"""Hundreds of bad clients send half requests; the bid server has to stay within its memory."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import kit

FOLDER = Path(__file__).resolve().parent

RATE = 20.0
CLIENTS = 720
MEMORY_MB = 192
BEFORE_S = 2.0
TROUBLE_S = 10.0
CHECK_S = 0.02


async def watch_memory(program: kit.Program, record: kit.Record) -> float:
    """Do what the platform does: kill a bid server that goes over its memory. Returns the most it had."""
    most = 0.0
    while program.process.returncode is None:
        now = kit.memory_mb(program.pid)
        most = max(most, now)
        if now > MEMORY_MB:
            record.say(f"the bid server has {now:.0f} MiB of {MEMORY_MB}: the platform kills it")
            await program.kill()
        await asyncio.sleep(CHECK_S)
    return most


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
        memory = asyncio.create_task(watch_memory(program, record))
        start = time.monotonic()
        while (passed := time.monotonic() - start) < BEFORE_S + TROUBLE_S:
            if trouble and bad is None and passed > BEFORE_S:
                record.say(f"{CLIENTS} bad clients begin; memory {kit.memory_mb(program.pid):.0f} MiB")
                hostile = str(FOLDER.parent / "standins2" / "hostile.py")
                arguments = (str(program.port), "half", str(CLIENTS), str(TROUBLE_S))
                bad = await asyncio.create_subprocess_exec(
                    sys.executable, hostile, *arguments, stderr=asyncio.subprocess.DEVNULL
                )
            if program.process.returncode is not None:
                break
            lane, token = kit.mixed_lane()
            await balancer.send(lane, b"body %d" % len(balancer.tries), token)
            await asyncio.sleep(1 / RATE)
        is_killed = program.process.returncode is not None
        await balancer.settle()
        record.say(f"answers by status (0: the connection ended): {balancer.summary()}")
        record.say(f"{len(balancer.late)} of {len(balancer.tries)} without a final answer")
        if not is_killed:
            await program.kill()
        record.say(f"most memory {await memory:.0f} MiB")
        return not is_killed
    finally:
        if bad is not None and bad.returncode is None:
            bad.kill()
        await site.end()


sys.exit(kit.run_case(FOLDER, case))
