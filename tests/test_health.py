"""What passing lines tell of servers."""

from __future__ import annotations

import pytest

from switchhub.net.health import GROWTH, LoadLines, ServerHealth


def test_a_server_is_silent_sooner_the_more_lines_wait() -> None:
    health = ServerHealth()
    health.record_answer("a", 1000.0)
    assert not health.is_silent("a", 1, 2900.0, 3900.0)
    assert health.is_silent("a", 1, 3000.0, 4000.0)
    health.record_answer("b", 1000.0)
    assert not health.is_silent("b", 9, 900.0, 2500.0)
    assert health.is_silent("b", 9, 1000.0, 2500.0)


def test_one_answer_on_any_connection_ends_the_silence() -> None:
    health = ServerHealth()
    health.record_answer("a", 1000.0)
    assert health.is_silent("a", 3, 2000.0, 4000.0)
    assert health.is_silent("a", 1, 300.0, 4100.0)
    health.record_answer("a", 4200.0)
    assert not health.is_silent("a", 3, 3000.0, 4300.0)


def feed(loads: LoadLines, *lines: tuple[float, float], due: bool = False) -> list[bool]:
    return [loads.is_delay(value, now, due) for now, value in lines]


def test_loads_change_when_they_like_and_are_loads() -> None:
    loads = LoadLines(20_000.0)
    assert feed(loads, (0.0, 30_000.0), (700.0, 500.0), (3300.0, 450.0), (4300.0, 90_000.0)) == [False] * 4
    assert loads.load == 90_000.0


def test_small_values_a_second_apart_are_delays_and_the_load_is_put_right() -> None:
    loads = LoadLines(20_000.0)
    assert feed(loads, (0.0, 30_000.0), (2000.0, 1118.3)) == [False, False]
    assert loads.load == 1118.3
    assert feed(loads, (3000.0, 1123.5)) == [True]
    assert loads.load == 30_000.0
    assert feed(loads, (3400.0, 50_000.0), (4010.0, 333.7), (4990.0, 14.2)) == [False, True, True]
    assert loads.load == 50_000.0


def test_equal_values_a_second_apart_are_delays_at_any_height() -> None:
    loads = LoadLines(500.0)
    assert feed(loads, (0.0, 700.0), (1000.0, 15_880.2), (2000.0, 15_880.2)) == [False, False, True]
    assert loads.load == 700.0


def test_the_third_in_a_row_is_a_delay_at_any_height() -> None:
    loads = LoadLines(500.0)
    assert feed(loads, (0.0, 8296.0), (1000.0, 9296.0), (2000.0, 10_296.0)) == [False, False, True]


def test_another_connection_goes_on_with_what_its_server_tells() -> None:
    health = ServerHealth()
    health.told("a", 1000.0, 300.0)
    assert health.due("a", 2010.0)
    assert not health.due("a", 1500.0)
    assert not health.due("b", 2000.0)
    loads = LoadLines(20_000.0)
    assert feed(loads, (2010.0, 333.0), due=True) == [True]
    assert feed(loads, (2015.0, 30_000.0), due=True) == [False]
    assert loads.load == 30_000.0


def test_while_a_server_tells_its_delay_answered_lines_say_nothing() -> None:
    health = ServerHealth()
    assert not health.tells("a", 1000.0)
    health.told("a", 1000.0, 300.0)
    assert health.tells("a", 2400.0)
    assert not health.tells("a", 2600.0)


@pytest.mark.parametrize(("usual", "value"), [(20_000.0, 18.3), (16_341.0, 259.7), (5496.0, 23.2)])
def test_what_is_far_too_small_for_a_load_is_a_delay_at_once(usual: float, value: float) -> None:
    loads = LoadLines(usual)
    assert feed(loads, (0.0, value), (300.0, 0.5 * usual)) == [True, False]
    assert loads.load == 0.5 * usual


def test_a_delay_grows_no_faster_than_time_passes_and_what_does_is_a_load() -> None:
    loads = LoadLines(118_574.0)  # 7.7 s on a server that told nothing a second ago
    assert feed(loads, (0.0, 6683.0), (1000.0, 7682.9)) == [False, False]
    assert loads.load == 7682.9
    loads = LoadLines(19_099.0)  # due, but 260 ms were told last
    assert not loads.is_delay(3807.1, 12_400.0, True, 260.5 + GROWTH)
    assert loads.load == 3807.1
    health = ServerHealth()
    assert health.most("a", 1000.0) == GROWTH
    health.told("a", 1000.0, 300.0)
    assert health.most("a", 2040.0) == 300.0 + GROWTH
    assert health.most("a", 4040.0) == 300.0 + 3 * GROWTH
    assert health.most("a", 6000.0) == GROWTH


def test_what_is_due_and_not_too_long_is_a_delay_whatever_the_hint() -> None:
    health = ServerHealth()  # as seen on a server that came to a standstill, on connections of small hints
    health.told("a", 11_580.0, 385.0)
    for now, usual, value in ((12_570, 1359, 1122.5), (13_570, 5529, 2052.9), (15_560, 4698, 3058.5)):
        loads = LoadLines(float(usual))
        assert health.due("a", float(now))
        assert loads.is_delay(value, float(now), True, health.most("a", float(now)))
        assert loads.load == usual
        health.told("a", float(now), value)
    assert not health.due("a", 16_000.0)
    assert not health.due("a", 19_560.0), "too many were missed"


def test_a_row_of_tellings_is_found_across_connections() -> None:
    health = ServerHealth()  # as seen: the hints are too small and too large for either line alone
    assert not health.begins("a", 9050.0, 431.3, 16_341.0)
    assert not health.begins("b", 10_050.0, 771.2, 4083.0), "another server's"
    assert not health.begins("a", 9900.0, 300.0, 16_341.0)
    assert not health.begins("a", 10_050.0, 3807.1, 19_099.0), "too long for a first one"
    assert not health.begins("a", 10_050.0, 771.2, 900.0), "most of a small load"
    assert health.begins("a", 10_050.0, 771.2, 4083.0)
    loads = LoadLines(4083.0)
    assert loads.is_delay(771.2, 10_050.0, True, health.most("a", 10_050.0))
    assert loads.load == 4083.0
