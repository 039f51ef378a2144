"""Requests that wait until this process starts their set-up, in order of arrival.

How many may start in a turn of the event loop is decided by the admission controller. A request that can no
longer be set up in time is told so at once, whoever stands before it.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable

from switchhub.admission.controller import AdmissionController


class SetupQueue:
    """The requests of one process that wait for their set-up. Times are Unix time in milliseconds."""

    def __init__(self, admission: AdmissionController, clock: Callable[[], float]) -> None:
        self._admission, self._clock = admission, clock
        # One future for each request, in order of arrival; it is set to whether the set-up may start.
        self._waiting: deque[asyncio.Future[bool]] = deque()
        # The same requests as a heap: latest start, number, future.
        self._deadlines: list[tuple[float, int, asyncio.Future[bool]]] = []
        self._count = 0  # requests queued so far; breaks ties in the heap

    @property
    def empty(self) -> bool:
        """Whether no request is queued; then nothing needs to run."""
        return not self._waiting

    async def wait(self, latest_start: float) -> bool:
        """Wait for this request's turn; return False if `latest_start` passed before that, or at a stop."""
        may_start: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append(may_start)
        self._count += 1
        heapq.heappush(self._deadlines, (latest_start, self._count, may_start))
        self._admission.waiting += 1
        try:
            return await may_start
        finally:
            self._admission.waiting -= 1

    async def run(self) -> None:
        """Let requests start in order, a few in each turn of the event loop, until none is queued.

        Must be started when the first request is queued."""
        while self._waiting:
            await asyncio.sleep(0)  # requests that are already being set up go first
            now = self._clock()
            while self._deadlines and self._deadlines[0][0] < now:
                _notify(heapq.heappop(self._deadlines)[2], False)
            remaining = self._admission.next_batch(now)
            while self._waiting and (remaining or self._waiting[0].done()):
                remaining -= _notify(self._waiting.popleft(), True)
        self._deadlines.clear()
        self._admission.queue_emptied()

    def refuse_all(self) -> None:
        """Tell every queued request that it may not start, because the process stops."""
        for _, _, may_start in self._deadlines:
            _notify(may_start, False)


def _notify(may_start: asyncio.Future[bool], answer: bool) -> bool:
    """Give a request its answer; return False if it has one already or no longer waits."""
    if may_start.done():
        return False
    may_start.set_result(answer)
    return True
