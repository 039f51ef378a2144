"""What one process of a balancer learns is what the next one goes on with."""

from __future__ import annotations

from switchhub.decision.interface import (
    Attempt,
    ConnectionAdopted,
    Drained,
    Learnt,
    Refuse,
    Request,
    Restored,
    Result,
    RosterKind,
)
from tests.world import World, server


def next_process(world: World, learns: bool = True) -> World:
    """A new process at this moment: it adopts what stands, and learns what the old one knew."""
    new = World(world.settings, seed=99, now=world.now)
    old = world.balancer
    new.roster(*(node.server for node in old._nodes.values()), kind=RosterKind.REMEMBERED)
    for name, conn in old._conns.items():
        if conn.node is not None:
            request = Request(name, 0, 0.0, 0, float(conn.load), None, conn.group)
            new.feed(ConnectionAdopted(request, conn.node.id))
    if learns:
        new.feed(old.learnt())
    return new


def test_sums_are_the_same_on_both_sides() -> None:
    world = World()
    world.roster(server("a"), server("b"), server("c"))
    for hint in range(100, 2000, 130):
        world.stand(float(hint))
    assert next_process(world).balancer.sums() == world.balancer.sums()


def test_the_cold_budget_is_one_for_both() -> None:
    """Rule 4. Danger: each process by itself keeps within the budget, and together they push it over."""

    def sent(learns: bool) -> int:
        world = World(now=100_000.0)
        world.roster(server("a"), server("cold", born=world.now - 100.0))
        for _ in range(30):
            world.stand()
        for node in world.balancer._nodes.values():
            for name in list(node.held):
                if node.id == "cold":  # they end at once; what was sent still counts
                    world.end(name, Result.OK)
        assert world.balancer._nodes["cold"].sent
        new = next_process(world, learns)
        return sum(new.stand() == "cold" for _ in range(10))

    assert sent(learns=False) > 0
    assert sent(learns=True) < sent(learns=False)


def test_a_limit_and_a_server_set_aside_are_known_from_the_start() -> None:
    world = World()
    world.roster(server("a"), server("b"), server("c"))
    first = [world.ask() for _ in range(6)]
    for each in first:
        world.up(each)
    strained = next(each for each in first if world.where(each) == "a")
    world.strain(strained, "a", 59.0)
    sick = next(each for each in first if world.where(each) == "b")
    world.end(sick, Result.TIMEOUT, closed=True)
    assert {next_process(world).stand() for _ in range(4)} == {"c"}
    blank = next_process(world, learns=False)
    assert {blank.stand() for _ in range(9)} == {"a", "b", "c"}


def test_what_is_known_of_servers_that_are_not_listed_is_passed_over() -> None:
    world = World()
    world.roster(server("a"))
    world.stand()
    learnt = world.balancer.learnt()
    other = World()
    other.roster(server("b"))
    other.feed(Learnt(*learnt[:4], learnt.servers))
    assert other.balancer.sums() == {"b": 0}
    assert other.stand() == "b"


def drained_and_back(restored: bool = True) -> World:
    """Ten connections at each of two servers, all given away while both tell of strain, and work again."""
    world = World()
    world.roster(server("a"), server("b"))
    held = [world.ask() for _ in range(20)]
    for each in held:
        world.up(each)
    world.feed(Drained())
    for each in held:
        world.strain(each, world.where(each), 30.0)
        world.end(each, Result.CANCELLED, closed=True)
    if restored:
        world.feed(Restored())
    return world


def test_what_a_drain_left_is_no_limit() -> None:
    """Danger: a balancer that was drained refused half of those that the next one moved off in its drain."""
    world = drained_and_back()
    for _ in range(20):
        world.ask()
        assert world.did(Attempt) and not world.did(Refuse)
    blocked = drained_and_back(restored=False)
    asked = [blocked.ask() for _ in range(60)]
    assert sum(name not in blocked.attempts for name in asked) > 0


def test_strain_told_after_a_drain_leaves_the_part_that_was_held_before() -> None:
    world = drained_and_back()
    one = world.ask()
    world.up(one)
    world.strain(one, world.where(one), 30.0)
    placed = [world.ask() for _ in range(24)]
    assert all(name in world.attempts for name in placed)


def test_aims_missed_after_a_drain_cut_that_part_too() -> None:
    world = drained_and_back()
    one = world.ask()
    world.up(one)
    where = world.where(one)
    limits = []
    for _ in range(12):
        world.strain(one, where, 200.0)
        limits.append(world.balancer._nodes[where].limit)
        world.wait(1000.0)
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] < 0.2 * limits[0]
