"""The testbed: the real program among stand-ins, under load and faults, with checks of what they recorded.

`server_process` starts and kills processes of the program, `server_version` the versions of one server that
serve side by side during an upgrade. `stand_ins` holds what the server talks to, `faults` what goes wrong,
`checkers` the comparison of both sides' records. `cluster` runs scenarios of several servers, `experiments`
are the verbs of `cairnvane lab`, `simulation` runs the membership protocol without processes. `parallel`
spreads runs over all cores. Only the command line imports any of it.
"""
