"""Pings members in turn, directly and through helpers, and suspects those that do not answer.

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
    """A ping without an answer yet."""

    number: int
    target: int
    next_at: int  # it is sent again then, or counts as missed
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
    """Owns the schedule of pings, those without an answer, and those made on behalf of others."""

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
        """When there is something to do."""
        times = [self._next_ping_at]
        times += [ping.next_at for ping in self._outstanding.values()]
        times += [indirect.nack_at for indirect in self._indirect.values()]
        return times

    def restart(self, now: int) -> None:
        """Drop the pings without an answer after this process stood still, and ping no sooner than usual."""
        self._outstanding.clear()
        self._next_ping_at = now + self._options.period

    def tick(self, now: int) -> None:
        """Retry or give up pings, start the next one, and report indirect pings without an answer."""
        # Read before pings are given up: a miss in this tick makes only later waits longer.
        multiplier = self._health.multiplier
        self._retry_pings(now)
        self._start_next_ping(now, multiplier)
        self._send_due_nacks(now)

    def _retry_pings(self, now: int) -> None:
        """Ping again whoever has not answered, as often as the loss of datagrams calls for."""
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
        # After the last attempt, leave time for the helpers: their answers take longer.
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
        """No answer came, neither directly nor through a helper."""
        self._counts.missed += 1
        # Helpers that are silent too are a sign that it is this member that hears badly.
        silent_helpers = max(1, min(2, ping.helpers_asked - ping.nacks))
        self._health.degrade(silent_helpers if ping.helpers_asked > 1 else 1)
        record = self._table.records.get(ping.target)
        if record is None or not record.is_up:
            return
        reason = (
            f"no answer to probe {ping.number}, {ping.nacks} of "
            f"{ping.helpers_asked} helpers said that they heard us"
        )
        self._suspicions.suspect(record, self._local.instance_id, now, reason)

    def _send_due_nacks(self, now: int) -> None:
        """Tell those who asked for an indirect ping that it got no answer."""
        for number, indirect in list(self._indirect.items()):
            if now >= indirect.nack_at:
                del self._indirect[number]
                self._outbox.send(indirect.requester, Nack(indirect.requester_number, indirect.target))

    def on_ack(self, now: int, message: Ack) -> None:
        """A ping of ours was answered, or one on behalf of another member."""
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
        """A helper heard us, but got no answer from the target."""
        ping = self._outstanding.get(message.number)
        if ping is not None:
            ping.nacks += 1
