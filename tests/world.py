"""A balancer driven by hand: the test plays clients, servers and roster."""

from __future__ import annotations

from typing import TypeVar

from switchhub.decision.brain import Balancer
from switchhub.decision.interface import (
    Action,
    Attempt,
    ConnectionAdopted,
    ConnectionUp,
    DelayTold,
    Event,
    Outcome,
    Repeat,
    Request,
    RequestArrived,
    RequestClass,
    Result,
    RosterChanged,
    RosterKind,
    Scope,
    Server,
    SetTimer,
    Settings,
    State,
    Tenant,
    TimerFired,
)

T = TypeVar("T")


def make_class(
    repeat: Repeat = Repeat.SAFE,
    scope: Scope = Scope.ALL,
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
    must_ask_roster: bool = True,
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
        must_ask_roster=must_ask_roster,
        ask_within=10000.0,
        cold_time=8000.0,
        cold_share=0.3,
        fall_multiple=2.5,
        fall_time=2000.0,
        over_share_worth=0.2,
        probe_price=0.0,
        move_price=move_price,
        crossing_price=0.01,
    )


def server(name: str, zone: int = 0, cell: int = 0, state: State = State.READY, born: float = 0.0) -> Server:
    return Server(name, zone, 0, cell, state, 1.0, born)


class World:
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

    def wait(self, span: float) -> None:
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

    def roster(self, *servers: Server, kind: RosterKind = RosterKind.WHOLE) -> list[Action]:
        return self.feed(RosterChanged(kind, servers))

    def ask(
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

    def where(self, request: str) -> str:
        """The server of the request's latest attempt."""
        if request in self.adopted:
            return self.adopted[request]
        return [a for a in self.actions if isinstance(a, Attempt) and a.request == request][-1].server

    def up(self, request: str, elapsed: float = 20.0) -> list[Action]:
        return self.feed(ConnectionUp(request, self.attempts[request], self.where(request), elapsed))

    def end(
        self, request: str, result: Result, closed: bool | None = None, elapsed: float = 20.0
    ) -> list[Action]:
        over = result is Result.OK if closed is None else closed
        return self.feed(Outcome(request, self.attempts[request], self.where(request), over, elapsed, result))

    def strain(self, request: str, where: str, delay: float) -> list[Action]:
        return self.feed(DelayTold(request, self.attempts[request], where, delay))

    def stand(self, hint: float | None = 1000.0, **more: object) -> str:
        """A request that becomes a connection at once; the server that took it."""
        group, tenant = more.get("group"), more.get("tenant", 0)
        assert group is None or isinstance(group, str)
        assert isinstance(tenant, int)
        request = self.ask(hint, group=group, tenant=tenant)
        self.up(request)
        return self.where(request)

    def did(self, kind: type[T]) -> list[T]:
        """What the last event led to, of one kind."""
        return [action for action in self.last if isinstance(action, kind)]
