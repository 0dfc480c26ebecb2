"""The laboratory: the real program among stand-ins, with faults, and a judge who asks the stand-ins alone.

Stand-ins are written from the protocol's description: `pool`, `vault` and `roster` on loopback, `balancer`
as the caller, `disk` below the log. `program` starts and kills the server, `judge` knows what was seen on
the wires, and `restarts` is the experiment. Only the command line imports any of it.
"""
