"""The testbed: runs the real program with stand-ins, load and faults, and checks their records.

`server_process` starts and kills processes of the program, and `server_version` manages versions of one
server that serve side by side during an upgrade. `stand_ins` replaces the server's peers, `faults` injects
faults, and `checkers` compares the records of clients and worker pools. `cluster` runs scenarios with several
servers, `experiments` implements subcommands of `cairnvane lab`, `simulation` runs the membership protocol
without processes, and `parallel` spreads runs over all cores. Within the program only the command line
imports this package.
"""
