"""Model of a membership of three or four members for the explorer.

The members run the real `Membership` code. The model supplies what surrounds it: datagrams that are lost,
duplicated or delayed, and processes that crash and return, each at any point within a budget. It makes no
membership decision itself. A step lasts `STEP` seconds: a datagram sent in one step is delivered in the next,
in order, unless a fault from the budget strikes it; then every member's timers run.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Hashable, Iterator

from switchhub.lab.explorer import successors_with_message_fault
from switchhub.membership.messages import State
from switchhub.membership.swim import Membership, Options, OutgoingMessage

STEP = 0.0625  # seconds, exact in binary
OPTIONS = Options(
    probe_interval=0.25,
    probe_timeout=0.125,
    suspicion_mult=2.0,
    reconnect_interval=0.5,
    full_state_interval=1e6,
    retention=1e6,
)
# steps from a crash to the return: before a probe fails, before the member is suspected, before it is
# declared dead, and after that
RETURN_DELAYS = (1, 5, 12, 40)
LATE_STEPS = 6  # steps that a `late` datagram waits longer than a deferred one
CONVERGENCE_STEPS = 56  # steps after the last fault by which all views must be right
MakeMember = Callable[..., Membership]
InFlight = tuple[int, str, OutgoingMessage]  # steps left before delivery, sender, datagram


class MembershipState:
    """One state: the members, the datagrams in flight and the remaining fault budget."""

    def __init__(self, count: int, budget: dict[str, int], make_member: MakeMember) -> None:
        self.steps = self.quiet_steps = 0
        self.budget = dict(budget)
        self.make_member = make_member
        self.found_violation: str | None = None
        self.down: str | None = None
        self.last_crashed = ""
        self.last_incarnations: dict[str, int] = {}  # by member, to see that none is ever lowered
        self.processes_started = count
        self.in_flight: list[InFlight] = []
        self.members = {f"n{number}": self._start(f"n{number}", number + 1) for number in range(count)}
        for each in self.members.values():
            for other in self.members.values():
                if each is not other:
                    each._apply(other._own_update(), 0.0, "known")
            for name in list(each._transmit_counts):
                each._set_transmit_count(name, None)
            each.changes.clear()

    def _start(self, name: str, process_id: int) -> Membership:
        return self.make_member(
            name, f"a-{name}", process_id, ("a-n0", "a-n1"), OPTIONS, process_id, self.steps * STEP
        )

    def freeze(self) -> bytes:
        """Return the state as bytes, by which states are compared and copied."""
        return pickle.dumps(self)

    def key(self) -> Hashable:
        """Return a hash that is equal for equal states."""
        return hash(self.freeze())  # 64 bits: two of a million states collide with a probability below 1e-7

    def violation(self) -> str | None:
        """Return the invariant that this state violates, or None."""
        return self.found_violation

    def step(self, message_faults: dict[int, str]) -> None:
        """Advance by one step; `message_faults` maps places in `in_flight` to the fault of that datagram."""
        self.steps += 1
        self.quiet_steps = 0 if message_faults else self.quiet_steps + 1
        previously_in_flight, self.in_flight = self.in_flight, []
        now = self.steps * STEP
        due: list[tuple[str, OutgoingMessage]] = []
        for index, (steps_left, sender, send) in enumerate(previously_in_flight):
            fault = message_faults.get(index)
            if fault is not None:
                self.budget[fault] -= 1
            if steps_left > 0 or fault in ("defer", "late"):
                self.in_flight.append(
                    (steps_left - 1 if steps_left else (LATE_STEPS if fault == "late" else 0), sender, send)
                )
            elif fault != "lose":
                due += [(sender, send)] * (2 if fault == "double" else 1)
        for _, (address, message) in due:
            name = address.removeprefix("a-")
            if name != self.down:
                self.members[name].receive(now, message)
        for name, member in self.members.items():
            if name != self.down:
                member.turn(now)
        for name, member in self.members.items():
            if name == self.down:
                continue
            self.in_flight += [(0, name, send) for send in member.out]
            member.out.clear()
            self._check_member(name, member)
        if self.quiet_steps >= CONVERGENCE_STEPS:
            self._check_convergence()

    def crash(self, name: str) -> None:
        """Stop a process; its state is lost."""
        self.down, self.last_crashed, self.quiet_steps = name, name, 0
        self.last_incarnations.pop(name, None)
        self.budget["crash"] -= 1

    def restart(self) -> None:
        """Start the crashed process again, without any state of its former run."""
        assert self.down is not None
        self.processes_started += 1
        name, self.down, self.quiet_steps = self.down, None, 0
        self.budget["back"] -= 1
        self.members[name] = self._start(name, self.processes_started)

    def _check_member(self, name: str, member: Membership) -> None:
        for change in member.changes:
            if "two processes" in change.why:
                self.found_violation = f"{name} reports two processes of its name, but only one runs"
            if change.after is State.DEAD and change.name != self.last_crashed:
                self.found_violation = f"{name} declares {change.name} dead, which is running"
        if member.incarnation < self.last_incarnations.get(name, 0):
            self.found_violation = f"{name} lowers its incarnation"
        self.last_incarnations[name] = member.incarnation
        member.changes.clear()

    def _check_convergence(self) -> None:
        running = {name for name in self.members if name != self.down}
        for name in running:
            member = self.members[name]
            alive = {name, *member.names_in(State.ALIVE)}
            if alive != running or member.names_in(State.SUSPECT):
                self.found_violation = (
                    f"{name} believes {sorted(alive)} to be alive, but {sorted(running)} are running"
                )


class MembershipModel:
    """Every order of events within a budget.

    Faults of one datagram: `lose`, `double` (delivered twice), `defer` (one step late), `late` (`LATE_STEPS`
    later than that). Faults of a process: `crash`, and `back` for its return.
    """

    def __init__(
        self, count: int, budget: dict[str, int], make_member: MakeMember = Membership, window: int = 8
    ) -> None:
        """Begin all faults in the first `window` steps, except that a crashed process returns
        `RETURN_DELAYS` steps after the last fault."""
        self._count, self._budget, self._make_member, self._window = count, budget, make_member, window

    def initial_states(self) -> Iterator[tuple[str, MembershipState]]:
        """Yield the one initial state: all members know each other."""
        yield "", MembershipState(self._count, self._budget, self._make_member)

    def successors(self, state: MembershipState) -> Iterator[tuple[str, MembershipState]]:
        """Yield the states after one step with at most one fault in it."""
        in_window = state.steps < self._window
        if state.quiet_steps > CONVERGENCE_STEPS and not in_window:
            return
        frozen = state.freeze()

        def copy() -> MembershipState:
            other: MembershipState = pickle.loads(frozen)
            return other

        if in_window and state.budget.get("crash") and state.down is None:
            for name in state.members:
                other = copy()
                other.crash(name)
                other.step({})
                yield f"{name} crashes", other
        if state.budget.get("back") and state.down is not None and state.quiet_steps in RETURN_DELAYS:
            other = copy()
            other.restart()
            other.step({})
            yield f"{state.down} is back", other
        if in_window or state.quiet_steps < LATE_STEPS:
            faults = ("lose", "double", "defer", "late")
            yield from successors_with_message_fault(
                state, [fault for fault in faults if state.budget.get(fault)], copy
            )
        other = copy()
        other.step({})
        yield "", other
