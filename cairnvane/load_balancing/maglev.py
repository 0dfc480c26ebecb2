"""Consistent hashing: the same key goes to the same endpoint, and few keys move when endpoints change.

The table is Maglev's (Eisenbud et al., 2016, section 3.4), with weights as Envoy has them: an endpoint's
turn comes as often as its weight is to the largest one.
"""

from __future__ import annotations

import zlib
from array import array
from collections.abc import Mapping, Sequence
from typing import Generic, TypeVar

Key = TypeVar("Key")
# A prime, much larger than the number of endpoints; Envoy's own figure.
TABLE_SIZE = 65_537
_EMPTY = -1


def _is_prime(number: int) -> bool:
    return number > 1 and all(number % divisor for divisor in range(2, int(number**0.5) + 1))


class _Permutation:
    """The order in which one endpoint goes over the table, by two hashes of its name."""

    def __init__(self, name: bytes, size: int) -> None:
        self._size = size
        self._place = zlib.crc32(name) % size
        self._step = zlib.crc32(name, 1) % (size - 1) + 1

    def next_empty(self, table: array[int]) -> int:
        """The next place of this order that is empty."""
        while table[self._place] != _EMPTY:
            self._advance()
        place = self._place
        self._advance()
        return place

    def _advance(self) -> None:
        self._place = (self._place + self._step) % self._size


class Maglev(Generic[Key]):
    """A lookup table for one set of weights; another set needs another table.

    The table depends on the names of the endpoints alone: it is the same in every process, whatever their
    order.
    """

    def __init__(self, weights: Mapping[Key, int], size: int = TABLE_SIZE) -> None:
        """`ValueError` if the size is no prime."""
        if not _is_prime(size):
            raise ValueError(f"table size: {size} is no prime")
        self._keys: Sequence[Key] = sorted((key for key, weight in weights.items() if weight > 0), key=repr)
        self._table = self._fill([weights[key] for key in self._keys], size) if self._keys else array("i")

    def _fill(self, weights: list[int], size: int) -> array[int]:
        """Let endpoints take turns by weight; in its turn, each takes the next free place of its sequence."""
        sequences = [_Permutation(repr(key).encode(), size) for key in self._keys]
        table = array("i", [_EMPTY]) * size
        largest = max(weights)
        credits = [0] * len(weights)
        empty_places = size
        while True:
            for number, weight in enumerate(weights):
                credits[number] += weight
                if credits[number] < largest:
                    continue
                credits[number] -= largest
                table[sequences[number].next_empty(table)] = number
                empty_places -= 1
                if not empty_places:
                    return table

    def choose(self, hash_: int) -> Key | None:
        """The endpoint of a key with this hash; None if there is none."""
        if not self._keys:
            return None
        return self._keys[self._table[hash_ % len(self._table)]]

    def shares(self) -> dict[Key, float]:
        """The share of the table that each endpoint has."""
        counts = [0] * len(self._keys)
        for number in self._table:
            counts[number] += 1
        return {key: count / len(self._table) for key, count in zip(self._keys, counts, strict=True)}
