"""Filters of candidates, limits, moves and ejection: each failure that they guard against, on its own."""

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


def driver_outside_all_zones() -> BalancerDriver:
    """A driver in a zone without servers, so that the preference for its own zone has no effect."""
    return BalancerDriver(make_settings(zone=9))


# Ejection.


@pytest.mark.parametrize("result", [Result.RESET, Result.UNREACHABLE])
def test_a_set_up_that_breaks_off_ejects_the_server_only_the_second_time(result: Result) -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 9000.0)
    for _ in range(2):
        request = driver.send_request()
        assert driver.server_of(request) == "a", "a network may break one set-up"
        driver.end_attempt(request, result)
        assert driver.server_of(request) == "b", "the next attempt goes to another server all the same"
        driver.end_attempt(request, Result.CANCELLED, closed=True)
    for _ in range(5):
        assert driver.open_connection() == "b"


def test_set_ups_that_break_off_between_successful_ones_eject_no_server() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 1e6)
    for _ in range(20):
        request = driver.send_request()
        assert driver.server_of(request) == "a"
        driver.end_attempt(request, Result.RESET)
        driver.end_attempt(request, Result.CANCELLED, closed=True)
        assert driver.open_connection() == "a"
    assert not any(isinstance(action, Note) for action in driver.actions)


def test_an_open_connection_that_times_out_ejects_its_server() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 9000.0)
    request = driver.adopt("a")
    driver.end_attempt(request, Result.TIMEOUT, closed=True)
    assert driver.last_of(Note)
    for _ in range(5):
        assert driver.open_connection() == "b"


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT])
def test_a_failed_set_up_ejects_the_server(result: Result) -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 5000.0)
    request = driver.send_request()
    assert driver.server_of(request) == "a"
    driver.end_attempt(request, result)
    assert driver.server_of(request) == "b"
    for _ in range(5):
        assert driver.open_connection() == "b"


def test_a_full_server_is_not_ejected_but_gets_no_more_for_some_seconds() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 5000.0)
    request = driver.send_request()
    driver.end_attempt(request, Result.FULL)
    assert not driver.last_of(Note)
    assert driver.server_of(request) == "b"
    assert driver.open_connection() == "b"
    driver.advance(5000.0)
    assert driver.open_connection() == "a"


def test_ejections_grow_longer_and_end_with_one_trial_at_a_time() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 1e9)
    waits = []
    for _ in range(4):
        request = driver.send_request()
        assert driver.server_of(request) == "a"
        driver.end_attempt(request, Result.TIMEOUT)
        driver.establish(request)
        since = driver.now
        while True:
            driver.advance(25.0)
            trial = driver.send_request()
            if driver.server_of(trial) == "a":
                break
            driver.establish(trial)
        waits.append(driver.now - since)
        other = driver.send_request()
        assert driver.server_of(other) == "b", "one trial at a time"
        driver.establish(other)
        driver.end_attempt(trial, Result.TIMEOUT)
        driver.establish(trial)
        driver.advance(20000.0)
    assert waits[-1] > 2 * waits[0]


def test_the_return_of_an_ejected_server_is_noted_once() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    driver.end_attempt(driver.send_request(), Result.ERROR)
    driver.advance(10000.0)
    for _ in range(3):
        request = driver.send_request()
        driver.establish(request)
    notes = [action.text for action in driver.actions if isinstance(action, Note)]
    assert notes == ["server a set aside: error", "server a serves again"]


def test_each_further_attempt_goes_to_an_untried_server() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    request = driver.send_request()
    server_ids = [driver.server_of(request)]
    for _ in range(2):
        driver.end_attempt(request, Result.ERROR)
        server_ids.append(driver.server_of(request))
    assert sorted(server_ids) == ["a", "b", "c"]


