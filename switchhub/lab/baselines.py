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

NEVER_RAN = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})
ASK_PART = 1 / 8  # of the time allowed, after which a lost list is asked for again
BUSIEST, MARGIN = (
    0.97,
    2.0,
)  # utilisation beyond which the oracle refuses; its care with hints at cold servers
LOOK_EVERY = 250.0  # milliseconds between two looks of the oracle at what stands badly


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

    def can_reach(self, balancer: int, server: str) -> bool:
        """Whether the network carries anything between them now."""


class _Held:
    __slots__ = ("attempts", "first", "load", "request", "server", "tried", "until", "up")

    def __init__(self, request: Request, load: float, until: float) -> None:
        self.request, self.load, self.until = request, load, until
        self.attempts = 0
        self.tried: set[str] = set()
        self.server = ""
        self.up = False
        self.first: tuple[Server, float] | None = None  # the first attempt that may have run


class BaselinePolicy:
    """Keeps the rules on attempts, repeats and drains; `choose` picks among the lawful."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), now
        self.servers: dict[str, Server] = {}
        self.ready: list[str] = []
        self.sums: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self._held: dict[str, _Held] = {}
        self._moves: list[str] = []
        self._ask_at: float | None = now

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers, which are never none; empty: refuse, where that is harmless."""
        return self.rng.choice(names)

    def pick(self, now: float, request: Request) -> Pick:
        """Where a request goes, or its final answer."""
        self.now = now
        held = self._held.get(request.id)
        if held is None:
            held = self._held[request.id] = _Held(request, request.hint or 0.0, now + request.budget)
        names = self._lawful(now, held)
        chosen = self.choose(request, held.load, names) if names else ""
        harmless = self._harmless(held)
        if not chosen and names and not harmless:
            chosen = names[0]
        if not chosen:
            del self._held[request.id]
            return Refused(self.settings.retry_after_max) if harmless else Failed()
        left = self.settings.max_attempts - held.attempts
        held.attempts += 1
        held.tried.add(chosen)
        self._hold(held, chosen)
        return Send(chosen, (held.until - now) / left)

    def report(self, now: float, observation: Observation) -> None:
        """Tell what was seen."""
        self.now = now
        if isinstance(observation, ServerList):
            self._on_roster(observation)
        elif isinstance(observation, ServerListLost):
            self._ask_at = now + self.settings.watch_retry_within * ASK_PART
        elif isinstance(observation, Adopted):
            held = self._held[observation.request.id] = _Held(
                observation.request, observation.request.hint or 0.0, 0.0
            )
            held.up = True
            self._hold(held, observation.server)
        elif isinstance(observation, Up):
            held = self._held[observation.request]
            held.up = True
            if self._state(held.server) is ServerState.DRAINING:
                self._moves.append(observation.request)
        elif isinstance(observation, Ended):
            self._on_ended(now, observation)
        elif isinstance(observation, Left):
            self._held[observation.request].until = 0.0

    def tick(self, now: float) -> PendingActions:
        """What is to be done."""
        watch = self._ask_at is not None and self._ask_at <= now
        if watch:
            self._ask_at = None
        moves, self._moves = self._moves, []
        return PendingActions(moves, watch, [])

    def _on_ended(self, now: float, news: Ended) -> None:
        held = self._held[news.request]
        self.sums[held.server] -= held.load
        self.counts[held.server] -= 1
        if news.closed or held.up:
            del self._held[news.request]
        elif held.first is None and news.result not in NEVER_RAN:
            held.first = (self.servers[held.server], now - news.elapsed)

    def _on_roster(self, news: ServerList) -> None:
        if news.kind is ServerListKind.WHOLE:
            named = {each.id for each in news.servers}
            for name in self.servers.keys() - named:
                self.servers[name] = self.servers[name]._replace(state=ServerState.GONE)
        for each in news.servers:
            self.servers[each.id] = each
            self.sums.setdefault(each.id, 0.0)
            self.counts.setdefault(each.id, 0)
        self.ready = [name for name, each in self.servers.items() if each.state is ServerState.READY]
        leaving = {each.id for each in news.servers if each.state is ServerState.DRAINING}
        if leaving:
            self._moves += [name for name, each in self._held.items() if each.up and each.server in leaving]

    def _state(self, server: str) -> ServerState:
        return self.servers[server].state if server in self.servers else ServerState.GONE

    def _hold(self, held: _Held, server: str) -> None:
        held.server = server
        self.sums[server] = self.sums.get(server, 0.0) + held.load
        self.counts[server] = self.counts.get(server, 0) + 1

    def _harmless(self, held: _Held) -> bool:
        kind = self.settings.classes[held.request.class_index]
        return (
            held.first is None
            or kind.repeat is Repeat.SAFE
            or (kind.repeat is Repeat.KEYED and kind.scope is KeyScope.ALL)
        )

    def _lawful(self, now: float, held: _Held) -> list[str]:
        if held.attempts >= self.settings.max_attempts or now >= held.until:
            return []
        names = self.ready
        kind = self.settings.classes[held.request.class_index]
        if held.first is not None and kind.repeat is not Repeat.SAFE:
            where, sent = held.first
            if kind.repeat is Repeat.UNSAFE or now - sent >= kind.window:
                return []
            if kind.scope is KeyScope.ZONE:
                names = [each for each in names if self.servers[each].zone == where.zone]
            elif kind.scope is KeyScope.CELL:
                names = [each for each in names if self.servers[each].cell == where.cell]
        return [each for each in names if each not in held.tried] or names


