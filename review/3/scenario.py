"""One balancer goes silent within a request now and then, on a connection with other requests open."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from stage import (
    MAX_OPEN,
    Balancer,
    Class,
    Connection,
    Door,
    Roster,
    Stage,
    Try,
    Vault,
    encode_request,
    perform,
    settings,
    until_ready,
)

CORES = 6
LENGTH_S = 70.0
RATE = 5.0
# "Most carry little traffic, some far more." The first one goes silent now and then.
SHARES = [0.55, 0.25, 0.15, 0.05]
SILENT_EVERY_S = 3.0
SILENT_S = 2.2
OTHERS_OPEN = 4
ALLOWED = 0.003
# A deployment like the site, with requests of some seconds: the site's figures times three or four.
CLASSES = [
    Class("price-view", 0.52, 0.8, 5.6, 13.6, "free", 5.0, 1, 1.0),
    Class("bid-update", 0.31, 1.4, 9.2, 23.2, "free", 5.0, 0, 2.0),
    Class("bid-commit", 0.17, 1.4, 9.2, 23.2, "guarded", 60.0, 1, 3.0),
]


class SilentBalancer(Balancer):
    """Now and then goes silent on one connection within a request, and then goes on."""

    silent_at = 0.0

    async def request(self, cls: Class) -> Try | None:
        """Write a request, now and then in two pieces."""
        now = time.time()
        if now < self.silent_at:
            return await super().request(cls)
        usable = [
            each
            for each in self.connections
            if OTHERS_OPEN <= len(each.open) < MAX_OPEN and not (each.ended or each.busy_writing)
        ]
        if not usable or not self.may_send():
            return await super().request(cls)
        self.silent_at = now + SILENT_EVERY_S
        connection = max(usable, key=lambda each: len(each.open))
        connection.busy_writing = True
        attempt = self.make_try(cls)
        self.stage.spawn(self._write_in_two(attempt, connection))
        return attempt

    async def _write_in_two(self, attempt: Try, connection: Connection) -> None:
        number = connection.numbers.pop()
        data = encode_request(attempt, number)
        half = len(data) // 3  # within the record of the parameters
        self.stage.log(f"SILENT within {attempt.uid}, {len(connection.open)} others are open")
        connection.writer.write(data[:half])
        await asyncio.sleep(SILENT_S)
        if connection.ended:
            # Not written whole, so the bid server never had it. It is not sent again here.
            attempt.over = True
            self.stage.counts["not written whole, the connection was ended"] += 1
            self.stage.log(f"NOT-WRITTEN {attempt.uid}, the connection was ended")
            return
        connection.open[number] = attempt
        connection.writer.write(data[half:])
        attempt.written_at = connection.used_at = time.time()
        connection.busy_writing = False
        self.note_sent(attempt, connection)


async def scenario(stage: Stage) -> int:
    """A bit over a minute of traffic; without the disruption no balancer goes silent."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stage.vault_took_s = 0.05
    listen = (stage.host, stage.free_port())
    control = (stage.host, stage.free_port())
    config: dict[str, Any] = {
        "name": "n1",
        "listen": f"{listen[0]}:{listen[1]}",
        "pool": await Door(stage, "pool").open(),
        "control": f"{control[0]}:{control[1]}",
        "vault": await Vault(stage).open(),
        "roster": await Roster(stage).open(),
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3_200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(CLASSES, CORES, clients=len(SHARES), fair_calls=7.5),
    }
    process = stage.start_server(config, "only")
    if not await until_ready(control, 6.0):
        return 2
    until = time.time() + LENGTH_S
    for number, share in enumerate(SHARES):
        kind = SilentBalancer if trouble and number == 0 else Balancer
        stage.spawn(kind(stage, number + 1, listen, heeds=True).traffic(RATE * share, until))
    await asyncio.sleep(LENGTH_S + 24.0)
    if process.poll() is not None:
        stage.fault("crash", "the bid server has ended")
    sent, lost = stage.counts["sent"], stage.counts["lost"]
    if sent < 200:
        return 2
    stage.log(f"{lost} of {sent} requests were lost, {1_000 * lost / sent:.1f} in 1,000")
    others = stage.counts["duplicate"] + stage.counts["crash"]
    return 1 if others or lost > ALLOWED * sent else 0


if __name__ == "__main__":
    sys.exit(perform(Stage(CLASSES, CORES, seed=5), scenario, Path(__file__).with_name("record.txt")))
