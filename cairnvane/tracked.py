"""Where a request stands, as the host keeps account of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from . import interface as i
from .exchange import Request
from .interface import Outcome
from .keys import Begun, Past
from .net.vault import Call

# On which link a run of an earlier life was told of: before any of ours.
EARLIER_LINK = -1


@dataclass(slots=True)
class Tracked:
    """Where a request stands."""

    id: int
    exchange: Request
    cls: i.RequestClass
    repeats: int | None
    past: Past | None = None  # what it repeats, if that has left the host's hands
    same: bytes = b""  # the digest of what all its tries have in common, where keys outlast this life
    held: bool = True  # neither run nor over
    running: bool = False  # the pool has it, or was told to
    outcome: Outcome | None = None  # how it ended, if it is over
    result: bytes = b""  # kept while a repeat may want it
    waiting: list[int] = field(default_factory=list)  # repeats that wait for its end
    call: Call | None = None
    call_body: bytes = b""
    call_pos: int = 0  # the number of the notice that asked for the call
    reply: bytes | None = None  # of its last call; None before the first one
    told: int | None = None  # on which link its last command went; None: shown to have arrived
    told_at: int = 0  # and when
    halted: int | None = None  # on which link it was told to stop

    def alike(self, request: Request, same: bytes) -> bool:
        """Whether this could be another try of it, whose digest is `same`, where digests are needed: of a run
        of an earlier life nothing else is known."""
        if same:
            return self.same == same
        return (self.exchange.lane, self.exchange.body) == (request.lane, request.body)


def adopted(begun: Begun, number: int, cls: i.RequestClass, now: int) -> Tracked:
    """A run of an earlier life, whose caller has gone with it."""
    request = Request(
        lambda answer: None,
        begun.uid,
        begun.lane,
        b"",
        arrived=now,
        caller=0,
        memory=begun.memory,
        token=begun.token.hex(),
    )
    return Tracked(number, request, cls, None, held=False, running=True, told=EARLIER_LINK, same=begun.digest)
