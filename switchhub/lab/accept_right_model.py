"""Model of the right to accept clients among two or three processes of one balancer, for the explorer.

The processes run the real `handover.accept_right` code. The model supplies what surrounds it: the channels
between processes, and processes that are stopped, continued or killed or whose main loop is late. It makes no
decision about who accepts. In each step of `STEP` seconds every running process sends a heartbeat, and its
main loop reads its messages, runs its timers and sends claims, unless the loop is late in that step.
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
# longest time in seconds without an accepting process while one runs and its main loop is not late
MAX_ACCEPT_GAP_S = STALL_TIMEOUT_S + MAX_TICK_GAP_S + 2 * HEARTBEAT_INTERVAL_S
# steps after the last fault by which exactly one process must accept: the rest of a stall, and message delays
CONVERGENCE_STEPS = 40
RUNNING = "runs"
STOPPED = "stopped"
DEAD = "dead"
MakeRightState = Callable[[float, bool], RightState]


class ProcessGroupState:
    """One state: the processes from oldest to newest, their views of the right, and the unread messages."""

    def __init__(self, count: int, budget: dict[str, int], make_right_state: MakeRightState) -> None:
        self.now = 0.0
        self.make_right_state, self.budget = make_right_state, dict(budget)
        self.process_states: list[str] = [RUNNING] * count
        self.loop_stalled_s = [0.0] * count
        self.views: dict[tuple[int, int], RightState] = {}  # (process, its peer)
        self.unread: dict[tuple[int, int], list[RightClaim | Heartbeat]] = {}  # (sender, receiver)
        self.steps_without_acceptor, self.quiet_steps = 0, 0
        self.found_violation: str | None = None
        # last generation of each view, to check that it never falls
        self.last_generations: dict[tuple[int, int], int] = {}
        self.last_stall_counts: dict[tuple[int, int], int] = {}  # how often each view found its peer stalled
        self.last_fault_at = [0.0] * count  # when each process was last stopped, killed or late, in seconds

    def copy(self) -> ProcessGroupState:
        """Return an independent copy."""
        other = copy.copy(self)
        other.budget, other.process_states, other.loop_stalled_s = (
            dict(self.budget),
            list(self.process_states),
            list(self.loop_stalled_s),
        )
        other.views = {}
        for key, view in self.views.items():
            copied_view = other.views[key] = copy.copy(view)
            copied_view.monitor = copy.copy(view.monitor)
        other.unread = {key: list(messages) for key, messages in self.unread.items()}
        other.last_generations, other.last_stall_counts, other.last_fault_at = (
            dict(self.last_generations),
            dict(self.last_stall_counts),
            list(self.last_fault_at),
        )
        return other

    def take_over(self, older: int, newer: int) -> None:
        """Let the newer process take over; its claim stays unread until the older one's main loop runs."""
        view = self.views[newer, older] = self.make_right_state(self.now, True)
        self.unread[newer, older] = [view.take_over(self.now, 0)]
        self.unread[older, newer] = []

    def accepts(self, process: int) -> bool:
        """Return whether a process accepts clients."""
        return self.process_states[process] == RUNNING and all(
            view.may_accept(self.now) for (owner, _), view in self.views.items() if owner == process
        )

    def step(self, late: set[int], order: tuple[int, ...]) -> None:
        """Advance by one step.

        Args:
            late: processes whose main loop does not run in this step.
            order: the processes in the order in which they run; if reversed, timers run before reading.
        """
        self.now += STEP
        for process in order:
            if self.process_states[process] != RUNNING or process in late:
                self.last_fault_at[process] = self.now
            if self.process_states[process] != RUNNING:
                continue
            self._check_stalled_process(process)
            self.loop_stalled_s[process] = self.loop_stalled_s[process] + STEP if process in late else 0.0
            if process not in late:
                self._run_main_loop(process, timers_first=order[0] > order[-1])
            for (owner, other), view in self.views.items():
                if owner == process and self.process_states[other] != DEAD:
                    heartbeat, unread = (
                        view.heartbeat(True, self.loop_stalled_s[process]),
                        self.unread[owner, other],
                    )
                    # read together, two equal heartbeats have the effect of one
                    if not unread or unread[-1] != heartbeat:
                        unread.append(heartbeat)
        self.quiet_steps = min(CONVERGENCE_STEPS, self.quiet_steps + 1)
        self._check_invariants(bool(late))

    def _check_stalled_process(self, process: int) -> None:
        """Check, before the main loop runs, that a process that had stalled reads before it accepts."""
        for (owner, other), view in self.views.items():
            if owner == process and self.now - view.monitor._last_tick > 2 * STEP and self.accepts(process):
                claims = [each for each in self.unread[other, owner] if isinstance(each, RightClaim)]
                if any(each.generation > view.generation for each in claims):
                    self.found_violation = f"process {process} accepts in a generation that is over"

    def _run_main_loop(self, process: int, timers_first: bool) -> None:
        """Read messages and run timers, in either order."""
        if timers_first:
            self._run_timers(process)
        for sender, receiver in [key for key in self.unread if key[1] == process]:
            messages, self.unread[sender, receiver] = self.unread[sender, receiver], []
            for message in messages:
                if (process, sender) not in self.views:
                    self.views[process, sender] = self.make_right_state(self.now, False)
                view = self.views[process, sender]
                if isinstance(message, RightClaim):
                    view.receive_claim(self.now, message)
                else:
                    view.receive_heartbeat(self.now, message)
            if (process, sender) in self.views:
                self.views[process, sender].mark_all_read()
            if self.process_states[sender] == DEAD:
                self.views.pop((process, sender), None)
                del self.unread[sender, receiver]
        if not timers_first:
            self._run_timers(process)
        newest = max(each for each in range(len(self.process_states)) if self.process_states[each] != DEAD)
        views_of_newer = [
            view for (owner, other), view in self.views.items() if owner == process and other > process
        ]
        known = (newest, process) in self.views or (process, newest) in self.views
        if (
            process < newest
            and self.process_states[newest] == RUNNING
            and not known
            and all(view.holds_right for view in views_of_newer)
        ):
            self.take_over(
                process, newest
            )  # the newest process finds a predecessor that it does not know yet

    def _run_timers(self, process: int) -> None:
        for (owner, other), view in self.views.items():
            if owner == process:
                claim = view.tick(self.now, unread=bool(self.unread[other, owner]))
                if claim is not None:
                    self.unread[owner, other].append(claim)

    def _check_invariants(self, late: bool) -> None:
        running = [
            process for process, process_state in enumerate(self.process_states) if process_state == RUNNING
        ]
        accepting = [process for process in running if self.accepts(process)]
        self.steps_without_acceptor = (
            0 if accepting or not running else self.steps_without_acceptor + (not late)
        )
        if self.steps_without_acceptor * STEP > MAX_ACCEPT_GAP_S:
            self.found_violation = f"nobody accepts for {self.steps_without_acceptor * STEP:.2f} s"
        for key, view in self.views.items():
            if view.generation < self.last_generations.get(key, 0):
                self.found_violation = f"view {key} lowers its generation"
            self.last_generations[key] = view.generation
            if (
                view.peer_stalls > self.last_stall_counts.get(key, 0)
                and self.now - self.last_fault_at[key[1]] > STALL_TIMEOUT_S + 3 * HEARTBEAT_INTERVAL_S
            ):
                self.found_violation = f"process {key[1]} was taken for stalled, but it was not"
            self.last_stall_counts[key] = view.peer_stalls
        if self.quiet_steps == CONVERGENCE_STEPS and running and len(accepting) != 1:
            self.found_violation = f"settled on processes {accepting}, not on exactly one"
        if self.quiet_steps == CONVERGENCE_STEPS and running and accepting and accepting != [max(running)]:
            self.found_violation = (
                f"settled on process {accepting[0]} while the newer process {max(running)} runs"
            )

    def violation(self) -> str | None:
        """Return the invariant that this state violates, or None."""
        return self.found_violation

    def key(self) -> Hashable:
        """Return a key that is equal for states with the same possible futures.

        Times count only as ages of at most 1 s, and generations only by their order.
        """
        generations = sorted(
            {view.generation for view in self.views.values()}
            | {each.generation for messages in self.unread.values() for each in messages}
        )
        ranks = {generation: index for index, generation in enumerate(generations)}

        def age(time: float) -> float:
            return min(1.0, self.now - time)

        views = tuple(
            (
                key,
                ranks[view.generation],
                view.newer_holds,
                age(view.monitor._last_tick),
                age(view.monitor.last_heartbeat),
                view.monitor.loop_stalled_s,
                min(view.peer_stalls, 2),
                view._peer_accepts,
                age(view._peer_steady_since),
                view._must_read_first,
            )
            for key, view in sorted(self.views.items())
        )
        unread = tuple(
            (key, tuple((ranks[each.generation], *each[1:]) for each in messages))
            for key, messages in sorted(self.unread.items())
        )
        budget = tuple(sorted(self.budget.items()))
        last_fault_ages = tuple(map(age, self.last_fault_at))
        return (
            views,
            unread,
            budget,
            tuple(self.process_states),
            tuple(self.loop_stalled_s),
            last_fault_ages,
            self.steps_without_acceptor,
            self.quiet_steps,
        )


