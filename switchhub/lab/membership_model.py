"""Membership of three or four for the explorer: the real cores, and between them datagrams that are lost,
doubled, deferred, and processes that crash and come back, each anywhere within a budget.

Owns: the model of what surrounds the cores. Must never: decide who is there. A step is `STEP` seconds: what
was sent in one is delivered in the next, in order, but for what the budget lets go wrong; then all look at
the time.
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
APART = (1, 5, 12, 40)  # steps between a crash and the return: before it is missed, suspected, buried
LONG = 6  # steps that a datagram may be late
SETTLED = 56  # steps after the last trouble in which all agree with what is
Make = Callable[..., Membership]
Flight = tuple[int, str, OutgoingMessage]  # steps until it arrives, sender, what


class MembershipState:
    """One state."""

    def __init__(self, count: int, budget: dict[str, int], make: Make) -> None:
        self.steps = self.calm = 0
        self.budget = dict(budget)
        self.make = make
        self.wrong: str | None = None
        self.down: str | None = None
        self.crashed = ""
        self.above: dict[str, int] = {}  # the incarnation that each had
        self.lives = count
        self.flights: list[Flight] = []
        self.cores = {f"n{number}": self._new(f"n{number}", number + 1) for number in range(count)}
        for each in self.cores.values():
            for other in self.cores.values():
                if each is not other:
                    each._apply(other._own_update(), 0.0, "known")
            for name in list(each._transmit_counts):
                each._set_transmit_count(name, None)
            each.changes.clear()

    def _new(self, name: str, life: int) -> Membership:
        return self.make(name, f"a-{name}", life, ("a-n0", "a-n1"), OPTIONS, life, self.steps * STEP)

    def freeze(self) -> bytes:
        """The same state in bytes: to tell states apart, and to copy them."""
        return pickle.dumps(self)

    def key(self) -> Hashable:
        """Equal for equal states."""
        return hash(self.freeze())  # 64 bits: of a million states two are taken for one with a chance of 1e-7

    def violation(self) -> str | None:
        """What is wrong."""
        return self.wrong

    def step(self, wrong: dict[int, str]) -> None:
        """One step; what happens to the datagrams of these places."""
        self.steps += 1
        self.calm = 0 if wrong else self.calm + 1
        before, self.flights = self.flights, []
        now = self.steps * STEP
        due: list[tuple[str, OutgoingMessage]] = []
        for at, (left, sender, send) in enumerate(before):
            what = wrong.get(at)
            if what is not None:
                self.budget[what] -= 1
            if left > 0 or what in ("defer", "late"):
                self.flights.append((left - 1 if left else (LONG if what == "late" else 0), sender, send))
            elif what != "lose":
                due += [(sender, send)] * (2 if what == "double" else 1)
        for _, (address, message) in due:
            name = address.removeprefix("a-")
            if name != self.down:
                self.cores[name].receive(now, message)
        for name, core in self.cores.items():
            if name != self.down:
                core.turn(now)
        for name, core in self.cores.items():
            if name == self.down:
                continue
            self.flights += [(0, name, send) for send in core.out]
            core.out.clear()
            self._look(name, core)
        if self.calm >= SETTLED:
            self._settled()

    def crash(self, name: str) -> None:
        """It is gone, with what it knew."""
        self.down, self.crashed, self.calm = name, name, 0
        self.above.pop(name, None)
        self.budget["crash"] -= 1

    def back(self) -> None:
        """It comes back and knows nothing."""
        assert self.down is not None
        self.lives += 1
        name, self.down, self.calm = self.down, None, 0
        self.budget["back"] -= 1
        self.cores[name] = self._new(name, self.lives)

    def _look(self, name: str, core: Membership) -> None:
        for change in core.changes:
            if "two processes" in change.why:
                self.wrong = f"{name} takes itself for two"
            if change.after is State.DEAD and change.name != self.crashed:
                self.wrong = f"{name} buries {change.name}, which lives"
        if core.incarnation < self.above.get(name, 0):
            self.wrong = f"{name} lowers its incarnation"
        self.above[name] = core.incarnation
        core.changes.clear()

    def _settled(self) -> None:
        living = {name for name in self.cores if name != self.down}
        for name in living:
            core = self.cores[name]
            alive = {name, *core.names_in(State.ALIVE)}
            if alive != living or core.names_in(State.SUSPECT):
                self.wrong = f"{name} holds {sorted(alive)} alive, and {sorted(living)} are"


class MembershipModel:
    """Every order of events within a budget: datagrams `lose`, `double`, `defer`, `late`; `crash`, `back`."""

    def __init__(self, count: int, budget: dict[str, int], make: Make = Membership, window: int = 8) -> None:
        """All that goes wrong begins in the first `window` steps; who crashed comes back `APART` later."""
        self._count, self._budget, self._make, self._window = count, budget, make, window

    def initial_states(self) -> Iterator[tuple[str, MembershipState]]:
        """All know each other."""
        yield "", MembershipState(self._count, self._budget, self._make)

    def successors(self, state: MembershipState) -> Iterator[tuple[str, MembershipState]]:
        """One step, with at most one thing going wrong in it."""
        opens = state.steps < self._window
        if state.calm > SETTLED and not opens:
            return
        frozen = state.freeze()

        def copy() -> MembershipState:
            other: MembershipState = pickle.loads(frozen)
            return other

        if opens and state.budget.get("crash") and state.down is None:
            for name in state.cores:
                other = copy()
                other.crash(name)
                other.step({})
                yield f"{name} crashes", other
        if state.budget.get("back") and state.down is not None and state.calm in APART:
            other = copy()
            other.back()
            other.step({})
            yield f"{state.down} is back", other
        if opens or state.calm < LONG:
            kinds = ("lose", "double", "defer", "late")
            yield from successors_with_message_fault(
                state, [kind for kind in kinds if state.budget.get(kind)], copy
            )
        other = copy()
        other.step({})
        yield "", other
