"""Helpers of the benchmarks: tables, memory usage, and child processes that each measure one case."""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any


def _format(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:,.3g}"
    return f"{cell:,}" if isinstance(cell, int) else str(cell)


def show(title: str, headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table in Markdown."""
    print(f"\n{title}\n")
    print("| " + " | ".join(headings) + " |")
    print("|" + " --- |" * len(headings))
    for row in rows:
        print(
            "| " + " | ".join(map(_format, row)) + " |",
            flush=True,
        )


def resident() -> int:
    """Resident memory of this process in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def peak() -> int:
    """Peak resident memory of this process in bytes; unlike `ru_maxrss`, without that of its parent."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024
    raise RuntimeError("/proc/self/status has no VmHWM line")


def child(script: str, *arguments: object) -> Any:
    """Run a script that measures one case and prints JSON; raise `RuntimeError` if it fails."""
    process = subprocess.run([sys.executable, script, *map(str, arguments)], capture_output=True, text=True)
    if process.returncode:
        raise RuntimeError(f"{script} {arguments}: {process.stderr[-2000:]}")
    return json.loads(process.stdout)
