"""The decision module as blocking calls: `pick`, `report`, `tick`.

Owns: one `Balancer`, the count of each request's attempts, decisions not yet fetched and timers not yet
due. It translates observations into events, in the order in which they are reported, and actions into picks
and pending actions. It decides nothing, does no I/O, reads no clock, and hides the events and actions from
its callers.
"""

from __future__ import annotations

import heapq
import math
from typing import NamedTuple

from switchhub.decision import interface as api
from switchhub.decision.interface import Request, Result, Server, Settings
from switchhub.decision.placement import Balancer

DELAY_REPORT_INTERVAL_MS = 900.0  # a little under a second, so that a long delay is reported every second
LONG_DELAY_FRACTION = 1 / 3  # of the shortest message aim: a delay from which on it counts as long


class Send(NamedTuple):
    """Set the request up at this server, within `timeout` milliseconds.

    If the connection is ready only `send_within` milliseconds from now or later, the request must not be
    sent.
    """

    server: str
    timeout: float
    send_within: float = math.inf


class Refused(NamedTuple):
    """Final answer: trying again is harmless, after so many milliseconds; 0 sets no wait."""

    retry_after: float


class Failed(NamedTuple):
    """Final answer: the request failed, and trying again may have a second effect."""


Pick = Send | Refused | Failed


class Adopted(NamedTuple):
    """A connection that was open at this server before this process started."""

    request: Request
    server: str


class Up(NamedTuple):
    """The current attempt's connection is established, after `elapsed` milliseconds."""

    request: str
    elapsed: float


class Ended(NamedTuple):
    """The current attempt, or the open connection, ended after `elapsed` milliseconds.

    `closed`: the request is over, its client gets no further answer.
    """

    request: str
    elapsed: float
    result: Result
    closed: bool


class Left(NamedTuple):
    """The client has gone; an attempt that is under way is still going to end."""

    request: str


class Load(NamedTuple):
    """The present load of a connection as its server reported it, in microseconds of work a second."""

    request: str
    load: float


class Delay(NamedTuple):
    """How long a message on this connection took at its server, in milliseconds."""

    request: str
    delay: float


class ServerList(NamedTuple):
    """The server list, or changes to it."""

    kind: api.ServerListKind
    servers: tuple[Server, ...]


class ServerListLost(NamedTuple):
    """A call to discovery failed, or a watch broke off.

    `refused`: discovery answered that it does not serve the call, or the reason is not known."""

    refused: bool = True


Observation = Adopted | Up | Ended | Left | Load | Delay | ServerList | ServerListLost


class PendingActions(NamedTuple):
    """What the caller is to do now."""

    moves: list[str]
    """Requests whose connections are to be closed, so that their clients connect anew."""
    watch: bool
    """Whether to call discovery for the server list and its changes."""
    notes: list[str]
    """Lines for the log."""


class _TrackedRequest:
    """A request that the decision module holds: its current attempt, and a decision not yet fetched."""

    __slots__ = ("attempt", "decision", "server")

    def __init__(self) -> None:
        self.attempt = -1
        self.server = ""
        self.decision: Pick | None = None


