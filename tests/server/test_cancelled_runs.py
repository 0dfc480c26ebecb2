"""A cancelled run keeps its place until the worker pool itself says that it is not going on.

The failure: machines got more runs than they survive (8 a core in the mean of 1.5 s), on servers whose link
to the pool broke about once a second. Order of events: a machine's cores stood still; clients gave up, and
their runs were cancelled, which has no effect while cores stand still; the link broke, and each cancellation
was sent again on the new one. The pool answered the question behind it and reported no end, since there was
none. The server took that for proof that the run had been lost with the link, freed its place, and started
the next request: at each reset as many as may run at a time.

Evidence: one real process on 4 cores, 8 s of standstill, a reset every 0.5 s, clients that wait 0.6 s: 48 and
50 runs were taken for lost in two plays, and 12 to 14 runs a core were there in the mean. Either fault alone,
or clients that wait 6 s: 2.1 at most. With both faults, but without that conclusion: 1.0 and 1.5.
"""

from __future__ import annotations

from peers import until, world


def test_a_run_whose_cancellation_had_no_effect_keeps_its_place() -> None:
    with world(Cores=1) as w:
        balancer, uid = w.running()
        balancer.abort(1)
        assert w.pool.next("suspend")["uid"] == uid
        balancer.answer()
        w.pool.cut()
        w.pool.next("bind")
        assert w.pool.next("suspend")["uid"] == uid
        balancer.send(2)
        assert w.pool.next("spawn")["uid"] == uid  # of the run that goes on, where it has no effect
        until(lambda: w.host._controller.queue)
        assert w.pool.commands.empty()
        w.pool.notice("finished", uid, "fine")
        assert w.pool.next("spawn")["uid"] != uid
