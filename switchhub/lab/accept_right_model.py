"""The right to accept among two or three processes of one balancer, for the explorer:
`handover.accept_right` with channels, stops, wakes, deaths and late loops around it.

Owns: the model of what surrounds the pure part. Must never: decide who accepts. A step is `STEP` seconds; in
each, every process that runs beats, and its main loop reads, looks and speaks, unless it is late.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Hashable, Iterator
from itertools import product

from switchhub.handover.accept_right import (
    HEARTBEAT_INTERVAL_S,
    MAX_TICK_GAP_S,
    STALL_TIMEOUT_S,
    Heartbeat,
    RightClaim,
    RightState,
)

STEP = 0.0625  # seconds, exact in binary
# seconds that nobody may accept while one lives and its loop turns
NOBODY = STALL_TIMEOUT_S + MAX_TICK_GAP_S + 2 * HEARTBEAT_INTERVAL_S
CALM = 40  # steps after the last trouble in which it has settled: a rest of one stall, and the ways there
RUNS, STOPPED, DEAD = "runs", "stopped", "dead"
Make = Callable[[float, bool], RightState]


class ProcessGroupState:
    """The state: processes by age, a side for each of a pair, and what lies unread."""

    def __init__(self, count: int, budget: dict[str, int], make: Make) -> None:
        self.now = 0.0
        self.make, self.budget = make, dict(budget)
        self.is_: list[str] = [RUNS] * count
        self.stood = [0.0] * count
        self.sides: dict[tuple[int, int], RightState] = {}  # (whose, towards whom)
        self.lies: dict[tuple[int, int], list[RightClaim | Heartbeat]] = {}  # (from, to)
        self.alone, self.calm = 0, 0
        self.wrong: str | None = None
        self.above: dict[tuple[int, int], int] = {}  # the generation that each knew last
        self.stalls: dict[tuple[int, int], int] = {}  # how often each took the other for stalled
        self.troubled = [0.0] * count  # when each was last stopped or late

    def copy(self) -> ProcessGroupState:
        """A state of its own."""
        other = copy.copy(self)
        other.budget, other.is_, other.stood = dict(self.budget), list(self.is_), list(self.stood)
        other.sides = {}
        for key, side in self.sides.items():
            mine = other.sides[key] = copy.copy(side)
            mine.monitor = copy.copy(side.monitor)
        other.lies = {key: list(told) for key, told in self.lies.items()}
        other.above, other.stalls, other.troubled = dict(self.above), dict(self.stalls), list(self.troubled)
        return other

    def take(self, older: int, newer: int) -> None:
        """The newer one takes over; what it says is read when the older one gets to it."""
        side = self.sides[newer, older] = self.make(self.now, True)
        self.lies[newer, older] = [side.take_over(self.now, 0)]
        self.lies[older, newer] = []

    def accepts(self, who: int) -> bool:
        """Whether a process accepts."""
        return self.is_[who] == RUNS and all(
            side.may_accept(self.now) for (mine, _), side in self.sides.items() if mine == who
        )

    def step(self, late: set[int], order: tuple[int, ...]) -> None:
        """One step of all."""
        self.now += STEP
        for who in order:
            if self.is_[who] != RUNS or who in late:
                self.troubled[who] = self.now
            if self.is_[who] != RUNS:
                continue
            self._overtaken(who)
            self.stood[who] = self.stood[who] + STEP if who in late else 0.0
            if who not in late:
                self._loop(who, looks_first=order[0] > order[-1])
            for (mine, other), side in self.sides.items():
                if mine == who and self.is_[other] != DEAD:
                    heartbeat, lies = side.heartbeat(True, self.stood[who]), self.lies[mine, other]
                    if not lies or lies[-1] != heartbeat:  # read at once, two alike are one
                        lies.append(heartbeat)
        self.calm = min(CALM, self.calm + 1)
        self._look(bool(late))

    def _overtaken(self, who: int) -> None:
        """Before the loop turns: one that stood still must not accept before it has read."""
        for (mine, other), side in self.sides.items():
            if mine == who and self.now - side.monitor._last_tick > 2 * STEP and self.accepts(who):
                told = [each for each in self.lies[other, mine] if isinstance(each, RightClaim)]
                if any(each.generation > side.generation for each in told):
                    self.wrong = f"{who} accepts in a generation that is over"

    def _loop(self, who: int, looks_first: bool) -> None:
        """Read and look, in either order."""
        if looks_first:
            self._turn(who)
        for mine, other in [key for key in self.lies if key[1] == who]:
            told, self.lies[mine, other] = self.lies[mine, other], []
            for word in told:
                if (who, mine) not in self.sides:
                    self.sides[who, mine] = self.make(self.now, False)
                side = self.sides[who, mine]
                if isinstance(word, RightClaim):
                    side.receive_claim(self.now, word)
                else:
                    side.receive_heartbeat(self.now, word)
            if (who, mine) in self.sides:
                self.sides[who, mine].mark_all_read()
            if self.is_[mine] == DEAD:
                self.sides.pop((who, mine), None)
                del self.lies[mine, other]
        if not looks_first:
            self._turn(who)
        newest = max(each for each in range(len(self.is_)) if self.is_[each] != DEAD)
        below = [side for (mine, other), side in self.sides.items() if mine == who and other > who]
        known = (newest, who) in self.sides or (who, newest) in self.sides
        if (
            who < newest
            and self.is_[newest] == RUNS
            and not known
            and all(side.holds_right for side in below)
        ):
            self.take(who, newest)  # it finds whoever stands at the meeting place

    def _turn(self, who: int) -> None:
        for (mine, other), side in self.sides.items():
            if mine == who:
                word = side.tick(self.now, unread=bool(self.lies[other, mine]))
                if word is not None:
                    self.lies[mine, other].append(word)

    def _look(self, late: bool) -> None:
        running = [who for who, what in enumerate(self.is_) if what == RUNS]
        accept = [who for who in running if self.accepts(who)]
        self.alone = 0 if accept or not running else self.alone + (not late)
        if self.alone * STEP > NOBODY:
            self.wrong = f"nobody accepts for {self.alone * STEP:.2f} s"
        for key, side in self.sides.items():
            if side.generation < self.above.get(key, 0):
                self.wrong = f"a generation falls at {key}"
            self.above[key] = side.generation
            if (
                side.peer_stalls > self.stalls.get(key, 0)
                and self.now - self.troubled[key[1]] > STALL_TIMEOUT_S + 3 * HEARTBEAT_INTERVAL_S
            ):
                self.wrong = f"{key[1]} taken for stalled, and was not"
            self.stalls[key] = side.peer_stalls
        if self.calm == CALM and running and len(accept) != 1:
            self.wrong = f"settled on {accept}"
        if self.calm == CALM and running and accept and accept != [max(running)]:
            self.wrong = f"settled on {accept[0]} while {max(running)} runs"

    def violation(self) -> str | None:
        """What is wrong."""
        return self.wrong

    def key(self) -> Hashable:
        """Times and generations only as they differ."""
        known = sorted(
            {side.generation for side in self.sides.values()}
            | {each.generation for told in self.lies.values() for each in told}
        )
        rank = {generation: at for at, generation in enumerate(known)}

        def ago(at: float) -> float:
            return min(1.0, self.now - at)

        sides = tuple(
            (
                key,
                rank[s.generation],
                s.newer_holds,
                ago(s.monitor._last_tick),
                ago(s.monitor.last_heartbeat),
                s.monitor.loop_stalled_s,
                min(s.peer_stalls, 2),
                s._peer_accepts,
                ago(s._peer_steady_since),
                s._must_read_first,
            )
            for key, s in sorted(self.sides.items())
        )
        lies = tuple(
            (key, tuple((rank[each.generation], *each[1:]) for each in told))
            for key, told in sorted(self.lies.items())
        )
        budget = tuple(sorted(self.budget.items()))
        troubled = tuple(map(ago, self.troubled))
        return sides, lies, budget, tuple(self.is_), tuple(self.stood), troubled, self.alone, self.calm


class AcceptRightModel:
    """What may happen to them: so many stops, wakes, deaths and late turns of a loop, at any moment."""

    def __init__(self, count: int, budget: dict[str, int], make: Make = RightState) -> None:
        self._count, self._make, self._budget = count, make, budget

    def initial_states(self) -> Iterator[tuple[str, ProcessGroupState]]:
        """Each newer one takes over from the one before it, in the same moment or after a while."""
        for wait in (0, 8) if self._count > 2 else (0,):
            state = ProcessGroupState(self._count, self._budget, self._make)
            state.take(0, 1)
            for _ in range(wait):
                state.step(set(), tuple(range(self._count)))
            if self._count > 2:
                state.take(1, 2)
            state.calm = 0
            yield f"taken over, {wait}", state

    def successors(self, state: ProcessGroupState) -> Iterator[tuple[str, ProcessGroupState]]:
        """One trouble at most, then a step in one order or the other, some loops late."""
        for name, next_ in self._troubles(state):
            running = [who for who, what in enumerate(next_.is_) if what == RUNS]
            for late in self._late(next_, running):
                for order in (tuple(range(self._count)), tuple(reversed(range(self._count)))):
                    moved = next_.copy()
                    if late:
                        moved.budget["late"] -= len(late)
                        moved.calm = 0
                    moved.step(late, order)
                    yield f"{name} late={sorted(late)} order={order}", moved

    def _late(self, state: ProcessGroupState, running: list[int]) -> Iterator[set[int]]:
        for each in product((False, True), repeat=len(running)):
            late = {who for who, is_late in zip(running, each, strict=True) if is_late}
            if len(late) <= state.budget.get("late", 0):
                yield late

    def _troubles(self, state: ProcessGroupState) -> Iterator[tuple[str, ProcessGroupState]]:
        yield "-", state
        for word, before, then in (("stop", RUNS, STOPPED), ("wake", STOPPED, RUNS), ("kill", RUNS, DEAD)):
            for who, what in enumerate(state.is_):
                if what == before and state.budget.get(word, 0):
                    other = state.copy()
                    other.is_[who], other.calm = then, 0
                    other.budget[word] -= 1
                    if then == DEAD:
                        other.sides = {key: side for key, side in other.sides.items() if key[0] != who}
                    yield f"{word} {who}", other
