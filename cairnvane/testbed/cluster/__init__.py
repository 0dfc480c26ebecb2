"""Runs several processes of the real program under load and injected faults: `cairnvane lab fleet`.

`scenario` is the model of a scenario, `scenario_file` parses and validates it, `schedule` draws the times of
its faults, and `link_conditions` decides whether and when each piece of data on a link arrives; none of these
does network I/O. `links`, `peers`, `nodes` and `load` do the network I/O, and `scenario_run` runs a scenario
with them. `checker` and `observations` compare the records of clients and worker pools, and the servers' log
lines, with the rules and with the scenario's expectations.
"""
