"""Timing options and counters of a member."""

from __future__ import annotations

from dataclasses import dataclass

from .ping_schedule import MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class Options:
    """Times in microseconds. The defaults detect a kill within 2 s; `docs/membership.md` has the figures."""

    period: int = 200_000  # between two pings of this member
    ack_timeout: int = 80_000  # from a ping until the helpers are asked to ping as well
    helpers: int = 3  # number of members that are asked for an indirect ping
    max_attempts: int = MAX_ATTEMPTS  # upper limit of the attempts of one ping on links that lose datagrams
    suspicion: int = 350_000  # minimum wait before a suspect is declared failed
    exchange_interval: int = 10_000_000  # between two state exchanges, before random jitter
    revisit_interval: int = 1_000_000  # between two pings of members that were declared failed
    tombstone_retention: int = 60_000_000  # failed and left instances are removed after it
    max_tombstones: int = 4  # failed or left instances kept per name
    heard_lease: int = 1_500_000  # an instance that was heard within this time is certainly up
    loss_window: int = 10_000_000  # losses within this time count as simultaneous
    max_tick_delay: int = 300_000  # a tick that is later than this indicates a stall of this process


@dataclass(slots=True)
class Counts:
    """Counters of one member; the field names are the names in the metrics."""

    probes: int = 0  # pings that were started
    missed: int = 0  # pings that were given up without an answer
    suspected: int = 0  # suspicions that this member raised
    refuted: int = 0  # claims about this member that it refuted
    failed: int = 0  # failures that this member declared
    held_up: int = 0  # ticks that came later than `max_tick_delay`
    replayed: int = 0  # datagrams rejected by the replay window
    unknown: int = 0  # pings meant for an earlier instance at this address
    insane: int = 0  # claims with fields outside their limits
