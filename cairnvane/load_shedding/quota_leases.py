"""The downstream dependency as one limit: each server has a quota of it, and leases out what it doesn't use.

Each server is configured with its quota of the calls that the dependency bears, its *floor*; all floors
together are the limit. A server that could use more requests a lease from another one that has some to spare.
The lender counts the amount as lent from the grant on, and the borrower as its own once the grant has
arrived. Whatever is lost, late, partitioned, frozen or killed, all that servers hold together never exceeds
the floors:

- the borrower's lease runs from when it was *requested*, the lender's from when it was granted, which is
  later; and the lender's is longer by what two clocks may drift apart;
- a borrower that renews holds one grant at a time, the lender counts the greatest that has not expired;
- a server may lend only a part of its floor, and a new process of it begins with the rest alone, until all
  that the process before may have lent has expired.

So safety needs no agreement on membership: a wrong view costs use of the dependency, never its limit. No I/O,
no clock. Times are microseconds, amounts are calls in flight; `life` numbers identify processes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

# This share of its floor a server never lends: it can serve at once when its clients come back, and a new
# process may begin with it.
KEPT = 0.25
# How long a lease lasts, and by which share the lender's is longer: clocks of two machines drift less.
LEASE_US = 2_000_000
DRIFT = 0.002
# A request without an answer is given up after so long.
ANSWER_US = 300_000
# A lease is renewed when this share of it is left.
RENEW_LEFT = 0.4
# What is not used is spare: beyond the most calls in flight within this time, and a margin of calls.
USAGE_WINDOW_US = 1_000_000
MARGIN = 1.0
# A borrower holds so many leases at most.
MAX_LEASES = 4
# It requests no more than this share of what a lender has to spare: others request too.
MAX_REQUESTED_SHARE = 0.5
# Smaller amounts are not worth a message.
LEAST = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """Requests a lease of this amount, or renews the one on a line that is held already."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants this amount for a lease that runs from the request on; 0 rejects the request."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class Back:
    """Releases a line: the borrower holds nothing of it any more, and never will."""

    line: int


LeaseMessage = Ask | LeaseGrant | Back


class Outgoing(NamedTuple):
    """A message, and the process that it is for."""

    recipient: int
    message: LeaseMessage


class _GrantedAmount(NamedTuple):
    amount: float
    expires_at: int


class _LentLine(NamedTuple):
    """What identifies a line to its lender."""

    borrower: int
    line: int


@dataclass(slots=True)
class _Lent:
    """One line, as its lender counts it: of all grants that have not expired, the greatest counts."""

    grants: dict[int, _GrantedAmount] = field(default_factory=dict)  # by the number of the request

    def amount(self, now: int) -> float:
        """What the borrower may hold of it; drops expired grants."""
        self.grants = {number: granted for number, granted in self.grants.items() if now < granted.expires_at}
        return max((granted.amount for granted in self.grants.values()), default=0.0)


@dataclass(slots=True)
class _Borrowed:
    """One line, as its borrower holds it: the last grant alone."""

    lender: int
    amount: float = 0.0
    expires_at: int = 0  # 0: nothing was granted yet
    pending_request: int = 0  # the number of the request that has no answer yet; 0: none
    requested_at: int = 0

    def time_out_request(self, now: int) -> None:
        """Give up a request that has had no answer for too long."""
        if self.pending_request and now - self.requested_at >= ANSWER_US:
            self.pending_request = 0


class _InFlightSample(NamedTuple):
    time: int
    in_flight: float


class _Usage:
    """The most calls in flight within the usage window."""

    def __init__(self) -> None:
        # Calls in flight fall, the newest sample is last: so the first is the most within the window.
        self._peaks: list[_InFlightSample] = []

    def record(self, now: int, in_flight: float) -> None:
        """Calls that are in flight now."""
        while self._peaks and self._peaks[-1].in_flight <= in_flight:
            self._peaks.pop()
        self._peaks.append(_InFlightSample(now, in_flight))
        while self._peaks[0].time < now - USAGE_WINDOW_US:
            self._peaks.pop(0)

    @property
    def peak(self) -> float | None:
        """The most in flight; None before the first record."""
        return self._peaks[0].in_flight if self._peaks else None


