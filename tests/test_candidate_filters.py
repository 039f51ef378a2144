"""Each exception, and each failure that was found, without the bench."""

from __future__ import annotations

import pytest

from switchhub.decision.interface import (
    Attempt,
    DelayReported,
    Move,
    Note,
    Refuse,
    Result,
    ServerListKind,
    ServerState,
    Tenant,
)
from tests.balancer_driver import BalancerDriver, make_class, make_server, make_settings


def far() -> BalancerDriver:
    """No server in our own zone, so that crossing narrows nothing."""
    return BalancerDriver(make_settings(zone=9))


# Health.


@pytest.mark.parametrize("result", [Result.RESET, Result.UNREACHABLE])
def test_a_set_up_that_breaks_off_sets_a_server_aside_the_second_time_only(result: Result) -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 9000.0)
    for _ in range(2):
        request = world.send_request()
        assert world.server_of(request) == "a", "a network may break one"
        world.end_attempt(request, result)
        assert world.server_of(request) == "b", "but the next attempt goes elsewhere"
        world.end_attempt(request, Result.CANCELLED, closed=True)
    for _ in range(5):
        assert world.open_connection() == "b"


def test_breaks_between_good_set_ups_set_nobody_aside() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 1e6)
    for _ in range(20):
        request = world.send_request()
        assert world.server_of(request) == "a"
        world.end_attempt(request, Result.RESET)
        world.end_attempt(request, Result.CANCELLED, closed=True)
        assert world.open_connection() == "a"
    assert not any(isinstance(action, Note) for action in world.actions)


def test_a_standing_connection_that_fell_silent_sets_its_server_aside() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 9000.0)
    held = world.adopt("a")
    world.end_attempt(held, Result.TIMEOUT, closed=True)
    assert world.last_of(Note)
    for _ in range(5):
        assert world.open_connection() == "b"


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT])
def test_failed_set_up_sets_a_server_aside(result: Result) -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 5000.0)
    request = world.send_request()
    assert world.server_of(request) == "a"
    world.end_attempt(request, result)
    assert world.server_of(request) == "b"
    for _ in range(5):
        assert world.open_connection() == "b"


def test_full_is_not_sick_but_takes_no_more_for_now() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 5000.0)
    request = world.send_request()
    world.end_attempt(request, Result.FULL)
    assert not world.last_of(Note)
    assert world.server_of(request) == "b"
    assert world.open_connection() == "b"
    world.advance(5000.0)
    assert world.open_connection() == "a"


def test_back_off_grows_and_lets_one_trial_through() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 1e9)
    waits = []
    for _ in range(4):
        request = world.send_request()
        assert world.server_of(request) == "a"
        world.end_attempt(request, Result.TIMEOUT)
        world.establish(request)
        since = world.now
        while True:
            world.advance(25.0)
            trial = world.send_request()
            if world.server_of(trial) == "a":
                break
            world.establish(trial)
        waits.append(world.now - since)
        other = world.send_request()
        assert world.server_of(other) == "b", "one trial at a time"
        world.establish(other)
        world.end_attempt(trial, Result.TIMEOUT)
        world.establish(trial)
        world.advance(20000.0)
    assert waits[-1] > 2 * waits[0]


def test_server_that_serves_again_is_said_so_once() -> None:
    world = far()
    world.update_server_list(make_server("a"))
    world.end_attempt(world.send_request(), Result.ERROR)
    world.advance(10000.0)
    for _ in range(3):
        request = world.send_request()
        world.establish(request)
    notes = [action.text for action in world.actions if isinstance(action, Note)]
    assert notes == ["server a set aside: error", "server a serves again"]


def test_another_server_first_then_any() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    request = world.send_request()
    seen = [world.server_of(request)]
    for _ in range(2):
        world.end_attempt(request, Result.ERROR)
        seen.append(world.server_of(request))
    assert sorted(seen) == ["a", "b", "c"]


def test_all_servers_sick_leaves_the_choice_to_the_design() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("b", 5000.0)
    request = world.send_request()
    world.end_attempt(request, Result.ERROR)
    world.end_attempt(request, Result.ERROR)
    assert [type(action) for action in world.last if not isinstance(action, Note)] in ([Attempt], [Refuse])


def test_time_out_is_learnt_and_leaves_time_for_another() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    first = world.send_request(budget=1200.0)
    assert world.last_of(Attempt)[0].timeout == 1200.0  # nothing learnt yet
    world.establish(first, elapsed=20.0)
    for _ in range(50):
        world.establish(world.send_request(), elapsed=20.0)
    world.send_request(budget=1200.0)
    short = world.last_of(Attempt)[0].timeout
    assert 20.0 < short <= 1200.0 / 3
    for _ in range(200):
        world.establish(world.send_request(), elapsed=500.0)
    world.send_request(budget=1200.0)
    assert 500.0 <= world.last_of(Attempt)[0].timeout <= 1200.0


# Strain and limits.


