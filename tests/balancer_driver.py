"""A balancer driven by hand: the test plays clients, servers and roster."""

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
    """Feeds one balancer and keeps what it did."""

    def __init__(self, settings: Settings | None = None, seed: int = 1, now: float = 1000.0) -> None:
        self.settings = settings or make_settings()
        self.now = now
        self.balancer = Balancer(self.settings, seed)
        self.actions: list[Action] = list(self.balancer.start(now))
        self.last: list[Action] = []
        self.count = 0
        self.adopted: dict[str, str] = {}
        self.attempts: dict[str, int] = {}
        self.timers: list[tuple[float, int]] = []
        self._keep(self.actions)

    def _keep(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Attempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))

    def feed(self, event: Event) -> list[Action]:
        self.last = list(self.balancer.handle(self.now, event))
        self.actions += self.last
        self._keep(self.last)
        return self.last

    def advance(self, span: float) -> None:
        """Let time pass, firing the timers that come due."""
        end = self.now + span
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
        """A client's request; its id."""
        self.count += 1
        request = name or f"r{self.count}"
        self.feed(RequestArrived(Request(request, class_index, budget, tenant, hint, None, group)))
        return request

    def adopt(self, where: str, hint: float | None = 1000.0, **more: object) -> str:
        self.count += 1
        request = f"r{self.count}"
        group = more.get("group")
        tenant = more.get("tenant", 0)
        assert group is None or isinstance(group, str)
        assert isinstance(tenant, int)
        self.attempts[request] = 0
        self.adopted[request] = where
        self.feed(ConnectionAdopted(Request(request, 0, 0.0, tenant, hint, None, group), where))
        return request

    def server_of(self, request: str) -> str:
        """The server of the request's latest attempt."""
        if request in self.adopted:
            return self.adopted[request]
        return [a for a in self.actions if isinstance(a, Attempt) and a.request == request][-1].server

    def establish(self, request: str, elapsed: float = 20.0) -> list[Action]:
        return self.feed(ConnectionUp(request, self.attempts[request], self.server_of(request), elapsed))

    def end_attempt(
        self, request: str, result: Result, closed: bool | None = None, elapsed: float = 20.0
    ) -> list[Action]:
        over = result is Result.OK if closed is None else closed
        return self.feed(
            AttemptEnded(request, self.attempts[request], self.server_of(request), over, elapsed, result)
        )

    def report_delay(self, request: str, where: str, delay: float) -> list[Action]:
        return self.feed(DelayReported(request, self.attempts[request], where, delay))

    def open_connection(self, hint: float | None = 1000.0, **more: object) -> str:
        """A request that becomes a connection at once; the server that took it."""
        group, tenant = more.get("group"), more.get("tenant", 0)
        assert group is None or isinstance(group, str)
        assert isinstance(tenant, int)
        request = self.send_request(hint, group=group, tenant=tenant)
        self.establish(request)
        return self.server_of(request)

    def last_of(self, kind: type[T]) -> list[T]:
        """What the last event led to, of one kind."""
        return [action for action in self.last if isinstance(action, kind)]
