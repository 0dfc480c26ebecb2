"""Named constants of the decision module. Times are integer microseconds."""

from __future__ import annotations

# A time that never comes.
NEVER = 1 << 62
# Admission, from the paper: the probability falls by a factor (GAMMA), rises faster
# by a step (ETA), and never reaches 0.
MULTIPLICATIVE_DECREASE = 0.8
ADDITIVE_INCREASE = 0.4
MINIMUM_PROBABILITY = 0.1
# The mix of weights is remembered over so many arrivals: enough to know a class that is a tenth of them.
WEIGHT_MIX_ARRIVALS = 50
# Timer while something is pending, and margin before a deadline: well below any latency objective.
TIMER_INTERVAL = 50_000
# With no capacity to start anything, the queue is scanned for late requests this often: a scan reads it all.
QUEUE_SCAN_INTERVAL = 10_000
# A timer that is overdue by this much was lost; another is requested.
TIMER_LOST_AFTER = 500_000
# Time constant of the service time estimate: tens of requests, yet short enough for a slow-down.
SERVICE_RATE_TIME_CONSTANT = 3_000_000
# The concurrency limit climbs after so many finished runs per core, enough to compare; less than this gain of
# throughput justifies no more concurrency.
CLIMB_RUNS_PER_CORE = 10
CLIMB_MINIMUM_GAIN = 1.05
# Cores that were this busy recently are not idle, even if a disk leaves one free at this moment.
BUSY_CORES_FRACTION = 0.9
# Fractions of the limits that an instance or dependency survives which are used, since estimates err.
OVERSUBSCRIPTION_SAFETY = 0.8
MEMORY_SAFETY = 0.9
# So many runs a core that no table has are worth a line in the log; fewer may be checks and handshakes.
UNACCOUNTED_RUNS_LOGGED_PER_CORE = 2.0
DEPENDENCY_SAFETY = 0.9
# Requests at a call hold running memory and come back to the cores together: so many for each core.
CALLS_PER_CORE = 2
# A run is not started if its call would have to wait for this fraction of its objective, as calls go now.
CALL_WAIT_FRACTION = 0.5
# Calls are slow at this multiple of the best call time, which is forgotten within so long.
SLOW_CALL_FACTOR = 3.0
BEST_CALL_TIME_CONSTANT = 10_000_000
# Of a call that timed out, no more than this multiple of the best call time is counted.
TIMED_OUT_CALL_FACTOR = 2 * SLOW_CALL_FACTOR
# Shorter calls never count as slow: so much of what is measured may be the instance's own delay.
QUICK_CALL_TIME = 30_000
# The call time is a mean over so many; of fewer, one short call would make all that follow look slow.
CALL_MEAN_SAMPLES = 8
# A call that is out for so many times the typical time is taken for lost, as it occupies capacity. One with
# an effect is not made again and gets so much longer; no call gets less than the minimum.
LOST_CALL_FACTOR = 7.0
LOST_CALL_EFFECT_FACTOR = 4
LOST_CALL_MINIMUM = 100_000
# The typical call time is a mean over so many calls. Each loss raises it, so that calls which have all become
# slow are waited for again.
TYPICAL_CALL_SAMPLES = 50
TYPICAL_CALL_INCREASE = 1.25
# A quota below one call may fall to this fraction of it: a shared dependency is slow long before it fails.
CALL_LIMIT_FLOOR = 0.2
# A call that provably never ran is attempted so often in all.
CALL_ATTEMPTS = 3
# The load signal follows rejections by AIMD as the admission probability does, but slowly: clients learn of
# it late, and all at once.
LOAD_SIGNAL_DECREASE = 0.95
LOAD_SIGNAL_INCREASE = 0.02
LOAD_SIGNAL_MINIMUM = 0.05
# A request that waited unread for this fraction of its objective shows a shortage of cores.
READ_DELAY_FRACTION = 0.1
# A request that is rejected after this fraction, unread or queued, has little time left for a retry.
NO_RETRY_WAIT_FRACTION = 0.15
# Below this load signal the overload is assumed to be everyone's: no rejected request should be retried.
RETRY_LOAD_SIGNAL = 0.9
# Health turns bad at this rate of failed runs over recent samples, good again at half of it; the rate decays
# at each timer, so that the instance is tried again.
UNHEALTHY_FAILURE_RATE = 0.4
FAILURE_RATE_SAMPLES = 16
FAILURE_RATE_DECAY = 0.995
# Requests in flight for each core that the clients share while the load signal is 1.
CREDITS_PER_CORE = 4.0
# A tenant may save up its quota at this instance for so long: arrivals are few and uneven here.
TENANT_BURST_TIME = 10_000_000
# Fractions of a client timeout that differ by less are alike: the way here takes a little off.
TIMEOUT_TOLERANCE = 0.02
# An idle connection costs about as much as a new one's handshake in so long. Where most clients return
# sooner, all are kept; else they are closed early, since their number costs cores and connection slots.
CLIENT_RETURN_TIME = 5_000_000
SHORT_IDLE_TIME = 100_000
CLIENT_MEAN_SAMPLES = 50
MOST_CLIENTS_RETURN = 0.5
# Most doublings of SHORT_IDLE_TIME, the mean fraction of the objective spent unread that adds one, and how
# fast (per timer) they are undone while cores idle: one in two seconds.
MAXIMUM_IDLE_DOUBLINGS = 8
IDLE_READ_DELAY_FRACTION = 0.05
IDLE_DOUBLING_DECREASE = 0.025
