"""Counters of what the balancer accepts, sends and answers, since the start of the process.

Incrementing a counter is one addition: it never waits and never fails.
"""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counters, logged on SIGUSR1 and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self.answers: Counter[tuple[str, str]] = Counter()  # final answers by class name and outcome

    def add(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] += amount

    def count_answer(self, class_name: str, outcome: str) -> None:
        """Count the final answer to a request of this class, or its established connection.

        Called once for each request; nothing else changes these counters."""
        self._counts[f"answers.{outcome}"] += 1
        self.answers[class_name, outcome] += 1

    def get(self, name: str) -> int:
        """Return a counter's value; 0 if it was never increased."""
        return self._counts[name]

    def summary(self) -> str:
        """Return all counters in one line, sorted by name."""
        return " ".join(f"{name}={count}" for name, count in sorted(self._counts.items()))
