"""Placement at the least sum of load hints, and what replaces a missing hint."""

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


def driver_outside_all_zones() -> BalancerDriver:
    """A driver in a zone without servers, so that only sums decide."""
    return BalancerDriver(make_settings(zone=9))


def test_a_connection_goes_where_the_sum_is_least() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    for server_id, load in (("a", 300.0), ("b", 200.0), ("c", 400.0)):
        driver.adopt(server_id, load)
    assert driver.server_of(driver.send_request(50.0)) == "b"
    assert driver.server_of(driver.send_request(100.0)) == "b"
    assert driver.balancer.sums() == {"a": 300, "b": 350, "c": 400}
    assert driver.server_of(driver.send_request(10.0)) == "a"


def test_the_sum_falls_when_a_connection_ends_or_its_set_up_fails() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    request = driver.send_request(500.0)
    assert driver.balancer.sums() == {"a": 500}
    driver.establish(request)
    driver.end_attempt(request, Result.OK)
    assert driver.balancer.sums() == {"a": 0}
    refused = driver.send_request(700.0)
    driver.end_attempt(refused, Result.FULL)
    assert driver.balancer.sums()["a"] in (0, 700)  # 700 only if the only server got another attempt
    assert driver.balancer.sums()["a"] == 700 * len(driver.last_of(Attempt))


def test_a_missing_hint_counts_as_the_mean_of_recent_hints() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    driver.open_connection(400.0)
    driver.open_connection(None)
    assert driver.balancer.sums() == {"a": 800}
    without_hints = driver_outside_all_zones()
    without_hints.update_server_list(make_server("a"))
    without_hints.open_connection(None)
    assert without_hints.balancer.sums() == {"a": 1}, "a load of 0 would not change the sum"


def test_ties_are_broken_at_random_as_the_seed_determines() -> None:
    def first_server(seed: int) -> str:
        driver = BalancerDriver(make_settings(zone=9), seed)
        driver.update_server_list(*(make_server(name) for name in "abcdefgh"))
        return driver.server_of(driver.send_request())

    chosen = [first_server(seed) for seed in range(40)]
    assert len(set(chosen)) > 4
    assert chosen == [first_server(seed) for seed in range(40)]


def test_connections_that_were_open_before_the_start_count() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"), kind=ServerListKind.REMEMBERED)
    driver.adopt("a", 900.0)
    assert driver.server_of(driver.send_request(10.0)) == "b"


def test_a_connection_adopted_at_an_unlisted_server_counts_but_the_server_gets_nothing() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"))
    driver.feed(ConnectionAdopted(Request("x", 0, 0.0, hint=10.0), "ghost"))
    assert driver.balancer.sums()["ghost"] == 10
    for _ in range(5):
        assert driver.server_of(driver.send_request(1000.0)) == "a"


def test_a_reported_load_replaces_the_hint() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.adopt("a", 500.0)
    driver.feed(LoadReported(request, 0, "a", 2000.0))
    assert driver.balancer.sums()["a"] == 2000
    driver.feed(LoadReported(request, 3, "a", 9.0))  # of another attempt
    driver.feed(LoadReported("nobody", 0, "a", 9.0))
    assert driver.balancer.sums()["a"] == 2000


def test_connections_at_a_draining_server_stay_in_its_sum() -> None:
    driver = driver_outside_all_zones()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("a", 500.0)
    driver.update_server_list(make_server("a", state=ServerState.DRAINING), kind=ServerListKind.CHANGES)
    assert driver.balancer.sums()["a"] == 500
