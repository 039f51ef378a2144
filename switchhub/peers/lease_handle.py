"""One name that a part of this balancer wants to hold by lease.

Owns: what that part has been told of it, in the part's own event loop. Must never: be taken for the lease
itself: whoever acts looks first (`held`), which asks the time; being told (`won`, `lost`) comes later.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

SOON = 0.02  # seconds


class LeaseHandle:
    """Made by `PeerNode.hold`, in the loop of whoever waits."""

    def __init__(self, name: str, look: Callable[[], int | None], release: Callable[[str], bool]) -> None:
        self.name = name
        self._look, self._release = look, release
        self._loop = asyncio.get_running_loop()
        self._told: int | None = None
        self._won, self._lost = asyncio.Event(), asyncio.Event()
        self._lost.set()

    @property
    def token(self) -> int | None:
        """What each effect carries; none if it is not held at this moment. To be asked before each effect and
        after each wait."""
        return self._look()

    def held(self) -> bool:
        """Whether it is held at this moment."""
        return self._look() is not None

    async def won(self) -> int:
        """Wait until it is held; its token."""
        while (token := self._look()) is None:
            # Danger: over by the clock and not told yet, it may go on under the same token; that is told to
            # nobody, for nothing has changed.
            await (asyncio.sleep(SOON) if self._won.is_set() else self._won.wait())
        return token

    async def lost(self) -> None:
        """Wait until it is not held any more."""
        await self._lost.wait()

    def release(self, heir: str = "") -> bool:
        """Let it go, or hand it on; whether that can be. Nothing may be done for it from this moment on."""
        return self._release(heir)

    def tell(self, token: int | None) -> None:
        """From the peers' thread: it is held under this token, or not."""
        if token == self._told:
            return
        self._told = token
        with contextlib.suppress(RuntimeError):  # that loop has ended
            self._loop.call_soon_threadsafe(self._hear, token)

    def _hear(self, token: int | None) -> None:
        if token is None:
            self._won.clear()
            self._lost.set()
        else:
            self._lost.clear()
            self._won.set()
