"""`python -m switchhub lease list|hold|release|hand-on`: duties by lease, through one balancer.

Owns: the arguments, the command that runs while a lease is held, the exit status. Must never: let the command
run when the lease may be over: it counts from when it asked, on a clock that counts on in sleep, and ends the
command before.

Exit status: the command's own; 0 for what was asked; 1 not held (within --wait); 2 wrong use, or the balancer
can't be asked; 3 the lease was lost, or is to be let go, and the command ended.
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

EVERY = 0.3  # seconds between two calls while a lease is wanted or held
ENDS = 0.25  # seconds before the lease's end at which the command is ended, with SIGKILL


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _hold(told: argparse.Namespace) -> int:
    """Run the command while the lease is held."""
    path = f"/leases/hold?{quote(told.name)}"
    until, token, child = 0.0, 0, None
    gives_up = _now() + told.wait
    try:
        while True:
            asked = _now()
            try:
                row = fetch(told.via, path, "PUT", EVERY * 2)
                if row["ends"]:
                    print(f"lease: {told.name}: is to be let go, the command is ended", file=sys.stderr)
                    return 3
                if row["mine"] and child is not None and row["token"] != token:
                    # Danger: lost and won again between two calls: somebody has acted in between, and our
                    # command's token is spent.
                    print(f"lease: {told.name}: lost for a moment, the command is ended", file=sys.stderr)
                    return 3
                if row["mine"]:
                    until, token = asked + row["remaining_ms"] / 1000, row["token"]
            except (OSError, ValueError, KeyError) as error:
                passes = isinstance(error, OSError) or str(error).startswith("503")
                if child is None and not passes:
                    print(f"lease: {told.via}: {error}", file=sys.stderr)
                    return 2
            if child is None and until - _now() > 2 * ENDS:
                environ = {**os.environ, "SWITCHHUB_LEASE": row["name"], "SWITCHHUB_TOKEN": str(token)}
                child = subprocess.Popen(told.command, env=environ)
            if child is None and _now() >= gives_up:
                print(f"lease: {told.name}: not held within {told.wait:g} s", file=sys.stderr)
                return 1
            wakes = min(asked + EVERY, until - ENDS) if child is not None else asked + EVERY
            if child is not None:
                try:
                    return child.wait(timeout=max(0.0, wakes - _now()))
                except subprocess.TimeoutExpired:
                    pass
                if _now() >= until - ENDS:
                    print(f"lease: {told.name}: lost, the command is ended", file=sys.stderr)
                    return 3
            else:
                time.sleep(max(0.0, wakes - _now()))
    finally:
        if child is not None and child.poll() is None:
            child.kill()
            child.wait()
        with contextlib.suppress(OSError, ValueError):  # else it is released when nobody asks any more
            fetch(told.via, f"/leases/let-go?{quote(told.name)}", "PUT", EVERY)


def main(arguments: list[str]) -> int:
    """The exit status."""
    parser = argparse.ArgumentParser(prog="python -m switchhub lease", description=__doc__.split("\n")[0])
    verbs = parser.add_subparsers(dest="verb", required=True)
    one = verbs.add_parser("list", help="what this balancer knows of each name")
    one.add_argument("--json", action="store_true")
    one.add_argument("--via", required=True, metavar="HOST:PORT", help="its management address")
    for verb in ("hold", "release", "hand-on"):
        one = verbs.add_parser(verb)
        one.add_argument("name")
        one.add_argument("--via", required=True, metavar="HOST:PORT", help="its management address")
        if verb == "hold":
            one.add_argument("--wait", type=float, default=60.0, help="seconds to wait for the lease")
            one.add_argument("command", nargs="+", help="after --; it finds its token in SWITCHHUB_TOKEN")
        if verb == "hand-on":
            one.add_argument("heir", help="a balancer's name")
    told = parser.parse_args(arguments)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(143))
    try:
        if told.verb == "hold":
            return _hold(told)
        if told.verb == "list":
            rows = fetch(told.via, "/leases")
            for row in rows if not told.json else ():
                mine = "held here" if row["mine"] else row["state"]
                left = f"{row['remaining_ms'] / 1000:.1f} s"
                print(f"{row['name']}  {row['holder'] or '-'}  token {row['token']}  {left}  {mine}")
            if told.json:
                print(json.dumps(rows))
            return 0
        query = quote(told.name) + (f"&{quote(told.heir)}" if told.verb == "hand-on" else "")
        fetch(told.via, f"/leases/{told.verb}?{query}", "PUT")
        return 0
    except (OSError, ValueError) as error:
        print(f"lease: {told.via}: {error}", file=sys.stderr)
        return 2
