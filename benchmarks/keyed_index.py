"""The index of idempotency keys compared with a dict of dataclasses: bytes per entry, time per operation."""

from __future__ import annotations

import json
import random
import sys
import time
from collections import deque
from dataclasses import dataclass

import table

from cairnvane.idempotency.durable.index import BYTES_PER_ENTRY, Index

SIZES = (10_000, 100_000, 1_000_000)
CHUNK = 10_000
WINDOW_US = 17_364_000


@dataclass(slots=True)
class Entry:
    """An entry of the baseline."""

    location: int
    until: int


class Plain:
    """The baseline: a dict, and a queue of keys in order of expiry."""

    def __init__(self) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.order: deque[bytes] = deque()

    def put(self, token: bytes, location: int, until: int) -> bool:
        self.entries[token] = Entry(location, until)
        self.order.append(token)
        return True

    def get(self, token: bytes) -> Entry | None:
        return self.entries.get(token)

    def expire(self, before: int) -> int:
        count = 0
        while self.order and self.entries[self.order[0]].until < before:
            del self.entries[self.order.popleft()]
            count += 1
        return count


def measure(kind: str, size: int) -> dict[str, float]:
    """Measure one index with `size` entries; keys are generated in chunks, so that they use little memory."""
    rng = random.Random(1)
    resident_before = table.resident()
    index: Index | Plain = Index(size * BYTES_PER_ENTRY) if kind == "index" else Plain()
    spent = {"put": 0.0, "hit": 0.0, "miss": 0.0, "expire": 0.0}

    def timed(name: str, task: object) -> None:
        start = time.perf_counter()
        task()  # type: ignore[operator]
        spent[name] += time.perf_counter() - start

    for first in range(0, size, CHUNK):
        tokens = [rng.randbytes(16) for _ in range(CHUNK)]
        timed(
            "put",
            lambda tokens=tokens, first=first: [
                index.put(token, n << 17, WINDOW_US + n * 1_000) for n, token in enumerate(tokens, first)
            ],
        )
    del tokens
    used_bytes = table.resident() - resident_before
    rng = random.Random(1)
    stored_keys = [rng.randbytes(16) for _ in range(CHUNK)]
    unknown_keys = [random.Random(2).randbytes(16) for _ in range(CHUNK)]
    timed("hit", lambda: [index.get(token) for token in stored_keys])
    timed("miss", lambda: [index.get(token) for token in unknown_keys])
    timed("expire", lambda: [index.expire(WINDOW_US + n * 1_000) for n in range(CHUNK)])
    counts = {"put": size, "hit": CHUNK, "miss": CHUNK, "expire": CHUNK}
    return {"bytes": used_bytes / size} | {name: spent[name] / counts[name] * 1e6 for name in spent}


def main() -> None:
    """Measure both at all sizes, each in a separate process."""
    rows = []
    for size in SIZES:
        for kind, name in (("index", "ring and buckets"), ("plain", "dict of dataclasses")):
            result = table.child(__file__, kind, size)
            rows.append(
                [size, name, result["bytes"], result["put"], result["hit"], result["miss"], result["expire"]]
            )
    head = ["entries", "structure", "bytes per entry", "put µs", "hit µs", "miss µs", "expire µs"]
    table.show("The index", head, rows)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        print(json.dumps(measure(sys.argv[1], int(sys.argv[2]))))
    else:
        main()
