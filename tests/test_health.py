"""What passing lines tell of servers."""

from __future__ import annotations

from switchhub.net.health import Health


def set_up(health: Health, server: str, wait: float, now: float, zone: int = 0) -> None:
    health.attempt_begun(server, now - wait)
    health.attempt_over(server, zone, wait, now)


def test_a_server_is_silent_sooner_the_more_lines_wait() -> None:
    health = Health()
    health.answered("a", 1000.0)
    assert not health.silent("a", 1, 2900.0, 3900.0)
    assert health.silent("a", 1, 3000.0, 4000.0)
    health.answered("b", 1000.0)
    assert not health.silent("b", 9, 900.0, 2500.0)
    assert health.silent("b", 9, 1000.0, 2500.0)


def test_one_answer_on_any_connection_ends_the_silence() -> None:
    health = Health()
    health.answered("a", 1000.0)
    assert health.silent("a", 3, 2000.0, 4000.0)
    assert health.silent("a", 1, 300.0, 4100.0)
    health.answered("a", 4200.0)
    assert not health.silent("a", 3, 3000.0, 4300.0)


def test_an_answered_line_counts_as_it_is() -> None:
    assert Health().delay("a", 42.0, 1000.0) == 42.0


def test_waits_for_up_over_the_quickest_server_tell_strain_and_fade() -> None:
    health = Health()
    for now in range(1000, 2000, 100):
        set_up(health, "quick", 10.0, float(now))
        set_up(health, "slow", 110.0, float(now))
    assert health.delay("quick", 0.1, 2000.0) == 0.1
    assert 90.0 < health.delay("slow", 0.1, 2000.0) <= 100.0
    assert 40.0 < health.delay("slow", 0.1, 4000.0) < 51.0


def test_far_servers_are_not_strained_for_being_far() -> None:
    health = Health()
    for now in range(1000, 2000, 100):
        set_up(health, "near", 5.0, float(now))
        set_up(health, "far", 45.0, float(now), zone=1)
    assert health.delay("far", 0.1, 2000.0) == 0.1


def test_a_first_wait_and_waits_behind_our_own_set_ups_do_not_count() -> None:
    health = Health()
    set_up(health, "quick", 10.0, 1000.0)
    set_up(health, "quick", 10.0, 1100.0)
    set_up(health, "slow", 200.0, 1200.0)
    assert health.delay("slow", 0.1, 1200.0) == 0.1
    for _ in range(3):
        health.attempt_begun("slow", 1300.0)
    for left in (2, 1):
        health.attempt_over("slow", 0, 300.0, 1600.0)
        assert health.delay("slow", 0.1, 1600.0) == 0.1, left
    health.attempt_over("slow", 0, 300.0, 1600.0)
    assert health.delay("slow", 0.1, 1600.0) > 100.0


def test_failed_set_ups_leave_no_wait_behind() -> None:
    health = Health()
    for now in (1000.0, 1100.0, 1200.0):
        health.attempt_begun("a", now)
        health.attempt_over("a", 0, None, now)
    assert health.delay("a", 0.1, 1200.0) == 0.1
