"""Breadth-first exploration of every state that a small system can reach (explicit-state model checking).

Breadth first, so that the trace to a violation has the fewest possible steps. The explorer knows nothing of
the system explored, and reports a search as complete only if no bound stopped it.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Any, NamedTuple, Protocol, TypeVar


class State(Protocol):
    """One state of the system."""

    def key(self) -> Hashable:
        """Return a key that is equal for states whose possible futures are the same."""
        ...

    def violation(self) -> str | None:
        """Return the invariant that this state violates, or None."""
        ...


StateT = TypeVar("StateT", bound=State)


class System(Protocol[StateT]):
    """The transitions of the system explored."""

    def initial_states(self) -> Iterable[tuple[str, StateT]]:
        """Yield each initial state with a name for it, which may be empty."""
        ...

    def successors(self, state: StateT) -> Iterable[tuple[str, StateT]]:
        """Yield each state that may follow with its event's name; an empty name is left out of traces."""
        ...


class MessagePassingState(Protocol):
    """A state with messages in flight: steps until each arrives, its sender, the message."""

    steps: int
    in_flight: list[tuple[int, str, Any]]

    def step(self, message_faults: dict[int, str]) -> None:
        """Advance by one step; `message_faults` maps places in `in_flight` to the fault of that message."""
        ...


MessagePassingStateT = TypeVar("MessagePassingStateT", bound=MessagePassingState)


def successors_with_message_fault(
    state: MessagePassingStateT, faults: Iterable[str], copy: Callable[[], MessagePassingStateT]
) -> Iterator[tuple[str, MessagePassingStateT]]:
    """Yield the states after one step in which one due message suffers one fault, for each such pair."""
    for fault in faults:
        for index, (steps_left, sender, outgoing) in enumerate(state.in_flight):
            if steps_left == 0:
                other = copy()
                other.step({index: fault})
                message_type = type(outgoing.message).__name__
                yield f"{state.steps}: {fault} {message_type} {sender} to {outgoing.address}", other


class ExplorationResult(NamedTuple):
    """The outcome of a search."""

    states: int  # distinct states reached
    depth: int  # steps from the initial states
    complete: bool  # every reachable state was visited, and no bound was met
    violation: str | None
    trace: tuple[str, ...]  # events from an initial state to the violation


def explore(system: System[StateT], max_states: int, max_depth: int) -> ExplorationResult:
    """Search until the first violation, until all states are visited, or until a bound is met.

    The bounds are checked after each layer, so that somewhat more than `max_states` states may be visited.
    """
    predecessors: dict[Hashable, tuple[Hashable, str]] = {}  # state -> state before it, event between them
    layer: list[StateT] = []
    depth = 0

    def trace(key: Hashable) -> tuple[str, ...]:
        names: list[str] = []
        while key in predecessors:
            key, name = predecessors[key]
            if name:
                names.append(name)
        return tuple(reversed(names))

    pending: list[tuple[Hashable, str, StateT]] = [
        (None, name, state) for name, state in system.initial_states()
    ]
    while pending:
        layer = []
        for predecessor, name, state in pending:
            key = state.key()
            if key in predecessors:
                continue
            predecessors[key] = predecessor, name
            violation = state.violation()
            if violation is not None:
                return ExplorationResult(len(predecessors), depth, False, violation, trace(key))
            layer.append(state)
        if depth == max_depth or len(predecessors) > max_states:
            return ExplorationResult(len(predecessors), depth, not layer, None, ())
        pending = [(each.key(), name, state) for each in layer for name, state in system.successors(each)]
        depth += 1
    return ExplorationResult(len(predecessors), depth, True, None, ())
