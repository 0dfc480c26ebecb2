"""Consistent hashing: the same key goes to the same endpoint, and few keys move when endpoints change.

The table is Maglev's (Eisenbud et al., 2016, section 3.4), with weights as in Envoy: the frequency of an
endpoint's turns is its weight divided by the largest weight.
"""

from __future__ import annotations

import zlib
from array import array
from collections.abc import Mapping, Sequence
from typing import Generic, TypeVar

Key = TypeVar("Key")
# A prime much larger than the number of endpoints; Envoy's default.
TABLE_SIZE = 65_537
_EMPTY = -1


def _is_prime(number: int) -> bool:
    return number > 1 and all(number % divisor for divisor in range(2, int(number**0.5) + 1))


class _Permutation:
    """One endpoint's permutation of the table positions, given by two hashes of its name."""

    def __init__(self, name: bytes, size: int) -> None:
        self._size = size
        self._position = zlib.crc32(name) % size
        self._step = zlib.crc32(name, 1) % (size - 1) + 1

    def next_empty(self, table: array[int]) -> int:
        """The next empty position of this permutation."""
        while table[self._position] != _EMPTY:
            self._advance()
        position = self._position
        self._advance()
        return position

    def _advance(self) -> None:
        self._position = (self._position + self._step) % self._size


class Maglev(Generic[Key]):
    """A lookup table for one set of weights; a changed set needs a new table.

    The table depends only on the names and weights of the endpoints, not on their order, so it is the same in
    every process.
    """

    def __init__(self, weights: Mapping[Key, int], size: int = TABLE_SIZE) -> None:
        """Raises `ValueError` if the size is not a prime."""
        if not _is_prime(size):
            raise ValueError(f"table size: {size} is not a prime")
        self._keys: Sequence[Key] = sorted((key for key, weight in weights.items() if weight > 0), key=repr)
        self._table = self._fill([weights[key] for key in self._keys], size) if self._keys else array("i")

    def _fill(self, weights: list[int], size: int) -> array[int]:
        """Let endpoints take turns by weight; in its turn, each takes its next empty position."""
        sequences = [_Permutation(repr(key).encode(), size) for key in self._keys]
        table = array("i", [_EMPTY]) * size
        max_weight = max(weights)
        accumulated_weights = [0] * len(weights)
        empty_slots = size
        while True:
            for index, weight in enumerate(weights):
                accumulated_weights[index] += weight
                if accumulated_weights[index] < max_weight:
                    continue
                accumulated_weights[index] -= max_weight
                table[sequences[index].next_empty(table)] = index
                empty_slots -= 1
                if not empty_slots:
                    return table

    def choose(self, hash_: int) -> Key | None:
        """The endpoint for a key with this hash; None if there are no endpoints."""
        if not self._keys:
            return None
        return self._keys[self._table[hash_ % len(self._table)]]

    def shares(self) -> dict[Key, float]:
        """Each endpoint's share of the table."""
        counts = [0] * len(self._keys)
        for index in self._table:
            counts[index] += 1
        return {key: count / len(self._table) for key, count in zip(self._keys, counts, strict=True)}
