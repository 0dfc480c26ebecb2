"""What callers, pools and vault recorded, held against the rules and the scenario's statements. No I/O.

Nothing here was told by a server. A try is known by its id, a request by its body, which no other has.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from ..checkers.duplicate_run_checker import REFUSED, SERVED
from ..stand_ins.worker_pool import Facts
from .load import PATIENCE_S, WORTH, Asked, Try
from .observations import Views
from .scenario import Scenario

# The rules' own slack, and what a rig of Python threads on a shared machine may add to it.
SLACK_S = 1.0
# "As much as before": this share of it, over so many seconds, looked at every half second.
BACK_PART, BACK_OVER_S, BACK_STEP_S = 0.95, 2.0, 0.5
# A try that was open, or was sent, so shortly around a fault of its server or link may have been hit by it.
AROUND_S = 0.5


@dataclass(frozen=True)
class Span:
    """While this lasted, a try at that server may break or stay unanswered without fault of the program."""

    node: int
    begins: float
    ends: float
    handover: bool = False  # a new version took over: what never ran may end at the closing door, a few times


# So many tries may end at the door, unread, in each handover; their balancers bring them again.
FREE_AT_DOOR = 2
# Lost tries that are shown one by one.
MOST_SHOWN = 8


@dataclass
class Verdict:
    """What one play has shown."""

    scenario: str
    seed: int
    requests: int = 0
    tries: int = 0
    served: float = 0.0  # the share in time, of all requests
    worth: float = 0.0  # the same by worth
    refused: int = 0  # tries
    failed: int = 0
    broken: int = 0
    given_up: int = 0  # by balancers that waited long enough
    lost: int = 0  # tries that broke or stayed unanswered with nothing wrong around them
    at_door: int = 0  # that ended, never run, at the closing door of a version with a successor
    lost_tries: list[str] = field(default_factory=list)  # some of the lost ones
    lost_at: list[tuple[int, float, float]] = field(default_factory=list)  # their servers and times
    twice: int = 0  # runs of a keyed request beyond one, in one life of a server
    refused_after_run: int = 0
    differing: int = 0  # keyed requests with two answers that differ, in one life
    invented: int = 0  # answers that no run made
    tries_a_request: float = 0.0
    before: float = 0.0  # the share in time before the first fault
    worth_before: float = 0.0  # the same by worth; then while faults lasted, and after the last one
    worth_during: float = 0.0
    worth_after: float = 0.0
    again: float = 0.0  # of all tries, the share whose request had been refused before
    sick_calls: float = 0.0  # calls a second that met a vault that was slow, down, silent or fallen
    vault_over: float = 0.0  # the share of time that the vault had more than its slots in hand
    back_s: float | None = None  # seconds from the last fault's end; None: not back, or no fault
    vault_most: int = 0
    vault_fell: int = 0
    most_crowded: float = 0.0  # runs that wanted a core, for each core
    lag_ms: float = 0.0
    views: Views | None = None  # with `members`
    trouble: list[str] = field(default_factory=list)
    short: list[str] = field(default_factory=list)  # statements of the scenario that do not hold

    @property
    def wrong(self) -> int:
        """Broken rules."""
        return self.lost + self.twice + self.refused_after_run + self.differing + self.invented

    @property
    def good(self) -> bool:
        """All that was promised holds."""
        return not (self.wrong or self.trouble or self.short)

    def as_json(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self) | {"good": self.good}

    def lines(self) -> list[str]:
        """For a terminal."""
        back = "" if self.back_s is None else f", back {self.back_s:.1f} s after the last fault"
        return [
            f"{self.scenario}, seed {self.seed}",
            f"  {self.requests} requests in {self.tries} tries ({self.tries_a_request:.2f} each); "
            f"served in time {self.served:.3f}, by worth {self.worth:.3f}{back}",
            f"  refused {self.refused}, failed {self.failed}, broken off {self.broken}, "
            f"given up {self.given_up}",
            f"  lost {self.lost}, at the door {self.at_door}, run twice {self.twice}, "
            f"refused after a run {self.refused_after_run}, differing {self.differing}, "
            f"invented {self.invented}",
            *(f"  lost: {line}" for line in self.lost_tries),
            f"  most calls in the vault's hands {self.vault_most}, it fell {self.vault_fell} times; "
            f"most runs a core {self.most_crowded:.1f}; the load's own lag {self.lag_ms:.0f} ms",
            *([self.views.line()] if self.views is not None else []),
            *(f"  trouble: {line}" for line in self.trouble),
            *(f"  short: {line}" for line in self.short),
            "good" if self.good else "WRONG",
        ]


def share(asked: Sequence[Asked], since: float, until: float, worth: bool = False) -> float:
    """Of the requests born in this stretch, the share served in time; 1 if there are none."""
    some = [one for one in asked if since <= one.born < until]
    whole = sum(WORTH[one.lane] if worth else 1.0 for one in some)
    good = sum(WORTH[one.lane] if worth else 1.0 for one in some if one.in_time)
    return good / whole if whole else 1.0


def back_after(asked: Sequence[Asked], before: float, over: float, until: float) -> float | None:
    """Seconds from `over` until the share in time is what it was; None if it is not by the end."""
    at = over
    while at + BACK_OVER_S <= until:
        if share(asked, at, at + BACK_OVER_S) >= BACK_PART * before:
            return at - over
        at += BACK_STEP_S
    return None


def excused(one: Try, spans: Sequence[Span], handover: bool = False) -> bool:
    """Whether something was wrong with its server, or on the way there, while it was open; or (`handover`) a
    version handed over."""
    ended = one.ended if one.status is not None else float("inf")
    return any(
        span.node == one.node and span.begins - AROUND_S <= ended and one.sent <= span.ends + AROUND_S
        for span in spans
        if span.handover is handover
    )


def _lost(verdict: Verdict, one: Asked, tried: Try, spans: Sequence[Span], ran: bool) -> None:
    """Without a final answer, and nothing of the scenario's to blame."""
    if excused(tried, spans):
        return
    if tried.status == 0 and not tried.given_up and not ran and excused(tried, spans, handover=True):
        verdict.at_door += 1
        return
    verdict.lost += 1
    if len(verdict.lost_tries) < MOST_SHOWN:
        how = "no answer" if tried.status is None else "given up" if tried.given_up else "broken off"
        verdict.lost_at.append((tried.node, tried.sent, tried.ended))
        verdict.lost_tries.append(
            f"{one.lane} at server {tried.node}, line {tried.life}, {tried.sent:.2f} to {tried.ended:.2f} s: "
            f"{how}, {'ran' if ran else 'never ran'}"
        )


