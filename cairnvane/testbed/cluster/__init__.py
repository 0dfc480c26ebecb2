"""Several processes of the real program under load, with faults between them: `cairnvane lab fleet`.

`scenario` models what is to happen, `scenario_file` reads and checks it, `schedule` draws when it happens,
and `link_conditions` decides what becomes of each piece of data on a link; none of these does network I/O.
`links`, `peers`, `nodes` and `load` move the data, `scenario_run` brings all of them together, and `checker`
and `observations` compare what clients, worker pools and log lines recorded with the rules and with the
scenario's expectations.
"""
