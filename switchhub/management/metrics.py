"""Formats the metrics as lines of `name:value|kind`, where the kind is `c` (counter) or `g` (gauge).

Responsible for the names of the metrics and their order. Counts nothing: the numbers are kept in
`net.counters`, which the log line on `SIGUSR1` prints as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

OUTCOMES = {  # how a request ended, as `net.counters` names it, to its name in the metrics
    "served": "success",
    "refused": "overload",
    "failed": "error",
    "early": "error",
}


def format_metrics(
    classes: Iterable[str],
    answers: Mapping[tuple[str, str], int],
    dispatches: int,
    concurrent: int,
    targets: int,
    disabled: int,
) -> str:
    """Return all metrics as text; `answers` counts final answers by class and by how the request ended."""
    lines = []
    for name in classes:
        totals = dict.fromkeys(OUTCOMES.values(), 0)
        for ended, outcome in OUTCOMES.items():
            totals[outcome] += answers.get((name, ended), 0)
        lines += [f"balancer.replies.{name}.{outcome}:{total}|c" for outcome, total in totals.items()]
    lines += [
        f"balancer.dispatches:{dispatches}|c",
        f"balancer.concurrent:{concurrent}|g",
        f"balancer.targets:{targets}|g",
        f"balancer.targets_disabled:{disabled}|g",
    ]
    return "\n".join(lines) + "\n"
