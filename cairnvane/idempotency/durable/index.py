"""Token to place on disk: bounded bytes an entry, aged out by moving one number.

Entries stand in a ring in the order in which they came, which is that of their ends but for classes with
other windows. Buckets hold the newest entry of a chain, and each entry the next older one. Whatever is
older than the ring's tail ends its chain, so nothing is ever unlinked: to age out is to move the tail. 36
bytes an entry, in anonymous memory that the system hands over as it is first touched. `docs/keyed.md` has
it beside a dict.
"""

from __future__ import annotations

import mmap
import struct

from ...claims.states import KeyState

_ENTRY = struct.Struct("<16sQII")  # token, place, tick of its end, the next older entry
_WORD, _WORD_AT = struct.Struct("<Q"), 16
# And a bucket for each entry.
ENTRY_BYTES = _ENTRY.size
BUCKET_BYTES = 4
BYTES_PER_ENTRY = ENTRY_BYTES + BUCKET_BYTES
# Ends are kept in ticks of this many microseconds, rounded up: 32 bits of them last for 49 days, and wrap.
TICK_US = 1_000
_WRAP = 1 << 32
_MASK = _WRAP - 1
_HALF = 1 << 31
# A place: the number of a segment, an offset in it, a part of the digest and the state.
_STATE_BITS, _TAG_BITS, _OFFSET_BITS = 3, 13, 24
MARK_MASK = (1 << _TAG_BITS) - 1
MARK_SHIFT, OFFSET_SHIFT = _STATE_BITS, _STATE_BITS + _TAG_BITS
MOST_OFFSET = 1 << _OFFSET_BITS
_SEGMENT_BITS = 64 - _STATE_BITS - _TAG_BITS - _OFFSET_BITS
MOST_SEGMENT = 1 << _SEGMENT_BITS  # numbers are told apart within so many


def tag(same: bytes) -> int:
    """The part of a digest that stands in a place."""
    return int.from_bytes(same[:2], "little") & MARK_MASK


def place(segment: int, offset: int, mark: int, ended: int) -> int:
    """All that is known of an entry, in one word; `mark` is its digest's `tag`, `ended` its state."""
    return (
        (segment % MOST_SEGMENT) << (_OFFSET_BITS + _TAG_BITS + _STATE_BITS)
        | offset << (_TAG_BITS + _STATE_BITS)
        | mark << _STATE_BITS
        | ended
    )


def where(word: int) -> tuple[int, int]:
    """The segment (modulo `MOST_SEGMENT`) and the offset."""
    word >>= _TAG_BITS + _STATE_BITS
    return word >> _OFFSET_BITS, word & (MOST_OFFSET - 1)


def state(word: int) -> KeyState:
    """How its request ended."""
    return KeyState(word & ((1 << _STATE_BITS) - 1))


def alike(word: int, same: bytes) -> bool:
    """Whether it may be the entry of this class and body; that it is shows only the digest on disk."""
    return word >> _STATE_BITS & MARK_MASK == tag(same)


class Index:
    """Bounded by `memory` bytes. Not safe to use from two threads at once."""

    def __init__(self, memory: int) -> None:
        self.capacity = max(64, memory // BYTES_PER_ENTRY)
        self._head = self._tail = 1  # entries from tail up to head; 0 is no entry
        self._ring = mmap.mmap(-1, ENTRY_BYTES * self.capacity)
        self._newest = memoryview(mmap.mmap(-1, BUCKET_BYTES * self.capacity)).cast("I")

    def __len__(self) -> int:
        return self._head - self._tail

    def put(self, token: bytes, word: int, until: int) -> bool:
        """Enter a token, before any earlier entry of it; False if there is no room."""
        head, capacity = self._head, self.capacity
        if head - self._tail >= capacity:
            return False
        bucket, newest = hash(token) % capacity, self._newest
        _ENTRY.pack_into(
            self._ring,
            head % capacity * ENTRY_BYTES,
            token,
            word,
            -(-until // TICK_US) & _MASK,
            newest[bucket],
        )
        newest[bucket] = head & _MASK
        self._head = head + 1
        return True

    def _find(self, token: bytes) -> tuple[int, int, int] | None:
        """Where the token's newest entry stands, its word and the tick of its end. Numbers are 32 bits
        wide and may have wrapped: an entry lies as far behind the head as their difference says, and
        always further than the one before it."""
        head, capacity = self._head, self.capacity
        behind, count = 0, head - self._tail
        number = self._newest[hash(token) % capacity]
        while True:
            back = head - number & _MASK
            if not behind < back <= count:
                return None
            at = (head - back) % capacity * ENTRY_BYTES
            found, word, end, number = _ENTRY.unpack_from(self._ring, at)
            if found == token:
                return at, word, end
            behind = back

    def get(self, token: bytes) -> tuple[int, int] | None:
        """The token's word and the tick of its end."""
        found = self._find(token)
        return found[1:] if found is not None else None

    def counts(self, tick: int, arrived: int) -> bool:
        """Whether an end lies behind this time."""
        return tick - arrived // TICK_US - 1 & _MASK < _HALF

    def move(self, token: bytes, before: int, after: int) -> bool:
        """What stood in one place now stands in another; False if the entry has been replaced meanwhile."""
        found = self._find(token)
        if found is None or found[1] != before:
            return False
        _WORD.pack_into(self._ring, found[0] + _WORD_AT, after)
        return True

    def _end(self, number: int) -> int:
        return int(_ENTRY.unpack_from(self._ring, number % self.capacity * ENTRY_BYTES)[2])

    def expire(self, before: int) -> int:
        """Let go of the oldest whose ends lie before this time; how many went."""
        tick, tail = before // TICK_US, self._tail
        while self._tail < self._head and tick - self._end(self._tail) - 1 & _MASK < _HALF:
            self._tail += 1
        return self._tail - tail

    def oldest_end(self, now: int) -> int | None:
        """How many microseconds after `now` the oldest entry ends; None if there is no entry."""
        if self._tail == self._head:
            return None
        ahead = self._end(self._tail) - now // TICK_US & _MASK
        return (ahead if ahead < _HALF else 0) * TICK_US
