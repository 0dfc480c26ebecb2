"""One member: what it does with each message and each moment. No I/O, no clock, no random source of its own.

SWIM's probes and rumours, suspicion before a verdict with Lifeguard's doubt of oneself, whole views now and
then, and slow probes of those that were found failed, so that the two sides of a cut find each other again.
Whoever drives it calls `handle` with messages as they come, and `tick` no later than `next_at` says.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .evidence import Outside, look
from .gossip import Infos, Rumours
from .local_health import JUDGES, MOST_WAIT, OTHERS_WAIT, Health, checks, wait_us
from .member_table import Claim, Info, Life, Phase, Status, Table, info_fits, sane
from .messages import MOST_CLAIMS, MOST_INFOS, VIEW_LIVES, Ack, Ask, Message, Nack, Numbers, Ping, View
from .partition_detector import Judgement, Sight
from .ping_schedule import MOST_PROBES, MOST_TRIES, Loss, Ring

Address = tuple[str, int]
# With more lives than these, whole views are exchanged less often.
EXCHANGE_LIVES = 24
# Of the contacts, so many are asked at a time by who knows nobody.
MOST_JOINS = 8
# With nobody come or gone, the verdict is looked at no more often than this: it counts over all lives.
JUDGE_US = 100_000


@dataclass(frozen=True, slots=True)
class Options:
    """Times in microseconds. The defaults find a kill within 2 s; `docs/membership.md` has the figures."""

    period: int = 200_000  # between two probes
    answer: int = 80_000  # until others are asked to probe as well
    helpers: int = 3
    most_tries: int = MOST_TRIES  # of a probe, where links lose
    suspicion: int = 350_000  # the least wait before a suspect has failed
    exchange: int = 10_000_000  # between two whole views, drawn around it
    revisit: int = 1_000_000  # between two probes of those that were found failed
    tombstone: int = 60_000_000
    dead_lives: int = 4  # of one name
    lease: int = 1_500_000  # who was heard within it is surely there
    losses: int = 10_000_000  # losses within it came at once
    held_up: int = 300_000  # a tick that is later than this says that we were


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Exchange:
    """Send our whole view there, over TCP, and take theirs."""

    to: Address


@dataclass(frozen=True, slots=True)
class Tell:
    """A structured event: `member.suspected` and the like, with its evidence."""

    event: str
    more: dict[str, Any]


Action = Send | Exchange | Tell


@dataclass(slots=True)
class _Probe:
    number: int
    life: int
    next_at: int  # it is asked again then, or it has missed
    tries: int = 1
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class _Relay:
    """A probe for somebody else."""

    to: Address
    number: int
    of: int
    nack_at: int


@dataclass(slots=True)
class Counts:
    """For the figures."""

    probes: int = 0
    missed: int = 0
    suspected: int = 0
    refuted: int = 0
    failed: int = 0
    held_up: int = 0
    replayed: int = 0
    unknown: int = 0
    insane: int = 0  # claims that can't be true


class SwimMember:
    """See the module."""

    def __init__(
        self,
        own: Claim,
        rng: random.Random,
        now: int,
        *,
        contacts: Iterable[Address] = (),
        options: Options | None = None,
        spares: int = 0,
    ) -> None:
        """`spares`: a contact may be found at so many ports above its own, if a new version took over."""
        self.options = options or Options()
        self.own, self.info = own, Info(own.life, 0, 1, {"phase": int(Phase.JOINING)})
        self.table, self.counts, self.health = Table(), Counts(), Health()
        self.judgement, self.outside = Judgement(now), Outside()
        self._contacts = [contact for contact in contacts if contact != (own.host, own.port)]
        self._spares, self._joins = spares, 0
        self._random, self._ring = rng, Ring(rng)
        self._rumours, self._infos = Rumours(), Infos()
        self._numbers: dict[int, Numbers] = {}
        self._count = 0
        self._probes: dict[int, _Probe] = {}  # without an answer yet
        self.loss = Loss(self.options.helpers, self.options.most_tries)
        self._relays: dict[int, _Relay] = {}
        self._period_at = now + int(rng.random() * self.options.period)
        self._exchange_at = now + self.options.exchange
        self._revisit_at = now + self.options.revisit
        self._join_at = now
        self._ticked = now
        self._held_until = now
        self._host_works = True
        self._lost: dict[int, int] = {}  # lives that went silent, and when
        self._strangers: set[int] = set()
        self._were_there: frozenset[int] = frozenset()
        self._judged_version, self._judge_at = -1, now
        self._out: list[Action] = []
        self._infos.add(self.info)

    # --- for its consumers

    @property
    def sight(self) -> Sight:
        """What may be relied on."""
        return self.judgement.sight

    def there(self) -> list[Life]:
        """Lives taken for alive, this one not among them."""
        return self.table.there()

    def carry(self, told: dict[str, Any]) -> None:
        """What others are to know of us from now on; `ValueError` if it is too much."""
        told = dict(self.info.told) | told
        if not info_fits(told):
            raise ValueError(f"{len(told)} keys: too much to carry")
        if told != self.info.told:
            self._inform(told)

    def phase(self, phase: Phase) -> None:
        """Joining, serving, draining or leaving."""
        self.carry({"phase": int(phase)})

    def leave(self, now: int) -> list[Action]:
        """Say that we go, at once to some; nobody will suspect us then."""
        self.phase(Phase.LEAVING)
        self.own = self.own.saying(Status.LEFT, self.own.incarnation, 0)
        self._rumours.add(self.own)
        some = self._ring.others(self.table.up, 0, 3 * self.options.helpers)
        return [Send(self._at(life), Ping(self._next(), life, [self.own], [self.info])) for life in some]

    def next_at(self) -> int:
        """When `tick` is wanted at the latest."""
        if self.own.status == Status.LEFT:
            return self._ticked + self.options.exchange
        times = [self._period_at, self._exchange_at, self._revisit_at]
        if not self.table.up:
            times.append(self._join_at)
        times += [probe.next_at for probe in self._probes.values()]
        times += [relay.nack_at for relay in self._relays.values()]
        suspects = self.table.standing(Status.SUSPECT)
        members = len(self.table.up) + 1
        times += [self._next_look(life, members, len(suspects)) for life in suspects]
        return max(min(times), self._ticked + 1)

    # --- what happens

    def tick(self, now: int) -> list[Action]:
        """Whatever is due. One that has left says nothing more."""
        self._out = []
        if self.own.status == Status.LEFT:
            self._ticked = now
            return self._out
        late = now - self.next_at()  # of what is due, whatever was heard meanwhile
        self._ticked = now
        if late > self.options.held_up:
            self._was_held_up(now, late)
        self._look_at_host()
        self._tend_probes(now)
        for number, relay in list(self._relays.items()):
            if now >= relay.nack_at:
                del self._relays[number]
                self._out.append(Send(relay.to, Nack(relay.number, relay.of)))
        suspects = self.table.standing(Status.SUSPECT)
        for life in suspects:
            self._look_at(life, now, len(self.table.up) + 1, len(suspects))
        self._look_around(now)
        self._judge(now)
        return self._out

    def handle(self, now: int, life: int, number: int, source: Address, message: Message) -> list[Action]:
        """A message that could be opened, from this life under this number. A `View` that asks for an answer
        gets it as a further `View`, by way of `whole`."""
        self._out = []
        if life == self.own.life or self.own.status == Status.LEFT:
            return []
        if not isinstance(message, View):
            if not self._numbers.setdefault(life, Numbers()).new(number):
                self.counts.replayed += 1
                return []
            if self._is_over(life):
                return []
        known = self.table.lives.get(life)
        if known is not None:
            known.heard = now
        if not isinstance(message, Nack):
            self._learn(now, message.claims, message.infos)
        if isinstance(message, Ping):
            self._pinged(now, life, source, message)
        elif isinstance(message, Ack):
            self._answered(now, message)
        elif isinstance(message, Ask):
            self._asked(now, source, message)
        elif isinstance(message, Nack):
            self._heard_of(message)
        if (known := self.table.lives.get(life)) is not None:
            known.heard = now
            self._replaced(known, source, now)
        return self._out

    def whole(self, answer: bool) -> list[View]:
        """Our whole view, in pieces."""
        claims = [self.own, *(life.claim for life in self.table.lives.values())]
        infos = {life.claim.life: life.info for life in self.table.lives.values()}
        infos[self.own.life] = self.info
        views = []
        for start in range(0, len(claims), VIEW_LIVES):
            some = claims[start : start + VIEW_LIVES]
            told = [info for claim in some if (info := infos[claim.life]) is not None]
            views.append(View(answer and start == 0, some, told))
        return views

    # --- probes

    def _next(self) -> int:
        self._count += 1
        return self._count

    def _at(self, life: int) -> Address:
        claim = self.table.lives[life].claim
        return claim.host, claim.port

    def _riding(self, life: int) -> tuple[list[Claim], list[Info]]:
        """What rides on a message to this life: what is said of itself first, so that it can refute."""
        members = len(self.table.lives) + 1
        claims = self._rumours.pick(MOST_CLAIMS, members, life)
        known = self.table.lives.get(life)
        if known is not None and known.status is not Status.ALIVE and known.claim not in claims:
            claims = [known.claim, *claims[: MOST_CLAIMS - 1]]
        if known is None or not known.heard:
            claims = [self.own, *claims[: MOST_CLAIMS - 1]]
        return claims, self._infos.pick(MOST_INFOS, members)

    def _ping(self, life: int, number: int) -> None:
        claims, infos = self._riding(life)
        self._out.append(Send(self._at(life), Ping(number, life, claims, infos)))

    def _tend_probes(self, now: int) -> None:
        """Ask again whoever gave no answer yet, as often as the links' loss calls for; and ask the next."""
        options, factor = self.options, self.health.factor
        for probe in [probe for probe in self._probes.values() if now >= probe.next_at]:
            if probe.tries >= self.loss.tries():
                del self._probes[probe.number]
                self._missed(now, probe)
                continue
            probe.tries += 1
            if not probe.asked:
                self._ask_others(probe)
            if probe.life in self.table.lives:
                self._ping(probe.life, probe.number)
            last = probe.tries >= self.loss.tries()  # and a helper's answer takes longer
            probe.next_at = now + (options.period - options.answer if last else options.answer)
        if now < self._period_at:
            return
        self._period_at = now + options.period * factor
        if (life := self._ring.next(self.table.up)) is None or len(self._probes) >= MOST_PROBES:
            return
        if all(probe.life != life for probe in self._probes.values()):
            self.counts.probes += 1
            number = self._next()
            self._probes[number] = _Probe(number, life, now + options.answer * factor)
            self._ping(life, number)

    def _ask_others(self, probe: _Probe) -> None:
        helpers = self._ring.others(self.table.up, probe.life, self.options.helpers)
        probe.asked = max(1, len(helpers))
        for helper in helpers:
            claims, infos = self._riding(helper)
            self._out.append(Send(self._at(helper), Ask(probe.number, probe.life, claims, infos)))

    def _missed(self, now: int, probe: _Probe) -> None:
        """No answer came, to us or to whom we asked."""
        self.counts.missed += 1
        # Whoever was asked and says nothing either is a sign that it is we who hear badly.
        self.health.worse(max(1, min(2, probe.asked - probe.nacks)) if probe.asked > 1 else 1)
        known = self.table.lives.get(probe.life)
        if known is not None and known.there:
            self._suspect(
                known,
                self.own.life,
                now,
                f"no answer to probe {probe.number}, {probe.nacks} of "
                f"{probe.asked} helpers said that they heard us",
            )

    def _pinged(self, now: int, life: int, source: Address, message: Ping) -> None:
        if message.to != self.own.life:
            self.counts.unknown += 1
            # Meant for a life before us: who we are will show that it is over.
            self._out.append(Send(source, Ack(message.number, self.own.life, [self.own], [self.info])))
            return
        claims, infos = self._riding(life)
        if any(claim.life == self.own.life for claim in message.claims):  # what is true of us, first of all
            claims = [self.own, *(claim for claim in claims if claim.life != self.own.life)][:MOST_CLAIMS]
        self._out.append(Send(source, Ack(message.number, self.own.life, claims, infos)))

    def _answered(self, now: int, message: Ack) -> None:
        if (relay := self._relays.pop(message.number, None)) is not None and relay.of == message.of:
            self._out.append(Send(relay.to, Ack(relay.number, relay.of)))
        probe = self._probes.get(message.number)
        if probe is not None and probe.life == message.of:
            del self._probes[probe.number]
            self.loss.answered(probe.tries)
            self.health.better()
        if (known := self.table.lives.get(message.of)) is not None:
            known.heard = now

    def _asked(self, now: int, source: Address, message: Ask) -> None:
        known = self.table.lives.get(message.of)
        if known is None:
            return
        number = self._next()
        self._relays[number] = _Relay(source, message.number, message.of, now + self.options.answer)
        self._ping(message.of, number)

    def _heard_of(self, message: Nack) -> None:
        if (probe := self._probes.get(message.number)) is not None:
            probe.nacks += 1

    # --- claims

    def _learn(self, now: int, claims: list[Claim], infos: list[Info]) -> None:
        for claim in claims:
            if claim.life == self.own.life:
                self._told_of_us(claim)
            elif sane(claim):
                self._claimed(claim, now)
            else:
                self.counts.insane += 1
        for info in infos:
            if info.life != self.own.life and self.table.inform(info):
                self._infos.add(info)

    def _told_of_us(self, claim: Claim) -> None:
        """Refute what is said of us and is not so: only we raise our incarnation."""
        if (
            claim.status == Status.ALIVE
            or claim.incarnation < self.own.incarnation
            or self.own.status == Status.LEFT
        ):
            return
        self.counts.refuted += 1
        self.health.worse()
        self.own = self.own.saying(Status.ALIVE, claim.incarnation + 1, 0)
        self._rumours.add(self.own)
        self._inform(dict(self.info.told))
        self._tell("member.refuted", self.own, by=claim.by, was=Status(claim.status).name.lower())

    def _inform(self, told: dict[str, Any]) -> None:
        self.info = Info(self.own.life, self.own.incarnation, self.info.number + 1, told)
        self._infos.add(self.info)

    def _claimed(self, claim: Claim, now: int) -> None:
        known = self.table.lives.get(claim.life)
        if known is None and claim.status >= Status.FAILED:
            # Nobody here ever knew it: kept as a tombstone, so that an older rumour does not bring it to
            # life.
            self.table.take(claim, now)
            return
        if claim.status == Status.SUSPECT and known is not None and claim.rank == known.claim.rank:
            return self._confirm(known, claim.by)
        was = known.status if known is not None else None
        life = self.table.take(claim, now)
        if life is None:
            return
        self._rumours.add(claim)
        if claim.status == Status.SUSPECT:
            self._suspected(life, claim.by, now)
            self._ring.called(claim.life, len(self.table.lives) + 1)
        elif claim.status == Status.FAILED:
            self._note_loss(life, now)
        else:
            self._lost.pop(claim.life, None)
        if was is None or was is not life.status:
            self._tell(
                _EVENTS[life.status]
                if was is not Status.FAILED or life.status is not Status.ALIVE
                else "member.back",
                claim,
                by=claim.by,
            )
        if life.status is Status.ALIVE:
            self._same_name(life)

    def _confirm(self, known: Life, accuser: int) -> None:
        if accuser and accuser not in known.accusers:
            known.accusers.add(accuser)
            self._rumours.add(known.claim.saying(Status.SUSPECT, known.claim.incarnation, accuser))

    def _suspect(self, known: Life, by: int, now: int, why: str) -> None:
        if known.status is Status.SUSPECT:
            return self._confirm(known, by)
        claim = known.claim.saying(Status.SUSPECT, known.claim.incarnation, by)
        self.table.take(claim, now)
        self._suspected(known, by, now)
        self.counts.suspected += 1
        self._rumours.add(claim)
        self._tell("member.suspected", claim, by=by, why=why)

    def _fails_at(self, life: Life, members: int, suspects: int) -> int:
        """When a suspicion is a verdict: not before we could hear ourselves."""
        wait = wait_us(self.options.suspicion, len(life.accusers), members, suspects)
        wait *= self.health.factor * (1 if life.judge else OTHERS_WAIT)
        wait = min(wait, MOST_WAIT * self.options.suspicion)
        return max(life.since, self._held_until) + wait

    def _next_look(self, life: Life, members: int, suspects: int) -> int:
        """When something has to be done about a suspect: a last probe, or the verdict."""
        left = max(0, checks(self.health.doubt, self.loss.tries()) - life.checks)
        at = self._fails_at(life, members, suspects) - left * self.options.answer
        return max(at, life.checked + self.options.answer) if life.checks else at

    def _look_at(self, life: Life, now: int, members: int, suspects: int) -> None:
        if life.heard > life.since:  # it lives, whoever says otherwise: we judge no more, and it will refute
            life.since, life.checks = now, 0
            life.accusers.clear()
        elif now < self._next_look(life, members, suspects):
            return
        elif life.checks >= checks(self.health.doubt, self.loss.tries()):
            self._fail(life, now)
        else:
            life.checks, life.checked = life.checks + 1, now
            self._ping(life.claim.life, self._next())

    def _suspected(self, life: Life, by: int, now: int) -> None:
        """A suspicion begins, ours or another's."""
        life.accusers, life.checks = {by}, 0
        life.judge = self._random.random() < JUDGES / (len(self.table.lives) + 1)
        self._note_loss(life, now)

    def _fail(self, life: Life, now: int) -> None:
        claim = life.claim.saying(Status.FAILED, life.claim.incarnation, self.own.life)
        evidence = {"accusers": len(life.accusers), "suspected_us": now - life.since, "probed": life.checks}
        self.table.take(claim, now)
        self.counts.failed += 1
        self._rumours.add(claim)
        self._tell("member.failed", claim, by=self.own.life, **evidence)

    def _replaced(self, known: Life, source: Address, now: int) -> None:
        """It speaks from its own address: whoever had that before is over, and need not be suspected."""
        if source != (known.claim.host, known.claim.port):
            return
        for other in self.table.at(source):
            if other is not known:
                self._fail(other, now)

    def _is_over(self, life: int) -> bool:
        """Whether this life has left: what it said before may still arrive."""
        known = self.table.lives.get(life)
        return known is not None and known.status is Status.LEFT

    def _note_loss(self, life: Life, now: int) -> None:
        self._lost.setdefault(life.claim.life, now)

    def _same_name(self, life: Life) -> None:
        """Two versions of one server are one member; two servers under one name are a mistake of
        somebody's."""
        if life.claim.name == self.own.name and life.claim.place != self.own.place:
            others = [life]
        else:
            others = self.table.strangers(life.claim.name, life.claim.place)
        for other in others:
            if life.claim.life not in self._strangers:
                self._strangers.add(life.claim.life)
                place = other.claim.place if other is not life else self.own.place
                self._tell("member.same_name", life.claim, place=life.claim.place, other_place=place)

    # --- the rest

    def _was_held_up(self, now: int, late: int) -> None:
        """We stood still: what is due by the clock is not due by what we could have heard."""
        self.counts.held_up += 1
        self.health.worse(2)
        self._held_until = now
        self._probes.clear()
        self._period_at = now + self.options.period
        self._exchange_at = min(self._exchange_at, now + self.options.answer)
        self._tell("member.held_up", self.own, late_us=late)

    def _look_at_host(self) -> None:
        """A host that stands still serves nobody, though we answer for it: doubt ourselves while it does."""
        works = self.outside.host is not False
        if not works:
            self.health.worse()
        if works is not self._host_works:
            self._host_works = works
            self._tell("member.host_works" if works else "member.host_held_up", self.own)

    def _look_around(self, now: int) -> None:
        options, there = self.options, self.table.up
        if not there and now >= self._join_at:
            self._join_at = now + options.revisit
            some = self._random.sample(self._contacts, min(MOST_JOINS, len(self._contacts)))
            above = self._joins % (self._spares + 1)
            self._joins += 1
            self._out += [Exchange((host, port + above)) for host, port in some]
        if there and self.info.told.get("phase") == Phase.JOINING:
            self.phase(Phase.SERVING)
        if now >= self._exchange_at:
            # A whole view grows with the fleet: so does the time between two, and the bytes a second stay.
            times = max(1.0, len(self.table.lives) / EXCHANGE_LIVES) * self._random.uniform(0.5, 1.5)
            self._exchange_at = now + int(options.exchange * times)
            if there:
                self._out.append(Exchange(self._at(self._random.choice(list(there)))))
        if now >= self._revisit_at:
            self._revisit_at = now + options.revisit
            self._revisit(now)
            for life in self.table.forget(now, options.tombstone, options.dead_lives):
                self._rumours.drop(life)
                self._infos.drop(life)
                self._lost.pop(life, None)
                self._strangers.discard(life)
            self.tend()

    def tend(self) -> None:
        """Remember the numbers of no sender that is not known: only a life that is can be played again."""
        for life in [life for life in self._numbers if life not in self.table.lives]:
            del self._numbers[life]

    def _revisit(self, now: int) -> None:
        """One of those that were found failed, or a contact that nobody knows any more: are they there
        again?"""
        failed = [
            life
            for life in self.table.standing(Status.FAILED)
            if not self.table.at((life.claim.host, life.claim.port))
        ]
        if failed:
            self._ping(self._random.choice(failed).claim.life, self._next())
        missing = [
            (host, port)
            for host, port in self._contacts
            if not any(self.table.at((host, port + above)) for above in range(self._spares + 1))
        ]
        if missing and self._random.random() < 1 / max(1, len(self.table.up)):
            host, port = self._random.choice(missing)
            self._out.append(Exchange((host, port + self._random.randint(0, self._spares))))

    def _judge(self, now: int) -> None:
        if self.table.version == self._judged_version and now < self._judge_at:
            return
        changed, self._judge_at = False, now + JUDGE_US
        if self.table.version != self._judged_version:
            self._judged_version, lives = self.table.version, frozenset(self.table.up)
            changed, self._were_there = lives != self._were_there, lives
        survey = look(
            self.own,
            self.table,
            self._lost,
            now,
            self._lease(),
            self.options.losses,
            self.health.doubt,
            self.outside,
        )
        seen, self._lost = survey.evidence, survey.lost
        before = self.sight
        if self.judgement.look(now, seen, survey.least, survey.most, changed):
            self._tell(
                "member.sight",
                self.own,
                verdict=self.sight.verdict.value,
                was=before.verdict.value,
                confidence=round(self.sight.confidence, 2),
                were=seen.were,
                silent=seen.silent,
            )

    def _lease(self) -> int:
        """Everybody is heard once a round at the least: the lease covers that, whatever the size."""
        return max(self.options.lease, self.options.period * (len(self.table.lives) + 1))

    def _tell(self, event: str, claim: Claim, **more: Any) -> None:
        about = {"name": claim.name, "life": f"{claim.life:016x}", "incarnation": claim.incarnation}
        by = more.pop("by", 0)
        self._out.append(Tell(event, about | ({"by": f"{by:016x}"} if by else {}) | more))


_EVENTS = {
    Status.ALIVE: "member.alive",
    Status.SUSPECT: "member.suspected",
    Status.FAILED: "member.failed",
    Status.LEFT: "member.left",
}
