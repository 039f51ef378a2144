"""Membership in virtual time: the real core, its messages through a network that loses, delays and cuts.

Owns: the heap of what is under way, and the record of what each believed when. Must never: decide anything
for a member. The same seed gives the same record, byte for byte.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from switchhub.membership.core import Change, Membership, Options
from switchhub.membership.messages import Message, State, Whole
from switchhub.peers.form import DATAGRAM, pack

LATENCY = 0.0005  # seconds one way at the median
CONNECT = 3  # ways that a connection costs
Make = Callable[..., Membership]


class Seen(NamedTuple):
    """A change at one member."""

    at: float
    by: str
    change: Change


class World:
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
        self.now = 0.0
        self.rng = Random(f"members/{seed}")
        self.options = options or Options()
        self.loss, self.stall = loss, stall
        self.seen: list[Seen] = []
        self.sent = self.bytes = self.whole = 0
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.down: set[str] = set()
        self.drift: dict[str, float] = {}  # how fast a clock runs
        self._busy: dict[str, float] = {}  # until when one stands still
        self._heap: list[tuple[float, int, str, str, Message | None]] = []
        self._order = 0
        self._next: dict[str, float] = {}
        self._make, self._lives = make, 0
        self.names = [f"n{number}" for number in range(count)]
        self.all: dict[str, Membership] = {}
        for name in self.names:
            self.start(name)
        if joined:
            self._introduce()
        slow_ones = self.names[: round(slow * count)]
        for name in slow_ones:
            self._post(self.rng.random() * 3, name, "!slow", None)

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
            self.clock(name),
        )
        key = place.removeprefix("a-")
        self.all[key] = member
        self.down.discard(key)
        self._after(key)
        return member

    def _introduce(self) -> None:
        """Everybody knows everybody: what is measured is not the joining."""
        for each in self.all.values():
            for other in self.all.values():
                if other is not each:
                    each._apply(other._self_news(), self.now, "known at the start")
            for name in list(each._told):
                each._tell(name, None)
            each.changes.clear()

    def clock(self, key: str) -> float:
        """The time by its clock."""
        return self.now * self.drift.get(key, 1.0)

    def _post(self, delay: float, to: str, sender: str, message: Message | None) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, to, sender, message))

    def _after(self, key: str) -> None:
        """What a member has to say, and when it is to be woken."""
        member = self.all[key]
        out, member.out = member.out, []
        for address, message in out:
            to = address.removeprefix("a-")
            size = len(pack("lab", message))
            if isinstance(message, Whole):
                self.whole += size
                ways = CONNECT
            else:
                assert size <= DATAGRAM, (size, message)
                self.sent += 1
                self.bytes += size
                ways = 1
                if self.rng.random() < self.loss:
                    continue
            if self.cut(key, to) or (ways > 1 and self.cut(to, key)) or to in self.down:
                continue
            self._post(ways * LATENCY * self.rng.lognormvariate(0.0, 0.5), to, key, message)
        for change in member.changes:
            self.seen.append(Seen(self.now, key, change))
        member.changes.clear()
        due = member.deadline() / self.drift.get(key, 1.0)
        if self._next.get(key) != due:
            self._next[key] = due
            if due < float("inf"):
                self._post(max(0.0, due - self.now) + 1e-6, key, "", None)

    def run(self, until: float) -> None:
        """Let it pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, order, to, sender, message = heapq.heappop(self._heap)
            if sender == "!slow":
                stands = self.rng.random() * self.stall
                self._busy[to] = self.now + stands
                self._post(stands + self.rng.random() * 3, to, sender, None)
                continue
            if to in self.down or to not in self.all:
                continue
            if (free := self._busy.get(to, 0.0)) > self.now:  # it reads when it goes on, in order
                heapq.heappush(self._heap, (free, order, to, sender, message))
                continue
            member = self.all[to]
            if message is None:
                if self._next.get(to, -1.0) > self.now:
                    continue
                member.turn(self.clock(to))
            else:
                member.receive(self.clock(to), message)
            self._after(to)
        self.now = until

    def kill(self, *keys: str) -> None:
        """They are gone."""
        self.down.update(keys)

    def pause(self, key: str, seconds: float) -> None:
        """It stands still, and reads then what came."""
        self._busy[key] = self.now + seconds

    def living(self) -> list[Membership]:
        """Those that run."""
        return [each for key, each in self.all.items() if key not in self.down and not each.left]

    def agreed(self) -> bool:
        """Whether each that runs holds exactly those that run to be alive."""
        names = {each.name for each in self.living()}
        return all({each.name, *each.others(State.ALIVE)} == names for each in self.living())


def death(count: int, seed: int, make: Make = Membership, **trouble: Any) -> dict[str, float]:
    """One of so many dies: seconds to the first and to the last that knows."""
    world = World(count, seed, make=make, **trouble)
    world.run(2.0)
    gone = world.names[-1]
    world.kill(gone)
    at, limit = world.now, 60.0
    knows: dict[str, float] = {}
    while len(knows) < count - 1 and world.now < at + limit:
        world.run(world.now + 0.25)
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
    world.run(5.0)
    world.seen.clear()
    world.sent = world.bytes = world.whole = 0
    world.run(5.0 + seconds)
    accused = {(seen.change.name, seen.change.incarnation) for seen in world.seen
               if seen.change.after is State.SUSPECT}  # fmt: skip
    buried = {(seen.change.name, seen.change.incarnation) for seen in world.seen
              if seen.change.after is State.DEAD}  # fmt: skip
    hour = 3600 / seconds
    return {
        "accused": len(accused) * hour,
        "buried": len(buried) * hour,
        "datagrams": world.sent / seconds / count,
        "bytes": world.bytes / seconds / count,
        "whole_bytes": world.whole / seconds / count,
    }
