"""The requests in flight: the state of each, and the table that finds them by number and by uid."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..contract.events import Outcome
from ..contract.settings import RequestClass
from ..exchange import Request
from ..idempotency.store import StartedRun, StoredEntry
from ..net.vault import VaultCall

# The command link of a run that an earlier incarnation started: older than any link of this process.
EARLIER_LINK = -1


@dataclass(slots=True)
class InFlightRequest:
    """The state of one request, from its arrival until no duplicate can want its result any more."""

    request_id: int
    request: Request
    request_class: RequestClass
    duplicate_of: int | None
    stored_entry: StoredEntry | None = None  # of its original request, if only the store still has that
    fingerprint: bytes = b""  # equal for all attempts of one request; empty without a durable store
    is_queued: bool = True  # neither started nor over
    is_running: bool = False  # the pool runs it, or has been told to
    outcome: Outcome | None = None  # how it ended, if it is over
    result: bytes = b""  # cached while a duplicate may want it
    waiting_duplicates: list[int] = field(default_factory=list)  # the numbers of those that wait for its end
    vault_call: VaultCall | None = None
    call_body: bytes = b""
    call_notice: int = 0  # the position of the pool's notice that asked for the call
    call_reply: bytes | None = None  # of its last call; None before the first one
    command_link: int | None = None  # the link its last command was sent on; None: known to have arrived
    command_sent_at: int = 0  # when that was, in microseconds of the monotonic clock
    cancel_link: int | None = None  # the link its cancellation was sent on
    client_left: bool = False  # its client has disconnected: the request is over, whatever was answered
    is_confirmation_sent: bool = False  # the pool was asked whether its run goes on
    is_repeat_unread: bool = False  # its `spawn` was sent again, and the pool may not have read that yet

    @property
    def is_adopted(self) -> bool:
        """Whether an earlier incarnation started its run, and this one knows no more than its fingerprint."""
        return self.command_link == EARLIER_LINK

    @property
    def is_keyed(self) -> bool:
        """Whether it has an idempotency key."""
        return self.request.idempotency_key is not None

    def is_retry_of(self, request: Request, fingerprint: bytes) -> bool:
        """Whether `request` can be another attempt of this one.

        `fingerprint` is that of `request`, or empty without a durable store. Of a run that was adopted from
        an earlier incarnation nothing but the fingerprint is known.
        """
        if fingerprint:
            return self.fingerprint == fingerprint
        return (self.request.class_name, self.request.body) == (request.class_name, request.body)


class InFlightTable:
    """All requests in flight, by number and by uid; used by the event loop's thread alone."""

    __slots__ = ("_by_id", "_by_uid", "_last_id", "find", "find_uid")

    def __init__(self) -> None:
        self._by_id: dict[int, InFlightRequest] = {}
        self._by_uid: dict[str, InFlightRequest] = {}
        self._last_id = 0
        # Called for every event: bound methods of the dictionaries save a frame each.
        self.find = self._by_id.get  # by number
        self.find_uid = self._by_uid.get

    def next_id(self) -> int:
        """A new request number; they count from 1."""
        self._last_id += 1
        return self._last_id

    def add(self, in_flight: InFlightRequest) -> None:
        """Enter a request under its number and its uid."""
        self._by_id[in_flight.request_id] = in_flight
        self._by_uid[in_flight.request.uid] = in_flight

    def remove(self, in_flight: InFlightRequest) -> None:
        """Remove a request, if it is there; another one that has its uid by now stays."""
        self._by_id.pop(in_flight.request_id, None)
        uid = in_flight.request.uid
        if self._by_uid.get(uid) is in_flight:
            del self._by_uid[uid]

    def all(self) -> list[InFlightRequest]:
        """All requests, the oldest first; the list does not change with the table."""
        return list(self._by_id.values())


def adopted_run(
    started_run: StartedRun,
    request_id: int,
    request_class: RequestClass,
    now: int,
) -> InFlightRequest:
    """The state of a run of an earlier incarnation, whose client disconnected when that ended."""
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
        command_link=EARLIER_LINK,
        fingerprint=started_run.fingerprint,
    )
