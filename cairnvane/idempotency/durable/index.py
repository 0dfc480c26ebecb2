"""The index: from an idempotency key to the place of its record on disk, in bounded memory.

Entries stand in a ring in the order of insertion, which is that of their ends except for classes with other
windows. Buckets hold the newest entry of a chain, and each entry refers to the next older one. An entry that
is older than the ring's tail ends its chain, so nothing is ever unlinked: to expire an entry is to move the
tail. An entry takes 36 bytes, in anonymous memory that the system provides when it is first touched.
`docs/durable-results.md` compares it with a dict.
"""

from __future__ import annotations

import mmap
import struct
from typing import NamedTuple

from ...claims.states import KeyState

_ENTRY = struct.Struct("<16sQII")  # key, word, tick of its end, the next older entry
_WORD = struct.Struct("<Q")
_WORD_OFFSET = 16  # in an entry
ENTRY_BYTES = _ENTRY.size
BUCKET_BYTES = 4
# There are as many buckets as entries.
BYTES_PER_ENTRY = ENTRY_BYTES + BUCKET_BYTES
# Ends are stored in ticks of this many microseconds, rounded up: 32 bits of them last for 49 days, and wrap.
TICK_US = 1_000
_WRAP = 1 << 32
_MASK = _WRAP - 1
_HALF = 1 << 31
# A word packs the number of a segment, an offset in it, a part of the request fingerprint and the state.
_STATE_BITS = 3
_TAG_BITS = 13
_OFFSET_BITS = 24
_STATE_MASK = (1 << _STATE_BITS) - 1
MARK_MASK = (1 << _TAG_BITS) - 1
MARK_SHIFT = _STATE_BITS
OFFSET_SHIFT = _STATE_BITS + _TAG_BITS
MOST_OFFSET = 1 << _OFFSET_BITS
_SEGMENT_BITS = 64 - _STATE_BITS - _TAG_BITS - _OFFSET_BITS
MOST_SEGMENT = 1 << _SEGMENT_BITS  # segment numbers are stored modulo this
_MIN_CAPACITY = 64


def fingerprint_tag(fingerprint: bytes) -> int:
    """The part of a request fingerprint that stands in a word."""
    return int.from_bytes(fingerprint[:2], "little") & MARK_MASK


def pack_word(segment: int, offset: int, mark: int, ended: int) -> int:
    """Pack a word; `mark` is the `tag` of the request fingerprint, `ended` the state."""
    return (
        (segment % MOST_SEGMENT) << (_OFFSET_BITS + _TAG_BITS + _STATE_BITS)
        | offset << (_TAG_BITS + _STATE_BITS)
        | mark << _STATE_BITS
        | ended
    )


class WordLocation(NamedTuple):
    """The place of a record, as a word has it."""

    segment: int  # modulo `MOST_SEGMENT`
    offset: int


class IndexEntry(NamedTuple):
    """What the index has of a key."""

    word: int
    end_tick: int


def unpack_location(word: int) -> WordLocation:
    """The segment (modulo `MOST_SEGMENT`) and the offset in a word."""
    word >>= _TAG_BITS + _STATE_BITS
    return WordLocation(word >> _OFFSET_BITS, word & (MOST_OFFSET - 1))


def unpack_state(word: int) -> KeyState:
    """The state in a word: how the request ended."""
    return KeyState(word & _STATE_MASK)


def may_match(word: int, fingerprint: bytes) -> bool:
    """Whether a word may be that of this request; only the whole fingerprint on disk proves it."""
    return word >> _STATE_BITS & MARK_MASK == fingerprint_tag(fingerprint)


class Index:
    """An index bounded by `memory` bytes. Not safe to use from two threads at once."""

    def __init__(self, memory: int) -> None:
        self.capacity = max(_MIN_CAPACITY, memory // BYTES_PER_ENTRY)
        # Entries have numbers from the tail up to the head, which is the next one; 0 is no entry.
        self._head = 1
        self._tail = 1
        self._ring = mmap.mmap(-1, ENTRY_BYTES * self.capacity)
        self._newest = memoryview(mmap.mmap(-1, BUCKET_BYTES * self.capacity)).cast("I")

    def __len__(self) -> int:
        return self._head - self._tail

    def put(self, key: bytes, word: int, until: int) -> bool:
        """Insert a key, in front of any earlier entry of it; False if the index is full."""
        head = self._head
        capacity = self.capacity
        if head - self._tail >= capacity:
            return False
        bucket = hash(key) % capacity
        newest = self._newest
        _ENTRY.pack_into(
            self._ring,
            head % capacity * ENTRY_BYTES,
            key,
            word,
            -(-until // TICK_US) & _MASK,
            newest[bucket],
        )
        newest[bucket] = head & _MASK
        self._head = head + 1
        return True

    def _find(self, key: bytes) -> tuple[int, int, int] | None:
        """Where the newest entry of a key stands, its word and the tick of its end.

        Numbers are 32 bits wide and may have wrapped: an entry lies as far behind the head as the difference
        says, and always further than the one before it in the chain.
        """
        head = self._head
        capacity = self.capacity
        count = head - self._tail
        behind = 0
        number = self._newest[hash(key) % capacity]
        while True:
            back = head - number & _MASK
            if not behind < back <= count:
                return None
            at = (head - back) % capacity * ENTRY_BYTES
            found, word, end, number = _ENTRY.unpack_from(self._ring, at)
            if found == key:
                return at, word, end
            behind = back

    def get(self, key: bytes) -> IndexEntry | None:
        """The word of a key and the tick of its end."""
        found = self._find(key)
        return IndexEntry(found[1], found[2]) if found is not None else None

    def is_before_end(self, tick: int, arrived: int) -> bool:
        """Whether the end at this tick lies after the time `arrived`."""
        return tick - arrived // TICK_US - 1 & _MASK < _HALF

    def replace_word(self, key: bytes, before: int, after: int) -> bool:
        """Replace the word `before` of a key; False if the entry has been replaced meanwhile."""
        found = self._find(key)
        if found is None or found[1] != before:
            return False
        _WORD.pack_into(self._ring, found[0] + _WORD_OFFSET, after)
        return True

    def _end(self, number: int) -> int:
        return int(_ENTRY.unpack_from(self._ring, number % self.capacity * ENTRY_BYTES)[2])

    def expire(self, before: int) -> int:
        """Remove the oldest entries, as far as their ends lie before this time; returns how many."""
        tick = before // TICK_US
        tail = self._tail
        while self._tail < self._head and tick - self._end(self._tail) - 1 & _MASK < _HALF:
            self._tail += 1
        return self._tail - tail

    def oldest_end(self, now: int) -> int | None:
        """In how many microseconds after `now` the oldest entry ends; None if there is no entry."""
        if self._tail == self._head:
            return None
        ahead = self._end(self._tail) - now // TICK_US & _MASK
        return (ahead if ahead < _HALF else 0) * TICK_US
