"""`python -m switchhub members HOST:PORT`: who is there, as one balancer sees it.

Owns: the arguments, what is printed, the exit status: 0 if its view is sure, 1 if not, 2 if it can't be
asked. Must never: import what a balancer serves with.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import time
from typing import Any

WITHIN = 5.0  # seconds for one call
EVERY = 1.0  # seconds between two looks


def fetch(address: str, path: str, method: str = "GET", within: float = WITHIN) -> Any:
    """A page at a management address, as JSON; `OSError` or `ValueError` with a reason."""
    connection = http.client.HTTPConnection(address, timeout=within)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read().decode()
    except http.client.HTTPException as error:
        raise ValueError(f"no answer that is one: {error!r}") from None
    finally:
        connection.close()
    if answer.status != 200:
        raise ValueError(f"{answer.status} {body.strip()}")
    return json.loads(body)


def table(told: dict[str, Any]) -> str:
    """For reading."""
    rows = [("NAME", "STATE", "INCARNATION", "SINCE", "WHY")]
    for each in told["members"]:
        since = f"{each['since_ms'] / 1000:.1f} s"
        rows.append((each["name"], each["state"], str(each["incarnation"]), since, each["why"]))
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    lines = ["  ".join([*(f"{row[c]:<{widths[c]}}" for c in range(4)), row[4]]) for row in rows]
    return "\n".join([f"{told['name']}: view {told['view']}", *lines])


def main(arguments: list[str]) -> int:
    """The exit status."""
    parser = argparse.ArgumentParser(prog="python -m switchhub members", description=__doc__.split("\n")[0])
    parser.add_argument("address", metavar="HOST:PORT", help="its management address")
    parser.add_argument("--json", action="store_true", help="as the balancer tells it")
    parser.add_argument("--watch", action="store_true", help="each second, until interrupted")
    told = parser.parse_args(arguments)
    status = 0
    try:
        while True:
            try:
                found = fetch(told.address, "/members")
                status = 0 if found["view"] == "sure" else 1
                print(json.dumps(found) if told.json else table(found), flush=True)
            except (OSError, ValueError, KeyError) as error:
                print(f"members: {told.address}: {error}", file=sys.stderr)
                status = 2
            if not told.watch:
                return status
            time.sleep(EVERY)
    except KeyboardInterrupt:
        return status
