"""The vault as one limit: each server owns a part of it, and lends what it does not use.

Each is told its part of the calls that the vault bears, its *floor*; all floors together are the limit. A
server that could use more asks another that has some to spare, which grants a lease: it counts the amount as
lent from then on, and the borrower counts it as its own once the grant has come. Whatever is lost, late, cut
off, stopped or killed, all that servers hold together never exceeds the floors:

- the lease of the borrower runs from when it *asked*, that of the lender from when it granted, which is
  later; and the lender's is longer by what two clocks may drift apart;
- who renews holds one grant at a time, the lender counts the greatest that has not run out;
- what a server may lend is only a part of its floor, and a new life of it begins with the rest alone, until
  all that its forerunner may have lent has run out.

So safety needs no agreement on who is there: a view that is wrong costs use of the vault, never its limit.
No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

# Of its floor, a server never lends so much: it can serve at once when its callers come back, and a new life
# may begin with it.
KEPT = 0.25
# How long a lease lasts, and by how much the lender's is longer: clocks of two machines drift less.
LEASE_US, DRIFT = 2_000_000, 0.002
# An ask without an answer is given up after so long; a lease is renewed when so much of it is left.
ANSWER_US, RENEW_LEFT = 300_000, 0.4
# What is not used of late is spare: the most in hand within this, and a margin of calls.
LATE_US, MARGIN = 1_000_000, 1.0
# So many lenders at a time, and of what one has to spare no more than this at once: others ask too.
MOST_LINES, MOST_PART = 4, 0.5
# Less is not worth a message.
LEAST = 0.5


@dataclass(frozen=True, slots=True)
class Ask:
    """Lend me so much; on a line that is held already, go on lending."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class Grant:
    """So much is yours, for a lease from your ask on; 0: nothing."""

    line: int
    number: int
    amount: float


@dataclass(frozen=True, slots=True)
class Back:
    """I hold nothing of this line any more, and never will."""

    line: int


Word = Ask | Grant | Back


@dataclass(slots=True)
class _Lent:
    """One line, as its lender counts it: all grants that have not run out, and the greatest counts."""

    grants: dict[int, tuple[float, int]] = field(default_factory=dict)  # by the ask's number: amount, until

    def amount(self, now: int) -> float:
        self.grants = {number: one for number, one in self.grants.items() if now < one[1]}
        return max((amount for amount, _ in self.grants.values()), default=0.0)


@dataclass(slots=True)
class _Borrowed:
    """One line, as its borrower holds it: the last grant alone."""

    lender: int
    amount: float = 0.0
    until: int = 0
    asked: int = 0  # the number of the ask that has no answer yet; 0: none
    asked_at: int = 0


