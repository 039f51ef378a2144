"""Membership in virtual time: the real core, its messages through a network that loses, delays and cuts.

Owns: the members, and the record of what each believed when. Must never: decide anything
for a member. The same seed gives the same record, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from switchhub.lab.virtual_network import VirtualNetwork
from switchhub.membership.messages import State
from switchhub.membership.swim import Change, Membership, Options

Make = Callable[..., Membership]


class Seen(NamedTuple):
    """A change at one member."""

    at: float
    by: str
    change: Change


class World(VirtualNetwork[Membership]):
    """So many members; `loss` is the part of datagrams lost, `slow` the part of members that stand still for
    up to `stall` seconds again and again."""

    def __init__(
        self,
        count: int,
        seed: int,
        options: Options | None = None,
        make: Make = Membership,
        loss: float = 0.0,
        slow: float = 0.0,
        stall: float = 1.0,
        joined: bool = True,
    ) -> None:
        super().__init__(Random(f"members/{seed}"), loss, stall)
        self.options = options or Options()
        self.seen: list[Seen] = []
        self._make, self._lives = make, 0
        self.names = [f"n{number}" for number in range(count)]
        for name in self.names:
            self.start(name)
        if joined:
            self._introduce()
        slow_ones = self.names[: round(slow * count)]
        for name in slow_ones:
            self._schedule(self.rng.random() * 3, name, "!slow", None)

    def start(self, name: str, address: str = "", seeds: tuple[str, ...] = ("n0", "n1")) -> Membership:
        """A process of this name, at its own address unless another is named."""
        self._lives += 1
        life = self.rng.getrandbits(32)
        place = address or f"a-{name}"
        member = self._make(
            name,
            place,
            life,
            tuple(f"a-{each}" for each in seeds),
            self.options,
            self.rng.getrandbits(64),
            self.local_time(name),
        )
        key = place.removeprefix("a-")
        self.nodes[key] = member
        self.down.discard(key)
        self._process_output(key)
        return member

    def _introduce(self) -> None:
        """Everybody knows everybody: what is measured is not the joining."""
        for each in self.nodes.values():
            for other in self.nodes.values():
                if other is not each:
                    each._apply(other._own_update(), self.now, "known at the start")
            for name in list(each._transmit_counts):
                each._set_transmit_count(name, None)
            each.changes.clear()

    def _node_changed(self, key: str) -> None:
        for change in self.nodes[key].changes:
            self.seen.append(Seen(self.now, key, change))
        self.nodes[key].changes.clear()

    def living(self) -> list[Membership]:
        """Those that run."""
        return [each for key, each in self.nodes.items() if key not in self.down and not each.has_left]

    def agreed(self) -> bool:
        """Whether each that runs holds exactly those that run to be alive."""
        names = {each.name for each in self.living()}
        return all({each.name, *each.names_in(State.ALIVE)} == names for each in self.living())


def death(count: int, seed: int, make: Make = Membership, **trouble: Any) -> dict[str, float]:
    """One of so many dies: seconds to the first and to the last that knows."""
    world = World(count, seed, make=make, **trouble)
    world.run_until(2.0)
    gone = world.names[-1]
    world.kill(gone)
    at, limit = world.now, 60.0
    knows: dict[str, float] = {}
    while len(knows) < count - 1 and world.now < at + limit:
        world.run_until(world.now + 0.25)
        for seen in world.seen:
            if seen.change.name == gone and seen.change.after is State.DEAD and seen.at >= at:
                knows.setdefault(seen.by, seen.at - at)
    times = sorted(knows.values())
    whole = len(times) == count - 1
    return {"first": times[0] if times else limit, "all": times[-1] if whole else limit}


def quiet(
    count: int, seed: int, seconds: float = 120.0, make: Make = Membership, **trouble: Any
) -> dict[str, float]:
    """Nobody dies: accusations and burials an hour, of all by all, and what each sends a second."""
    world = World(count, seed, make=make, **trouble)
    world.run_until(5.0)
    world.seen.clear()
    world.datagrams_sent = world.datagram_bytes = world.full_state_bytes = 0
    world.run_until(5.0 + seconds)
    accused = {(seen.change.name, seen.change.incarnation) for seen in world.seen
               if seen.change.after is State.SUSPECT}  # fmt: skip
    buried = {(seen.change.name, seen.change.incarnation) for seen in world.seen
              if seen.change.after is State.DEAD}  # fmt: skip
    hour = 3600 / seconds
    return {
        "accused": len(accused) * hour,
        "buried": len(buried) * hour,
        "datagrams": world.datagrams_sent / seconds / count,
        "bytes": world.datagram_bytes / seconds / count,
        "whole_bytes": world.full_state_bytes / seconds / count,
    }
