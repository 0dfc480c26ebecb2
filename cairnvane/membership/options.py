"""Timing options and counters of a member."""

from __future__ import annotations

from dataclasses import dataclass

from .ping_schedule import MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class Options:
    """Times in microseconds. The defaults find a kill within 2 s; `docs/membership.md` has the figures."""

    period: int = 200_000  # between two pings
    ack_timeout: int = 80_000  # until helpers are asked to ping as well
    helpers: int = 3  # asked for an indirect ping
    max_attempts: int = MAX_ATTEMPTS  # attempts of one ping, where links lose datagrams
    suspicion: int = 350_000  # the least wait before a suspect is declared failed
    exchange_interval: int = 10_000_000  # between two state exchanges; the actual time is drawn around it
    revisit_interval: int = 1_000_000  # between two pings of members that were declared failed
    tombstone_retention: int = 60_000_000
    max_tombstones: int = 4  # failed or left instances remembered for one name
    heard_lease: int = 1_500_000  # an instance that was heard within it is certainly up
    loss_window: int = 10_000_000  # losses within it count as simultaneous
    max_tick_delay: int = 300_000  # a tick later than this shows that this process was held up


@dataclass(slots=True)
class Counts:
    """Counters of one member; the field names are the names in the metrics."""

    probes: int = 0  # pings that were started
    missed: int = 0  # pings without an answer
    suspected: int = 0  # suspicions that this member raised
    refuted: int = 0  # claims about this member that it refuted
    failed: int = 0  # members that this one declared failed
    held_up: int = 0  # ticks that came too late
    replayed: int = 0  # messages under a number that had been seen
    unknown: int = 0  # pings meant for an earlier instance at this address
    insane: int = 0  # claims that can't be true
