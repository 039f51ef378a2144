"""Computes how many established connections to move now, so that all have been moved by a given moment.

Responsible for the count of moves that are due. Does no I/O, reads no clock and does not choose which
connections move.

Moves are spread out because clients that are all moved at once all reconnect at once, to the same few
servers, each of which pays for every set-up; and clients that are all moved at the last moment are cut off if
this process is late. All times are in seconds.
"""

from __future__ import annotations


class MovePacer:
    """Spreads moves evenly over an interval; connections that are established after its end move at once."""

    def __init__(self, starts_at: float, ends_at: float) -> None:
        self._counted_until, self._ends_at = starts_at, ends_at
        self._credit = 0.0  # moves due, with the fraction carried over to the next call

    def end_by(self, ends_at: float) -> None:
        """End at this moment if that is sooner; the connections left are spread over the time until then."""
        self._ends_at = min(self._ends_at, ends_at)

    def due(self, now: float, established: int) -> int:
        """Return how many of the `established` connections are to be moved now."""
        if now >= self._ends_at:
            return established
        if now <= self._counted_until:
            return 0
        self._credit += established * (now - self._counted_until) / (self._ends_at - self._counted_until)
        self._counted_until = now
        due = min(int(self._credit), established)
        self._credit -= due
        return due
