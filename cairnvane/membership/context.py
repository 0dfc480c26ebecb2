"""State that the components of one member share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .actions import Outbox
from .local_health import LocalHealth
from .local_member import LocalMember
from .member_table import Table
from .options import Counts, Options


@dataclass(slots=True)
class MemberContext:
    """State that all components of a member may read; used only in the thread that drives the member."""

    options: Options
    local: LocalMember
    random: random.Random
    table: Table = field(default_factory=Table)
    health: LocalHealth = field(default_factory=LocalHealth)
    counts: Counts = field(default_factory=Counts)
    outbox: Outbox = field(default_factory=Outbox)
