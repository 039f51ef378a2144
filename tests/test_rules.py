"""The four rules, each of which one balancer keeps without knowing of the others."""

from __future__ import annotations

import pytest

from switchhub.decision.interface import (
    Attempt,
    ClientLeft,
    Fail,
    KeyScope,
    Refuse,
    Repeat,
    Result,
    ServerListFailed,
    ServerListKind,
    ServerState,
    WatchServerList,
)
from tests.balancer_driver import BalancerDriver, make_class, make_server, make_settings

MAY_HAVE_RUN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.UNREACHABLE, Result.NOT_SENT]


def driver_with_class(
    repeat: Repeat, scope: KeyScope = KeyScope.ALL, window: float = 5000.0
) -> BalancerDriver:
    return BalancerDriver(make_settings((make_class(repeat, scope, window),)))


# Rule 1: one final answer.


def test_an_empty_server_list_leads_to_a_refusal_at_once() -> None:
    driver = BalancerDriver()
    driver.send_request()
    assert [type(action) for action in driver.last] == [Refuse]


def test_a_time_out_at_the_deadline_is_answered_at_that_moment() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.send_request(budget=500.0)
    driver.advance(500.0)
    driver.end_attempt(request, Result.TIMEOUT)
    assert len(driver.last_of(Refuse) + driver.last_of(Fail)) == 1
    assert not driver.last_of(Attempt)
    driver.end_attempt(request, Result.TIMEOUT)
    assert not driver.last


def test_a_client_that_left_gets_no_answer() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.send_request(700.0)
    server_id = driver.server_of(request)
    driver.feed(ClientLeft(request))
    assert not driver.last
    assert driver.balancer.sums()[server_id] == 700
    driver.end_attempt(request, Result.ERROR)
    assert not driver.last_of(Attempt) and not driver.last_of(Refuse) and not driver.last_of(Fail)
    assert driver.balancer.sums()[server_id] == 0


def test_failing_servers_lead_to_one_answer_within_the_attempt_limit() -> None:
    driver = BalancerDriver()
    driver.update_server_list(*(make_server(name) for name in "abcdef"))
    request = driver.send_request()
    sent = 1
    for _ in range(20):
        driver.end_attempt(request, Result.ERROR)
        sent += len(driver.last_of(Attempt))
        if driver.last_of(Refuse):
            break
    assert sent <= driver.settings.max_attempts
    assert len([a for a in driver.actions if isinstance(a, Refuse | Fail)]) == 1


# Rule 2: no effect twice.


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_neither_sent_again_nor_refused(result: Result) -> None:
    driver = driver_with_class(Repeat.UNSAFE)
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.end_attempt(driver.send_request(), result)
    assert driver.last_of(Fail) and not driver.last_of(Attempt) and not driver.last_of(Refuse)


