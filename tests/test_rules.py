"""The four rules, each kept by one balancer alone."""

from __future__ import annotations

import pytest

from switchhub.decision.interface import (
    Attempt,
    ClientLeft,
    Fail,
    Refuse,
    Repeat,
    Result,
    RosterFailed,
    RosterKind,
    Scope,
    State,
    WatchRoster,
)
from tests.world import World, make_class, make_settings, server

MAY_HAVE_RUN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.UNREACHABLE, Result.NOT_SENT]


def with_class(repeat: Repeat, scope: Scope = Scope.ALL, window: float = 5000.0) -> World:
    return World(make_settings((make_class(repeat, scope, window),)))


# Rule 1: one final answer.


def test_empty_roster_refuses_at_once() -> None:
    world = World()
    world.ask()
    assert [type(action) for action in world.last] == [Refuse]


def test_time_out_at_the_deadline_is_answered_in_that_moment() -> None:
    world = World()
    world.roster(server("a"), server("b"))
    request = world.ask(budget=500.0)
    world.wait(500.0)
    world.end(request, Result.TIMEOUT)
    assert len(world.did(Refuse) + world.did(Fail)) == 1
    assert not world.did(Attempt)
    world.end(request, Result.TIMEOUT)
    assert not world.last


def test_client_that_left_is_owed_nothing() -> None:
    world = World()
    world.roster(server("a"), server("b"))
    request = world.ask(700.0)
    where = world.where(request)
    world.feed(ClientLeft(request))
    assert not world.last
    assert world.balancer.sums()[where] == 700
    world.end(request, Result.ERROR)
    assert not world.did(Attempt) and not world.did(Refuse) and not world.did(Fail)
    assert world.balancer.sums()[where] == 0


def test_all_servers_failing_ends_in_one_answer_within_the_attempt_limit() -> None:
    world = World()
    world.roster(*(server(name) for name in "abcdef"))
    request = world.ask()
    sent = 1
    for _ in range(20):
        world.end(request, Result.ERROR)
        sent += len(world.did(Attempt))
        if world.did(Refuse):
            break
    assert sent <= world.settings.max_attempts
    assert len([a for a in world.actions if isinstance(a, Refuse | Fail)]) == 1


# Rule 2: no effect twice.


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_unsafe_that_may_have_run_is_neither_sent_nor_refused_again(result: Result) -> None:
    world = with_class(Repeat.UNSAFE)
    world.roster(server("a"), server("b"))
    world.end(world.ask(), result)
    assert world.did(Fail) and not world.did(Attempt) and not world.did(Refuse)


@pytest.mark.parametrize("result", NEVER_RAN)
def test_unsafe_that_never_ran_goes_on(result: Result) -> None:
    world = with_class(Repeat.UNSAFE)
    world.roster(server("a"), server("b"))
    world.end(world.ask(), result)
    assert world.did(Attempt)


@pytest.mark.parametrize(("waited", "answer"), [(100.0, Refuse), (600.0, Fail)])
def test_a_refusal_past_the_window_would_promise_what_no_server_keeps(waited: float, answer: type) -> None:
    """Danger: nobody drops the repeat of a keyed request any more, and the client is told that it may try."""
    world = World(make_settings((make_class(Repeat.KEYED, Scope.ALL, window=500.0),), max_attempts=1))
    world.roster(server("a"), server("b"))
    request = world.ask()
    world.wait(waited)
    world.end(request, Result.RESET, elapsed=waited)
    assert world.did(answer)


def test_unsafe_once_in_doubt_stays_in_doubt() -> None:
    world = with_class(Repeat.KEYED, Scope.CELL)
    world.roster(server("a", cell=1), server("b", cell=1), server("c", cell=2))
    request = world.ask()
    cell = {"a": 1, "b": 1, "c": 2}
    world.end(request, Result.RESET)
    first = cell[next(a for a in world.actions if isinstance(a, Attempt)).server]
    for attempt in world.did(Attempt):
        assert cell[attempt.server] == first
        world.end(request, Result.FULL)  # this one never ran, the first still may have
    assert not world.did(Refuse)


@pytest.mark.parametrize(("scope", "same"), [(Scope.ZONE, "b"), (Scope.CELL, "c")])
def test_keyed_stays_in_its_group(scope: Scope, same: str) -> None:
    for seed in range(10):
        world = World(make_settings((make_class(Repeat.KEYED, scope),), zone=9), seed)
        world.roster(server("a", 1, 1), server("b", 1, 2), server("c", 2, 1), server("d", 2, 2))
        for name in "bcd":
            world.adopt(name)
        request = world.ask()
        assert world.where(request) == "a"
        world.end(request, Result.RESET)
        assert [attempt.server for attempt in world.did(Attempt)] == [same]


