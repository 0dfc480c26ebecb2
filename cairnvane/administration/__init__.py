"""The administration endpoint: a small HTTP/1.1 server for readiness, metrics and drains.

This package takes no part in admission control. `readiness` holds the drain state and reports whether the
process can serve, `request_counters` counts requests, `connection_slots` bounds the open connections,
`http_request` parses a request, `endpoints` produces the responses, `http_server` handles the sockets, and
`drain_gate` fails health checks during a drain. The server sets them up only if a `control` address is
configured.
"""

from .readiness import Readiness
from .request_counters import RequestCounters

__all__ = ["Readiness", "RequestCounters"]
