"""Arbitrary legal events: rules 1 to 3 hold, and the sums are what stands."""

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


class Judge:
    """Plays legal events at random and holds each action against the rules."""

    def __init__(self, rng: random.Random, grouped: bool, config: Settings) -> None:
        self.rng, self.grouped = rng, grouped
        self.world = BalancerDriver(config, rng.randrange(1 << 30), rng.choice([0.0, 1e9]))
        self.servers: dict[str, Server] = {}
        self.open: dict[str, Request] = {}  # owed a final answer
        self.deadline: dict[str, float] = {}
        self.out: dict[str, tuple[int, str, float]] = {}  # attempt, server, sent at
        self.up: set[str] = set()
        self.doubt: dict[str, tuple[Server, float]] = {}  # first attempt that may have run
        self.count = 0

    def feed(self, event: Event, ended: str | None = None) -> None:
        if ended is not None:
            self.open.pop(ended, None)
        for action in self.world.feed(event):
            if isinstance(action, Attempt):
                self.check_attempt(action)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(action)
            elif isinstance(action, Move):
                assert action.request in self.up

    def check_attempt(self, action: Attempt) -> None:
        name, now = action.request, self.world.now
        assert name in self.open, "an attempt after the end"
        assert name not in self.out, "two attempts at once"
        target = self.servers[action.server]
        assert target.state is ServerState.READY, "sent to a server told to drain"
        assert now < self.deadline[name]
        assert 0 < action.timeout <= self.deadline[name] - now + 1e-6
        number = self.world.attempts[name]
        assert number < self.world.settings.max_attempts
        kind = CLASSES[self.open[name].class_index]
        if name in self.doubt and kind.repeat is not Repeat.SAFE:
            first, at = self.doubt[name]
            assert kind.repeat is Repeat.KEYED
            assert now - at <= kind.window
            assert kind.scope is not KeyScope.ZONE or target.zone == first.zone
            assert kind.scope is not KeyScope.CELL or target.cell == first.cell
        self.out[name] = (number, action.server, now)

    def check_answer(self, action: Refuse | Fail) -> None:
        request = self.open.pop(action.request)  # KeyError: a second final answer
        assert action.request not in self.out
        if isinstance(action, Refuse) and action.request in self.doubt:
            kind = CLASSES[request.class_index]
            assert kind.repeat is Repeat.SAFE or (kind.repeat is Repeat.KEYED and kind.scope is KeyScope.ALL)

    def check_state(self) -> None:
        sums = self.world.balancer.sums()
        assert all(total >= 0 for total in sums.values())
        if not self.grouped:
            stands: Counter[str] = Counter()
            for name, (_, where, _at) in self.out.items():
                stands[where] += self.loads[name]
            assert {k: v for k, v in sums.items() if v} == {k: v for k, v in stands.items() if v}
        for name in self.open:
            assert name in self.out, "a request is held with nothing under way"

    loads: dict[str, int]

    def step(self) -> None:
        rng, draw = self.rng, self.rng.random()
        self.world.now += rng.choice([0.0, 1.0, 20.0, 150.0])
        overdue = [n for n in self.out if n not in self.up and self.world.now >= self.deadline.get(n, 1e99)]
        for name in overdue:
            self.finish(name, Result.TIMEOUT)
        if draw < 0.35:
            self.count += 1
            hint = rng.choice([None, 1.0, 500.0, 1e6])
            name = f"r{self.count}"
            request = Request(
                name,
                rng.randrange(len(CLASSES)),
                rng.choice([0.0, 50.0, 1200.0]),
                rng.randrange(1),
                hint,
                None,
                rng.choice([None, "g", "h"]) if self.grouped else None,
            )
            self.open[name], self.deadline[name] = request, self.world.now + request.budget
            if hint is None:
                self.loads[name] = -1
            else:
                self.loads[name] = round(hint)
            before = dict(self.world.balancer.sums())
            self.feed(RequestArrived(request))
            if self.loads[name] < 0 and name in self.out:
                where = self.out[name][1]
                self.loads[name] = self.world.balancer.sums()[where] - before.get(where, 0)
        elif draw < 0.55 and self.out:
            name = rng.choice(sorted(self.out))
            if name not in self.up:
                number, where, at = self.out[name]
                self.up.add(name)
                self.open.pop(name, None)  # the stream is its own answer from here
                self.feed(ConnectionUp(name, number, where, self.world.now - at))
        elif draw < 0.75 and self.out:
            self.finish(rng.choice(sorted(self.out)), rng.choice(list(Result)))
        elif draw < 0.8 and self.out:
            name = rng.choice(sorted(self.out))
            number, where, _ = self.out[name]
            if rng.random() < 0.5:
                self.loads[name] = rng.randrange(10**6)
                self.feed(LoadReported(name, number, where, float(self.loads[name])))
            else:
                self.feed(DelayReported(name, number, where, rng.choice([1.0, 25.0, 900.0])))
        elif draw < 0.85 and self.open:
            name = rng.choice(sorted(self.open))
            self.feed(ClientLeft(name), ended=name)
        elif draw < 0.95:
            self.change_roster()
        elif draw < 0.97:
            self.feed(ServerListFailed())
        else:  # news of things that are not held
            strangers: list[Event] = [
                TimerFired(987654),
                ClientLeft("nobody"),
                ConnectionUp("nobody", 0, "s0", 1.0),
                AttemptEnded("nobody", 0, "s0", False, 1.0, Result.ERROR),
                LoadReported("nobody", 0, "s0", 5.0),
            ]
            self.feed(rng.choice(strangers))
        self.check_state()

    def finish(self, name: str, result: Result) -> None:
        number, where, at = self.out.pop(name)
        if name in self.up or result is Result.OK:
            closed = True
        else:
            closed = name not in self.open
            if result not in NEVER_RAN:
                self.doubt.setdefault(name, (self.servers[where], at))
        self.up.discard(name)
        event = AttemptEnded(name, number, where, closed, self.world.now - at, result)
        if closed:
            self.feed(event, ended=name)
        else:
            self.feed(event)

    def change_roster(self) -> None:
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
            born = self.world.now if rng.random() < 0.2 else (known.started_at if known else 0.0)
            number = int(name[1:])
            entries.append(Server(name, number % 2, 0, number % 3, state, 1.0, born))
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
    judge = Judge(random.Random(seed), grouped, config)
    judge.loads = {}
    for _ in range(150):
        judge.step()
    for name in sorted(judge.out):  # everything ends; nothing may be left owed
        if name in judge.out:
            judge.world.now = max(judge.world.now, judge.deadline[name])
            judge.finish(name, Result.TIMEOUT)
    assert not judge.open
    assert not any(judge.world.balancer.sums().values())
