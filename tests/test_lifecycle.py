"""What a process is, and how evenly it gives its connections away."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from switchhub.lifecycle.move_pacer import MovePacer
from switchhub.lifecycle.phase import Lifecycle, Phase


def ready() -> Lifecycle:
    life = Lifecycle()
    life.begin()
    return life


def test_only_a_ready_process_is_healthy() -> None:
    life = Lifecycle()
    assert not life.healthy and not life.accepts_new_clients
    life.begin()
    assert life.healthy and life.accepts_new_clients
    assert life.drain()
    assert not life.healthy and not life.accepts_new_clients


def test_a_second_fail_and_an_ok_without_one_change_nothing() -> None:
    life = ready()
    assert life.restore() and life.phase is Phase.READY
    assert life.drain() and not life.drain()
    assert life.restore() and life.restore() and life.phase is Phase.READY


def test_a_drain_before_the_start_is_kept_until_ok() -> None:
    life = Lifecycle()
    assert life.drain()
    life.begin()
    assert not life.healthy
    assert life.restore() and life.phase is Phase.READY


def test_ok_before_the_start_does_not_make_it_ready() -> None:
    life = Lifecycle()
    life.drain()
    assert life.restore() and life.phase is Phase.STARTING
    life.begin()
    assert life.healthy


def test_nothing_leads_back_from_stopping() -> None:
    life = ready()
    life.stop()
    assert not life.restore() and not life.drain()
    life.supersede()
    assert life.stopping and not life.healthy


def test_one_that_stops_says_no_to_ping_only_if_it_was_drained() -> None:
    life = ready()
    life.stop()
    assert life.accepts_new_clients and not life.healthy
    drained = ready()
    drained.drain()
    drained.stop()
    assert not drained.accepts_new_clients


def test_one_that_gives_way_still_answers_ping_for_its_successor() -> None:
    life = ready()
    assert life.supersede() and not life.supersede()
    assert life.accepts_new_clients and not life.healthy
    assert not life.restore()
    life.stop()
    assert life.accepts_new_clients and not life.healthy and not life.reinstate()


def test_a_successor_that_has_gone_leaves_everything_as_it_was() -> None:
    life = ready()
    life.supersede()
    assert life.reinstate() and life.healthy
    life.drain()
    life.supersede()
    assert life.reinstate() and not life.healthy and not life.accepts_new_clients
    assert life.restore() and life.healthy


def test_a_drain_while_giving_way_is_carried_out_once() -> None:
    life = ready()
    life.supersede()
    assert life.drain() and not life.drain()
    assert life.accepts_new_clients


def test_pace_is_even_and_done_in_time() -> None:
    pace, standing, moved = MovePacer(1.0, 3.0), 200, []
    for step in range(300):
        now = step * 0.01
        due = pace.due(now, standing)
        standing -= due
        moved.append(due)
    assert not any(moved[:100])
    assert max(moved[100:299]) <= 2
    assert 90 <= sum(moved[:200]) <= 110
    assert standing == 0 or pace.due(3.0, standing) == standing


def test_who_comes_up_after_the_end_goes_at_once() -> None:
    pace = MovePacer(0.0, 1.0)
    assert pace.due(1.5, 0) == 0
    assert pace.due(1.6, 3) == 3


@given(st.lists(st.tuples(st.floats(0.001, 0.4), st.integers(0, 20)), min_size=1, max_size=60))
def test_pace_never_moves_more_than_stand_and_leaves_nobody(steps: list[tuple[float, int]]) -> None:
    pace, now, standing = MovePacer(0.0, 2.0), 0.0, 50
    for wait, come in steps:
        now += wait
        standing += come
        due = pace.due(now, standing)
        assert 0 <= due <= standing
        standing -= due
        assert now < 2.0 or standing == 0
