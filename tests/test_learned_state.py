"""What one process of a balancer learns is what the next one goes on with."""

from __future__ import annotations

from switchhub.decision.interface import (
    Attempt,
    ConnectionAdopted,
    DrainEnded,
    DrainStarted,
    LearnedState,
    Refuse,
    Request,
    Result,
    ServerListKind,
)
from tests.balancer_driver import BalancerDriver, make_server


def next_process(world: BalancerDriver, learns: bool = True) -> BalancerDriver:
    """A new process at this moment: it adopts what stands, and learns what the old one knew."""
    new = BalancerDriver(world.settings, seed=99, now=world.now)
    old = world.balancer
    new.update_server_list(*(node.server for node in old._records.values()), kind=ServerListKind.REMEMBERED)
    for name, conn in old._connections.items():
        if conn.record is not None:
            request = Request(name, 0, 0.0, 0, float(conn.load), None, conn.group)
            new.feed(ConnectionAdopted(request, conn.record.id))
    if learns:
        new.feed(old.learned_state())
    return new


def test_sums_are_the_same_on_both_sides() -> None:
    world = BalancerDriver()
    world.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    for hint in range(100, 2000, 130):
        world.open_connection(float(hint))
    assert next_process(world).balancer.sums() == world.balancer.sums()


def test_the_cold_budget_is_one_for_both() -> None:
    """Rule 4. Danger: each process by itself keeps within the budget, and together they push it over."""

    def sent(learns: bool) -> int:
        world = BalancerDriver(now=100_000.0)
        world.update_server_list(make_server("a"), make_server("cold", started_at=world.now - 100.0))
        for _ in range(30):
            world.open_connection()
        for node in world.balancer._records.values():
            for name in list(node.connections):
                if node.id == "cold":  # they end at once; what was sent still counts
                    world.end_attempt(name, Result.OK)
        assert world.balancer._records["cold"].cold_sends
        new = next_process(world, learns)
        return sum(new.open_connection() == "cold" for _ in range(10))

    assert sent(learns=False) > 0
    assert sent(learns=True) < sent(learns=False)


def test_a_limit_and_a_server_set_aside_are_known_from_the_start() -> None:
    world = BalancerDriver()
    world.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    first = [world.send_request() for _ in range(6)]
    for each in first:
        world.establish(each)
    strained = next(each for each in first if world.server_of(each) == "a")
    world.report_delay(strained, "a", 59.0)
    sick = next(each for each in first if world.server_of(each) == "b")
    world.end_attempt(sick, Result.TIMEOUT, closed=True)
    assert {next_process(world).open_connection() for _ in range(4)} == {"c"}
    blank = next_process(world, learns=False)
    assert {blank.open_connection() for _ in range(9)} == {"a", "b", "c"}


def test_what_is_known_of_servers_that_are_not_listed_is_passed_over() -> None:
    world = BalancerDriver()
    world.update_server_list(make_server("a"))
    world.open_connection()
    learnt = world.balancer.learned_state()
    other = BalancerDriver()
    other.update_server_list(make_server("b"))
    other.feed(LearnedState(*learnt[:4], learnt.servers))
    assert other.balancer.sums() == {"b": 0}
    assert other.open_connection() == "b"


def drained_and_back(restored: bool = True) -> BalancerDriver:
    """Ten connections at each of two servers, all given away while both tell of strain, and work again."""
    world = BalancerDriver()
    world.update_server_list(make_server("a"), make_server("b"))
    held = [world.send_request() for _ in range(20)]
    for each in held:
        world.establish(each)
    world.feed(DrainStarted())
    for each in held:
        world.report_delay(each, world.server_of(each), 30.0)
        world.end_attempt(each, Result.CANCELLED, closed=True)
    if restored:
        world.feed(DrainEnded())
    return world


def test_what_a_drain_left_is_no_limit() -> None:
    """Danger: a balancer that was drained refused half of those that the next one moved off in its drain."""
    world = drained_and_back()
    for _ in range(20):
        world.send_request()
        assert world.last_of(Attempt) and not world.last_of(Refuse)
    blocked = drained_and_back(restored=False)
    asked = [blocked.send_request() for _ in range(60)]
    assert sum(name not in blocked.attempts for name in asked) > 0


def test_strain_told_after_a_drain_leaves_the_part_that_was_held_before() -> None:
    world = drained_and_back()
    one = world.send_request()
    world.establish(one)
    world.report_delay(one, world.server_of(one), 30.0)
    placed = [world.send_request() for _ in range(24)]
    assert all(name in world.attempts for name in placed)


def test_aims_missed_after_a_drain_cut_that_part_too() -> None:
    world = drained_and_back()
    one = world.send_request()
    world.establish(one)
    where = world.server_of(one)
    limits = []
    for _ in range(12):
        world.report_delay(one, where, 200.0)
        limits.append(world.balancer._records[where].limit)
        world.advance(1000.0)
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] < 0.2 * limits[0]
