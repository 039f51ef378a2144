"""A server as the lab plays it, without I/O or clock: what it can do, what piles up, when it falls over.

Owns: the state of one stand-in server and of what stands on it. Must never: know of balancers, read a
clock, or answer by itself; both engines ask it and carry out what it says. Seconds and microseconds of work
throughout.

The work that comes in and what the server does are treated as fluids: what exceeds its rate piles up, and a
message takes the service time, stretched by utilisation as in an M/M/1 queue, plus what is piled up before
it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from switchhub.lab.scenario import CORE, Scenario, Servers
from switchhub.lab.timeline import Interval

BUSIEST = 0.95  # utilisation at which the stretch of a message stops growing; backlog takes over from there
PILE_MAX = 20.0  # seconds of work that may pile up; beyond it the server drops what comes


class Verdict(Enum):
    """What a server does with a first line."""

    UP = "UP"
    BUSY = "BUSY"
    ERR = "ERR"
    SILENT = "silent"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Place:
    """Where a server stands and what it is."""

    name: str
    group: Servers
    zone: int
    cell: int


def places(scenario: Scenario) -> list[Place]:
    """Every server of a scenario, in order; those without a zone of their own are spread in turn."""
    out: list[Place] = []
    for group in scenario.servers:
        for index in range(group.count):
            zone = len(out) % len(scenario.zones) if group.zone is None else scenario.zones.index(group.zone)
            out.append(Place(f"{group.name}-{index}", group, zone, index % group.cells))
    return out


class StandIn:
    """One server."""

    def __init__(self, scenario: Scenario, place: Place, seed: int) -> None:
        self.place, self.name, self.group = place, place.name, place.group
        self._cold = scenario.cold
        self._rng = Random(f"{seed}/server/{place.name}")
        self._active: list[Interval] = []
        self.conns: dict[str, float] = {}
        self.load = 0.0
        self.pile = 0.0
        self.at = 0.0
        self.born: float | None = None  # when it last started; none: long ago
        self.fallen = False
        self.pushed: deque[tuple[float, str, float]] = deque()  # while cold: when, which connection, its load
        self._refresh()

    # What troubles do to it.

    def _refresh(self) -> None:
        kinds = {each.effect for each in self._active}
        self.dead = self.fallen or "die" in kinds
        self.hangs, self.drains, self.full = "hang" in kinds, "drain" in kinds, "full" in kinds
        self._slow = 1.0
        self._noise = 0.0
        self._errors = 0.0
        for each in self._active:
            if each.effect == "slow":
                self._slow *= each.value
            elif each.effect == "noisy":
                self._noise += each.value * CORE
            elif each.effect == "errors":
                self._errors = max(self._errors, each.value)

    def change(self, now: float, begins: bool, interval: Interval) -> bool:
        """A trouble of its own begins or ends; whether it died or came back with that."""
        self.advance(now)
        before = self.dead
        if begins:
            self._active.append(interval)
        else:
            self._active.remove(interval)
        self._refresh()
        if before != self.dead:
            self.clear()
            if not self.dead:
                self.born = now
                self.pushed.clear()
        return before != self.dead

    def clear(self) -> None:
        """Nothing stands on it any more."""
        self.conns.clear()
        self.load = self.pile = 0.0

    # What it can do.

    def ramp(self, now: float) -> float:
        """The part of its speed that a server has that has just started."""
        if self.born is None:
            return 1.0
        age = max(0.0, now - self.born) / self._cold.seconds
        return 1.0 if age >= 1 else self._cold.share + (1 - self._cold.share) * age

    def rate(self, now: float) -> float:
        """Microseconds of work a second that it does now."""
        full = self.group.cores * self.group.speed * CORE * self.ramp(now) / self._slow
        return max(full - self._noise, full * 0.02)

    def advance(self, now: float) -> None:
        """Let work pile up or off until now."""
        if now > self.at:
            rate = self.rate(now)
            self.pile = min(max(0.0, self.pile + (self.load - rate) * (now - self.at)), PILE_MAX * rate)
            self.at = now

    def delay(self, now: float) -> float:
        """Seconds that a message takes."""
        self.advance(now)
        rate = self.rate(now)
        base = self.group.message_ms / 1000 * self.group.cores * CORE / rate
        return base / (1 - min(self.load / rate, BUSIEST)) + self.pile / rate

    def utilisation(self, now: float) -> float:
        """Standing work over what it does now, and what is piled up as if it were to be done in a second."""
        rate = self.rate(now)
        return (self.load + self.pile) / rate

    # What it is asked.

    def offer(self, now: float, name: str, load: float) -> tuple[Verdict, float]:
        """A first line has come: the verdict and the seconds until it is said. `UP` counts as standing at
        once."""
        if self.dead:
            return Verdict.DOWN, 0.0
        if self.hangs:
            return Verdict.SILENT, 0.0
        if self.drains or self.full or len(self.conns) >= self.group.connections:
            return Verdict.BUSY, 0.0
        if self._errors and self._rng.random() < self._errors:
            return Verdict.ERR, 0.0
        delay = self.delay(now)
        self.pile += self.group.setup_work_ms * 1000
        self.hold(name, load)
        return Verdict.UP, delay + self.group.setup_work_ms * 1000 / self.rate(now)

    def hold(self, name: str, load: float) -> None:
        """A connection stands here."""
        self.conns[name] = load
        self.load += load

    def end(self, now: float, name: str) -> None:
        """A connection has ended, or is given up."""
        load = self.conns.pop(name, None)
        if load is not None:
            self.advance(now)
            self.load = max(0.0, self.load - load) if self.conns else 0.0

    def most(self, now: float) -> float:
        """Work a second of set-ups that it bears in one window while it is cold."""
        capacity = self.group.cores * self.group.speed * CORE
        return self._cold.fall_multiple * self.ramp(now) * capacity * self._cold.fall_s / self._cold.seconds

    def bears(self, now: float, load: float) -> bool:
        """Whether a further set-up, with the others of the window, is what a server that may be cold
        bears."""
        if self.born is None or now - self.born >= self._cold.seconds:
            return True
        while self.pushed and self.pushed[0][0] <= now - self._cold.fall_s:
            self.pushed.popleft()
        return sum([each for _, _, each in self.pushed]) + load <= max(self.most(now), 2 * load)

    def pushed_over(self, now: float, name: str, load: float) -> bool:
        """A set-up is taken; whether it is one too many, and the server falls. `pushed` still tells of
        all."""
        if self.born is None or now - self.born >= self._cold.seconds:
            return False
        bears = self.bears(now, load)
        self.pushed.append((now, name, load))
        if bears:
            return False
        self.fallen = True
        self._refresh()
        self.clear()
        return True
