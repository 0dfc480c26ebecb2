"""Weighted random choice of an endpoint, with the least loaded of two draws (weighted least request).

Weights are kept in a Fenwick tree (Fenwick, 1994): changing, adding, removing and drawing an endpoint each
take logarithmic time in the number of endpoints. `benchmarks/fleet_choice.py` compares it with a plain list.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key")
# The number of draws from which the least loaded endpoint is chosen; Envoy's `choice_count`.
CHOICES = 2
# The largest weight in the protocol (32 bits); sums may exceed it, since Python integers are unbounded.
MAX_WEIGHT = (1 << 32) - 1


class Weighted(Generic[Key]):
    """Endpoints with weights and calls in flight; an endpoint is identified by any hashable key."""

    def __init__(self) -> None:
        self._slots: dict[Key, int] = {}
        self._keys: list[Key | None] = []
        self._weights: list[int] = []
        self._active: list[int] = []
        self._free_slots: list[int] = []
        self._tree: list[int] = [0]  # slot n is at index n + 1
        self._total = 0

    def __len__(self) -> int:
        return len(self._slots)

    def __contains__(self, key: Key) -> bool:
        return key in self._slots

    @property
    def total(self) -> int:
        """The sum of all weights."""
        return self._total

    def weight(self, key: Key) -> int:
        """An endpoint's weight."""
        return self._weights[self._slots[key]]

    def active(self, key: Key) -> int:
        """An endpoint's calls in flight."""
        return self._active[self._slots[key]]

    def put(self, key: Key, weight: int) -> None:
        """Add an endpoint, or change its weight; an endpoint of weight 0 is kept but never drawn.

        Raises `ValueError` if the weight is out of range.
        """
        if not 0 <= weight <= MAX_WEIGHT:
            raise ValueError(f"weight of {key!r}: {weight} is not between 0 and {MAX_WEIGHT}")
        slot = self._slots.get(key)
        if slot is None:
            slot = self._allocate_slot(key)
            self._slots[key] = slot
        self._add_weight(slot, weight - self._weights[slot])
        self._weights[slot] = weight

    def _allocate_slot(self, key: Key) -> int:
        if self._free_slots:
            slot = self._free_slots.pop()
            self._keys[slot] = key
            return slot
        self._keys.append(key)
        self._weights.append(0)
        self._active.append(0)
        index = len(self._keys)
        self._tree.append(self._sum_below(index))
        return index - 1

    def _sum_below(self, index: int) -> int:
        """The initial sum of a new tree node; its lowest set bit is the number of slots that it covers."""
        total = 0
        below = index - 1
        end = index - (index & -index)
        while below > end:
            total += self._tree[below]
            below -= below & -below
        return total

    def remove(self, key: Key) -> int:
        """Remove an endpoint; returns its calls in flight."""
        slot = self._slots.pop(key)
        self._add_weight(slot, -self._weights[slot])
        active = self._active[slot]
        self._keys[slot] = None
        self._weights[slot] = 0
        self._active[slot] = 0
        self._free_slots.append(slot)
        return active

    def _add_weight(self, slot: int, difference: int) -> None:
        self._total += difference
        index = slot + 1
        size = len(self._tree)
        while index < size:
            self._tree[index] += difference
            index += index & -index

    def _find(self, number: int) -> int:
        """The slot that contains this number in the cumulative sum of all weights."""
        slot_count = len(self._tree) - 1
        index = 0
        step = 1 << slot_count.bit_length() - 1 if slot_count else 0
        while step:
            candidate = index + step
            if candidate <= slot_count and self._tree[candidate] <= number:
                index = candidate
                number -= self._tree[candidate]
            step >>= 1
        return index

    def draw(self, below: Callable[[int], int]) -> Key | None:
        """Draw a random endpoint with a probability proportional to its weight; None if all weights are 0.

        `below(n)` returns a random integer from 0 to n - 1.
        """
        if not self._total:
            return None
        return self._keys[self._find(below(self._total))]

    def choose(self, below: Callable[[int], int], choices: int = CHOICES) -> Key | None:
        """Of `choices` draws, the endpoint with the lowest load per weight; None if all weights are 0."""
        if not self._total:
            return None
        best = self._find(below(self._total))
        for _ in range(choices - 1):
            other = self._find(below(self._total))
            # Compares (calls + 1) / weight without division.
            best_load = (self._active[best] + 1) * self._weights[other]
            other_load = (self._active[other] + 1) * self._weights[best]
            if other_load < best_load:
                best = other
        return self._keys[best]

    def begin(self, key: Key, calls: int = 1) -> None:
        """Count calls sent to an endpoint."""
        self._active[self._slots[key]] += calls

    def end(self, key: Key) -> None:
        """Count the end of a call; ignored if the endpoint was removed meanwhile."""
        slot = self._slots.get(key)
        if slot is not None and self._active[slot] > 0:
            self._active[slot] -= 1
