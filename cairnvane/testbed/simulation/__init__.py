"""Simulations of the real membership protocol without processes: in virtual time, and by model checking.

`virtual_cluster` runs members in virtual time, and `membership` measures them. `model_checker` explores all
states of small clusters: `world_states` defines the states, `world` the transitions between them,
`invariants` the checked properties, and `mutants` faulty variants of the protocol that the model checker has
to detect.
"""
