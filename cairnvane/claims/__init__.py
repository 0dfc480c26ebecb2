"""The ledger: which of the lives that are there side by side may run a token, and to what end it came.

`state` is what a key stands for, step by step; `machine` concludes from the records, in their order, whose a
token is; `record` is their format. None of these touches a file, a thread or a clock. `folder` is the files,
`lives` the locks that tell a living process from a dead or stopped one, and `keeper` the `keys.Keeper` that
the host is given. `docs/keeper.md` has the design.
"""

from .claim_log import ClaimLog
from .incarnations import Incarnations

__all__ = ["ClaimLog", "Incarnations"]
