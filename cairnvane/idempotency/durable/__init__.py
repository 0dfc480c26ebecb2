"""Keyed results over restarts.

What a key stands for is a state machine (`ledger.state`); what a folder of segments says about it is
concluded in `recovery`; when segments are begun, dropped and compacted, and when a key has no room, is
decided in `plan`. None of these touches a disk, a thread or a clock. `record` is the format, `index` the
memory, `files` the disk, `log` the segments on it, `store` the thread that writes them and the `keys.Keeper`
that the host is given; `beside` joins that with the ledger of the lives side by side.
"""

from .storage import FolderError
from .store import DurableStore
from .takeover_store import TakeoverStore

__all__ = ["TakeoverStore", "FolderError", "DurableStore"]
