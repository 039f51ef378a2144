"""The command line beyond `python -m switchhub` alone, which starts the platform's balancer and never comes
here.

Owns: the sub-commands' arguments and their exit status: 0, 1 (a rule broken, a difference that was asked
about), 2 (wrong use, a file that does not serve). Must never: import a sub-command's libraries before it is
called.
"""

from __future__ import annotations

import argparse
import importlib
import os
import sys

from loguru import logger

COMMANDS = {  # its module, and where its libraries are named
    "lab": ("switchhub.lab.cli", "requirements-lab.txt"),
    "check": ("switchhub.operator_file", "requirements-peers.txt"),
    "members": ("switchhub.peers.cli", "requirements-peers.txt"),
    "lease": ("switchhub.leases.cli", "requirements-peers.txt"),
    "leases": ("switchhub.leases.cli", "requirements-peers.txt"),
}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m switchhub",
        description="Without arguments: start the balancer that BALANCER_CONFIG describes. With --operator "
        "FILE: one that does what this file allows.",
        epilog="Examples:\n"
        "  python -m switchhub lab check lab/scenarios/calm.toml\n"
        "  python -m switchhub lab run lab/scenarios/hang.toml --seed 3 --json out.json\n"
        "  python -m switchhub check deploy/operator.example.toml\n"
        "  python -m switchhub members 127.0.0.1:9901 --watch\n"
        "  python -m switchhub lease hold nightly --via 127.0.0.1:9901 -- ./nightly.sh\n"
        "  python -m switchhub lab table --seeds 1..5 --policies design,plain,oracle",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--log-json", action="store_true", help="log lines as JSON, one object a line")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser(
        "lab", help="play scenarios: a fleet in virtual time or on real sockets", add_help=False
    )
    commands.add_parser("check", help="say what is wrong with an operator file", add_help=False)
    commands.add_parser("lease", help="duties that only one may hold: list, hold, release", add_help=False)
    commands.add_parser("leases", help="HOST:PORT: the same as lease list --via HOST:PORT", add_help=False)
    commands.add_parser("members", help="who is there, as one balancer sees it", add_help=False)
    return parser


def _log(as_json: bool) -> None:
    logger.remove()
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level=os.environ.get("SWITCHHUB_LOG", "INFO"),
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )


def main(arguments: list[str]) -> int:
    """Run a sub-command; its exit status."""
    told, rest = _parser().parse_known_args(arguments)
    _log(told.log_json)
    module, listed = COMMANDS[told.command]
    try:
        command = importlib.import_module(module)
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("switchhub"):
            raise
        needs = f"{told.command} needs its libraries: pip install -r {listed} (no {error.name})"
        print(f"switchhub: {needs}", file=sys.stderr)
        return 2
    if told.command == "leases":
        rest = ["list", "--via", *rest]
    return int(command.main(rest))