def test_if_all_servers_are_unhealthy_the_request_is_placed_or_refused_all_the_same() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 5000.0)
    request = driver.send_request()
    driver.end_attempt(request, Result.ERROR)
    driver.end_attempt(request, Result.ERROR)
    assert [type(action) for action in driver.last if not isinstance(action, Note)] in ([Attempt], [Refuse])


def test_the_time_out_follows_set_up_times_and_leaves_time_for_another_attempt() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    first = driver.send_request(budget=1200.0)
    assert driver.last_of(Attempt)[0].timeout == 1200.0  # no set-up time is known yet
    driver.establish(first, elapsed=20.0)
    for _ in range(50):
        driver.establish(driver.send_request(), elapsed=20.0)
    driver.send_request(budget=1200.0)
    short = driver.last_of(Attempt)[0].timeout
    assert 20.0 < short <= 1200.0 / 3
    for _ in range(200):
        driver.establish(driver.send_request(), elapsed=500.0)
    driver.send_request(budget=1200.0)
    assert 500.0 <= driver.last_of(Attempt)[0].timeout <= 1200.0


# Overload and limits.


def loaded_driver() -> tuple[BalancerDriver, list[str]]:
    """A driver with 20 connections at server a and 40 at b, and the requests of those at a."""
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    requests_at_a = [driver.adopt("a") for _ in range(20)]
    for _ in range(40):
        driver.adopt("b")
    return driver, requests_at_a


def test_an_overloaded_server_gets_no_new_connections_before_it_misses_the_message_aim() -> None:
    driver, requests_at_a = loaded_driver()
    driver.report_delay(
        requests_at_a[0], "a", 25.0
    )  # more than a third of the message aim of 60 ms, and less than the aim
    assert not driver.last_of(Move)
    assert driver.open_connection() == "b"


def test_a_missed_message_aim_moves_a_bounded_part_of_the_connections() -> None:
    driver, requests_at_a = loaded_driver()
    driver.report_delay(requests_at_a[0], "a", 200.0)
    moved = driver.last_of(Move)
    assert 0 < len(moved) <= 4
    driver.report_delay(requests_at_a[-1], "a", 200.0)
    assert len({move.request for move in moved + driver.last_of(Move)}) == len(moved) + len(
        driver.last_of(Move)
    )
    for move in moved:
        driver.attempts[move.request] = 0


def test_a_limit_rises_again_after_a_short_delay_was_reported() -> None:
    driver, requests_at_a = loaded_driver()
    driver.report_delay(requests_at_a[0], "a", 25.0)
    driver.report_delay(requests_at_a[0], "a", 5.0)
    driver.advance(5000.0)
    assert driver.open_connection() == "a"


def test_overload_reported_long_ago_is_ignored() -> None:
    driver, requests_at_a = loaded_driver()
    driver.report_delay(requests_at_a[0], "a", 25.0)
    driver.advance(60000.0)
    assert driver.open_connection() == "a"


def test_a_delay_reported_for_an_unknown_server_changes_nothing() -> None:
    driver, _ = loaded_driver()
    before = driver.balancer.sums()
    driver.feed(DelayReported("nobody", 0, "ghost", 900.0))
    assert not driver.last
    assert driver.balancer.sums() == before


def test_connections_of_least_worth_move_first() -> None:
    settings = make_settings((make_class(worth=5.0), make_class(worth=1.0)), zone=9)
    driver = BalancerDriver(settings)
    driver.update_server_list(make_server("a"))
    worth_more = [driver.send_request(class_index=0) for _ in range(10)]
    worth_less = [driver.send_request(class_index=1) for _ in range(10)]
    for request in worth_more + worth_less:
        driver.establish(request)
    driver.report_delay(worth_more[0], "a", 200.0)
    assert driver.last_of(Move)
    assert {move.request for move in driver.last_of(Move)} <= set(worth_less)


# Overload.


def test_a_request_is_refused_at_once_if_all_servers_are_at_their_limit() -> None:
    driver, requests_at_a = loaded_driver()
    other = next(r for r in driver.attempts if r not in requests_at_a)
    driver.report_delay(requests_at_a[0], "a", 25.0)
    driver.report_delay(other, "b", 25.0)
    driver.send_request()
    assert [type(action) for action in driver.last] == [Refuse]


