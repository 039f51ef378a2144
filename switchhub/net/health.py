"""What the lines that pass tell of each server: how long it has been silent, and how long messages take there.

Owns: per server, when it answered last, and the waits for `UP`. Must never: decide what follows; it measures.

Two measures of delay. The answer to a line counts as it is. The wait for `UP` counts less the network's part,
for which the least wait from any server of that zone stands; it is smoothed, for the work of one set-up varies.
Some servers answer a line before its work is done, so the second is often the only one that shows strain.
"""

from __future__ import annotations

import math

SILENT_SUM, SILENT_LEAST = 3000.0, 1000.0  # milliseconds, over all lines that wait, and of the silence itself
SMOOTHING = 0.5  # weight of the newest wait for `UP`
SET_UP_STANDS = 2000.0  # milliseconds in which a wait for `UP` counts for more than lines answered at once


class _Seen:
    __slots__ = ("answered", "excess", "excess_at", "silent", "waits")

    def __init__(self, now: float) -> None:
        self.answered, self.silent = now, False
        self.waits = 0  # set-ups that came up
        self.excess, self.excess_at = 0.0, -math.inf


class Health:
    """The measurements of one balancer. Times are milliseconds."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._least: dict[int, float] = {}  # the least wait for `UP` from any server of a zone

    def answered(self, server: str, now: float) -> None:
        """The server has answered something; loads that it tells are no answers."""
        seen = self._seen.get(server)
        if seen is None:
            self._seen[server] = _Seen(now)
        else:
            seen.answered, seen.silent = now, False

    def silent(self, server: str, waiting: int, longest: float, now: float) -> bool:
        """Whether a server says nothing: so many lines wait for it, one of them for so long."""
        seen = self._seen.get(server)
        if seen is None:
            return False
        if not seen.silent:
            silence = min(longest, now - seen.answered)
            seen.silent = silence >= max(SILENT_LEAST, SILENT_SUM / max(1, waiting))
        return seen.silent

    def set_up(self, server: str, zone: int, wait: float, now: float) -> float | None:
        """A set-up came up after this wait: what a message takes there now. The first one tells nothing."""
        self.answered(server, now)
        seen = self._seen[server]
        least = self._least[zone] = min(wait, self._least.get(zone, math.inf))
        seen.waits += 1
        if seen.waits == 1:
            return None  # a first connection shakes hands once more
        seen.excess += SMOOTHING * (wait - least - seen.excess)
        seen.excess_at = now
        return seen.excess

    def line(self, server: str, delay: float, now: float) -> float | None:
        """A line was answered after this delay: what to tell, or nothing while a set-up's wait says more."""
        seen = self._seen.get(server)
        if seen is not None and now - seen.excess_at < SET_UP_STANDS and delay < seen.excess:
            return None
        return delay
