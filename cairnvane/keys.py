"""The table of keys: which request a token stands for, and until when. No I/O, no clock.

`Table` knows what this life has in hand. What other lives have to know, beside it or after it, is the matter
of a `Keeper`: the ledger in `$TMPDIR`, or the log where an operator turned it on (`cairnvane.keyed`). The
host's own part in that is `lasting.py`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Key:
    """An entry of the table."""

    owner: int
    until: int  # whatever reached the machine before is a repeat


class Table:
    """Tokens of this life, each with the request that brought it first."""

    def __init__(self, unread: int) -> None:
        self._unread = unread  # a repeat that came in time may be read so much later
        self._keys: dict[str, Key] = {}
        self._ends: list[tuple[int, str]] = []

    def owner(self, token: str, arrived: int) -> int | None:
        """Who brought this token first, for a try that reached the machine at `arrived`."""
        key = self._keys.get(token)
        return key.owner if key is not None and arrived < key.until else None

    def owns(self, token: str | None, owner: int) -> bool:
        """Whether this request is the one that the token stands for."""
        return token is not None and (key := self._keys.get(token)) is not None and key.owner == owner

    def enter(self, token: str, owner: int, until: int) -> int | None:
        """Remember a token. Another owner whose place is taken thereby, if there is one."""
        before = self._keys.get(token)
        self._keys[token] = Key(owner, until)
        heapq.heappush(self._ends, (until + self._unread, token))
        return before.owner if before is not None and before.owner != owner else None

    def remove(self, token: str | None, owner: int) -> bool:
        """Take a token out, if it is this request's."""
        if token is None or not self.owns(token, owner):
            return False
        del self._keys[token]
        return True

    def expire(self, now: int) -> list[int]:
        """Take out what no try can repeat any more; the owners."""
        owners = []
        while self._ends and self._ends[0][0] <= now:
            _, token = heapq.heappop(self._ends)
            if (key := self._keys.get(token)) and key.until + self._unread <= now:
                del self._keys[token]
                owners.append(key.owner)
        return owners


@dataclass(frozen=True, slots=True)
class Past:
    """A kept entry whose request the host no longer holds."""

    token: bytes
    # It has a result, or may come to have one where another life runs it; else it failed, or nobody knows how
    # it ended.
    served: bool


@dataclass(frozen=True, slots=True)
class Begun:
    """A run of an earlier life of which no end is recorded."""

    token: bytes
    uid: str
    lane: str
    digest: bytes
    until: int  # microseconds of the monotonic clock, as the next one
    due: int
    memory: float
    call_pos: int  # the notice whose call was about to be made; 0: none was


@dataclass(frozen=True, slots=True)
class Recovered:
    """What an earlier life left."""

    begun: tuple[Begun, ...] = ()
    kept: tuple[tuple[int, int], ...] = ()  # how many keys count for how many microseconds more
    pos: int = 0  # all notices up to this one have had their effect recorded
    pool_started: int | None = None  # of that pool, on the monotonic clock; None: no pool was met


# Told of each named point on the way of a record; only the laboratory wants to know.
Points = Callable[[str], None]


class Keeper(Protocol):
    """Keeps keys and results for other lives: those beside this one, or after it. No call waits for a disk;
    every `then` comes once, from the keeper's own thread or, if it is `prompt`, before the call returns.
    Tokens are 16 bytes, times microseconds of the monotonic clock. A record `settles` notices: once it is
    written, they need not come again."""

    prompt: bool  # each record is written before the call returns, and no run outlasts its life

    def start(
        self,
        recovered: Callable[[Recovered], None],
        delayed: Callable[[], None],
        lost: Callable[[str], None],
    ) -> None:
        """Take up what an earlier life left, and tell of it unless this is `prompt`. `delayed`, at most once
        and before that: the disk does not let it for now. `lost` says why it can never be, and keyed work
        never begins."""

    def wait_us(self) -> int:
        """How long until one more key can be kept; 0: now."""

    def reserve(self) -> None:
        """One more key is about to be kept."""

    def release(self) -> None:
        """That key was given up before `intend`."""

    def intend(self, begun: Begun, then: Callable[[], None], other: Callable[[bool], None]) -> None:
        """`then`, once it is recorded that this run is about to begin. Or `other`: with True if another life
        has claimed it first (`fetch` tells of its end), with False if that can't be recorded now."""

    def never(self, token: bytes, until: int, settles: tuple[int, ...]) -> None:
        """The run that was about to begin provably never did."""

    def calling(self, token: bytes, until: int, pos: int, then: Callable[[], None]) -> None:
        """`then`, once it is recorded that the call which notice `pos` asks for is about to be made."""

    def ended(
        self,
        token: bytes,
        until: int,
        same: bytes,
        result: bytes | None,
        settles: tuple[int, ...],
        then: Callable[[], None],
    ) -> None:
        """`then`, once it is recorded that the run has ended, with this result or (None) without one."""

    def noticed(self, pos: int, owed: bool) -> None:
        """Notice `pos` was read; `owed`: a record that settles it is still to come."""

    def linked(self, pool_started: int) -> None:
        """The pool's link is up."""

    def reset(self) -> None:
        """The pool is a new one: its notices are numbered anew."""

    def recall(self, token: bytes, same: bytes, arrived: int) -> Past | None:
        """What this token stood for; `ValueError` if with another class or body."""

    def fetch(self, token: bytes, same: bytes, then: Callable[[bytes | None], None]) -> None:
        """The result that `recall` told of; None if that can't be had. If another life runs it, `then` comes
        when that has ended."""

    def close(self) -> None:
        """Write what is left, and let go of the folder."""
