"""Who takes over: a new version of the program, started beside this one on the same `$TMPDIR`.

Once it can serve it leaves a mark there. A process told to leave that finds the mark of a later process
hands over rather than drains: it stops listening at once, as the other one listens at the same address, and
ends what it has. Without a mark, the notice to leave is a drain as ever.
"""

from __future__ import annotations

import contextlib
import os
import tempfile
import threading
import time
from pathlib import Path

# Marks of a name stand in a folder of their own in `$TMPDIR`.
FOLDER = "cairnvane-ready"


class Heirs:
    """This process's mark, and a look for a later one's."""

    def __init__(self, name: str, folder: Path | None = None) -> None:
        self._folder = (folder or Path(tempfile.gettempdir())) / FOLDER
        self._name = name
        # Marks written before this process began are of a process before it.
        self._began = time.time_ns()
        self._mine = self._folder / f"{name}.{os.getpid()}.{self._began}"

    def mark(self, ready: threading.Event) -> None:
        """Once it is set, this process can serve. A mark that can't be written costs a handover, not the
        start."""
        ready.wait()
        try:
            self._folder.mkdir(exist_ok=True)
            self._mine.write_bytes(b"%d\n" % time.time_ns())
        except OSError:
            pass

    def later(self) -> bool:
        """A process of this name began after this one, and can serve."""
        try:
            marks = list(self._folder.glob(f"{self._name}.*"))
        except OSError:
            return False
        for mark in marks:
            if mark == self._mine:
                continue
            with contextlib.suppress(OSError, ValueError):
                if int(mark.read_bytes()) > self._began:
                    return True
        return False

    def clear(self) -> None:
        """On the way out: this process serves no more."""
        with contextlib.suppress(OSError):
            self._mine.unlink()
