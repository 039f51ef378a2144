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

from switchhub.lab.scenario import CORE_WORK_PER_S, Scenario, ServerGroup
from switchhub.lab.timeline import Interval

STRETCH_UTILISATION_MAX = (
    0.95  # utilisation at which the stretch of a message stops growing; backlog takes over from there
)
BACKLOG_MAX_S = 20.0  # seconds of work that may pile up; beyond it the server drops what comes


class SetupReply(Enum):
    """What a server does with a first line."""

    UP = "UP"
    BUSY = "BUSY"
    ERR = "ERR"
    SILENT = "silent"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """Where a server stands and what it is."""

    name: str
    group: ServerGroup
    zone: int
    cell: int


def server_specs(scenario: Scenario) -> list[ServerSpec]:
    """Every server of a scenario, in order; those without a zone of their own are spread in turn."""
    specs: list[ServerSpec] = []
    for group in scenario.servers:
        for index in range(group.count):
            zone = (
                len(specs) % len(scenario.zones) if group.zone is None else scenario.zones.index(group.zone)
            )
            specs.append(ServerSpec(f"{group.name}-{index}", group, zone, index % group.cells))
    return specs


class FakeServer:
    """One server."""

    def __init__(self, scenario: Scenario, spec: ServerSpec, seed: int) -> None:
        self.spec, self.name, self.group = spec, spec.name, spec.group
        self._cold = scenario.cold
        self._rng = Random(f"{seed}/server/{spec.name}")
        self._active_intervals: list[Interval] = []
        self.connections: dict[str, float] = {}
        self.load = 0.0
        self.backlog = 0.0
        self.updated_at = 0.0
        self.started_at: float | None = None  # when it last started; none: long ago
        self.crashed = False
        self.recent_setups: deque[tuple[float, str, float]] = (
            deque()
        )  # while cold: when, which connection, its load
        self._update_effects()

    # What troubles do to it.

    def _update_effects(self) -> None:
        effects = {each.effect for each in self._active_intervals}
        self.dead = self.crashed or "die" in effects
        self.hanging, self.draining, self.full = "hang" in effects, "drain" in effects, "full" in effects
        self._slowdown = 1.0
        self._stolen_work_rate = 0.0
        self._error_fraction = 0.0
        for each in self._active_intervals:
            if each.effect == "slow":
                self._slowdown *= each.value
            elif each.effect == "noisy":
                self._stolen_work_rate += each.value * CORE_WORK_PER_S
            elif each.effect == "errors":
                self._error_fraction = max(self._error_fraction, each.value)

    def apply_change(self, now: float, begins: bool, interval: Interval) -> bool:
        """A trouble of its own begins or ends; whether it died or came back with that."""
        self.advance(now)
        was_dead = self.dead
        if begins:
            self._active_intervals.append(interval)
        else:
            self._active_intervals.remove(interval)
        self._update_effects()
        if was_dead != self.dead:
            self.drop_all_connections()
            if not self.dead:
                self.started_at = now
                self.recent_setups.clear()
        return was_dead != self.dead

    def drop_all_connections(self) -> None:
        """Nothing stands on it any more."""
        self.connections.clear()
        self.load = self.backlog = 0.0

    # What it can do.

    def speed_fraction(self, now: float) -> float:
        """The part of its speed that a server has that has just started."""
        if self.started_at is None:
            return 1.0
        progress = max(0.0, now - self.started_at) / self._cold.seconds
        return 1.0 if progress >= 1 else self._cold.share + (1 - self._cold.share) * progress

    def work_rate(self, now: float) -> float:
        """Microseconds of work a second that it does now."""
        full_rate = (
            self.group.cores * self.group.speed * CORE_WORK_PER_S * self.speed_fraction(now) / self._slowdown
        )
        return max(full_rate - self._stolen_work_rate, full_rate * 0.02)

    def advance(self, now: float) -> None:
        """Let work pile up or off until now."""
        if now > self.updated_at:
            work_rate = self.work_rate(now)
            self.backlog = min(
                max(0.0, self.backlog + (self.load - work_rate) * (now - self.updated_at)),
                BACKLOG_MAX_S * work_rate,
            )
            self.updated_at = now

    def message_delay(self, now: float) -> float:
        """Seconds that a message takes."""
        self.advance(now)
        work_rate = self.work_rate(now)
        idle_delay = self.group.message_ms / 1000 * self.group.cores * CORE_WORK_PER_S / work_rate
        return (
            idle_delay / (1 - min(self.load / work_rate, STRETCH_UTILISATION_MAX)) + self.backlog / work_rate
        )

    def utilisation(self, now: float) -> float:
        """Standing work over what it does now, and what is piled up as if it were to be done in a second."""
        work_rate = self.work_rate(now)
        return (self.load + self.backlog) / work_rate

    # What it is asked.

    def receive_first_line(self, now: float, connection_id: str, load: float) -> tuple[SetupReply, float]:
        """A first line has come: the verdict and the seconds until it is said. `UP` counts as standing at
        once."""
        if self.dead:
            return SetupReply.DOWN, 0.0
        if self.hanging:
            return SetupReply.SILENT, 0.0
        if self.draining or self.full or len(self.connections) >= self.group.connections:
            return SetupReply.BUSY, 0.0
        if self._error_fraction and self._rng.random() < self._error_fraction:
            return SetupReply.ERR, 0.0
        delay_s = self.message_delay(now)
        self.backlog += self.group.setup_work_ms * 1000
        self.add_connection(connection_id, load)
        return SetupReply.UP, delay_s + self.group.setup_work_ms * 1000 / self.work_rate(now)

    def add_connection(self, connection_id: str, load: float) -> None:
        """A connection stands here."""
        self.connections[connection_id] = load
        self.load += load

    def remove_connection(self, now: float, connection_id: str) -> None:
        """A connection has ended, or is given up."""
        load = self.connections.pop(connection_id, None)
        if load is not None:
            self.advance(now)
            self.load = max(0.0, self.load - load) if self.connections else 0.0

    def cold_setup_budget(self, now: float) -> float:
        """Work a second of set-ups that it bears in one window while it is cold."""
        capacity = self.group.cores * self.group.speed * CORE_WORK_PER_S
        return (
            self._cold.fall_multiple
            * self.speed_fraction(now)
            * capacity
            * self._cold.fall_s
            / self._cold.seconds
        )

    def fits_setup_budget(self, now: float, load: float) -> bool:
        """Whether a further set-up, with the others of the window, is what a server that may be cold
        bears."""
        if self.started_at is None or now - self.started_at >= self._cold.seconds:
            return True
        while self.recent_setups and self.recent_setups[0][0] <= now - self._cold.fall_s:
            self.recent_setups.popleft()
        return sum([each for _, _, each in self.recent_setups]) + load <= max(
            self.cold_setup_budget(now), 2 * load
        )

    def crashes_from_setup(self, now: float, connection_id: str, load: float) -> bool:
        """A set-up is taken; whether it is one too many, and the server falls. `pushed` still tells of
        all."""
        if self.started_at is None or now - self.started_at >= self._cold.seconds:
            return False
        fits = self.fits_setup_budget(now, load)
        self.recent_setups.append((now, connection_id, load))
        if fits:
            return False
        self.crashed = True
        self._update_effects()
        self.drop_all_connections()
        return True
