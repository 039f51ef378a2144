"""`python -m switchhub lease list|hold|release|hand-on`: hold or inspect leases through one balancer.

`hold` runs a command while the lease is held, and kills it before the lease may be over. It counts the
lease's time from when it sent its request to the balancer, on a clock that keeps running while the machine is
suspended.

Exit status: the command's own; 0 on success; 1 if the lease was not held within --wait; 2 for wrong usage, or
if the balancer does not answer; 3 if the lease was lost or its release was requested, and the command was
killed.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from urllib.parse import quote

from switchhub.peers.cli import fetch

POLL_INTERVAL = 0.3  # seconds between two calls to the balancer while a lease is wanted or held
KILL_MARGIN = 0.25  # seconds before the lease's end at which the command is killed with SIGKILL


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _hold(options: argparse.Namespace) -> int:
    """Wait for the lease, run the command while it is held, and return the exit status."""
    path = f"/leases/hold?{quote(options.name)}"
    valid_until, token, child = 0.0, 0, None
    wait_deadline = _now() + options.wait
    try:
        while True:
            requested_at = _now()
            try:
                row = fetch(options.via, path, "PUT", POLL_INTERVAL * 2)
                if row["ends"]:
                    print(f"lease: {options.name}: release requested, killing the command", file=sys.stderr)
                    return 3
                if row["mine"] and child is not None and row["token"] != token:
                    # The lease was lost and acquired again between two calls. Somebody else may have held it
                    # in between, so the token that the command uses is out of date.
                    print(f"lease: {options.name}: lost for a moment, killing the command", file=sys.stderr)
                    return 3
                if row["mine"]:
                    valid_until, token = requested_at + row["remaining_ms"] / 1000, row["token"]
            except (OSError, ValueError, KeyError) as error:
                is_transient = isinstance(error, OSError) or str(error).startswith("503")
                if child is None and not is_transient:
                    print(f"lease: {options.via}: {error}", file=sys.stderr)
                    return 2
            if child is None and valid_until - _now() > 2 * KILL_MARGIN:
                environ = {**os.environ, "SWITCHHUB_LEASE": row["name"], "SWITCHHUB_TOKEN": str(token)}
                child = subprocess.Popen(options.command, env=environ)
            if child is None and _now() >= wait_deadline:
                print(f"lease: {options.name}: not held within {options.wait:g} s", file=sys.stderr)
                return 1
            next_wake = (
                min(requested_at + POLL_INTERVAL, valid_until - KILL_MARGIN)
                if child is not None
                else requested_at + POLL_INTERVAL
            )
            if child is not None:
                try:
                    return child.wait(timeout=max(0.0, next_wake - _now()))
                except subprocess.TimeoutExpired:
                    pass
                if _now() >= valid_until - KILL_MARGIN:
                    print(f"lease: {options.name}: lost, killing the command", file=sys.stderr)
                    return 3
            else:
                time.sleep(max(0.0, next_wake - _now()))
    finally:
        if child is not None and child.poll() is None:
            child.kill()
            child.wait()
        with contextlib.suppress(OSError, ValueError):  # then the balancer releases it for lack of calls
            fetch(options.via, f"/leases/let-go?{quote(options.name)}", "PUT", POLL_INTERVAL)


def main(arguments: list[str]) -> int:
    """Run one sub-command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m switchhub lease", description=__doc__.split("\n")[0])
    verbs = parser.add_subparsers(dest="verb", required=True)
    subparser = verbs.add_parser("list", help="show the leases that this balancer knows of")
    subparser.add_argument("--json", action="store_true")
    subparser.add_argument("--via", required=True, metavar="HOST:PORT", help="its management address")
    for verb in ("hold", "release", "hand-on"):
        subparser = verbs.add_parser(verb)
        subparser.add_argument("name")
        subparser.add_argument("--via", required=True, metavar="HOST:PORT", help="its management address")
        if verb == "hold":
            subparser.add_argument("--wait", type=float, default=60.0, help="seconds to wait for the lease")
            subparser.add_argument(
                "command", nargs="+", help="after --; its environment has the token in SWITCHHUB_TOKEN"
            )
        if verb == "hand-on":
            subparser.add_argument("heir", help="name of the balancer that is to hold it next")
    options = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(143))
    try:
        if options.verb == "hold":
            return _hold(options)
        if options.verb == "list":
            rows = fetch(options.via, "/leases")
            for row in rows if not options.json else ():
                state = "held here" if row["mine"] else row["state"]
                remaining = f"{row['remaining_ms'] / 1000:.1f} s"
                print(f"{row['name']}  {row['holder'] or '-'}  token {row['token']}  {remaining}  {state}")
            if options.json:
                print(json.dumps(rows))
            return 0
        query = quote(options.name) + (f"&{quote(options.heir)}" if options.verb == "hand-on" else "")
        fetch(options.via, f"/leases/{options.verb}?{query}", "PUT")
        return 0
    except (OSError, ValueError) as error:
        print(f"lease: {options.via}: {error}", file=sys.stderr)
        return 2
