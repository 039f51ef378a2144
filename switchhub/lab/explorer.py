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

    def fault(self) -> str | None:
        """What is wrong with it, if anything."""
        ...


AState = TypeVar("AState", bound=State)


class System(Protocol[AState]):
    """What may happen."""

    def first(self) -> Iterable[tuple[str, AState]]:
        """Where it may begin."""
        ...

    def after(self, state: AState) -> Iterable[tuple[str, AState]]:
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


def spoilt(state: AFlies, kinds: Iterable[str], copy: Callable[[], AFlies]) -> Iterator[tuple[str, AFlies]]:
    """The states after one step in which one message that is due meets one of these, each in turn."""
    for what in kinds:
        for at, (left, sender, send) in enumerate(state.flights):
            if left == 0:
                other = copy()
                other.step({at: what})
                kind = type(send.message).__name__
                yield f"{state.steps}: {what} {kind} {sender} to {send.address}", other


class Found(NamedTuple):
    """What a search has found."""

    states: int
    depth: int
    whole: bool  # no state was left out
    fault: str | None
    way: tuple[str, ...]  # events from the beginning to the fault


def explore(system: System[AState], most: int, deep: int) -> Found:
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

    todo: list[tuple[Hashable, str, AState]] = [(None, name, state) for name, state in system.first()]
    while todo:
        layer = []
        for before, name, state in todo:
            key = state.key()
            if key in ways:
                continue
            ways[key] = before, name
            fault = state.fault()
            if fault is not None:
                return Found(len(ways), depth, False, fault, way(key))
            layer.append(state)
        if depth == deep or len(ways) > most:
            return Found(len(ways), depth, not layer, None, ())
        todo = [(each.key(), name, state) for each in layer for name, state in system.after(each)]
        depth += 1
    return Found(len(ways), depth, True, None, ())
