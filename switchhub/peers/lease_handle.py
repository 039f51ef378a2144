"""A lease as seen by the component of the balancer that requested it.

Notifications (`acquired`, `lost`) reach the component's event loop late. They are not proof of the lease:
before it acts, a component checks `is_held` or `token`, which compare with the clock.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

RECHECK_DELAY = 0.02  # seconds


class LeaseHandle:
    """Created by `PeerNode.request_lease` in the event loop of the component that waits for the lease."""

    def __init__(
        self, name: str, held_token: Callable[[], int | None], release: Callable[[str], bool]
    ) -> None:
        self.name = name
        self._held_token, self._release = held_token, release
        self._loop = asyncio.get_running_loop()
        self._notified_token: int | None = None
        self._acquired_event, self._lost_event = asyncio.Event(), asyncio.Event()
        self._lost_event.set()

    @property
    def token(self) -> int | None:
        """The fencing token to attach to each effect, or None if the lease is not held right now.

        Must be read again before each effect and after each wait.
        """
        return self._held_token()

    def is_held(self) -> bool:
        """Whether the lease is held right now."""
        return self._held_token() is not None

    async def acquired(self) -> int:
        """Wait until the lease is held, and return its token."""
        while (token := self._held_token()) is None:
            # A lease that has expired by the clock, without a notification yet, can be renewed under the same
            # token. Nothing has changed then, so no notification follows, and this has to poll.
            await (
                asyncio.sleep(RECHECK_DELAY) if self._acquired_event.is_set() else self._acquired_event.wait()
            )
        return token

    async def lost(self) -> None:
        """Wait until the lease is no longer held."""
        await self._lost_event.wait()

    def release(self, successor: str = "") -> bool:
        """Release the lease, or hand it on to the named balancer; returns whether that was possible.

        After this call the component must not act on the lease any more.
        """
        return self._release(successor)

    def notify(self, token: int | None) -> None:
        """Report, from the peers' thread, that the lease is held under this token, or not held."""
        if token == self._notified_token:
            return
        self._notified_token = token
        with contextlib.suppress(RuntimeError):  # the component's event loop is closed
            self._loop.call_soon_threadsafe(self._set_events, token)

    def _set_events(self, token: int | None) -> None:
        if token is None:
            self._acquired_event.clear()
            self._lost_event.set()
        else:
            self._lost_event.clear()
            self._acquired_event.set()
