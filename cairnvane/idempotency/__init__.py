"""Idempotency keys: which request a key belongs to, and the keys and results that outlive a process.

`key_table` holds the keys of this process. `store` is the protocol of the stores that keep keys and results
for other processes: the claim log (`cairnvane.claims`) and the durable log (`durable`). `durability` is the
part of the server that waits until that store has written a record. `fingerprint` computes the value that
shows whether two attempts belong to the same request.
"""
