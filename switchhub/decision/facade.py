"""The decision module in blocking style: `pick`, `report`, `tick`.

Owns: one `Balancer`, the count of each request's attempts, decisions not yet fetched and timers not yet due.
Must never: decide anything, do I/O, read a clock, or let an event or an action of the module out. It
translates: what the network saw becomes events in the order told, and what the module answers becomes a pick
or a chore.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from switchhub.decision import interface as api
from switchhub.decision.interface import Request, Result, Server, Settings
from switchhub.decision.placement import Balancer

TELL_EVERY = 900.0  # milliseconds: a server's delay is told once a second, somewhat less, while it is long
TOLD_FROM = 1 / 3  # long: over this part of the shortest message aim


class Send(NamedTuple):
    """Set the request up at this server, and wait so many milliseconds at most; what can't be sent `within`
    so many is not to be sent."""

    server: str
    timeout: float
    send_within: float = math.inf


class Refused(NamedTuple):
    """Answer that trying again is harmless, after so many milliseconds (0: whenever)."""

    retry_after: float


class Failed(NamedTuple):
    """Answer that it failed, with no promise."""


Pick = Send | Refused | Failed


class Adopted(NamedTuple):
    """A connection that stood at this server before the start."""

    request: Request
    server: str


class Up(NamedTuple):
    """The present attempt's connection stands."""

    request: str
    elapsed: float


class Ended(NamedTuple):
    """The present attempt, or the standing connection, has ended; `over`: nothing is owed any more."""

    request: str
    elapsed: float
    result: Result
    closed: bool


class Left(NamedTuple):
    """The client has gone; the attempt that is out still ends."""

    request: str


class Load(NamedTuple):
    """The present load of a connection, as its server told it."""

    request: str
    load: float


class Delay(NamedTuple):
    """What a message on this connection took at its server, as measured."""

    request: str
    delay: float


class ServerList(NamedTuple):
    """The list of servers, or changes to it."""

    kind: api.ServerListKind
    servers: tuple[Server, ...]


class ServerListLost(NamedTuple):
    """A call to discovery failed or a watch broke."""


Observation = Adopted | Up | Ended | Left | Load | Delay | ServerList | ServerListLost


class PendingActions(NamedTuple):
    """What the module wants done now."""

    moves: list[str]
    watch: bool
    notes: list[str]


class _Held:
    """A request that the module holds: its present attempt, where that is, and a decision not yet fetched."""

    __slots__ = ("attempt", "decision", "server")

    def __init__(self) -> None:
        self.attempt = -1
        self.server = ""
        self.decision: Pick | None = None


class Facade:
    """One balancer's decisions. Times are milliseconds; each call says what time it is."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self._balancer = Balancer(settings, seed)
        self._held: dict[str, _Held] = {}
        self._timers: list[tuple[float, int]] = []
        self._told: dict[str, float] = {}  # when a server's long delay was told last
        self._long = TOLD_FROM * min((each.message_aim for each in settings.classes), default=0.0)
        self._chores = PendingActions([], False, [])
        self._carry_out(now, self._balancer.start(now))

    def pick(self, now: float, request: Request) -> Pick:
        """Where the request goes now, or its final answer; asked again after each failed attempt."""
        held = self._held.get(request.id)
        if held is None:
            held = self._held[request.id] = _Held()
            self._handle(now, api.RequestArrived(request))
        decision, held.decision = held.decision, None
        if decision is None:
            raise RuntimeError(f"no decision on {request.id}: an attempt is still out")
        if not isinstance(decision, Send):
            del self._held[request.id]
        return decision

    def report(self, now: float, news: Observation) -> None:
        """Tell what was seen."""
        if isinstance(news, ServerList):
            self._handle(now, api.ServerListChanged(news.kind, news.servers))
        elif isinstance(news, ServerListLost):
            self._handle(now, api.ServerListFailed())
        elif isinstance(news, Adopted):
            held = self._held[news.request.id] = _Held()
            held.attempt, held.server = 0, news.server
            self._handle(now, api.ConnectionAdopted(news.request, news.server))
        else:
            held = self._held[news.request]
            self._report_held(now, news, held)

    def _report_held(self, now: float, news: Up | Ended | Left | Load | Delay, held: _Held) -> None:
        if isinstance(news, Up):
            self._handle(now, api.ConnectionUp(news.request, held.attempt, held.server, news.elapsed))
        elif isinstance(news, Left):
            self._handle(now, api.ClientLeft(news.request))
        elif isinstance(news, Load):
            self._handle(now, api.LoadReported(news.request, held.attempt, held.server, news.load))
        elif isinstance(news, Delay):
            if self._worth_telling(now, held.server, news.delay):
                self._handle(now, api.DelayReported(news.request, held.attempt, held.server, news.delay))
        else:
            if news.closed:
                del self._held[news.request]
            self._handle(
                now,
                api.AttemptEnded(
                    news.request, held.attempt, held.server, news.closed, news.elapsed, news.result
                ),
            )

    def tick(self, now: float) -> PendingActions:
        """Let timers fire; what is to be done since the last call."""
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            self._handle(now, api.TimerFired(token))
        chores, self._chores = self._chores, PendingActions([], False, [])
        return chores

    def server_counts(self, now: float) -> tuple[int, int]:
        """How many servers are listed, and how many of them get nothing new at present."""
        return self._balancer.server_counts(now)

    def learned_state(self) -> api.LearnedState:
        """What a new process of this balancer goes on with."""
        return self._balancer.learned_state()

    def restore_learned_state(self, now: float, state: api.LearnedState) -> None:
        """What a former process of this balancer knew."""
        self._handle(now, state)

    def drain_started(self, now: float) -> None:
        """This balancer gives away what it holds, on purpose."""
        self._handle(now, api.DrainStarted())

    def drain_ended(self, now: float) -> None:
        """It takes its part again."""
        self._handle(now, api.DrainEnded())

    def discovery_changed(self, now: float) -> None:
        """The list is asked for elsewhere from now on."""
        self._handle(now, api.DiscoveryChanged())

    def _worth_telling(self, now: float, server: str, delay: float) -> bool:
        """As the wire tells it: once a second while long, and once more when it no longer is."""
        told = self._told.get(server)
        if delay < self._long:
            return self._told.pop(server, None) is not None
        if told is not None and now - told < TELL_EVERY:
            return False
        self._told[server] = now
        return True

    def _handle(self, now: float, event: api.Event) -> None:
        self._carry_out(now, self._balancer.handle(now, event))

    def _carry_out(self, now: float, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Attempt):
                held = self._held[action.request]
                held.attempt, held.server = held.attempt + 1, action.server
                held.decision = Send(action.server, action.timeout, action.send_within)
            elif isinstance(action, api.Refuse):
                self._held[action.request].decision = Refused(action.retry_after)
            elif isinstance(action, api.Fail):
                self._held[action.request].decision = Failed()
            elif isinstance(action, api.Move):
                self._chores.moves.append(action.request)
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self._timers, (now + action.delay, action.token))
            elif isinstance(action, api.WatchServerList):
                self._chores = self._chores._replace(watch=True)
            elif isinstance(action, api.Note):
                self._chores.notes.append(action.text)
