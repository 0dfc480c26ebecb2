"""Enforces one cluster-wide limit of calls to the downstream dependency by leasing quota between servers.

Each server is configured with its quota of the dependency's concurrent calls, its *floor*. The sum of all
floors is the limit. A server that needs more quota requests a lease from a server with spare quota. The
lender counts the amount as lent from the time of the grant, the borrower counts it as its own once the grant
has arrived. The quotas of all servers together never exceed the sum of the floors, even if messages are lost
or late, the network is partitioned, or processes are stalled or killed:

- The borrower's lease starts when it was *requested*, the lender's when it was granted, which is later. The
  lender's lease is also longer, by the maximum drift between two clocks.
- A borrower that renews a lease holds one grant at a time; the lender counts the largest unexpired grant.
- A server may lend only a part of its floor. A new process of the server starts with the remaining part only,
  until all leases that the previous process may have granted have expired.

The limit therefore holds without agreement on membership: a wrong view of the members can leave quota unused,
but cannot exceed the limit. This module does no I/O and reads no clock. Times are microseconds, amounts are
calls in flight. Processes are identified by their incarnation numbers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

# The share of its floor that a server never lends: it can serve at once when its clients return, and a new
# process may start with this share.
MIN_RESERVED_SHARE = 0.25
# The duration of a lease. The lender's lease is longer by the share MAX_CLOCK_DRIFT, which is more than the
# clocks of two machines drift apart.
LEASE_US = 2_000_000
MAX_CLOCK_DRIFT = 0.002
# A request without an answer is abandoned after this time.
REQUEST_TIMEOUT_US = 300_000
# A lease is renewed when at most this share of its duration remains.
RENEWAL_SHARE = 0.4
# Quota above the peak of calls in flight within this window, plus a margin of calls, is spare.
USAGE_WINDOW_US = 1_000_000
SPARE_MARGIN_CALLS = 1.0
# The maximum number of leases that a borrower holds.
MAX_LEASES = 4
# A borrower requests at most this share of a lender's spare quota, since other borrowers request too.
MAX_REQUESTED_SHARE = 0.5
# The smallest amount that is requested or granted; less does not justify a message.
MIN_LEASE_AMOUNT = 0.5


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests a lease of this amount, or renews the lease that the borrower already holds on the line."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants this amount for a lease that starts at the time of the request; 0 rejects the request."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Releases a line: the borrower no longer uses its lease, and never uses the line again."""

    line: int


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease


class Outgoing(NamedTuple):
    """A message and the process that it is sent to."""

    recipient: int
    message: LeaseMessage


class _GrantedAmount(NamedTuple):
    amount: float
    expires_at: int


class _LentLeaseKey(NamedTuple):
    """What identifies a line to its lender."""

    borrower: int
    line: int


@dataclass(slots=True)
class _LentLease:
    """The lender's state of one line; the largest unexpired grant counts."""

    grants: dict[int, _GrantedAmount] = field(default_factory=dict)  # by the number of the request

    def amount(self, now: int) -> float:
        """The amount that the borrower may hold; drops expired grants."""
        self.grants = {number: granted for number, granted in self.grants.items() if now < granted.expires_at}
        return max((granted.amount for granted in self.grants.values()), default=0.0)


@dataclass(slots=True)
class _BorrowedLease:
    """The borrower's state of one line; only the last grant counts."""

    lender: int
    amount: float = 0.0
    expires_at: int = 0  # 0: no grant yet
    pending_request: int = 0  # the number of the unanswered request; 0: none
    requested_at: int = 0

    def time_out_request(self, now: int) -> None:
        """Abandon a request that had no answer within its timeout."""
        if self.pending_request and now - self.requested_at >= REQUEST_TIMEOUT_US:
            self.pending_request = 0


class _InFlightSample(NamedTuple):
    time: int
    in_flight: float


class _Usage:
    """The peak of calls in flight within the usage window."""

    def __init__(self) -> None:
        # The newest sample is last, and calls in flight decrease: the first sample is the peak of the window.
        self._peaks: list[_InFlightSample] = []

    def record(self, now: int, in_flight: float) -> None:
        """Record the number of calls in flight."""
        while self._peaks and self._peaks[-1].in_flight <= in_flight:
            self._peaks.pop()
        self._peaks.append(_InFlightSample(now, in_flight))
        while self._peaks[0].time < now - USAGE_WINDOW_US:
            self._peaks.pop(0)

    @property
    def peak(self) -> float | None:
        """The largest number of calls in flight; None before the first sample."""
        return self._peaks[0].in_flight if self._peaks else None