class Facade:
    """One balancer's decisions. Times are milliseconds; each call is given the present time."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        """Start the balancer; the seed determines every random choice."""
        self._balancer = Balancer(settings, seed)
        self._requests: dict[str, _TrackedRequest] = {}
        self._timers: list[tuple[float, int]] = []
        self._delay_reported_at: dict[str, float] = {}  # by server, while its delay is long
        self._long_delay = LONG_DELAY_FRACTION * min(
            (each.message_aim for each in settings.classes), default=0.0
        )
        self._pending = PendingActions([], False, [])
        self._carry_out(now, self._balancer.start(now))

    def pick(self, now: float, request: Request) -> Pick:
        """The server for the request's next attempt, or its final answer.

        To be called once for a new request, and again after each failed attempt. Raises RuntimeError while
        an attempt is under way.
        """
        tracked = self._requests.get(request.id)
        if tracked is None:
            tracked = self._requests[request.id] = _TrackedRequest()
            self._handle(now, api.RequestArrived(request))
        decision, tracked.decision = tracked.decision, None
        if decision is None:
            raise RuntimeError(f"no decision on request {request.id}: its last attempt has not ended")
        if not isinstance(decision, Send):
            del self._requests[request.id]
        return decision

    def report(self, now: float, observation: Observation) -> None:
        """Pass on what the network observed. Raises KeyError for a request that is not held."""
        if isinstance(observation, ServerList):
            self._handle(now, api.ServerListChanged(observation.kind, observation.servers))
        elif isinstance(observation, ServerListLost):
            self._handle(now, api.ServerListFailed(observation.refused))
        elif isinstance(observation, Adopted):
            tracked = self._requests[observation.request.id] = _TrackedRequest()
            tracked.attempt, tracked.server = 0, observation.server
            self._handle(now, api.ConnectionAdopted(observation.request, observation.server))
        else:
            tracked = self._requests[observation.request]
            self._report_on_request(now, observation, tracked)

    def _report_on_request(
        self, now: float, observation: Up | Ended | Left | Load | Delay, tracked: _TrackedRequest
    ) -> None:
        if isinstance(observation, Up):
            self._handle(
                now,
                api.ConnectionUp(observation.request, tracked.attempt, tracked.server, observation.elapsed),
            )
        elif isinstance(observation, Left):
            self._handle(now, api.ClientLeft(observation.request))
        elif isinstance(observation, Load):
            self._handle(
                now,
                api.LoadReported(observation.request, tracked.attempt, tracked.server, observation.load),
            )
        elif isinstance(observation, Delay):
            if self._must_report_delay(now, tracked.server, observation.delay):
                self._handle(
                    now,
                    api.DelayReported(
                        observation.request, tracked.attempt, tracked.server, observation.delay
                    ),
                )
        else:
            if observation.closed:
                del self._requests[observation.request]
            self._handle(
                now,
                api.AttemptEnded(
                    observation.request,
                    tracked.attempt,
                    tracked.server,
                    observation.closed,
                    observation.elapsed,
                    observation.result,
                ),
            )

    def tick(self, now: float) -> PendingActions:
        """Let due timers fire; the actions that have become pending since the last call."""
        while self._timers and self._timers[0][0] <= now:
            _, token = heapq.heappop(self._timers)
            self._handle(now, api.TimerFired(token))
        pending, self._pending = self._pending, PendingActions([], False, [])
        return pending

    def server_counts(self, now: float) -> tuple[int, int]:
        """How many servers are listed, and how many of them are draining or ejected at present."""
        return self._balancer.server_counts(now)

    def learned_state(self) -> api.LearnedState:
        """What this process has learned from its traffic, for the process that succeeds it."""
        return self._balancer.learned_state()

    def restore_learned_state(self, now: float, state: api.LearnedState) -> None:
        """Take over what the predecessor of this process learned from its traffic."""
        self._handle(now, state)

    def drain_started(self, now: float) -> None:
        """A drain of this balancer has started: its connections are going to be moved away."""
        self._handle(now, api.DrainStarted())

    def drain_ended(self, now: float) -> None:
        """The drain is over: this balancer takes its share of connections again."""
        self._handle(now, api.DrainEnded())

    def discovery_changed(self, now: float) -> None:
        """The address of discovery has changed."""
        self._handle(now, api.DiscoveryChanged())

    def _must_report_delay(self, now: float, server: str, delay: float) -> bool:
        """Whether the decision module gets this delay: every second while it is long, and its end once."""
        reported_at = self._delay_reported_at.get(server)
        if delay < self._long_delay:
            return self._delay_reported_at.pop(server, None) is not None
        if reported_at is not None and now - reported_at < DELAY_REPORT_INTERVAL_MS:
            return False
        self._delay_reported_at[server] = now
        return True

    def _handle(self, now: float, event: api.Event) -> None:
        self._carry_out(now, self._balancer.handle(now, event))

    def _carry_out(self, now: float, actions: list[api.Action]) -> None:
        """Turn actions into decisions to be fetched, timers and pending actions."""
        for action in actions:
            if isinstance(action, api.Attempt):
                tracked = self._requests[action.request]
                tracked.attempt, tracked.server = tracked.attempt + 1, action.server
                tracked.decision = Send(action.server, action.timeout, action.send_within)
            elif isinstance(action, api.Refuse):
                self._requests[action.request].decision = Refused(action.retry_after)
            elif isinstance(action, api.Fail):
                self._requests[action.request].decision = Failed()
            elif isinstance(action, api.Move):
                self._pending.moves.append(action.request)
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self._timers, (now + action.delay, action.token))
            elif isinstance(action, api.WatchServerList):
                self._pending = self._pending._replace(watch=True)
            elif isinstance(action, api.Note):
                self._pending.notes.append(action.text)
