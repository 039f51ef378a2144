"""What passing lines tell of each server: how long it has been silent, and how long messages take there.

Owns: per server, when it answered last, and the waits for `UP`. Must never: decide what follows; it measures.

Two measures of delay. The answer to a line counts as it is. Some servers answer lines before their work is
done; there only the wait for `UP` shows strain. It counts less the network's part (the least wait from any
server of that zone) and less the work of a set-up itself (what the quickest server takes over its network's
part). It is smoothed, for set-ups vary, and fades, for strain passes.
"""

from __future__ import annotations

import math

SILENT_SUM, SILENT_LEAST = 3000.0, 1000.0  # milliseconds, over all lines that wait, and of the silence itself
SMOOTHING = 0.5  # weight of the newest wait for `UP`
FADES = 2000.0  # milliseconds in which an excess that nothing confirms fades to a half


class _Seen:
    __slots__ = ("answered", "excess", "excess_at", "pending", "silent", "waits")

    def __init__(self, now: float) -> None:
        self.answered, self.silent = now, False
        self.pending = 0  # set-ups under way
        self.waits = 0  # waits for `UP` that counted
        self.excess, self.excess_at = 0.0, now


class Health:
    """The measurements of one balancer. Times are milliseconds."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}
        self._least: dict[int, float] = {}  # the least wait for `UP` from any server of a zone

    def answered(self, server: str, now: float) -> None:
        """The server has answered something; loads that it tells are no answers."""
        seen = self._get(server, now)
        seen.answered, seen.silent = now, False

    def silent(self, server: str, waiting: int, longest: float, now: float) -> bool:
        """Whether a server says nothing: so many lines wait for it, one of them for so long."""
        seen = self._get(server, now - longest)
        if not seen.silent:
            silence = min(longest, now - seen.answered)
            seen.silent = silence >= max(SILENT_LEAST, SILENT_SUM / max(1, waiting))
        return seen.silent

    def attempt_begun(self, server: str, now: float) -> None:
        """A set-up is under way; `attempt_over` follows."""
        self._get(server, now).pending += 1

    def attempt_over(self, server: str, zone: int, wait: float | None, now: float) -> None:
        """It came up after this wait, or failed (no wait)."""
        seen = self._get(server, now)
        seen.pending -= 1
        if wait is None:
            return
        self.answered(server, now)
        self._least[zone] = min(wait, self._least.get(zone, math.inf))
        if seen.pending:  # they queue behind each other: this says how many come, not how strained it is
            return
        seen.waits += 1
        if seen.waits > 1:  # a first connection shakes hands once more
            excess = self._faded(seen, now)
            seen.excess = excess + SMOOTHING * (wait - self._least[zone] - excess)
            seen.excess_at = now

    def delay(self, server: str, line: float, now: float) -> float:
        """What a message takes at the server now, a line having been answered after this long."""
        quickest = min((each.excess for each in self._seen.values() if each.waits > 1), default=0.0)
        return max(line, self._faded(self._get(server, now), now) - quickest)

    def _faded(self, seen: _Seen, now: float) -> float:
        return seen.excess * math.exp2((seen.excess_at - now) / FADES)

    def _get(self, server: str, now: float) -> _Seen:
        seen = self._seen.get(server)
        if seen is None:
            seen = self._seen[server] = _Seen(now)
        return seen
