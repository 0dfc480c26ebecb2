"""Idempotency keys: which request a key stands for, and what outlasts the process that ran it.

`key_table` holds the keys of this process. `store` is the protocol of whoever keeps keys and results for
other processes: the claim log (`cairnvane.claims`) or the durable log (`durable`). `durability` is the part
of the server that waits for records of that store, and `fingerprint` tells whether two attempts belong to
the same request.
"""