class QuotaLeases:
    """One server's quota of the dependency, with what it has lent and borrowed."""

    def __init__(self, floor: float, now: int, first: bool = False) -> None:
        """Start with this floor, in calls in flight.

        `first`: no process of this server ran before, as when a cluster is new; else one may have lent what
        has not expired yet.
        """
        self.floor = floor
        self._whole_floor_at = now if first else now + _lender_lease_us()
        self._lent: dict[_LentLine, _Lent] = {}
        self._borrowed: dict[int, _Borrowed] = {}  # by line
        self._last_line = 0
        self._last_request = 0
        self._usage = _Usage()
        self._shortage = 0.0  # calls that wait for quota

    # --- the quota

    def lent(self, now: int) -> float:
        """How much of the floor others may hold."""
        return sum(lent.amount(now) for lent in self._lent.values())

    def borrowed(self, now: int) -> float:
        """How much this server holds of others."""
        return sum(borrowed.amount for borrowed in self._borrowed.values() if now < borrowed.expires_at)

    def cap(self, now: int) -> float:
        """How many calls this server may have in flight."""
        own = self.floor if now >= self._whole_floor_at else KEPT * self.floor
        return own - self.lent(now) + self.borrowed(now)

    def spare(self, now: int) -> float:
        """How much it would lend; published to the others."""
        if now < self._whole_floor_at or self._shortage > 0 or self.borrowed(now) > 0:
            return 0.0
        peak = self._usage.peak
        used = MARGIN if peak is None else peak + MARGIN
        return max(0.0, self.floor - max(KEPT * self.floor, used) - self.lent(now))

    def record_usage(self, now: int, in_flight: float, waiting: float) -> None:
        """Record the calls in flight, and those that wait for quota."""
        self._usage.record(now, in_flight)
        self._shortage = max(0.0, waiting)

    # --- as a borrower

    def tick(self, now: int, others: Mapping[int, float]) -> list[Outgoing]:
        """Release, renew and request leases; returns messages with the processes that they are for.

        `others`: by process, what each had to spare when it was last heard.
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
        borrowed: _Borrowed,
        others: Mapping[int, float],
    ) -> list[Outgoing]:
        borrowed.time_out_request(now)
        if borrowed.pending_request:
            return []
        if now >= borrowed.expires_at:
            del self._borrowed[line]
            return [Outgoing(borrowed.lender, Back(line))]
        expires_soon = borrowed.expires_at - now <= RENEW_LEFT * LEASE_US
        lender_share = others.get(borrowed.lender, 0.0) * MAX_REQUESTED_SHARE
        could_use_more = self._shortage >= LEAST and lender_share >= LEAST
        if expires_soon or could_use_more:
            return self._renew(now, line, borrowed)
        return []

    def _renew(self, now: int, line: int, borrowed: _Borrowed) -> list[Outgoing]:
        """Renew what is still used of a line, in the order of lines; the rest expires."""
        earlier_lines = sum(
            other.amount
            for number, other in self._borrowed.items()
            if number < line and now < other.expires_at
        )
        peak = self._usage.peak
        used = 0.0 if peak is None else peak + MARGIN + self._shortage
        useful = min(borrowed.amount + self._shortage, used - self.floor - earlier_lines)
        if useful < LEAST:
            return []
        return [Outgoing(borrowed.lender, self._make_request(now, line, borrowed, useful))]

    def _request_leases(self, now: int, others: Mapping[int, float]) -> list[Outgoing]:
        """Request leases on new lines, of those first that have the most to spare."""
        if any(lease.pending_request > 0 and lease.amount == 0 for lease in self._borrowed.values()):
            return []  # wait for the answers before requesting more
        outgoing: list[Outgoing] = []
        wanted = self._shortage
        lenders = {lease.lender for lease in self._borrowed.values()}
        by_spare = sorted(others.items(), key=lambda item: (-item[1], item[0]))
        for lender, spare in by_spare:
            available = spare * MAX_REQUESTED_SHARE
            if wanted < LEAST or len(self._borrowed) >= MAX_LEASES or available < LEAST:
                break
            if lender in lenders:
                continue
            amount = min(wanted, available)
            wanted -= amount
            outgoing.append(Outgoing(lender, self._request_new_line(now, lender, amount)))
        return outgoing

    def _request_new_line(self, now: int, lender: int, amount: float) -> Ask:
        self._last_line += 1
        borrowed = _Borrowed(lender)
        self._borrowed[self._last_line] = borrowed
        return self._make_request(now, self._last_line, borrowed, amount)

    def _make_request(self, now: int, line: int, borrowed: _Borrowed, amount: float) -> Ask:
        self._last_request += 1
        borrowed.pending_request = self._last_request
        borrowed.requested_at = now
        return Ask(line, self._last_request, amount)

    def _on_grant(self, lender: int, grant: LeaseGrant) -> None:
        borrowed = self._borrowed.get(grant.line)
        if borrowed is None or borrowed.lender != lender or borrowed.pending_request != grant.number:
            return  # of a request that was given up, or a duplicate
        borrowed.pending_request = 0
        if grant.amount > 0:
            borrowed.amount = grant.amount
            borrowed.expires_at = borrowed.requested_at + LEASE_US
        elif not borrowed.expires_at:
            del self._borrowed[grant.line]

    # --- as a lender

    def handle_message(self, now: int, life: int, word: LeaseMessage) -> LeaseGrant | None:
        """Handle a message of another process; returns the answer to it, if there is one."""
        if isinstance(word, Ask):
            return self._on_request(now, life, word)
        if isinstance(word, LeaseGrant):
            self._on_grant(life, word)
            return None
        lent = self._lent.get(_LentLine(life, word.line))
        if lent is not None:
            lent.grants.clear()  # the borrower stopped using it before it released it
        return None

    def _on_request(self, now: int, borrower: int, request: Ask) -> LeaseGrant:
        lent = self._lent.setdefault(_LentLine(borrower, request.line), _Lent())
        if request.number in lent.grants:  # a duplicate: the same answer, and nothing more is lent
            return LeaseGrant(request.line, request.number, lent.grants[request.number].amount)
        if request.number < max(lent.grants, default=0):  # overtaken by a later request
            return LeaseGrant(request.line, request.number, 0.0)
        amount = self._grantable(now, lent, request)
        if amount < LEAST:
            return LeaseGrant(request.line, request.number, 0.0)
        lent.grants[request.number] = _GrantedAmount(amount, now + _lender_lease_us())
        return LeaseGrant(request.line, request.number, amount)

    def _grantable(self, now: int, lent: _Lent, request: Ask) -> float:
        """How much of a request can be granted on this line."""
        held = lent.amount(now)
        if self._shortage > 0 and held:  # its own clients are back: what is lent returns as it expires
            return 0.0
        return min(max(0.0, request.amount), held + self.spare(now))


def _lender_lease_us() -> int:
    """How long the lender counts a lease."""
    return int(LEASE_US * (1 + DRIFT))
