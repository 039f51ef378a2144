"""Runs in virtual time: the same bytes for a scenario and a seed, whoever plays them, and figures that make
sense."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from switchhub.lab.baselines import POLICIES
from switchhub.lab.report import compare_runs, format_comparison, format_table, summarize
from switchhub.lab.run_statistics import dump_json
from switchhub.lab.runs import Job, run_job, run_jobs
from switchhub.lab.scenario import Scenario
from tests.lab.small_scenarios import small_scenario, trouble_data

ROOT = Path(__file__).parent.parent.parent


def service(scenario: Scenario, policy: str = "design", seed: int = 1) -> float:
    result = run_job(Job(scenario, seed, policy))
    assert not result["broken"] or policy != "design"
    return float(result["service"])


def test_bytes_do_not_depend_on_hashes_or_workers(tmp_path: Path) -> None:
    outputs = []
    for seed in ("0", "1"):
        out = tmp_path / f"{seed}.json"
        subprocess.run(
            [sys.executable, "-m", "switchhub", "lab", "run", "lab/scenarios/hang.toml", "--json", str(out)],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
        )
        outputs.append(out.read_bytes())
    assert outputs[0] == outputs[1]
    jobs = [Job(small_scenario("cold"), seed, policy) for seed in (1, 2) for policy in ("design", "oracle")]
    assert [dump_json(each) for each in run_jobs(jobs, 1)] == [dump_json(each) for each in run_jobs(jobs, 3)]


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_serves_a_calm_day(policy: str) -> None:
    assert service(small_scenario("calm"), policy) > 0.95


def test_overload_from_the_start_is_refused_in_part_and_the_rest_served() -> None:
    overloaded = small_scenario("calm", clients={"load": 2.0, "retries": 1, "standing": 0.4}, seconds=15.0)
    assert 0.3 < service(overloaded) < 0.8
    assert service(overloaded, "plain") < service(overloaded) < service(overloaded, "oracle") + 0.05


def test_hung_servers_cost_a_second_not_the_run() -> None:
    hung = small_scenario("calm", troubles=[trouble_data("hang", 2.0, meets=["s-0"])])
    assert service(hung, "random") < service(hung) - 0.01
    assert service(hung) > 0.9


def test_everything_dead_serves_nobody_and_breaks_no_rule() -> None:
    dead = small_scenario("calm", troubles=[trouble_data("die", 0.0)])
    assert service(dead) == 0.0


def test_a_server_that_falls_stays_down() -> None:
    result = run_job(Job(small_scenario("cold"), 1, "plain"))
    assert result["counts"]["servers.fallen"] == len(result["broken"]) > 0


def test_balancers_die_and_return_and_all_is_served_again() -> None:
    troubles = [
        trouble_data("balancer-die", 1.0, seconds=1.5, meets=["b0"]),
        trouble_data("balancer-restart", 4.0, meets=["b1"]),
    ]
    result = run_job(Job(small_scenario("calm", troubles=troubles, seconds=14.0), 1))
    assert not result["broken"]
    assert result["counts"]["clients.broken"] > 5 and result["counts"]["clients.moved"] > 5
    assert min(each for each in result["series"]["service"][-7:-1] if each is not None) > 0.95


def test_a_comparison_says_what_is_shown_and_what_is_not() -> None:
    hung = small_scenario("calm", troubles=[trouble_data("hang", 2.0, meets=["s-0"])])
    left = run_jobs([Job(hung, seed, "random") for seed in range(4)], 1)
    right = run_jobs([Job(hung, seed, "design") for seed in range(4)], 1)
    result = compare_runs("random", "design", left, right)
    assert result["shown"] and result["low"] > 0
    unchanged = compare_runs("design", "design", right, right)
    assert not unchanged["shown"]
    assert "no difference shown" in format_comparison(unchanged)
    assert "no difference shown" in format_comparison(compare_runs("a", "b", left[:1], right[:1]))
    text = format_table(summarize(left + right), ["design", "random"])
    assert "small" in text and "largest gaps" in text


def test_another_checkout_decides_as_this_one_where_it_is_the_same() -> None:
    ours = run_job(Job(small_scenario("cold"), 3))
    theirs = run_job(Job(small_scenario("cold"), 3, other_checkout=ROOT))
    assert {**theirs, "policy": "design"} == ours


def test_a_balancer_alone_imports_nothing_of_the_lab_nor_its_libraries() -> None:
    code = (
        "import sys; import switchhub.__main__, switchhub.net.listener\n"
        "heavy = ('switchhub.lab', 'switchhub.cli', 'pydantic', 'rich', 'numpy', 'scipy', 'hdrh')\n"
        "print([name for name in sys.modules if name.startswith(heavy)])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_drains_told_while_first_lines_are_under_way_are_kept() -> None:
    far = {"within_ms": 120.0, "between_ms": 120.0}
    rolling = [trouble_data("rolling", 1.0, stride_s=2.5, drain_s=3.0, down_s=1.0)]
    result = run_job(Job(small_scenario("cold", network=far, troubles=rolling), 1))
    assert not result["broken"]
    assert result["counts"]["attempt.not_sent"] > 0 and result["counts"]["attempt.full"] > 0
