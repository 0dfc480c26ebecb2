"""The requests in flight: the state of each, and the table that finds them by request id and by uid."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..contract.events import Outcome
from ..contract.settings import RequestClass
from ..exchange import Request
from ..idempotency.store import StartedRun, StoredEntry
from ..net.sent_commands import NOT_SENT, SENT_BY_EARLIER_INCARNATION, SentCommand
from ..net.vault import VaultCall


@dataclass(frozen=True, slots=True)
class WithheldCall:
    """A call that a run waits for and that the controller has not been told of."""

    body: bytes
    notice: int  # the position of the pool's notice


@dataclass(slots=True)
class InFlightRequest:
    """The state of one request, from its arrival until no duplicate can need its result."""

    request_id: int
    request: Request
    request_class: RequestClass
    duplicate_of: int | None
    stored_entry: StoredEntry | None = None  # of its original request, if only the store still has that one
    fingerprint: bytes = b""  # equal for all attempts of one request; empty without a durable store
    is_queued: bool = True  # neither started nor ended
    is_running: bool = False  # the pool runs it, or its start was requested
    outcome: Outcome | None = None  # how the run ended; None before that
    result: bytes = b""  # cached while a duplicate may need it
    waiting_duplicates: list[int] = field(default_factory=list)  # ids of duplicates that wait for its end
    vault_call: VaultCall | None = None
    call_body: bytes = b""
    call_notice: int = 0  # the position of the pool's notice that asked for the call
    call_reply: bytes | None = None  # the reply to its last call; None before the first one
    last_command: SentCommand | None = None  # None once a later notice shows that the pool has read it
    run_link: int = NOT_SENT.link  # link on which its run was requested; `NOT_SENT.link`: on none so far
    command_sent_at: int = 0  # when its last command was sent, in microseconds of the monotonic clock
    cancel_link: int | None = None  # link on which its cancellation was sent
    has_client_disconnected: bool = False  # the request has then ended, whatever the response was
    is_confirmation_sent: bool = False  # the pool was asked whether its run continues
    is_restarting: bool = False  # it was stopped to be started again; see `run_restarts`
    withheld_call: WithheldCall | None = None  # the call that it waited for meanwhile
    is_repeat_unread: bool = False  # its `spawn` was sent again, and the pool may not have read that yet

    @property
    def command_link(self) -> int | None:
        """The number of the link on which its last command was sent; None once a notice has followed it."""
        return self.last_command.link if self.last_command is not None else None

    @property
    def is_adopted(self) -> bool:
        """Whether an earlier incarnation started its run; its fingerprint is known then, but not its body."""
        return self.last_command == SENT_BY_EARLIER_INCARNATION

    @property
    def is_keyed(self) -> bool:
        """Whether it has an idempotency key."""
        return self.request.idempotency_key is not None

    def is_retry_of(self, request: Request, fingerprint: bytes) -> bool:
        """Whether `request` can be another attempt of this one.

        `fingerprint` is that of `request`, or empty without a durable store. For a run adopted from an
        earlier incarnation only the fingerprint is known.
        """
        if fingerprint:
            return self.fingerprint == fingerprint
        return (self.request.class_name, self.request.body) == (request.class_name, request.body)


class InFlightTable:
    """All requests in flight, by request id and by uid; used only by the event loop's thread."""

    __slots__ = ("_by_id", "_by_uid", "_last_id", "find", "find_uid")

    def __init__(self) -> None:
        self._by_id: dict[int, InFlightRequest] = {}
        self._by_uid: dict[str, InFlightRequest] = {}
        self._last_id = 0
        # Called for every event: bound methods of the dictionaries save one Python frame per call.
        self.find = self._by_id.get  # by request id
        self.find_uid = self._by_uid.get

    def next_id(self) -> int:
        """Allocate a request id; ids count up from 1."""
        self._last_id += 1
        return self._last_id

    def add(self, in_flight: InFlightRequest) -> None:
        """Add a request under its id and its uid."""
        self._by_id[in_flight.request_id] = in_flight
        self._by_uid[in_flight.request.uid] = in_flight

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request if it is present. Another request that uses the same uid by now is kept."""
        self._by_id.pop(in_flight.request_id, None)
        uid = in_flight.request.uid
        if self._by_uid.get(uid) is in_flight:
            del self._by_uid[uid]

    def all(self) -> list[InFlightRequest]:
        """All requests, the oldest first, in a list that does not change with the table."""
        return list(self._by_id.values())


def adopted_run(
    started_run: StartedRun,
    request_id: int,
    request_class: RequestClass,
    now: int,
) -> InFlightRequest:
    """The state of a run of an earlier incarnation, whose client was disconnected when that one ended."""
    request = Request(
        lambda response: None,
        started_run.uid,
        started_run.class_name,
        b"",
        arrived_at=now,
        client=0,
        memory=started_run.memory,
        idempotency_key=started_run.key.hex(),
    )
    return InFlightRequest(
        request_id,
        request,
        request_class,
        None,
        is_queued=False,
        is_running=True,
        last_command=SENT_BY_EARLIER_INCARNATION,
        run_link=SENT_BY_EARLIER_INCARNATION.link,
        fingerprint=started_run.fingerprint,
    )
