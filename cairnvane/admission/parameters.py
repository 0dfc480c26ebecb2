"""Constants of admission control. Times are integer microseconds."""

from __future__ import annotations

# Later than any time of the clock.
NEVER = 1 << 62
# The admission probability falls by a factor (gamma in the paper) and rises by a larger step (eta). It never
# reaches 0.
MULTIPLICATIVE_DECREASE = 0.8
ADDITIVE_INCREASE = 0.4
MINIMUM_PROBABILITY = 0.1
# Number of recent arrivals whose weights are counted: enough to estimate a class that has a tenth of them.
WEIGHT_MIX_SAMPLES = 50
# Interval of the timer while work is pending, and safety margin before a deadline. Well below any latency
# objective.
TIMER_INTERVAL_US = 50_000
# While no request can be started, the queue is scanned for late requests at most this often: a scan reads the
# whole queue.
QUEUE_SCAN_INTERVAL_US = 10_000
# A timer that is overdue by this much is considered lost, and another one is requested.
TIMER_LOST_AFTER_US = 500_000
# Time constant of the service time estimate. It covers tens of requests, yet follows a slowdown quickly.
SERVICE_RATE_TIME_CONSTANT_US = 3_000_000
# The concurrency limit is adjusted after this many finished runs per core, enough to compare throughputs. It
# rises further only if throughput grew by at least this factor.
CLIMB_RUNS_PER_CORE = 10
CLIMB_MINIMUM_THROUGHPUT_GAIN = 1.05
# Cores whose recent busy fraction is at least this are not idle, even if runs that wait for a disk leave one
# free for a moment.
BUSY_CORES_FRACTION = 0.9
# Fractions of the limits of an instance or a dependency that are used, to allow for errors of the estimates.
OVERSUBSCRIPTION_SAFETY = 0.8
MEMORY_SAFETY = 0.9
# Unaccounted runs are logged above this number per core. Fewer may be health checks and handshakes.
UNACCOUNTED_RUNS_LOG_THRESHOLD_PER_CORE = 2.0
DEPENDENCY_SAFETY = 0.9
# Maximum number of requests per core that wait for a call or make one. They hold the memory of a run, and may
# all resume at the same time.
CALLS_PER_CORE = 2
# A run is not started if its call is expected to wait longer than this fraction of its latency objective.
CALL_WAIT_FRACTION = 0.5
# Calls are slow above this multiple of the best recent call time. The best time is forgotten with this time
# constant.
SLOW_CALL_FACTOR = 3.0
BEST_CALL_TIME_CONSTANT_US = 10_000_000
# A call that timed out counts with at most this multiple of the best call time.
TIMED_OUT_CALL_FACTOR = 2 * SLOW_CALL_FACTOR
# Calls shorter than this never count as slow, since that much may be this instance's own delay.
SLOW_CALL_MINIMUM_US = 30_000
# Number of samples of the mean call time. With fewer, one short call would make all later ones look slow.
CALL_MEAN_SAMPLES = 8
# A call is considered lost after this multiple of the typical call time, because it occupies capacity. A call
# with an effect can't be repeated, so it gets this much longer. No call gets less than the minimum.
LOST_CALL_FACTOR = 7.0
LOST_EFFECTFUL_CALL_MULTIPLIER = 4
LOST_CALL_MINIMUM_US = 100_000
# Number of samples of the typical call time. Each lost call raises the typical time by this factor, so that
# the timeout adapts if all calls have become slow.
TYPICAL_CALL_SAMPLES = 50
TYPICAL_CALL_INCREASE = 1.25
# The limit on calls may fall to this fraction of the quota, but not below one call unless the quota is: a
# shared dependency becomes slow long before it fails.
CALL_LIMIT_FLOOR = 0.2
# Maximum number of attempts of a call, if it is idempotent or each attempt provably never ran.
CALL_ATTEMPTS = 3
# The load signal follows rejections by AIMD like the admission probability, but more slowly: clients learn of
# a change late, and all at once.
LOAD_SIGNAL_DECREASE = 0.95
LOAD_SIGNAL_INCREASE = 0.02
LOAD_SIGNAL_MINIMUM = 0.05
# A request that waited unread for more than this fraction of its latency objective shows a shortage of cores.
READ_DELAY_FRACTION = 0.1
# A request that is rejected after waiting, unread or queued, for more than this fraction of its latency
# objective has too little time left for a retry.
NO_RETRY_WAIT_FRACTION = 0.15
# Below this load signal all instances are assumed to be overloaded, and clients are asked not to retry.
NO_RETRY_BELOW_LOAD_SIGNAL = 0.9
# The instance reports bad health at this rate of failed runs, averaged over this many samples, and good
# health again at half the rate. The rate decays at each timer, so that clients try the instance again.
UNHEALTHY_FAILURE_RATE = 0.4
FAILURE_RATE_SAMPLES = 16
FAILURE_RATE_DECAY = 0.995
# Requests in flight per core, shared among all clients, while the load signal is 1.
CREDITS_PER_CORE = 4.0
# A tenant may accumulate the quota of this much time, since its arrivals at one instance are few and uneven.
TENANT_BURST_TIME_US = 10_000_000
# Fractions of a client timeout that differ by less than this count as equal: the transfer takes a little of
# the time.
TIMEOUT_TOLERANCE = 0.02
# Keeping a connection idle for this long costs about as much as the handshake of a new one. Where most
# clients return sooner, all connections are kept; elsewhere they are closed early, since a large number of
# them costs cores and connection slots.
CLIENT_RETURN_TIME_US = 5_000_000
SHORT_IDLE_TIME_US = 100_000
CLIENT_MEAN_SAMPLES = 50
RETURNING_CLIENTS_MAJORITY = 0.5
# Maximum number of doublings of SHORT_IDLE_TIME_US; the mean read delay, as a fraction of the latency
# objective, above which a timer adds a doubling; and the decrease per timer while cores are idle, which
# removes one doubling in two seconds.
MAXIMUM_IDLE_DOUBLINGS = 8
IDLE_READ_DELAY_FRACTION = 0.05
IDLE_DOUBLING_DECREASE = 0.025
