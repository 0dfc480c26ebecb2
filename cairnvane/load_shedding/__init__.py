"""Overload of a whole cluster: how its servers together stay within what they share.

Decisions and state without I/O, a policy a module. `quota_leases`: the downstream dependency as one limit.
`docs/load-shedding.md` weighs the alternatives. Nothing of it is wired into the server yet;
`cairnvane lab shares` runs it in virtual time.
"""
