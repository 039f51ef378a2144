"""Scenario files are checked whole: every fault a line with its path, nothing started; troubles are
intervals."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from switchhub.lab.cli import SCENARIO_DIRECTORY, main
from switchhub.lab.fake_server import FakeServer, SetupReply, server_specs
from switchhub.lab.scenario import ScenarioError, parse_scenario, read_scenario
from switchhub.lab.timeline import FOREVER, Timeline, discovery_updates, downtimes, expand_troubles
from tests.lab.small_scenarios import scenario_data, small_scenario, trouble_data


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"sevrers": []}, "sevrers"),
        ({"servers": []}, "servers"),
        ({"seconds": -1}, "seconds"),
        ({"seconds": 1e12}, "seconds"),
        ({"seconds": "8s"}, "seconds"),
        ({"clients": {"load": float("nan")}}, "clients.load"),
        ({"clients": {"load": 1000.0}, "servers": [{"name": "s", "count": 20_000}]}, "clients.load"),
        ({"servers": [{"name": "s", "count": 2}, {"name": "s", "count": 1}]}, "servers.1.name"),
        ({"servers": [{"name": "s", "count": 2, "zone": "x"}]}, "servers.0.zone"),
        ({"classes": [{"name": "c", "deadline_s": 2}]}, "classes.0.deadline_s"),
        ({"troubles": [trouble_data("die", 1.0, meets=["t-*"])]}, "troubles.0.meets"),
        ({"troubles": [trouble_data("die", 99.0)]}, "troubles.0.at_s"),
        ({"troubles": [trouble_data("explode", 1.0)]}, "troubles.0.kind"),
        ({"troubles": [trouble_data("errors", 1.0, value=2.0)]}, "troubles.0.value"),
    ],
)
def test_each_fault_is_a_line_with_its_path(changes: dict[str, Any], key_path: str) -> None:
    with pytest.raises(ScenarioError) as raised:
        parse_scenario(scenario_data(**changes))
    assert any(fault.startswith(f"{key_path}: ") for fault in raised.value.problems), raised.value.problems
    assert all("\n" not in fault for fault in raised.value.problems)


def test_all_faults_of_all_files_are_told_at_once_with_status_2(tmp_path: Path, capsys: Any) -> None:
    (tmp_path / "a.toml").write_text('name = "a"\nseconds = -4\nshows = "two faults and more"\nnope = 1\n')
    (tmp_path / "b.toml").write_text("name = \n")
    assert main(["check", str(tmp_path / "a.toml"), str(tmp_path / "b.toml"), str(tmp_path / "c.toml")]) == 2
    error_text = capsys.readouterr().err
    for expected_text in ("a.toml: seconds:", "a.toml: nope:", "a.toml: servers:", "b.toml: ", "c.toml: "):
        assert expected_text in error_text
    assert main(["run", str(tmp_path / "b.toml")]) == 2


def test_the_shelf_serves_and_each_says_what_it_shows() -> None:
    scenarios = [read_scenario(path) for path in sorted(SCENARIO_DIRECTORY.glob("*.toml"))]
    assert len(scenarios) >= 16
    assert len({each.shows for each in scenarios}) == len(scenarios)


def test_overlapping_troubles_on_one_server_end_in_any_order() -> None:
    scenario = small_scenario(
        "calm", troubles=[trouble_data("die", 1.0, seconds=5.0), trouble_data("die", 2.0, seconds=1.0)]
    )
    timeline = expand_troubles(scenario, 1)
    assert downtimes(timeline, "s-0") == [(1.0, 6.0)]
    assert [each.state for each in discovery_updates(scenario, timeline) if each.server == "s-0"] == [
        "Gone",
        "Ready",
    ]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["die", "hang", "slow", "noisy", "full", "errors"]),
            st.integers(0, 8),
            st.integers(1, 8),
        ),
        min_size=1,
        max_size=5,
    )
)
def test_a_server_is_as_new_once_all_troubles_are_over(drawn_troubles: list[tuple[str, int, int]]) -> None:
    troubles = [
        {"name": f"t{number}", "kind": kind, "at_s": at, "seconds": length, "value": 1.0}
        for number, (kind, at, length) in enumerate(drawn_troubles)
    ]
    scenario = small_scenario("calm", troubles=troubles)
    server = FakeServer(scenario, server_specs(scenario)[0], 1)
    for change in expand_troubles(scenario, 1).changes:
        if change.interval.target == server.name:
            server.apply_change(change.at, change.begins, change.interval)
    assert not (server.dead or server.hanging or server.full or server.draining)
    assert server.work_rate(1e6) == 1_000_000.0
    assert server.receive_first_line(1e6, "c", 100.0)[0] is SetupReply.UP


def test_a_trouble_may_meet_nobody_or_all() -> None:
    for fraction, count in ((0.0, 0), (1.0, 4)):
        timeline = expand_troubles(
            small_scenario("calm", troubles=[trouble_data("hang", 1.0, part=fraction)]), 1
        )
        assert len(timeline.intervals) == count
        assert all(each.end == FOREVER for each in timeline.intervals)
    assert Timeline([], 1.0).arrival_factor(0.5) == 1.0