def _count(verdict: Verdict, one: Asked, spans: Sequence[Span], uids: set[str]) -> None:
    for tried in one.tries:
        verdict.tries += 1
        if tried.status in REFUSED:
            verdict.refused += 1
        elif tried.given_up:
            verdict.given_up += 1
            too_long = tried.ended - tried.sent > PATIENCE_S[one.lane] + SLACK_S
            if too_long:
                _lost(verdict, one, tried, spans, tried.uid in uids)
        elif tried.status == 0:
            verdict.broken += 1
            if not tried.nobody:
                _lost(verdict, one, tried, spans, tried.uid in uids)
        elif tried.status is None:
            _lost(verdict, one, tried, spans, tried.uid in uids)
        elif tried.status not in SERVED:
            verdict.failed += 1


def judge(
    told: Scenario,
    seed: int,
    asked: Sequence[Asked],
    facts: Sequence[Mapping[bytes, Facts]],
    spans: Sequence[Span],
    first_fault: float,
) -> Verdict:
    """`facts`: by server, what its pool saw. Deadlines of the classes have passed for all that was asked."""
    verdict = Verdict(told.name, seed, requests=len(asked))
    for one in asked:
        here = [known[one.body] for known in facts if one.body in known]
        uids = {uid for fact in here for uid in fact.uids}
        _count(verdict, one, spans, uids)
        verdict.refused_after_run += sum(t.status in REFUSED and t.uid in uids for t in one.tries)
        results = [result for fact in here for result in fact.results]
        verdict.invented += sum(t.result is not None and t.result not in results for t in one.tries)
        if one.token is not None:
            verdict.twice += sum(runs - 1 for fact in here for runs in fact.by_life.values())
            answers = {(t.node, t.life, t.result) for t in one.tries if t.result is not None}
            verdict.differing += len(answers) > len({(node, life) for node, life, _ in answers})
    verdict.tries_a_request = verdict.tries / max(1, len(asked))
    verdict.served = share(asked, 0.0, told.seconds)
    verdict.worth = share(asked, 0.0, told.seconds, worth=True)
    verdict.before = share(asked, 0.0, first_fault)
    over = told.last_end() if told.faults else told.seconds
    verdict.worth_before = share(asked, 0.0, first_fault, worth=True)
    verdict.worth_during = share(asked, first_fault, over, worth=True)
    verdict.worth_after = share(asked, over, told.seconds, worth=True)
    again = sum(
        any(tried.status in REFUSED for tried in one.tries[:number])
        for one in asked
        for number in range(len(one.tries))
    )
    verdict.again = again / max(1, verdict.tries)
    if told.faults:
        verdict.back_s = back_after(asked, verdict.before, told.last_end(), told.seconds)
    wants, handovers = told.expect, sum(span.handover for span in spans)
    if verdict.at_door > FREE_AT_DOOR * handovers:
        verdict.short.append(f"{verdict.at_door} tries ended at the door in {handovers} handovers")
    if verdict.served < wants.served:
        verdict.short.append(f"served {verdict.served:.3f}, at least {wants.served:g} was expected")
    if wants.tries is not None and verdict.tries_a_request > wants.tries:
        tries = verdict.tries_a_request
        verdict.short.append(f"{tries:.2f} tries a request, {wants.tries:g} at most were expected")
    if wants.back_within is not None and (verdict.back_s is None or verdict.back_s > wants.back_within):
        back = "not" if verdict.back_s is None else f"{verdict.back_s:.1f} s after the last fault"
        verdict.short.append(f"back {back}, expected within {wants.back_within:g} s")
    return verdict
