"""Transitions between the states of a small cluster, computed with the real `SwimMember`."""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import TypeVar

from ...membership.member_table import Claim, Status
from ...membership.messages import MAX_DATAGRAM_BYTES, Message, View, seal
from ...membership.swim import Action, ReportEvent, Send, SwimMember
from .invariants import InvariantError, check_step, check_verdicts, suspects_of, why_unstable
from .world_states import KEY, Envelope, FaultCounts, FixedRandom, State, address_of, load, number_at

T = TypeVar("T")
# Delay of each message while the cluster runs without exploration of message orders.
MESSAGE_DELAY_US = 1_000
# Without faults, members agree and their gossip has ended within this time, from any initial state.
STABILIZATION_US = 45_000_000
# Interval of the checks whether the members are stable.
STABILITY_CHECK_US = 250_000
# Duration of the partition that leads to the initial state `cut`.
PARTITION_US = 15_000_000
MAX_STEPS_TO_SUSPICION = 200
# Maximum number of faults of each kind on one path.
MAX_LOSSES = 3
MAX_DUPLICATES = 1
MAX_RESTARTS = 1
MAX_LEAVES = 1


def _replaced(items: tuple[T, ...], number: int, item: T) -> tuple[T, ...]:
    return *items[:number], item, *items[number + 1 :]


def _without_messages_of(state: State, number: int) -> State:
    """The state without the messages in flight from and to this member."""
    address = address_of(number)
    in_flight = tuple(
        envelope for envelope in state.in_flight if address not in (envelope.to, envelope.source)
    )
    return replace(state, in_flight=in_flight)


