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
    return number > 1 and all(number % part for part in range(2, int(number**0.5) + 1))


class Maglev(Generic[Key]):
    """A table for one set of weights; another set makes another table. Names tell endpoints apart and have
    the table come out the same in every process, whatever order they stand in."""

    def __init__(self, weights: Mapping[Key, int], size: int = TABLE_SIZE) -> None:
        if not _is_prime(size):
            raise ValueError(f"table size: {size} is no prime")
        self._keys: Sequence[Key] = sorted((key for key, weight in weights.items() if weight > 0), key=repr)
        self._table = self._fill([weights[key] for key in self._keys], size) if self._keys else array("i")

    def _fill(self, weights: list[int], size: int) -> array[int]:
        names = [repr(key).encode() for key in self._keys]
        # Where each begins, and in which steps it goes over the table: by two hashes of its name.
        at = [zlib.crc32(name) % size for name in names]
        step = [zlib.crc32(name, 1) % (size - 1) + 1 for name in names]
        table, most, left = array("i", [_EMPTY]) * size, max(weights), size
        owed = [0] * len(weights)
        while True:
            for number, weight in enumerate(weights):
                owed[number] += weight
                if owed[number] < most:
                    continue
                owed[number] -= most
                place = at[number]
                while table[place] != _EMPTY:
                    place = (place + step[number]) % size
                table[place] = number
                at[number] = (place + step[number]) % size
                left -= 1
                if not left:
                    return table

    def choose(self, hash_: int) -> Key | None:
        """The endpoint of a key with this hash; None if there is none."""
        return self._keys[self._table[hash_ % len(self._table)]] if self._keys else None

    def shares(self) -> dict[Key, float]:
        """How much of the table each has."""
        counts = [0] * len(self._keys)
        for number in self._table:
            counts[number] += 1
        return {key: count / len(self._table) for key, count in zip(self._keys, counts, strict=True)}
