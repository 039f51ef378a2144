"""Tables of results, comparisons of two policies, and of the simulation with real processes.

A difference counts as shown only if its confidence interval does not contain zero.
"""

from __future__ import annotations

import io
from statistics import fmean
from typing import Any

import numpy as np
from rich.console import Console
from rich.table import Table
from scipy import stats

from switchhub.lab.runs import Job, run_job
from switchhub.lab.scenario import Scenario

CONFIDENCE = 0.95  # level of the interval for a difference
ENGINE_DIFFERENCE_MAX = 0.10  # by how much the service of simulation and real processes may differ


def summarize(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """One row for each scenario and policy: the mean and the least service of all seeds, the rules that were
    broken, and how many cold servers crashed under load."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for each in results:
        groups.setdefault((each["scenario"], each["policy"]), []).append(each)
    return [
        {
            "scenario": scenario,
            "policy": policy,
            "seeds": len(group),
            "service": round(fmean(each["service"] for each in group), 4),
            "worst": round(min(each["service"] for each in group), 4),
            "broken": sorted({violation["name"] for each in group for violation in each["broken"]}),
            "fell": sum(each["counts"].get("servers.fallen", 0) for each in group),
        }
        for (scenario, policy), group in groups.items()
    ]


def _render(table: Table) -> str:
    """A table as plain text, 160 columns wide."""
    text = io.StringIO()
    Console(file=text, width=160, no_color=True).print(table)
    return text.getvalue().rstrip()


def format_table(rows: list[dict[str, Any]], policies: list[str]) -> str:
    """The rows of `summarize` as text: a line for each scenario, a column for each policy.

    `!` marks a broken rule; the number of cold servers that crashed under load is in brackets. The scenarios
    in which "design" is furthest behind the best policy are listed below the table."""
    table = Table(title=f"service, mean of {rows[0]['seeds']} seeds", box=None, pad_edge=False)
    table.add_column("scenario")
    for policy in policies:
        table.add_column(policy, justify="right")
    rows_by_scenario: dict[str, dict[str, dict[str, Any]]] = {}
    for row in rows:
        rows_by_scenario.setdefault(row["scenario"], {})[row["policy"]] = row
    for scenario, row_by_policy in rows_by_scenario.items():
        table.add_row(scenario, *(_cell(row_by_policy[policy]) for policy in policies))
    lines = [_render(table)]
    if "design" in policies and len(policies) > 1:
        gaps = sorted(
            (
                (
                    max(each["service"] for each in row_by_policy.values())
                    - row_by_policy["design"]["service"],
                    scenario,
                )
                for scenario, row_by_policy in rows_by_scenario.items()
            ),
            reverse=True,
        )
        lines.append(
            "largest gaps between design and the best policy: "
            + ", ".join(f"{scenario} {gap:.3f}" for gap, scenario in gaps[:3])
        )
    return "\n".join(lines)


def _cell(row: dict[str, Any]) -> str:
    crashes = f" ({row['fell']})" if row["fell"] else ""
    return f"{row['service']:.3f}{'!' if row['broken'] else ''}{crashes}"


def compare_runs(a: str, b: str, left: list[dict[str, Any]], right: list[dict[str, Any]]) -> dict[str, Any]:
    """Compare the results of two sides in pairs of the same seed.

    `a` and `b` are the sides' names, `left` and `right` their results. Returns the mean difference of
    service, b - a, and Student's confidence interval for it; the interval is None with a single seed."""
    differences = np.array(
        [b_run["service"] - a_run["service"] for a_run, b_run in zip(left, right, strict=True)]
    )
    if len(differences) < 2:
        low = high = float("nan")
    elif float(np.ptp(differences)) == 0.0:
        low = high = float(differences[0])
    else:
        interval = stats.ttest_1samp(differences, 0.0).confidence_interval(CONFIDENCE)
        low, high = float(interval.low), float(interval.high)
    shown = (low > 0 or high < 0) if len(differences) > 1 else False
    return {
        "a": a,
        "b": b,
        "scenario": left[0]["scenario"],
        "seeds": [each["seed"] for each in left],
        "service_a": round(fmean(each["service"] for each in left), 4),
        "service_b": round(fmean(each["service"] for each in right), 4),
        "difference": round(float(differences.mean()), 5),
        "low": round(low, 5) if len(differences) > 1 else None,
        "high": round(high, 5) if len(differences) > 1 else None,
        "shown": bool(shown),
        "broken_a": sum(bool(each["broken"]) for each in left),
        "broken_b": sum(bool(each["broken"]) for each in right),
    }


def format_comparison(comparison: dict[str, Any]) -> str:
    """The data of `compare_runs` as three lines of text."""
    head = (
        f"{comparison['scenario']}, {len(comparison['seeds'])} seeds: "
        f"{comparison['a']} {comparison['service_a']:.4f}, "
        f"{comparison['b']} {comparison['service_b']:.4f}"
    )
    if comparison["low"] is None:
        verdict = "no difference shown: a single seed gives no confidence interval"
    else:
        interval = (
            f"{comparison['difference']:+.4f}, "
            f"95% interval {comparison['low']:+.4f} to {comparison['high']:+.4f}"
        )
        verdict = f"{'difference' if comparison['shown'] else 'no difference shown:'} {interval}"
    broken = f"runs with a broken rule: {comparison['broken_a']}, {comparison['broken_b']}"
    return f"{head}\n{verdict}\n{broken}"


def compare_engines(scenarios: list[Scenario], seed: int) -> int:
    """Run each scenario in the simulation and with real processes, and print both services side by side.

    Returns the exit status: 1 if a rule was broken or the two differ by more than `ENGINE_DIFFERENCE_MAX`."""
    from switchhub.lab.live import runner

    failures = 0
    print(f"{'scenario':18} {'model':>7} {'live':>7} {'differ':>7}  note")
    for scenario in scenarios:
        simulated, live = run_job(Job(scenario, seed)), runner.run_live(scenario, seed)
        difference = abs(simulated["service"] - live["service"])
        note = "live run not valid: " + live["unfit"] if live.get("unfit") else ""
        for name, each in (("model", simulated), ("live", live)):
            if each["broken"]:
                note += f" {name}: {each['broken'][0]['name']}: {each['broken'][0]['text']}"
        failures += difference > ENGINE_DIFFERENCE_MAX or bool(simulated["broken"] or live["broken"])
        print(
            f"{scenario.name:18} {simulated['service']:7.4f} {live['service']:7.4f} "
            f"{difference:7.4f}  {note}",
            flush=True,
        )
    return 1 if failures else 0
