"""A fake server without I/O or clock: its capacity, its backlog, and when it crashes from overload.

It knows nothing of balancers and sends nothing by itself: both engines call it and carry out its replies.
Times are in seconds, work in microseconds of a standard core.

Work is modelled as a fluid: what arrives faster than the server works adds to the backlog. A message takes
the service time, stretched by utilisation as in an M/M/1 queue, plus the time of the backlog before it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from random import Random

from switchhub.lab.scenario import CORE_WORK_PER_S, Scenario, ServerGroup
from switchhub.lab.timeline import Interval

STRETCH_UTILISATION_MAX = 0.95  # beyond it only the backlog makes messages take longer
BACKLOG_MAX_S = 20.0  # seconds of work; the server drops what exceeds it


class SetupReply(Enum):
    """What a server does with a first line; `SILENT` and `DOWN` are not sent."""

    UP = "UP"
    BUSY = "BUSY"
    ERR = "ERR"
    SILENT = "silent"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class ServerSpec:
    """A server's name, group, zone and cell; zone and cell are indexes."""

    name: str
    group: ServerGroup
    zone: int
    cell: int


def server_specs(scenario: Scenario) -> list[ServerSpec]:
    """All servers of a scenario, in order; servers of groups without a zone are spread over the zones."""
    specs: list[ServerSpec] = []
    for group in scenario.servers:
        for index in range(group.count):
            zone = (
                len(specs) % len(scenario.zones) if group.zone is None else scenario.zones.index(group.zone)
            )
            specs.append(ServerSpec(f"{group.name}-{index}", group, zone, index % group.cells))
    return specs


class FakeServer:
    """One server and its connections."""

    def __init__(self, scenario: Scenario, spec: ServerSpec, seed: int) -> None:
        self.spec, self.name, self.group = spec, spec.name, spec.group
        self._cold = scenario.cold
        self._rng = Random(f"{seed}/server/{spec.name}")
        self._active_intervals: list[Interval] = []
        self.connection_loads: dict[str, float] = {}
        self.load = 0.0
        self.backlog = 0.0
        self.updated_at = 0.0
        self.started_at: float | None = None  # none: before the run
        self.crashed = False
        # while cold: (time, connection, load)
        self.recent_setups: deque[tuple[float, str, float]] = deque()
        self._update_effects()

    # Effects of troubles

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
        """Begin or end one effect on this server; returns whether the server died or restarted with it."""
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
        """Drop all connections and the backlog."""
        self.connection_loads.clear()
        self.load = self.backlog = 0.0

    # Capacity

    def speed_fraction(self, now: float) -> float:
        """The fraction of its full speed that the server has reached since its start."""
        if self.started_at is None:
            return 1.0
        progress = max(0.0, now - self.started_at) / self._cold.seconds
        return 1.0 if progress >= 1 else self._cold.share + (1 - self._cold.share) * progress

    def work_rate(self, now: float) -> float:
        """Microseconds of work per second that the server does now."""
        full_rate = (
            self.group.cores * self.group.speed * CORE_WORK_PER_S * self.speed_fraction(now) / self._slowdown
        )
        return max(full_rate - self._stolen_work_rate, full_rate * 0.02)

    def advance(self, now: float) -> None:
        """Update the backlog to `now`."""
        if now > self.updated_at:
            work_rate = self.work_rate(now)
            self.backlog = min(
                max(0.0, self.backlog + (self.load - work_rate) * (now - self.updated_at)),
                BACKLOG_MAX_S * work_rate,
            )
            self.updated_at = now

    def message_delay(self, now: float) -> float:
        """Seconds that a message takes now."""
        self.advance(now)
        work_rate = self.work_rate(now)
        idle_delay = self.group.message_ms / 1000 * self.group.cores * CORE_WORK_PER_S / work_rate
        return (
            idle_delay / (1 - min(self.load / work_rate, STRETCH_UTILISATION_MAX)) + self.backlog / work_rate
        )

    def utilisation(self, now: float) -> float:
        """The connections' load, plus the backlog as if due within a second, over the current work rate."""
        work_rate = self.work_rate(now)
        return (self.load + self.backlog) / work_rate

    # Connections

    def receive_first_line(self, now: float, connection_id: str, load: float) -> tuple[SetupReply, float]:
        """Handle a first line; returns the reply and the seconds until it is sent.

        With `UP` the connection counts as established at once.
        """
        if self.dead:
            return SetupReply.DOWN, 0.0
        if self.hanging:
            return SetupReply.SILENT, 0.0
        if self.draining or self.full or len(self.connection_loads) >= self.group.connections:
            return SetupReply.BUSY, 0.0
        if self._error_fraction and self._rng.random() < self._error_fraction:
            return SetupReply.ERR, 0.0
        delay_s = self.message_delay(now)
        self.backlog += self.group.setup_work_ms * 1000
        self.add_connection(connection_id, load)
        return SetupReply.UP, delay_s + self.group.setup_work_ms * 1000 / self.work_rate(now)

    def add_connection(self, connection_id: str, load: float) -> None:
        """Add an established connection."""
        self.connection_loads[connection_id] = load
        self.load += load

    def remove_connection(self, now: float, connection_id: str) -> None:
        """Remove a connection that has ended or was abandoned; unknown ones are ignored."""
        load = self.connection_loads.pop(connection_id, None)
        if load is not None:
            self.advance(now)
            self.load = max(0.0, self.load - load) if self.connection_loads else 0.0

    def cold_setup_budget(self, now: float) -> float:
        """Load of set-ups, in microseconds of work per second, that one window may have while cold."""
        capacity = self.group.cores * self.group.speed * CORE_WORK_PER_S
        return (
            self._cold.fall_multiple
            * self.speed_fraction(now)
            * capacity
            * self._cold.fall_s
            / self._cold.seconds
        )

    def fits_setup_budget(self, now: float, load: float) -> bool:
        """Whether a further set-up fits the budget of the current window; always true once warm."""
        if self.started_at is None or now - self.started_at >= self._cold.seconds:
            return True
        while self.recent_setups and self.recent_setups[0][0] <= now - self._cold.fall_s:
            self.recent_setups.popleft()
        return sum([each for _, _, each in self.recent_setups]) + load <= max(
            self.cold_setup_budget(now), 2 * load
        )

    def crashes_from_setup(self, now: float, connection_id: str, load: float) -> bool:
        """Record a set-up; returns whether it exceeds the cold budget, which crashes the server.

        `recent_setups` still holds all set-ups of the window after a crash.
        """
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
