"""Every order of events of a small system: breadth first, so that what is found is found in the fewest steps.

Owns: the states met and the way to each. Must never: know what is explored, or call a search whole that met
its bound.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Any, NamedTuple, Protocol, TypeVar


class State(Protocol):
    """One state of the system."""

    def key(self) -> Hashable:
        """Equal for states that can't be told apart by anything that may still come."""
        ...

    def violation(self) -> str | None:
        """What is wrong with it, if anything."""
        ...


AState = TypeVar("AState", bound=State)


class System(Protocol[AState]):
    """What may happen."""

    def initial_states(self) -> Iterable[tuple[str, AState]]:
        """Where it may begin."""
        ...

    def successors(self, state: AState) -> Iterable[tuple[str, AState]]:
        """What may come next, each by a name."""
        ...


class Flies(Protocol):
    """A state with messages on their way: steps until each arrives, its sender, the message."""

    steps: int
    flights: list[tuple[int, str, Any]]

    def step(self, wrong: dict[int, str]) -> None:
        """One step; what happens to the messages of these places."""
        ...


AFlies = TypeVar("AFlies", bound=Flies)


def successors_with_message_fault(
    state: AFlies, kinds: Iterable[str], copy: Callable[[], AFlies]
) -> Iterator[tuple[str, AFlies]]:
    """The states after one step in which one message that is due meets one of these, each in turn."""
    for what in kinds:
        for at, (left, sender, send) in enumerate(state.flights):
            if left == 0:
                other = copy()
                other.step({at: what})
                kind = type(send.message).__name__
                yield f"{state.steps}: {what} {kind} {sender} to {send.address}", other


class ExplorationResult(NamedTuple):
    """What a search has found."""

    states: int
    depth: int
    complete: bool  # no state was left out
    violation: str | None
    trace: tuple[str, ...]  # events from the beginning to the fault


def explore(system: System[AState], max_states: int, max_depth: int) -> ExplorationResult:
    """Search until a fault, the end, or a bound: so many states, so many steps."""
    ways: dict[Hashable, tuple[Hashable, str]] = {}
    layer: list[AState] = []
    depth = 0

    def way(key: Hashable) -> tuple[str, ...]:
        names: list[str] = []
        while key in ways:
            key, name = ways[key]
            if name:
                names.append(name)
        return tuple(reversed(names))

    todo: list[tuple[Hashable, str, AState]] = [
        (None, name, state) for name, state in system.initial_states()
    ]
    while todo:
        layer = []
        for before, name, state in todo:
            key = state.key()
            if key in ways:
                continue
            ways[key] = before, name
            fault = state.violation()
            if fault is not None:
                return ExplorationResult(len(ways), depth, False, fault, way(key))
            layer.append(state)
        if depth == max_depth or len(ways) > max_states:
            return ExplorationResult(len(ways), depth, not layer, None, ())
        todo = [(each.key(), name, state) for each in layer for name, state in system.successors(each)]
        depth += 1
    return ExplorationResult(len(ways), depth, True, None, ())
