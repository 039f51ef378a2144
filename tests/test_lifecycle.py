"""The phase of a process, and the even pacing of moves of its connections."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchhub.lifecycle.move_pacer import MovePacer
from switchhub.lifecycle.phase import Lifecycle, Phase
from switchhub.lifecycle.stop_schedule import StopSchedule


def ready_lifecycle() -> Lifecycle:
    lifecycle = Lifecycle()
    lifecycle.begin()
    return lifecycle


def test_only_a_ready_process_is_healthy() -> None:
    lifecycle = Lifecycle()
    assert not lifecycle.healthy and not lifecycle.accepts_new_clients
    lifecycle.begin()
    assert lifecycle.healthy and lifecycle.accepts_new_clients
    assert lifecycle.drain()
    assert not lifecycle.healthy and not lifecycle.accepts_new_clients


def test_a_second_fail_and_an_ok_without_one_change_nothing() -> None:
    lifecycle = ready_lifecycle()
    assert lifecycle.restore() and lifecycle.phase is Phase.READY
    assert lifecycle.drain() and not lifecycle.drain()
    assert lifecycle.restore() and lifecycle.restore() and lifecycle.phase is Phase.READY


def test_a_drain_before_the_start_lasts_until_ok() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.drain()
    lifecycle.begin()
    assert not lifecycle.healthy
    assert lifecycle.restore() and lifecycle.phase is Phase.READY


def test_ok_before_the_start_does_not_make_the_process_ready() -> None:
    lifecycle = Lifecycle()
    lifecycle.drain()
    assert lifecycle.restore() and lifecycle.phase is Phase.STARTING
    lifecycle.begin()
    assert lifecycle.healthy


def test_no_phase_follows_stopping() -> None:
    lifecycle = ready_lifecycle()
    lifecycle.stop()
    assert not lifecycle.restore() and not lifecycle.drain()
    lifecycle.supersede()
    assert lifecycle.stopping and not lifecycle.healthy


def test_a_stopping_process_rejects_new_clients_only_if_it_was_drained() -> None:
    lifecycle = ready_lifecycle()
    lifecycle.stop()
    assert lifecycle.accepts_new_clients and not lifecycle.healthy
    drained = ready_lifecycle()
    drained.drain()
    drained.stop()
    assert not drained.accepts_new_clients


def test_a_superseded_process_still_accepts_clients_for_its_successor() -> None:
    lifecycle = ready_lifecycle()
    assert lifecycle.supersede() and not lifecycle.supersede()
    assert lifecycle.accepts_new_clients and not lifecycle.healthy
    assert not lifecycle.restore()
    lifecycle.stop()
    assert lifecycle.accepts_new_clients and not lifecycle.healthy and not lifecycle.reinstate()


def test_a_process_is_reinstated_in_its_former_phase_when_its_successor_is_gone() -> None:
    lifecycle = ready_lifecycle()
    lifecycle.supersede()
    assert lifecycle.reinstate() and lifecycle.healthy
    lifecycle.drain()
    lifecycle.supersede()
    assert lifecycle.reinstate() and not lifecycle.healthy and not lifecycle.accepts_new_clients
    assert lifecycle.restore() and lifecycle.healthy


def test_a_drain_while_superseded_is_carried_out_once() -> None:
    lifecycle = ready_lifecycle()
    lifecycle.supersede()
    assert lifecycle.drain() and not lifecycle.drain()
    assert lifecycle.accepts_new_clients


@given(st.floats(0.5, 10.0))
def test_a_stop_moves_its_clients_after_the_last_arrivals_and_ends_before_it_may_be_killed(
    longest_deadline: float,
) -> None:
    schedule = StopSchedule.starting_at(100.0, longest_deadline)
    assert (
        100.4 < schedule.accepts_until <= schedule.moves_begin_at < schedule.moves_end_at < schedule.ends_at
    )
    assert schedule.ends_at <= 100.0 + min(longest_deadline, 3.0) + 0.7 - 0.3


def test_moves_are_even_and_done_in_time() -> None:
    pacer, established, moved = MovePacer(1.0, 3.0), 200, []
    for step in range(300):
        now = step * 0.01
        due = pacer.due(now, established)
        established -= due
        moved.append(due)
    assert not any(moved[:100])
    assert max(moved[100:299]) <= 2
    assert 90 <= sum(moved[:200]) <= 110
    assert established == 0 or pacer.due(3.0, established) == established


@pytest.mark.parametrize(("ends_at", "moved_by"), [(2.0, 2.0), (5.0, 3.0)])
def test_an_earlier_end_hastens_the_moves_and_a_later_one_does_not_delay_them(
    ends_at: float, moved_by: float
) -> None:
    """Without this, a drain that a stop cuts short still moves its clients when the process has ended."""
    pacer, established = MovePacer(0.0, 3.0), 100
    established -= pacer.due(1.0, established)
    pacer.end_by(ends_at)
    established -= pacer.due((1.0 + moved_by) / 2, established)
    assert 25 <= established <= 40, "the moves stay spread out"
    assert pacer.due(moved_by, established) == established


def test_connections_established_after_the_end_move_at_once() -> None:
    pacer = MovePacer(0.0, 1.0)
    assert pacer.due(1.5, 0) == 0
    assert pacer.due(1.6, 3) == 3


@given(st.lists(st.tuples(st.floats(0.001, 0.4), st.integers(0, 20)), min_size=1, max_size=60))
def test_moves_never_exceed_the_established_connections_and_leave_none(
    steps: list[tuple[float, int]],
) -> None:
    pacer, now, established = MovePacer(0.0, 2.0), 0.0, 50
    for elapsed, opened in steps:
        now += elapsed
        established += opened
        due = pacer.due(now, established)
        assert 0 <= due <= established
        established -= due
        assert now < 2.0 or established == 0
