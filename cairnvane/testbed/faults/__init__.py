"""Fault injection: faults within the real program, and hostile clients.

`instrumented_server` runs the program with faults inside its process, and `hostile_clients` are clients of
the administration endpoint that never complete a request.
"""