def test_a_refusal_gives_a_wait_if_the_settings_allow_one() -> None:
    driver = BalancerDriver(make_settings(retry_after_max=600.0))
    driver.send_request()
    assert driver.last == [Refuse("r1", 600.0)]


def test_a_tenant_over_its_share_is_refused_first() -> None:
    tenants = (Tenant("big", 0.5, 10.0), Tenant("small", 0.5, 10.0))
    driver = BalancerDriver(make_settings(tenants=tenants, zone=9))
    driver.update_server_list(make_server("a"))
    requests = [driver.adopt("a", tenant=0) for _ in range(18)]
    driver.adopt("a", tenant=1)
    driver.adopt("a", tenant=1)
    driver.report_delay(requests[0], "a", 25.0)
    driver.end_attempt(requests[1], Result.OK)
    driver.end_attempt(requests[2], Result.OK)
    driver.send_request(1000.0, tenant=0)
    assert driver.last_of(Refuse)
    driver.send_request(1000.0, tenant=1)
    assert driver.last_of(Attempt)


# Groups.


def test_a_group_stays_together_until_sums_differ_by_more_than_its_cost() -> None:
    driver = BalancerDriver(make_settings(groups_share_work=True, zone=9))
    driver.update_server_list(make_server("a"), make_server("b"))
    first = driver.open_connection(1000.0, group="g")
    assert driver.open_connection(1000.0, group="g") == first
    driver.adopt(first, 3000.0)
    assert driver.open_connection(1000.0, group="g") == first
    server_ids = {driver.open_connection(1000.0, group="g") for _ in range(40)}
    assert server_ids == {"a", "b"}, "the least sum decides in the end"


def test_a_group_without_connections_attracts_no_new_ones() -> None:
    driver = BalancerDriver(make_settings(groups_share_work=True, zone=9))
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.send_request(1000.0, group="g")
    driver.establish(request)
    first = driver.server_of(request)
    assert driver.balancer.sums()[first] == 1000
    driver.end_attempt(request, Result.OK)
    driver.adopt(first, 9000.0)
    assert driver.open_connection(1000.0, group="g") != first


def test_groups_have_no_effect_where_they_share_no_work() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    driver.open_connection(1000.0, group="g")
    assert driver.balancer.sums()["a"] == 1000


# Crossing zones.


def test_the_own_zone_is_preferred_only_among_sums_equal_within_their_noise() -> None:
    driver = BalancerDriver(make_settings(zone=1))
    driver.update_server_list(make_server("near", zone=1), make_server("distant", zone=2))
    for _ in range(25):
        driver.adopt("near", 1000.0)
        driver.adopt("distant", 1000.0)
    driver.adopt("near", 5000.0)  # a difference of 5000, the noise is about 10000
    assert driver.open_connection(1000.0) == "near"
    driver.adopt("near", 20000.0)
    assert driver.open_connection(1000.0) == "distant"


def test_a_repeated_whole_list_and_empty_changes_have_no_effect() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("a", 100.0)
    before = driver.balancer.sums()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.update_server_list(kind=ServerListKind.CHANGES)
    assert driver.balancer.sums() == before
    assert driver.open_connection() == "b"


def test_the_clock_may_start_anywhere() -> None:
    for now in (0.0, 1e12):
        driver = BalancerDriver(make_settings(zone=9), now=now)
        driver.update_server_list(make_server("a"), make_server("b"))
        driver.adopt("a", 100.0)
        assert driver.open_connection() == "b"


