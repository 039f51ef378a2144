"""Arbitrary legal events: rules 1 to 3 hold, and each sum is the load of what its server holds."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from switchhub.decision.interface import (
    Attempt,
    AttemptEnded,
    ClientLeft,
    ConnectionUp,
    DelayReported,
    Event,
    Fail,
    KeyScope,
    LoadReported,
    Move,
    Refuse,
    Repeat,
    Request,
    RequestArrived,
    Result,
    Server,
    ServerListChanged,
    ServerListFailed,
    ServerListKind,
    ServerState,
    Settings,
    TimerFired,
)
from tests.balancer_driver import BalancerDriver, make_class, make_settings

NEVER_RAN = {Result.FULL, Result.UNREACHABLE, Result.NOT_SENT}
CLASSES = (
    make_class(Repeat.SAFE),
    make_class(Repeat.UNSAFE),
    make_class(Repeat.KEYED, KeyScope.ALL, 400.0),
    make_class(Repeat.KEYED, KeyScope.ZONE, 400.0),
    make_class(Repeat.KEYED, KeyScope.CELL, 400.0),
)


class RuleChecker:
    """Sends legal events at random, and checks each action against the rules."""

    def __init__(self, rng: random.Random, grouped: bool, config: Settings) -> None:
        self.rng, self.grouped = rng, grouped
        self.driver = BalancerDriver(config, rng.randrange(1 << 30), rng.choice([0.0, 1e9]))
        self.servers: dict[str, Server] = {}
        self.unanswered: dict[str, Request] = {}  # requests without a final answer yet
        self.deadline: dict[str, float] = {}
        self.under_way: dict[str, tuple[int, str, float]] = {}  # attempt, server, when sent
        self.established: set[str] = set()
        self.may_have_run: dict[str, tuple[Server, float]] = {}  # server and time of the first such attempt
        self.request_count = 0

    def feed(self, event: Event, ended: str | None = None) -> None:
        """Pass an event on, which ends the request `ended`, and check the actions."""
        if ended is not None:
            self.unanswered.pop(ended, None)
        for action in self.driver.feed(event):
            if isinstance(action, Attempt):
                self.check_attempt(action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(action)
            elif isinstance(action, Move):
                assert action.request in self.established

    def check_attempt(self, action: Attempt) -> None:
        name, now = action.request, self.driver.now
        assert name in self.unanswered, "an attempt after the final answer"
        assert name not in self.under_way, "two attempts at once"
        target = self.servers[action.server]
        assert target.state is ServerState.READY, "sent to a server that is draining or gone"
        assert now < self.deadline[name]
        assert 0 < action.timeout <= self.deadline[name] - now + 1e-6
        number = self.driver.attempts[name]
        assert number < self.driver.settings.max_attempts
        request_class = CLASSES[self.unanswered[name].class_index]
        if name in self.may_have_run and request_class.repeat is not Repeat.SAFE:
            first, at = self.may_have_run[name]
            assert request_class.repeat is Repeat.KEYED
            assert now - at <= request_class.window
            assert request_class.scope is not KeyScope.ZONE or target.zone == first.zone
            assert request_class.scope is not KeyScope.CELL or target.cell == first.cell
        self.under_way[name] = (number, action.server, now)

    def check_answer(self, action: Refuse | Fail) -> None:
        request = self.unanswered.pop(action.request)  # a KeyError means a second final answer
        assert action.request not in self.under_way
        if isinstance(action, Refuse) and action.request in self.may_have_run:
            request_class = CLASSES[request.class_index]
            assert request_class.repeat is Repeat.SAFE or (
                request_class.repeat is Repeat.KEYED and request_class.scope is KeyScope.ALL
            )

    def check_state(self) -> None:
        """Compare the sums with the loads under way, and look for requests that were forgotten."""
        sums = self.driver.balancer.sums()
        assert all(total >= 0 for total in sums.values())
        if not self.grouped:
            loads_by_server: Counter[str] = Counter()
            for name, (_, server_id, _at) in self.under_way.items():
                loads_by_server[server_id] += self.loads[name]
            assert {k: v for k, v in sums.items() if v} == {k: v for k, v in loads_by_server.items() if v}
        for name in self.unanswered:
            assert name in self.under_way, "a request has neither an answer nor an attempt"

    loads: dict[str, int]  # of each request, by its name; set by the test

    def step(self) -> None:
        """Let some time pass and send one random event, after the time-outs that are due."""
        rng, draw = self.rng, self.rng.random()
        self.driver.now += rng.choice([0.0, 1.0, 20.0, 150.0])
        overdue = [
            n
            for n in self.under_way
            if n not in self.established and self.driver.now >= self.deadline.get(n, 1e99)
        ]
        for name in overdue:
            self.end_attempt(name, Result.TIMEOUT)
        if draw < 0.35:
            self.request_count += 1
            hint = rng.choice([None, 1.0, 500.0, 1e6])
            name = f"r{self.request_count}"
            request = Request(
                name,
                rng.randrange(len(CLASSES)),
                rng.choice([0.0, 50.0, 1200.0]),
                rng.randrange(1),
                hint,
                None,
                rng.choice([None, "g", "h"]) if self.grouped else None,
            )
            self.unanswered[name], self.deadline[name] = request, self.driver.now + request.budget
            if hint is None:
                self.loads[name] = -1
            else:
                self.loads[name] = round(hint)
            before = dict(self.driver.balancer.sums())
            self.feed(RequestArrived(request))
            if self.loads[name] < 0 and name in self.under_way:
                server_id = self.under_way[name][1]
                self.loads[name] = self.driver.balancer.sums()[server_id] - before.get(server_id, 0)
        elif draw < 0.55 and self.under_way:
            name = rng.choice(sorted(self.under_way))
            if name not in self.established:
                number, server_id, at = self.under_way[name]
                self.established.add(name)
                self.unanswered.pop(name, None)  # an established connection is the answer
                self.feed(ConnectionUp(name, number, server_id, self.driver.now - at))
        elif draw < 0.75 and self.under_way:
            self.end_attempt(rng.choice(sorted(self.under_way)), rng.choice(list(Result)))
        elif draw < 0.8 and self.under_way:
            name = rng.choice(sorted(self.under_way))
            number, server_id, _ = self.under_way[name]
            if rng.random() < 0.5:
                self.loads[name] = rng.randrange(10**6)
                self.feed(LoadReported(name, number, server_id, float(self.loads[name])))
            else:
                self.feed(DelayReported(name, number, server_id, rng.choice([1.0, 25.0, 900.0])))
        elif draw < 0.85 and self.unanswered:
            name = rng.choice(sorted(self.unanswered))
            self.feed(ClientLeft(name), ended=name)
        elif draw < 0.95:
            self.change_server_list()
        elif draw < 0.97:
            self.feed(ServerListFailed())
        else:  # events of requests that the balancer does not hold
            unknown_events: list[Event] = [
                TimerFired(987654),
                ClientLeft("nobody"),
                ConnectionUp("nobody", 0, "s0", 1.0),
                AttemptEnded("nobody", 0, "s0", False, 1.0, Result.ERROR),
                LoadReported("nobody", 0, "s0", 5.0),
            ]
            self.feed(rng.choice(unknown_events))
        self.check_state()

    def end_attempt(self, name: str, result: Result) -> None:
        number, server_id, at = self.under_way.pop(name)
        if name in self.established or result is Result.OK:
            closed = True
        else:
            closed = name not in self.unanswered
            if result not in NEVER_RAN:
                self.may_have_run.setdefault(name, (self.servers[server_id], at))
        self.established.discard(name)
        event = AttemptEnded(name, number, server_id, closed, self.driver.now - at, result)
        if closed:
            self.feed(event, ended=name)
        else:
            self.feed(event)

    def change_server_list(self) -> None:
        rng = self.rng
        names = rng.sample([f"s{n}" for n in range(7)], rng.randrange(0, 6))
        whole = rng.random() < 0.4
        entries = []
        for name in names:
            known = self.servers.get(name)
            state = rng.choice(
                [
                    ServerState.READY,
                    ServerState.READY,
                    ServerState.READY,
                    ServerState.DRAINING,
                    ServerState.GONE,
                ]
            )
            if whole and state is ServerState.GONE:
                state = ServerState.READY
            started_at = self.driver.now if rng.random() < 0.2 else (known.started_at if known else 0.0)
            number = int(name[1:])
            entries.append(Server(name, number % 2, 0, number % 3, state, 1.0, started_at))
        if whole:
            for name, known in self.servers.items():
                self.servers[name] = known._replace(state=ServerState.GONE)
        for entry in entries:
            self.servers[entry.id] = entry
        self.feed(
            ServerListChanged(ServerListKind.WHOLE if whole else ServerListKind.CHANGES, tuple(entries))
        )


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.booleans(), st.integers(1, 6))
def test_rules_hold_on_arbitrary_legal_events(seed: int, grouped: bool, attempts: int) -> None:
    config = make_settings(CLASSES, groups_share_work=grouped, max_attempts=attempts)
    checker = RuleChecker(random.Random(seed), grouped, config)
    checker.loads = {}
    for _ in range(150):
        checker.step()
    for name in sorted(checker.under_way):  # all attempts end, and no request may be left unanswered
        if name in checker.under_way:
            checker.driver.now = max(checker.driver.now, checker.deadline[name])
            checker.end_attempt(name, Result.TIMEOUT)
    assert not checker.unanswered
    assert not any(checker.driver.balancer.sums().values())
