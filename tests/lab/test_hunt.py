"""Hunting: what is drawn serves, what is written reads back, and shrinking keeps what was found."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from random import Random
from typing import Any

import pytest

from switchhub.lab import hunt
from switchhub.lab.cli import main
from switchhub.lab.hunt import Found, draw, scenario_to_toml, shrink, smaller
from switchhub.lab.scenario import parse_scenario


@pytest.mark.parametrize("number", range(60))
def test_what_is_drawn_serves_and_reads_back(number: int) -> None:
    data = draw(Random(number), number)
    assert parse_scenario(tomllib.loads(scenario_to_toml(data))) == parse_scenario(data)


def test_shrinking_keeps_the_broken_rule_and_takes_the_rest_away() -> None:
    data = next(each for number in range(200) if len((each := draw(Random(number), number))["troubles"]) == 4)
    culprit = data["troubles"][2]["name"]

    def measured(told: dict[str, Any], seed: int) -> Found:
        parse_scenario(told)
        bad = culprit in {each["name"] for each in told["troubles"]} and _count(told) >= 2
        return Found(10.0 if bad else 0.0, "cut off" if bad else "", told, seed)

    small = shrink(Found(10.0, "cut off", data, 1), measured)
    assert [each["name"] for each in small.data["troubles"]] == [culprit]
    assert _count(small.data) == 2
    assert small.data["balancers"]["count"] == 1
    fewer = [each for each in smaller(small.data) if _count(each) < 2]
    assert fewer and not any(measured(each, 1).broken for each in fewer)


def _count(data: dict[str, Any]) -> int:
    return sum(int(each["count"]) for each in data["servers"])


def test_a_hunt_writes_files_that_replay_the_loss(tmp_path: Path, capsys: Any, monkeypatch: Any) -> None:
    monkeypatch.setattr(hunt, "KEPT", 1)
    monkeypatch.setattr(hunt, "STEPS", 3)
    assert main(["hunt", "--draws", "3", "--seed", "1", "--out", str(tmp_path), "--workers", "2"]) == 0
    (file,) = tmp_path.glob("*.toml")
    told = capsys.readouterr().out
    assert f"lab run {file}" in told
    assert main(["check", str(file)]) == 0


def test_a_result_is_drawn_and_what_is_none_is_refused(tmp_path: Path, capsys: Any) -> None:
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
