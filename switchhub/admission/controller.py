"""Whether a request that has come can still be set up in time by this process, and when it may start.

Owns: the measures of the process's own pace. Must never: do I/O, read a clock, know a protocol, or answer: a
request that can't be set up in time is told to the module as such, and the answer is the module's.

Danger: work on everybody at once makes everybody late; what is started for clients that have long given up
takes the time of those that still wait. So what can't be in time is refused while a refusal is still in
time and costs little, and the rest starts in its order, a few in each turn of the event loop. Requests that
wait for a slow server take no turn, so they hold nobody up. Times are milliseconds.
"""

from __future__ import annotations

from enum import Enum

SETUPS_PER_TURN = 8  # set-ups that may begin in one turn of the event loop
TURN_MS = 2.0  # how long one turn lasts at most where nobody waits
PROMPT_AGE_MS = (
    12.0  # age of a first line up to which the process counts as prompt; the kernel counts in steps of 4
)
COST, SPENT = 1.0, 8.0  # of a set-up, until it is measured: work, and time from its start to its answer
MEMORY, QUICK = 1 / 32, 1 / 8  # weight of the newest measure; of work, which a storm changes in a few turns
COST_MAX = 20.0  # a turn that took longer per set-up was held up by something else
SLOWEST = 250.0  # set-ups that took longer waited for their server
SETUP_TIME_FACTOR, SETUP_MARGIN_MS = (
    1.5,
    30.0,
)  # times that a set-up may take its usual time, and what is left over besides


class AdmissionDecision(Enum):
    """What becomes of a request now."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class AdmissionController:
    """One process's own pace."""

    def __init__(self) -> None:
        self.setup_cost, self.setup_duration = COST, SPENT
        self.waiting = 0  # requests that wait for their turn
        self._turn_at = 0.0
        self._begun = 0  # in this turn
        self._released = 0  # in the last turn of those that waited

    def can_start_now(self, now: float, age: float) -> bool:
        """Whether a request can start at once: nobody waits, the turn has room, and it was read in time."""
        if now - self._turn_at > TURN_MS:
            self._turn_at, self._begun = now, 0
        return not self.waiting and self._begun < SETUPS_PER_TURN and age < PROMPT_AGE_MS

    def decide(self, now: float, age: float, wait: float) -> AdmissionDecision:
        """What becomes of a request whose last byte came `age` ago and whose client waits for `wait` in
        all."""
        if self.can_start_now(now, age):
            self._begun += 1
            return AdmissionDecision.START
        return AdmissionDecision.REFUSE if self.would_be_late(age, wait) else AdmissionDecision.WAIT

    def would_be_late(self, age: float, wait: float) -> bool:
        """Whether its turn would come too late."""
        return not self._in_time(age + (self.waiting + 1) * self.setup_cost, wait)

    def latest_start(self, arrived: float, wait: float) -> float:
        """When a set-up must start at the latest to be in time; past that it is to be refused at once."""
        return arrived + wait - SETUP_TIME_FACTOR * self.setup_duration - SETUP_MARGIN_MS

    def _in_time(self, age: float, wait: float) -> bool:
        return age + SETUP_TIME_FACTOR * self.setup_duration + SETUP_MARGIN_MS <= wait

    def next_batch(self, now: float) -> int:
        """A turn of the loop begins while requests wait: how many of them may start in it."""
        if self._released:
            cost = min((now - self._turn_at) / self._released, COST_MAX)
            self.setup_cost += QUICK * (cost - self.setup_cost)
        self._turn_at = now
        self._released = self._begun = min(self.waiting, SETUPS_PER_TURN)
        return self._begun

    def queue_emptied(self) -> None:
        """Nobody waits any more; the next turn may be long after."""
        self._released = 0

    def record_setup(self, spent: float) -> None:
        """A set-up came up so long after its start."""
        if spent < SLOWEST:
            self.setup_duration += MEMORY * (spent - self.setup_duration)
