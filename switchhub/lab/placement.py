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

REPETITIONS = 5
STANDING_CONNECTIONS_MAX = 2000  # connections that stand meanwhile, or four for each server if that is less


def measure(former_names: Any, servers: int, rounds: int) -> float:
    """Microseconds of pick, up and end together; the median of five turns."""
    interface: Any = import_module("switchhub.decision.interface")
    facade: Any = import_module("switchhub.decision.facade")
    key_scope, server_state = (
        former_names.find_type(interface, "KeyScope"),
        former_names.find_type(interface, "ServerState"),
    )
    server_list = former_names.find_type(facade, "ServerList")
    list_kind = former_names.find_type(interface, "ServerListKind")
    request_class = interface.RequestClass(
        "c", interface.Repeat.SAFE, key_scope.ALL, 0.0, 300.0, 1500.0, 1.0, 60.0
    )
    values = {
        "classes": (request_class,),
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
    settings = interface.Settings(**former_names.rename_fields(interface.Settings, "Settings", values))
    balancer = facade.Facade(settings, 1, 0.0)
    listed_servers = tuple(
        interface.Server(f"s{i}", i % 3, 0, 0, server_state.READY, 1.0, 0.0) for i in range(servers)
    )
    balancer.report(0.0, server_list(list_kind.WHOLE, listed_servers))

    def place(number: int) -> str:
        name = f"r{number}"
        balancer.pick(1.0, interface.Request(name, 0, 1500.0, 0, 1000.0 + number % 97))
        balancer.report(1.0, facade.Up(name, 5.0))
        return name

    standing = [place(number) for number in range(min(STANDING_CONNECTIONS_MAX, 4 * servers))]
    durations_us = []
    for repetition in range(REPETITIONS):
        started_at = time.perf_counter()
        for number in range(rounds):
            name = place(1_000_000 * (repetition + 1) + number)
            balancer.report(
                1.0, facade.Ended(standing[number % len(standing)], 5.0, interface.Result.OK, True)
            )
            standing[number % len(standing)] = name
        durations_us.append((time.perf_counter() - started_at) / rounds * 1e6)
    return median(durations_us)


if __name__ == "__main__":
    former_names: Any = import_module("former_names")  # from this file's directory, until the path changes
    sys.path[0] = sys.argv[1]
    print(measure(former_names, int(sys.argv[2]), int(sys.argv[3])))
