"""Overload of a whole fleet: what its servers do so that all of them together stay within what they share.

Decisions and state without I/O, a policy a module. `lending.py`: the vault as one limit. `docs/shedding.md`
weighs the ways. Nothing of it is wired into the server yet; `cairnvane lab shares` plays it in virtual time.
"""
