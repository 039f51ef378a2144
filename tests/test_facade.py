"""The facade: it translates observations and actions, and decides nothing itself."""

from __future__ import annotations

import pytest

from switchhub.decision.facade import (
    Adopted,
    Delay,
    Ended,
    Facade,
    Failed,
    Left,
    Load,
    Refused,
    Send,
    ServerList,
    ServerListLost,
    Up,
)
from switchhub.decision.interface import Repeat, Request, Result, ServerListKind, ServerState
from tests.balancer_driver import make_class, make_server, make_settings


def make_facade(repeat: Repeat = Repeat.SAFE, *servers: str) -> Facade:
    """A facade with one request class, which knows these servers."""
    facade = Facade(make_settings(classes=(make_class(repeat),)), 1, 1000.0)
    facade.report(1000.0, ServerList(ServerListKind.REMEMBERED, tuple(make_server(name) for name in servers)))
    return facade


def request(name: str = "r", hint: float = 1000.0) -> Request:
    return Request(name, 0, 1200.0, 0, hint)


def test_the_server_list_is_requested_at_the_start_and_after_a_failure() -> None:
    facade = make_facade()
    assert facade.tick(1000.0).watch
    assert not facade.tick(1001.0).watch
    facade.report(1100.0, ServerListLost())
    pending = facade.tick(1100.0)
    assert pending.notes == ["roster lost, asking again"]
    assert not pending.watch
    assert facade.tick(11_000.0).watch


def test_a_request_gets_attempts_until_its_connection_is_established() -> None:
    facade = make_facade(Repeat.SAFE, "a", "b")
    first = facade.pick(1000.0, request())
    assert isinstance(first, Send)
    facade.report(1010.0, Ended("r", 10.0, Result.UNREACHABLE, False))
    second = facade.pick(1010.0, request())
    assert isinstance(second, Send)
    assert {first.server, second.server} == {"a", "b"}
    facade.report(1020.0, Up("r", 10.0))
    facade.report(1030.0, Load("r", 5000.0))
    facade.report(2000.0, Ended("r", 980.0, Result.OK, True))
    with pytest.raises(KeyError):
        facade.report(2001.0, Load("r", 1.0))


def test_a_second_pick_during_an_attempt_is_an_error() -> None:
    facade = make_facade(Repeat.SAFE, "a")
    facade.pick(1000.0, request())
    with pytest.raises(RuntimeError):
        facade.pick(1001.0, request())


def test_a_request_without_a_server_is_refused_or_fails() -> None:
    assert make_facade().pick(1000.0, request()) == Refused(0.0)
    facade = make_facade(Repeat.UNSAFE, "a", "b")
    facade.pick(1000.0, request())
    facade.report(1010.0, Ended("r", 10.0, Result.RESET, False))
    assert facade.pick(1010.0, request()) == Failed()


def test_the_attempt_of_a_client_that_left_may_still_end() -> None:
    facade = make_facade(Repeat.SAFE, "a", "b")
    facade.pick(1000.0, request())
    facade.report(1010.0, Left("r"))
    facade.report(1010.0, Ended("r", 10.0, Result.CANCELLED, True))
    assert isinstance(facade.pick(1020.0, request()), Send)


def test_a_move_is_pending_once() -> None:
    facade = make_facade(Repeat.SAFE, "a", "b")
    facade.report(1000.0, Adopted(request("old"), "a"))
    facade.report(1100.0, ServerList(ServerListKind.CHANGES, (make_server("a", state=ServerState.DRAINING),)))
    assert facade.tick(1100.0).moves == ["old"]
    assert facade.tick(1120.0).moves == []


def test_long_delays_are_reported_once_a_second_and_their_end_once() -> None:
    facade = make_facade(Repeat.SAFE, "a", "b")
    for number in range(20):
        facade.report(1000.0, Adopted(request(f"r{number}"), "a"))
    moves = []  # how many connections are moved in each step of 100 ms
    for now in range(2000, 4000, 100):
        facade.report(float(now), Delay("r0", 500.0))
        moves.append(len(facade.tick(float(now)).moves))
    assert [step for step, count in enumerate(moves) if count] == [0, 9, 18]
    facade.report(4000.0, Delay("r0", 1.0))
    assert facade.tick(4000.0).moves == []
