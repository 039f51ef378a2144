"""Silence and delays of servers, measured from the lines that pass."""

from __future__ import annotations

import pytest

from switchhub.net.health import MAX_DELAY_GROWTH_MS, LoadLineClassifier, ServerHealth


def test_a_server_counts_as_silent_sooner_the_more_lines_wait() -> None:
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


def classify(loads: LoadLineClassifier, *lines: tuple[float, float], delay_due: bool = False) -> list[bool]:
    return [loads.is_delay(value, now, delay_due) for now, value in lines]


def test_values_at_irregular_times_are_loads() -> None:
    loads = LoadLineClassifier(20_000.0)
    assert (
        classify(loads, (0.0, 30_000.0), (700.0, 500.0), (3300.0, 450.0), (4300.0, 90_000.0)) == [False] * 4
    )
    assert loads.load == 90_000.0


def test_small_values_a_second_apart_are_delays_and_the_load_is_corrected() -> None:
    loads = LoadLineClassifier(20_000.0)
    assert classify(loads, (0.0, 30_000.0), (2000.0, 1118.3)) == [False, False]
    assert loads.load == 1118.3
    assert classify(loads, (3000.0, 1123.5)) == [True]
    assert loads.load == 30_000.0
    assert classify(loads, (3400.0, 50_000.0), (4010.0, 333.7), (4990.0, 14.2)) == [False, True, True]
    assert loads.load == 50_000.0


def test_equal_values_a_second_apart_are_delays_however_large() -> None:
    loads = LoadLineClassifier(500.0)
    assert classify(loads, (0.0, 700.0), (1000.0, 15_880.2), (2000.0, 15_880.2)) == [False, False, True]
    assert loads.load == 700.0


def test_the_third_value_in_a_row_is_a_delay_however_large() -> None:
    loads = LoadLineClassifier(500.0)
    assert classify(loads, (0.0, 8296.0), (1000.0, 9296.0), (2000.0, 10_296.0)) == [False, False, True]


def test_a_delay_report_that_is_due_may_come_on_another_connection() -> None:
    health = ServerHealth()
    health.record_delay("a", 1000.0, 300.0)
    assert health.is_delay_due("a", 2010.0)
    assert not health.is_delay_due("a", 1500.0)
    assert not health.is_delay_due("b", 2000.0)
    loads = LoadLineClassifier(20_000.0)
    assert classify(loads, (2010.0, 333.0), delay_due=True) == [True]
    assert classify(loads, (2015.0, 30_000.0), delay_due=True) == [False]
    assert loads.load == 30_000.0


def test_a_server_counts_as_reporting_its_delay_for_a_while_after_a_report() -> None:
    health = ServerHealth()
    assert not health.reports_delay("a", 1000.0)
    health.record_delay("a", 1000.0, 300.0)
    assert health.reports_delay("a", 2400.0)
    assert not health.reports_delay("a", 2600.0)


@pytest.mark.parametrize(("expected_load", "value"), [(20_000.0, 18.3), (16_341.0, 259.7), (5496.0, 23.2)])
def test_a_value_far_too_small_for_a_load_is_a_delay_at_once(expected_load: float, value: float) -> None:
    loads = LoadLineClassifier(expected_load)
    assert classify(loads, (0.0, value), (300.0, 0.5 * expected_load)) == [True, False]
    assert loads.load == 0.5 * expected_load


def test_a_value_that_grows_faster_than_a_delay_can_is_a_load() -> None:
    loads = LoadLineClassifier(118_574.0)  # a 7.7 s delay is impossible: none was reported a second ago
    assert classify(loads, (0.0, 6683.0), (1000.0, 7682.9)) == [False, False]
    assert loads.load == 7682.9
    loads = LoadLineClassifier(19_099.0)  # a report is due, but the last one was 260 ms
    assert not loads.is_delay(3807.1, 12_400.0, True, 260.5 + MAX_DELAY_GROWTH_MS)
    assert loads.load == 3807.1
    health = ServerHealth()
    assert health.max_delay("a", 1000.0) == MAX_DELAY_GROWTH_MS
    health.record_delay("a", 1000.0, 300.0)
    assert health.max_delay("a", 2040.0) == 300.0 + MAX_DELAY_GROWTH_MS
    assert health.max_delay("a", 4040.0) == 300.0 + 3 * MAX_DELAY_GROWTH_MS
    assert health.max_delay("a", 6000.0) == MAX_DELAY_GROWTH_MS


def test_a_value_that_is_due_and_within_the_limit_is_a_delay_whatever_the_hint() -> None:
    health = ServerHealth()  # values of a server that came to a standstill, on connections with small hints
    health.record_delay("a", 11_580.0, 385.0)
    for now, hint, value in ((12_570, 1359, 1122.5), (13_570, 5529, 2052.9), (15_560, 4698, 3058.5)):
        loads = LoadLineClassifier(float(hint))
        assert health.is_delay_due("a", float(now))
        assert loads.is_delay(value, float(now), True, health.max_delay("a", float(now)))
        assert loads.load == hint
        health.record_delay("a", float(now), value)
    assert not health.is_delay_due("a", 16_000.0)
    assert not health.is_delay_due("a", 19_560.0), "too many reports were missed"


def test_a_series_of_delay_reports_is_found_across_connections() -> None:
    health = ServerHealth()  # recorded values: hints too small and too large to classify either line alone
    assert not health.starts_delay_series("a", 9050.0, 431.3, 16_341.0)
    assert not health.starts_delay_series("b", 10_050.0, 771.2, 4083.0), "it is another server's"
    assert not health.starts_delay_series("a", 9900.0, 300.0, 16_341.0)
    assert not health.starts_delay_series("a", 10_050.0, 3807.1, 19_099.0), "too long for a first report"
    assert not health.starts_delay_series("a", 10_050.0, 771.2, 900.0), "most of a small load"
    assert health.starts_delay_series("a", 10_050.0, 771.2, 4083.0)
    loads = LoadLineClassifier(4083.0)
    assert loads.is_delay(771.2, 10_050.0, True, health.max_delay("a", 10_050.0))
    assert loads.load == 4083.0
