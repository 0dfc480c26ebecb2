"""Actions that a member returns to its driver: send a datagram, exchange whole states, report an event."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .claims import Claim
from .messages import Message

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Exchange:
    """Send the whole state over TCP and receive the peer's whole state in return."""

    to: Address


@dataclass(frozen=True, slots=True)
class ReportEvent:
    """Report a structured event such as `member.suspected`, with its evidence."""

    event: str
    details: dict[str, Any]


Action = Send | Exchange | ReportEvent


class Outbox:
    """Collects the actions that a member returns from one call of `tick` or `handle`."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def begin_step(self) -> list[Action]:
        """Start a new, empty list of actions and return it; later actions are appended to it."""
        self._actions = []
        return self._actions

    def send(self, address: Address, message: Message) -> None:
        """Send a datagram."""
        self._actions.append(Send(address, message))

    def exchange(self, address: Address) -> None:
        """Exchange whole states with the member at this address."""
        self._actions.append(Exchange(address))

    def report(self, event: str, claim: Claim, by: int = 0, **details: Any) -> None:
        """Report an event about the claim's subject; `by` is the instance that caused it, or 0."""
        subject = {"name": claim.name, "life": f"{claim.instance_id:016x}", "incarnation": claim.incarnation}
        cause = {"by": f"{by:016x}"} if by else {}
        self._actions.append(ReportEvent(event, subject | cause | details))
