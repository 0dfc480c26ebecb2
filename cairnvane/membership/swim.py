"""One member of the cluster: handles messages and timers, and returns actions. No I/O, no clock.

The protocol combines the pings and gossip of SWIM, suspicion with the local health of Lifeguard before a
member is declared failed, periodic exchanges of whole states, and pings of failed members, so that the two
sides of a partition reconnect after it heals. The driver calls `handle` for each received message, and `tick`
no later than `next_at`; all randomness comes from the random source passed in.

`SwimMember` determines the order of the steps. The components own their state: `failure_detector`,
`suspicion`, `claim_merger`, `dissemination`, `partition_monitor`, `state_exchange`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from .actions import Action, Address, Exchange, ReportEvent, Send
from .claim_merger import ClaimMerger
from .claims import Claim, Info, Phase, Status, is_valid_claim
from .context import MemberContext
from .dissemination import Dissemination
from .envelope import ReplayWindow
from .evidence import ExternalSignals
from .failure_detector import FailureDetector
from .local_health import required_final_pings
from .local_member import LocalMember
from .member_table import MemberRecord
from .messages import Ack, Ask, Message, Nack, Ping, View
from .options import Counts, Options
from .partition_detector import Assessment, PartitionDetector
from .partition_monitor import PartitionMonitor
from .ping_schedule import PingLossEstimator
from .state_exchange import StateExchange
from .suspicion import Suspicions

__all__ = ["Action", "Address", "Counts", "Exchange", "Options", "Send", "SwimMember", "ReportEvent"]

# A member that leaves notifies this many times the number of helpers of an indirect ping.
LEAVE_MESSAGES_PER_HELPER = 3
# Points added to the local health score after this process was stalled.
HELD_UP_PENALTY = 2


class SwimMember:
    """Coordinates the components of one member; see the module documentation."""

    def __init__(
        self,
        own: Claim,
        rng: random.Random,
        now: int,
        *,
        contacts: Iterable[Address] = (),
        options: Options | None = None,
        spare_ports: int = 0,
    ) -> None:
        """`spare_ports`: number of ports above a contact's own at which a new version of it may listen."""
        self.options = options or Options()
        self._local = LocalMember(own)
        context = MemberContext(self.options, self._local, rng)
        self.table = context.table
        self.counts = context.counts
        self.health = context.health
        self.external_signals = ExternalSignals()
        self._outbox = context.outbox
        self._dissemination = Dissemination(context)
        self._claim_queue = self._dissemination.claims
        self._replay_windows: dict[int, ReplayWindow] = {}  # by sending instance
        self._partition = PartitionMonitor(context, now)
        self._suspicions = Suspicions(context, self._dissemination, self._partition, now)
        self._detector = FailureDetector(context, self._dissemination, self._suspicions, now)
        self._merger = ClaimMerger(
            context,
            self._dissemination,
            self._suspicions,
            self._partition,
            self._detector.schedule,
        )
        self._state_exchange = StateExchange(context, self._dissemination, now, contacts, spare_ports)
        self._last_tick_at = now
        self._event_loop_responsive = True
        self._dissemination.metadata.add(self.metadata)

    # --- state for consumers, and changes to it

    @property
    def own(self) -> Claim:
        """This member's claim about itself."""
        return self._local.claim

    @property
    def metadata(self) -> Info:
        """The metadata that this member publishes."""
        return self._local.metadata

    @property
    def partition_detector(self) -> PartitionDetector:
        """Assesses whether this member is partitioned off."""
        return self._partition.detector

    @property
    def ping_loss(self) -> PingLossEstimator:
        """The estimated loss of pings and their answers."""
        return self._detector.loss

    @property
    def assessment(self) -> Assessment:
        """The current assessment of the cluster, which consumers may rely on."""
        return self._partition.detector.assessment

    def up_members(self) -> list[MemberRecord]:
        """Records of alive and suspected members, without this one."""
        return self.table.up_records()

    def publish_metadata(self, values_to_add: dict[str, Any]) -> None:
        """Add or replace published metadata values; raises `ValueError` if they exceed the limits."""
        values = self._local.merged_metadata(values_to_add)
        if values != self.metadata.metadata:
            self._publish(values)

    def publish_phase(self, phase: Phase) -> None:
        """Publish the lifecycle phase of this member."""
        self.publish_metadata({"phase": int(phase)})

    def leave(self, now: int) -> list[Action]:
        """Notify some members at once that this one leaves, so that no member suspects it."""
        self.publish_phase(Phase.LEAVING)
        self._local.mark_left()
        self._claim_queue.add(self.own)
        recipient_count = LEAVE_MESSAGES_PER_HELPER * self.options.helpers
        recipients = self._detector.schedule.pick_helpers(self.table.up, 0, recipient_count)
        dissemination = self._dissemination
        return [
            Send(dissemination.address_of(recipient), dissemination.leave_message(recipient))
            for recipient in recipients
        ]

    def next_at(self) -> int:
        """The latest time for the next call of `tick`."""
        if self._local.has_left:
            return self._last_tick_at + self.options.exchange_interval
        times = self._detector.due_times()
        times += self._state_exchange.due_times()
        times += self._suspicions.due_times(self._final_pings_needed())
        return max(min(times), self._last_tick_at + 1)

    # --- input from the driver

    def tick(self, now: int) -> list[Action]:
        """Do all work that is due. A member that has left does nothing."""
        actions = self._outbox.begin_step()
        if self._local.has_left:
            self._last_tick_at = now
            return actions
        delay = now - self.next_at()  # behind the due time, regardless of messages received since
        self._last_tick_at = now
        if delay > self.options.max_tick_delay:
            self._resume_after_delay(now, delay)
        self._check_event_loop()
        self._detector.tick(now)
        self._suspicions.tick(now, self._final_pings_needed())
        self._maintain_membership(now)
        self._partition.tick(now, self.external_signals)
        return actions

    def handle(self, now: int, sender: int, number: int, source: Address, message: Message) -> list[Action]:
        """Handle an opened message from the instance `sender`, with its message number.

        If a `View` asks for an answer, the driver sends it, with the result of `state_messages`.
        """
        actions = self._outbox.begin_step()
        if sender == self.own.instance_id or self._local.has_left:
            return []
        if not isinstance(message, View) and not self._accepts(sender, number):
            return []
        self._mark_heard(sender, now)
        if not isinstance(message, Nack):
            self._merge_piggybacked(now, message.claims, message.infos)
        self._dispatch(now, sender, source, message)
        record = self._mark_heard(sender, now)
        if record is not None:
            self._merger.replace_predecessors(record, source, now)
        return actions

    def state_messages(self, answer: bool) -> list[View]:
        """The whole state, split into messages; `answer` asks the peer to send its own."""
        return self._state_exchange.views(answer)

    def drop_unknown_replay_windows(self) -> None:
        """Drop the replay windows of unknown senders; after that, only their datagrams can be replayed."""
        unknown = [
            instance_id for instance_id in self._replay_windows if instance_id not in self.table.records
        ]
        for instance_id in unknown:
            del self._replay_windows[instance_id]

    # --- messages

    def _accepts(self, sender: int, number: int) -> bool:
        """Whether to handle a datagram: it is not a replay, and its sender has not left."""
        window = self._replay_windows.setdefault(sender, ReplayWindow())
        if not window.accept(number):
            self.counts.replayed += 1
            return False
        return not self._merger.has_left(sender)

    def _mark_heard(self, sender: int, now: int) -> MemberRecord | None:
        record = self.table.records.get(sender)
        if record is not None:
            record.last_heard_at = now
        return record

    def _dispatch(self, now: int, sender: int, source: Address, message: Message) -> None:
        if isinstance(message, Ping):
            self._on_ping(sender, source, message)
        elif isinstance(message, Ack):
            self._detector.on_ack(now, message)
        elif isinstance(message, Ask):
            self._detector.on_ping_request(now, source, message)
        elif isinstance(message, Nack):
            self._detector.on_nack(message)

    def _on_ping(self, sender: int, source: Address, message: Ping) -> None:
        if message.target != self.own.instance_id:
            self.counts.unknown += 1
            self._dissemination.send_identity(source, message)
            return
        self._dissemination.send_ack(sender, source, message)

    def _merge_piggybacked(self, now: int, claims: list[Claim], metadata: list[Info]) -> None:
        """Merge the claims and metadata of a message."""
        for claim in claims:
            if claim.instance_id == self.own.instance_id:
                self._refute_claim(claim)
            elif is_valid_claim(claim):
                self._merger.merge(claim, now)
            else:
                self.counts.insane += 1
        for info in metadata:
            if info.instance_id != self.own.instance_id and self.table.update_metadata(info):
                self._dissemination.metadata.add(info)

    def _refute_claim(self, claim: Claim) -> None:
        """Refute a wrong claim about this member."""
        if not self._local.needs_refutation(claim):
            return
        self.counts.refuted += 1
        self.health.degrade()
        self._local.refute(claim)
        self._claim_queue.add(self.own)
        self._publish(dict(self.metadata.metadata))
        status_name = Status(claim.status).name.lower()
        self._outbox.report("member.refuted", self.own, by=claim.by, was=status_name)

    def _publish(self, values: dict[str, Any]) -> None:
        self._local.publish(values)
        self._dissemination.metadata.add(self.metadata)

    # --- timers

    def _final_pings_needed(self) -> int:
        """Number of pings to a suspect before it is declared failed."""
        return required_final_pings(self.health.score, self.ping_loss.attempts_needed())

    def _resume_after_delay(self, now: int, delay: int) -> None:
        """Restart pings and suspicion timeouts, since a stalled process could not receive answers."""
        self.counts.held_up += 1
        self.health.degrade(HELD_UP_PENALTY)
        self._suspicions.delay_verdicts(now)
        self._detector.restart(now)
        self._state_exchange.exchange_by(now + self.options.ack_timeout)
        self._outbox.report("member.held_up", self.own, late_us=delay)

    def _check_event_loop(self) -> None:
        """Degrade local health while the event loop is unresponsive; this thread still answers pings."""
        responsive = self.external_signals.event_loop_responsive is not False
        if not responsive:
            self.health.degrade()
        if responsive is not self._event_loop_responsive:
            self._event_loop_responsive = responsive
            self._outbox.report("member.host_works" if responsive else "member.host_held_up", self.own)

    def _maintain_membership(self, now: int) -> None:
        """Join, exchange states, contact failed members, and remove expired tombstones."""
        self._state_exchange.join_if_due(now)
        if self.table.up and self._local.is_joining:
            self.publish_phase(Phase.SERVING)
        self._state_exchange.exchange_if_due(now)
        if self._state_exchange.revisit_is_due(now):
            self._revisit(now)
            self._remove_expired(now)
            self.drop_unknown_replay_windows()

    def _revisit(self, now: int) -> None:
        """Contact members that were declared failed, or configured contacts where no member is up."""
        self._state_exchange.revisit()

    def _remove_expired(self, now: int) -> None:
        options = self.options
        expired = self.table.remove_expired(now, options.tombstone_retention, options.max_tombstones)
        for instance_id in expired:
            self._dissemination.forget(instance_id)
            self._partition.clear_loss(instance_id)
            self._merger.forget(instance_id)
