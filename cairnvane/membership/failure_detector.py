"""Pings members in turn, directly and through helpers, and suspects members that do not answer.

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from .actions import Address
from .context import MemberContext
from .dissemination import Dissemination
from .messages import Ack, Ask, Nack
from .ping_schedule import MAX_OUTSTANDING_PINGS, PingLossEstimator, PingSchedule
from .suspicion import Suspicions


@dataclass(slots=True)
class _OutstandingPing:
    """A ping that has not been answered yet."""

    number: int
    target: int
    next_at: int  # when it is sent again or counts as missed
    attempts: int = 1
    helpers_asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _IndirectPing:
    """A ping on behalf of another member."""

    requester: Address
    requester_number: int
    target: int
    nack_at: int


class FailureDetector:
    """Owns the ping schedule, the outstanding pings, and the pings on behalf of other members."""

    def __init__(
        self,
        context: MemberContext,
        dissemination: Dissemination,
        suspicions: Suspicions,
        now: int,
    ) -> None:
        self.loss = PingLossEstimator(context.options.helpers, context.options.max_attempts)
        self.schedule = PingSchedule(context.random)
        self._options = context.options
        self._local = context.local
        self._table = context.table
        self._health = context.health
        self._counts = context.counts
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._outbox = context.outbox
        self._outstanding: dict[int, _OutstandingPing] = {}
        self._indirect: dict[int, _IndirectPing] = {}
        self._next_ping_at = now + int(context.random.random() * context.options.period)

    def due_times(self) -> list[int]:
        """The times at which `tick` has work to do."""
        times = [self._next_ping_at]
        times += [ping.next_at for ping in self._outstanding.values()]
        times += [indirect.nack_at for indirect in self._indirect.values()]
        return times

    def restart(self, now: int) -> None:
        """Drop the outstanding pings after a stall of this process, and delay the next by a full period."""
        self._outstanding.clear()
        self._next_ping_at = now + self._options.period

    def tick(self, now: int) -> None:
        """Retry or give up pings, start the next one, and send nacks for unanswered indirect pings."""
        # Read before pings are given up, so that a miss in this tick lengthens only later waits.
        multiplier = self._health.multiplier
        self._retry_pings(now)
        self._start_next_ping(now, multiplier)
        self._send_due_nacks(now)

    def _retry_pings(self, now: int) -> None:
        """Repeat due pings; give up those with as many attempts as the observed loss calls for."""
        due = [ping for ping in self._outstanding.values() if now >= ping.next_at]
        for ping in due:
            if ping.attempts >= self.loss.attempts_needed():
                del self._outstanding[ping.number]
                self._give_up(now, ping)
            else:
                self._retry(now, ping)

    def _retry(self, now: int, ping: _OutstandingPing) -> None:
        options = self._options
        ping.attempts += 1
        if not ping.helpers_asked:
            self._ask_helpers(ping)
        if ping.target in self._table.records:
            self._dissemination.send_ping(ping.target, ping.number)
        is_last = ping.attempts >= self.loss.attempts_needed()
        # After the last attempt, wait longer, because answers through helpers take longer.
        ping.next_at = now + (options.period - options.ack_timeout if is_last else options.ack_timeout)

    def _start_next_ping(self, now: int, multiplier: int) -> None:
        if now < self._next_ping_at:
            return
        self._next_ping_at = now + self._options.period * multiplier
        target = self.schedule.next_target(self._table.up)
        if target is None or len(self._outstanding) >= MAX_OUTSTANDING_PINGS:
            return
        if any(ping.target == target for ping in self._outstanding.values()):
            return
        self._counts.probes += 1
        number = self._dissemination.next_number()
        retry_at = now + self._options.ack_timeout * multiplier
        self._outstanding[number] = _OutstandingPing(number, target, retry_at)
        self._dissemination.send_ping(target, number)

    def _ask_helpers(self, ping: _OutstandingPing) -> None:
        helpers = self.schedule.pick_helpers(self._table.up, ping.target, self._options.helpers)
        ping.helpers_asked = max(1, len(helpers))
        for helper in helpers:
            self._dissemination.send_ping_request(helper, ping.target, ping.number)

    def _give_up(self, now: int, ping: _OutstandingPing) -> None:
        """Suspect the target after no answer came, neither directly nor through a helper."""
        self._counts.missed += 1
        # Helpers that do not answer either indicate that this member itself loses messages.
        silent_helpers = max(1, min(2, ping.helpers_asked - ping.nacks))
        self._health.degrade(silent_helpers if ping.helpers_asked > 1 else 1)
        record = self._table.records.get(ping.target)
        if record is None or not record.is_up:
            return
        reason = f"no answer to ping {ping.number}; {ping.nacks} of {ping.helpers_asked} helpers sent a nack"
        self._suspicions.suspect(record, self._local.instance_id, now, reason)

    def _send_due_nacks(self, now: int) -> None:
        """Send a nack to each requester of an indirect ping that got no answer in time."""
        for number, indirect in list(self._indirect.items()):
            if now >= indirect.nack_at:
                del self._indirect[number]
                self._outbox.send(indirect.requester, Nack(indirect.requester_number, indirect.target))

    def on_ack(self, now: int, message: Ack) -> None:
        """Handle the answer to a ping of ours, or to one on behalf of another member."""
        indirect = self._indirect.pop(message.number, None)
        if indirect is not None and indirect.target == message.target:
            self._outbox.send(indirect.requester, Ack(indirect.requester_number, indirect.target))
        ping = self._outstanding.get(message.number)
        if ping is not None and ping.target == message.target:
            del self._outstanding[ping.number]
            self.loss.record_answer(ping.attempts)
            self._health.improve()
        record = self._table.records.get(message.target)
        if record is not None:
            record.last_heard_at = now

    def on_ping_request(self, now: int, requester: Address, message: Ask) -> None:
        """Ping the target on behalf of the requester."""
        if message.target not in self._table.records:
            return
        number = self._dissemination.next_number()
        nack_at = now + self._options.ack_timeout
        self._indirect[number] = _IndirectPing(requester, message.number, message.target, nack_at)
        self._dissemination.send_ping(message.target, number)

    def on_nack(self, message: Nack) -> None:
        """Count a helper that received our request but got no answer from the target."""
        ping = self._outstanding.get(message.number)
        if ping is not None:
            ping.nacks += 1
