"""The real membership protocol without processes: in virtual time, and explored exhaustively.

`virtual_cluster` runs members in virtual time, `membership` measures them. `model_checker` explores small
worlds: `world_states` are their states, `world` the steps between them, `invariants` what has to hold, and
`mutants` take out one rule each.
"""
