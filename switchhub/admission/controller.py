"""Decides whether an incoming request can still be set up in time by this process, and when it may start.

Responsible for measuring how fast this process sets up connections. Does no I/O, reads no clock, knows no
protocol and answers no client: a request that cannot be set up in time is passed on to the decision module,
marked as late, and that module decides the answer.

A process that works on all requests at once finishes all of them late, and set-ups for clients that gave up
long ago take time from clients that still wait. Therefore a request that cannot be in time is refused early,
while the refusal is still in time and costs little, and the others start in order of arrival, a few in each
turn of the event loop. A set-up that waits for a slow server takes up no later turn, so it delays no other
request. All times are in milliseconds.
"""

from __future__ import annotations

from enum import Enum

SETUPS_PER_TURN = 8  # set-ups that may start in one turn of the event loop
TURN_MS = 2.0  # longest span counted as one turn while no request is queued
PROMPT_AGE_MS = 12.0  # a first line read later than this is queued; the kernel's ages have steps of 4 ms
INITIAL_SETUP_COST_MS = 1.0  # work of this process for one set-up, before it is measured
INITIAL_SETUP_DURATION_MS = 8.0  # time from the start of a set-up to its answer, before it is measured
SETUP_DURATION_WEIGHT = 1 / 32  # weight of the newest sample in the moving average
SETUP_COST_WEIGHT = 1 / 8  # larger: in a burst of requests the cost changes within a few turns
SETUP_COST_MAX_MS = 20.0  # cap on a sample: a turn longer than this per set-up was delayed by other work
SETUP_DURATION_MAX_MS = 250.0  # longer set-ups waited for their server and are not counted
SETUP_TIME_FACTOR = 1.5  # multiple of the average duration that is allowed for a set-up
SETUP_MARGIN_MS = 30.0  # time that must be left besides


class AdmissionDecision(Enum):
    """What is done with a request now."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class AdmissionController:
    """Measures the set-ups of one process and decides on new requests by them.

    `setup_cost` (ms of this process's work) and `setup_duration` (ms from start to answer) are moving
    averages over recent set-ups. The caller keeps `waiting` up to date.
    """

    def __init__(self) -> None:
        self.setup_cost, self.setup_duration = INITIAL_SETUP_COST_MS, INITIAL_SETUP_DURATION_MS
        self.waiting = 0  # queued requests
        self._turn_started_at = 0.0
        self._started_in_turn = 0  # set-ups started in the current turn
        self._released_last_turn = 0  # queued requests released in the last turn

    def can_start_now(self, now: float, age: float) -> bool:
        """Whether a request can start at once: none is queued, the turn has room, it was read promptly."""
        if now - self._turn_started_at > TURN_MS:
            self._turn_started_at, self._started_in_turn = now, 0
        return not self.waiting and self._started_in_turn < SETUPS_PER_TURN and age < PROMPT_AGE_MS

    def decide(self, now: float, age: float, wait: float) -> AdmissionDecision:
        """Decide on a request whose last byte arrived `age` ms ago and whose client waits for `wait`
        ms in all."""
        if self.can_start_now(now, age):
            self._started_in_turn += 1
            return AdmissionDecision.START
        return AdmissionDecision.REFUSE if self.would_be_late(age, wait) else AdmissionDecision.WAIT

    def would_be_late(self, age: float, wait: float) -> bool:
        """Whether the request, if it were queued now, could not be set up in time."""
        return not self._in_time(age + (self.waiting + 1) * self.setup_cost, wait)

    def latest_start(self, arrived_at: float, wait: float) -> float:
        """Latest time at which a set-up can start and still be in time; past it the request is refused."""
        return arrived_at + wait - SETUP_TIME_FACTOR * self.setup_duration - SETUP_MARGIN_MS

    def _in_time(self, age: float, wait: float) -> bool:
        """Whether a set-up that starts when its request is `age` ms old is done within `wait`."""
        return age + SETUP_TIME_FACTOR * self.setup_duration + SETUP_MARGIN_MS <= wait

    def next_batch(self, now: float) -> int:
        """Begin a turn of the event loop while requests are queued; return how many may start in it."""
        if self._released_last_turn:
            cost = min((now - self._turn_started_at) / self._released_last_turn, SETUP_COST_MAX_MS)
            self.setup_cost += SETUP_COST_WEIGHT * (cost - self.setup_cost)
        self._turn_started_at = now
        self._released_last_turn = self._started_in_turn = min(self.waiting, SETUPS_PER_TURN)
        return self._started_in_turn

    def queue_emptied(self) -> None:
        """The queue is empty: the time until the next turn says nothing about the cost of a set-up."""
        self._released_last_turn = 0

    def record_setup(self, duration: float) -> None:
        """Record that a set-up succeeded `duration` ms after its start."""
        if duration < SETUP_DURATION_MAX_MS:
            self.setup_duration += SETUP_DURATION_WEIGHT * (duration - self.setup_duration)
