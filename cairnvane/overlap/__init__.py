"""Keys of two overlapping lives: an old and a new process of one bid server, serving side by side in an
upgrade, with the same `$TMPDIR`.

Tries of one keyed request may reach either process. Each run of a keyed request is claimed in a shared
folder before it is handed to the pool, and its end is written beside the claim; a try that finds another
process's claim is answered from it and never run. `claims` is the folder, `guard` what the server does with
it.
"""

from .claims import Claims, Found
from .guard import Guard

__all__ = ["Claims", "Found", "Guard"]
