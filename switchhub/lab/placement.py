"""Run as a file, `placement.py CHECKOUT SERVERS ROUNDS`: what one placement costs with a checkout's
decisions.

Owns: nothing. Must never: import anything of the project but the checkout's own decisions; it is started by
path, so that two checkouts never share modules.
"""

from __future__ import annotations

import sys
import time
from importlib import import_module
from statistics import median
from typing import Any

TURNS = 5
STANDING = 2000  # connections that stand meanwhile, or four for each server if that is less


def measure(names: Any, servers: int, rounds: int) -> float:
    """Microseconds of pick, up and end together; the median of five turns."""
    api: Any = import_module("switchhub.decision.interface")
    facade: Any = import_module("switchhub.decision.facade")
    scope, state = names.find_type(api, "KeyScope"), names.find_type(api, "ServerState")
    server_list = names.find_type(facade, "ServerList")
    list_kind = names.find_type(api, "ServerListKind")
    kind = api.RequestClass("c", api.Repeat.SAFE, scope.ALL, 0.0, 300.0, 1500.0, 1.0, 60.0)
    values = {
        "classes": (kind,),
        "tenants": (),
        "fleet_size": 1,
        "zone": 0,
        "max_attempts": 4,
        "probes_allowed": False,
        "retry_after_max": 0.0,
        "groups_share_work": False,
        "must_watch_server_list": True,
        "watch_retry_within": 1e4,
        "cold_time": 8000.0,
        "cold_share": 0.3,
        "cold_budget_multiple": 2.5,
        "cold_budget_window": 2000.0,
        "over_share_worth": 1.0,
        "probe_price": 0.0,
        "move_price": 0.0,
        "cross_zone_price": 0.0,
    }
    settings = api.Settings(**names.rename_fields(api.Settings, "Settings", values))
    balancer = facade.Facade(settings, 1, 0.0)
    named = tuple(api.Server(f"s{i}", i % 3, 0, 0, state.READY, 1.0, 0.0) for i in range(servers))
    balancer.report(0.0, server_list(list_kind.WHOLE, named))

    def place(number: int) -> str:
        name = f"r{number}"
        balancer.pick(1.0, api.Request(name, 0, 1500.0, 0, 1000.0 + number % 97))
        balancer.report(1.0, facade.Up(name, 5.0))
        return name

    standing = [place(number) for number in range(min(STANDING, 4 * servers))]
    turns = []
    for turn in range(TURNS):
        begin = time.perf_counter()
        for number in range(rounds):
            name = place(1_000_000 * (turn + 1) + number)
            balancer.report(1.0, facade.Ended(standing[number % len(standing)], 5.0, api.Result.OK, True))
            standing[number % len(standing)] = name
        turns.append((time.perf_counter() - begin) / rounds * 1e6)
    return median(turns)


if __name__ == "__main__":
    former_names: Any = import_module("former_names")  # from this file's directory, until the path changes
    sys.path[0] = sys.argv[1]
    print(measure(former_names, int(sys.argv[2]), int(sys.argv[3])))
