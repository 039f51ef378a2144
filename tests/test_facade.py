"""The facade: it translates both ways, and decides nothing."""

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


def facade(repeat: Repeat = Repeat.SAFE, *servers: str) -> Facade:
    made = Facade(make_settings(classes=(make_class(repeat),)), 1, 1000.0)
    made.report(1000.0, ServerList(ServerListKind.REMEMBERED, tuple(make_server(name) for name in servers)))
    return made


def request(name: str = "r", hint: float = 1000.0) -> Request:
    return Request(name, 0, 1200.0, 0, hint)


def test_the_list_is_asked_for_at_the_start_and_after_a_loss() -> None:
    made = facade()
    assert made.tick(1000.0).watch
    assert not made.tick(1001.0).watch
    made.report(1100.0, ServerListLost())
    chores = made.tick(1100.0)
    assert chores.notes == ["roster lost, asking again"]
    assert not chores.watch
    assert made.tick(11_000.0).watch


def test_a_request_goes_on_until_it_stands() -> None:
    made = facade(Repeat.SAFE, "a", "b")
    first = made.pick(1000.0, request())
    assert isinstance(first, Send)
    made.report(1010.0, Ended("r", 10.0, Result.UNREACHABLE, False))
    second = made.pick(1010.0, request())
    assert isinstance(second, Send)
    assert {first.server, second.server} == {"a", "b"}
    made.report(1020.0, Up("r", 10.0))
    made.report(1030.0, Load("r", 5000.0))
    made.report(2000.0, Ended("r", 980.0, Result.OK, True))
    with pytest.raises(KeyError):
        made.report(2001.0, Load("r", 1.0))


def test_no_second_pick_while_an_attempt_is_out() -> None:
    made = facade(Repeat.SAFE, "a")
    made.pick(1000.0, request())
    with pytest.raises(RuntimeError):
        made.pick(1001.0, request())


def test_final_answers() -> None:
    assert facade().pick(1000.0, request()) == Refused(0.0)
    made = facade(Repeat.UNSAFE, "a", "b")
    made.pick(1000.0, request())
    made.report(1010.0, Ended("r", 10.0, Result.RESET, False))
    assert made.pick(1010.0, request()) == Failed()


def test_a_client_that_left_is_owed_nothing() -> None:
    made = facade(Repeat.SAFE, "a", "b")
    made.pick(1000.0, request())
    made.report(1010.0, Left("r"))
    made.report(1010.0, Ended("r", 10.0, Result.CANCELLED, True))
    assert isinstance(made.pick(1020.0, request()), Send)


def test_moves_come_as_chores_once() -> None:
    made = facade(Repeat.SAFE, "a", "b")
    made.report(1000.0, Adopted(request("old"), "a"))
    made.report(1100.0, ServerList(ServerListKind.CHANGES, (make_server("a", state=ServerState.DRAINING),)))
    assert made.tick(1100.0).moves == ["old"]
    assert made.tick(1120.0).moves == []


def test_long_delays_are_told_once_a_second_and_their_end_once() -> None:
    made = facade(Repeat.SAFE, "a", "b")
    for number in range(20):
        made.report(1000.0, Adopted(request(f"r{number}"), "a"))
    moves = []
    for now in range(2000, 4000, 100):
        made.report(float(now), Delay("r0", 500.0))
        moves.append(len(made.tick(float(now)).moves))
    assert [at for at, count in enumerate(moves) if count] == [0, 9, 18]
    made.report(4000.0, Delay("r0", 1.0))
    assert made.tick(4000.0).moves == []
