"""The design: least sum of hints, and what stands for a missing one."""

from __future__ import annotations

from switchhub.decision.interface import (
    Attempt,
    ConnectionAdopted,
    LoadTold,
    Request,
    Result,
    RosterKind,
    State,
)
from tests.world import World, make_settings, server


def crossing_free() -> World:
    """Everything in one other zone, so that only sums decide."""
    return World(make_settings(zone=9))


def test_goes_where_the_sum_is_least() -> None:
    world = crossing_free()
    world.roster(server("a"), server("b"), server("c"))
    for where, load in (("a", 300.0), ("b", 200.0), ("c", 400.0)):
        world.adopt(where, load)
    assert world.where(world.ask(50.0)) == "b"
    assert world.where(world.ask(100.0)) == "b"
    assert world.balancer.sums() == {"a": 300, "b": 350, "c": 400}
    assert world.where(world.ask(10.0)) == "a"


def test_sum_falls_at_the_end_and_at_a_failed_set_up() -> None:
    world = crossing_free()
    world.roster(server("a"))
    request = world.ask(500.0)
    assert world.balancer.sums() == {"a": 500}
    world.up(request)
    world.end(request, Result.OK)
    assert world.balancer.sums() == {"a": 0}
    refused = world.ask(700.0)
    world.end(refused, Result.FULL)
    assert world.balancer.sums()["a"] in (0, 700)  # 700 only if it was tried there again
    assert world.balancer.sums()["a"] == 700 * len(world.did(Attempt))


def test_missing_hint_is_the_mean_lately_seen() -> None:
    world = crossing_free()
    world.roster(server("a"))
    world.stand(400.0)
    world.stand(None)
    assert world.balancer.sums() == {"a": 800}
    bare = crossing_free()
    bare.roster(server("a"))
    bare.stand(None)
    assert bare.balancer.sums() == {"a": 1}, "something: a sum of nothing would tell no server apart"


def test_ties_break_at_random_and_by_the_seed() -> None:
    def first(seed: int) -> str:
        world = World(make_settings(zone=9), seed)
        world.roster(*(server(name) for name in "abcdefgh"))
        return world.where(world.ask())

    chosen = [first(seed) for seed in range(40)]
    assert len(set(chosen)) > 4
    assert chosen == [first(seed) for seed in range(40)]


def test_connections_open_at_the_start_count() -> None:
    world = crossing_free()
    world.roster(server("a"), server("b"), kind=RosterKind.REMEMBERED)
    world.adopt("a", 900.0)
    assert world.where(world.ask(10.0)) == "b"


def test_adopted_at_a_server_off_the_list_is_counted_and_draws_nothing() -> None:
    world = crossing_free()
    world.roster(server("a"))
    world.feed(ConnectionAdopted(Request("x", 0, 0.0, hint=10.0), "ghost"))
    assert world.balancer.sums()["ghost"] == 10
    for _ in range(5):
        assert world.where(world.ask(1000.0)) == "a"


def test_told_load_takes_the_place_of_the_hint() -> None:
    world = crossing_free()
    world.roster(server("a"), server("b"))
    request = world.adopt("a", 500.0)
    world.feed(LoadTold(request, 0, "a", 2000.0))
    assert world.balancer.sums()["a"] == 2000
    world.feed(LoadTold(request, 3, "a", 9.0))  # another attempt's news
    world.feed(LoadTold("nobody", 0, "a", 9.0))
    assert world.balancer.sums()["a"] == 2000


def test_draining_server_keeps_its_connections_in_the_sum() -> None:
    world = crossing_free()
    world.roster(server("a"), server("b"))
    world.adopt("a", 500.0)
    world.roster(server("a", state=State.DRAINING), kind=RosterKind.CHANGES)
    assert world.balancer.sums()["a"] == 500
