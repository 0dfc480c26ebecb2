"""Token to place on disk: bounded bytes an entry, aged out by moving one number.

Entries stand in a ring in the order in which they came, which is that of their ends but for classes with
other windows. Buckets hold the newest entry of a chain, and each entry the next older one. Whatever is
older than the ring's tail ends its chain, so nothing is ever unlinked: to age out is to move the tail. 36
bytes an entry, in anonymous memory that the system hands over as it is first touched. `docs/keyed.md` has
it beside a dict.
"""

from __future__ import annotations

import mmap

from .state import State

# Two words of token, one of place, a tick of its end and the next older entry; and a bucket for each entry.
ENTRY_BYTES = 8 + 8 + 8 + 4 + 4
BUCKET_BYTES = 4
BYTES_PER_ENTRY = ENTRY_BYTES + BUCKET_BYTES
# Ends are kept in ticks of this many microseconds, rounded up: 32 bits of them last for 49 days, and wrap.
TICK_US = 1_000
_WRAP = 1 << 32
_HALF = 1 << 31
# A place: the number of a segment, an offset in it, a part of the digest and the state.
_STATE_BITS, _TAG_BITS, _OFFSET_BITS = 3, 13, 24
MOST_OFFSET = 1 << _OFFSET_BITS
_SEGMENT_BITS = 64 - _STATE_BITS - _TAG_BITS - _OFFSET_BITS
MOST_SEGMENT = 1 << _SEGMENT_BITS  # numbers are told apart within so many


def place(segment: int, offset: int, same: bytes, state: State) -> int:
    """All that is known of an entry, in one word."""
    tag = int.from_bytes(same[:2], "little") >> (16 - _TAG_BITS)
    return (
        (segment % MOST_SEGMENT) << (_OFFSET_BITS + _TAG_BITS + _STATE_BITS)
        | offset << (_TAG_BITS + _STATE_BITS) | tag << _STATE_BITS | state)


def where(word: int) -> tuple[int, int]:
    """The segment (modulo `MOST_SEGMENT`) and the offset."""
    word >>= _TAG_BITS + _STATE_BITS
    return word >> _OFFSET_BITS, word & (MOST_OFFSET - 1)


def state(word: int) -> State:
    """How its request ended."""
    return State(word & ((1 << _STATE_BITS) - 1))


def alike(word: int, same: bytes) -> bool:
    """Whether it may be the entry of this class and body; that it is shows only the digest on disk."""
    return place(0, 0, same, State.UNKNOWN) == word & (((1 << _TAG_BITS) - 1) << _STATE_BITS)


class Index:
    """Bounded by `memory` bytes. Not safe to use from two threads at once."""

    def __init__(self, memory: int) -> None:
        self.capacity = max(64, memory // BYTES_PER_ENTRY)
        self._head = self._tail = 1  # entries from tail up to head; 0 is no entry
        self._high = memoryview(mmap.mmap(-1, 8 * self.capacity)).cast("Q")
        self._low = memoryview(mmap.mmap(-1, 8 * self.capacity)).cast("Q")
        self._place = memoryview(mmap.mmap(-1, 8 * self.capacity)).cast("Q")
        self._end = memoryview(mmap.mmap(-1, 4 * self.capacity)).cast("I")
        self._older = memoryview(mmap.mmap(-1, 4 * self.capacity)).cast("I")
        self._newest = memoryview(mmap.mmap(-1, 4 * self.capacity)).cast("I")

    def __len__(self) -> int:
        return self._head - self._tail

    def put(self, token: bytes, word: int, until: int) -> bool:
        """Enter a token, before any earlier entry of it; False if there is no room."""
        if self._head - self._tail >= self.capacity:
            return False
        high, low = int.from_bytes(token[:8], "little"), int.from_bytes(token[8:16], "little")
        at, bucket = self._head % self.capacity, (high ^ low) % self.capacity
        self._high[at], self._low[at], self._place[at] = high, low, word
        self._end[at] = -(-until // TICK_US) % _WRAP
        self._older[at] = self._newest[bucket]
        self._newest[bucket] = self._head % _WRAP
        self._head += 1
        return True

    def _find(self, token: bytes) -> int:
        """The slot of the token's newest entry, or -1. Numbers are 32 bits wide and may have wrapped: an
        entry lies as far behind the head as their difference says, and always further than the one before
        it."""
        high, low = int.from_bytes(token[:8], "little"), int.from_bytes(token[8:16], "little")
        behind, count = 0, self._head - self._tail
        number = self._newest[(high ^ low) % self.capacity]
        while True:
            back = (self._head - number) % _WRAP
            if (number == 0 and self._head < _WRAP) or not behind < back <= count:
                return -1
            at = (self._head - back) % self.capacity
            if self._low[at] == low and self._high[at] == high:
                return at
            behind, number = back, self._older[at]

    def get(self, token: bytes) -> tuple[int, int] | None:
        """The token's word and the tick of its end."""
        at = self._find(token)
        return (self._place[at], self._end[at]) if at >= 0 else None

    def counts(self, tick: int, arrived: int) -> bool:
        """Whether an end lies behind this time."""
        return (tick - arrived // TICK_US - 1) % _WRAP < _HALF

    def move(self, token: bytes, before: int, after: int) -> bool:
        """What stood in one place now stands in another; False if the entry has been replaced meanwhile."""
        at = self._find(token)
        if at < 0 or self._place[at] != before:
            return False
        self._place[at] = after
        return True

    def expire(self, before: int) -> int:
        """Let go of the oldest whose ends lie before this time; how many went."""
        tick, tail = before // TICK_US, self._tail
        while self._tail < self._head and (tick - self._end[self._tail % self.capacity] - 1) % _WRAP < _HALF:
            self._tail += 1
        return self._tail - tail

    def oldest_end(self, now: int) -> int | None:
        """How many microseconds after `now` the oldest entry ends; None if there is no entry."""
        if self._tail == self._head:
            return None
        ahead = (self._end[self._tail % self.capacity] - now // TICK_US) % _WRAP
        return (ahead if ahead < _HALF else 0) * TICK_US
