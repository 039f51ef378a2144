"""When to call discovery again after a failed call.

Responsible for the series of failed calls and the wait until the next one. Does no I/O and reads no clock;
all times are in milliseconds.

Discovery serves all balancers from one queue, and works through calls that their callers have given up too.
Calls repeated at once would keep the queue full of such calls, and none would be served again. So where the
queue is full, each failure from the fourth on doubles the wait. A full queue shows by both kinds of failures:
calls that are held in it until they fail, and calls that are refused at once.

All other waits stay short: a balancer counts as knowing what discovery knows 6 s after discovery can be
reached, which leaves time for a wait of 4 s and a call. A discovery that is down may hold calls too, and a
wait that had grown meanwhile would outlast its return. A queue that refuses nobody looks like such an outage,
and short waits would keep it full for good. So calls held for minutes count as a full queue as well.
"""

from __future__ import annotations

import math
from random import Random

RETRY_BASE_MS = 1500.0  # longest wait after the first failed call
RETRY_MAX_MS = 4000.0  # longest wait, unless discovery's queue is full
DISCOVERY_CALL_WORK_MS = 250.0  # time that one call takes discovery in the worst case
HELD_CALL_MS = 900.0  # a call that fails after this time or more was held
FULL_QUEUE_AFTER_MS = 120_000.0  # time of failed calls after which held ones mean a full queue
FAILURES_BEFORE_BACKOFF = 3  # failed calls after which a full queue doubles the wait
FAILURES_COUNTED_MAX = 9  # bounds the exponents
# Waits are random, from this fraction of the longest one on; while the queue is full, from the second.
JITTER_FROM = 0.3
FULL_QUEUE_JITTER_FROM = 0.7


class DiscoveryRetry:
    """The failed calls of one balancer since discovery's last answer.

    `watching` is true from an answer until the next failure."""

    def __init__(self, fleet_size: int, watch_retry_within: float, random: Random) -> None:
        """Create the state of a balancer that has not called yet.

        `watch_retry_within` is the time in milliseconds within which the settings want a call."""
        # No wait is longer than the calls of all balancers take, one after another.
        work = DISCOVERY_CALL_WORK_MS * fleet_size
        self._full_queue_wait_max = max(RETRY_MAX_MS, min(3 * watch_retry_within, work))
        self._random = random
        self._called_at = 0.0
        self._forget_failures()

    def _forget_failures(self, watching: bool = False) -> None:
        self.watching = watching
        self._failures = 0
        self._failing_since = math.inf
        self._failed_at = -math.inf  # the last failure
        self._held = False  # one of these calls failed only after a time
        self._refused = False  # discovery refused one of these calls at once

    @property
    def _queue_full(self) -> bool:
        return self._held and (self._refused or self._failed_at - self._failing_since >= FULL_QUEUE_AFTER_MS)

    def record_call(self, now: float) -> None:
        """Record that a call begins, or goes on after news from discovery."""
        self._called_at = now

    def record_answer(self) -> None:
        """Record that discovery has answered a call."""
        self._forget_failures(watching=True)

    def record_new_address(self, now: float) -> None:
        """Record that another discovery service is called at once.

        Failures of the former one would delay the calls to this one, until after the time at which the
        balancer counts as knowing its list."""
        self._called_at = now
        self._forget_failures()

    def record_failure(self, now: float, refused: bool) -> bool:
        """Record that a call failed or a watch broke off; return whether that is the first such failure.

        `refused`: discovery answered that it does not serve the call, or the reason is not known."""
        first = self.watching or not self._failures
        if not self.watching:  # a watch that breaks off says nothing about new calls
            held = now - self._called_at >= HELD_CALL_MS
            self._held |= held
            self._refused |= refused and not held
        self._failures += 1
        self._failing_since, self._failed_at = min(now, self._failing_since), now
        self.watching = False
        return first

    def next_wait(self) -> float:
        """Return a random wait until the next call, in milliseconds."""
        failures = min(self._failures, FAILURES_COUNTED_MAX)
        longest = RETRY_MAX_MS if self._held else min(RETRY_BASE_MS * 2.0 ** (failures - 1), RETRY_MAX_MS)
        if not self._queue_full:
            return longest * self._random.uniform(JITTER_FROM, 1.0)
        if failures > FAILURES_BEFORE_BACKOFF:
            longest = min(RETRY_MAX_MS * 2.0 ** (failures - 2), self._full_queue_wait_max)
        return longest * self._random.uniform(FULL_QUEUE_JITTER_FROM, 1.0)
