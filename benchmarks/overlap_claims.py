"""What claiming keyed runs in `$TMPDIR` costs a commit: claim, end, a look from the other process and the
removal, beside the in-memory table of keys that a single process uses."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import table

from cairnvane.digest import digest
from cairnvane.keys import Table
from cairnvane.overlap import Claims

COMMITS = 5_000


def main() -> None:
    tokens = [f"{number:032x}" for number in range(COMMITS)]
    with tempfile.TemporaryDirectory() as folder:
        mine, other = Claims("n3", Path(folder)), Claims("n3", Path(folder))
        start = time.perf_counter()
        for token in tokens:
            same = digest("bid-commit", b"b" * 300)
            mine.claim(token, same, 0)  # aged at once, so that the sweep removes each
            mine.end(token, b"r" * 500)
            other.look(token, same)
        mine.sweep()
        claimed = (time.perf_counter() - start) / COMMITS * 1e6
    keys = Table(5_800_000)
    start = time.perf_counter()
    for number, token in enumerate(tokens):
        keys.enter(token, number, 0)
        keys.owner(token, 0)
    keys.expire(10**12)
    plain = (time.perf_counter() - start) / COMMITS * 1e6
    table.show("A commit's keys, µs", ("where", "µs", "beside memory"), [
        ("the table in memory", plain, 1.0), ("claims in the folder, and a look", claimed, claimed / plain)])


if __name__ == "__main__":
    main()
