"""The simulator's binary protocol: hosts decision modules for the bench on standard input and output.

`settings_reader` translates the deployment's settings into `contract.settings`, `protocol` translates frames
into events and actions into frames, and `__main__` is the program. `protocol` and `settings_reader` perform
no I/O. `errors` holds what both raise.
"""
