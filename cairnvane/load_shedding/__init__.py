"""Cluster-wide load shedding: policies that keep all servers together within a shared limit.

Each module holds the decisions and the state of one policy, and does no I/O. `quota_leases` enforces a limit
of calls to the downstream dependency. `docs/load-shedding.md` compares the alternatives. The server does not
use this package yet; `cairnvane lab shares` runs it in virtual time.
"""
