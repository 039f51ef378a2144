"""Sub-commands of `python -m switchhub`; without one, `switchhub/__main__.py` starts a balancer instead.

Exit status: 0; 1 for a violated rule, or a difference found by a comparison; 2 for wrong usage or an invalid
file. Each sub-command's module, and so its libraries, is imported only when the sub-command runs.
"""

from __future__ import annotations

import argparse
import importlib
import os
import sys

from loguru import logger

COMMANDS = {  # sub-command: its module, and the file that lists its libraries
    "lab": ("switchhub.lab.cli", "requirements-lab.txt"),
    "check": ("switchhub.operator_file", "requirements-peers.txt"),
    "members": ("switchhub.peers.cli", "requirements-peers.txt"),
    "lease": ("switchhub.leases.cli", "requirements-peers.txt"),
    "leases": ("switchhub.leases.cli", "requirements-peers.txt"),
}


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m switchhub",
        description="Without arguments: start the balancer that BALANCER_CONFIG describes. With --operator "
        "FILE: with the optional features that this file enables.",
        epilog="Examples:\n"
        "  python -m switchhub lab check lab/scenarios/calm.toml\n"
        "  python -m switchhub lab run lab/scenarios/hang.toml --seed 3 --json out.json\n"
        "  python -m switchhub check deploy/operator.example.toml\n"
        "  python -m switchhub members 127.0.0.1:9901 --watch\n"
        "  python -m switchhub lease hold nightly --via 127.0.0.1:9901 -- ./nightly.sh\n"
        "  python -m switchhub lab table --seeds 1..5 --policies design,plain,oracle",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--log-json", action="store_true", help="write log lines as JSON, one object per line"
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser(
        "lab", help="run scenarios: balancers and servers in virtual time or on real sockets", add_help=False
    )
    commands.add_parser("check", help="report all faults of an operator file", add_help=False)
    commands.add_parser(
        "lease",
        help="leases, each held by one balancer at a time: list, hold, release, hand on",
        add_help=False,
    )
    commands.add_parser("leases", help="HOST:PORT: short for lease list --via HOST:PORT", add_help=False)
    commands.add_parser("members", help="members of the cluster, as one balancer sees them", add_help=False)
    return parser


def _configure_logging(as_json: bool) -> None:
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
    """Run a sub-command and return its exit status."""
    options, remaining = _build_parser().parse_known_args(arguments)
    _configure_logging(options.log_json)
    module, requirements = COMMANDS[options.command]
    try:
        command = importlib.import_module(module)
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("switchhub"):
            raise
        message = (
            f"{options.command} needs its libraries: pip install -r {requirements} ({error.name} is missing)"
        )
        print(f"switchhub: {message}", file=sys.stderr)
        return 2
    if options.command == "leases":
        remaining = ["list", "--via", *remaining]
    return int(command.main(remaining))
