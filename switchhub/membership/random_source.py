"""A seeded random number generator with eight bytes of state.

The generator is splitmix64 (Steele, Lea, Flood 2014). Its state is small enough to be stored in each of the
states that the model checker explores. It must not be used where anybody could gain by predicting it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
_UINT64_MASK = (1 << 64) - 1


class RandomSource:
    """A subset of `random.Random`, with the same method names."""

    def __init__(self, seed: int) -> None:
        self._state = seed & _UINT64_MASK

    def _next(self) -> int:
        self._state = (self._state + 0x9E3779B97F4A7C15) & _UINT64_MASK
        mixed = self._state
        mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _UINT64_MASK
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _UINT64_MASK
        return mixed ^ (mixed >> 31)

    def random(self) -> float:
        """Return a float from 0 (included) to 1 (excluded)."""
        return (self._next() >> 11) / (1 << 53)

    def randrange(self, count: int) -> int:
        """Return an integer from 0 to `count` - 1; its bias, less than `count` / 2^64, is negligible here."""
        return self._next() % count

    def choice(self, items: Sequence[T]) -> T:
        """Return one of the items."""
        return items[self.randrange(len(items))]

    def shuffled(self, items: Sequence[T]) -> list[T]:
        """Return all items in random order (Fisher-Yates shuffle)."""
        mixed_items = list(items)
        for index in range(len(mixed_items) - 1, 0, -1):
            other = self.randrange(index + 1)
            mixed_items[index], mixed_items[other] = mixed_items[other], mixed_items[index]
        return mixed_items

    def sample(self, items: Sequence[T], count: int) -> list[T]:
        """Return `count` different items, or all in their order if there are no more than that."""
        if len(items) <= count:
            return list(items)
        remaining = list(items)
        return [remaining.pop(self.randrange(len(remaining))) for _ in range(count)]
