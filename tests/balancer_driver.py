"""Drives one balancer's decision module: the test plays its clients, its servers and discovery."""

from __future__ import annotations

from typing import TypeVar

from switchhub.decision.interface import (
    Action,
    Attempt,
    AttemptEnded,
    ConnectionAdopted,
    ConnectionUp,
    DelayReported,
    Event,
    KeyScope,
    Repeat,
    Request,
    RequestArrived,
    RequestClass,
    Result,
    Server,
    ServerListChanged,
    ServerListKind,
    ServerState,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
)
from switchhub.decision.placement import Balancer

T = TypeVar("T")


def make_class(
    repeat: Repeat = Repeat.SAFE,
    scope: KeyScope = KeyScope.ALL,
    window: float = 5000.0,
    message_aim: float = 60.0,
    worth: float = 1.0,
) -> RequestClass:
    return RequestClass("c", repeat, scope, window, 300.0, 1200.0, worth, message_aim)


def make_settings(
    classes: tuple[RequestClass, ...] = (make_class(),),
    tenants: tuple[Tenant, ...] = (),
    fleet_size: int = 4,
    zone: int = 0,
    max_attempts: int = 4,
    probes_allowed: bool = False,
    retry_after_max: float = 0.0,
    groups_share_work: bool = False,
    must_watch_server_list: bool = True,
    move_price: float = 0.01,
) -> Settings:
    return Settings(
        classes=classes,
        tenants=tenants,
        fleet_size=fleet_size,
        zone=zone,
        max_attempts=max_attempts,
        probes_allowed=probes_allowed,
        retry_after_max=retry_after_max,
        groups_share_work=groups_share_work,
        must_watch_server_list=must_watch_server_list,
        watch_retry_within=10000.0,
        cold_time=8000.0,
        cold_share=0.3,
        cold_budget_multiple=2.5,
        cold_budget_window=2000.0,
        over_share_worth=0.2,
        probe_price=0.0,
        move_price=move_price,
        cross_zone_price=0.01,
    )


def make_server(
    name: str, zone: int = 0, cell: int = 0, state: ServerState = ServerState.READY, started_at: float = 0.0
) -> Server:
    return Server(name, zone, 0, cell, state, 1.0, started_at)


class BalancerDriver:
    """Passes events to one balancer on a clock of its own, and records its actions."""

    def __init__(self, settings: Settings | None = None, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings or make_settings()
        self.now = now
        self.balancer = Balancer(self.settings, seed)
        self.actions: list[Action] = list(self.balancer.start(now))
        self.last: list[Action] = []  # actions of the last event
        self.request_count = 0  # for request ids
        self.adopted: dict[str, str] = {}  # server of each adopted connection, by request id
        self.attempts: dict[str, int] = {}  # number of the current attempt, by request id
        self.timers: list[tuple[float, int]] = []  # when due, and token
        self._record(self.actions)

    def _record(self, actions: list[Action]) -> None:
        """Number the attempts and keep the timers."""
        for action in actions:
            if isinstance(action, Attempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))

    def feed(self, event: Event) -> list[Action]:
        """Pass an event on; the actions that it leads to."""
        self.last = list(self.balancer.handle(self.now, event))
        self.actions += self.last
        self._record(self.last)
        return self.last

    def advance(self, duration: float) -> None:
        """Let time pass, in milliseconds, and fire the timers that come due."""
        end = self.now + duration
        while True:
            due = [timer for timer in self.timers if timer[0] <= end]
            if not due:
                break
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(TimerFired(timer[1]))
        self.now = end

    def update_server_list(
        self, *servers: Server, kind: ServerListKind = ServerListKind.WHOLE
    ) -> list[Action]:
        """Discovery sends a server list; by default a whole one."""
        return self.feed(ServerListChanged(kind, servers))

    def send_request(
        self,
        hint: float | None = 1000.0,
        class_index: int = 0,
        tenant: int = 0,
        group: str | None = None,
        budget: float = 1200.0,
        name: str | None = None,
    ) -> str:
        """A client's new request; its id."""
        self.request_count += 1
        request = name or f"r{self.request_count}"
        self.feed(RequestArrived(Request(request, class_index, budget, tenant, hint, None, group)))
        return request

    def adopt(self, server_id: str, hint: float | None = 1000.0, **more: object) -> str:
        """A connection that was open before the start; its request id."""
        self.request_count += 1
        request = f"r{self.request_count}"
        group = more.get("group")
        tenant = more.get("tenant", 0)
        assert group is None or isinstance(group, str)
        assert isinstance(tenant, int)
        self.attempts[request] = 0
        self.adopted[request] = server_id
        self.feed(ConnectionAdopted(Request(request, 0, 0.0, tenant, hint, None, group), server_id))
        return request

    def server_of(self, request: str) -> str:
        """The server of the request's latest attempt."""
        if request in self.adopted:
            return self.adopted[request]
        return [a for a in self.actions if isinstance(a, Attempt) and a.request == request][-1].server

    def establish(self, request: str, elapsed: float = 20.0) -> list[Action]:
        """The current attempt's connection is established."""
        return self.feed(ConnectionUp(request, self.attempts[request], self.server_of(request), elapsed))

    def end_attempt(
        self, request: str, result: Result, closed: bool | None = None, elapsed: float = 20.0
    ) -> list[Action]:
        """The attempt or open connection ends; without `closed`, the request is over if it went well."""
        request_closed = result is Result.OK if closed is None else closed
        return self.feed(
            AttemptEnded(
                request, self.attempts[request], self.server_of(request), request_closed, elapsed, result
            )
        )

    def report_delay(self, request: str, server_id: str, delay: float) -> list[Action]:
        """A message on this connection took `delay` milliseconds at its server."""
        return self.feed(DelayReported(request, self.attempts[request], server_id, delay))

    def open_connection(self, hint: float | None = 1000.0, **more: object) -> str:
        """A request whose connection is established at once; the server that it was placed at."""
        group, tenant = more.get("group"), more.get("tenant", 0)
        assert group is None or isinstance(group, str)
        assert isinstance(tenant, int)
        request = self.send_request(hint, group=group, tenant=tenant)
        self.establish(request)
        return self.server_of(request)

    def last_of(self, kind: type[T]) -> list[T]:
        """The actions of one kind that the last event led to."""
        return [action for action in self.last if isinstance(action, kind)]