class QuotaLeases:
    """One server's quota of the dependency, including its lent and borrowed leases."""

    def __init__(self, floor: float, now: int, first: bool = False) -> None:
        """Start with this floor, in calls in flight.

        `first`: no process of this server ran before, as in a new cluster. Otherwise a previous process may
        have granted leases that have not expired yet.
        """
        self.floor = floor
        self._whole_floor_at = now if first else now + _lender_lease_us()
        self._lent: dict[_LentLeaseKey, _LentLease] = {}
        self._borrowed: dict[int, _BorrowedLease] = {}  # by line
        self._last_line = 0
        self._last_request = 0
        self._usage = _Usage()
        self._shortage = 0.0  # calls that wait for quota

    # --- the quota

    def lent(self, now: int) -> float:
        """The amount of the floor that other servers may hold."""
        return sum(lent.amount(now) for lent in self._lent.values())

    def borrowed(self, now: int) -> float:
        """The amount that this server holds of other servers' quota."""
        return sum(borrowed.amount for borrowed in self._borrowed.values() if now < borrowed.expires_at)

    def cap(self, now: int) -> float:
        """The maximum number of calls that this server may have in flight."""
        own = self.floor if now >= self._whole_floor_at else MIN_RESERVED_SHARE * self.floor
        return own - self.lent(now) + self.borrowed(now)

    def spare(self, now: int) -> float:
        """The amount that this server would lend; published to the other servers."""
        if now < self._whole_floor_at or self._shortage > 0 or self.borrowed(now) > 0:
            return 0.0
        peak = self._usage.peak
        used = SPARE_MARGIN_CALLS if peak is None else peak + SPARE_MARGIN_CALLS
        return max(0.0, self.floor - max(MIN_RESERVED_SHARE * self.floor, used) - self.lent(now))

    def record_usage(self, now: int, in_flight: float, waiting: float) -> None:
        """Record the numbers of calls in flight and of calls that wait for quota."""
        self._usage.record(now, in_flight)
        self._shortage = max(0.0, waiting)

    # --- as a borrower

    def tick(self, now: int, others: Mapping[int, float]) -> list[Outgoing]:
        """Release, renew and request leases; returns the messages to send and their recipients.

        `others`: by process, the spare quota that it last published.
        """
        self._drop_expired_grants(now)
        outgoing: list[Outgoing] = []
        for line, borrowed in list(self._borrowed.items()):
            outgoing += self._release_or_renew(now, line, borrowed, others)
        outgoing += self._request_leases(now, others)
        return outgoing

    def _drop_expired_grants(self, now: int) -> None:
        expired = [key for key, lent in self._lent.items() if lent.amount(now) == 0]
        for key in expired:
            del self._lent[key]

    def _release_or_renew(
        self,
        now: int,
        line: int,
        borrowed: _BorrowedLease,
        others: Mapping[int, float],
    ) -> list[Outgoing]:
        borrowed.time_out_request(now)
        if borrowed.pending_request:
            return []
        if now >= borrowed.expires_at:
            del self._borrowed[line]
            return [Outgoing(borrowed.lender, LeaseRelease(line))]
        expires_soon = borrowed.expires_at - now <= RENEWAL_SHARE * LEASE_US
        lender_share = others.get(borrowed.lender, 0.0) * MAX_REQUESTED_SHARE
        could_use_more = self._shortage >= MIN_LEASE_AMOUNT and lender_share >= MIN_LEASE_AMOUNT
        if expires_soon or could_use_more:
            return self._renew(now, line, borrowed)
        return []

    def _renew(self, now: int, line: int, borrowed: _BorrowedLease) -> list[Outgoing]:
        """Renew the part of a line that is still used, in the order of lines; the rest expires."""
        borrowed_on_earlier_lines = sum(
            other.amount
            for number, other in self._borrowed.items()
            if number < line and now < other.expires_at
        )
        peak = self._usage.peak
        used = 0.0 if peak is None else peak + SPARE_MARGIN_CALLS + self._shortage
        renewal_amount = min(borrowed.amount + self._shortage, used - self.floor - borrowed_on_earlier_lines)
        if renewal_amount < MIN_LEASE_AMOUNT:
            return []
        return [Outgoing(borrowed.lender, self._make_request(now, line, borrowed, renewal_amount))]

    def _request_leases(self, now: int, others: Mapping[int, float]) -> list[Outgoing]:
        """Request leases on new lines, first from the lenders with the most spare quota."""
        if any(lease.pending_request > 0 and lease.amount == 0 for lease in self._borrowed.values()):
            return []  # wait for the answers before requesting more
        outgoing: list[Outgoing] = []
        wanted = self._shortage
        lenders = {lease.lender for lease in self._borrowed.values()}
        by_spare = sorted(others.items(), key=lambda item: (-item[1], item[0]))
        for lender, spare in by_spare:
            available = spare * MAX_REQUESTED_SHARE
            if wanted < MIN_LEASE_AMOUNT or len(self._borrowed) >= MAX_LEASES or available < MIN_LEASE_AMOUNT:
                break
            if lender in lenders:
                continue
            amount = min(wanted, available)
            wanted -= amount
            outgoing.append(Outgoing(lender, self._request_new_line(now, lender, amount)))
        return outgoing

    def _request_new_line(self, now: int, lender: int, amount: float) -> LeaseRequest:
        self._last_line += 1
        borrowed = _BorrowedLease(lender)
        self._borrowed[self._last_line] = borrowed
        return self._make_request(now, self._last_line, borrowed, amount)

    def _make_request(self, now: int, line: int, borrowed: _BorrowedLease, amount: float) -> LeaseRequest:
        self._last_request += 1
        borrowed.pending_request = self._last_request
        borrowed.requested_at = now
        return LeaseRequest(line, self._last_request, amount)

    def _on_grant(self, lender: int, grant: LeaseGrant) -> None:
        borrowed = self._borrowed.get(grant.line)
        if borrowed is None or borrowed.lender != lender or borrowed.pending_request != grant.number:
            return  # answers an abandoned request, or is a duplicate
        borrowed.pending_request = 0
        if grant.amount > 0:
            borrowed.amount = grant.amount
            borrowed.expires_at = borrowed.requested_at + LEASE_US
        elif not borrowed.expires_at:
            del self._borrowed[grant.line]

    # --- as a lender

    def handle_message(self, now: int, sender: int, message: LeaseMessage) -> LeaseGrant | None:
        """Handle a message from another process; returns the answer, if any."""
        if isinstance(message, LeaseRequest):
            return self._on_request(now, sender, message)
        if isinstance(message, LeaseGrant):
            self._on_grant(sender, message)
            return None
        lent = self._lent.get(_LentLeaseKey(sender, message.line))
        if lent is not None:
            lent.grants.clear()  # the borrower stopped using it before it released it
        return None

    def _on_request(self, now: int, borrower: int, request: LeaseRequest) -> LeaseGrant:
        lent = self._lent.setdefault(_LentLeaseKey(borrower, request.line), _LentLease())
        if request.number in lent.grants:  # a duplicate: repeat the answer, lend nothing more
            return LeaseGrant(request.line, request.number, lent.grants[request.number].amount)
        if request.number < max(lent.grants, default=0):  # overtaken by a later request
            return LeaseGrant(request.line, request.number, 0.0)
        amount = self._grantable(now, lent, request)
        if amount < MIN_LEASE_AMOUNT:
            return LeaseGrant(request.line, request.number, 0.0)
        lent.grants[request.number] = _GrantedAmount(amount, now + _lender_lease_us())
        return LeaseGrant(request.line, request.number, amount)

    def _grantable(self, now: int, lent: _LentLease, request: LeaseRequest) -> float:
        """The amount of a request that can be granted on this line."""
        already_lent = lent.amount(now)
        if self._shortage > 0 and already_lent:  # own calls wait for quota: let lent quota return by expiry
            return 0.0
        return min(max(0.0, request.amount), already_lent + self.spare(now))


def _lender_lease_us() -> int:
    """The duration for which the lender counts a lease."""
    return int(LEASE_US * (1 + MAX_CLOCK_DRIFT))
