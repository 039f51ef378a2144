"""`python -m switchhub members HOST:PORT`: the members of the cluster as one balancer sees them.

Exit status: 0 if the balancer's view is `sure`, 1 if it is not, 2 if the balancer can't be queried. The
module imports nothing of the running balancer.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
import time
from typing import Any

REQUEST_TIMEOUT = 5.0  # seconds
WATCH_INTERVAL = 1.0  # seconds between two requests of `--watch`


def fetch(address: str, path: str, method: str = "GET", timeout: float = REQUEST_TIMEOUT) -> Any:
    """Request a path at a management address and return the decoded JSON.

    Raises `OSError` if the address can't be reached within `timeout` seconds, and `ValueError` if the
    response is not HTTP, has another status than 200 or is not JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read().decode()
    except http.client.HTTPException as error:
        raise ValueError(f"invalid HTTP response: {error!r}") from None
    finally:
        connection.close()
    if response.status != 200:
        raise ValueError(f"{response.status} {body.strip()}")
    return json.loads(body)


def table(content: dict[str, Any]) -> str:
    """Format the content of `/members` as a table."""
    rows = [("NAME", "STATE", "INCARNATION", "SINCE", "WHY")]
    for member in content["members"]:
        since = f"{member['since_ms'] / 1000:.1f} s"
        rows.append((member["name"], member["state"], str(member["incarnation"]), since, member["why"]))
    widths = [max(len(row[column]) for row in rows) for column in range(4)]
    lines = ["  ".join([*(f"{row[c]:<{widths[c]}}" for c in range(4)), row[4]]) for row in rows]
    return "\n".join([f"{content['name']}: view {content['view']}", *lines])


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m switchhub members", description=__doc__.split("\n")[0])
    parser.add_argument("address", metavar="HOST:PORT", help="management address of the balancer")
    parser.add_argument("--json", action="store_true", help="print the balancer's JSON instead of a table")
    parser.add_argument("--watch", action="store_true", help="repeat each second until interrupted")
    options = parser.parse_args(arguments)
    exit_status = 0
    try:
        while True:
            try:
                members = fetch(options.address, "/members")
                exit_status = 0 if members["view"] == "sure" else 1
                print(json.dumps(members) if options.json else table(members), flush=True)
            except (OSError, ValueError, KeyError) as error:
                print(f"members: {options.address}: {error}", file=sys.stderr)
                exit_status = 2
            if not options.watch:
                return exit_status
            time.sleep(WATCH_INTERVAL)
    except KeyboardInterrupt:
        return exit_status