class World:
    """The transitions between states of a cluster with `members` members."""

    def __init__(self, members: int) -> None:
        self.count = members

    # --- initial states

    def _new(self, number: int, life: int, now: int) -> SwimMember:
        claim = Claim(life, f"n{number}", f"p{number}", *address_of(number), 0, 0)
        return SwimMember(
            claim, FixedRandom(), now, contacts=[address_of(contact) for contact in range(self.count)]
        )

    def joined(self) -> State:
        """All members know each other, and no message is in flight."""
        members = [self._new(number, 100 + number, 0) for number in range(self.count)]
        state = State(
            0,
            tuple(pickle.dumps(member) for member in members),
            (0,) * self.count,
            (),
            owned=tuple((member.own.instance_id, 0, False) for member in members),
        )
        return self.rest(state, STABILIZATION_US)

    def restarted(self) -> State:
        """The last member was killed and restarted, and its first messages are in flight."""
        state = self._restart(self.joined(), self.count - 1)
        state = replace(state, faults=FaultCounts())
        while not state.in_flight:
            state = self._tick(state)
        return state

    def suspected(self) -> State:
        """The first member suspects the second, and the other members don't know of the suspicion yet."""
        state = self.joined()
        for _ in range(MAX_STEPS_TO_SUSPICION):
            if any(load(state.members[0]).table.with_status(Status.SUSPECT)):
                return replace(state, in_flight=())
            state = self._tick(state)
            state = _without_messages_of(state, 1)
            while state.in_flight:
                state = _without_messages_of(self._deliver(state, 0), 1)
        raise AssertionError("no member was suspected")

    def cut(self) -> State:
        """The first half was partitioned from the others until each side declared the other failed."""
        state = self.joined()
        minority = {address_of(number) for number in range(self.count // 2)}
        ends_at = state.now + PARTITION_US
        while state.now < ends_at:
            state = self._tick(state)
            while state.in_flight:
                envelope = state.in_flight[0]
                crosses = (envelope.to in minority) is not (envelope.source in minority)
                state = self._drop(state, 0) if crosses else self._deliver(state, 0)
        return state

    # --- steps

    def _envelopes(self, member: SwimMember, sent: int, actions: Sequence[Action]) -> list[Envelope]:
        """The messages that a member's actions send; their numbers follow the `sent` earlier ones."""
        envelopes: list[Envelope] = []
        source = member.own.host, member.own.port
        for action in actions:
            if isinstance(action, ReportEvent):
                continue
            messages: list[Message] = (
                [action.message] if isinstance(action, Send) else [*member.state_messages(True)]
            )
            for message in messages:
                envelope = Envelope(
                    action.to, member.own.instance_id, sent + len(envelopes) + 1, source, message
                )
                if not isinstance(message, View):
                    size = len(seal(KEY, envelope.life, envelope.number, message))
                    if size > MAX_DATAGRAM_BYTES:
                        raise InvariantError(f"a datagram of {size} bytes")
                envelopes.append(envelope)
        return envelopes

    def _handle(
        self,
        member: SwimMember,
        now: int,
        envelope: Envelope,
        sent: int,
    ) -> tuple[list[Action], list[Envelope]]:
        """The actions and messages of a member that receives a message; a view may request one in return."""
        actions = member.handle(now, envelope.life, envelope.number, envelope.source, envelope.message)
        envelopes = self._envelopes(member, sent, actions)
        if isinstance(envelope.message, View) and envelope.message.answer:
            envelopes += [
                Envelope(
                    envelope.source, member.own.instance_id, sent + len(envelopes) + number, envelope.to, view
                )
                for number, view in enumerate(member.state_messages(False), start=1)
            ]
        return actions, envelopes

    def _after(
        self,
        state: State,
        number: int,
        member: SwimMember,
        actions: Sequence[Action],
        envelopes: Sequence[Envelope],
    ) -> State:
        """The state after this member's step; its invariants are checked."""
        before = load(state.members[number])
        owned = {life: (incarnation, left) for life, incarnation, left in state.owned}
        highest, left = owned.get(member.own.instance_id, (0, False))
        if member.own.incarnation < highest and member.own.status != Status.LEFT:
            raise InvariantError(f"n{number} lowers its own incarnation")
        owned[member.own.instance_id] = (
            max(highest, member.own.incarnation),
            left or member.own.status == Status.LEFT,
        )
        check_step(number, before, member, actions, owned)
        sent = state.sent[number] + len(envelopes)
        return replace(
            state,
            members=_replaced(state.members, number, pickle.dumps(member)),
            sent=_replaced(state.sent, number, sent),
            in_flight=(*state.in_flight, *envelopes),
            owned=tuple((life, *record) for life, record in sorted(owned.items())),
        )

    def _running(self, state: State) -> list[int]:
        return [number for number in range(self.count) if number not in state.gone]

    def _tick(self, state: State) -> State:
        """Advance the time to the next timer of a member, and run it."""
        at, number = min((load(state.members[number]).next_at(), number) for number in self._running(state))
        state = replace(state, now=max(state.now, at))
        member = load(state.members[number])
        actions = member.tick(state.now)
        return self._after(
            state, number, member, actions, self._envelopes(member, state.sent[number], actions)
        )

    def _drop(self, state: State, position: int) -> State:
        return replace(state, in_flight=(*state.in_flight[:position], *state.in_flight[position + 1 :]))

    def _deliver(self, state: State, position: int, keep: bool = False) -> State:
        envelope = state.in_flight[position]
        left = state if keep else self._drop(state, position)
        number = number_at(envelope.to)
        if number in state.gone or not 0 <= number < self.count:
            return left
        member = load(state.members[number])
        actions, envelopes = self._handle(member, state.now, envelope, state.sent[number])
        return self._after(left, number, member, actions, envelopes)

    def _restart(self, state: State, number: int) -> State:
        life = max(life for life, _, _ in state.owned) + 100
        member = self._new(number, life, state.now)
        faults = replace(state.faults, restarts=state.faults.restarts + 1)
        return replace(
            state,
            members=_replaced(state.members, number, pickle.dumps(member)),
            faults=faults,
            sent=_replaced(state.sent, number, 0),
            owned=(*state.owned, (life, 0, False)),
        )

    def _leave(self, state: State, number: int) -> State:
        member = load(state.members[number])
        actions = member.leave(state.now)
        envelopes = self._envelopes(member, state.sent[number], actions)
        after = self._after(state, number, member, actions, envelopes)
        faults = replace(state.faults, leaves=state.faults.leaves + 1)
        return replace(after, faults=faults, gone=state.gone | {number})

    def steps(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """All possible next steps, with their names."""
        faults = state.faults
        seen = set()
        for position, envelope in enumerate(state.in_flight):
            content = repr((envelope.to, envelope.life, envelope.message))
            if content in seen:
                continue
            seen.add(content)
            name = f"{type(envelope.message).__name__} {number_at(envelope.source)}>{number_at(envelope.to)}"
            yield f"deliver {name}", lambda position=position: self._deliver(state, position)  # type: ignore[misc]
            if faults.losses < MAX_LOSSES:
                lost = replace(faults, losses=faults.losses + 1)
                yield (
                    f"lose {name}",
                    lambda position=position, lost=lost: replace(  # type: ignore[misc]
                        self._drop(state, position), faults=lost
                    ),
                )
            if faults.duplicates < MAX_DUPLICATES:
                duplicated = replace(faults, duplicates=faults.duplicates + 1)
                yield (
                    f"double {name}",
                    lambda position=position, duplicated=duplicated: replace(  # type: ignore[misc]
                        self._deliver(state, position, keep=True), faults=duplicated
                    ),
                )
        yield "time", lambda: self._tick(state)
        for number in self._running(state):
            if faults.restarts < MAX_RESTARTS:
                yield f"restart {number}", lambda number=number: self._restart(state, number)  # type: ignore[misc]
            if faults.leaves < MAX_LEAVES:
                yield f"leave {number}", lambda number=number: self._leave(state, number)  # type: ignore[misc]

    # --- final states

    def rest(self, state: State, within: int, stop_when_stable: bool = False) -> State:
        """Continue without faults for `within` microseconds.

        Messages arrive in order, each after `MESSAGE_DELAY_US`. With `stop_when_stable`, stop as soon as all
        members are stable.
        """
        check_at = state.now + STABILITY_CHECK_US
        ends_at = state.now + within
        due = [(state.now + MESSAGE_DELAY_US, envelope) for envelope in state.in_flight]
        members = {number: load(state.members[number]) for number in self._running(state)}
        now = state.now
        sent = list(state.sent)
        state = replace(state, in_flight=())
        while True:
            at, number = min((member.next_at(), number) for number, member in members.items())
            if due and due[0][0] <= at:
                now, envelope = due.pop(0)
                number = number_at(envelope.to)
                if number not in members:
                    continue
                _, envelopes = self._handle(members[number], now, envelope, sent[number])
            else:
                if at > ends_at or (stop_when_stable and at > check_at and not why_unstable(members)):
                    break
                check_at = max(check_at, at - at % STABILITY_CHECK_US + STABILITY_CHECK_US)
                now = max(now, at)
                member = members[number]
                suspects = suspects_of(member)
                actions = member.tick(now)
                check_verdicts(number, suspects, member, actions)
                envelopes = self._envelopes(member, sent[number], actions)
            sent[number] += len(envelopes)
            due += [(now + MESSAGE_DELAY_US, envelope) for envelope in envelopes]
        owned = {life: (incarnation, left) for life, incarnation, left in state.owned}
        for member in members.values():
            highest, left = owned.get(member.own.instance_id, (0, False))
            owned[member.own.instance_id] = max(highest, member.own.incarnation), left
        all_members = tuple(
            pickle.dumps(members[number]) if number in members else state.members[number]
            for number in range(self.count)
        )
        return replace(
            state,
            now=now,
            members=all_members,
            sent=tuple(sent),
            owned=tuple((life, *record) for life, record in sorted(owned.items())),
        )

    def at_rest(self, state: State) -> None:
        """Raise `InvariantError` if the members don't become stable without further faults."""
        members = {
            number: load(data)
            for number, data in enumerate(self.rest(state, STABILIZATION_US, True).members)
            if number not in state.gone
        }
        if reason := why_unstable(members):
            raise InvariantError(reason)
