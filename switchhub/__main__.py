"""`python -m switchhub`: starts one balancer and stops it; with arguments, a sub-command
(`switchhub/cli.py`).

Owns: the process, its signals, its log. Must never: hold state of a connection, or end with standing
connections untold.
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

FEWEST = RESERVED_DESCRIPTORS + 8  # descriptors with which a balancer can serve anybody
LOG_FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


async def handover_receiver(config: Config) -> HandoverReceiver | None:
    """What can be taken over from a process of this balancer that runs already."""
    if config.management is None:
        return None
    from switchhub.handover.receiver import HandoverReceiver
    from switchhub.handover.sender import socket_path

    path = socket_path(os.environ.get("TMPDIR", ""), config.name)
    return await HandoverReceiver.find(path, config.listen) if path else None


def create_peer_node(config: Config) -> PeerNode | None:
    """This balancer among others, where an operator file says so; else nothing of it is imported."""
    path = os.environ.get("SWITCHHUB_OPERATOR", "")
    if not path:
        return None
    try:
        from switchhub.operator_file import read_operator_file
    except ModuleNotFoundError as error:
        raise ConfigError(
            f"an operator file needs {error.name}: pip install -r requirements-peers.txt"
        ) from None
    told = read_operator_file(Path(path))
    if told.peers is None:
        return None
    from switchhub.peers.node import PeerNode

    return PeerNode(told.peers, config.name, told.leases)


async def serve(config: Config, node: PeerNode | None) -> None:
    """Run one balancer until a signal stops it."""
    listener = Listener(config, await handover_receiver(config))
    if node is not None:
        listener.lifecycle.observers.append(node.on_phase_change)
        listener.pages.update(node.pages())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, listener.stop)
    loop.add_signal_handler(signal.SIGHUP, listener.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: logger.info("counters {}", listener.counters.summary()))
    try:
        await listener.run()
    finally:
        if node is not None:
            node.close()


def main() -> int:
    """The exit status: 0 after an ordered stop, 2 when the configuration does not serve."""
    if len(sys.argv) == 3 and sys.argv[1] == "--operator":
        os.environ["SWITCHHUB_OPERATOR"] = sys.argv[2]
    elif len(sys.argv) > 1:
        from switchhub.cli import main as command  # a balancer that serves never needs it

        return command(sys.argv[1:])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes before there is anything to reload
    logger.remove()
    logger.add(
        sys.stderr,
        format=LOG_FORMAT,
        level=os.environ.get("SWITCHHUB_LOG", "INFO"),
        backtrace=False,
        diagnose=False,
    )
    try:
        few = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if few < FEWEST:
            raise ConfigError(f"limit on open files {few}: expected {FEWEST} or more")
        config = read_config(os.environ)
        node = create_peer_node(config)
    except OSError as error:  # no descriptor for the peers' thread
        print(f"switchhub: can't start: {error}", file=sys.stderr)
        return 2
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"switchhub: {line}", file=sys.stderr)
        return 2
    gc.freeze()
    try:
        uvloop.run(serve(config, node))
    except ConfigError as error:  # an address that can't be had
        print(f"switchhub: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
