"""Which bid servers of the cluster are up, which have failed, and whether it is this one that is cut off.

`swim` coordinates one member: `failure_detector` pings, `suspicion` decides on suspects, `claim_merger`
merges what others claim, `dissemination` and `gossip` pass it on, `state_exchange` joins and exchanges
whole states, `partition_monitor`, `evidence` and `partition_detector` assess whether this member is cut
off. `claims`, `member_table`, `messages` and `envelope` are the data. None of them does I/O or reads a
clock, all chance is handed in. `transport` with `sockets`, `state_connections`, `traffic_limits` and
`snapshot` drives a member over the network; `observer`, `own_health` and `metrics` connect it to the
server. `docs/membership.md` weighs the alternatives.
"""
