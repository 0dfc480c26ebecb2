"""The administration endpoint: a small HTTP/1.1 server for readiness, metrics, and a drain by call.

Nothing here decides what is admitted. `readiness` holds what the operators asked for and what the process
can do, `request_counters` the counts, `connection_slots` which connections may stay, `http_request` one
request as it comes in, `endpoints` the answers, `http_server` the sockets, `drain_gate` the health checks
while drained. The server's composition puts them in place only where a `control` address is configured.
"""

from .readiness import Readiness
from .request_counters import RequestCounters

__all__ = ["Readiness", "RequestCounters"]
