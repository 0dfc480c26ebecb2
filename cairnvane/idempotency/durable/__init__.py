"""Durable storage of the results of keyed requests, which survives restarts of the server.

The states of a key form a state machine (`cairnvane.claims.states`). `recovery` derives the states of all
keys from a folder of segments, and `retention` decides when segments are begun, dropped and compacted, and
when there is no capacity for a key. None of these does I/O, uses threads or reads a clock.

The log is used by one thread at a time. `records` is its format on disk, `storage` provides the file
operations, `index` maps keys to records, `segment_reader` and `appender` read and write segments,
`compaction` rewrites a segment, and `segment_log` combines these.

`store` is the `IdempotencyStore` that the server uses, `messages` are what it sends to its writer thread, and
`writer` is that thread, which uses `folder_recovery`, `group_writer`, `disk_retry` and `space_maintenance` on
the shared `state`. `takeover_store` combines the store with the claim log of concurrent incarnations, and
`verify` implements the commands on a folder.
"""

from .errors import FolderError, StorageError
from .store import DurableStore
from .takeover_store import TakeoverStore

__all__ = ["DurableStore", "FolderError", "StorageError", "TakeoverStore"]
