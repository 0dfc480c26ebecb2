"""A bid server is drained by call, and a new version of it is started; its health checks have to stay bad."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

import kit

FOLDER = Path(__file__).resolve().parent

CHECK_INTERVAL_S = 0.1
# A good answer given so long after the call breaks the rule.
LATEST_GOOD_S = 4.0
DRAINED_S = 5.0
BOTH_S = 2.0
ALONE_S = 4.0


async def check(machine: kit.Machine, port: int) -> int:
    """Make one health check on a connection of its own; returns its status, 0 without an answer."""
    try:
        link = await kit.Link.connect(machine, port)
        answer = await asyncio.wait_for(link.check().answer, 2)
    except (OSError, TimeoutError):
        return 0
    link.writer.close()
    return answer.status


async def case(record: kit.Record, folder: Path, trouble: bool) -> bool:
    """Run the case; returns whether the rule held."""
    machine = kit.Machine(record)
    first_pool = await kit.Pool(machine, "p1", lambda known: (0.05, 0.05)).start()
    second_pool = await kit.Pool(machine, "p2", lambda known: (0.05, 0.05)).start()
    vault = await kit.Vault(record, lambda uid: 0.02).start()
    roster = await kit.start_roster()
    site = kit.Site(folder, record, settings=kit.settings())
    good_late: list[float] = []
    try:
        old = await site.start(first_pool.port, vault.port, roster)
        if await check(machine, old.port) != 200:
            raise kit.CannotRunError("the first health check was not good")
        status, _ = await kit.call(old.control, "POST", "/-/drain")
        drained_at = time.monotonic()
        record.say(f"POST /-/drain: {status}; no resume follows in this case")

        async def watch(seconds: float, phase: str) -> None:
            counts: dict[int, int] = {}
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                answer = await check(machine, old.port)
                after = time.monotonic() - drained_at
                record.line(f"health check {after:.2f} s after the drain: {answer}")
                counts[answer] = counts.get(answer, 0) + 1
                if answer == 200 and after > LATEST_GOOD_S:
                    good_late.append(after)
                await asyncio.sleep(CHECK_INTERVAL_S)
            record.say(f"{phase}: answers to health checks {counts}")

        await watch(DRAINED_S, "drained")
        if trouble:
            new = await site.start(second_pool.port, vault.port, roster)
            record.say("a new version was started and says that it is ready")
            await watch(BOTH_S, "both processes")
            old.signal(signal.SIGTERM)
            await watch(ALONE_S, "the old process told to end")
            if new.process.returncode is not None:
                raise kit.CannotRunError("the new version has ended")
        else:
            await watch(BOTH_S + ALONE_S, "still drained")
        if good_late:
            record.say(f"{len(good_late)} good answers, the first {good_late[0]:.2f} s after the drain began")
        return not good_late
    finally:
        await site.end()


sys.exit(kit.run_case(FOLDER, case))