def test_all_balancers_together_raise_a_limit_by_one_connection_a_second() -> None:
    """Fifteen balancers must not give an overloaded server fifteen more connections a second."""

    def taken(fleet_size: int) -> int:
        driver = BalancerDriver(make_settings(zone=9, fleet_size=fleet_size))
        driver.update_server_list(make_server("a"))
        request = driver.adopt("a", 1000.0)
        driver.report_delay(request, "a", 25.0)
        driver.advance(11500.0)
        for _ in range(30):
            driver.send_request(1000.0)
        return driver.balancer.sums()["a"] // 1000 - 1

    assert taken(1) == 10
    assert taken(5) == 2


# Draining servers.


def test_connections_are_moved_once_their_server_drains() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    old = [driver.adopt("a") for _ in range(3)]
    stays = driver.adopt("b")
    driver.update_server_list(make_server("a", state=ServerState.DRAINING), kind=ServerListKind.CHANGES)
    assert [move.request for move in driver.last_of(Move)] == old
    driver.update_server_list(make_server("a", state=ServerState.DRAINING), make_server("b"))
    assert not driver.last_of(Move)
    assert stays not in {move.request for move in driver.actions if isinstance(move, Move)}


def test_a_connection_that_is_established_at_a_draining_server_is_moved_too() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    request = driver.send_request()
    driver.update_server_list(make_server("a", state=ServerState.DRAINING), make_server("b"))
    assert not driver.last_of(Move)
    driver.establish(request)
    assert [move.request for move in driver.last_of(Move)] == [request]


def moved_off_stalled_server(overloaded: int) -> int:
    """How many of a stalled server's 40 connections are moved at once, with so many others overloaded."""
    driver = BalancerDriver(make_settings(zone=9))
    names = "abcd"
    driver.update_server_list(*(make_server(name) for name in names))
    requests = {name: [driver.adopt(name) for _ in range(40)] for name in names}
    for name in names[1 : 1 + overloaded]:
        driver.report_delay(requests[name][0], name, 30.0)
    driver.report_delay(requests["a"][0], "a", 1200.0)
    return len(driver.last_of(Move))


def test_a_stalled_server_loses_all_connections_if_half_of_the_servers_are_not_overloaded() -> None:
    assert moved_off_stalled_server(0) == moved_off_stalled_server(1) == 40
    assert moved_off_stalled_server(2) < 15, "if most are overloaded, no server could take them"


def test_a_stalled_server_gets_nothing_new() -> None:
    driver = BalancerDriver(make_settings(zone=9))
    driver.update_server_list(make_server("a"), make_server("b"))
    first = driver.adopt("a")
    for _ in range(30):
        driver.adopt("b")
    driver.report_delay(first, "a", 1200.0)
    driver.end_attempt(first, Result.CANCELLED, closed=True)
    for _ in range(5):
        assert driver.open_connection() == "b"


def test_a_stalled_server_that_has_recovered_is_filled_in_seconds() -> None:
    driver = BalancerDriver(make_settings(zone=9))
    driver.update_server_list(make_server("a"), make_server("b"))
    first, second = driver.adopt("a"), driver.adopt("a")
    for _ in range(40):
        driver.adopt("b")
    driver.report_delay(first, "a", 1200.0)
    driver.end_attempt(first, Result.CANCELLED, closed=True)
    driver.report_delay(second, "a", 1.0)
    driver.end_attempt(second, Result.CANCELLED, closed=True)
    assert driver.open_connection() == "b"
    driver.advance(4000.0)
    places = [driver.open_connection() for _ in range(20)]
    assert 5 <= places.count("a") <= 12, "a tenth of the mean sum each second, and no more"


def test_a_sparse_balancer_moves_connections_off_a_stalled_server_at_the_usual_rate() -> None:
    driver = BalancerDriver(make_settings(zone=9))
    driver.update_server_list(*(make_server(f"s{number}") for number in range(40)))
    requests = [driver.adopt("s0") for _ in range(10)]
    driver.adopt("s1")
    driver.report_delay(requests[0], "s0", 1200.0)
    assert len(driver.last_of(Move)) == 1, (
        "with few connections it cannot know that the others are not overloaded"
    )