class AcceptRightModel:
    """Every order of events within a budget.

    Faults of a process are `stop`, `wake` (continues a stopped one) and `kill`; `late` counts steps in which
    the main loop of a running process does not run.
    """

    def __init__(
        self, count: int, budget: dict[str, int], make_right_state: MakeRightState = RightState
    ) -> None:
        self._count, self._make_right_state, self._budget = count, make_right_state, budget

    def initial_states(self) -> Iterator[tuple[str, ProcessGroupState]]:
        """Yield states in which each process took over from the one before it, at once or after 8 steps."""
        for wait in (0, 8) if self._count > 2 else (0,):
            state = ProcessGroupState(self._count, self._budget, self._make_right_state)
            state.take_over(0, 1)
            for _ in range(wait):
                state.step(set(), tuple(range(self._count)))
            if self._count > 2:
                state.take_over(1, 2)
            state.quiet_steps = 0
            yield f"taken over, {wait} steps apart", state

    def successors(self, state: ProcessGroupState) -> Iterator[tuple[str, ProcessGroupState]]:
        """Yield the states after at most one fault and a step in either order, with some main loops late."""
        for name, next_state in self._process_faults(state):
            running = [
                process
                for process, process_state in enumerate(next_state.process_states)
                if process_state == RUNNING
            ]
            for late in self._late_sets(next_state, running):
                for order in (tuple(range(self._count)), tuple(reversed(range(self._count)))):
                    moved = next_state.copy()
                    if late:
                        moved.budget["late"] -= len(late)
                        moved.quiet_steps = 0
                    moved.step(late, order)
                    yield f"{name} late={sorted(late)} order={order}", moved

    def _late_sets(self, state: ProcessGroupState, running: list[int]) -> Iterator[set[int]]:
        for each in product((False, True), repeat=len(running)):
            late = {process for process, is_late in zip(running, each, strict=True) if is_late}
            if len(late) <= state.budget.get("late", 0):
                yield late

    def _process_faults(self, state: ProcessGroupState) -> Iterator[tuple[str, ProcessGroupState]]:
        yield "-", state
        for fault, before, after in (
            ("stop", RUNNING, STOPPED),
            ("wake", STOPPED, RUNNING),
            ("kill", RUNNING, DEAD),
        ):
            for process, process_state in enumerate(state.process_states):
                if process_state == before and state.budget.get(fault, 0):
                    other = state.copy()
                    other.process_states[process], other.quiet_steps = after, 0
                    other.budget[fault] -= 1
                    if after == DEAD:
                        other.views = {key: view for key, view in other.views.items() if key[0] != process}
                    yield f"{fault} {process}", other
