"""Where a request stands, as the host keeps account of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..contract.events import Outcome
from ..contract.settings import RequestClass
from ..exchange import Request
from ..idempotency.store import StartedRun, StoredEntry
from ..net.vault import VaultCall

# On which link a run of an earlier life was told of: before any of ours.
EARLIER_LINK = -1


@dataclass(slots=True)
class InFlightRequest:
    """Where a request stands."""

    request_id: int
    request: Request
    request_class: RequestClass
    duplicate_of: int | None
    stored_entry: StoredEntry | None = None  # what it repeats, if that has left the host's hands
    fingerprint: bytes = b""  # the digest of what all its tries have in common, where keys outlast this life
    is_queued: bool = True  # neither run nor over
    is_running: bool = False  # the pool has it, or was told to
    outcome: Outcome | None = None  # how it ended, if it is over
    result: bytes = b""  # kept while a repeat may want it
    waiting_duplicates: list[int] = field(default_factory=list)  # repeats that wait for its end
    vault_call: VaultCall | None = None
    call_body: bytes = b""
    call_notice: int = 0  # the number of the notice that asked for the call
    call_reply: bytes | None = None  # of its last call; None before the first one
    command_link: int | None = None  # on which link its last command went; None: shown to have arrived
    command_sent_at: int = 0  # and when
    cancel_link: int | None = None  # on which link it was told to stop

    def is_retry_of(self, request: Request, same: bytes) -> bool:
        """Whether this could be another try of it, whose digest is `same`, where digests are needed: of a run
        of an earlier life nothing else is known."""
        if same:
            return self.fingerprint == same
        return (self.request.class_name, self.request.body) == (request.class_name, request.body)


def adopted_run(begun: StartedRun, number: int, cls: RequestClass, now: int) -> InFlightRequest:
    """A run of an earlier life, whose caller has gone with it."""
    request = Request(
        lambda answer: None,
        begun.uid,
        begun.class_name,
        b"",
        arrived_at=now,
        client=0,
        memory=begun.memory,
        idempotency_key=begun.key.hex(),
    )
    return InFlightRequest(
        number,
        request,
        cls,
        None,
        is_queued=False,
        is_running=True,
        command_link=EARLIER_LINK,
        fingerprint=begun.fingerprint,
    )
