"""Stored results of keyed requests, over restarts of the server.

What a key stands for is a state machine (`cairnvane.claims.states`). `recovery` concludes what a folder of
segments says about it, and `retention` decides when segments are begun, dropped and compacted, and when there
is no capacity for a key. None of these touches a disk, a thread or a clock.

The log, used by one thread at a time: `records` is the format, `storage` the disk, `index` the memory,
`segment_reader` and `appender` read and write segments, `compaction` rewrites one, and `segment_log` joins
these.

The store: `store` is the `IdempotencyStore` that the server is given, `messages` what it sends to its thread,
and `writer` that thread, which uses `folder_recovery`, `group_writer`, `disk_retry` and `space_maintenance`
on the shared `state`. `takeover_store` joins the store with the claim log of concurrent incarnations, and
`verify` is what the command line does with a folder.
"""

from .errors import FolderError, StorageError
from .store import DurableStore
from .takeover_store import TakeoverStore

__all__ = ["DurableStore", "FolderError", "StorageError", "TakeoverStore"]
