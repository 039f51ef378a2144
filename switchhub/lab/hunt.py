"""`lab hunt`: draw scenarios from ranges, find where the design loses most or breaks a rule, and shrink that.

Owns: the ranges, the search and the files it writes. Must never: keep a smaller scenario that no longer
shows what the larger one did.

What a scenario loses is the oracle's service less the design's; a broken rule counts for more than any
loss. It is shrunk step by step to the smallest that still shows it: troubles taken out, then servers,
balancers, classes, load, seconds; each step plays both again.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from switchhub.lab.runs import Job, run_job, run_jobs
from switchhub.lab.scenario import Scenario, ScenarioError, parse_scenario

BROKEN = 10.0  # what a broken rule counts as
KEPT = 3  # of the worst that are shrunk and written
KEEPS = 0.7  # part of a loss that a smaller scenario must still show
LEAST = 0.01  # losses under this are not worth a file
STEPS = 60  # tries at shrinking one
KINDS = (
    "die", "hang", "slow", "errors", "full", "noisy", "drain", "rolling", "roster-out", "roster-stale",
    "roster-lying", "balancer-die", "balancer-restart", "zone-cut", "surge", "drop",
)  # fmt: skip


class Found(NamedTuple):
    """A scenario and what it loses; `broken` names the first broken rule."""

    loss: float
    broken: str
    data: dict[str, Any]
    seed: int


def draw(rng: Random, number: int) -> dict[str, Any]:
    """A scenario by lot."""
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
        kind = rng.choice([each for each in KINDS if each != "zone-cut" or len(zones) > 1])
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


def judged(data: dict[str, Any], seed: int, results: list[dict[str, Any]]) -> Found:
    """What a design's and an oracle's result say."""
    design, oracle = results
    broken = design["broken"][0]["name"] if design["broken"] else ""
    loss = BROKEN if broken else oracle["service"] - design["service"]
    return Found(loss, broken, data, seed)


def measure(data: dict[str, Any], seed: int) -> Found:
    """Play the design and the oracle."""
    scenario = parse_scenario(data)
    return judged(data, seed, [run_job(Job(scenario, seed, policy)) for policy in ("design", "oracle")])


def smaller(data: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Scenarios one step smaller, the greatest steps first."""
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
    last = max((each["at_s"] + each.get("seconds", 0.0) for each in troubles), default=0.0)
    if data["seconds"] > last + 6:
        yield {**data, "seconds": last + 6}
    if len(data["zones"]) > 1 and all(each["kind"] != "zone-cut" for each in troubles):
        yield {**data, "zones": data["zones"][:1]}


def shrink(found: Found, measured: Callable[[dict[str, Any], int], Found] = measure) -> Found:
    """The smallest that was reached and still shows it."""
    tries = 0
    while tries < STEPS:
        for data in smaller(found.data):
            tries += 1
            try:
                less = measured(data, found.seed)
            except ScenarioError:  # a trouble that meets a name which is gone
                continue
            same = less.broken == found.broken if found.broken else less.loss >= KEEPS * found.loss
            if same:
                found = less
                break
            if tries >= STEPS:
                return found
        else:
            return found
    return found


def scenario_to_toml(data: dict[str, Any]) -> str:
    """A scenario's data as a file; only what scenarios hold is written: figures, words, lists of words,
    tables."""
    plain: list[str] = []
    tables: list[str] = []
    for key, value in data.items():
        if isinstance(value, dict):
            tables += ["", f"[{key}]", *(f"{name} = {_plain(each)}" for name, each in value.items())]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for each in value:
                tables += ["", f"[[{key}]]", *(f"{name} = {_plain(one)}" for name, one in each.items())]
        elif value != []:
            plain.append(f"{key} = {_plain(value)}")
    text = "\n".join([*plain, *tables]) + "\n"
    if parse_scenario(tomllib.loads(text)) != parse_scenario(data):
        raise RuntimeError("a scenario that was written does not read back")
    return text


def _plain(value: Any) -> str:
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_plain(each) for each in value) + "]"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return str(value).lower() if isinstance(value, bool) else str(value)


def run(draws: int, seed: int, out: Path, workers: int = 0) -> int:
    """Hunt; the exit status is 1 if a rule broke."""
    drawn: list[tuple[dict[str, Any], int, Scenario]] = []
    number = 0
    while len(drawn) < draws:
        number += 1
        data = draw(Random(f"{seed}/hunt/{number}"), number)
        try:
            drawn.append((data, number, parse_scenario(data)))
        except ScenarioError as error:
            raise RuntimeError(f"a drawn scenario does not serve: {error}") from None
    jobs = [Job(scenario, one, policy) for _, one, scenario in drawn for policy in ("design", "oracle")]
    results = run_jobs(jobs, workers)
    found = [
        judged(data, one, results[2 * index : 2 * index + 2]) for index, (data, one, _) in enumerate(drawn)
    ]
    found.sort(key=lambda each: (-each.loss, each.seed))
    print(f"{draws} drawn; losses to the oracle: " + ", ".join(f"{each.loss:.3f}" for each in found[:10]))
    out.mkdir(parents=True, exist_ok=True)
    for each in found[:KEPT]:
        if each.loss < LEAST:
            continue
        small = shrink(each)
        what = f"breaks: {small.broken}" if small.broken else f"loses {small.loss:.3f} to the oracle"
        data = {**small.data, "shows": f"Found by lab hunt, seed {small.seed}: {what}"}
        path = out / f"{data['name']}.toml"
        path.write_text(scenario_to_toml(data), encoding="utf-8")
        before, after = len(each.data["troubles"]), len(data["troubles"])
        count = [sum(group["count"] for group in one["servers"]) for one in (each.data, data)]
        print(f"{path}: {what}; troubles {before} -> {after}, servers {count[0]} -> {count[1]}")
        print(f"  python -m switchhub lab run {path} --seed {small.seed}")
    return 1 if any(each.broken for each in found) else 0
