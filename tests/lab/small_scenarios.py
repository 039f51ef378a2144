"""Small scenarios for the tests, as plain data to be changed."""

from __future__ import annotations

from typing import Any

from switchhub.lab.scenario import Scenario, parse_scenario


def scenario_data(**changes: Any) -> dict[str, Any]:
    values: dict[str, Any] = {
        "name": "small",
        "shows": "a small fleet for the tests",
        "seconds": 8.0,
        "zones": ["a", "b"],
        "balancers": {"count": 2},
        "clients": {"load": 0.5},
        "servers": [{"name": "s", "count": 4, "cells": 2}],
        "classes": [{"name": "any", "load": 20000.0, "life_s": 5.0}],
    }
    values.update(changes)
    return values


def trouble_data(kind: str, at: float, **fields: Any) -> dict[str, Any]:
    return {"name": f"{kind}-{at:g}", "kind": kind, "at_s": at, **fields}


SMALL_SCENARIOS: dict[str, dict[str, Any]] = {
    "calm": scenario_data(),
    "drain": scenario_data(troubles=[trouble_data("drain", 1.0, meets=["s-0"], drain_s=6.0)]),
    "unasked": scenario_data(
        seconds=14.0,
        discovery={"ask_within_s": 4.0},
        troubles=[
            trouble_data("roster-out", 0.5, seconds=1.0),
            trouble_data("drain", 2.0, meets=["s-0"], drain_s=12.0),
        ],
    ),
    "cold": scenario_data(
        seconds=16.0,
        clients={"load": 0.7},
        balancers={"count": 3},
        servers=[{"name": "s", "count": 8}],
        troubles=[trouble_data("rolling", 1.0, stride_s=3.0, drain_s=1.0)],
    ),
    "errors": scenario_data(
        classes=[{"name": "pay", "repeat": "unsafe", "load": 20000.0, "life_s": 5.0}],
        troubles=[trouble_data("errors", 1.0, value=0.5)],
    ),
    "keyed": scenario_data(
        classes=[{"name": "book", "repeat": "keyed", "scope": "cell", "load": 20000.0, "life_s": 5.0}],
        troubles=[trouble_data("errors", 1.0, value=0.5)],
    ),
}


def small_scenario(name: str, **changes: Any) -> Scenario:
    return parse_scenario({**SMALL_SCENARIOS[name], **changes})
