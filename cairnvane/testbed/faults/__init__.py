"""Faults that are injected into or around the real program.

`instrumented_server` is the program with faults inside its process, `hostile_clients` are clients of the
administration endpoint that never finish a request.
"""
