"""Draws random fault plans from seeds, shrinks failing ones and replays recorded ones: `lab faults`.

Must draw no fault whose consequences the checks of `Record` do not excuse: that would be reported as a
violation of a correct program. Shrinking tries to remove each step alone, from the last to the first.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab.faults.fleet import Plan, Record, parse_plan, run_plans
from switchhub.lab.faults.process_harness import PlanError

SETTLE_TIMEOUT_S = 12  # time in which all balancers agree after the last fault was undone
PAUSES_MS = (100, 300, 700, 1200, 2500, 5000)  # waits between two faults


def random_plan(seed: int, balancers: int = 5, with_lease: bool = False) -> Plan:
    """Return a plan drawn from the seed.

    Faults follow and overlap each other; then all are undone, and all balancers must agree. If `with_lease`
    is true, the lease `d` has candidates from the start, some faults hit its current holder, and it must be
    held in the end.
    """
    rng = Random(f"fleet/{seed}/{balancers}")
    names = [f"n{number}" for number in range(balancers)]
    ended: set[str] = set()
    stopped: set[str] = set()
    choked: set[str] = set()
    restarted: set[str] = set()
    steps: list[str] = []
    for _ in range(rng.randint(3, 9)):
        running = [name for name in names if name not in ended | stopped]
        affected = ",".join(sorted(rng.sample(names, rng.randint(1, balancers - 1))))
        if with_lease and rng.random() < 0.2:
            steps.append(
                rng.choice(("cut @d *", "oneway @d *", "oneway * @d", "cut @d,n0 -@d,n0", "storm @d 1000"))
            )
            steps.append(str(rng.choice(PAUSES_MS)))
        choice = rng.random()
        if choice < 0.30 and len(running) > 2:
            verb = rng.choice(("kill", "kill", "stop", "stop", "term", "choke"))
            targets = rng.sample(running, rng.randint(1, max(1, (len(running) - 1) // 2)))
            if verb == "choke" and restarted.intersection(targets):
                verb = "kill"  # a process that lacks descriptors while it starts reports the error and exits
            {"kill": ended, "term": ended, "stop": stopped, "choke": choked}[verb].update(targets)
            choked -= ended
            steps.append(f"{verb} {','.join(sorted(targets))}")
        elif choice < 0.45 and ended | stopped:
            name = rng.choice(sorted(ended | stopped))
            steps.append(f"{'start' if name in ended else 'wake'} {name}")
            restarted.update({name} & ended)
            ended.discard(name)
            stopped.discard(name)
        elif choice < 0.60:
            steps.append(f"cut {affected} -{affected}")
        elif choice < 0.70:
            steps.append(f"oneway {affected} {rng.choice((f'-{affected}', '*'))}")
        elif choice < 0.90:
            steps.append(
                rng.choice(
                    (
                        f"loss {affected} * {rng.choice((0.05, 0.2, 0.4))}",
                        f"double {affected} * 0.3",
                        f"corrupt {affected} * 0.05",
                        f"delay {affected} * {rng.choice((5, 40))} {rng.choice((0, 60))}",
                        f"narrow {affected} * {rng.choice((150, 400))}",
                        f"hold {affected} *",
                        f"garbage {affected}",
                    )
                )
            )
        else:
            steps.append("heal")
        steps.append(str(rng.choice(PAUSES_MS)))
    steps.append("heal")
    steps += [f"{verb} {','.join(sorted(who))}" for verb, who in
              (("wake", stopped), ("free", choked), ("start", ended)) if who]  # fmt: skip
    steps.append(f"agree {SETTLE_TIMEOUT_S}")
    if not with_lease:
        return Plan(balancers, tuple(steps), name=f"seed {seed}")
    steps = [f"duty {','.join(names[:5])} d", "acts d 8", *steps, "acts d 8"]
    return Plan(balancers, tuple(steps), name=f"seed {seed}", voters=5 if balancers > 8 else 3)


def shrink_steps(steps: list[str], fails: Callable[[list[str]], bool], keep: int = 0) -> list[str]:
    """Remove steps one by one, from the end, as long as the rest still fails; the first `keep` steps stay."""
    at = len(steps) - 1
    while at >= keep:
        remaining = [*steps[:at], *steps[at + 1 :]]
        if fails(remaining):
            steps = remaining
        at -= 1
    return steps


def shrink_plan(plan: Plan, tries: int = 3) -> Plan:
    """Return the plan without the steps that are not needed to violate a check in one of `tries` runs."""

    def fails(steps: list[str]) -> bool:
        try:
            records = run_plans([dataclasses.replace(plan, steps=tuple(steps))] * tries, tries)
        except KeyError:  # a remaining step names a process whose start was removed
            return False
        return any(record.violations() for record in records)

    return dataclasses.replace(plan, steps=tuple(shrink_steps(list(plan.steps), fails)))


def read_recorded_plans(path: Path) -> list[Plan]:
    """Return the plans of a file that was written by `--json`.

    Raises:
        PlanError: the file is missing or has another form.
    """
    try:
        return [
            parse_plan(record["plan"], str(path)) for record in json.loads(path.read_text(encoding="utf-8"))
        ]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise PlanError(f"{path}: expected records, as --json writes them: {error}") from None


def run_and_report(plans: list[Plan], at_once: int, shrink: bool = False) -> list[dict[str, Any]]:
    """Run the plans, print each with violations and a summary, and return the results for `--json`."""
    results = []
    for at in range(0, len(plans), at_once):  # in batches, so that a violation is printed before all have run
        batch = plans[at : at + at_once]
        for plan, record in zip(batch, run_plans(batch, at_once), strict=True):
            results.append(record_to_json(record))
            violations = results[-1]["faults"]
            if violations:
                print(f"{plan.name}: {'; '.join(plan.steps)}\n    {'; '.join(violations)}", flush=True)
            if violations and shrink:
                results[-1]["shrunk"] = list(shrink_plan(plan).steps)
                print(f"    shrunk: {'; '.join(results[-1]['shrunk'])}", flush=True)
    total = {name: sum(each[name] for each in results) for name in ("clients", "up", "buried", "bytes")}
    print(f"{len(results)} plans, {sum(bool(each['faults']) for each in results)} with violations; {total}")
    return results


def record_to_json(record: Record) -> dict[str, Any]:
    """Return a record for `--json`: its fields, its violations under `faults`, and its statistics."""
    return {**dataclasses.asdict(record), "faults": record.violations(), **record.statistics()}
