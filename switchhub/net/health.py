"""What the lines that pass tell of each server: how long it has been silent.

Owns: per server, when it answered last. Must never: decide what follows; it measures.
"""

from __future__ import annotations

SILENT_SUM, SILENT_LEAST = 3000.0, 1000.0  # milliseconds, over all lines that wait, and of the silence itself


class _Seen:
    __slots__ = ("answered", "silent")

    def __init__(self, now: float) -> None:
        self.answered, self.silent = now, False


class Health:
    """The measurements of one balancer. Times are milliseconds."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

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
