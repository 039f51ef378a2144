"""Other policies behind the facade's interface, to compare with: random to an oracle, all of them lawful.

Owns: one shell that keeps the rules on attempts, repeats and drains for all of them, and a choice for each.
Must never: be used by a balancer that serves. None of them paces what goes to a cold server but the oracle;
a run says when that breaks rule 4.

`design` is the project's own `Facade`; `against` (see `earlier.py`) is another version of it.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from switchhub.decision.facade import (
    Adopted,
    Ended,
    Facade,
    Failed,
    Left,
    Observation,
    PendingActions,
    Pick,
    Refused,
    Send,
    ServerList,
    ServerListLost,
    Up,
)
from switchhub.decision.interface import (
    KeyScope,
    Repeat,
    Request,
    Result,
    Server,
    ServerListKind,
    ServerState,
    Settings,
)
from switchhub.lab.fake_server import FakeServer

NOT_RUN_RESULTS = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})
WATCH_RETRY_FRACTION = 1 / 8  # of the time allowed, after which a lost list is asked for again
UTILISATION_MAX, COLD_SETUP_MARGIN = (
    0.97,
    2.0,
)  # utilisation beyond which the oracle refuses; its care with hints at cold servers
RELIEF_INTERVAL_MS = 250.0  # milliseconds between two looks of the oracle at what stands badly


class Decider(Protocol):
    """What both engines speak to."""

    def pick(self, now: float, request: Request) -> Pick:
        """Where a request goes, or its final answer."""

    def report(self, now: float, observation: Observation) -> None:
        """Tell what was seen."""

    def tick(self, now: float) -> PendingActions:
        """What is to be done."""


class SimulationState(Protocol):
    """What only the lab knows; the oracle sees it."""

    servers: dict[str, FakeServer]
    reserved_loads: dict[str, float]

    def can_reach(self, balancer_index: int, server: str) -> bool:
        """Whether the network carries anything between them now."""


class _TrackedRequest:
    __slots__ = ("attempts", "deadline", "first_possible_run", "is_up", "load", "request", "server", "tried")

    def __init__(self, request: Request, load: float, deadline: float) -> None:
        self.request, self.load, self.deadline = request, load, deadline
        self.attempts = 0
        self.tried: set[str] = set()
        self.server = ""
        self.is_up = False
        self.first_possible_run: tuple[Server, float] | None = None  # the first attempt that may have run


class BaselinePolicy:
    """Keeps the rules on attempts, repeats and drains; `choose` picks among the lawful."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), now
        self.servers: dict[str, Server] = {}
        self.ready_servers: list[str] = []
        self.load_sums: dict[str, float] = {}
        self.connection_counts: dict[str, int] = {}
        self._tracked: dict[str, _TrackedRequest] = {}
        self._pending_moves: list[str] = []
        self._watch_due_at: float | None = now

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers, which are never none; empty: refuse, where that is harmless."""
        return self.rng.choice(names)

    def pick(self, now: float, request: Request) -> Pick:
        """Where a request goes, or its final answer."""
        self.now = now
        tracked = self._tracked.get(request.id)
        if tracked is None:
            tracked = self._tracked[request.id] = _TrackedRequest(
                request, request.hint or 0.0, now + request.budget
            )
        names = self._allowed_servers(now, tracked)
        chosen = self.choose(request, tracked.load, names) if names else ""
        refusal_is_safe = self._refusal_is_safe(tracked)
        if not chosen and names and not refusal_is_safe:
            chosen = names[0]
        if not chosen:
            del self._tracked[request.id]
            return Refused(self.settings.retry_after_max) if refusal_is_safe else Failed()
        attempts_left = self.settings.max_attempts - tracked.attempts
        tracked.attempts += 1
        tracked.tried.add(chosen)
        self._track(tracked, chosen)
        return Send(chosen, (tracked.deadline - now) / attempts_left)

    def report(self, now: float, observation: Observation) -> None:
        """Tell what was seen."""
        self.now = now
        if isinstance(observation, ServerList):
            self._on_server_list(observation)
        elif isinstance(observation, ServerListLost):
            self._watch_due_at = now + self.settings.watch_retry_within * WATCH_RETRY_FRACTION
        elif isinstance(observation, Adopted):
            tracked = self._tracked[observation.request.id] = _TrackedRequest(
                observation.request, observation.request.hint or 0.0, 0.0
            )
            tracked.is_up = True
            self._track(tracked, observation.server)
        elif isinstance(observation, Up):
            tracked = self._tracked[observation.request]
            tracked.is_up = True
            if self._server_state(tracked.server) is ServerState.DRAINING:
                self._pending_moves.append(observation.request)
        elif isinstance(observation, Ended):
            self._on_ended(now, observation)
        elif isinstance(observation, Left):
            self._tracked[observation.request].deadline = 0.0

    def tick(self, now: float) -> PendingActions:
        """What is to be done."""
        watch = self._watch_due_at is not None and self._watch_due_at <= now
        if watch:
            self._watch_due_at = None
        moves, self._pending_moves = self._pending_moves, []
        return PendingActions(moves, watch, [])

    def _on_ended(self, now: float, observation: Ended) -> None:
        tracked = self._tracked[observation.request]
        self.load_sums[tracked.server] -= tracked.load
        self.connection_counts[tracked.server] -= 1
        if observation.closed or tracked.is_up:
            del self._tracked[observation.request]
        elif tracked.first_possible_run is None and observation.result not in NOT_RUN_RESULTS:
            tracked.first_possible_run = (self.servers[tracked.server], now - observation.elapsed)

    def _on_server_list(self, observation: ServerList) -> None:
        if observation.kind is ServerListKind.WHOLE:
            listed = {each.id for each in observation.servers}
            for name in self.servers.keys() - listed:
                self.servers[name] = self.servers[name]._replace(state=ServerState.GONE)
        for each in observation.servers:
            self.servers[each.id] = each
            self.load_sums.setdefault(each.id, 0.0)
            self.connection_counts.setdefault(each.id, 0)
        self.ready_servers = [name for name, each in self.servers.items() if each.state is ServerState.READY]
        draining = {each.id for each in observation.servers if each.state is ServerState.DRAINING}
        if draining:
            self._pending_moves += [
                name for name, each in self._tracked.items() if each.is_up and each.server in draining
            ]

    def _server_state(self, server: str) -> ServerState:
        return self.servers[server].state if server in self.servers else ServerState.GONE

    def _track(self, tracked: _TrackedRequest, server: str) -> None:
        tracked.server = server
        self.load_sums[server] = self.load_sums.get(server, 0.0) + tracked.load
        self.connection_counts[server] = self.connection_counts.get(server, 0) + 1

    def _refusal_is_safe(self, tracked: _TrackedRequest) -> bool:
        request_class = self.settings.classes[tracked.request.class_index]
        return (
            tracked.first_possible_run is None
            or request_class.repeat is Repeat.SAFE
            or (request_class.repeat is Repeat.KEYED and request_class.scope is KeyScope.ALL)
        )

    def _allowed_servers(self, now: float, tracked: _TrackedRequest) -> list[str]:
        if tracked.attempts >= self.settings.max_attempts or now >= tracked.deadline:
            return []
        names = self.ready_servers
        request_class = self.settings.classes[tracked.request.class_index]
        if tracked.first_possible_run is not None and request_class.repeat is not Repeat.SAFE:
            first_server, first_sent_at = tracked.first_possible_run
            if request_class.repeat is Repeat.UNSAFE or now - first_sent_at >= request_class.window:
                return []
            if request_class.scope is KeyScope.ZONE:
                names = [each for each in names if self.servers[each].zone == first_server.zone]
            elif request_class.scope is KeyScope.CELL:
                names = [each for each in names if self.servers[each].cell == first_server.cell]
        return [each for each in names if each not in tracked.tried] or names


class RoundRobin(BaselinePolicy):
    """The next one in turn, from a place by lot."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self._position = self.rng.randrange(1 << 20)

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        self._position += 1
        return names[self._position % len(names)]