class RoundRobin(BaselinePolicy):
    """The next one in turn, from a place by lot."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self._turn = self.rng.randrange(1 << 20)

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        self._turn += 1
        return names[self._turn % len(names)]


class LeastConnections(BaselinePolicy):
    """The fewest connections of its own; ties by lot."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        least = min(self.counts[each] for each in names)
        return self.rng.choice([each for each in names if self.counts[each] == least])


class TwoChoices(BaselinePolicy):
    """The less loaded of two by lot, by the sums (Mitzenmacher, 2001)."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        first, second = self.rng.choice(names), self.rng.choice(names)
        return min(first, second, key=self.sums.__getitem__)


class LeastSum(BaselinePolicy):
    """The design without any exception: the least sum."""

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """One of the lawful servers."""
        least = min(self.sums[each] for each in names)
        return self.rng.choice([each for each in names if self.sums[each] == least])


class Oracle(BaselinePolicy):
    """Sees true loads, what hangs, what is cut off and what a cold server bears; refuses when all is full,
    and moves what stands where it is served badly. All oracles of a run share what they are about to send."""

    def __init__(
        self, settings: Settings, seed: int, now: float, truth: SimulationState, balancer: int
    ) -> None:
        super().__init__(settings, seed, now)
        self._truth, self._index = truth, balancer
        self._looked = now
        self._reserved: dict[str, tuple[str, float]] = {}

    def choose(self, request: Request, load: float, names: list[str]) -> str:
        """The one that is the least used after it, of those that answer."""
        best, least = "", BUSIEST
        for name in names:
            server = self._truth.servers[name]
            if server.full or not self._sound(name):
                continue
            ahead = load + self._truth.reserved_loads[name]
            if not server.fits_setup_budget(server.updated_at, ahead * MARGIN):
                continue
            used = server.utilisation(server.updated_at) + ahead / server.work_rate(server.updated_at)
            if used < least:
                best, least = name, used
        if best:
            self._reserved[request.id] = (best, load)
            self._truth.reserved_loads[best] += load
        return best

    def report(self, now: float, observation: Observation) -> None:
        """Tell what was seen."""
        if isinstance(observation, (Up, Ended)):
            name, load = self._reserved.pop(observation.request, ("", 0.0))
            if name:
                self._truth.reserved_loads[name] -= load
        super().report(now, observation)

    def tick(self, now: float) -> PendingActions:
        """What is to be done: also what is to be moved."""
        if now - self._looked >= LOOK_EVERY:
            self._looked = now
            self._relieve()
        return super().tick(now)

    def _sound(self, name: str) -> bool:
        server = self._truth.servers[name]
        return not (server.dead or server.hanging) and self._truth.can_reach(self._index, name)

    def _relieve(self) -> None:
        spare = {
            name: BUSIEST * each.work_rate(each.updated_at) * each.speed_fraction(each.updated_at) - each.load
            for name, each in self._truth.servers.items()
            if self._sound(name) and not each.draining
        }
        room = sum(each for each in spare.values() if each > 0)
        over = {name: -each for name, each in spare.items() if each < 0}
        for request, held in self._held.items():
            if not held.up:
                continue
            if not self._sound(held.server):
                self._moves.append(request)
            elif over.get(held.server, 0.0) > 0 and room > held.load:
                over[held.server] -= held.load
                room -= held.load
                self._moves.append(request)


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
