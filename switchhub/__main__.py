"""`python -m switchhub`: runs one balancer until a signal stops it; with arguments, runs a sub-command
(`switchhub/cli.py`).

Responsible for the process, its signal handlers and its log. Keeps no state of connections, and never exits
before established connections have been told to move.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

from switchhub.net.config import Config, ConfigError, read_config
from switchhub.net.line_socket import RESERVED_DESCRIPTORS
from switchhub.net.listener import Listener

if TYPE_CHECKING:
    from switchhub.handover.receiver import HandoverReceiver
    from switchhub.peers.node import PeerNode

MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + 8  # file descriptors needed to serve any client at all
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


async def find_handover_receiver(config: Config) -> HandoverReceiver | None:
    """Return the receiver for a handover from a running process of this balancer.

    Return None if there is no such process, or if no management address is configured.
    """
    if config.management is None:
        return None
    from switchhub.handover.receiver import HandoverReceiver
    from switchhub.handover.sender import socket_path

    path = socket_path(os.environ.get("TMPDIR", ""), config.name)
    return await HandoverReceiver.find(path, config.listen) if path else None


def create_peer_node(config: Config) -> PeerNode | None:
    """Return this balancer's node in the membership, or None if no operator file configures one.

    Without an operator file none of the membership modules is imported. Raises `ConfigError` if a package
    that they need is not installed.
    """
    path = os.environ.get("SWITCHHUB_OPERATOR", "")
    if not path:
        return None
    try:
        from switchhub.operator_file import read_operator_file
    except ModuleNotFoundError as error:
        raise ConfigError(
            f"an operator file needs the package {error.name}: pip install -r requirements-peers.txt"
        ) from None
    operator_settings = read_operator_file(Path(path))
    if operator_settings.peers is None:
        return None
    from switchhub.peers.node import PeerNode

    return PeerNode(operator_settings.peers, config.name, operator_settings.leases)


async def serve(config: Config, node: PeerNode | None) -> None:
    """Run one balancer until a signal stops it."""
    listener = Listener(config, await find_handover_receiver(config))
    if node is not None:
        listener.lifecycle.observers.append(node.on_phase_change)
        listener.pages.update(node.pages())
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, listener.stop)
    loop.add_signal_handler(signal.SIGHUP, listener.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: logger.info("counters {}", listener.counters.summary()))
    try:
        await listener.run()
    finally:
        if node is not None:
            node.close()


def main() -> int:
    """Return the exit status: 0 after an orderly stop, 2 if the process cannot start as configured."""
    if len(sys.argv) == 3 and sys.argv[1] == "--operator":
        os.environ["SWITCHHUB_OPERATOR"] = sys.argv[2]
    elif len(sys.argv) > 1:
        from switchhub.cli import main as command  # imported here: a serving balancer does not need it

        return command(sys.argv[1:])
    # A SIGHUP before the reload handler is installed would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logger.remove()
    logger.add(
        sys.stderr,
        format=LOG_FORMAT,
        level=os.environ.get("SWITCHHUB_LOG", "INFO"),
        backtrace=False,
        diagnose=False,
    )
    try:
        descriptor_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if descriptor_limit < MIN_DESCRIPTORS:
            raise ConfigError(f"limit on open files {descriptor_limit}: expected {MIN_DESCRIPTORS} or more")
        config = read_config(os.environ)
        node = create_peer_node(config)
    except OSError as error:  # such as no descriptor left for the membership thread
        print(f"switchhub: can't start: {error}", file=sys.stderr)
        return 2
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"switchhub: {line}", file=sys.stderr)
        return 2
    gc.freeze()
    try:
        uvloop.run(serve(config, node))
    except ConfigError as error:  # such as an address that cannot be listened on
        print(f"switchhub: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
