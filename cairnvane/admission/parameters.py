"""Named constants of the decision module. Times are integer microseconds."""

from __future__ import annotations

# Admission, from the paper: p falls fast, rises faster, and never shuts the door (p is a chance, 1 = all).
GAMMA, ETA, P_MIN = 0.8, 0.4, 0.1
# The mix of worths is remembered over so many arrivals: enough to know a class that is a tenth of them.
MIX_OVER = 50
# It looks again so often while something is pending, and meets due times by so much: well under any aim.
TICK = 50_000
# With no place to start anything, who has become late is looked for this often: each look goes over the hold.
LOOK = 10_000
# A tick that is overdue by this much was lost; another is asked for.
TIMER_LOST = 500_000
# Time constant of the service time estimate: tens of requests, yet short enough for a slow-down.
MEMORY_OF_RATE = 3_000_000
# The run limit climbs after so many finished runs a core, enough to compare; less gain justifies no crowd.
CLIMB_RUNS, CLIMB_GAIN = 10, 1.05
# Cores that were this busy of late are not idle, even if a disk leaves one free at this moment.
CORES_BUSY = 0.9
# Shares of what kills (crowd, memory, calls below) that are used, since estimates err.
CROWD_SHARE, MEMORY_SHARE, CALLS_SHARE = 0.8, 0.9, 0.9
# Requests at a call hold running memory and come back to the cores together: so many for each core.
CALLS_PER_CORE = 2
# A run is not begun if its call would have to wait for this part of its aim, as calls go now.
CALL_WAIT_PART = 0.5
# Calls are slow at this multiple of the best call time, which is forgotten within so long.
CALL_SLOW, CALL_BASE_MEMORY = 3.0, 10_000_000
# But shorter ones are not: so much of what is measured may be the instance's own delay.
CALL_QUICK = 30_000
# The call time is a mean over so many; of fewer, a lucky one would make all that follow look slow.
CALL_MEAN_OVER = 8
# A call that is out for so many times the usual one is taken for lost, as it holds a place. One with an
# effect is not made again and gets so much longer; no call gets less than the least. Each loss raises the
# usual, so that calls which have all become slow are waited for again.
CALL_LOST, CALL_LOST_EFFECT, CALL_LOST_LEAST = 7.0, 4, 100_000
CALL_USUAL_OVER, CALL_USUAL_RAISE = 50, 1.25
# A share below one call may fall to this part of it: what is shared is slow long before it dies.
CALLS_LEAST = 0.2
# A call that provably never ran is tried so often in all.
CALL_TRIES = 3
# The free value follows refusals by AIMD as p does, but slowly: callers hear of it late, all at once.
OPEN_FALL, OPEN_RISE, OPEN_MIN = 0.95, 0.02, 0.05
# Who waited unread for this part of its aim shows a shortage of cores; who is refused after the second part,
# unread or held, has little time left for further tries.
UNREAD_PART, WAITED_PART = 0.1, 0.15
# Below this free value the shortage is taken for everyone's: no refused request should walk on.
OPEN_WALKS = 0.9
# Health turns bad at this share of failed runs of late, good again at half; it fades, to be tried again.
FAILING_BAD, FAILING_OVER, FAILING_FADE = 0.4, 16, 0.995
# Requests in flight for each core that the callers share while the value is fully open.
OPEN_CREDIT = 4.0
# A tenant may save up its part of this instance's share for so long: arrivals are few and uneven here.
SHARE_DEPTH = 10_000_000
# Parts of a patience that differ by less are alike: the way here takes a little off.
PART_ALIKE = 0.02
# An idle connection costs about a new one's handshake in so long. Where most callers come back sooner, all
# are kept; else they close at once, since their number costs cores and room.
IDLE_WORTH, IDLE_SHORT, IDLE_OVER = 5_000_000, 100_000, 50
# Doublings of IDLE_SHORT at the most, the mean part of the aim spent unread that adds one, and how fast (a
# tick) they go while cores idle: one in two seconds.
IDLE_LEVELS, IDLE_UNREAD, IDLE_FALL = 8, 0.05, 0.025
