"""How many standing connections are to be moved now, so that all are by a given moment.

Owns: one count of moves that are due. Must never: do I/O, read a clock, or choose whom to move.

Danger: everybody moved at once comes back at once, to the same few servers, each of which pays for every
set-up; everybody moved at the last moment is cut off if this process is late. Times are seconds.
"""

from __future__ import annotations


class MovePacer:
    """Moves spread evenly between two moments; after the second, whoever still comes up goes at once."""

    def __init__(self, begins: float, ends: float) -> None:
        self._last, self._ends = begins, ends
        self._credit = 0.0

    def due(self, now: float, standing: int) -> int:
        """How many of so many that stand are to be moved now."""
        if now >= self._ends:
            return standing
        if now <= self._last:
            return 0
        self._credit += standing * (now - self._last) / (self._ends - self._last)
        self._last = now
        due = min(int(self._credit), standing)
        self._credit -= due
        return due