class LeastConnections(BaselinePolicy):
    """The fewest connections of its own; ties by lot."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        least = min(self.connection_counts[each] for each in names)
        return self.rng.choice([each for each in names if self.connection_counts[each] == least])


class TwoChoices(BaselinePolicy):
    """The less loaded of two by lot, by the sums (Mitzenmacher, 2001)."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        first, second = self.rng.choice(names), self.rng.choice(names)
        return min(first, second, key=self.load_sums.__getitem__)


class LeastSum(BaselinePolicy):
    """The design without any exception: the least sum."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        least = min(self.load_sums[each] for each in names)
        return self.rng.choice([each for each in names if self.load_sums[each] == least])


class Oracle(BaselinePolicy):
    """Sees true loads, what hangs, what is cut off and what a cold server bears; refuses when all is full,
    and moves what stands where it is served badly. All oracles of a run share what they are about to send."""

    def __init__(
        self, settings: Settings, seed: int, now: float, simulation: SimulationState, balancer_index: int
    ) -> None:
        super().__init__(settings, seed, now)
        self._simulation, self._balancer_index = simulation, balancer_index
        self._relieved_at = now
        self._reserved: dict[str, tuple[str, float]] = {}

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """The one that is the least used after it, of those that answer."""
        best, lowest = "", UTILISATION_MAX
        for name in names:
            server = self._simulation.servers[name]
            if server.full or not self._is_serving(name):
                continue
            added_load = load + self._simulation.reserved_loads[name]
            if not server.fits_setup_budget(server.updated_at, added_load * COLD_SETUP_MARGIN):
                continue
            utilisation = server.utilisation(server.updated_at) + added_load / server.work_rate(
                server.updated_at
            )
            if utilisation < lowest:
                best, lowest = name, utilisation
        if best:
            self._reserved[request.id] = (best, load)
            self._simulation.reserved_loads[best] += load
        return best

    def report(self, now: float, observation: Observation) -> None:
        """Tell what was seen."""
        if isinstance(observation, (Up, Ended)):
            name, load = self._reserved.pop(observation.request, ("", 0.0))
            if name:
                self._simulation.reserved_loads[name] -= load
        super().report(now, observation)

    def tick(self, now: float) -> PendingActions:
        """What is to be done: also what is to be moved."""
        if now - self._relieved_at >= RELIEF_INTERVAL_MS:
            self._relieved_at = now
            self._move_from_overloaded()
        return super().tick(now)

    def _is_serving(self, name: str) -> bool:
        server = self._simulation.servers[name]
        return not (server.dead or server.hanging) and self._simulation.can_reach(self._balancer_index, name)

    def _move_from_overloaded(self) -> None:
        spare_rates = {
            name: UTILISATION_MAX * each.work_rate(each.updated_at) * each.speed_fraction(each.updated_at)
            - each.load
            for name, each in self._simulation.servers.items()
            if self._is_serving(name) and not each.draining
        }
        spare_total = sum(each for each in spare_rates.values() if each > 0)
        excess_rates = {name: -each for name, each in spare_rates.items() if each < 0}
        for request, tracked in self._tracked.items():
            if not tracked.is_up:
                continue
            if not self._is_serving(tracked.server):
                self._pending_moves.append(request)
            elif excess_rates.get(tracked.server, 0.0) > 0 and spare_total > tracked.load:
                excess_rates[tracked.server] -= tracked.load
                spare_total -= tracked.load
                self._pending_moves.append(request)


def create_design(settings: Settings, seed: int, now: float) -> Decider:
    """The project's own."""
    return Facade(settings, seed, now)


BASELINES: dict[str, Callable[[Settings, int, float], Decider]] = {
    "design": create_design,
    "plain": LeastSum,
    "random": BaselinePolicy,
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
    "two-choices": TwoChoices,
}
POLICIES = (*BASELINES, "oracle")
