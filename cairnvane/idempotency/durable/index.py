"""The index: maps an idempotency key to the location of its end record on disk, in bounded memory.

Entries are kept in a ring buffer in the order of insertion, which is also the order in which they expire
unless request classes have different windows. Each hash bucket holds the number of its newest entry, and each
entry that of the next older entry in the bucket's chain. An entry older than the ring's tail ends the chain,
so entries are never unlinked: advancing the tail expires them. An entry takes 36 bytes, in anonymous memory
that the system provides when it is first touched. `docs/durable-results.md` compares it with a dict.
"""

from __future__ import annotations

import mmap
import struct
from typing import NamedTuple

from ...claims.states import KeyState

_ENTRY = struct.Struct("<16sQII")  # key, word, tick of its expiry, number of the next older entry
_WORD = struct.Struct("<Q")
_WORD_OFFSET = 16  # bytes from the start of an entry
ENTRY_BYTES = _ENTRY.size
BUCKET_BYTES = 4
# Memory per entry of the capacity; there are as many buckets as entries.
BYTES_PER_ENTRY = ENTRY_BYTES + BUCKET_BYTES
# Expiry times are stored as 32-bit ticks of this many microseconds, rounded up; they wrap after 49 days.
TICK_US = 1_000
_UINT32_RANGE = 1 << 32
_UINT32_MASK = _UINT32_RANGE - 1
_HALF_UINT32_RANGE = 1 << 31
# A word packs, from the highest bits to the lowest: segment number, offset in the segment, tag (a part of the
# request fingerprint) and state.
_STATE_BITS = 3
_TAG_BITS = 13
_OFFSET_BITS = 24
_STATE_MASK = (1 << _STATE_BITS) - 1
TAG_MASK = (1 << _TAG_BITS) - 1
TAG_SHIFT = _STATE_BITS
OFFSET_SHIFT = _STATE_BITS + _TAG_BITS
OFFSET_LIMIT = 1 << _OFFSET_BITS  # offsets are below this
_SEGMENT_BITS = 64 - _STATE_BITS - _TAG_BITS - _OFFSET_BITS
SEGMENT_NUMBER_MODULUS = 1 << _SEGMENT_BITS  # segment numbers are stored modulo this
_MIN_CAPACITY = 64


def fingerprint_tag(fingerprint: bytes) -> int:
    """The part of a request fingerprint that is stored in a word."""
    return int.from_bytes(fingerprint[:2], "little") & TAG_MASK


def pack_word(segment: int, offset: int, tag: int, state: int) -> int:
    """Pack a word; `tag` is the `fingerprint_tag` of the request, `state` its `KeyState`."""
    return (
        (segment % SEGMENT_NUMBER_MODULUS) << (_OFFSET_BITS + _TAG_BITS + _STATE_BITS)
        | offset << (_TAG_BITS + _STATE_BITS)
        | tag << _STATE_BITS
        | state
    )


class WordLocation(NamedTuple):
    """The location of a record, as stored in a word."""

    segment: int  # modulo `SEGMENT_NUMBER_MODULUS`
    offset: int


class IndexEntry(NamedTuple):
    """The entry of a key, without the key."""

    word: int
    expiry_tick: int


def unpack_location(word: int) -> WordLocation:
    """The segment (modulo `SEGMENT_NUMBER_MODULUS`) and the offset in a word."""
    word >>= _TAG_BITS + _STATE_BITS
    return WordLocation(word >> _OFFSET_BITS, word & (OFFSET_LIMIT - 1))


def unpack_state(word: int) -> KeyState:
    """The state in a word: how the request ended."""
    return KeyState(word & _STATE_MASK)


def may_match(word: int, fingerprint: bytes) -> bool:
    """Whether a word may belong to the request with this fingerprint.

    The word holds a part of the fingerprint only; the whole fingerprint on disk decides.
    """
    return word >> _STATE_BITS & TAG_MASK == fingerprint_tag(fingerprint)