@pytest.mark.parametrize("result", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_gets_another_attempt(result: Result) -> None:
    driver = driver_with_class(Repeat.UNSAFE)
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.end_attempt(driver.send_request(), result)
    assert driver.last_of(Attempt)


@pytest.mark.parametrize(("waited", "answer"), [(100.0, Refuse), (600.0, Fail)])
def test_a_keyed_request_that_may_have_run_is_not_refused_after_its_window(
    waited: float, answer: type
) -> None:
    """A refusal invites a retry, and after the window no server drops the repeat any more."""
    driver = BalancerDriver(
        make_settings((make_class(Repeat.KEYED, KeyScope.ALL, window=500.0),), max_attempts=1)
    )
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.send_request()
    driver.advance(waited)
    driver.end_attempt(request, Result.RESET, elapsed=waited)
    assert driver.last_of(answer)


def test_a_keyed_request_that_may_have_run_stays_in_its_cell_whatever_follows() -> None:
    driver = driver_with_class(Repeat.KEYED, KeyScope.CELL)
    driver.update_server_list(make_server("a", cell=1), make_server("b", cell=1), make_server("c", cell=2))
    request = driver.send_request()
    cell = {"a": 1, "b": 1, "c": 2}
    driver.end_attempt(request, Result.RESET)
    first = cell[next(a for a in driver.actions if isinstance(a, Attempt)).server]
    for attempt in driver.last_of(Attempt):
        assert cell[attempt.server] == first
        driver.end_attempt(request, Result.FULL)  # this attempt did not run, but the first may have
    assert not driver.last_of(Refuse)


@pytest.mark.parametrize(("scope", "same"), [(KeyScope.ZONE, "b"), (KeyScope.CELL, "c")])
def test_a_keyed_request_stays_in_the_scope_of_its_key(scope: KeyScope, same: str) -> None:
    for seed in range(10):
        driver = BalancerDriver(make_settings((make_class(Repeat.KEYED, scope),), zone=9), seed)
        driver.update_server_list(
            make_server("a", 1, 1), make_server("b", 1, 2), make_server("c", 2, 1), make_server("d", 2, 2)
        )
        for name in "bcd":
            driver.adopt(name)
        request = driver.send_request()
        assert driver.server_of(request) == "a"
        driver.end_attempt(request, Result.RESET)
        assert [attempt.server for attempt in driver.last_of(Attempt)] == [same]


def test_a_keyed_request_fails_after_its_window() -> None:
    driver = driver_with_class(Repeat.KEYED, KeyScope.ZONE, window=100.0)
    driver.update_server_list(make_server("a"), make_server("b"))
    request = driver.send_request()
    driver.advance(150.0)
    driver.end_attempt(request, Result.TIMEOUT, elapsed=150.0)
    assert driver.last_of(Fail) and not driver.last_of(Attempt)


def test_a_keyed_request_whose_key_all_servers_know_may_be_refused_within_its_window() -> None:
    driver = driver_with_class(Repeat.KEYED, KeyScope.ALL, window=2000.0)
    driver.update_server_list(make_server("a"))
    request = driver.send_request()
    driver.advance(1300.0)  # past the client's wait
    driver.end_attempt(request, Result.TIMEOUT, elapsed=1300.0)
    assert driver.last_of(Refuse)


def test_a_request_has_one_attempt_at_a_time() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.send_request()
    assert len(driver.last_of(Attempt)) == 1
    driver.advance(1000.0)
    assert len([a for a in driver.actions if isinstance(a, Attempt)]) == 1


# Rule 3: drains.


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_nothing_goes_to_a_server_that_drains_or_is_gone(state: ServerState) -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.adopt("b", 100000.0)
    driver.update_server_list(make_server("a", state=state), kind=ServerListKind.CHANGES)
    assert driver.server_of(driver.send_request(10.0)) == "b"


def test_a_server_that_a_whole_list_leaves_out_is_gone() -> None:
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    driver.update_server_list(make_server("b"))
    for _ in range(4):
        assert driver.server_of(driver.send_request(1000.0)) == "b"
    driver.update_server_list()
    driver.send_request()
    assert driver.last_of(Refuse)


def test_the_server_list_is_watched_from_the_start_and_again_after_each_failure() -> None:
    driver = BalancerDriver()
    assert any(isinstance(action, WatchServerList) for action in driver.actions)
    longest = 0.0
    for _ in range(12):
        before = driver.now
        driver.feed(ServerListFailed())
        driver.advance(driver.timers[-1][0] - driver.now)
        assert any(isinstance(action, WatchServerList) for action in driver.last)
        longest = max(longest, driver.now - before)
    assert 0 < longest <= 3 * driver.settings.watch_retry_within


# Rule 4: cold servers.


def test_a_cold_server_is_filled_slowly_and_within_its_budget() -> None:
    driver = BalancerDriver(make_settings(zone=9))
    driver.update_server_list(make_server("a"), make_server("b"), make_server("c"))
    for name in "abc":
        for _ in range(20):
            driver.adopt(name, 1000.0)
    driver.update_server_list(make_server("new", started_at=driver.now), kind=ServerListKind.CHANGES)
    sent: list[float] = []
    start = driver.now
    for _ in range(160):
        driver.advance(50.0)
        if driver.open_connection(1000.0) == "new":
            sent.append(driver.now)
        age = driver.now - start
        peer = sorted(driver.balancer.sums()[name] for name in "abc")[1]
        if age < driver.settings.cold_time:
            start_share = driver.settings.cold_share
            share = start_share + (1 - start_share) * age / driver.settings.cold_time
            allowed = (
                driver.settings.cold_budget_multiple
                * share
                * peer
                * (driver.settings.cold_budget_window / driver.settings.cold_time)
            )
            recent = [at for at in sent if at > driver.now - driver.settings.cold_budget_window]
            assert 1000.0 * len(recent) <= allowed + 1000.0  # rounded at random to a whole connection
            assert driver.balancer.sums()["new"] <= peer * share + 1000
    assert sent, "the cold server must get some connections"


def test_many_small_hints_do_not_get_round_the_cold_budget() -> None:
    """If small hints count as they are, only they fit into the budget, and many overload a cold server."""
    driver = BalancerDriver(make_settings(zone=9))
    driver.update_server_list(make_server("a"), make_server("b"))
    for name in "ab":
        for _ in range(20):
            driver.adopt(name, 1000.0)
    driver.update_server_list(make_server("new", started_at=driver.now), kind=ServerListKind.CHANGES)
    driver.advance(4000.0)
    sent = sum(driver.open_connection(10.0) == "new" for _ in range(100))
    assert 0 < sent <= 10


def test_failed_set_ups_count_towards_the_cold_budget() -> None:
    driver = BalancerDriver(make_settings(zone=9, max_attempts=50))
    driver.update_server_list(make_server("a"), make_server("b"))
    for name in "ab":
        for _ in range(20):
            driver.adopt(name, 1000.0)
    driver.update_server_list(make_server("new", started_at=driver.now), kind=ServerListKind.CHANGES)
    driver.advance(4000.0)
    sent = 0
    for _ in range(60):
        request = driver.send_request(1000.0)
        if driver.server_of(request) == "new":
            sent += 1
            driver.end_attempt(request, Result.FULL)
        driver.establish(request)
    assert 0 < sent <= 10