def test_keyed_outside_its_window_fails() -> None:
    world = with_class(Repeat.KEYED, Scope.ZONE, window=100.0)
    world.roster(server("a"), server("b"))
    request = world.ask()
    world.wait(150.0)
    world.end(request, Result.TIMEOUT, elapsed=150.0)
    assert world.did(Fail) and not world.did(Attempt)


def test_keyed_in_all_servers_may_be_refused_within_its_window() -> None:
    world = with_class(Repeat.KEYED, Scope.ALL, window=2000.0)
    world.roster(server("a"))
    request = world.ask()
    world.wait(1300.0)  # past its client's time
    world.end(request, Result.TIMEOUT, elapsed=1300.0)
    assert world.did(Refuse)


def test_one_attempt_at_a_time() -> None:
    world = World()
    world.roster(server("a"), server("b"))
    world.ask()
    assert len(world.did(Attempt)) == 1
    world.wait(1000.0)
    assert len([a for a in world.actions if isinstance(a, Attempt)]) == 1


# Rule 3: drains.


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_nothing_goes_to_a_server_told_to_drain(state: State) -> None:
    world = World()
    world.roster(server("a"), server("b"))
    world.adopt("b", 100000.0)
    world.roster(server("a", state=state), kind=RosterKind.CHANGES)
    assert world.where(world.ask(10.0)) == "b"


def test_server_left_out_of_a_whole_list_is_gone() -> None:
    world = World()
    world.roster(server("a"), server("b"))
    world.roster(server("b"))
    for _ in range(4):
        assert world.where(world.ask(1000.0)) == "b"
    world.roster()
    world.ask()
    assert world.did(Refuse)


def test_roster_is_watched_from_the_start_and_asked_again_in_time() -> None:
    world = World()
    assert any(isinstance(action, WatchRoster) for action in world.actions)
    longest = 0.0
    for _ in range(12):
        before = world.now
        world.feed(RosterFailed())
        world.wait(world.timers[-1][0] - world.now)
        assert any(isinstance(action, WatchRoster) for action in world.last)
        longest = max(longest, world.now - before)
    assert 0 < longest <= 3 * world.settings.ask_within


# Rule 4: cold servers.


def test_cold_server_is_filled_slowly_and_within_its_budget() -> None:
    world = World(make_settings(zone=9))
    world.roster(server("a"), server("b"), server("c"))
    for name in "abc":
        for _ in range(20):
            world.adopt(name, 1000.0)
    world.roster(server("new", born=world.now), kind=RosterKind.CHANGES)
    sent: list[float] = []
    start = world.now
    for _ in range(160):
        world.wait(50.0)
        if world.stand(1000.0) == "new":
            sent.append(world.now)
        age = world.now - start
        peer = sorted(world.balancer.sums()[name] for name in "abc")[1]
        if age < world.settings.cold_time:
            start_share = world.settings.cold_share
            share = start_share + (1 - start_share) * age / world.settings.cold_time
            allowed = (
                world.settings.fall_multiple
                * share
                * peer
                * (world.settings.fall_time / world.settings.cold_time)
            )
            recent = [at for at in sent if at > world.now - world.settings.fall_time]
            assert 1000.0 * len(recent) <= allowed + 1000.0  # rounded by lot to a whole connection
            assert world.balancer.sums()["new"] <= peer * share + 1000
    assert sent, "it is filled all the same"


def test_many_small_hints_do_not_slip_through_the_cold_budget() -> None:
    """Incident: only small hints fitted the budget, and a crowd of them pushed a server over."""
    world = World(make_settings(zone=9))
    world.roster(server("a"), server("b"))
    for name in "ab":
        for _ in range(20):
            world.adopt(name, 1000.0)
    world.roster(server("new", born=world.now), kind=RosterKind.CHANGES)
    world.wait(4000.0)
    sent = sum(world.stand(10.0) == "new" for _ in range(100))
    assert 0 < sent <= 10


def test_failed_set_ups_count_in_the_cold_budget() -> None:
    world = World(make_settings(zone=9, max_attempts=50))
    world.roster(server("a"), server("b"))
    for name in "ab":
        for _ in range(20):
            world.adopt(name, 1000.0)
    world.roster(server("new", born=world.now), kind=RosterKind.CHANGES)
    world.wait(4000.0)
    sent = 0
    for _ in range(60):
        request = world.ask(1000.0)
        if world.where(request) == "new":
            sent += 1
            world.end(request, Result.FULL)
        world.up(request)
    assert 0 < sent <= 10
