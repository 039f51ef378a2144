"""`lab hunt` generates valid scenarios, writes files that read back, and keeps a finding while it shrinks the
scenario; `lab plot` draws results."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from switchhub.lab import hunt
from switchhub.lab.cli import main
from switchhub.lab.hunt import Evaluation, draw_scenario, scenario_to_toml, shrink, smaller_scenarios
from switchhub.lab.scenario import parse_scenario


@pytest.mark.parametrize("number", range(60))
def test_a_generated_scenario_is_valid_and_reads_back_from_toml(number: int) -> None:
    data = draw_scenario(Random(number), number)
    assert parse_scenario(tomllib.loads(scenario_to_toml(data))) == parse_scenario(data)


def test_shrinking_keeps_the_broken_rule_and_removes_the_rest() -> None:
    data = next(
        each for number in range(200) if len((each := draw_scenario(Random(number), number))["troubles"]) == 4
    )
    culprit = data["troubles"][2]["name"]

    def fake_run(candidate: dict[str, Any], seed: int) -> Evaluation:
        """Breaks a rule as long as one of the troubles and two servers are left."""
        parse_scenario(candidate)
        bad = culprit in {each["name"] for each in candidate["troubles"]} and _server_count(candidate) >= 2
        return Evaluation(10.0 if bad else 0.0, "cut off" if bad else "", candidate, seed)

    small = shrink(Evaluation(10.0, "cut off", data, 1), fake_run)
    assert [each["name"] for each in small.data["troubles"]] == [culprit]
    assert _server_count(small.data) == 2
    assert small.data["balancers"]["count"] == 1
    fewer = [each for each in smaller_scenarios(small.data) if _server_count(each) < 2]
    assert fewer and not any(fake_run(each, 1).violation for each in fewer)


def _server_count(data: dict[str, Any]) -> int:
    return sum(int(each["count"]) for each in data["servers"])


def test_a_hunt_writes_a_valid_scenario_and_the_command_that_runs_it(
    tmp_path: Path, capsys: Any, monkeypatch: Any
) -> None:
    monkeypatch.setattr(hunt, "SHRUNK_SCENARIOS_MAX", 1)
    monkeypatch.setattr(hunt, "SHRINK_TRIES_MAX", 3)
    assert main(["hunt", "--draws", "3", "--seed", "1", "--out", str(tmp_path), "--workers", "2"]) == 0
    (file,) = tmp_path.glob("*.toml")
    output = capsys.readouterr().out
    assert f"lab run {file}" in output
    assert main(["check", str(file)]) == 0


def test_a_result_is_drawn_the_same_each_time_and_other_files_and_arguments_are_rejected(
    tmp_path: Path, capsys: Any
) -> None:
    out, picture = tmp_path / "out.json", tmp_path / "out.svg"
    assert main(["run", "lab/scenarios/quick-errors.toml", "--json", str(out), "--plot", str(picture)]) == 0
    first = picture.read_bytes()
    assert b"<svg" in first and json.loads(out.read_text())["version"] == 1
    assert main(["plot", str(out), str(picture)]) == 0
    assert picture.read_bytes() == first
    (tmp_path / "none.json").write_text('{"a": 1}')
    assert main(["plot", str(tmp_path / "none.json"), str(picture)]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1
    for wrong in (["--json", str(tmp_path / "no" / "x.json")], ["--plot", "x.txt"], ["--seed", "x"]):
        with pytest.raises(SystemExit) as ended:
            main(["run", "lab/scenarios/calm.toml", *wrong])
        assert ended.value.code == 2
