"""What the benchmarks share: tables, memory, and child processes that each measure one case."""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any


def show(title: str, head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table in Markdown."""
    print(f"\n{title}\n")
    print("| " + " | ".join(head) + " |")
    print("|" + " --- |" * len(head))
    for row in rows:
        print(
            "| "
            + " | ".join(
                f"{cell:,.3g}"
                if isinstance(cell, float)
                else f"{cell:,}"
                if isinstance(cell, int)
                else str(cell)
                for cell in row
            )
            + " |",
            flush=True,
        )


def resident() -> int:
    """Bytes of this process that are in memory now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def peak() -> int:
    """Bytes that this process had in memory at its largest; unlike `ru_maxrss`, not those of who started
    it."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024
    raise RuntimeError("no VmHWM")


def child(script: str, *words: object) -> Any:
    """Measure one case in a process of its own, which prints JSON."""
    done = subprocess.run([sys.executable, script, *map(str, words)], capture_output=True, text=True)
    if done.returncode:
        raise RuntimeError(f"{script} {words}: {done.stderr[-2000:]}")
    return json.loads(done.stdout)