class QuotaLeases:
    """One server's part of the vault. `life` numbers of others are those of their processes."""

    def __init__(self, floor: float, now: int, first: bool = False) -> None:
        """`floor`: in calls in hand. `first`: no life of this server was there before, as when a fleet is
        new; else it may have lent what has not run out yet."""
        self.floor = floor
        self._whole_at = now if first else now + int(LEASE_US * (1 + DRIFT))
        self._lent: dict[tuple[int, int], _Lent] = {}
        self._borrowed: dict[int, _Borrowed] = {}  # by line
        self._lines = self._numbers = 0
        self._used: list[tuple[int, float]] = []  # the most in hand of late: falling, the newest last
        self._short = 0.0

    # --- what it may use

    def lent(self, now: int) -> float:
        """Of the floor, what others may hold."""
        return sum(one.amount(now) for one in self._lent.values())

    def borrowed(self, now: int) -> float:
        """What it holds of others."""
        return sum(one.amount for one in self._borrowed.values() if now < one.until)

    def cap(self, now: int) -> float:
        """Calls that it may have in the vault's hands."""
        own = self.floor if now >= self._whole_at else KEPT * self.floor
        return own - self.lent(now) + self.borrowed(now)

    def spare(self, now: int) -> float:
        """What it would lend; told to the others."""
        if now < self._whole_at or self._short > 0 or self.borrowed(now) > 0:
            return 0.0
        used = self._used[0][1] + MARGIN if self._used else MARGIN
        return max(0.0, self.floor - max(KEPT * self.floor, used) - self.lent(now))

    # --- what it sees

    def note(self, now: int, in_hand: float, waiting: float) -> None:
        """Calls in the vault's hands, and those that would be made if there were room."""
        while self._used and self._used[-1][1] <= in_hand:
            self._used.pop()
        self._used.append((now, in_hand))
        while self._used[0][0] < now - LATE_US:
            self._used.pop(0)
        self._short = max(0.0, waiting)

    # --- asking

    def tick(self, now: int, others: Mapping[int, float]) -> list[tuple[int, Word]]:
        """Whom to ask for what; `others`: by life, what each had to spare when it was last heard."""
        out: list[tuple[int, Word]] = []
        for key in [key for key, lent in self._lent.items() if lent.amount(now) == 0]:
            del self._lent[key]
        for line, one in list(self._borrowed.items()):
            if one.asked and now - one.asked_at >= ANSWER_US:
                one.asked = 0
            if now >= one.until and not one.asked:
                del self._borrowed[line]
                out.append((one.lender, Back(line)))
            elif not one.asked and (
                one.until - now <= RENEW_LEFT * LEASE_US
                or (self._short >= LEAST and others.get(one.lender, 0.0) * MOST_PART >= LEAST)
            ):
                self._renew(now, line, one, out)
        asked = sum(one.asked > 0 and one.amount == 0 for one in self._borrowed.values())
        wanted, lenders = self._short, {one.lender for one in self._borrowed.values()}
        for life, spare in sorted(others.items(), key=lambda item: (-item[1], item[0])):
            if wanted < LEAST or asked or len(self._borrowed) >= MOST_LINES or spare * MOST_PART < LEAST:
                break
            if life not in lenders:
                amount = min(wanted, spare * MOST_PART)
                wanted -= amount
                self._lines += 1
                one = self._borrowed[self._lines] = _Borrowed(life)
                out.append((life, self._ask(now, self._lines, one, amount)))
        return out

    def _renew(self, now: int, line: int, one: _Borrowed, out: list[tuple[int, Word]]) -> None:
        """Go on with what is still used of it, in the order of lines; the rest runs out."""
        before = sum(
            other.amount for number, other in self._borrowed.items() if number < line and now < other.until
        )
        used = self._used[0][1] + MARGIN + self._short if self._used else 0.0
        useful = min(one.amount + self._short, used - self.floor - before)
        if useful >= LEAST:
            out.append((one.lender, self._ask(now, line, one, useful)))

    def _ask(self, now: int, line: int, one: _Borrowed, amount: float) -> Ask:
        self._numbers += 1
        one.asked, one.asked_at = self._numbers, now
        return Ask(line, self._numbers, amount)

    def hear(self, now: int, life: int, word: Word) -> Grant | None:
        """A word of another; the answer to it, if there is one."""
        if isinstance(word, Ask):
            return self._asked(now, life, word)
        if isinstance(word, Grant):
            self._granted(life, word)
        elif (lent := self._lent.get((life, word.line))) is not None:
            lent.grants.clear()  # the borrower let go of it before it said so
        return None

    def _asked(self, now: int, life: int, ask: Ask) -> Grant:
        lent = self._lent.setdefault((life, ask.line), _Lent())
        if ask.number in lent.grants:  # told again: the same answer, and nothing more is lent
            return Grant(ask.line, ask.number, lent.grants[ask.number][0])
        if ask.number < max(lent.grants, default=0):  # it came late, after a later word
            return Grant(ask.line, ask.number, 0.0)
        held = lent.amount(now)
        amount = min(max(0.0, ask.amount), held + self.spare(now))
        if self._short > 0 and held:  # its own callers are back: what is lent comes home as it runs out
            amount = 0.0
        if amount < LEAST:
            return Grant(ask.line, ask.number, 0.0)
        lent.grants[ask.number] = amount, now + int(LEASE_US * (1 + DRIFT))
        return Grant(ask.line, ask.number, amount)

    def _granted(self, life: int, grant: Grant) -> None:
        one = self._borrowed.get(grant.line)
        if one is None or one.lender != life or one.asked != grant.number:
            return  # of an ask that was given up, or told twice
        one.asked = 0
        if grant.amount > 0:
            one.amount, one.until = grant.amount, one.asked_at + LEASE_US
        elif not one.until:
            del self._borrowed[grant.line]
