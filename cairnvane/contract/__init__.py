"""The contract between the decision module and the process that hosts it.

`settings` defines the configuration of an instance, `events` what the host reports, and `actions` what the
controller asks the host to do. The host must provide:

* one `Controller` per incarnation of an instance, created at its start from `Settings`, a random seed and the
  current time; a restart creates a new one, and no state is carried over;
* calls of `handle(now, events)` from a single thread, with events in the order in which they happened, as
  soon as possible (simultaneous events may share a call), and whenever a `SetTimer` is due;
* a monotonic clock in integer microseconds (a step backwards counts as no time having passed);
* the execution of every action, in the order given, before the next call.

In return, `handle` performs no I/O, starts no thread, reads no clock, keeps no reference to the lists passed
in, and returns the same actions for the same settings, seed and events. An event for a request that has ended
or was never reported has no effect. A request for which no action is returned stays queued.

All times and durations are integer microseconds; memory is in kilobytes.
"""
