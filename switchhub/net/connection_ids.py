"""The ids of connections: each is used for one connection only, also across the processes of one balancer.

A client that repeats a request under the same id, after it has left or at another process of the balancer,
would have it run twice. Ids of connections that have ended are therefore remembered, and observers learn of
each id before its request goes anywhere.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

USED_IDS_KEPT = 16_384  # ids of ended connections that are remembered


class ConnectionIds:
    """The ids of connections that are open or ended recently."""

    def __init__(self) -> None:
        self.observers: list[Callable[[str], None]] = []  # called with each id that is reserved
        self._open: set[str] = set()
        self._used: dict[str, None] = {}  # oldest first

    def reserve(self, name: str) -> bool:
        """Reserve an id for a connection of this process; return whether it was free."""
        if name in self._open or name in self._used:
            return False
        self._open.add(name)
        for observer in self.observers:
            observer(name)
        return True

    def occupy(self, name: str) -> None:
        """Mark an id as in use by the other process, which may have reported it as used before."""
        self._open.add(name)

    def release(self, name: str) -> None:
        """Mark the id's connection as ended; the id stays unavailable for a while."""
        self._open.discard(name)
        self.remember((name,))

    def remember(self, names: Iterable[str]) -> None:
        """Keep ids unavailable for a while; one that is in use stays so."""
        for name in names:
            self._used.pop(name, None)  # so that it becomes the latest, also if it was known before
            self._used[name] = None
            if len(self._used) > USED_IDS_KEPT:
                del self._used[next(iter(self._used))]

    def all(self) -> list[str]:
        """Return all unavailable ids, those in use last."""
        return [*self._used, *(name for name in self._open if name not in self._used)]
