"""`lab hunt`: generates random scenarios, finds those in which the balancer does worst or breaks a rule, and
reduces them to small scenarios that still show it.

Two policies run each scenario: `design`, which is this project's balancer, and `oracle`, which sees the true
state of the simulation. A scenario's loss is the oracle's service minus the design's; a broken rule counts
for more than any loss. A scenario is shrunk in single steps (fewer troubles, servers, classes, balancers,
seconds or zones), and both policies run again after each. A step is kept only if the result still shows the
same broken rule or most of the loss.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from switchhub.lab.runs import Job, run_job, run_jobs
from switchhub.lab.scenario import Scenario, ScenarioError, parse_scenario

VIOLATION_LOSS = 10.0  # the loss that a broken rule counts as; service is at most 1
SHRUNK_SCENARIOS_MAX = 3  # how many of the worst scenarios are shrunk and written
KEPT_LOSS_FRACTION = 0.7  # of the loss that a smaller scenario must still show
WRITTEN_LOSS_MIN = 0.01  # scenarios that lose less are not written
SHRINK_TRIES_MAX = 60  # smaller scenarios tried for one
TROUBLE_KINDS = (
    "die", "hang", "slow", "errors", "full", "noisy", "drain", "rolling", "roster-out", "roster-stale",
    "roster-lying", "balancer-die", "balancer-restart", "zone-cut", "surge", "drop",
)  # fmt: skip


class Evaluation(NamedTuple):
    """A scenario with its loss, and the name of the first broken rule, or "" if none was."""

    loss: float
    violation: str
    data: dict[str, Any]
    seed: int


def draw_scenario(rng: Random, number: int) -> dict[str, Any]:
    """A random scenario, as the plain data of a scenario file; `number` makes its name."""
    zones = ["a", "b", "c"][: rng.randint(1, 3)]
    seconds = float(rng.randint(15, 30))
    servers = [
        {
            "name": name,
            "count": rng.randint(2, 8),
            "speed": round(rng.uniform(0.7, 1.5), 2),
            "cells": rng.randint(1, 3),
        }
        for name in ["s", "t"][: rng.randint(1, 2)]
    ]
    classes = [
        {
            "name": name,
            "repeat": rng.choice(["safe", "safe", "keyed", "unsafe"]),
            "scope": rng.choice(["all", "zone", "cell"]),
            "worth": float(rng.randint(1, 4)),
            "load": float(rng.choice([4000, 10000, 30000])),
            "hint_error": round(rng.uniform(0.0, 0.8), 2),
            "life_s": float(rng.choice([5, 15, 40])),
        }
        for name in ["feed", "chat"][: rng.randint(1, 2)]
    ]
    troubles = []
    for index in range(rng.randint(1, 4)):
        kind = rng.choice([each for each in TROUBLE_KINDS if each != "zone-cut" or len(zones) > 1])
        trouble: dict[str, Any] = {
            "name": f"t{index}",
            "kind": kind,
            "at_s": float(rng.randint(2, int(seconds) - 8)),
            "seconds": float(rng.randint(2, 10)),
        }
        if kind not in ("surge", "rolling", "balancer-restart") and not kind.startswith("roster"):
            trouble["part"] = round(rng.uniform(0.1, 0.6), 2)
        if kind in ("slow", "surge"):
            trouble["value"] = round(rng.uniform(1.5, 5.0), 1)
        elif kind in ("errors", "noisy"):
            trouble["value"] = round(rng.uniform(0.3, 1.0), 2)
        if kind in ("rolling", "balancer-restart"):
            trouble["stride_s"] = float(rng.randint(2, 5))
        if kind == "zone-cut":
            trouble["meets"] = [rng.choice(zones)]
            del trouble["part"]
        troubles.append(trouble)
    return {
        "name": f"found-{number}",
        "shows": "drawn by lab hunt",
        "seconds": seconds,
        "zones": zones,
        "balancers": {"count": rng.randint(1, 6)},
        "clients": {"load": round(rng.uniform(0.3, 1.2), 2), "retries": rng.choice([3, 10, 50])},
        "servers": servers,
        "classes": classes,
        "troubles": troubles,
    }


def evaluate(data: dict[str, Any], seed: int, results: list[dict[str, Any]]) -> Evaluation:
    """The evaluation of a scenario from the two results of "design" and "oracle", in this order."""
    design, oracle = results
    violation = design["broken"][0]["name"] if design["broken"] else ""
    loss = VIOLATION_LOSS if violation else oracle["service"] - design["service"]
    return Evaluation(loss, violation, data, seed)


def run_and_evaluate(data: dict[str, Any], seed: int) -> Evaluation:
    """Run a scenario with both policies and evaluate it; raises ScenarioError if the data is not valid."""
    scenario = parse_scenario(data)
    return evaluate(data, seed, [run_job(Job(scenario, seed, policy)) for policy in ("design", "oracle")])


def smaller_scenarios(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """All scenarios that are one step smaller, the largest reductions first. Some may not be valid."""
    troubles = data["troubles"]
    for index in range(len(troubles)):
        yield {**data, "troubles": troubles[:index] + troubles[index + 1 :]}
    for key in ("servers", "classes"):
        for index in range(len(data[key])):
            if len(data[key]) > 1:
                yield {**data, key: data[key][:index] + data[key][index + 1 :]}
    for index, group in enumerate(data["servers"]):
        for count in (group["count"] // 2, group["count"] - 1):
            if 0 < count < group["count"]:
                groups = [*data["servers"]]
                groups[index] = {**group, "count": count}
                yield {**data, "servers": groups}
    count = data["balancers"]["count"]
    if count > 1:
        yield {**data, "balancers": {**data["balancers"], "count": max(1, count // 2)}}
    last_trouble_end = max((each["at_s"] + each.get("seconds", 0.0) for each in troubles), default=0.0)
    if data["seconds"] > last_trouble_end + 6:
        yield {**data, "seconds": last_trouble_end + 6}
    if len(data["zones"]) > 1 and all(each["kind"] != "zone-cut" for each in troubles):
        yield {**data, "zones": data["zones"][:1]}


def shrink(
    found: Evaluation, run_scenario: Callable[[dict[str, Any], int], Evaluation] = run_and_evaluate
) -> Evaluation:
    """The smallest scenario that `SHRINK_TRIES_MAX` tries lead to and that still shows what `found` does.

    That is the same broken rule, or `KEPT_LOSS_FRACTION` of the loss of the scenario before."""
    tries = 0
    while tries < SHRINK_TRIES_MAX:
        for data in smaller_scenarios(found.data):
            tries += 1
            try:
                candidate = run_scenario(data, found.seed)
            except ScenarioError:  # a trouble's target was removed
                continue
            same = (
                candidate.violation == found.violation
                if found.violation
                else candidate.loss >= KEPT_LOSS_FRACTION * found.loss
            )
            if same:
                found = candidate
                break
            if tries >= SHRINK_TRIES_MAX:
                return found
        else:
            return found
    return found


def scenario_to_toml(data: dict[str, Any]) -> str:
    """A scenario's data as the text of a TOML file.

    Writes only the kinds of values that scenarios hold: numbers, strings, lists of strings, and tables.
    Raises RuntimeError if the text does not parse back to the same scenario."""
    plain_lines: list[str] = []
    table_lines: list[str] = []
    for key, value in data.items():
        if isinstance(value, dict):
            table_lines += [
                "",
                f"[{key}]",
                *(f"{name} = {_toml_value(each)}" for name, each in value.items()),
            ]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for each in value:
                table_lines += [
                    "",
                    f"[[{key}]]",
                    *(f"{name} = {_toml_value(one)}" for name, one in each.items()),
                ]
        elif value != []:
            plain_lines.append(f"{key} = {_toml_value(value)}")
    text = "\n".join([*plain_lines, *table_lines]) + "\n"
    if parse_scenario(tomllib.loads(text)) != parse_scenario(data):
        raise RuntimeError("the TOML text of a scenario does not parse back to the same scenario")
    return text


def _toml_value(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_toml_value(each) for each in value) + "]"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return str(value).lower() if isinstance(value, bool) else str(value)


def run(draws: int, seed: int, out: Path, workers: int = 0) -> int:
    """Run `draws` random scenarios and write the worst, shrunk, to files in the folder `out`.

    `workers` is the number of processes; 0: one for each core. Returns the exit status: 1 if a rule was
    broken. Raises RuntimeError if a generated scenario is not valid, which is a fault of this module."""
    drawn: list[tuple[dict[str, Any], int, Scenario]] = []
    number = 0
    while len(drawn) < draws:
        number += 1
        data = draw_scenario(Random(f"{seed}/hunt/{number}"), number)
        try:
            drawn.append((data, number, parse_scenario(data)))
        except ScenarioError as error:
            raise RuntimeError(f"a generated scenario is not valid: {error}") from None
    jobs = [
        Job(scenario, run_seed, policy) for _, run_seed, scenario in drawn for policy in ("design", "oracle")
    ]
    results = run_jobs(jobs, workers)
    evaluations = [
        evaluate(data, run_seed, results[2 * index : 2 * index + 2])
        for index, (data, run_seed, _) in enumerate(drawn)
    ]
    evaluations.sort(key=lambda each: (-each.loss, each.seed))
    print(
        f"{draws} scenarios generated; loss of service against the oracle, worst first: "
        + ", ".join(f"{each.loss:.3f}" for each in evaluations[:10])
    )
    out.mkdir(parents=True, exist_ok=True)
    for each in evaluations[:SHRUNK_SCENARIOS_MAX]:
        if each.loss < WRITTEN_LOSS_MIN:
            continue
        small = shrink(each)
        finding = f"breaks: {small.violation}" if small.violation else f"loses {small.loss:.3f} to the oracle"
        data = {**small.data, "shows": f"Found by lab hunt, seed {small.seed}: {finding}"}
        path = out / f"{data['name']}.toml"
        path.write_text(scenario_to_toml(data), encoding="utf-8")
        troubles_before, troubles_after = len(each.data["troubles"]), len(data["troubles"])
        server_counts = [sum(group["count"] for group in one["servers"]) for one in (each.data, data)]
        print(
            f"{path}: {finding}; troubles {troubles_before} -> {troubles_after}, "
            f"servers {server_counts[0]} -> {server_counts[1]}"
        )
        print(f"  python -m switchhub lab run {path} --seed {small.seed}")
    return 1 if any(each.violation for each in evaluations) else 0
