"""One of two bid servers gets a new version while the vault is crowded; the vault has to survive."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections import deque
from pathlib import Path

import kit

FOLDER = Path(__file__).resolve().parent
SERVERS = 2
FAIR_CALLS = 10.0
# The vault falls with more calls than 5 times its slots in the mean of 5 s; the shares add up to that.
SLOTS = SERVERS * FAIR_CALLS / 5
WINDOW_S = 5.0
CALL_S = 0.1
# The longest time that a call which was given up stays in the vault's hands.
LINGER_S = 0.2
STEP_S = 0.01
RATE = 60.0
BALANCERS = 4
FRESH = 0.15
BEFORE_S = 25.0
AFTER_S = 8.0
# The platform asks a new process twice a second whether it is ready.
READY_CHECK_S = 0.5
WORST_OWN_LAG_S = 0.5


class CrowdedVault:
    """A vault whose calls share its slots, and take longer when there are more calls than slots."""

    def __init__(self) -> None:
        self.port = 0
        self.in_hand = 0
        self.total = 0
        self._changes: deque[tuple[float, int]] = deque([(time.monotonic() - WINDOW_S, 0)])

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, kit.HOST, 0)
        self.port = int(server.sockets[0].getsockname()[1])

    def _change(self, by: int) -> None:
        self.in_hand += by
        self._changes.append((time.monotonic(), self.in_hand))

    def mean(self) -> float:
        """Return the mean number of calls in hand over the window that ends now."""
        now = time.monotonic()
        while len(self._changes) > 1 and self._changes[1][0] < now - WINDOW_S:
            self._changes.popleft()
        ends = [*[at for at, _ in self._changes][1:], now]
        pairs = zip(self._changes, ends, strict=True)
        spans = ((min(end, now) - max(at, now - WINDOW_S), count) for (at, count), end in pairs)
        return sum(max(0.0, span) * count for span, count in spans) / WINDOW_S

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await kit.read_http(reader)
            self.total += 1
            self._change(1)
            given_up = asyncio.create_task(reader.read(1))
            try:
                await self._work(given_up)
            finally:
                self._change(-1)
                is_given_up = given_up.done()
                given_up.cancel()
            if not is_given_up:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbalance")
                await writer.drain()
        writer.close()

    async def _work(self, given_up: asyncio.Task[bytes]) -> None:
        left = CALL_S
        given_up_at: float | None = None
        while left > 0 and (given_up_at is None or time.monotonic() < given_up_at + LINGER_S):
            started = time.monotonic()
            await asyncio.sleep(STEP_S)
            left -= (time.monotonic() - started) / max(1.0, self.in_hand / SLOTS)
            if given_up.done() and given_up_at is None:
                given_up_at = time.monotonic()


async def case(record: kit.Record, folder: Path, trouble: bool) -> bool:
    """Run the case; returns whether the rule held."""
    settings = kit.settings(FairCalls=FAIR_CALLS, LingerUs=int(LINGER_S * 1e6))
    limit = SERVERS * FAIR_CALLS
    vault = CrowdedVault()
    await vault.start()
    roster = await kit.start_roster()
    sites: list[kit.Site] = []
    balancers: list[kit.Balancer] = []
    machines: list[kit.Machine] = []
    upgrade: asyncio.Task[None] | None = None

    async def replace_first() -> None:
        new_pool = await kit.Pool(machines[0], "new", lambda known: (0.02, 0.02)).start()
        await sites[0].start(new_pool.port, vault.port, roster)
        await asyncio.sleep(READY_CHECK_S)
        record.say(f"the new version of n0 is ready; SIGTERM to the old one; most so far {worst:.1f}")
        sites[0].programs[0].signal(signal.SIGTERM)
        await sites[0].programs[0].process.wait()
        record.say("the old version of n0 has ended")

    try:
        for number in range(SERVERS):
            own = folder / f"n{number}"
            own.mkdir()
            machine = kit.Machine(record)
            machines.append(machine)
            pool = await kit.Pool(machine, f"p{number}", lambda known: (0.02, 0.02)).start()
            sites.append(kit.Site(own, record, settings=settings, name=f"n{number}"))
            program = await sites[-1].start(pool.port, vault.port, roster)
            for _ in range(BALANCERS):
                balancers.append(kit.Balancer(machine, program.port, settings["Classes"], FRESH))
        lag = kit.Lag()
        start = time.monotonic()
        worst = 0.0
        rounds = 0
        while (passed := time.monotonic() - start) < BEFORE_S + AFTER_S:
            if trouble and upgrade is None and passed > BEFORE_S:
                upgrade = asyncio.create_task(replace_first())
            rounds += 1
            for number in range(SERVERS):
                lane, token = kit.mixed_lane()
                balancer = balancers[number * BALANCERS + rounds % BALANCERS]
                await balancer.send(lane, b"body %d" % rounds, token)
            mean = vault.mean()
            if mean > limit >= worst:
                record.say(f"the vault falls: {mean:.1f} calls in the mean of 5 s, of {limit:g}")
            worst = max(worst, mean)
            if rounds % int(RATE) == 0:
                record.line(f"vault: {vault.in_hand} calls in hand, {mean:.1f} in the mean of 5 s")
            await asyncio.sleep(max(0.0, start + rounds / RATE - time.monotonic()))
        record.say(f"at most {worst:.2f} calls in the mean of 5 s; the vault survives {limit:g}")
        record.say(f"{vault.total} calls in all; own lag at most {lag.worst:.3f} s")
        if lag.worst > WORST_OWN_LAG_S:
            raise kit.CannotRunError("the test machine is too busy")
        return worst <= limit
    finally:
        for site in sites:
            await site.end()


sys.exit(kit.run_case(FOLDER, case))
