"""The claim log: decides which of several concurrent incarnations of the server may run a request.

All incarnations append claims to the same files and read them in the same order. The first claim of an
idempotency key is valid. The log also records how the run of the request ended.

- `states`: the states of a key and the steps between them.
- `claim_table`: derives from the records, in their order, which incarnation holds the claim of a key.
- `records`: the format of the records. These three modules do no I/O, start no thread and read no clock.
- `storage`: the files of the segments.
- `incarnations`: the locks and heartbeats that show whether an incarnation is alive, stopped or dead.
- `claim_log`: the `IdempotencyStore` that the server uses. It is composed of `segment_reader`,
  `segment_writer`, `result_waiters` and `housekeeping`.
- `inspection`: reads a claim log for the command line.
- `legacy`: detects running versions of the program that have no claim log.
- `errors`: `ClaimError`, the base of the package's errors.

`docs/claims.md` has the design.
"""

from .claim_log import ClaimLog
from .errors import ClaimError
from .incarnations import Incarnations

__all__ = ["ClaimError", "ClaimLog", "Incarnations"]
