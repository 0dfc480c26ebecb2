"""The operators' door: a small HTTP/1.1 listener for readiness, figures, and a drain by call.

Nothing here decides what is let in. `duty` holds what the operators asked for and what the process can do,
`tally` the figures, `waiting` who has a place, `head` one call as it comes in, `listener` the sockets.
`__main__` hands them in only where a `control` address is given.
"""

from .readiness import Readiness
from .request_counters import RequestCounters

__all__ = ["Readiness", "RequestCounters"]
