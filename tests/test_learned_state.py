"""What one process of a balancer has learned from its traffic is taken over by its successor."""

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


def successor_of(driver: BalancerDriver, restores: bool = True) -> BalancerDriver:
    """A new process that adopts all connections and, if it `restores`, takes over the learned state."""
    successor = BalancerDriver(driver.settings, seed=99, now=driver.now)
    predecessor = driver.balancer
    successor.update_server_list(
        *(record.server for record in predecessor._records.values()), kind=ServerListKind.REMEMBERED
    )
    for name, connection in predecessor._connections.items():
        if connection.record is not None:
            request = Request(name, 0, 0.0, 0, float(connection.load), None, connection.group)
            successor.feed(ConnectionAdopted(request, connection.record.id))
    if restores:
        successor.feed(predecessor.learned_state())
    return successor


def test_the_successor_has_the_same_sums() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    for hint in range(100, 2000, 130):
        driver.open_connection(float(hint))
    assert successor_of(driver).balancer.sums() == driver.balancer.sums()


def test_the_successor_continues_the_cold_budget() -> None:
    """Rule 4: with a budget of its own for each process, both together would overload a cold server."""

    def placed_at_cold(restores: bool) -> int:
        driver = BalancerDriver(now=100_000.0)
        driver.update_server_list(make_server("a"), make_server("cold", started_at=driver.now - 100.0))
        for _ in range(30):
            driver.open_connection()
        for record in driver.balancer._records.values():
            for name in list(record.connections):
                if record.id == "cold":  # ended connections still count in the budget
                    driver.end_attempt(name, Result.OK)
        assert driver.balancer._records["cold"].cold_sends
        successor = successor_of(driver, restores)
        return sum(successor.open_connection() == "cold" for _ in range(10))

    assert placed_at_cold(restores=False) > 0
    assert placed_at_cold(restores=True) < placed_at_cold(restores=False)


def test_the_successor_knows_limits_and_ejections_from_the_start() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    requests = [driver.send_request() for _ in range(6)]
    for each in requests:
        driver.establish(each)
    overloaded = next(each for each in requests if driver.server_of(each) == "a")
    driver.report_delay(overloaded, "a", 59.0)
    unhealthy = next(each for each in requests if driver.server_of(each) == "b")
    driver.end_attempt(unhealthy, Result.TIMEOUT, closed=True)
    assert {successor_of(driver).open_connection() for _ in range(4)} == {"c"}
    unrestored = successor_of(driver, restores=False)
    assert {unrestored.open_connection() for _ in range(9)} == {"a", "b", "c"}


def test_learned_state_of_unlisted_servers_is_ignored() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"))
    driver.open_connection()
    learned = driver.balancer.learned_state()
    other = BalancerDriver()
    other.update_server_list(make_server("b"))
    other.feed(LearnedState(*learned[:4], learned.servers))
    assert other.balancer.sums() == {"b": 0}
    assert other.open_connection() == "b"


def driver_after_drain(ended: bool = True) -> BalancerDriver:
    """Ten connections at each of two servers, all moved away in a drain while both report overload.

    Without `ended` the drain still goes on.
    """
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    requests = [driver.send_request() for _ in range(20)]
    for each in requests:
        driver.establish(each)
    driver.feed(DrainStarted())
    for each in requests:
        driver.report_delay(each, driver.server_of(each), 30.0)
        driver.end_attempt(each, Result.CANCELLED, closed=True)
    if ended:
        driver.feed(DrainEnded())
    return driver


def test_low_sums_after_a_drain_do_not_become_limits() -> None:
    """Otherwise a balancer, after its own drain, refuses half of the clients that the next balancer moves."""
    driver = driver_after_drain()
    for _ in range(20):
        driver.send_request()
        assert driver.last_of(Attempt) and not driver.last_of(Refuse)
    still_limited = driver_after_drain(ended=False)
    requests = [still_limited.send_request() for _ in range(60)]
    assert sum(name not in still_limited.attempts for name in requests) > 0


def test_overload_after_a_drain_leaves_the_share_from_before_the_drain() -> None:
    driver = driver_after_drain()
    request = driver.send_request()
    driver.establish(request)
    driver.report_delay(request, driver.server_of(request), 30.0)
    placed = [driver.send_request() for _ in range(24)]
    assert all(name in driver.attempts for name in placed)


def test_missed_message_aims_after_a_drain_reduce_that_share_too() -> None:
    driver = driver_after_drain()
    request = driver.send_request()
    driver.establish(request)
    server_id = driver.server_of(request)
    limits = []
    for _ in range(12):
        driver.report_delay(request, server_id, 200.0)
        limits.append(driver.balancer._records[server_id].limit)
        driver.advance(1000.0)
    assert limits == sorted(limits, reverse=True)
    assert limits[-1] < 0.2 * limits[0]
