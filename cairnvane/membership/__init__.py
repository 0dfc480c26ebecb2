"""Who is there, who has failed, and whether it is us who are cut off: for servers that may talk to each
other.

`state.py` says what is known of each life and which of two claims counts; `rumours.py`, `suspicion.py`,
`probing.py` and `sight.py` hold one decision each; `machine.py` puts them together. None of them does I/O or
reads a clock, and all chance is handed in. `docs/membership.md` weighs the ways.
"""
