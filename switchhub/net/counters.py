"""Counts of what the balancer takes in, sends and answers.

Owns: the numbers, from the program's start. Must never: decide, wait or fail; a count is one addition.
"""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts, printed on a signal and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self.answers: Counter[tuple[str, str]] = Counter()  # final answers by class and how it ended

    def add(self, name: str, much: int = 1) -> None:
        """Count it."""
        self._counts[name] += much

    def count_answer(self, class_name: str, ended: str) -> None:
        """A request of this class has got its final answer, or its connection: counted here and nowhere
        else, once for each request."""
        self._counts[f"answers.{ended}"] += 1
        self.answers[class_name, ended] += 1

    def get(self, name: str) -> int:
        """The count so far."""
        return self._counts[name]

    def summary(self) -> str:
        """All counts in one line, sorted by name."""
        return " ".join(f"{name}={count}" for name, count in sorted(self._counts.items()))
