"""The claim log: which of several concurrent incarnations of the server may run a request, and how it ended.

All incarnations append claims to the same files and read them in the same order; the first claim of an
idempotency key counts.

- `states`: the states of a key and the steps between them.
- `claim_table`: derives from the records, in their order, which incarnation holds the claim of a key.
- `records`: the format of the records. None of these three does any I/O, starts a thread or reads a clock.
- `storage`: the files of the segments.
- `incarnations`: the locks and heartbeats that tell a running process from a dead or stopped one.
- `claim_log`: the `IdempotencyStore` that the server uses, made of `segment_reader`, `segment_writer`,
  `result_waiters` and `housekeeping`.
- `inspection`: what the command line shows of a claim log; `legacy`: detection of versions without one.
- `errors`: `ClaimError`, the base of the package's errors.

`docs/claims.md` has the design.
"""

from .claim_log import ClaimLog
from .errors import ClaimError
from .incarnations import Incarnations

__all__ = ["ClaimError", "ClaimLog", "Incarnations"]
