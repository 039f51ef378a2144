"""The figures, as lines of `name:value|kind`.

Owns: their names and order. Must never: count; what is counted lies in `net.counters`, of which this is one
reading and the line on `SIGUSR1` another.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

OUTCOMES = {  # how a request ended, as it is counted, and what the operators call it
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
    """All figures; `answers` counts final answers by class and by how the request ended."""
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