def loaded() -> tuple[BalancerDriver, list[str]]:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    held = [world.adopt("a") for _ in range(20)]
    for _ in range(40):
        world.adopt("b")
    return world, held


def test_strain_stops_new_connections_before_aims_are_missed() -> None:
    world, held = loaded()
    world.report_delay(held[0], "a", 25.0)  # over a third of the aim of 60, under the aim
    assert not world.last_of(Move)
    assert world.open_connection() == "b"


def test_missed_aims_move_a_part_off_and_no_more() -> None:
    world, held = loaded()
    world.report_delay(held[0], "a", 200.0)
    moved = world.last_of(Move)
    assert 0 < len(moved) <= 4
    world.report_delay(held[-1], "a", 200.0)
    assert len({move.request for move in moved + world.last_of(Move)}) == len(moved) + len(
        world.last_of(Move)
    )
    for move in moved:
        world.attempts[move.request] = 0


def test_limit_rises_again_once_calm() -> None:
    world, held = loaded()
    world.report_delay(held[0], "a", 25.0)
    world.report_delay(held[0], "a", 5.0)
    world.advance(5000.0)
    assert world.open_connection() == "a"


def test_strain_told_long_ago_is_no_evidence() -> None:
    world, held = loaded()
    world.report_delay(held[0], "a", 25.0)
    world.advance(60000.0)
    assert world.open_connection() == "a"


def test_news_of_an_unknown_server_changes_nothing() -> None:
    world, _ = loaded()
    before = world.balancer.sums()
    world.feed(DelayReported("nobody", 0, "ghost", 900.0))
    assert not world.last
    assert world.balancer.sums() == before


def test_least_worth_moves_first() -> None:
    settings = make_settings((make_class(worth=5.0), make_class(worth=1.0)), zone=9)
    world = BalancerDriver(settings)
    world.update_server_list(make_server("a"))
    dear = [world.send_request(class_index=0) for _ in range(10)]
    cheap = [world.send_request(class_index=1) for _ in range(10)]
    for request in dear + cheap:
        world.establish(request)
    world.report_delay(dear[0], "a", 200.0)
    assert world.last_of(Move)
    assert {move.request for move in world.last_of(Move)} <= set(cheap)


# Overload.


def test_all_at_their_limit_refuses_at_once() -> None:
    world, held = loaded()
    other = next(r for r in world.attempts if r not in held)
    world.report_delay(held[0], "a", 25.0)
    world.report_delay(other, "b", 25.0)
    world.send_request()
    assert [type(action) for action in world.last] == [Refuse]


def test_refusal_names_a_wait_where_clients_take_one() -> None:
    world = BalancerDriver(make_settings(retry_after_max=600.0))
    world.send_request()
    assert world.last == [Refuse("r1", 600.0)]


def test_tenant_over_its_share_is_refused_first() -> None:
    tenants = (Tenant("big", 0.5, 10.0), Tenant("small", 0.5, 10.0))
    world = BalancerDriver(make_settings(tenants=tenants, zone=9))
    world.update_server_list(make_server("a"))
    held = [world.adopt("a", tenant=0) for _ in range(18)]
    world.adopt("a", tenant=1)
    world.adopt("a", tenant=1)
    world.report_delay(held[0], "a", 25.0)
    world.end_attempt(held[1], Result.OK)
    world.end_attempt(held[2], Result.OK)
    world.send_request(1000.0, tenant=0)
    assert world.last_of(Refuse)
    world.send_request(1000.0, tenant=1)
    assert world.last_of(Attempt)


# Groups.


def test_group_stays_together_until_sums_differ_by_more_than_it_costs() -> None:
    world = BalancerDriver(make_settings(groups_share_work=True, zone=9))
    world.update_server_list(make_server("a"), make_server("b"))
    first = world.open_connection(1000.0, group="g")
    assert world.open_connection(1000.0, group="g") == first
    world.adopt(first, 3000.0)
    assert world.open_connection(1000.0, group="g") == first
    wheres = {world.open_connection(1000.0, group="g") for _ in range(40)}
    assert wheres == {"a", "b"}, "the least sum still decides"


def test_group_that_has_ended_draws_nobody() -> None:
    world = BalancerDriver(make_settings(groups_share_work=True, zone=9))
    world.update_server_list(make_server("a"), make_server("b"))
    request = world.send_request(1000.0, group="g")
    world.establish(request)
    first = world.server_of(request)
    assert world.balancer.sums()[first] == 1000
    world.end_attempt(request, Result.OK)
    world.adopt(first, 9000.0)
    assert world.open_connection(1000.0, group="g") != first


def test_groups_mean_nothing_where_they_share_no_work() -> None:
    world = far()
    world.update_server_list(make_server("a"))
    world.open_connection(1000.0, group="g")
    assert world.balancer.sums()["a"] == 1000


# Crossing zones.


