"""The design: least sum of hints, and what stands for a missing one."""

from __future__ import annotations

from switchhub.decision.interface import (
    Attempt,
    ConnectionAdopted,
    LoadReported,
    Request,
    Result,
    ServerListKind,
    ServerState,
)
from tests.balancer_driver import BalancerDriver, make_server, make_settings


def crossing_free() -> BalancerDriver:
    """Everything in one other zone, so that only sums decide."""
    return BalancerDriver(make_settings(zone=9))


def test_goes_where_the_sum_is_least() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    for where, load in (("a", 300.0), ("b", 200.0), ("c", 400.0)):
        world.adopt(where, load)
    assert world.server_of(world.send_request(50.0)) == "b"
    assert world.server_of(world.send_request(100.0)) == "b"
    assert world.balancer.sums() == {"a": 300, "b": 350, "c": 400}
    assert world.server_of(world.send_request(10.0)) == "a"


def test_sum_falls_at_the_end_and_at_a_failed_set_up() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"))
    request = world.send_request(500.0)
    assert world.balancer.sums() == {"a": 500}
    world.establish(request)
    world.end_attempt(request, Result.OK)
    assert world.balancer.sums() == {"a": 0}
    refused = world.send_request(700.0)
    world.end_attempt(refused, Result.FULL)
    assert world.balancer.sums()["a"] in (0, 700)  # 700 only if it was tried there again
    assert world.balancer.sums()["a"] == 700 * len(world.last_of(Attempt))


def test_missing_hint_is_the_mean_lately_seen() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"))
    world.open_connection(400.0)
    world.open_connection(None)
    assert world.balancer.sums() == {"a": 800}
    bare = crossing_free()
    bare.update_server_list(make_server("a"))
    bare.open_connection(None)
    assert bare.balancer.sums() == {"a": 1}, "something: a sum of nothing would tell no server apart"


def test_ties_break_at_random_and_by_the_seed() -> None:
    def first(seed: int) -> str:
        world = BalancerDriver(make_settings(zone=9), seed)
        world.update_server_list(*(make_server(name) for name in "abcdefgh"))
        return world.server_of(world.send_request())

    chosen = [first(seed) for seed in range(40)]
    assert len(set(chosen)) > 4
    assert chosen == [first(seed) for seed in range(40)]


def test_connections_open_at_the_start_count() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"), make_server("b"), kind=ServerListKind.REMEMBERED)
    world.adopt("a", 900.0)
    assert world.server_of(world.send_request(10.0)) == "b"


def test_adopted_at_a_server_off_the_list_is_counted_and_draws_nothing() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"))
    world.feed(ConnectionAdopted(Request("x", 0, 0.0, hint=10.0), "ghost"))
    assert world.balancer.sums()["ghost"] == 10
    for _ in range(5):
        assert world.server_of(world.send_request(1000.0)) == "a"


def test_told_load_takes_the_place_of_the_hint() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"), make_server("b"))
    request = world.adopt("a", 500.0)
    world.feed(LoadReported(request, 0, "a", 2000.0))
    assert world.balancer.sums()["a"] == 2000
    world.feed(LoadReported(request, 3, "a", 9.0))  # another attempt's news
    world.feed(LoadReported("nobody", 0, "a", 9.0))
    assert world.balancer.sums()["a"] == 2000


def test_draining_server_keeps_its_connections_in_the_sum() -> None:
    world = crossing_free()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("a", 500.0)
    world.update_server_list(make_server("a", state=ServerState.DRAINING), kind=ServerListKind.CHANGES)
    assert world.balancer.sums()["a"] == 500