class Index:
    """An index that takes `memory_bytes`, but has room for at least 64 entries. Not thread-safe."""

    def __init__(self, memory_bytes: int) -> None:
        self.capacity = max(_MIN_CAPACITY, memory_bytes // BYTES_PER_ENTRY)
        # Entries are numbered from the tail up to, but not including, the head; 0 stands for no entry.
        self._head = 1
        self._tail = 1
        self._ring = mmap.mmap(-1, ENTRY_BYTES * self.capacity)
        self._buckets = memoryview(mmap.mmap(-1, BUCKET_BYTES * self.capacity)).cast("I")

    def __len__(self) -> int:
        return self._head - self._tail

    def put(self, key: bytes, word: int, expires_at: int) -> bool:
        """Insert an entry, which hides any earlier entry of the same key; False if the index is full."""
        head = self._head
        capacity = self.capacity
        if head - self._tail >= capacity:
            return False
        bucket = hash(key) % capacity
        buckets = self._buckets
        _ENTRY.pack_into(
            self._ring,
            head % capacity * ENTRY_BYTES,
            key,
            word,
            -(-expires_at // TICK_US) & _UINT32_MASK,
            buckets[bucket],
        )
        buckets[bucket] = head & _UINT32_MASK
        self._head = head + 1
        return True

    def _find_newest(self, key: bytes) -> tuple[int, int, int] | None:
        """The newest entry of a key: its offset in the ring, its word and the tick of its expiry.

        Stored entry numbers are 32 bits wide and may have wrapped, so an entry is identified by its distance
        from the head, which must grow with each step along the chain.
        """
        head = self._head
        capacity = self.capacity
        count = head - self._tail
        previous_distance = 0
        number = self._buckets[hash(key) % capacity]
        while True:
            distance = head - number & _UINT32_MASK
            if not previous_distance < distance <= count:
                return None
            entry_offset = (head - distance) % capacity * ENTRY_BYTES
            entry_key, word, expiry_tick, number = _ENTRY.unpack_from(self._ring, entry_offset)
            if entry_key == key:
                return entry_offset, word, expiry_tick
            previous_distance = distance

    def get(self, key: bytes) -> IndexEntry | None:
        """The newest entry of a key; None if it has none."""
        found = self._find_newest(key)
        return IndexEntry(found[1], found[2]) if found is not None else None

    def is_before_expiry(self, expiry_tick: int, arrived_at: int) -> bool:
        """Whether the time `arrived_at` lies before the expiry at `expiry_tick`."""
        return expiry_tick - arrived_at // TICK_US - 1 & _UINT32_MASK < _HALF_UINT32_RANGE

    def replace_word(self, key: bytes, old_word: int, new_word: int) -> bool:
        """Replace the word of a key; False if its word is no longer `old_word`."""
        found = self._find_newest(key)
        if found is None or found[1] != old_word:
            return False
        _WORD.pack_into(self._ring, found[0] + _WORD_OFFSET, new_word)
        return True

    def _expiry_tick(self, number: int) -> int:
        return int(_ENTRY.unpack_from(self._ring, number % self.capacity * ENTRY_BYTES)[2])

    def expire(self, cutoff: int) -> int:
        """Remove the oldest entries, up to the first that expires after `cutoff`; returns how many."""
        cutoff_tick = cutoff // TICK_US
        tail = self._tail
        while (
            self._tail < self._head
            and cutoff_tick - self._expiry_tick(self._tail) - 1 & _UINT32_MASK < _HALF_UINT32_RANGE
        ):
            self._tail += 1
        return self._tail - tail

    def time_to_oldest_expiry(self, now: int) -> int | None:
        """Microseconds from `now` until the oldest entry expires; None if there is no entry."""
        if self._tail == self._head:
            return None
        ticks_left = self._expiry_tick(self._tail) - now // TICK_US & _UINT32_MASK
        return (ticks_left if ticks_left < _HALF_UINT32_RANGE else 0) * TICK_US
