"""Tables and comparisons of results.

Owns: what stands in a table and how a difference is judged. Must never: call a difference shown whose
confidence interval holds zero.
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

CONFIDENCE = 0.95
NEAR = 0.10  # by how much the two engines' service may differ


def summarize(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """One row for each scenario and policy: mean service over the seeds, worst, broken rules, servers that
    fell."""
    found: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for each in results:
        found.setdefault((each["scenario"], each["policy"]), []).append(each)
    return [
        {
            "scenario": scenario,
            "policy": policy,
            "seeds": len(group),
            "service": round(fmean(each["service"] for each in group), 4),
            "worst": round(min(each["service"] for each in group), 4),
            "broken": sorted({one["name"] for each in group for one in each["broken"]}),
            "fell": sum(each["counts"].get("servers.fallen", 0) for each in group),
        }
        for (scenario, policy), group in found.items()
    ]


def _print(table: Table) -> str:
    text = io.StringIO()
    Console(file=text, width=160, no_color=True).print(table)
    return text.getvalue().rstrip()


def format_table(found: list[dict[str, Any]], policies: list[str]) -> str:
    """Scenarios down, policies across; `!` marks a broken rule, and how often servers fell stands in
    brackets."""
    out = Table(title=f"service, mean of {found[0]['seeds']} seeds", box=None, pad_edge=False)
    out.add_column("scenario")
    for policy in policies:
        out.add_column(policy, justify="right")
    by: dict[str, dict[str, dict[str, Any]]] = {}
    for row in found:
        by.setdefault(row["scenario"], {})[row["policy"]] = row
    for scenario, cells in by.items():
        out.add_row(scenario, *(_cell(cells[policy]) for policy in policies))
    lines = [_print(out)]
    if "design" in policies and len(policies) > 1:
        gaps = sorted(
            (
                (max(each["service"] for each in cells.values()) - cells["design"]["service"], name)
                for name, cells in by.items()
            ),
            reverse=True,
        )
        lines.append(
            "largest gaps of the design to the best: " + ", ".join(f"{n} {g:.3f}" for g, n in gaps[:3])
        )
    return "\n".join(lines)


def _cell(row: dict[str, Any]) -> str:
    fell = f" ({row['fell']})" if row["fell"] else ""
    return f"{row['service']:.3f}{'!' if row['broken'] else ''}{fell}"


def compare_runs(a: str, b: str, left: list[dict[str, Any]], right: list[dict[str, Any]]) -> dict[str, Any]:
    """Paired by seed: the mean difference b - a and Student's interval for it."""
    gaps = np.array([two["service"] - one["service"] for one, two in zip(left, right, strict=True)])
    if len(gaps) < 2:
        low = high = float("nan")
    elif float(np.ptp(gaps)) == 0.0:
        low = high = float(gaps[0])
    else:
        interval = stats.ttest_1samp(gaps, 0.0).confidence_interval(CONFIDENCE)
        low, high = float(interval.low), float(interval.high)
    shown = (low > 0 or high < 0) if len(gaps) > 1 else False
    return {
        "a": a,
        "b": b,
        "scenario": left[0]["scenario"],
        "seeds": [each["seed"] for each in left],
        "service_a": round(fmean(each["service"] for each in left), 4),
        "service_b": round(fmean(each["service"] for each in right), 4),
        "difference": round(float(gaps.mean()), 5),
        "low": round(low, 5) if len(gaps) > 1 else None,
        "high": round(high, 5) if len(gaps) > 1 else None,
        "shown": bool(shown),
        "broken_a": sum(bool(each["broken"]) for each in left),
        "broken_b": sum(bool(each["broken"]) for each in right),
    }


def format_comparison(found: dict[str, Any]) -> str:
    """A comparison in words."""
    head = (
        f"{found['scenario']}, {len(found['seeds'])} seeds: {found['a']} {found['service_a']:.4f}, "
        f"{found['b']} {found['service_b']:.4f}"
    )
    if found["low"] is None:
        verdict = "no difference shown: one seed tells nothing"
    else:
        interval = f"{found['difference']:+.4f}, 95% interval {found['low']:+.4f} to {found['high']:+.4f}"
        verdict = f"{'difference' if found['shown'] else 'no difference shown:'} {interval}"
    broken = f"runs with a broken rule: {found['broken_a']}, {found['broken_b']}"
    return f"{head}\n{verdict}\n{broken}"


def engines(found: list[Scenario], seed: int) -> int:
    """Both engines on each scenario, side by side; 1 where a rule broke or they lie further apart than
    `NEAR`."""
    from switchhub.lab.live import runner

    bad = 0
    print(f"{'scenario':18} {'model':>7} {'live':>7} {'apart':>7}  note")
    for scenario in found:
        modelled, live = run_job(Job(scenario, seed)), runner.run_live(scenario, seed)
        apart = abs(modelled["service"] - live["service"])
        note = "unfit: " + live["unfit"] if live.get("unfit") else ""
        for name, each in (("model", modelled), ("live", live)):
            if each["broken"]:
                note += f" {name}: {each['broken'][0]['name']}: {each['broken'][0]['text']}"
        bad += apart > NEAR or bool(modelled["broken"] or live["broken"])
        print(
            f"{scenario.name:18} {modelled['service']:7.4f} {live['service']:7.4f} {apart:7.4f}  {note}",
            flush=True,
        )
    return 1 if bad else 0
