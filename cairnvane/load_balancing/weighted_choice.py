"""Draw an endpoint by weight, and of two draws the one with fewer calls for its weight.

Weights stand in a tree of sums (Fenwick, 1994): to change one, to add or take one and to draw one each
take as many steps as the number of endpoints has binary digits. `benchmarks/fleet_choice.py` has it beside
a plain list.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

Key = TypeVar("Key")
# Of so many draws the least busy is taken; Envoy's `choice_count`.
CHOICES = 2
# The largest weight that the protocol has; sums may go past it, since they are Python's own integers.
MOST_WEIGHT = (1 << 32) - 1


class Weighted(Generic[Key]):
    """Endpoints with weights and calls in flight. Keys are whatever tells endpoints apart."""

    def __init__(self) -> None:
        self._slots: dict[Key, int] = {}
        self._keys: list[Key | None] = []
        self._weights: list[int] = []
        self._active: list[int] = []
        self._free: list[int] = []
        self._tree: list[int] = [0]  # from 1; as long as the slots
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
        """Add an endpoint, or give it another weight; one of weight 0 is known and never drawn."""
        if not 0 <= weight <= MOST_WEIGHT:
            raise ValueError(f"weight of {key!r}: {weight} is not between 0 and {MOST_WEIGHT}")
        slot = self._slots.get(key)
        if slot is None:
            slot = self._slots[key] = self._room(key)
        self._change(slot, weight - self._weights[slot])
        self._weights[slot] = weight

    def _room(self, key: Key) -> int:
        if self._free:
            slot = self._free.pop()
            self._keys[slot] = key
            return slot
        self._keys.append(key)
        self._weights.append(0)
        self._active.append(0)
        at = len(self._keys)
        # A node sums up the slots below it, as many as its lowest binary digit says; those are there already.
        node, below, end = 0, at - 1, at - (at & -at)
        while below > end:
            node += self._tree[below]
            below -= below & -below
        self._tree.append(node)
        return at - 1

    def remove(self, key: Key) -> int:
        """Take an endpoint out; its calls in flight, which end where they are."""
        slot = self._slots.pop(key)
        self._change(slot, -self._weights[slot])
        active = self._active[slot]
        self._keys[slot], self._weights[slot], self._active[slot] = None, 0, 0
        self._free.append(slot)
        return active

    def _change(self, slot: int, by: int) -> None:
        self._total += by
        at, size = slot + 1, len(self._tree)
        while at < size:
            self._tree[at] += by
            at += at & -at

    def _find(self, number: int) -> int:
        """The slot in which this number falls, of all weights laid end to end."""
        at, step = 0, 1 << (len(self._tree) - 1).bit_length() - 1 if len(self._tree) > 1 else 0
        while step:
            there = at + step
            if there < len(self._tree) and self._tree[there] <= number:
                at, number = there, number - self._tree[there]
            step >>= 1
        return at

    def draw(self, below: Callable[[int], int]) -> Key | None:
        """An endpoint, with a chance that goes by weight; None if there is none to draw. `below(n)` gives a
        random whole number from 0 to under n."""
        return self._keys[self._find(below(self._total))] if self._total else None

    def choose(self, below: Callable[[int], int], choices: int = CHOICES) -> Key | None:
        """The one with the fewest calls for its weight, of a few draws."""
        if not self._total:
            return None
        best = self._find(below(self._total))
        for _ in range(choices - 1):
            other = self._find(below(self._total))
            here = (self._active[best] + 1) * self._weights[other]
            if (self._active[other] + 1) * self._weights[best] < here:
                best = other
        return self._keys[best]

    def begin(self, key: Key, calls: int = 1) -> None:
        """Calls go out to it."""
        self._active[self._slots[key]] += calls

    def end(self, key: Key) -> None:
        """A call to it is over; one that has been taken out meanwhile is passed over."""
        slot = self._slots.get(key)
        if slot is not None and self._active[slot] > 0:
            self._active[slot] -= 1
