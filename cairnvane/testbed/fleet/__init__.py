"""Several processes of the real program under load, with faults between them: `cairnvane lab fleet`.

`scenario.py` reads and checks what is to happen, `schedule.py` draws when. `conditions.py` decides what
becomes of each piece of data on a link. These do no I/O; `links.py`, `nodes.py` and `play.py` move them, and
`verdict.py` holds what callers, pools and vault recorded against the rules.
"""
