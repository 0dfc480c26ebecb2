"""Cluster membership: which bid servers are up, which have failed, and whether this one is partitioned off.

`swim` coordinates one member: `failure_detector` pings other members, `suspicion` decides on suspects,
`claim_merger` merges claims of other members, `dissemination` and `gossip` spread claims, `state_exchange`
joins the cluster and exchanges whole states, and `partition_monitor`, `evidence` and `partition_detector`
assess whether this member is on the smaller side of a partition. `claims`, `member_table`, `messages` and
`envelope` define the data. None of these modules does I/O or reads a clock, and the caller passes in the
random source. `transport` with `sockets`, `state_connections`, `traffic_limits` and `snapshot` runs a member
over the network; `observer`, `own_health` and `metrics` connect it to the server. `docs/membership.md`
compares the alternatives.
"""
