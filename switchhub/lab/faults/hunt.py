"""Plans for fleets drawn from seeds, a failing one made small, a record played again: `lab faults`.

Owns: what is drawn and how often. Must never: draw what the judge could not excuse, or give a plan up before
it is made as small as single steps can.
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

SETTLE = 12  # seconds in which all agree, once every trouble is over
PAUSES = (100, 300, 700, 1200, 2500, 5000)  # milliseconds between two troubles


def random_plan(seed: int, balancers: int = 5, duties: bool = False) -> Plan:
    """Troubles one after another and on top of each other, then all is mended and all have to agree; with
    `duties` somebody holds one all along, whoever that is by then, and one is held in the end."""
    rng = Random(f"fleet/{seed}/{balancers}")
    names = [f"n{number}" for number in range(balancers)]
    dead: set[str] = set()
    stopped: set[str] = set()
    choked: set[str] = set()
    restarted: set[str] = set()
    steps: list[str] = []
    for _ in range(rng.randint(3, 9)):
        running = [name for name in names if name not in dead | stopped]
        some = ",".join(sorted(rng.sample(names, rng.randint(1, balancers - 1))))
        if duties and rng.random() < 0.2:
            steps.append(
                rng.choice(("cut @d *", "oneway @d *", "oneway * @d", "cut @d,n0 -@d,n0", "storm @d 1000"))
            )
            steps.append(str(rng.choice(PAUSES)))
        choice = rng.random()
        if choice < 0.30 and len(running) > 2:
            verb = rng.choice(("kill", "kill", "stop", "stop", "term", "choke"))
            hit = rng.sample(running, rng.randint(1, max(1, (len(running) - 1) // 2)))
            if verb == "choke" and restarted.intersection(hit):
                verb = "kill"  # one that is starting ends for want of descriptors, and says so
            {"kill": dead, "term": dead, "stop": stopped, "choke": choked}[verb].update(hit)
            choked -= dead
            steps.append(f"{verb} {','.join(sorted(hit))}")
        elif choice < 0.45 and dead | stopped:
            name = rng.choice(sorted(dead | stopped))
            steps.append(f"{'start' if name in dead else 'wake'} {name}")
            restarted.update({name} & dead)
            dead.discard(name)
            stopped.discard(name)
        elif choice < 0.60:
            steps.append(f"cut {some} -{some}")
        elif choice < 0.70:
            steps.append(f"oneway {some} {rng.choice((f'-{some}', '*'))}")
        elif choice < 0.90:
            steps.append(
                rng.choice(
                    (
                        f"loss {some} * {rng.choice((0.05, 0.2, 0.4))}",
                        f"double {some} * 0.3",
                        f"corrupt {some} * 0.05",
                        f"delay {some} * {rng.choice((5, 40))} {rng.choice((0, 60))}",
                        f"narrow {some} * {rng.choice((150, 400))}",
                        f"hold {some} *",
                        f"garbage {some}",
                    )
                )
            )
        else:
            steps.append("heal")
        steps.append(str(rng.choice(PAUSES)))
    steps.append("heal")
    steps += [f"{verb} {','.join(sorted(who))}" for verb, who in
              (("wake", stopped), ("free", choked), ("start", dead)) if who]  # fmt: skip
    steps.append(f"agree {SETTLE}")
    if not duties:
        return Plan(balancers, tuple(steps), name=f"seed {seed}")
    steps = [f"duty {','.join(names[:5])} d", "acts d 8", *steps, "acts d 8"]
    return Plan(balancers, tuple(steps), name=f"seed {seed}", voters=5 if balancers > 8 else 3)


def shrink_steps(steps: list[str], fails: Callable[[list[str]], bool], keep: int = 0) -> list[str]:
    """Steps left out one by one, from the end, as long as it still fails; the first so many stay."""
    at = len(steps) - 1
    while at >= keep:
        less = [*steps[:at], *steps[at + 1 :]]
        if fails(less):
            steps = less
        at -= 1
    return steps


def shrink_plan(plan: Plan, tries: int = 3) -> Plan:
    """Less of a plan that still goes wrong in one of so many plays."""

    def fails(steps: list[str]) -> bool:
        try:
            records = run_plans([dataclasses.replace(plan, steps=tuple(steps))] * tries, tries)
        except KeyError:  # it names a process that is not there any more
            return False
        return any(record.violations() for record in records)

    return dataclasses.replace(plan, steps=tuple(shrink_steps(list(plan.steps), fails)))


def read_recorded_plans(path: Path) -> list[Plan]:
    """The plans that a file of records tells of."""
    try:
        return [parse_plan(each["plan"], str(path)) for each in json.loads(path.read_text(encoding="utf-8"))]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise PlanError(f"{path}: expected records, as --json writes them: {error}") from None


def run_and_report(plans: list[Plan], at_once: int, shrink: bool = False) -> list[dict[str, Any]]:
    """Play them; a line for each that went wrong, and what all of them came to."""
    found = []
    for at in range(0, len(plans), at_once):  # so that what is found is told while the others are played
        part = plans[at : at + at_once]
        for plan, record in zip(part, run_plans(part, at_once), strict=True):
            found.append(record_to_json(record))
            wrong = found[-1]["faults"]
            if wrong:
                print(f"{plan.name}: {'; '.join(plan.steps)}\n    {'; '.join(wrong)}", flush=True)
            if wrong and shrink:
                found[-1]["shrunk"] = list(shrink_plan(plan).steps)
                print(f"    shrunk: {'; '.join(found[-1]['shrunk'])}", flush=True)
    total = {name: sum(each[name] for each in found) for name in ("clients", "up", "buried", "bytes")}
    print(f"{len(found)} plans, {sum(bool(each['faults']) for each in found)} wrong; {total}")
    return found


def record_to_json(record: Record) -> dict[str, Any]:
    """A record for a file: what was done, what was seen, what is wrong."""
    return {**dataclasses.asdict(record), "faults": record.violations(), **record.statistics()}