def test_own_zone_among_sums_closer_than_noise_only() -> None:
    world = BalancerDriver(make_settings(zone=1))
    world.update_server_list(make_server("near", zone=1), make_server("distant", zone=2))
    for _ in range(25):
        world.adopt("near", 1000.0)
        world.adopt("distant", 1000.0)
    world.adopt("near", 5000.0)  # 5000 more, noise is about 10000
    assert world.open_connection(1000.0) == "near"
    world.adopt("near", 20000.0)
    assert world.open_connection(1000.0) == "distant"


def test_repeated_whole_lists_and_empty_changes_change_nothing() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    world.adopt("a", 100.0)
    before = world.balancer.sums()
    world.update_server_list(make_server("a"), make_server("b"))
    world.update_server_list(kind=ServerListKind.CHANGES)
    assert world.balancer.sums() == before
    assert world.open_connection() == "b"


def test_clock_near_zero_and_far_from_it() -> None:
    for now in (0.0, 1e12):
        world = BalancerDriver(make_settings(zone=9), now=now)
        world.update_server_list(make_server("a"), make_server("b"))
        world.adopt("a", 100.0)
        assert world.open_connection() == "b"


def test_limits_rise_as_one_fleet_not_as_many_balancers() -> None:
    """Incident: with fifteen balancers each gave a strained server one more connection a second."""

    def taken(fleet_size: int) -> int:
        world = BalancerDriver(make_settings(zone=9, fleet_size=fleet_size))
        world.update_server_list(make_server("a"))
        held = world.adopt("a", 1000.0)
        world.report_delay(held, "a", 25.0)
        world.advance(11500.0)
        for _ in range(30):
            world.send_request(1000.0)
        return world.balancer.sums()["a"] // 1000 - 1

    assert taken(1) == 10
    assert taken(5) == 2


# Leaving.


def test_clients_are_told_to_move_before_their_server_leaves() -> None:
    world = far()
    world.update_server_list(make_server("a"), make_server("b"))
    old = [world.adopt("a") for _ in range(3)]
    stays = world.adopt("b")
    world.update_server_list(make_server("a", state=ServerState.DRAINING), kind=ServerListKind.CHANGES)
    assert [move.request for move in world.last_of(Move)] == old
    world.update_server_list(make_server("a", state=ServerState.DRAINING), make_server("b"))
    assert not world.last_of(Move)
    assert stays not in {move.request for move in world.actions if isinstance(move, Move)}


def test_a_connection_that_comes_up_at_a_leaving_server_is_moved_too() -> None:
    world = far()
    world.update_server_list(make_server("a"))
    request = world.send_request()
    world.update_server_list(make_server("a", state=ServerState.DRAINING), make_server("b"))
    assert not world.last_of(Move)
    world.establish(request)
    assert [move.request for move in world.last_of(Move)] == [request]


def stalled(strained: int) -> int:
    """How many of a stalled server's forty connections are moved at once, with so many others strained."""
    world = BalancerDriver(make_settings(zone=9))
    names = "abcd"
    world.update_server_list(*(make_server(name) for name in names))
    held = {name: [world.adopt(name) for _ in range(40)] for name in names}
    for name in names[1 : 1 + strained]:
        world.report_delay(held[name][0], name, 30.0)
    world.report_delay(held["a"][0], "a", 1200.0)
    return len(world.last_of(Move))


def test_a_stalled_server_is_moved_off_whole_while_half_of_the_servers_are_calm() -> None:
    assert stalled(0) == stalled(1) == 40
    assert stalled(2) < 15, "in overload everybody would move, and to nowhere"


def test_a_stalled_server_is_given_nothing_new() -> None:
    world = BalancerDriver(make_settings(zone=9))
    world.update_server_list(make_server("a"), make_server("b"))
    first = world.adopt("a")
    for _ in range(30):
        world.adopt("b")
    world.report_delay(first, "a", 1200.0)
    world.end_attempt(first, Result.CANCELLED, closed=True)
    for _ in range(5):
        assert world.open_connection() == "b"


def test_a_stalled_server_that_is_calm_again_is_filled_in_seconds() -> None:
    world = BalancerDriver(make_settings(zone=9))
    world.update_server_list(make_server("a"), make_server("b"))
    first, second = world.adopt("a"), world.adopt("a")
    for _ in range(40):
        world.adopt("b")
    world.report_delay(first, "a", 1200.0)
    world.end_attempt(first, Result.CANCELLED, closed=True)
    world.report_delay(second, "a", 1.0)
    world.end_attempt(second, Result.CANCELLED, closed=True)
    assert world.open_connection() == "b"
    world.advance(4000.0)
    places = [world.open_connection() for _ in range(20)]
    assert 5 <= places.count("a") <= 12, "a tenth of the mean sum a second, and no more"


def test_a_thin_balancer_moves_a_stalled_server_off_at_the_usual_pace() -> None:
    world = BalancerDriver(make_settings(zone=9))
    world.update_server_list(*(make_server(f"s{number}") for number in range(40)))
    held = [world.adopt("s0") for _ in range(10)]
    world.adopt("s1")
    world.report_delay(held[0], "s0", 1200.0)
    assert len(world.last_of(Move)) == 1, "with few connections it can't tell that the others are calm"
