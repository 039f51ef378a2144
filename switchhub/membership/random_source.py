"""Chance from a seed, in eight bytes of state: small enough to be part of a state that is explored.

Owns: one number (splitmix64, Steele, Lea and Flood 2014). Must never: be used where somebody could gain by
guessing it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")
_MASK = (1 << 64) - 1


class RandomSource:
    """Draws."""

    def __init__(self, seed: int) -> None:
        self._state = seed & _MASK

    def _next(self) -> int:
        self._state = (self._state + 0x9E3779B97F4A7C15) & _MASK
        mixed = self._state
        mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK
        return mixed ^ (mixed >> 31)

    def random(self) -> float:
        """From 0 up to 1."""
        return (self._next() >> 11) / (1 << 53)

    def randrange(self, count: int) -> int:
        """From 0 to count - 1; the bias, under count / 2^64, is of no account here."""
        return self._next() % count

    def choice(self, among: Sequence[T]) -> T:
        """One of them."""
        return among[self.randrange(len(among))]

    def shuffled(self, among: Sequence[T]) -> list[T]:
        """All of them, in any order (Fisher and Yates)."""
        mixed = list(among)
        for at in range(len(mixed) - 1, 0, -1):
            other = self.randrange(at + 1)
            mixed[at], mixed[other] = mixed[other], mixed[at]
        return mixed

    def sample(self, among: Sequence[T], count: int) -> list[T]:
        """So many of them, or all."""
        if len(among) <= count:
            return list(among)
        left = list(among)
        return [left.pop(self.randrange(len(left))) for _ in range(count)]
