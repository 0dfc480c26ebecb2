"""The simulator's adapter: runs controllers for the simulator over a binary protocol on stdin and stdout.

`settings_reader` translates the deployment's settings into `contract.settings`, `protocol` translates frames
into events and actions into frames, and `__main__` is the program. `protocol` and `settings_reader` perform
no I/O; `errors` defines the exception that both raise.
"""
